//! Answers to callers who ask which instance to use.
//!
//! A caller uses the first address, and the next ones when that fails. The order is random by
//! weight, drawn anew for each answer, so that callers spread evenly, and those of a lost instance
//! spread over all the rest. Weights prefer the caller's failure domain until its instances carry
//! more than their share, and lower load in any case. Loads come by the exchange between instances
//! and lag by seconds; a random order doesn't send all callers to the one that looked idle.
//!
//! Invariants of an answer: no address twice; only instances that serve, that nobody suspects and
//! that the platform doesn't list as leaving; instances of the caller's region before others; not
//! more than half of it in one failure domain and one address outside the region, as long as there
//! are such.

use crate::member::MemberState;
use crate::region::region_of;
use crate::time::{Millis, Name};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// `GET /v1/entry`: the addresses to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// Callers' addresses of live instances, best first.
    pub addresses: Vec<EntryAddress>,
    /// How long this answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// One address of an entry answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Callers' address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
}

/// Settings of the entry answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryConfig {
    /// How long an answer may be kept, in milliseconds.
    pub ttl_ms: Millis,
    /// The most addresses in an answer.
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

/// Weight of an instance in the caller's failure domain against one elsewhere in the region.
const LOCAL_WEIGHT: f64 = 4.0;

/// An instance is preferred for its failure domain up to this load against the mean.
const LOCAL_LOAD_LIMIT: f64 = 1.25;

/// Requests that an instance may have above its share before it counts as more loaded: with few
/// requests in flight, single ones say nothing.
const LOAD_SLACK: f64 = 4.0;

/// The answer to a caller in `domain`, where it said so, from the instances `live`.
pub fn entry_answer<'a>(
    live: impl Iterator<Item = &'a MemberState>,
    domain: Option<&str>,
    cfg: &EntryConfig,
    rng: &mut impl Rng,
) -> EntryAnswer {
    let live: Vec<&MemberState> = live.collect();
    let load: f64 = live.iter().map(|s| f64::from(s.in_flight)).sum();
    let mean = load / (live.len().max(1) as f64);
    let mut drawn: Vec<Drawn<'_>> = Vec::with_capacity(live.len());
    for member in live {
        let weight = weight(member, domain, mean);
        let far = domain.is_some_and(|d| region_of(d) != region_of(&member.domain));
        // Smallest first of these keys is a draw without replacement by weight.
        let key = -(1.0 - rng.random::<f64>()).ln() / weight;
        drawn.push(Drawn { far, key, member });
    }
    drawn.sort_by(|a, b| a.far.cmp(&b.far).then(a.key.total_cmp(&b.key)));
    EntryAnswer {
        addresses: chosen(&drawn, cfg.max_addresses.max(1)),
        ttl_ms: cfg.ttl_ms,
    }
}

struct Drawn<'a> {
    far: bool,
    key: f64,
    member: &'a MemberState,
}

fn weight(member: &MemberState, domain: Option<&str>, mean: f64) -> f64 {
    let load = f64::from(member.in_flight);
    let by_load = (mean + LOAD_SLACK) / (load + LOAD_SLACK);
    let local = domain == Some(&*member.domain);
    if local && load <= mean * LOCAL_LOAD_LIMIT + LOAD_SLACK {
        LOCAL_WEIGHT * by_load
    } else {
        by_load
    }
}

/// The first `max` of the draw within the bounds on one failure domain and one region; what the
/// bounds left out fills the rest.
fn chosen(drawn: &[Drawn<'_>], max: usize) -> Vec<EntryAddress> {
    let near = drawn.iter().filter(|d| !d.far).count();
    let reserve = usize::from(near < drawn.len() && near > 0 && max > 1);
    let near_limit = max - reserve;
    let domain_limit = max.div_ceil(2);
    let mut taken: Vec<&MemberState> = Vec::with_capacity(max);
    let mut left: Vec<&MemberState> = Vec::new();
    for d in drawn {
        let same = taken.iter().filter(|s| s.domain == d.member.domain);
        let full = !d.far && taken.len() >= near_limit;
        if full || taken.len() >= max || same.count() >= domain_limit {
            left.push(d.member);
        } else {
            taken.push(d.member);
        }
    }
    taken.extend(left);
    taken.truncate(max);
    taken.into_iter().map(address).collect()
}

fn address(s: &MemberState) -> EntryAddress {
    EntryAddress {
        address: s.callers,
        domain: s.domain.clone(),
    }
}
