//! Measurement of an instance's part of a service's demand and flow, and sums over instances.
//!
//! Load pattern: bursts of some priorities and organisations, which differ by instance. A single
//! instance sees a few requests per second; only the sum over all shows how demand compares with what
//! the chains release.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::rate::Rate;
use super::urgency::LEVELS;
use crate::prelude::*;

/// Organisations that an instance lists by name, those with the highest demand.
const MAX_ORGANISATIONS: usize = 8;

/// Organisations that the sum over a failure domain lists by name.
const MAX_ORGANISATIONS_IN_SUM: usize = 16;

/// Chains that an instance lists, those with the highest flow. Bounds the size of a load in a fleet
/// with hundreds of chains.
const MAX_HEADS: usize = 20;

/// Rate below which nothing is listed, in tokens or events per second.
const MIN_RATE: f64 = 1.0;

/// Demand of one organisation at one urgency level.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// Organisation.
    pub organisation: Name,
    /// Urgency level, below [`LEVELS`].
    pub level: u8,
    /// Tokens of arriving requests per second.
    pub tokens_per_s: u32,
}

/// Flow through the chains with the same first runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadFlow {
    /// First runner of the chains.
    pub head: Name,
    /// Tokens per second released by requests that ended.
    pub released: u32,
    /// Tokens per second of sends that runners of the chain refused.
    pub refused: u32,
    /// Events received per second.
    pub events: u32,
    /// Sum of the gaps before these events, in milliseconds per second.
    pub gaps_ms: u32,
}

impl HeadFlow {
    fn add(&mut self, other: &HeadFlow) {
        self.released = self.released.saturating_add(other.released);
        self.refused = self.refused.saturating_add(other.refused);
        self.events = self.events.saturating_add(other.events);
        self.gaps_ms = self.gaps_ms.saturating_add(other.gaps_ms);
    }

    /// Returns the mean gap between two events, in milliseconds; 0 without events.
    #[must_use]
    pub fn mean_gap_ms(&self) -> f64 {
        f64::from(self.gaps_ms) / f64::from(self.events.max(1))
    }

    /// Returns the share of the tokens sent to the chain that its runners refuse.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let all = f64::from(self.released) + f64::from(self.refused);
        f64::from(self.refused) / all.max(1.0)
    }
}

/// Demand for a service and flow through its chains, of one instance or summed over several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceFlow {
    /// Service.
    pub service: Name,
    /// Tokens per second of arriving requests by urgency level, the last ones omitted if 0.
    pub arriving: Vec<u32>,
    /// Organisations with the highest demand.
    pub organisations: Vec<OrganisationDemand>,
    /// Flow through chains.
    pub heads: Vec<HeadFlow>,
}

impl ServiceFlow {
    /// Returns the tokens per second of arriving requests.
    #[must_use]
    pub fn demand(&self) -> f64 {
        self.arriving.iter().copied().map(f64::from).sum()
    }

    /// Adds the figures of other instances.
    pub fn add(&mut self, other: &ServiceFlow) {
        if self.arriving.len() < other.arriving.len() {
            self.arriving.resize(other.arriving.len(), 0);
        }
        for (sum, tokens) in self.arriving.iter_mut().zip(&other.arriving) {
            *sum = sum.saturating_add(*tokens);
        }
        for demand in &other.organisations {
            let same = |d: &&mut OrganisationDemand| {
                d.organisation == demand.organisation && d.level == demand.level
            };
            match self.organisations.iter_mut().find(same) {
                Some(sum) => {
                    sum.tokens_per_s = sum.tokens_per_s.saturating_add(demand.tokens_per_s);
                }
                None => self.organisations.push(demand.clone()),
            }
        }
        for flow in &other.heads {
            match self.heads.iter_mut().find(|h| h.head == flow.head) {
                Some(sum) => sum.add(flow),
                None => self.heads.push(flow.clone()),
            }
        }
    }

    /// Drops all but the organisations with the highest demand, for the sum over a failure domain.
    pub fn truncate(&mut self) {
        keep_largest(&mut self.organisations, MAX_ORGANISATIONS_IN_SUM);
    }
}

fn keep_largest(organisations: &mut Vec<OrganisationDemand>, max: usize) {
    organisations.sort_by(|a, b| {
        let by_demand = b.tokens_per_s.cmp(&a.tokens_per_s);
        by_demand.then_with(|| (&a.organisation, a.level).cmp(&(&b.organisation, b.level)))
    });
    organisations.truncate(max);
}

/// Adds the flows of an instance or a failure domain to those of others.
pub fn add_flows(sums: &mut BTreeMap<Name, ServiceFlow>, flows: &[ServiceFlow]) {
    for flow in flows {
        let sum = sums
            .entry(flow.service.clone())
            .or_insert_with(|| ServiceFlow {
                service: flow.service.clone(),
                ..ServiceFlow::default()
            });
        sum.add(flow);
    }
}

/// Rates of one chain.
#[derive(Clone, Copy, Debug, Default)]
struct HeadMeter {
    released: Rate,
    refused: Rate,
    events: Rate,
    gaps_ms: Rate,
}

