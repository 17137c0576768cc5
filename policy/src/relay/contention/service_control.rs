//! Contention control of one service: its state between two computations, and the decisions on single
//! requests.

use std::collections::BTreeMap;

use super::ContentionConfig;
use super::flow_meter::{HeadFlow, OrganisationDemand, ServiceFlow, priority_index};
use super::flow_plan::{DomainDemand, FlowPlan, PlanChain};
use super::inflow::{self, ChainTarget};
use super::overload::{Change, Overload};
use super::return_delay::ReturnDelays;
use super::shares::{self, Claim};
use crate::prelude::*;

/// Age of the figures of other instances above which contention control does not apply, in
/// milliseconds.
const MAX_AGE_MS: Millis = 3_000;

/// Age of a computation from which on it is repeated, in milliseconds.
const COMPUTATION_INTERVAL_MS: Millis = 100;

/// Weight of a chain in the plan relative to its probability if the plan sends nothing there. A request
/// that may take no other chain is still sent.
const UNPLANNED_WEIGHT: f64 = 1e-6;

/// Demand for a service and flow through its chains over all instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetFlow {
    /// Sums of the failure domains.
    pub domains: BTreeMap<Name, ServiceFlow>,
    /// Mean age of the figures, in milliseconds.
    pub age_ms: Millis,
    /// Share of the live instances of the own domain whose figures are known, from 0 to 1.
    pub known_share: f64,
}

/// Share of the instances of the own domain whose figures have to be known.
const MIN_KNOWN_SHARE: f64 = 0.75;

/// Occupancy of a chain, and its weights for requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainLoad {
    /// First runner.
    pub head: Name,
    /// Failure domain, or `None` if it crosses domains.
    pub domain: Option<Name>,
    /// Room, in tokens.
    pub room_tokens: f64,
    /// Room that requests of all instances use, in tokens.
    pub used_tokens: f64,
    /// Relative weight for instances of its domain, and for others.
    pub weights: (f64, f64),
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is admitted.
    Admitted,
    /// Its priority's share is used up.
    NoRoomForPriority,
    /// Its organisation is above its share.
    OrganisationAboveShare,
}

/// Figures of a chain in the last computation.
#[derive(Clone, Debug, PartialEq)]
struct PlannedChain {
    load: ChainLoad,
    flow: HeadFlow,
    inflow: f64,
    /// Part of the own domain's flow that goes to the chain, from 0 to 1.
    probability: f64,
}

/// Result of a computation.
#[derive(Clone, Debug, Default, PartialEq)]
struct Computation {
    at_ms: Millis,
    age_ms: Millis,
    supply: f64,
    demand: f64,
    spare: f64,
    arriving: Vec<f64>,
    priorities: Vec<f64>,
    organisations: OrganisationShares,
    chains: BTreeMap<Name, PlannedChain>,
}

/// Shares of organisations; empty if organisations do not matter.
#[derive(Clone, Debug, Default, PartialEq)]
struct OrganisationShares {
    /// Demand and share of each listed organisation, by priority.
    listed: BTreeMap<(u8, Name), (f64, f64)>,
    /// Share of the other organisations, by priority.
    unlisted: Vec<f64>,
}

/// Contention control of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceControl {
    targets: BTreeMap<Name, ChainTarget>,
    /// The last computation, if the figures of the others were recent and complete enough.
    current: Option<Computation>,
    checked_ms: Option<Millis>,
    overload: Overload,
    delays: ReturnDelays,
}

/// State of contention control of a service, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlStatus {
    /// Tokens per second that chains may take of the demand.
    pub supply: f64,
    /// Tokens per second that callers ask for.
    pub demand: f64,
    /// Mean age of the figures of other instances, in milliseconds.
    pub age_ms: Millis,
    /// Since when the service is overloaded, in milliseconds.
    pub overloaded_since_ms: Option<Millis>,
    /// Demand in tokens per second and share of each priority.
    pub priorities: Vec<(f64, f64)>,
    /// Organisation, priority, demand in tokens per second, and share.
    pub organisations: Vec<(Name, u8, f64, f64)>,
    /// First runner, room, occupancy and inflow of each chain, and its part of the own domain's flow.
    pub chains: Vec<(Name, f64, f64, f64, f64)>,
}

