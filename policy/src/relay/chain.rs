//! Chains: sequences of runners that together run all layers of a model.
//!
//! A chain covers the layers `0..n` with ranges of runners, without gap or overlap. A runner holds
//! one contiguous range and may run any part of it. [`cheapest_chain`] is a shortest-path search over the
//! range boundaries: for each boundary it keeps the path of least cost. The last layer that a runner
//! holds increases strictly along a chain. This excludes no coverable layer, and prevents a runner
//! from appearing twice in a chain, which runners refuse.
//!
//! Chains stay inside one failure domain if possible: each hop between domains moves the activations
//! of every token, those of the prompt included, over a link that all chains share.
//!
//! *Room* is memory left beside the weights for the KV cache of requests.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::relay::intent::Engine;
use crate::relay::runners::{RunnerEntry, RunnerHealth, Runners};

/// A runner that holds layers and can take part in a chain.
#[derive(Clone, Debug)]
pub struct Holder<'a> {
    /// Runner.
    pub entry: &'a RunnerEntry,
    /// Layers held, end exclusive.
    pub layers: (u32, u32),
    /// Whether it announces a rate limit. The first runner of a chain receives all its requests.
    pub limited: bool,
    /// Time of a token step for one layer, in milliseconds.
    pub layer_ms: f64,
    /// Room, as tokens times layers.
    pub room: f64,
    /// Target room of a chain, in tokens.
    pub target_room: f64,
}

impl Holder<'_> {
    /// Returns the cost of running `used` layers on this runner, in milliseconds per token.
    fn cost(&self, used: u32) -> f64 {
        let room = self.room / f64::from(used.max(1));
        let shortfall = (1.0 - room / self.target_room.max(1.0)).max(0.0);
        STAGE_MS + f64::from(used) * self.layer_ms + shortfall * NO_ROOM_MS
    }
}

/// A part of a chain: the layers that one runner runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Runner.
    pub runner: RunnerEntry,
    /// Layers, end exclusive.
    pub layers: (u32, u32),
    /// Room of the runner, as tokens times layers.
    pub room: f64,
}

impl Stage {
    /// Returns the number of layers.
    #[must_use]
    pub fn count(&self) -> f64 {
        f64::from(self.layers.1 - self.layers.0)
    }
}

/// A sequence of stages that covers all layers of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Failure domain, or `None` if the chain crosses domains.
    pub domain: Option<Name>,
    /// Stages in the order of layers.
    pub stages: Vec<Stage>,
    /// Estimated time of a token step, in milliseconds, from the declared speeds.
    pub step_ms: f64,
    /// Room of the stage that has the least, in tokens.
    pub room_tokens: f64,
}

impl Chain {
    /// Returns the first runner, which receives the requests.
    #[must_use]
    pub fn head(&self) -> &RunnerEntry {
        &self.stages[0].runner
    }

    /// Returns whether a runner takes part in the chain.
    #[must_use]
    pub fn has(&self, id: &str) -> bool {
        self.stages.iter().any(|s| *s.runner.id == *id)
    }

    /// Returns whether two chains have the same stages on the same lifetimes of runners.
    #[must_use]
    pub fn same_stages(&self, other: &Chain) -> bool {
        let key = |s: &Stage| (s.runner.id.clone(), s.runner.born_ms, s.layers);
        self.stages.iter().map(key).eq(other.stages.iter().map(key))
    }
}

/// Cost of a further stage, in milliseconds per token: the network hop, and one more point of
/// failure.
const STAGE_MS: f64 = 0.25;

/// Cost of a stage without any room, in milliseconds per token; proportionally less with a part of
/// the target room. A chain has the room of its tightest stage, and one with half the room serves
/// half as many requests, however fast it is.
const NO_ROOM_MS: f64 = 12.0;

/// Cost of a hop into another failure domain, in milliseconds per token. It exceeds the cost of any
/// chain inside a domain, so that chains cross domains only as a last resort.
const CROSSING_MS: f64 = 1_000.0;

/// Cost of a rate-limited runner at the head of a chain, in milliseconds per token: above the cost of
/// any chain inside a domain without it, and below [`CROSSING_MS`].
const LIMITED_MS: f64 = 500.0;

/// Returns the usable holders of a service's layers.
#[must_use]
pub fn holders<'a>(
    runners: &'a Runners,
    service: &str,
    engine: &Engine,
    now: Millis,
) -> Vec<Holder<'a>> {
    let mut found = Vec::new();
    for entry in runners.entries().filter(|e| *e.service == *service) {
        if !runners.holds_layers(entry, now) {
            continue;
        }
        let health = runners.health(&entry.id);
        if let Some(holder) = holder(entry, engine, &health) {
            found.push(holder);
        }
    }
    found
}

fn holder<'a>(entry: &'a RunnerEntry, engine: &Engine, s: &RunnerHealth) -> Option<Holder<'a>> {
    let kind = engine.kinds.get(entry.kind.as_ref()?)?;
    let (from, to) = entry.layers?;
    let layers = (from, to.min(engine.layers));
    let share = 1.0 / f64::from(engine.layers);
    Some(Holder {
        entry,
        layers,
        limited: s.limited,
        layer_ms: engine.step_ms * kind.pace * s.slowness() * share,
        room: engine.room(kind, entry.held(), 1),
        target_room: engine.room_tokens,
    })
}

