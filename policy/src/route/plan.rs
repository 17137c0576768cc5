//! The plan: for each model, chains of runners with the rate each should carry.
//!
//! The bound comes from [`super::flow`]. The chains are the solution of a linear program
//! ([`super::packing`]): no runner gets more token-layers a second than its speed, no link more
//! tokens than it lets through, and the rate is as great as it can be, with a small charge for
//! each change of runner. Chains are brought in one after another, each the cheapest at the
//! present prices of runners and links ([`super::cheapest`]), until none gains or the limit of
//! steps is reached; what is reached by then is a plan too, if a lesser one.
//!
//! The order of all steps is that of runner names, not of arrival, so each instance comes to the
//! same plan from the same inputs.

use super::cheapest::{Prices, Ways};
use super::fleet::Fleet;
use super::flow::{self, Supply};
use super::link::Links;
use super::packing::{Packing, Uses};
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use std::collections::BTreeMap;

/// Charge for each change of runner, against the gain of 1 of a whole chain.
const HOP_CHARGE: f64 = 0.002;
/// The plan is good enough once no more than this share can be gained.
const GOOD_ENOUGH: f64 = 0.01;
/// Links are left out of the program as long as no chain asks too much of them, and brought in
/// where one does, in so many rounds at most.
const LINK_ROUNDS: usize = 3;
/// A link that is over its limit by no more than this share is not relieved.
const SLIGHTLY_OVER: f64 = 1e-6;
/// The most chains brought in.
const MAX_STEPS: usize = 2_000;
/// The most chains brought in, times the square of the number of resources, which is what bringing
/// one in costs: bounds the time of a plan of very many runners.
const MAX_WORK: usize = 40_000_000;

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
}

/// Two domains between which a chain changes runner, in order of their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hop(DomainId, DomainId);

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

/// A runner as the plan of one model sees it.
pub struct Candidate {
    /// Runner.
    pub id: RunnerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Speed for this model, in token-layers a second.
    pub speed: f64,
    segments: Vec<usize>,
}

/// Makes the plan of a model from the open runners. Runners with several models give each an
/// equal part of their speed.
pub fn plan_model(fleet: &Fleet, links: &Links, model: ModelId, order: &[RunnerId]) -> ModelPlan {
    let spec = &fleet.models[model];
    let open = || {
        order
            .iter()
            .copied()
            .filter(|&id| fleet.runners[id].is_open())
    };
    let held = open().flat_map(|id| fleet.runners[id].ranges(model));
    let segments = flow::segments(spec.layers, held);
    let candidates: Vec<Candidate> = open()
        .filter_map(|id| candidate(fleet, model, id, &segments))
        .collect();
    let holders: Vec<Vec<usize>> = (0..segments.len())
        .map(|s| {
            (0..candidates.len())
                .filter(|&c| candidates[c].segments.contains(&s))
                .collect()
        })
        .collect();
    if let Some(s) = holders.iter().position(Vec::is_empty) {
        return ModelPlan {
            uncovered: Some(segments[s]),
            ..ModelPlan::default()
        };
    }
    let lengths: Vec<u32> = segments.iter().map(|s| s.count()).collect();
    let rate = flow::max_rate(&lengths, &group(&candidates));
    let capacities = link_capacities(links, spec.activation_bytes);
    let unit = rate.tokens_per_s;
    let mut limited = capacities.clone();
    limited.retain(|_, tokens_per_s| *tokens_per_s < unit);
    let link_bound = flow::link_bound(&rooms(&candidates, &lengths), &limited);
    let mut plan = ModelPlan {
        bound: unit.min(link_bound),
        tight: rate.tight.iter().map(|&s| segments[s]).collect(),
        ..ModelPlan::default()
    };
    let ways = Ways {
        lengths: &lengths,
        holders: &holders,
        candidates: &candidates,
    };
    for _ in 0..LINK_ROUNDS {
        Planner::new(&ways, &limited, unit).solve(&segments, &mut plan);
        let over = overloaded(fleet, &capacities, &plan.chains);
        if over.is_empty() {
            break;
        }
        limited.extend(over.into_keys().map(|hop| (hop, capacities[&hop])));
    }
    relieve(fleet, &capacities, &mut plan.chains);
    plan.sum_up();
    plan
}

fn candidate(
    fleet: &Fleet,
    model: ModelId,
    id: RunnerId,
    segments: &[LayerRange],
) -> Option<Candidate> {
    let runner = &fleet.runners[id];
    let holds = |s: &usize| runner.holds(model, segments[*s]);
    let held: Vec<usize> = (0..segments.len()).filter(holds).collect();
    let speed = runner.speed / f64::from(runner.model_count().max(1));
    let usable = !held.is_empty() && speed.is_finite() && speed > 0.0;
    usable.then_some(Candidate {
        id,
        domain: runner.domain,
        speed,
        segments: held,
    })
}

/// Runners that hold the same segments, as supplies.
fn group(candidates: &[Candidate]) -> Vec<Supply> {
    let mut groups: BTreeMap<&[usize], u64> = BTreeMap::new();
    for c in candidates {
        *groups.entry(&c.segments).or_default() += (c.speed * 1e3) as u64;
    }
    let supply = |(segments, speed_milli): (&[usize], u64)| Supply {
        speed_milli,
        segments: segments.to_vec(),
    };
    groups.into_iter().map(supply).collect()
}