impl ServiceControl {
    /// Returns whether the figures are due to be computed again at `now`.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.checked_ms
            .is_none_or(|at| now >= at + COMPUTATION_INTERVAL_MS)
    }

    /// Computes plan and shares at `now` for an instance of `domain`. `max_gap_ms` is the smallest gap
    /// objective of the service's streams. Returns whether overload began or ended.
    pub fn compute(
        &mut self,
        now: Millis,
        cfg: &ContentionConfig,
        domain: &Name,
        chains: Vec<ChainLoad>,
        fleet: &FleetFlow,
        max_gap_ms: Millis,
    ) -> Option<Change> {
        self.checked_ms = Some(now);
        if fleet.age_ms > MAX_AGE_MS || fleet.known_share < MIN_KNOWN_SHARE {
            self.current = None;
            return self.overload.record(now, 1.0);
        }
        let heads = head_sums(fleet);
        self.targets
            .retain(|head, _| chains.iter().any(|c| c.head == *head));
        let mut planned = Vec::with_capacity(chains.len());
        for load in chains {
            let flow = heads.get(&load.head).cloned().unwrap_or_default();
            let target = self.targets.entry(load.head.clone()).or_default();
            target.update(now, flow.refused_share());
            let gap_share = flow.mean_gap_ms() / max_gap_ms.max(1) as f64;
            let factor = target.refusal_factor() * inflow::timeliness(gap_share);
            let target_tokens = load.room_tokens * cfg.target_fill * factor;
            let inflow = inflow::allowed(&flow, target_tokens, load.used_tokens, fleet.age_ms);
            planned.push(PlannedChain {
                load,
                flow,
                inflow,
                probability: 0.0,
            });
        }
        let computation = divide(now, cfg, domain, planned, fleet);
        let share = match computation.demand > 0.0 {
            true => computation.supply / computation.demand,
            false => 1.0,
        };
        self.current = Some(computation);
        self.overload.record(now, share + NEGLIGIBLE_SHORTAGE)
    }

    /// Decides on a new request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn decide(
        &self,
        priority: u32,
        organisation: Option<&Name>,
        returned: bool,
        draw: f64,
    ) -> Decision {
        let Some(current) = &self.current else {
            return Decision::Admitted;
        };
        let priority = priority_index(priority);
        let share = current.share_of(priority);
        let own = current.share_of_organisation(priority, organisation);
        let effective = match returned {
            true => shares::of_returned(own),
            false => own,
        };
        match draw < effective {
            true => Decision::Admitted,
            false if own < share * ABOVE_SHARE => Decision::OrganisationAboveShare,
            false => Decision::NoRoomForPriority,
        }
    }

    /// Returns supply and demand in tokens per second, if there is a plan.
    #[must_use]
    pub fn supply_and_demand(&self) -> Option<(f64, f64)> {
        let current = self.current.as_ref()?;
        Some((current.supply, current.demand))
    }

    /// Returns the relative probability with which a request is sent to the chain behind `head`, or
    /// `None` if there is no plan.
    #[must_use]
    pub fn weight(&self, head: &Name) -> Option<f64> {
        let current = self.current.as_ref()?;
        let planned = current.chains.get(head);
        Some(planned.map_or(0.0, |c| c.probability) + UNPLANNED_WEIGHT)
    }

    /// Records a refused request and returns the retry delay for its caller in milliseconds, or `None`
    /// if there is no plan. `instances` is the number of live instances.
    pub fn refused(
        &mut self,
        now: Millis,
        tokens: f64,
        priority: u32,
        instances: usize,
        draw: f64,
    ) -> Option<Millis> {
        let current = self.current.as_ref()?;
        let part = 1.0 / instances.max(1) as f64;
        let flow = (current.supply * part, current.spare * part);
        let delay = self
            .delays
            .record_refused(now, tokens, priority, flow, draw);
        Some(delay)
    }

    /// Returns since when the service is overloaded, in milliseconds.
    #[must_use]
    pub fn overloaded_since_ms(&self) -> Option<Millis> {
        self.overload.since_ms()
    }

    /// Returns the share of a priority, and of an organisation within it, from 0 to 1.
    #[must_use]
    pub fn share(&self, priority: u32, organisation: Option<&Name>) -> f64 {
        let priority = priority_index(priority);
        let Some(current) = &self.current else {
            return 1.0;
        };
        current.share_of_organisation(priority, organisation)
    }

    /// Returns the state for operators, if there is a plan.
    #[must_use]
    pub fn status(&self) -> Option<ControlStatus> {
        let current = self.current.as_ref()?;
        let arriving = current.arriving.iter().copied();
        let organisations = current.organisations.listed.iter();
        let chains = current.chains.values();
        Some(ControlStatus {
            supply: current.supply,
            demand: current.demand,
            age_ms: current.age_ms,
            overloaded_since_ms: self.overload.since_ms(),
            priorities: arriving.zip(current.priorities.iter().copied()).collect(),
            organisations: organisations
                .map(|((priority, name), (demand, share))| {
                    (name.clone(), *priority, *demand, *share)
                })
                .collect(),
            chains: chains
                .map(|c| {
                    let ChainLoad {
                        head,
                        room_tokens,
                        used_tokens,
                        ..
                    } = &c.load;
                    (
                        head.clone(),
                        *room_tokens,
                        *used_tokens,
                        c.inflow,
                        c.probability,
                    )
                })
                .collect(),
        })
    }
}