impl HeadMeter {
    fn is_idle(&self, now: Millis) -> bool {
        let rates = [self.released, self.refused, self.events];
        rates.iter().all(|r| r.at(now) < MIN_RATE)
    }
}

/// Measures one instance's part of a service's demand and flow.
#[derive(Clone, Debug)]
pub struct FlowMeter {
    arriving: [Rate; LEVELS],
    organisations: BTreeMap<(Name, u8), Rate>,
    heads: BTreeMap<Name, HeadMeter>,
    /// When the first request arrived.
    since_ms: Option<Millis>,
}

impl Default for FlowMeter {
    fn default() -> Self {
        FlowMeter {
            arriving: [Rate::default(); LEVELS],
            organisations: BTreeMap::new(),
            heads: BTreeMap::new(),
            since_ms: None,
        }
    }
}

/// Time from the first request after which the rates are complete enough to plan with, in milliseconds:
/// the time constant of a rate.
const WARM_UP_MS: Millis = 1_000;

/// Returns the index of an urgency level in [`ServiceFlow::arriving`].
#[must_use]
pub fn level_index(level: u32) -> u8 {
    level.min(LEVELS as u32 - 1) as u8
}

impl FlowMeter {
    /// Records that a request of `tokens` tokens arrived, before it is decided whether it is admitted.
    pub fn record_arrival(
        &mut self,
        now: Millis,
        level: u32,
        organisation: Option<&Name>,
        tokens: f64,
    ) {
        self.since_ms.get_or_insert(now);
        let level = level_index(level);
        self.arriving[usize::from(level)].record(now, tokens);
        if let Some(organisation) = organisation {
            let key = (organisation.clone(), level);
            let rate = self.organisations.entry(key).or_default();
            rate.record(now, tokens);
        }
    }

    /// Returns whether requests have been measured for long enough to plan with the rates.
    ///
    /// Load pattern: a configuration adds a second priority while chains are full. They have released
    /// nothing yet by the new rates, so that a plan would leave no supply and refuse all requests.
    #[must_use]
    pub fn is_warm(&self, now: Millis) -> bool {
        self.since_ms.is_some_and(|since| now >= since + WARM_UP_MS)
    }

    /// Records that a request of `tokens` tokens ended on a chain.
    pub fn record_released(&mut self, now: Millis, head: &Name, tokens: f64) {
        self.head(head).released.record(now, tokens);
    }

    /// Records that a runner of a chain refused a request of `tokens` tokens.
    pub fn record_refused(&mut self, now: Millis, head: &Name, tokens: f64) {
        self.head(head).refused.record(now, tokens);
    }

    /// Records an event that came `gap_ms` milliseconds after the one before.
    pub fn record_event(&mut self, now: Millis, head: &Name, gap_ms: Millis) {
        let meter = self.head(head);
        meter.events.record(now, 1.0);
        meter.gaps_ms.record(now, gap_ms as f64);
    }

    fn head(&mut self, head: &Name) -> &mut HeadMeter {
        if !self.heads.contains_key(head) {
            self.heads.insert(head.clone(), HeadMeter::default());
        }
        self.heads.get_mut(head).expect("it was inserted")
    }

    /// Returns the figures at `now`, and forgets organisations and chains without any.
    pub fn flow(&mut self, service: &Name, now: Millis) -> ServiceFlow {
        self.organisations
            .retain(|_, rate| rate.at(now) >= MIN_RATE);
        self.heads.retain(|_, meter| !meter.is_idle(now));
        let listed = self.organisations.iter();
        let mut organisations: Vec<OrganisationDemand> = listed
            .map(|((organisation, level), rate)| OrganisationDemand {
                organisation: organisation.clone(),
                level: *level,
                tokens_per_s: rate.at(now) as u32,
            })
            .collect();
        keep_largest(&mut organisations, MAX_ORGANISATIONS);
        let mut arriving: Vec<u32> = self.arriving.iter().map(|r| r.at(now) as u32).collect();
        let used = arriving.iter().rposition(|tokens| *tokens > 0);
        arriving.truncate(used.map_or(0, |last| last + 1));
        ServiceFlow {
            service: service.clone(),
            arriving,
            organisations,
            heads: self.head_flows(now),
        }
    }

    fn head_flows(&self, now: Millis) -> Vec<HeadFlow> {
        let heads = self.heads.iter();
        let mut flows: Vec<HeadFlow> = heads
            .map(|(head, meter)| HeadFlow {
                head: head.clone(),
                released: meter.released.at(now) as u32,
                refused: meter.refused.at(now) as u32,
                events: meter.events.at(now) as u32,
                gaps_ms: meter.gaps_ms.at(now) as u32,
            })
            .collect();
        flows.sort_by(|a, b| {
            let by_flow = (b.released, b.events).cmp(&(a.released, a.events));
            by_flow.then_with(|| a.head.cmp(&b.head))
        });
        flows.truncate(MAX_HEADS);
        flows
    }
}
