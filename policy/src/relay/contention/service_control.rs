//! Contention control of one service: its state between two computations, and the decisions on single
//! requests.

use std::collections::BTreeMap;

use super::ContentionConfig;
use super::decision_meter::DecisionMeter;
use super::even_draws::EvenDraws;
use super::flow_meter::{HeadFlow, OrganisationDemand, ServiceFlow, level_index};
use super::flow_plan::{DomainDemand, FlowPlan, PlanChain};
use super::inflow::{self, ChainTarget};
use super::overload::{Change, Overload};
use super::return_delay::ReturnDelays;
use super::share_history::{ShareChange, ShareHistory};
use super::shares::{self, Claim};
use super::status::{
    ChainStatus, ControlState, ControlStatus, DomainStatus, LevelStatus, OrganisationStatus,
    OverloadStatus,
};
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
    /// Failure domain of this instance.
    pub own_domain: Name,
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
    /// The share of its urgency level is used up.
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
    refusal_factor: f64,
    timeliness: f64,
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
    levels: Vec<f64>,
    organisations: ListedShares,
    /// Share of organisations that are not listed, by urgency level.
    unlisted: Vec<f64>,
    chains: BTreeMap<Name, PlannedChain>,
}

/// Contention control of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceControl {
    targets: BTreeMap<Name, ChainTarget>,
    /// The last computation, if the figures of the others were recent and complete enough.
    current: Option<Computation>,
    checked_ms: Option<Millis>,
    overload: Overload,
    /// Fraction of the demand that fitted when overload began.
    began_share: f64,
    delays: ReturnDelays,
    state: ControlState,
    figures: Figures,
    decisions: DecisionMeter,
    history: ShareHistory,
    /// Changes of shares that the caller has not taken yet.
    share_changes: Vec<ShareChange>,
    choices: EvenDraws,
}

/// What the last computation was based on, also if there is no plan.
#[derive(Clone, Debug, Default)]
struct Figures {
    age_ms: Millis,
    known_share: f64,
    domains: Vec<DomainStatus>,
}

impl Figures {
    fn of(fleet: &FleetFlow) -> Figures {
        let domains = fleet.domains.iter();
        Figures {
            age_ms: fleet.age_ms,
            known_share: fleet.known_share,
            domains: domains
                .map(|(domain, flow)| DomainStatus {
                    domain: domain.clone(),
                    demand_tokens_per_s: flow.demand(),
                })
                .collect(),
        }
    }
}