/// Returns the chains of each failure domain, which have no runner in common. If no domain has any,
/// returns one that crosses domains, if there is one.
#[must_use]
pub fn chains(runners: &Runners, service: &str, engine: &Engine, now: Millis) -> Vec<Chain> {
    let holders = holders(runners, service, engine, now);
    let mut by_domain: BTreeMap<Name, Vec<Holder<'_>>> = BTreeMap::new();
    for h in &holders {
        by_domain
            .entry(h.entry.domain.clone())
            .or_default()
            .push(h.clone());
    }
    let mut chains = Vec::new();
    for (domain, mut holders) in by_domain {
        while let Some(mut chain) = cheapest_chain(&holders, engine.layers) {
            holders.retain(|h| !chain.has(&h.entry.id));
            chain.domain = Some(domain.clone());
            chains.push(chain);
        }
    }
    if chains.is_empty() {
        chains.extend(cheapest_chain(&holders, engine.layers));
    }
    chains
}

/// The best known path to a boundary: its cost, its last holder and the first layer run there.
#[derive(Clone, Copy, Debug)]
struct Path {
    cost: f64,
    holder: usize,
    from: u32,
}

/// Returns the chain of least cost over layers `0..layers`, if the holders cover them.
#[must_use]
pub fn cheapest_chain(holders: &[Holder<'_>], layers: u32) -> Option<Chain> {
    let boundaries = boundaries(holders, layers);
    // Best path to each boundary, by last holder.
    let mut best: BTreeMap<u32, BTreeMap<usize, Path>> = BTreeMap::new();
    for &from in boundaries.iter().filter(|b| **b < layers) {
        let arrived: Vec<(Option<usize>, f64)> = match from {
            0 => vec![(None, 0.0)],
            _ => best.get(&from).map_or_else(Vec::new, |paths| {
                paths.iter().map(|(h, p)| (Some(*h), p.cost)).collect()
            }),
        };
        for (next, holder) in holders.iter().enumerate() {
            if holder.layers.0 > from || holder.layers.1 <= from {
                continue;
            }
            let Some(base) = cheapest_arrival(holders, &arrived, next) else {
                continue;
            };
            let limited_ms = if from == 0 && holder.limited {
                LIMITED_MS
            } else {
                0.0
            };
            let base = base + limited_ms;
            extend(&mut best, &boundaries, holder, next, from, base);
        }
    }
    reconstruct(holders, &best, layers)
}

/// Returns the layers at which a stage may begin or end, in ascending order.
fn boundaries(holders: &[Holder<'_>], layers: u32) -> Vec<u32> {
    let ends = holders.iter().flat_map(|h| [h.layers.0, h.layers.1]);
    let mut boundaries: Vec<u32> = ends.chain([0, layers]).filter(|b| *b <= layers).collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// Returns the least cost at which holder `next` can continue one of the paths in `arrived`.
fn cheapest_arrival(
    holders: &[Holder<'_>],
    arrived: &[(Option<usize>, f64)],
    next: usize,
) -> Option<f64> {
    let cost = |(last, cost): &(Option<usize>, f64)| match last {
        None => Some(*cost),
        Some(last) if holders[*last].layers.1 >= holders[next].layers.1 => None,
        Some(last) if holders[*last].entry.domain == holders[next].entry.domain => Some(*cost),
        Some(_) => Some(cost + CROSSING_MS),
    };
    arrived.iter().filter_map(cost).min_by(f64::total_cmp)
}

/// Extends a path of cost `base` that ends at layer `from` by `holder`, to each boundary that it
/// reaches.
fn extend(
    best: &mut BTreeMap<u32, BTreeMap<usize, Path>>,
    boundaries: &[u32],
    holder: &Holder<'_>,
    index: usize,
    from: u32,
    base: f64,
) {
    for &to in boundaries
        .iter()
        .filter(|b| **b > from && **b <= holder.layers.1)
    {
        let cost = base + holder.cost(to - from);
        let paths = best.entry(to).or_default();
        if paths.get(&index).is_none_or(|p| cost < p.cost) {
            paths.insert(
                index,
                Path {
                    cost,
                    holder: index,
                    from,
                },
            );
        }
    }
}

/// Reconstructs the cheapest chain from the paths to the last boundary.
fn reconstruct(
    holders: &[Holder<'_>],
    best: &BTreeMap<u32, BTreeMap<usize, Path>>,
    layers: u32,
) -> Option<Chain> {
    let by_cost = |a: &&Path, b: &&Path| a.cost.total_cmp(&b.cost);
    let mut path = best.get(&layers)?.values().min_by(by_cost)?;
    let mut to = layers;
    let mut stages = Vec::new();
    let mut step_ms = 0.0;
    let mut room_tokens = f64::INFINITY;
    loop {
        let holder = &holders[path.holder];
        let used = f64::from(to - path.from);
        step_ms += used * holder.layer_ms;
        room_tokens = room_tokens.min(holder.room / used);
        stages.push(Stage {
            runner: holder.entry.clone(),
            layers: (path.from, to),
            room: holder.room,
        });
        if path.from == 0 {
            break;
        }
        to = path.from;
        let end = holder.layers.1;
        let before = best.get(&to)?.values();
        let fits = before.filter(|p| holders[p.holder].layers.1 < end);
        path = fits.min_by(|a, b| {
            let crossing = |p: &Path| {
                let same = holders[p.holder].entry.domain == holder.entry.domain;
                if same { p.cost } else { p.cost + CROSSING_MS }
            };
            crossing(a).total_cmp(&crossing(b))
        })?;
    }
    stages.reverse();
    Some(Chain {
        domain: None,
        stages,
        step_ms,
        room_tokens,
    })
}
