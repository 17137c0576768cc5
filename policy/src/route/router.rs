//! Router: tracks runners and links, replans on changes and picks routes.

use super::fleet::{Fleet, PlanEffect};
use super::link::{Link, Links};
use super::pick::{RouteSelector, Stages};
use super::plan::{ModelPlan, plan_model};
use super::records::{
    CloseReason, LinkObservation, ModelSpec, NoRoute, PrefixCacheEvent, Route, RouteRequest,
    RouteStage, RunnerReport,
};
use super::verify::verify_route;
use crate::prelude::*;
use cranelift_entity::{PrimaryMap, SecondaryMap};
use rand::Rng;

/// Maximum number of models planned per call of [`Router::replan`]; bounds its duration.
pub const MAX_MODELS_PER_REPLAN: usize = 2;

/// Configuration of a [`Router`].
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Number of entry instances assumed to route concurrently, including this one.
    pub instances: u32,
    /// Number of chains sampled per pick.
    pub draws: u32,
    /// Cooldown of a runner after a failure, in milliseconds.
    pub avoid_ms: Millis,
    /// Work of one prompt token relative to one generated token.
    pub prefill_weight: f64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            instances: 6,
            draws: 8,
            avoid_ms: 2_000,
            prefill_weight: 0.1,
        }
    }
}

/// Tracks the state of runners and links, and picks routes.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) cfg: RouterConfig,
    pub(super) fleet: Fleet,
    pub(super) links: Links,
    pub(super) plans: PrimaryMap<ModelId, ModelPlan>,
    /// Planned rate through each runner, summed over all models, in tokens per second.
    pub(super) through: SecondaryMap<RunnerId, f64>,
    /// Relative number of requests on each runner if traffic follows the plan: by Little's law,
    /// the sum over its chains of the rate times the time that a token takes through the chain.
    weight: SecondaryMap<RunnerId, f64>,
    last_planned: Option<ModelId>,
    pub(super) planned_at: Millis,
    pub(super) replans: u64,
}

