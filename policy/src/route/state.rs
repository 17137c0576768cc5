//! Router section of the state dump.

use super::records::CloseReason;
use super::router::Router;
use crate::layers::LayerRange;
use crate::prelude::*;
use derive_more::Display;

/// Snapshot of the router's state and plans.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "routes: {replans} plans made, the last at {planned_at} ms, changes since: {dirty}\n{}{}",
    lines(models),
    lines(runners)
)]
pub struct RouterState {
    /// Number of replans since the start.
    pub replans: u64,
    /// Time of the last replan.
    pub planned_at: Millis,
    /// Whether any plan is out of date.
    pub dirty: bool,
    /// Models.
    pub models: Vec<ModelState>,
    /// Runners, ordered by name.
    pub runners: Vec<RunnerState>,
}

/// Snapshot of the plan of one model.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "model {name}: bound {bound:.1} tokens/s, planned {planned:.1} over {chains} chains \
     ({mean_stages:.1} stages and {mean_domain_changes:.1} changes of failure domain a route), \
     held back by layers [{}]{}",
    list(tight),
    uncovered.map_or(String::new(), |layers| format!(", nobody holds {layers}"))
)]
pub struct ModelState {
    /// Name.
    pub name: Name,
    /// Upper bound on the throughput, in tokens per second.
    pub bound: f64,
    /// Total planned rate of the chains, in tokens per second.
    pub planned: f64,
    /// Number of chains.
    pub chains: usize,
    /// Mean number of stages of a route.
    pub mean_stages: f64,
    /// Mean number of changes of failure domain on a route.
    pub mean_domain_changes: f64,
    /// Layers whose holders limit the bound.
    pub tight: Vec<LayerRange>,
    /// First contiguous range of layers that no open runner holds.
    pub uncovered: Option<LayerRange>,
}

/// Snapshot of one runner.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "runner {name} incarnation {incarnation} in {domain} on {accelerator}: {}, \
     {speed:.0} token-layers/s, planned {through:.1} tokens/s, load {load:.1} \
     (reported {reported}, own {own}), figures of {sampled_at} ms, {failures} failures, \
     {prefixes} prefixes cached, {gaps} gaps, holds [{}]",
    closed.map_or("open".to_string(), |reason| format!("closed: {reason}")),
    list(holds)
)]
pub struct RunnerState {
    /// Name.
    pub name: Name,
    /// Incarnation.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: Name,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Reason why it receives no new work; `None` if it is open.
    pub closed: Option<CloseReason>,
    /// Speed, in token-layers per second.
    pub speed: f64,
    /// Planned rate through the runner, in tokens per second.
    pub through: f64,
    /// Estimated number of requests on the runner.
    pub load: f64,
    /// Reported number of requests on the runner.
    pub reported: u32,
    /// Requests of this instance in flight on the runner.
    pub own: u32,
    /// Time at which the newest report was sampled.
    pub sampled_at: Millis,
    /// Failures since the last success.
    pub failures: u32,
    /// Number of prefixes indexed as cached.
    pub prefixes: u32,
    /// Number of gaps in its cache events.
    pub gaps: u64,
    /// Layers held, each as `model start..end`.
    pub holds: Vec<String>,
}

fn lines(items: &[impl std::fmt::Display]) -> String {
    items.iter().map(|item| format!("  {item}\n")).collect()
}

fn list(items: &[impl ToString]) -> String {
    items
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

impl Router {
    /// Returns a snapshot of the router's state and plans for the dump.
    pub fn state(&self) -> RouterState {
        RouterState {
            replans: self.replans,
            planned_at: self.planned_at,
            dirty: self.is_dirty(),
            models: self.plans.keys().map(|id| self.model_state(id)).collect(),
            runners: self
                .fleet
                .by_name()
                .map(|id| self.runner_state(id))
                .collect(),
        }
    }

    fn model_state(&self, id: ModelId) -> ModelState {
        let plan = &self.plans[id];
        ModelState {
            name: self.fleet.models[id].name.clone(),
            bound: plan.bound,
            planned: plan.planned,
            chains: plan.chains.len(),
            mean_stages: plan.mean_stages,
            mean_domain_changes: plan.mean_domain_changes,
            tight: plan.tight.clone(),
            uncovered: plan.uncovered,
        }
    }

    fn runner_state(&self, id: RunnerId) -> RunnerState {
        let runner = &self.fleet.runners[id];
        let held = |(model, layers): &(ModelId, LayerRange)| {
            format!("{} {layers}", self.fleet.models[*model].name)
        };
        RunnerState {
            name: runner.name.clone(),
            incarnation: runner.incarnation,
            domain: self.fleet.domains[runner.domain].clone(),
            accelerator: runner.accelerator.clone(),
            closed: runner.closed,
            speed: runner.speed,
            through: self.through[id],
            load: runner.load(f64::from(self.cfg.instances)),
            reported: runner.reported,
            own: runner.own,
            sampled_at: runner.sampled_at,
            failures: runner.failures,
            prefixes: self.fleet.cache.count(id),
            gaps: self.fleet.cache.gaps(id),
            holds: runner.held.iter().map(held).collect(),
        }
    }
}