/// Tokens a second that the runners of each domain could run of each segment if they ran no other.
fn rooms(candidates: &[Candidate], lengths: &[u32]) -> Vec<BTreeMap<DomainId, f64>> {
    let mut rooms = vec![BTreeMap::new(); lengths.len()];
    for c in candidates {
        for &s in &c.segments {
            *rooms[s].entry(c.domain).or_default() += c.speed / f64::from(lengths[s]);
        }
    }
    rooms
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

/// The linear program of one model.
struct Planner<'a> {
    ways: &'a Ways<'a>,
    /// Unit of rates: the bound, in tokens a second.
    unit: f64,
    /// Resource of each limited link, with its capacity in units.
    links: BTreeMap<Hop, (usize, f64)>,
    packing: Packing,
    paths: Vec<Vec<usize>>,
}

impl<'a> Planner<'a> {
    fn new(ways: &'a Ways<'a>, capacities: &BTreeMap<Hop, f64>, unit: f64) -> Self {
        let runners = ways.candidates.len();
        let number = |(i, (&hop, &c)): (usize, (&Hop, &f64))| (hop, (runners + i, c / unit));
        let links = capacities.iter().enumerate().map(number).collect();
        let packing = Packing::new(runners + capacities.len());
        Self {
            ways,
            unit,
            links,
            packing,
            paths: Vec::new(),
        }
    }

    fn solve(mut self, segments: &[LayerRange], plan: &mut ModelPlan) {
        let rows = self.packing.rows().max(1);
        let steps = MAX_STEPS.min(MAX_WORK / (rows * rows));
        while self.paths.len() < steps && self.step() {}
        plan.steps += self.paths.len();
        plan.chains.clear();
        for (i, rate) in self.packing.columns() {
            let stages = self.stages(&self.paths[i], segments);
            plan.chains.push(Chain {
                stages,
                tokens_per_s: rate * self.unit,
            });
        }
    }

    /// Brings one chain in; says whether there may be more to gain.
    fn step(&mut self) -> bool {
        let prices = self.packing.prices();
        let per_layer: Vec<f64> = self
            .ways
            .candidates
            .iter()
            .zip(&prices)
            .map(|(c, price)| price.max(0.0) * self.unit / c.speed)
            .collect();
        let links: BTreeMap<Hop, f64> = self
            .links
            .iter()
            .map(|(&hop, &(row, capacity))| (hop, prices[row].max(0.0) / capacity))
            .filter(|(_, price)| *price > 0.0)
            .collect();
        let prices = Prices {
            per_layer: &per_layer,
            links: &links,
            per_hop: HOP_CHARGE,
        };
        let Some(cheapest) = self.ways.cheapest(&prices) else {
            return false;
        };
        if 1.0 - cheapest.least < GOOD_ENOUGH * self.packing.gained() {
            return false;
        }
        let (uses, gain) = self.column(&cheapest.path);
        let paid: f64 = self.paid(&cheapest.path, &prices);
        if gain <= paid {
            return false;
        }
        let id = self.paths.len();
        self.paths.push(cheapest.path);
        self.packing.enter(&uses, gain, id)
    }

    /// What a path pays for runners and links.
    fn paid(&self, path: &[usize], prices: &Prices<'_>) -> f64 {
        let layers = path.iter().zip(self.ways.lengths);
        let runners: f64 = layers
            .map(|(&c, &n)| prices.per_layer[c] * f64::from(n))
            .sum();
        let links: f64 = self
            .hops(path)
            .iter()
            .filter_map(|hop| prices.links.get(hop))
            .sum();
        runners + links
    }

    /// Pairs of domains between which a path changes runner.
    fn hops(&self, path: &[usize]) -> Vec<Hop> {
        let domain = |c: usize| self.ways.candidates[c].domain;
        let changes = path.windows(2).filter(|w| w[0] != w[1]);
        changes
            .map(|w| Hop::new(domain(w[0]), domain(w[1])))
            .collect()
    }

    /// What a path uses of each resource, and what it gains.
    fn column(&self, path: &[usize]) -> (Uses, f64) {
        let mut uses: BTreeMap<usize, f64> = BTreeMap::new();
        for (&c, &layers) in path.iter().zip(self.ways.lengths) {
            let share = f64::from(layers) * self.unit / self.ways.candidates[c].speed;
            *uses.entry(c).or_default() += share;
        }
        let hops = self.hops(path);
        for hop in &hops {
            if let Some(&(row, capacity)) = self.links.get(hop) {
                *uses.entry(row).or_default() += 1.0 / capacity;
            }
        }
        (
            uses.into_iter().collect(),
            1.0 - HOP_CHARGE * hops.len() as f64,
        )
    }

    fn stages(&self, path: &[usize], segments: &[LayerRange]) -> Vec<(RunnerId, LayerRange)> {
        let mut stages: Vec<(RunnerId, LayerRange)> = Vec::new();
        for (&c, segment) in path.iter().zip(segments) {
            let id = self.ways.candidates[c].id;
            match stages.last_mut() {
                Some((last, layers)) if *last == id => layers.end = segment.end,
                _ => stages.push((id, *segment)),
            }
        }
        stages
    }
}

impl ModelPlan {
    fn sum_up(&mut self) {
        let mut sum = 0.0;
        for (i, chain) in self.chains.iter().enumerate() {
            sum += chain.tokens_per_s;
            self.cumulative.push(sum);
            for &(id, _) in &chain.stages {
                self.by_runner[id].push(i as u32);
            }
        }
        self.planned = sum;
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