impl ServiceControl {
    /// Returns whether the figures are due to be computed again at `now`.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.checked_ms
            .is_none_or(|at| now >= at + COMPUTATION_INTERVAL_MS)
    }

    /// Computes plan and shares at `now`. `max_gap_ms` is the smallest gap
    /// objective of the service's streams. Returns whether overload began or ended.
    pub fn compute(
        &mut self,
        now: Millis,
        cfg: &ContentionConfig,
        chains: Vec<ChainLoad>,
        fleet: &FleetFlow,
        max_gap_ms: Millis,
    ) -> Option<Change> {
        self.checked_ms = Some(now);
        self.figures = Figures::of(fleet);
        self.state = state_of(fleet);
        if self.state != ControlState::InForce {
            self.current = None;
            self.record_shares(now);
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
            let (refusal_factor, timeliness) =
                (target.refusal_factor(), inflow::timeliness(gap_share));
            let factor = refusal_factor * timeliness;
            let target_tokens = load.room_tokens * cfg.target_fill * factor;
            let inflow = inflow::allowed(&flow, target_tokens, load.used_tokens, fleet.age_ms);
            planned.push(PlannedChain {
                load,
                flow,
                inflow,
                refusal_factor,
                timeliness,
                probability: 0.0,
            });
        }
        let computation = divide(now, cfg, planned, fleet);
        let share = match computation.demand > 0.0 {
            true => computation.supply / computation.demand,
            false => 1.0,
        };
        self.current = Some(computation);
        self.record_shares(now);
        let change = self.overload.record(now, share + NEGLIGIBLE_SHORTAGE);
        if change == Some(Change::Began) {
            self.began_share = share.min(1.0);
        }
        change
    }

    /// Records the shares of the last computation for operators.
    fn record_shares(&mut self, now: Millis) {
        let none = Computation::default();
        let current = self.current.as_ref().unwrap_or(&none);
        let changes = self.history.record(
            now,
            &current.arriving,
            &current.levels,
            &current.organisations,
        );
        self.share_changes.extend(changes);
    }

    /// Returns the changes of shares to report since the last call.
    #[must_use]
    pub fn take_share_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.share_changes)
    }

    /// Records a decision on a new request for operators.
    pub fn record_decision(
        &mut self,
        now: Millis,
        level: u32,
        organisation: Option<&Name>,
        decision: Decision,
    ) {
        self.decisions.record(now, level, organisation, decision);
    }

    /// Decides on a new request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn decide(
        &self,
        level: u32,
        organisation: Option<&Name>,
        returned: bool,
        draw: f64,
    ) -> Decision {
        let Some(current) = &self.current else {
            return Decision::Admitted;
        };
        let level = level_index(level);
        let share = current.share_of(level);
        let own = current.share_of_organisation(level, organisation);
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

    /// Returns the draw that chooses the chain of the next request, from 0 to 1; `start` is a random
    /// number for the first one.
    pub fn choice_draw(&mut self, start: f64) -> f64 {
        self.choices.next(start)
    }

    /// Records a refused request and returns the retry delay for its caller in milliseconds, or `None`
    /// if there is no plan. `instances` is the number of live instances.
    pub fn refused(
        &mut self,
        now: Millis,
        tokens: f64,
        level: u32,
        instances: usize,
        draw: f64,
    ) -> Option<Millis> {
        let current = self.current.as_ref()?;
        let part = 1.0 / instances.max(1) as f64;
        let flow = (current.supply * part, current.spare * part);
        let delay = self.delays.record_refused(now, tokens, level, flow, draw);
        Some(delay)
    }

    /// Returns since when the service is overloaded, in milliseconds.
    #[must_use]
    pub fn overloaded_since_ms(&self) -> Option<Millis> {
        self.overload.since_ms()
    }

    /// Returns the share of an urgency level, and of an organisation within it, from 0 to 1.
    #[must_use]
    pub fn share(&self, level: u32, organisation: Option<&Name>) -> f64 {
        let level = level_index(level);
        let Some(current) = &self.current else {
            return 1.0;
        };
        match organisation {
            Some(_) => current.share_of_organisation(level, organisation),
            None => current.share_of(level),
        }
    }

    /// Returns the state at `now` for operators.
    #[must_use]
    pub fn status(&self, now: Millis) -> ControlStatus {
        let figures = &self.figures;
        let current = self.current.as_ref();
        let domains = figures.domains.iter();
        let organisations = current.into_iter().flat_map(|c| &c.organisations);
        let chains = current.into_iter().flat_map(|c| c.chains.values());
        let levels = self.history.levels(now);
        ControlStatus {
            state: self.state,
            supply_tokens_per_s: current.map(|c| c.supply),
            demand_tokens_per_s: domains.map(|d| d.demand_tokens_per_s).sum(),
            age_ms: figures.age_ms,
            known_share: figures.known_share,
            overload: self.overload.since_ms().map(|at| OverloadStatus {
                lasted_ms: now.saturating_sub(at),
                began_share: self.began_share,
            }),
            levels: levels
                .map(|(level, below_one_ms)| LevelStatus {
                    level,
                    demand_tokens_per_s: current.map_or(0.0, |c| c.demand_of(level)),
                    share: current.map_or(1.0, |c| c.share_of(level)),
                    below_one_ms,
                    decisions: self.decisions.of_level(now, level),
                })
                .collect(),
            organisations: organisations
                .map(|(key, (demand, share))| OrganisationStatus {
                    organisation: key.1.clone(),
                    level: key.0,
                    demand_tokens_per_s: *demand,
                    share: *share,
                    below_one_ms: self.history.below_one_ms(now, key),
                    below_level_ms: self.history.below_level_ms(now, key),
                    decisions: self.decisions.of_organisation(now, key),
                })
                .collect(),
            chains: chains.map(PlannedChain::status).collect(),
            domains: figures.domains.clone(),
        }
    }
}

/// Returns whether the figures of the fleet suffice for decisions.
fn state_of(fleet: &FleetFlow) -> ControlState {
    match fleet.age_ms > MAX_AGE_MS {
        true => ControlState::FiguresTooOld,
        false if fleet.known_share < MIN_KNOWN_SHARE => ControlState::TooFewFigures,
        false => ControlState::InForce,
    }
}

