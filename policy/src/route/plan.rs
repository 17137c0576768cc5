//! Routing plan: for each model, chains of runners with the rate each should carry.
//!
//! [`super::flow`] computes the throughput bound, [`super::planner`] the chains. Links are added
//! to the linear program only if chains exceed their capacity: most links never limit a plan, and
//! each one costs planning time.
//!
//! Runners are processed in the order of their names, not of arrival, so every instance computes
//! the same plan from the same inputs.

use super::fleet::Fleet;
use super::flow;
use super::link::Links;
use super::planner::Planner;
use super::pool::Pool;
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use std::collections::BTreeMap;

/// Maximum number of rounds in which overloaded links are added to the linear program.
const MAX_LINK_ROUNDS: usize = 3;
/// Relative excess up to which a link does not count as overloaded.
const LINK_OVERLOAD_TOLERANCE: f64 = 1e-6;

/// A sequence of runners that covers all layers, with its planned rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Runners and the layers each runs, in order.
    pub stages: Vec<(RunnerId, LayerRange)>,
    /// Planned rate, in tokens per second.
    pub tokens_per_s: f64,
}

/// Plan of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelPlan {
    /// Upper bound on the throughput of the open runners and the links, in tokens per second.
    pub bound: f64,
    /// Total planned rate of the chains, in tokens per second; at most the bound.
    pub planned: f64,
    /// Chains.
    pub chains: Vec<Chain>,
    /// Cumulative sums of the rates of the chains.
    pub cumulative: Vec<f64>,
    /// Indices of the chains through each runner.
    pub by_runner: SecondaryMap<RunnerId, Vec<u32>>,
    /// Layers whose holders limit the bound.
    pub tight: Vec<LayerRange>,
    /// First contiguous range of layers that no open runner holds.
    pub uncovered: Option<LayerRange>,
    /// Number of chains generated while planning.
    pub generated_columns: usize,
    /// Mean number of stages of a route, weighted by planned rate.
    pub mean_stages: f64,
    /// Mean number of changes of failure domain on a route, weighted by planned rate.
    pub mean_domain_changes: f64,
}

/// Pair of failure domains between which a chain changes runner, ordered by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hop(pub DomainId, pub DomainId);

impl Chain {
    /// Returns the hop of each change of runner.
    fn hops<'a>(&'a self, fleet: &'a Fleet) -> impl Iterator<Item = Hop> + 'a {
        let domain = |stage: &(RunnerId, LayerRange)| fleet.runners[stage.0].domain;
        self.stages
            .windows(2)
            .map(move |w| Hop::new(domain(&w[0]), domain(&w[1])))
    }
}

impl Hop {
    /// Creates the hop between `a` and `b`, in either order.
    pub fn new(a: DomainId, b: DomainId) -> Self {
        Self(a.min(b), a.max(b))
    }
}

/// Computes the plan of a model from the open runners, processed in the given order.
pub fn plan_model(fleet: &Fleet, links: &Links, model: ModelId, order: &[RunnerId]) -> ModelPlan {
    let pool = Pool::new(fleet, model, order);
    if let Some(layers) = pool.uncovered() {
        return ModelPlan {
            uncovered: Some(layers),
            ..ModelPlan::default()
        };
    }
    let rate = flow::max_rate(&pool.lengths, &pool.supplies());
    let max_rate = rate.tokens_per_s;
    let capacities = link_capacities(links, fleet.models[model].activation_bytes);
    let mut limited = capacities.clone();
    limited.retain(|_, tokens_per_s| *tokens_per_s < max_rate);
    let link_bound = flow::link_bound(&pool.segment_rates(), &limited);
    let mut plan = ModelPlan {
        bound: max_rate.min(link_bound),
        tight: rate.tight.iter().map(|&s| pool.segments[s]).collect(),
        ..ModelPlan::default()
    };
    for _ in 0..MAX_LINK_ROUNDS {
        let solution = Planner::new(&pool, &limited, max_rate).solve();
        plan.generated_columns += solution.generated_columns;
        plan.chains = solution.chains;
        let overloads = overloaded(fleet, &capacities, &plan.chains);
        if overloads.is_empty() {
            break;
        }
        limited.extend(overloads.into_keys().map(|hop| (hop, capacities[&hop])));
    }
    scale_to_link_capacities(fleet, &capacities, &mut plan.chains);
    plan.summarise(fleet);
    plan
}

/// Returns the capacity of each link with a finite one, in tokens per second.
fn link_capacities(links: &Links, activation_bytes: u64) -> BTreeMap<Hop, f64> {
    let all = links
        .iter()
        .map(|(a, b, l)| (Hop::new(a, b), l.tokens_per_s(activation_bytes)));
    all.filter(|(_, tokens_per_s)| tokens_per_s.is_finite())
        .collect()
}

/// Returns the links whose capacity the chains exceed, with the ratio of capacity to demand.
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
        .filter(|(_, share)| *share < 1.0 - LINK_OVERLOAD_TOLERANCE)
        .collect()
}

/// Scales down the chains over overloaded links to the capacity of these links.
fn scale_to_link_capacities(fleet: &Fleet, capacities: &BTreeMap<Hop, f64>, chains: &mut [Chain]) {
    let overloads = overloaded(fleet, capacities, chains);
    for chain in chains {
        let shares = chain
            .hops(fleet)
            .filter_map(|hop| overloads.get(&hop).copied());
        chain.tokens_per_s *= shares.fold(1.0, f64::min);
    }
}

impl ModelPlan {
    /// Computes the totals, means and indices from the chains.
    fn summarise(&mut self, fleet: &Fleet) {
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

    /// Returns the index of a chain through `runner`; `point` in `[0, 1)` selects one uniformly.
    pub fn chain_through(&self, runner: RunnerId, point: f64) -> Option<usize> {
        let chains = &self.by_runner[runner];
        chains
            .get((point * chains.len() as f64) as usize)
            .map(|&i| i as usize)
    }

    /// Returns the index of the chain at `point` in `[0, 1)` of the cumulative rate. The plan must
    /// have at least one chain.
    pub fn chain_at(&self, point: f64) -> usize {
        let at = point * self.planned;
        self.cumulative
            .partition_point(|&sum| sum <= at)
            .min(self.chains.len() - 1)
    }
}
