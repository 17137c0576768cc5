//! Routes: which runners run which layers of a request.
//!
//! A runner holds ranges of layers and can run any sub-range of them. [`Router`] keeps what is
//! known of the runners, makes a plan from it when it changes, and picks a route for each request.
//! Each route passes [`verify_route`] before it is returned.

mod fleet;
mod records;
mod verify;

pub use fleet::{Effect, Fleet, PrefixCache, Runner};
pub use records::{
    CacheSeen, CloseReason, Held, LinkEnds, LinkSeen, ModelSpec, NoRoute, Pick, Route, RouteStage,
    RunnerSeen,
};
pub use verify::{RouteFault, verify_route};

use crate::layers::LayerRange;
use crate::prelude::*;
use rand::{Rng, RngExt};

/// How the router decides.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Entry instances taken to decide at the same time as this one, itself counted.
    pub instances: u32,
    /// Time for which a runner is avoided after a failure, in milliseconds.
    pub avoid_ms: Millis,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            instances: 6,
            avoid_ms: 2_000,
        }
    }
}

/// Keeps what is known of the runners, and picks routes.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    fleet: Fleet,
    dirty: bool,
}

impl Router {
    /// A router that knows of no model and no runner yet.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            cfg,
            fleet: Fleet::default(),
            dirty: false,
        }
    }

    /// Sets the number of entry instances that decide at the same time, this one counted.
    pub fn set_instances(&mut self, instances: u32) {
        self.cfg.instances = instances.max(1);
    }

    /// Replaces the models. Their place in the list is their [`ModelId`].
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        self.fleet.set_models(models);
        self.dirty = true;
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

    /// Takes a load report in.
    pub fn observe(&mut self, now: Millis, seen: &RunnerSeen) -> Effect {
        let effect = self.fleet.observe(now, seen);
        self.dirty |= effect == Effect::PlanChanged;
        effect
    }

    /// Takes a cache event in.
    pub fn observe_cache(&mut self, _now: Millis, seen: &CacheSeen) {
        self.fleet.cache(seen);
    }

    /// Takes a link observation in.
    pub fn observe_link(&mut self, _now: Millis, _seen: &LinkSeen) {}

    /// Closes a runner to new work; has no effect on names never seen.
    pub fn close(&mut self, _now: Millis, name: &str, reason: CloseReason) {
        if let Some(id) = self.fleet.runner(name) {
            let effect = self.fleet.close(id, reason);
            self.dirty |= effect == Effect::PlanChanged;
        }
    }

    /// Whether the plan is older than what it is made from.
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Makes the plan again if something changed.
    pub fn replan(&mut self, _now: Millis) {
        self.dirty = false;
    }

    /// Picks a route. Count it with [`Router::sent`] once it is used.
    ///
    /// # Errors
    /// [`NoRoute`] where the open runners do not cover the model.
    pub fn pick(&self, now: Millis, pick: &Pick<'_>, rng: &mut impl Rng) -> Result<Route, NoRoute> {
        let model = pick.model;
        let spec = self
            .fleet
            .models
            .get(model)
            .ok_or(NoRoute::UnknownModel { model })?;
        let mut stages: Vec<RouteStage> = Vec::new();
        let mut next = 0;
        while next < spec.layers {
            let (runner, layers) = self.next_stage(now, pick, &stages, next, rng)?;
            let known = &self.fleet.runners[runner];
            next = layers.end;
            stages.push(RouteStage {
                runner,
                incarnation: known.incarnation,
                name: known.name.clone(),
                address: known.address,
                layers,
            });
        }
        verify_route(spec.layers, &stages, |r, layers| {
            self.fleet.runners[r].holds(model, layers)
        })
        .map_err(|fault| NoRoute::Faulty { model, fault })?;
        Ok(Route {
            model,
            stages,
            first_token_ms: 0.0,
            per_token_ms: 0.0,
        })
    }

    fn next_stage(
        &self,
        now: Millis,
        pick: &Pick<'_>,
        stages: &[RouteStage],
        next: u32,
        rng: &mut impl Rng,
    ) -> Result<(RunnerId, LayerRange), NoRoute> {
        let instances = f64::from(self.cfg.instances);
        let mut best: Option<(f64, RunnerId, u32)> = None;
        for (id, r) in &self.fleet.runners {
            let used = pick.avoid.contains(&id) || stages.iter().any(|s| s.runner == id);
            let held = r
                .held
                .iter()
                .find(|(m, range)| *m == pick.model && range.start <= next && next < range.end);
            let Some((_, range)) = held else { continue };
            if !r.is_open() || used || now < r.avoid_until {
                continue;
            }
            let wait = (r.load(instances) + rng.random::<f64>()) / r.speed;
            if best.is_none_or(|(least, ..)| wait < least) {
                best = Some((wait, id, range.end));
            }
        }
        let (_, id, end) = best.ok_or(NoRoute::Uncovered {
            model: pick.model,
            layers: LayerRange::new(next, next + 1),
        })?;
        Ok((id, LayerRange::new(next, end)))
    }

    /// Counts a route as in flight.
    pub fn sent(&mut self, now: Millis, route: &Route) {
        self.change(now, route, 1);
    }

    /// Takes note of a token that came along a route, `gap_ms` after the one before it.
    pub fn token(&mut self, _now: Millis, _route: &Route, _gap_ms: f64) {}

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

    /// The most tokens a second that the open runners can give of a model.
    pub fn bound(&self, _model: ModelId) -> f64 {
        0.0
    }
}
