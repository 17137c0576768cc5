//! The plan: for each model, chains of runners with the rate each should carry.
//!
//! [`super::flow`] says how many tokens a second each runner should run of each segment. Chains
//! are taken out of that one after another: from segment to segment a chain stays on its runner
//! where that has a share left, and else goes to the runner with the greatest share left over the
//! best link. Its rate is the smallest share on its way, so each chain uses up at least one share
//! and their number is at most that of the shares.
//!
//! The order of all steps is that of runner names, not of arrival, so each instance comes to the
//! same plan from the same inputs.

use super::fleet::Fleet;
use super::flow::{self, Supply};
use super::link::{Link, Links};
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use std::collections::BTreeMap;

/// Chains that would carry less than this share of the bound are left out.
const LEAST_SHARE: f64 = 1e-4;
/// The most chains of one model: bounds the time to plan and the plan's memory.
const MAX_CHAINS: usize = 512;

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
    /// Layers whose holders stop the bound from being greater.
    pub tight: Vec<LayerRange>,
    /// First run of layers that no open runner holds.
    pub uncovered: Option<LayerRange>,
}

/// A runner as the plan of one model sees it.
struct Candidate {
    id: RunnerId,
    domain: DomainId,
    /// Speed for this model, in token-layers a second.
    speed: f64,
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
    let uncovered = (0..segments.len())
        .find(|s| !candidates.iter().any(|c| c.segments.contains(s)))
        .map(|s| segments[s]);
    if uncovered.is_some() {
        return ModelPlan {
            uncovered,
            ..ModelPlan::default()
        };
    }
    let lengths: Vec<u32> = segments.iter().map(|s| s.count()).collect();
    let (supplies, members) = group(&candidates);
    let allocation = flow::allocate(&lengths, &supplies);
    let capacities = Capacities::new(links, spec.activation_bytes);
    let rooms = rooms(&candidates, &lengths);
    let link_bound = flow::link_bound(&rooms, &capacities.below(allocation.tokens_per_s));
    let mut plan = ModelPlan {
        bound: allocation.tokens_per_s.min(link_bound),
        tight: allocation.tight.iter().map(|&s| segments[s]).collect(),
        ..ModelPlan::default()
    };
    let mut shares = Shares::split(&allocation, &members, &candidates, capacities);
    let least = allocation.tokens_per_s * LEAST_SHARE;
    while plan.chains.len() < MAX_CHAINS
        && let Some(chain) = shares.take_chain(&candidates, &segments, links, least)
    {
        plan.chains.push(chain);
    }
    plan.sum_up();
    plan
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

/// What is left of the links' capacities, in tokens a second; links without a limit are absent.
struct Capacities {
    left: BTreeMap<(DomainId, DomainId), f64>,
}

impl Capacities {
    fn new(links: &Links, activation_bytes: u64) -> Self {
        let limited = links
            .iter()
            .filter(|(.., link)| link.bytes_per_s.is_finite());
        let entry = |(a, b, link): (_, _, Link)| ((a, b), link.tokens_per_s(activation_bytes));
        Self {
            left: limited.map(entry).collect(),
        }
    }

    fn below(&self, tokens_per_s: f64) -> BTreeMap<(DomainId, DomainId), f64> {
        self.left
            .iter()
            .filter(|(_, left)| **left < tokens_per_s)
            .map(|(&k, &v)| (k, v))
            .collect()
    }

    fn between(&self, a: DomainId, b: DomainId) -> f64 {
        self.left
            .get(&(a.min(b), a.max(b)))
            .copied()
            .unwrap_or(f64::INFINITY)
    }

