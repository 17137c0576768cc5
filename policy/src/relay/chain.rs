//! Chains: through which runners a token passes.
//!
//! A chain covers the layers `0..n` with ranges of runners, without gap or overlap. A runner holds
//! one contiguous range and may run any part of it. [`cheapest`] walks the layers from the left:
//! at each boundary it keeps the cheapest way to get there. The last layer that a runner holds
//! grows strictly along a chain; that loses no cover, and no runner can stand in a chain twice,
//! which runners refuse.
//!
//! Chains stay inside one failure domain as long as one can be found there: each crossing moves
//! the activations of every token, the prompt's included, over one pipe that all chains share.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::relay::intent::Engine;
use crate::relay::runners::{RunnerEntry, RunnerHealth, Runners};

/// A runner that can take part in a chain.
#[derive(Clone, Debug)]
pub struct Holder<'a> {
    /// Runner.
    pub entry: &'a RunnerEntry,
    /// Layers held: first, and one past the last.
    pub layers: (u32, u32),
    /// Whether it names a rate beyond which it gets no requests: a first runner gets all of a chain's.
    pub limited: bool,
    /// Time of a token step a layer, in milliseconds.
    pub layer_ms: f64,
    /// Memory beside the weights, as tokens times layers.
    pub room: f64,
    /// Tokens that a chain should have room for.
    pub wanted: f64,
}

impl Holder<'_> {
    /// Cost of running `used` layers here, in milliseconds a token.
    fn cost(&self, used: u32) -> f64 {
        let room = self.room / f64::from(used.max(1));
        let short = (1.0 - room / self.wanted.max(1.0)).max(0.0);
        STAGE_MS + f64::from(used) * self.layer_ms + short * SHORT_MS
    }
}

/// One runner's part of a chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Runner.
    pub runner: RunnerEntry,
    /// First layer, and one past the last.
    pub layers: (u32, u32),
    /// Memory of the runner beside the weights, as tokens times layers.
    pub room: f64,
}

impl Stage {
    /// Layers that a token runs here.
    #[must_use]
    pub fn count(&self) -> f64 {
        f64::from(self.layers.1 - self.layers.0)
    }
}

/// Runners that hold a whole model between them.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Failure domain; `None`: it crosses domains.
    pub domain: Option<Name>,
    /// Parts in order.
    pub stages: Vec<Stage>,
    /// Time of a token step, in milliseconds, as the declared figures have it.
    pub step_ms: f64,
    /// Tokens that have room along the whole chain.
    pub room_tokens: f64,
}

impl Chain {
    /// The runner that requests are sent to.
    #[must_use]
    pub fn head(&self) -> &RunnerEntry {
        &self.stages[0].runner
    }

    /// Whether a runner takes part.
    #[must_use]
    pub fn has(&self, id: &str) -> bool {
        self.stages.iter().any(|s| *s.runner.id == *id)
    }

    /// Whether two chains send through the same parts.
    #[must_use]
    pub fn same_stages(&self, other: &Chain) -> bool {
        let key = |s: &Stage| (s.runner.id.clone(), s.runner.born_ms, s.layers);
        self.stages.iter().map(key).eq(other.stages.iter().map(key))
    }
}

/// Cost of one more runner in a chain, in milliseconds a token: the hop, and one more thing that
/// may fail.
const STAGE_MS: f64 = 0.25;

/// Cost of a part that has no room at all for requests, in milliseconds a token, and its share
/// where it has some of the room that is wanted: a chain has the room of its tightest part, and a
/// chain with half the room serves half as many, however fast it is.
const SHORT_MS: f64 = 12.0;

/// Cost of a hop into another failure domain, in milliseconds a token: above what any chain inside
/// a domain costs, so that a crossing is only ever the last resort.
const CROSSING_MS: f64 = 1_000.0;

/// Cost of a limited runner at the beginning of a chain, in milliseconds a token: above what a chain inside
/// a domain costs without it, and below a crossing.
const LIMITED_MS: f64 = 500.0;

/// Usable holders of a service's layers.
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
        wanted: engine.room_tokens,
    })
}

/// The chains of each failure domain, which have no runner in common; where no domain has any, one
/// that crosses domains.
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
        while let Some(mut chain) = cheapest(&holders, engine.layers) {
            holders.retain(|h| !chain.has(&h.entry.id));
            chain.domain = Some(domain.clone());
            chains.push(chain);
        }
    }
    if chains.is_empty() {
        chains.extend(cheapest(&holders, engine.layers));
    }
    chains
}

/// The best way known to a boundary: its cost, the last holder, where its part begins.
#[derive(Clone, Copy, Debug)]
struct Way {
    cost: f64,
    holder: usize,
    from: u32,
}

/// The chain of least cost over layers `0..layers`, if the holders cover them.
#[must_use]
pub fn cheapest(holders: &[Holder<'_>], layers: u32) -> Option<Chain> {
    let cuts = cuts(holders, layers);
    // Best way to each cut by each last holder.
    let mut best: BTreeMap<u32, BTreeMap<usize, Way>> = BTreeMap::new();
    for &from in cuts.iter().filter(|c| **c < layers) {
        let arrived: Vec<(Option<usize>, f64)> = match from {
            0 => vec![(None, 0.0)],
            _ => best.get(&from).map_or_else(Vec::new, |ways| {
                ways.iter().map(|(h, w)| (Some(*h), w.cost)).collect()
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
            extend(&mut best, &cuts, holder, next, from, base);
        }
    }
    chain_of(holders, &best, layers)
}

fn cuts(holders: &[Holder<'_>], layers: u32) -> Vec<u32> {
    let ends = holders.iter().flat_map(|h| [h.layers.0, h.layers.1]);
    let mut cuts: Vec<u32> = ends.chain([0, layers]).filter(|c| *c <= layers).collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

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

fn extend(
    best: &mut BTreeMap<u32, BTreeMap<usize, Way>>,
    cuts: &[u32],
    holder: &Holder<'_>,
    index: usize,
    from: u32,
    base: f64,
) {
    for &to in cuts.iter().filter(|c| **c > from && **c <= holder.layers.1) {
        let cost = base + holder.cost(to - from);
        let ways = best.entry(to).or_default();
        if ways.get(&index).is_none_or(|w| cost < w.cost) {
            ways.insert(
                index,
                Way {
                    cost,
                    holder: index,
                    from,
                },
            );
        }
    }
}

fn chain_of(
    holders: &[Holder<'_>],
    best: &BTreeMap<u32, BTreeMap<usize, Way>>,
    layers: u32,
) -> Option<Chain> {
    let by_cost = |a: &&Way, b: &&Way| a.cost.total_cmp(&b.cost);
    let mut way = best.get(&layers)?.values().min_by(by_cost)?;
    let mut to = layers;
    let mut stages = Vec::new();
    let mut step_ms = 0.0;
    let mut room_tokens = f64::INFINITY;
    loop {
        let holder = &holders[way.holder];
        let used = f64::from(to - way.from);
        step_ms += used * holder.layer_ms;
        room_tokens = room_tokens.min(holder.room / used);
        stages.push(Stage {
            runner: holder.entry.clone(),
            layers: (way.from, to),
            room: holder.room,
        });
        if way.from == 0 {
            break;
        }
        to = way.from;
        let end = holder.layers.1;
        let before = best.get(&to)?.values();
        let fits = before.filter(|w| holders[w.holder].layers.1 < end);
        way = fits.min_by(|a, b| {
            let crossing = |w: &Way| {
                let same = holders[w.holder].entry.domain == holder.entry.domain;
                if same { w.cost } else { w.cost + CROSSING_MS }
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