impl PlannedChain {
    fn status(&self) -> ChainStatus {
        ChainStatus {
            head: self.load.head.clone(),
            domain: self.load.domain.clone(),
            room_tokens: self.load.room_tokens,
            used_tokens: self.load.used_tokens,
            inflow_tokens_per_s: self.inflow,
            refusal_factor: self.refusal_factor,
            timeliness: self.timeliness,
            flow_share: self.probability,
        }
    }
}

/// Share of an organisation, as a part of its level's, below which a refusal is due to the
/// organisation. Above it the difference may be due to rounding.
const ABOVE_SHARE: f64 = 0.99;

/// Shortage that rounding may cause, as a share of the demand.
const NEGLIGIBLE_SHORTAGE: f64 = 1e-3;

impl Computation {
    fn share_of(&self, level: u8) -> f64 {
        let share = self.levels.get(usize::from(level));
        share.copied().unwrap_or(1.0)
    }

    fn demand_of(&self, level: u8) -> f64 {
        let demand = self.arriving.get(usize::from(level));
        demand.copied().unwrap_or(0.0)
    }

    fn share_of_organisation(&self, level: u8, organisation: Option<&Name>) -> f64 {
        let listed = organisation.and_then(|o| self.organisations.get(&(level, o.clone())));
        let unlisted = || self.unlisted.get(usize::from(level)).copied();
        let share = listed.map(|(_, share)| *share).or_else(unlisted);
        share.unwrap_or_else(|| self.share_of(level))
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
    let own = demand.iter().position(|d| d.domain == fleet.own_domain);
    if let Some(flows) = own.map(|d| &plan.flows[d]) {
        let sum: f64 = flows.iter().sum();
        for (chain, flow) in planned.iter_mut().zip(flows) {
            chain.probability = if sum > 0.0 { flow / sum } else { 0.0 };
        }
    }
    let mut all = ServiceFlow::default();
    fleet.domains.values().for_each(|flow| all.add(flow));
    let arriving: Vec<f64> = all.arriving.iter().copied().map(f64::from).collect();
    let least = cfg.least_share;
    let levels = match cfg.urgency {
        true => shares::by_urgency(plan.supply, &arriving, least),
        false => shares::equal(plan.supply, &arriving),
    };
    let (organisations, unlisted) = match cfg.fair_share {
        true => organisation_shares(cfg, &all.organisations, &arriving, &levels),
        false => Default::default(),
    };
    Computation {
        at_ms: now,
        age_ms: fleet.age_ms,
        supply: plan.supply,
        demand: plan.demand,
        spare: plan.spare,
        arriving,
        levels,
        organisations,
        unlisted,
        chains: planned
            .into_iter()
            .map(|c| (c.load.head.clone(), c))
            .collect(),
    }
}

/// Returns demand and share of each listed organisation, by urgency level.
/// Demand and share of each listed organisation, by urgency level.
type ListedShares = BTreeMap<(u8, Name), (f64, f64)>;

/// Returns the shares of the listed organisations, and of the others by urgency level.
fn organisation_shares(
    cfg: &ContentionConfig,
    listed: &[OrganisationDemand],
    arriving: &[f64],
    levels: &[f64],
) -> (ListedShares, Vec<f64>) {
    let (mut all, mut unlisted) = (BTreeMap::new(), Vec::new());
    for (i, (total, share)) in arriving.iter().zip(levels).enumerate() {
        let of_level = listed.iter().filter(|d| usize::from(d.level) == i);
        let of_level: Vec<&OrganisationDemand> = of_level.collect();
        let claims: Vec<Claim> = of_level
            .iter()
            .map(|d| Claim {
                tokens_per_s: f64::from(d.tokens_per_s),
                weight: cfg.weights.get(&d.organisation).copied().unwrap_or(1.0),
            })
            .collect();
        let granted = total * share;
        let shares = shares::by_organisation(granted, *total, &claims, cfg.least_share);
        unlisted.push(shares.unlisted);
        for (demand, share) in of_level.iter().zip(shares.listed) {
            let key = (demand.level, demand.organisation.clone());
            all.insert(key, (f64::from(demand.tokens_per_s), share));
        }
    }
    (all, unlisted)
}
