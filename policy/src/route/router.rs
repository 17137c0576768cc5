//! The router: keeps what is known of the runners, plans on change, picks routes.

use super::fleet::{Effect, Fleet};
use super::link::{Link, Links};
use super::pick::{Chooser, Stages};
use super::plan::{ModelPlan, plan_model};
use super::records::{
    CacheSeen, CloseReason, LinkSeen, ModelSpec, NoRoute, Pick, Route, RouteStage, RunnerSeen,
};
use super::verify::verify_route;
use crate::prelude::*;
use cranelift_entity::{PrimaryMap, SecondaryMap};
use rand::Rng;

/// The most models planned by one call: bounds its time.
pub const MODELS_PER_REPLAN: usize = 2;

/// How the router decides.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Entry instances taken to decide at the same time as this one, itself counted.
    pub instances: u32,
    /// Chains drawn for each pick.
    pub draws: u32,
    /// Time for which a runner is avoided after a failure, in milliseconds.
    pub avoid_ms: Millis,
    /// Work of one prompt token against one generated token.
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

/// Keeps what is known of the runners, and picks routes.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) cfg: RouterConfig,
    pub(super) fleet: Fleet,
    pub(super) links: Links,
    pub(super) plans: PrimaryMap<ModelId, ModelPlan>,
    /// Rate planned through each runner over all models, in tokens a second.
    pub(super) through: SecondaryMap<RunnerId, f64>,
    /// Requests at each runner in proportion, when the work follows the plan: by Little's law the
    /// rate of each chain times the time that a token takes through it.
    weight: SecondaryMap<RunnerId, f64>,
    last_planned: Option<ModelId>,
    pub(super) planned_at: Millis,
    pub(super) replans: u64,
}

impl Router {
    /// A router that knows of no model and no runner yet.
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

    /// Sets the number of entry instances that decide at the same time, this one counted.
    pub fn set_instances(&mut self, instances: u32) {
        self.cfg.instances = instances.max(1);
    }

    /// Replaces the models. Their place in the list is their [`ModelId`].
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        self.fleet.set_models(models);
    }

    /// Looks a model up.
    pub fn model(&self, name: &str) -> Option<ModelId> {
        self.fleet
            .models
            .iter()
            .find(|(_, spec)| &*spec.name == name)
            .map(|(id, _)| id)
    }

    /// Looks a runner up.
    pub fn runner(&self, name: &str) -> Option<RunnerId> {
        self.fleet.runner(name)
    }

    /// What is known of the runners.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Smoothed figures of the link between two domains.
    pub fn link(&self, a: DomainId, b: DomainId) -> Link {
        self.links.between(a, b)
    }

    /// Plan of a model, as of the last [`Router::replan`].
    pub fn plan(&self, model: ModelId) -> Option<&ModelPlan> {
        self.plans.get(model)
    }

    /// Takes a load report in.
    pub fn observe(&mut self, now: Millis, seen: &RunnerSeen) -> Effect {
        self.fleet.observe(now, seen)
    }

    /// Takes a cache event in.
    pub fn observe_cache(&mut self, _now: Millis, seen: &CacheSeen) {
        self.fleet.cache(seen);
    }

    /// Takes a link observation in.
    pub fn observe_link(&mut self, _now: Millis, seen: &LinkSeen) {
        if self.links.observe(&mut self.fleet, seen) {
            self.fleet.stale = self.fleet.models.keys().collect();
        }
    }

    /// Closes a runner to new work, at once; has no effect on names never seen.
    pub fn close(&mut self, _now: Millis, name: &str, reason: CloseReason) {
        if let Some(id) = self.fleet.runner(name) {
            self.fleet.close(id, reason);
        }
    }

    /// Whether the plan of some model is older than what it is made from.
    pub fn is_dirty(&self) -> bool {
        !self.fleet.stale.is_empty()
    }

    /// Makes the plans again of models for which something changed, [`MODELS_PER_REPLAN`] at most;
    /// call it again while [`Router::is_dirty`]. Picks between a change and the next plan are safe:
    /// they leave out chains through closed runners.
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
        for _ in 0..MODELS_PER_REPLAN {
            let Some(model) = self.next_stale() else {
                break;
            };
            self.fleet.stale.remove(&model);
            self.plans[model] = plan_model(&self.fleet, &self.links, model, &order);
            self.last_planned = Some(model);
        }
        self.weigh();
        self.links.mark_planned();
        self.planned_at = now;
        self.replans += 1;
    }

    /// The stale model after the one planned last, in turn, so that one that changes all the time
    /// does not keep the others waiting.
    fn next_stale(&self) -> Option<ModelId> {
        let stale = &self.fleet.stale;
        let after = self
            .last_planned
            .and_then(|last| stale.iter().find(|m| **m > last));
        after.or_else(|| stale.first()).copied()
    }

    /// Works out what each runner carries when the work follows the plan.
    fn weigh(&mut self) {
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

    /// Picks a route by the plan. Count it with [`Router::sent`] once it is used.
    ///
    /// # Errors
    /// [`NoRoute`] where the open runners do not cover the model.
    pub fn pick(&self, now: Millis, pick: &Pick<'_>, rng: &mut impl Rng) -> Result<Route, NoRoute> {
        let model = pick.model;
        let plan = self
            .plans
            .get(model)
            .ok_or(NoRoute::UnknownModel { model })?;
        let chooser = Chooser {
            cfg: &self.cfg,
            fleet: &self.fleet,
            links: &self.links,
            weight: &self.weight,
            plan,
            now,
            pick,
        };
        let stages = chooser.choose(rng)?;
        let (first_token_ms, per_token_ms) = chooser.estimate(&stages);
        let stages = self.named(&stages);
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

    fn named(&self, stages: &Stages) -> Vec<RouteStage> {
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

    /// Counts a route as in flight.
    pub fn sent(&mut self, now: Millis, route: &Route) {
        self.change(now, route, 1);
    }

    /// Takes note of a token that came along a route: its runners work, so none is avoided longer.
    pub fn token(&mut self, _now: Millis, route: &Route) {
        for stage in &route.stages {
            let runner = &mut self.fleet.runners[stage.runner];
            runner.failures = 0;
            runner.avoid_until = 0;
        }
    }

    /// Counts a route that was sent as ended, for whatever cause but a runner's failure.
    pub fn finished(&mut self, now: Millis, route: &Route) {
        self.change(now, route, -1);
        for stage in &route.stages {
            self.fleet.runners[stage.runner].failures = 0;
        }
    }

    /// Counts a route that was sent as ended by a failure, of `runner` where it is known.
    pub fn failed(&mut self, now: Millis, route: &Route, runner: Option<RunnerId>) {
        self.change(now, route, -1);
        let Some(id) = runner else { return };
        let known = &mut self.fleet.runners[id];
        known.failures += 1;
        known.avoid_until = now + self.cfg.avoid_ms;
    }

    fn change(&mut self, now: Millis, route: &Route, delta: i32) {
        for stage in &route.stages {
            let runner = &mut self.fleet.runners[stage.runner];
            // A restarted runner has lost the requests of its earlier incarnation.
            if runner.incarnation == stage.incarnation {
                runner.change(now, delta);
            }
        }
    }

    /// The most tokens a second that the open runners can give of a model, and the links let
    /// through; 0 where they do not cover it.
    pub fn bound(&self, model: ModelId) -> f64 {
        self.plans.get(model).map_or(0.0, |plan| plan.bound)
    }
}
