//! Observed latency and capacity of the links between runners.
//!
//! Links are tracked per pair of failure domains; an observation of a specific pair of runners
//! takes precedence. A link without observations has unlimited capacity and a latency of
//! [`DEFAULT_LATENCY_US`].

use super::fleet::Fleet;
use super::records::{LinkEnds, LinkObservation};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Assumed one-way latency of a link without observations, in microseconds.
pub const DEFAULT_LATENCY_US: f64 = 300.0;
/// Weight of a new observation that is better than the smoothed figure.
const IMPROVEMENT_WEIGHT: f64 = 0.5;
/// Relative change of a capacity since the last plan above which a new plan is needed.
const REPLAN_THRESHOLD: f64 = 0.2;

/// Smoothed latency and capacity of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// One-way latency, in microseconds.
    pub latency_us: f64,
    /// Capacity, in bytes per second.
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
    /// Returns the time to transfer one token's activations, in milliseconds.
    pub fn token_ms(&self, activation_bytes: u64) -> f64 {
        self.latency_us / 1e3 + activation_bytes as f64 / self.bytes_per_s * 1e3
    }

    /// Returns the capacity in tokens per second.
    pub fn tokens_per_s(&self, activation_bytes: u64) -> f64 {
        self.bytes_per_s / (activation_bytes.max(1)) as f64
    }

    /// Applies an observation: a worse figure replaces the current one, a better one is smoothed.
    ///
    /// If worse figures were smoothed as well, a link that slows down a hundredfold would take
    /// seven observations to show it, while streams wait on it. If better figures were not
    /// smoothed, one good observation of an unstable link would restore all of its traffic.
    fn update(&mut self, observation: &LinkObservation) {
        let latency_us = observation.latency_us as f64;
        let smoothed_us = self.latency_us + IMPROVEMENT_WEIGHT * (latency_us - self.latency_us);
        self.latency_us = latency_us.max(smoothed_us);
        let smoothed =
            self.bytes_per_s + IMPROVEMENT_WEIGHT * (observation.bytes_per_s - self.bytes_per_s);
        self.bytes_per_s = observation.bytes_per_s.min(smoothed);
    }
}

/// All observed links.
#[derive(Clone, Debug, Default)]
pub struct Links {
    domains: BTreeMap<(DomainId, DomainId), Link>,
    planned_bytes_per_s: BTreeMap<(DomainId, DomainId), f64>,
    runners: BTreeMap<(RunnerId, RunnerId), Link>,
}

fn ordered<T: Ord>(a: T, b: T) -> (T, T) {
    if a <= b { (a, b) } else { (b, a) }
}

impl Links {
    /// Applies an observation; returns whether the plan has to be recomputed.
    pub fn observe(&mut self, fleet: &mut Fleet, observation: &LinkObservation) -> bool {
        let first = Link {
            latency_us: observation.latency_us as f64,
            bytes_per_s: observation.bytes_per_s,
        };
        match &observation.ends {
            LinkEnds::Runners(a, b) => {
                if let (Some(a), Some(b)) = (fleet.runner(a), fleet.runner(b)) {
                    let link = self.runners.entry(ordered(a, b));
                    link.and_modify(|l| l.update(observation)).or_insert(first);
                }
                false
            }
            LinkEnds::Domains(a, b) => {
                let key = ordered(fleet.domain(a), fleet.domain(b));
                let link = self
                    .domains
                    .entry(key)
                    .and_modify(|l| l.update(observation))
                    .or_insert(first);
                let planned = self
                    .planned_bytes_per_s
                    .get(&key)
                    .copied()
                    .unwrap_or(f64::INFINITY);
                let change = (link.bytes_per_s - planned).abs();
                planned.is_infinite() || change > REPLAN_THRESHOLD * planned
            }
        }
    }

    /// Records that a plan was made from the current capacities.
    pub fn mark_planned(&mut self) {
        self.planned_bytes_per_s = self
            .domains
            .iter()
            .map(|(&key, link)| (key, link.bytes_per_s))
            .collect();
    }

    /// Returns the link between two failure domains.
    pub fn between_domains(&self, a: DomainId, b: DomainId) -> Link {
        self.domains
            .get(&ordered(a, b))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the link between two runners.
    pub fn between_runners(&self, fleet: &Fleet, a: RunnerId, b: RunnerId) -> Link {
        if !self.runners.is_empty()
            && let Some(link) = self.runners.get(&ordered(a, b))
        {
            return *link;
        }
        self.between_domains(fleet.runners[a].domain, fleet.runners[b].domain)
    }

    /// Iterates over the observed links between failure domains, ordered by domain ids.
    pub fn iter(&self) -> impl Iterator<Item = (DomainId, DomainId, Link)> + '_ {
        self.domains.iter().map(|(&(a, b), &link)| (a, b, link))
    }
}