/// Share of an organisation, as a part of its priority's, below which a refusal is due to the
/// organisation. Above it the difference may be due to rounding.
const ABOVE_SHARE: f64 = 0.99;

/// Shortage that rounding may cause, as a share of the demand.
const NEGLIGIBLE_SHORTAGE: f64 = 1e-3;

impl Computation {
    fn share_of(&self, priority: u8) -> f64 {
        let share = self.priorities.get(usize::from(priority));
        share.copied().unwrap_or(1.0)
    }

    fn share_of_organisation(&self, priority: u8, organisation: Option<&Name>) -> f64 {
        let listed =
            organisation.and_then(|name| self.organisations.listed.get(&(priority, name.clone())));
        let unlisted = || {
            self.organisations
                .unlisted
                .get(usize::from(priority))
                .copied()
        };
        let share = listed.map(|(_, share)| *share).or_else(unlisted);
        share.unwrap_or_else(|| self.share_of(priority))
    }
}

/// Returns the flow of each chain over all instances, by first runner.
fn head_sums(fleet: &FleetFlow) -> BTreeMap<Name, HeadFlow> {
    let mut all = ServiceFlow::default();
    fleet.domains.values().for_each(|flow| all.add(flow));
    let heads = all.heads.into_iter();
    heads.map(|flow| (flow.head.clone(), flow)).collect()
}

/// Divides the demand among the chains and computes the shares.
fn divide(
    now: Millis,
    cfg: &ContentionConfig,
    domain: &Name,
    mut planned: Vec<PlannedChain>,
    fleet: &FleetFlow,
) -> Computation {
    let chains: Vec<PlanChain> = planned
        .iter()
        .map(|c| PlanChain {
            domain: c.load.domain.clone(),
            inflow: c.inflow,
            near_weight: c.load.weights.0,
            far_weight: c.load.weights.1,
        })
        .collect();
    let demand: Vec<DomainDemand> = fleet
        .domains
        .iter()
        .map(|(domain, flow)| DomainDemand {
            domain: domain.clone(),
            tokens_per_s: flow.demand(),
        })
        .collect();
    let plan = FlowPlan::new(&chains, &demand);
    let own = demand.iter().position(|d| d.domain == *domain);
    if let Some(flows) = own.map(|d| &plan.flows[d]) {
        let sum: f64 = flows.iter().sum();
        for (chain, flow) in planned.iter_mut().zip(flows) {
            chain.probability = if sum > 0.0 { flow / sum } else { 0.0 };
        }
    }
    let mut all = ServiceFlow::default();
    fleet.domains.values().for_each(|flow| all.add(flow));
    let arriving: Vec<f64> = all.arriving.iter().copied().map(f64::from).collect();
    let for_new = (plan.supply - f64::from(all.continued)).max(0.0);
    let least = cfg.least_share;
    let priorities = match cfg.urgency {
        true => shares::by_priority(for_new, &arriving, least),
        false => shares::equal(for_new, &arriving),
    };
    let organisations = match cfg.fair_share {
        true => organisation_shares(cfg, &all.organisations, &arriving, &priorities),
        false => OrganisationShares::default(),
    };
    Computation {
        at_ms: now,
        age_ms: fleet.age_ms,
        supply: plan.supply,
        demand: plan.demand,
        spare: plan.spare,
        arriving,
        priorities,
        organisations,
        chains: planned
            .into_iter()
            .map(|c| (c.load.head.clone(), c))
            .collect(),
    }
}

/// Returns the shares of organisations within their priorities.
fn organisation_shares(
    cfg: &ContentionConfig,
    listed: &[OrganisationDemand],
    arriving: &[f64],
    priorities: &[f64],
) -> OrganisationShares {
    let mut all = OrganisationShares::default();
    for (i, (total, share)) in arriving.iter().zip(priorities).enumerate() {
        let of_priority = listed.iter().filter(|d| usize::from(d.priority) == i);
        let of_priority: Vec<&OrganisationDemand> = of_priority.collect();
        let claims: Vec<Claim> = of_priority
            .iter()
            .map(|d| Claim {
                tokens_per_s: f64::from(d.tokens_per_s),
                weight: cfg.weights.get(&d.organisation).copied().unwrap_or(1.0),
            })
            .collect();
        let granted = total * share;
        let shares = shares::by_organisation(granted, *total, &claims, cfg.least_share);
        let unlisted = shares::of_unlisted(granted, *total, &claims, cfg.least_share);
        all.unlisted.push(unlisted);
        for (demand, share) in of_priority.iter().zip(shares) {
            let key = (demand.priority, demand.organisation.clone());
            let share = (f64::from(demand.tokens_per_s), share);
            all.listed.insert(key, share);
        }
    }
    all
}
