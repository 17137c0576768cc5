//! Entry answers, which tell callers which instances to use.
//!
//! A caller uses the first address and falls back to the next ones when it fails. Each answer has
//! its own weighted random order, so that callers spread evenly and those of a failed instance
//! spread over all the others. The weights prefer instances with lower load, and instances in the
//! caller's failure domain until these carry more than their share. Loads are gossiped and lag by
//! seconds; the random order avoids sending all callers to the instance that last appeared idle.
//!
//! Invariants of an answer:
//! - No address occurs twice.
//! - All instances serve, are not suspected and are not listed as leaving by the platform.
//! - Instances in the caller's region come first.
//! - At most half of the addresses are in one failure domain and one address is outside the region,
//!   as far as the available instances permit.

use crate::member::MemberState;
use crate::region::region_of;
use crate::time::{Millis, Name};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The answer to `GET /v1/entry`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// Caller addresses of live instances, in order of preference.
    pub addresses: Vec<EntryAddress>,
    /// Time to live of this answer, in milliseconds.
    pub ttl_ms: u64,
}

/// One address of an entry answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
}

/// Settings for entry answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryConfig {
    /// Time to live of an answer, in milliseconds.
    pub ttl_ms: Millis,
    /// Maximum number of addresses in an answer.
    pub max_addresses: usize,
}

impl Default for EntryConfig {
    fn default() -> Self {
        EntryConfig {
            ttl_ms: 10_000,
            max_addresses: 8,
        }
    }
}

/// Relative weight of an instance in the caller's failure domain; instances elsewhere have 1.
const LOCAL_WEIGHT: f64 = 4.0;

/// Ratio of load to mean load up to which an instance is preferred for its failure domain.
const LOCAL_LOAD_RATIO: f64 = 1.25;

/// Slack, in requests, for comparing an instance's load with the mean: with few requests in flight,
/// differences of single requests are not significant.
const LOAD_SLACK: f64 = 4.0;

/// Builds the answer for a caller from the instances `live`; `domain` is the caller's failure
/// domain, if known.
pub fn entry_answer<'a>(
    live: impl Iterator<Item = &'a MemberState>,
    domain: Option<&str>,
    cfg: &EntryConfig,
    rng: &mut impl Rng,
) -> EntryAnswer {
    let live: Vec<&MemberState> = live.collect();
    let load: f64 = live.iter().map(|s| f64::from(s.in_flight)).sum();
    let mean = load / (live.len().max(1) as f64);
    let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(live.len());
    for member in live {
        let weight = weight(member, domain, mean);
        let other_region = domain.is_some_and(|d| region_of(d) != region_of(&member.domain));
        // Sorting by these exponential keys is a weighted draw without replacement.
        let key = -(1.0 - rng.random::<f64>()).ln() / weight;
        candidates.push(Candidate {
            other_region,
            key,
            member,
        });
    }
    candidates.sort_by(|a, b| {
        a.other_region
            .cmp(&b.other_region)
            .then(a.key.total_cmp(&b.key))
    });
    EntryAnswer {
        addresses: select_addresses(&candidates, cfg.max_addresses.max(1)),
        ttl_ms: cfg.ttl_ms,
    }
}

struct Candidate<'a> {
    other_region: bool,
    key: f64,
    member: &'a MemberState,
}

fn weight(member: &MemberState, domain: Option<&str>, mean: f64) -> f64 {
    let load = f64::from(member.in_flight);
    let by_load = (mean + LOAD_SLACK) / (load + LOAD_SLACK);
    let local = domain == Some(&*member.domain);
    if local && load <= mean * LOCAL_LOAD_RATIO + LOAD_SLACK {
        LOCAL_WEIGHT * by_load
    } else {
        by_load
    }
}

/// Selects the first `max` candidates within the limits per failure domain and region; the others
/// fill the remaining places.
fn select_addresses(candidates: &[Candidate<'_>], max: usize) -> Vec<EntryAddress> {
    let in_region = candidates.iter().filter(|d| !d.other_region).count();
    let reserve = usize::from(in_region < candidates.len() && in_region > 0 && max > 1);
    let in_region_limit = max - reserve;
    let domain_limit = max.div_ceil(2);
    let mut selected: Vec<&MemberState> = Vec::with_capacity(max);
    let mut skipped: Vec<&MemberState> = Vec::new();
    for d in candidates {
        let same = selected.iter().filter(|s| s.domain == d.member.domain);
        let region_full = !d.other_region && selected.len() >= in_region_limit;
        if region_full || selected.len() >= max || same.count() >= domain_limit {
            skipped.push(d.member);
        } else {
            selected.push(d.member);
        }
    }
    selected.extend(skipped);
    selected.truncate(max);
    selected.into_iter().map(address).collect()
}

fn address(s: &MemberState) -> EntryAddress {
    EntryAddress {
        address: s.callers,
        domain: s.domain.clone(),
    }
}
