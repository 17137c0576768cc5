//! Chains: sequences of runners that together run all layers of a model.
//!
//! A chain covers the layers `0..n` with ranges of runners, without gap or overlap. A runner holds
//! one contiguous range and may run any part of it. [`ChainSearch`] finds the chains of least cost. The
//! last layer that a runner holds increases strictly along a chain. This excludes no coverable layer,
//! and prevents a runner from appearing twice in a chain, which runners refuse. [`ServiceChains`] keeps
//! the chains of a service and searches only the failure domains that changed. [`chain_set`] chooses the
//! set of chains of a failure domain.
//!
//! Chains stay inside one failure domain if possible: each hop between domains moves the activations
//! of every token, those of the prompt included, over a link that all chains share.
//!
//! *Room* is memory left beside the weights for the KV cache of requests.

mod decomposition;
mod search;
mod service_chains;

pub use decomposition::{ChainSet, chain_set, throughput};
pub use search::{ChainSearch, MAX_STEPS};
pub use service_chains::{ChainUpdate, ServiceChains};

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

/// Cost of a rate-limited or resting runner at the head of a chain, in milliseconds per token: above the cost of
/// any chain inside a domain without it, and below [`CROSSING_MS`].
const LIMITED_MS: f64 = 500.0;

/// Returns a runner as a holder if its layers are usable at `now`.
fn usable_holder<'a>(
    runners: &Runners,
    entry: &'a RunnerEntry,
    engine: &Engine,
    now: Millis,
) -> Option<Holder<'a>> {
    let holds = entry.fits_model(engine.layers) && runners.holds_layers(entry, now);
    holds.then(|| holder(entry, engine, &runners.health(&entry.id), now))?
}

fn holder<'a>(
    entry: &'a RunnerEntry,
    engine: &Engine,
    s: &RunnerHealth,
    now: Millis,
) -> Option<Holder<'a>> {
    let kind = engine.kinds.get(entry.kind.as_ref()?)?;
    let layers = entry.layers?.bounds();
    let share = 1.0 / f64::from(engine.layers);
    Some(Holder {
        entry,
        layers,
        limited: s.limited || s.rest_ms(now).is_some(),
        layer_ms: engine.step_ms * kind.pace * s.slowness() * share,
        room: engine.room(kind, entry.held(), 1),
        target_room: engine.room_tokens,
    })
}

/// Returns the holders of `domain` among `runners` that are usable for a service's layers.
#[must_use]
pub fn domain_holders<'a>(
    runners: &'a Runners,
    domain: &str,
    service: &str,
    engine: &Engine,
    now: Millis,
) -> Vec<Holder<'a>> {
    let of_service = runners.in_domain(domain).filter(|e| *e.service == *service);
    of_service
        .filter_map(|e| usable_holder(runners, e, engine, now))
        .collect()
}

/// Returns the chains of each failure domain, which have no runner in common. If no domain has any,
/// returns one that crosses domains, if there is one.
#[must_use]
pub fn chains(runners: &Runners, service: &str, engine: &Engine, now: Millis) -> Vec<Chain> {
    let mut all = ServiceChains::default();
    all.update(runners, service, engine, now);
    all.chains().cloned().collect()
}

/// Returns the chain of least cost over layers `0..layers`, if the holders cover them.
#[must_use]
pub fn cheapest_chain(holders: &[Holder<'_>], layers: u32) -> Option<Chain> {
    ChainSearch::new(holders, layers).next_chain()
}

/// Returns chains of holders over layers `0..layers` without a runner in common, the cheapest first.
#[must_use]
pub fn disjoint_chains(holders: &[Holder<'_>], layers: u32) -> Vec<Chain> {
    ChainSearch::new(holders, layers).all_chains()
}
