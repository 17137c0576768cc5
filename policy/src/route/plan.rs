//! The plan: for each model, chains of runners with the rate each should carry.
//!
//! The bound comes from [`super::flow`], the chains from [`super::planner`]. Links enter the program
//! only where chains ask more of them than they let through: most never do, and each costs time.
//!
//! The order of all steps is that of runner names, not of arrival, so each instance comes to the
//! same plan from the same inputs.

use super::fleet::Fleet;
use super::flow;
use super::link::Links;
use super::planner::Planner;
use super::pool::Pool;
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use std::collections::BTreeMap;

/// Links are left out of the program as long as no chain asks too much of them, and brought in
/// where one does, in so many rounds at most.
const LINK_ROUNDS: usize = 3;
/// A link that is over its limit by no more than this share is not relieved.
const SLIGHTLY_OVER: f64 = 1e-6;
/// A way through the runners with its planned rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Runners and the layers each runs, in order.
    pub stages: Vec<(RunnerId, LayerRange)>,
    /// Rate it is planned for, in tokens a second.
    pub tokens_per_s: f64,
}

/// Plan of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelPlan {
    /// The most tokens a second that the open runners can give, and the links let through.
    pub bound: f64,
    /// Tokens a second that the chains are planned for; at most the bound.
    pub planned: f64,
    /// Chains.
    pub chains: Vec<Chain>,
    /// Sum of the rates of the chains up to and with each.
    pub cumulative: Vec<f64>,
    /// Indices of the chains through each runner.
    pub by_runner: SecondaryMap<RunnerId, Vec<u32>>,
    /// Layers whose holders keep the bound from being greater.
    pub tight: Vec<LayerRange>,
    /// First run of layers that no open runner holds.
    pub uncovered: Option<LayerRange>,
    /// Chains brought in while planning.
    pub steps: usize,
    /// Stages of a route, in the mean by planned rate.
    pub mean_stages: f64,
    /// Changes of failure domain on a route, in the mean by planned rate.
    pub mean_domain_changes: f64,
}

/// Two domains between which a chain changes runner, in order of their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hop(pub DomainId, pub DomainId);

impl Chain {
    /// Where it changes runner.
    fn hops<'a>(&'a self, fleet: &'a Fleet) -> impl Iterator<Item = Hop> + 'a {
        let domain = |stage: &(RunnerId, LayerRange)| fleet.runners[stage.0].domain;
        self.stages
            .windows(2)
            .map(move |w| Hop::new(domain(&w[0]), domain(&w[1])))
    }
}

impl Hop {
    /// Between `a` and `b`.
    pub fn new(a: DomainId, b: DomainId) -> Self {
        Self(a.min(b), a.max(b))
    }
}

/// Makes the plan of a model from the open runners.
pub fn plan_model(fleet: &Fleet, links: &Links, model: ModelId, order: &[RunnerId]) -> ModelPlan {
    let pool = Pool::new(fleet, model, order);
    if let Some(layers) = pool.uncovered() {
        return ModelPlan {
            uncovered: Some(layers),
            ..ModelPlan::default()
        };
    }
    let rate = flow::max_rate(&pool.lengths, &pool.supplies());
    let unit = rate.tokens_per_s;
    let capacities = link_capacities(links, fleet.models[model].activation_bytes);
    let mut limited = capacities.clone();
    limited.retain(|_, tokens_per_s| *tokens_per_s < unit);
    let link_bound = flow::link_bound(&pool.rooms(), &limited);
    let mut plan = ModelPlan {
        bound: unit.min(link_bound),
        tight: rate.tight.iter().map(|&s| pool.segments[s]).collect(),
        ..ModelPlan::default()
    };
    for _ in 0..LINK_ROUNDS {
        let solved = Planner::new(&pool, &limited, unit).solve();
        plan.steps += solved.steps;
        plan.chains = solved.chains;
        let over = overloaded(fleet, &capacities, &plan.chains);
        if over.is_empty() {
            break;
        }
        limited.extend(over.into_keys().map(|hop| (hop, capacities[&hop])));
    }
    relieve(fleet, &capacities, &mut plan.chains);
    plan.sum_up(fleet);
    plan
}

/// Tokens a second of each link with a limit.
fn link_capacities(links: &Links, activation_bytes: u64) -> BTreeMap<Hop, f64> {
    let all = links
        .iter()
        .map(|(a, b, l)| (Hop::new(a, b), l.tokens_per_s(activation_bytes)));
    all.filter(|(_, tokens_per_s)| tokens_per_s.is_finite())
        .collect()
}

/// Links that the chains ask more of than they let through, with the share that fits.
fn overloaded(
    fleet: &Fleet,
    capacities: &BTreeMap<Hop, f64>,
    chains: &[Chain],
) -> BTreeMap<Hop, f64> {
    let mut used: BTreeMap<Hop, f64> = BTreeMap::new();
    for chain in chains {
        for hop in chain.hops(fleet) {
            *used.entry(hop).or_default() += chain.tokens_per_s;
        }
    }
    let share = |(hop, used): (Hop, f64)| Some((hop, capacities.get(&hop)? / used));
    used.into_iter()
        .filter_map(share)
        .filter(|(_, share)| *share < 1.0 - SLIGHTLY_OVER)
        .collect()
}

/// Scales the chains over overloaded links down to what these let through.
fn relieve(fleet: &Fleet, capacities: &BTreeMap<Hop, f64>, chains: &mut [Chain]) {
    let over = overloaded(fleet, capacities, chains);
    for chain in chains {
        let shares = chain.hops(fleet).filter_map(|hop| over.get(&hop).copied());
        chain.tokens_per_s *= shares.fold(1.0, f64::min);
    }
}

impl ModelPlan {
    fn sum_up(&mut self, fleet: &Fleet) {
        let (mut sum, mut stages, mut changes) = (0.0, 0.0, 0.0);
        for (i, chain) in self.chains.iter().enumerate() {
            sum += chain.tokens_per_s;
            self.cumulative.push(sum);
            stages += chain.tokens_per_s * chain.stages.len() as f64;
            let crossed = chain.hops(fleet).filter(|hop| hop.0 != hop.1).count();
            changes += chain.tokens_per_s * crossed as f64;
            for &(id, _) in &chain.stages {
                self.by_runner[id].push(i as u32);
            }
        }
        self.planned = sum;
        if sum > 0.0 {
            self.mean_stages = stages / sum;
            self.mean_domain_changes = changes / sum;
        }
    }

    /// Index of a chain through `runner`; `point` in `[0, 1)` chooses among them evenly.
    pub fn chain_through(&self, runner: RunnerId, point: f64) -> Option<usize> {
        let chains = &self.by_runner[runner];
        chains
            .get((point * chains.len() as f64) as usize)
            .map(|&i| i as usize)
    }

    /// Index of the chain at `point` in `[0, 1)` of the planned rate. The plan has chains.
    pub fn chain_at(&self, point: f64) -> usize {
        let at = point * self.planned;
        self.cumulative
            .partition_point(|&sum| sum <= at)
            .min(self.chains.len() - 1)
    }
}