    fn take(&mut self, a: DomainId, b: DomainId, tokens_per_s: f64) {
        if let Some(left) = self.left.get_mut(&(a.min(b), a.max(b))) {
            *left -= tokens_per_s;
        }
    }
}

impl ModelPlan {
    fn sum_up(&mut self) {
        self.cumulative.clear();
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

    /// Index of the chain at `point` in `[0, 1)` of the planned rate.
    pub fn chain_at(&self, point: f64) -> usize {
        let at = point * self.planned;
        self.cumulative
            .partition_point(|&sum| sum <= at)
            .min(self.chains.len() - 1)
    }
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

/// Runners that hold the same segments, as supplies, and the candidates in each.
fn group(candidates: &[Candidate]) -> (Vec<Supply>, Vec<Vec<usize>>) {
    let mut groups: BTreeMap<&[usize], Vec<usize>> = BTreeMap::new();
    for (i, c) in candidates.iter().enumerate() {
        groups.entry(&c.segments).or_default().push(i);
    }
    let supply = |(segments, members): (&&[usize], &Vec<usize>)| Supply {
        speed_milli: members
            .iter()
            .map(|&i| (candidates[i].speed * 1e3) as u64)
            .sum(),
        segments: segments.to_vec(),
    };
    (
        groups.iter().map(supply).collect(),
        groups.into_values().collect(),
    )
}

/// What is left of each runner's rate in each segment.
struct Shares {
    /// For each segment, `(candidate, tokens a second left)`.
    left: Vec<Vec<(usize, f64)>>,
    links: Capacities,
}

impl Shares {
    fn split(
        allocation: &flow::Allocation,
        members: &[Vec<usize>],
        candidates: &[Candidate],
        links: Capacities,
    ) -> Self {
        let mut left = Vec::new();
        for shares in &allocation.shares {
            let mut row = Vec::new();
            for &(supply, tokens) in shares {
                let total: f64 = members[supply].iter().map(|&i| candidates[i].speed).sum();
                for &i in &members[supply] {
                    row.push((i, tokens * candidates[i].speed / total));
                }
            }
            left.push(row);
        }
        Self { left, links }
    }

    /// Takes out one chain; `None` once no share is left in the first segment.
    fn take_chain(
        &mut self,
        candidates: &[Candidate],
        segments: &[LayerRange],
        links: &Links,
        least: f64,
    ) -> Option<Chain> {
        loop {
            let mut path: Vec<usize> = Vec::new();
            let mut rate = f64::INFINITY;
            for s in 0..segments.len() {
                let Some(slot) = self.choose(s, &path, candidates, links, least) else {
                    break;
                };
                let (candidate, left) = self.left[s][slot];
                path.push(candidate);
                rate = rate.min(left);
            }
            if path.is_empty() {
                return None;
            }
            let hops = hops(&path, candidates);
            for &(a, b) in &hops {
                let times = hops.iter().filter(|hop| **hop == (a, b)).count();
                rate = rate.min(self.links.between(a, b) / times as f64);
            }
            for (a, b) in hops {
                self.links.take(a, b, rate);
            }
            for (s, &candidate) in path.iter().enumerate() {
                let share = self.left[s].iter_mut().find(|(c, _)| *c == candidate);
                share.expect("chosen above").1 -= rate;
            }
            if path.len() == segments.len() {
                return Some(chain(&path, candidates, segments, rate));
            }
        }
    }

    /// Slot of the runner that continues `path` in segment `s`.
    fn choose(
        &self,
        s: usize,
        path: &[usize],
        candidates: &[Candidate],
        links: &Links,
        least: f64,
    ) -> Option<usize> {
        let last = path.last().copied();
        let usable = |c: usize| Some(c) == last || !path.contains(&c);
        let mut best: Option<(f64, usize)> = None;
        for (slot, &(c, left)) in self.left[s].iter().enumerate() {
            if left <= least || !usable(c) {
                continue;
            }
            if Some(c) == last {
                return Some(slot);
            }
            let mut latency = 0.0;
            if let Some(l) = last {
                let (from, to) = (candidates[l].domain, candidates[c].domain);
                if self.links.between(from, to) <= least {
                    continue;
                }
                latency = links.between(from, to).latency_us;
            }
            let score = left / (1.0 + latency);
            if best.is_none_or(|(most, _)| score > most) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

/// Pairs of domains that a path crosses from one runner to the next, smaller first.
fn hops(path: &[usize], candidates: &[Candidate]) -> Vec<(DomainId, DomainId)> {
    let steps = path.windows(2).filter(|w| w[0] != w[1]);
    let domains = steps.map(|w| (candidates[w[0]].domain, candidates[w[1]].domain));
    domains.map(|(a, b)| (a.min(b), a.max(b))).collect()
}

fn chain(path: &[usize], candidates: &[Candidate], segments: &[LayerRange], rate: f64) -> Chain {
    let mut stages: Vec<(RunnerId, LayerRange)> = Vec::new();
    for (&candidate, segment) in path.iter().zip(segments) {
        let id = candidates[candidate].id;
        match stages.last_mut() {
            Some((last, layers)) if *last == id => layers.end = segment.end,
            _ => stages.push((id, *segment)),
        }
    }
    Chain {
        stages,
        tokens_per_s: rate,
    }
}