impl Router {
    /// Creates a router without models and runners.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            cfg,
            fleet: Fleet::default(),
            links: Links::default(),
            plans: PrimaryMap::new(),
            through: SecondaryMap::new(),
            weight: SecondaryMap::new(),
            last_planned: None,
            planned_at: 0,
            replans: 0,
        }
    }

    /// Sets the number of entry instances that route concurrently, including this one.
    pub fn set_instances(&mut self, instances: u32) {
        self.cfg.instances = instances.max(1);
    }

    /// Replaces the models. The index of a model in the list is its [`ModelId`].
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        self.fleet.set_models(models);
    }

    /// Looks up a model by name.
    pub fn model(&self, name: &str) -> Option<ModelId> {
        self.fleet
            .models
            .iter()
            .find(|(_, spec)| &*spec.name == name)
            .map(|(id, _)| id)
    }

    /// Looks up a runner by name.
    pub fn runner(&self, name: &str) -> Option<RunnerId> {
        self.fleet.runner(name)
    }

    /// Returns the state of the runners.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the smoothed figures of the link between two failure domains.
    pub fn link(&self, a: DomainId, b: DomainId) -> Link {
        self.links.between_domains(a, b)
    }

    /// Returns the plan of a model, as of the last [`Router::replan`].
    pub fn plan(&self, model: ModelId) -> Option<&ModelPlan> {
        self.plans.get(model)
    }

    /// Applies a load report.
    pub fn observe(&mut self, now: Millis, report: &RunnerReport) -> PlanEffect {
        self.fleet.observe(now, report)
    }

    /// Applies a cache event.
    pub fn observe_cache(&mut self, _now: Millis, event: &PrefixCacheEvent) {
        self.fleet.observe_cache(event);
    }

    /// Applies a link observation.
    pub fn observe_link(&mut self, _now: Millis, observation: &LinkObservation) {
        if self.links.observe(&mut self.fleet, observation) {
            self.fleet.stale = self.fleet.models.keys().collect();
        }
    }

    /// Closes a runner to new work, effective immediately; ignores unknown names.
    pub fn close(&mut self, _now: Millis, name: &str, reason: CloseReason) {
        if let Some(id) = self.fleet.runner(name) {
            self.fleet.close(id, reason);
        }
    }

    /// Returns whether the plan of any model is out of date.
    pub fn is_dirty(&self) -> bool {
        !self.fleet.stale.is_empty()
    }

    /// Recomputes the plans of up to [`MAX_MODELS_PER_REPLAN`] models that are out of date; has to be
    /// called again while [`Router::is_dirty`]. Picks between a change and the next plan are safe,
    /// since they skip chains through closed runners.
    pub fn replan(&mut self, now: Millis) {
        if !self.is_dirty() {
            return;
        }
        if self.plans.len() != self.fleet.models.len() {
            self.plans = self
                .fleet
                .models
                .keys()
                .map(|_| ModelPlan::default())
                .collect();
            self.fleet.stale = self.fleet.models.keys().collect();
        }
        let order: Vec<RunnerId> = self.fleet.by_name().collect();
        for _ in 0..MAX_MODELS_PER_REPLAN {
            let Some(model) = self.next_stale() else {
                break;
            };
            self.fleet.stale.remove(&model);
            self.plans[model] = plan_model(&self.fleet, &self.links, model, &order);
            self.last_planned = Some(model);
        }
        self.compute_weights();
        self.links.mark_planned();
        self.planned_at = now;
        self.replans += 1;
    }

    /// Returns the next stale model in round-robin order, so that a model that changes constantly
    /// does not starve the others.
    fn next_stale(&self) -> Option<ModelId> {
        let stale = &self.fleet.stale;
        let after = self
            .last_planned
            .and_then(|last| stale.iter().find(|m| **m > last));
        after.or_else(|| stale.first()).copied()
    }

    /// Computes the planned rate and the weight of each runner.
    fn compute_weights(&mut self) {
        self.through.clear();
        self.weight.clear();
        for chain in self.plans.values().flat_map(|plan| &plan.chains) {
            let token_s: f64 = chain
                .stages
                .iter()
                .map(|&(id, layers)| f64::from(layers.count()) / self.fleet.runners[id].speed)
                .sum();
            for &(id, _) in &chain.stages {
                self.through[id] += chain.tokens_per_s;
                self.weight[id] += chain.tokens_per_s * token_s;
            }
        }
    }

    /// Picks a route according to the plan. The caller reports its use with [`Router::record_sent`].
    ///
    /// # Errors
    /// Returns [`NoRoute`] if the open runners do not cover the model.
    pub fn pick(
        &self,
        now: Millis,
        request: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> Result<Route, NoRoute> {
        let model = request.model;
        let plan = self
            .plans
            .get(model)
            .ok_or(NoRoute::UnknownModel { model })?;
        let selector = RouteSelector {
            cfg: &self.cfg,
            fleet: &self.fleet,
            links: &self.links,
            weight: &self.weight,
            plan,
            now,
            request,
        };
        let stages = selector.select(rng)?;
        let (first_token_ms, per_token_ms) = selector.estimate(&stages);
        let stages = self.resolve_stages(&stages);
        let layers = self.fleet.models[model].layers;
        verify_route(layers, &stages, |r, held| {
            self.fleet.runners[r].holds(model, held)
        })
        .map_err(|fault| NoRoute::Faulty { model, fault })?;
        Ok(Route {
            model,
            stages,
            first_token_ms,
            per_token_ms,
        })
    }

    /// Adds the current incarnation, name and address of each runner.
    fn resolve_stages(&self, stages: &Stages) -> Vec<RouteStage> {
        let name = |&(runner, layers): &(RunnerId, _)| {
            let known = &self.fleet.runners[runner];
            RouteStage {
                runner,
                incarnation: known.incarnation,
                name: known.name.clone(),
                address: known.address,
                layers,
            }
        };
        stages.iter().map(name).collect()
    }

    /// Records that a request was sent over a route and is in flight.
    pub fn record_sent(&mut self, now: Millis, route: &Route) {
        self.add_in_flight(now, route, 1);
    }

    /// Records a token received over a route, which shows that its runners work. The cooldown of a
    /// runner that failed is not cut short, since the token may have been in transit before the
    /// failure.
    pub fn record_token(&mut self, _now: Millis, route: &Route) {
        self.clear_failures(route);
    }

    /// Records that a request sent over a route ended for any reason other than a runner's failure.
    pub fn record_finished(&mut self, now: Millis, route: &Route) {
        self.add_in_flight(now, route, -1);
        self.clear_failures(route);
    }

    /// Records that a request sent over a route failed; `runner` is the cause if known.
    pub fn record_failure(&mut self, now: Millis, route: &Route, runner: Option<RunnerId>) {
        self.add_in_flight(now, route, -1);
        let Some(id) = runner else { return };
        // A failure of an earlier incarnation does not count against a restarted runner.
        let of_current_incarnation =
            |s: &RouteStage| s.runner == id && self.fleet.runners[id].is_incarnation_of(s);
        if route.stages.iter().any(of_current_incarnation) {
            let known = &mut self.fleet.runners[id];
            known.failures += 1;
            known.avoid_until = now + self.cfg.avoid_ms;
        }
    }

    fn add_in_flight(&mut self, now: Millis, route: &Route, delta: i32) {
        for stage in &route.stages {
            let runner = &mut self.fleet.runners[stage.runner];
            // The requests of an earlier incarnation ended with the restart.
            if runner.is_incarnation_of(stage) {
                runner.add_in_flight(now, delta);
            }
        }
    }

    fn clear_failures(&mut self, route: &Route) {
        for stage in &route.stages {
            let runner = &mut self.fleet.runners[stage.runner];
            if runner.is_incarnation_of(stage) {
                runner.failures = 0;
            }
        }
    }

    /// Returns the upper bound on the throughput of a model over the open runners and the links, in
    /// tokens per second; 0 if the runners do not cover the model.
    pub fn bound(&self, model: ModelId) -> f64 {
        self.plans.get(model).map_or(0.0, |plan| plan.bound)
    }
}
