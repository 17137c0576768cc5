//! Links between runners, as observed.
//!
//! Links are kept by failure domains; an observation of two runners goes before that of their
//! domains. Capacity that was never observed counts as unlimited, and latency as
//! [`DEFAULT_LATENCY_US`].

use super::fleet::Fleet;
use super::records::{LinkEnds, LinkSeen};
use crate::prelude::*;
use std::collections::BTreeMap;

/// One-way latency of a link never observed, in microseconds.
pub const DEFAULT_LATENCY_US: f64 = 300.0;
/// Weight of the newest observation where it is better than before.
const SMOOTHING: f64 = 0.5;
/// A capacity that moved by more than this share since the plan asks for a new plan.
const REPLAN_SHARE: f64 = 0.2;

/// Smoothed figures of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// One-way latency, in microseconds.
    pub latency_us: f64,
    /// Capacity, in bytes a second.
    pub bytes_per_s: f64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            latency_us: DEFAULT_LATENCY_US,
            bytes_per_s: f64::INFINITY,
        }
    }
}

impl Link {
    /// Time for one token's activations to cross, in milliseconds.
    pub fn token_ms(&self, activation_bytes: u64) -> f64 {
        self.latency_us / 1e3 + activation_bytes as f64 / self.bytes_per_s * 1e3
    }

    /// Tokens a second that fit through.
    pub fn tokens_per_s(&self, activation_bytes: u64) -> f64 {
        self.bytes_per_s / (activation_bytes.max(1)) as f64
    }

    /// Takes an observation in: a worse figure at once, a better one by steps. A link that slowed
    /// a hundredfold would otherwise take seven observations to be seen as such, with streams
    /// waiting on it meanwhile; one good observation of a link that comes and goes would bring all
    /// its work back.
    fn take(&mut self, seen: &LinkSeen) {
        let latency_us = seen.latency_us as f64;
        let smoothed_us = self.latency_us + SMOOTHING * (latency_us - self.latency_us);
        self.latency_us = latency_us.max(smoothed_us);
        let smoothed = self.bytes_per_s + SMOOTHING * (seen.bytes_per_s - self.bytes_per_s);
        self.bytes_per_s = seen.bytes_per_s.min(smoothed);
    }
}

/// All links observed.
#[derive(Clone, Debug, Default)]
pub struct Links {
    domains: BTreeMap<(DomainId, DomainId), Link>,
    planned: BTreeMap<(DomainId, DomainId), f64>,
    runners: BTreeMap<(RunnerId, RunnerId), Link>,
}

fn ordered<T: Ord>(a: T, b: T) -> (T, T) {
    if a <= b { (a, b) } else { (b, a) }
}

impl Links {
    /// Takes an observation in; says whether the plan has to be made again.
    pub fn observe(&mut self, fleet: &mut Fleet, seen: &LinkSeen) -> bool {
        let fresh = Link {
            latency_us: seen.latency_us as f64,
            bytes_per_s: seen.bytes_per_s,
        };
        match &seen.ends {
            LinkEnds::Runners(a, b) => {
                if let (Some(a), Some(b)) = (fleet.runner(a), fleet.runner(b)) {
                    let link = self.runners.entry(ordered(a, b));
                    link.and_modify(|l| l.take(seen)).or_insert(fresh);
                }
                false
            }
            LinkEnds::Domains(a, b) => {
                let key = ordered(fleet.domain(a), fleet.domain(b));
                let link = self
                    .domains
                    .entry(key)
                    .and_modify(|l| l.take(seen))
                    .or_insert(fresh);
                let planned = self.planned.get(&key).copied().unwrap_or(f64::INFINITY);
                let moved = (link.bytes_per_s - planned).abs();
                planned.is_infinite() || moved > REPLAN_SHARE * planned
            }
        }
    }

    /// Notes that a plan was made from the figures of now.
    pub fn mark_planned(&mut self) {
        self.planned = self
            .domains
            .iter()
            .map(|(&key, link)| (key, link.bytes_per_s))
            .collect();
    }

    /// Link between two domains.
    pub fn between(&self, a: DomainId, b: DomainId) -> Link {
        self.domains
            .get(&ordered(a, b))
            .copied()
            .unwrap_or_default()
    }

    /// Link between two runners.
    pub fn of_runners(&self, fleet: &Fleet, a: RunnerId, b: RunnerId) -> Link {
        if !self.runners.is_empty()
            && let Some(link) = self.runners.get(&ordered(a, b))
        {
            return *link;
        }
        self.between(fleet.runners[a].domain, fleet.runners[b].domain)
    }

    /// Observed links between domains, in order.
    pub fn iter(&self) -> impl Iterator<Item = (DomainId, DomainId, Link)> + '_ {
        self.domains.iter().map(|(&(a, b), &link)| (a, b, link))
    }
}
