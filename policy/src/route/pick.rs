//! Route selection for a single request.
//!
//! A few chains are sampled by their planned rates, and the one with the lowest pressure is used.
//! Pressure compares the estimated number of requests on each runner with the number expected if
//! traffic followed the plan, so it favours neither short chains nor fast runners. Sampling only a
//! few chains, and scaling this instance's own requests by the number of instances, prevents herd
//! behaviour: instances acting on the same late reports would otherwise all send to the one runner
//! that looked idle. See docs/ROUTING.md for benchmark results.
//!
//! Chains through runners with the prompt's prefix cached are considered as well, but used only if
//! their pressure is at most [`AFFINITY_PRESSURE_FACTOR`] times that of the best sampled chain, so
//! that cache affinity cannot overload one runner.
//!
//! If no sampled chain is usable, all chains are considered. If no chain of the plan is usable, a
//! route is built greedily from the available runners.

use super::fleet::{Fleet, Runner};
use super::link::Links;
use super::plan::{Chain, ModelPlan};
use super::records::{NoRoute, RouteRequest};
use super::router::RouterConfig;
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use rand::{Rng, RngExt};

/// Maximum pressure of a chain with the prefix cached, relative to the best sampled chain.
pub const AFFINITY_PRESSURE_FACTOR: f64 = 1.25;
/// Maximum number of runners with the prefix cached that are considered.
const MAX_AFFINITY_CANDIDATES: usize = 4;

/// Stages of a route before verification.
pub type Stages = Vec<(RunnerId, LayerRange)>;

/// Inputs of the selection of one route.
pub struct RouteSelector<'a> {
    /// Configuration.
    pub cfg: &'a RouterConfig,
    /// Runners.
    pub fleet: &'a Fleet,
    /// Links.
    pub links: &'a Links,
    /// Relative number of requests on each runner if traffic follows the plan.
    pub weight: &'a SecondaryMap<RunnerId, f64>,
    /// Plan of the model.
    pub plan: &'a ModelPlan,
    /// Current time.
    pub now: Millis,
    /// The request to route.
    pub request: &'a RouteRequest<'a>,
}

impl RouteSelector<'_> {
    /// Selects the stages of a route.
    pub fn select(&self, rng: &mut impl Rng) -> Result<Stages, NoRoute> {
        if let Some(layers) = self.plan.uncovered {
            return Err(NoRoute::Uncovered {
                model: self.request.model,
                layers,
            });
        }
        if let Some(chain) = self.best_sampled(rng).or_else(|| self.best_overall()) {
            let chain = self.prefer_cached(chain, rng);
            return Ok(self.plan.chains[chain].stages.clone());
        }
        self.greedy_route(true, rng)
            .or_else(|_| self.greedy_route(false, rng))
    }

    /// Returns the chain with the lowest pressure among a few sampled by planned rate.
    fn best_sampled(&self, rng: &mut impl Rng) -> Option<usize> {
        if self.plan.chains.is_empty() {
            return None;
        }
        let draws = (0..self.cfg.draws).map(|_| self.plan.chain_at(rng.random::<f64>()));
        self.lowest_pressure(draws)
    }

    /// Returns the chain with the lowest pressure among all chains.
    fn best_overall(&self) -> Option<usize> {
        self.lowest_pressure(0..self.plan.chains.len())
    }

    fn lowest_pressure(&self, chains: impl Iterator<Item = usize>) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for i in chains {
            let chain = &self.plan.chains[i];
            if !self.usable(chain) {
                continue;
            }
            let pressure = self.pressure(chain);
            if best.is_none_or(|(least, _)| pressure < least) {
                best = Some((pressure, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Returns a chain with more of the prefix cached within the pressure limit, or else `chosen`.
    fn prefer_cached(&self, chosen: usize, rng: &mut impl Rng) -> usize {
        let Some(prefix) = self.request.prefix_hash else {
            return chosen;
        };
        let limit = self.pressure(&self.plan.chains[chosen]) * AFFINITY_PRESSURE_FACTOR;
        let mut best = (
            self.cached_layers(&self.plan.chains[chosen], prefix),
            chosen,
        );
        let first = rng.random_range(0..self.fleet.runners.len().max(1));
        let first = RunnerId::from_u32(first as u32);
        for holder in self
            .fleet
            .cache
            .holders(prefix, first)
            .take(MAX_AFFINITY_CANDIDATES)
        {
            let Some(i) = self.plan.chain_through(holder, rng.random::<f64>()) else {
                continue;
            };
            let chain = &self.plan.chains[i];
            let cached = self.cached_layers(chain, prefix);
            if cached > best.0 && self.usable(chain) && self.pressure(chain) <= limit {
                best = (cached, i);
            }
        }
        best.1
    }

    /// Returns the number of layers of the chain on runners that have the prefix cached.
    fn cached_layers(&self, chain: &Chain, prefix: u64) -> u32 {
        let cached = chain
            .stages
            .iter()
            .filter(|(r, _)| self.fleet.cache.has(*r, prefix));
        cached.map(|(_, layers)| layers.count()).sum()
    }

    fn usable(&self, chain: &Chain) -> bool {
        chain.stages.iter().all(|&(id, layers)| {
            let runner = &self.fleet.runners[id];
            self.allowed(id, runner, true) && runner.holds(self.request.model, layers)
        })
    }

    /// Returns whether new work may go to a runner; `respect_cooldown` excludes runners that failed
    /// recently.
    fn allowed(&self, id: RunnerId, runner: &Runner, respect_cooldown: bool) -> bool {
        let in_cooldown = respect_cooldown && self.now < runner.avoid_until;
        runner.is_open() && !in_cooldown && !self.request.avoid.contains(&id)
    }

    /// Returns the load of the chain's runners relative to the plan: the mean of their ratios,
    /// weighted by the time that a token takes on each.
    fn pressure(&self, chain: &Chain) -> f64 {
        let instances = f64::from(self.cfg.instances);
        let (mut sum, mut time) = (0.0, 0.0);
        for &(id, layers) in &chain.stages {
            let runner = &self.fleet.runners[id];
            let token = f64::from(layers.count()) / runner.speed;
            let ratio = (runner.load(instances) + 1.0) / self.weight[id];
            sum += ratio * token;
            time += token;
        }
        sum / time
    }

    /// Builds a route greedily from the open runners, independently of the plan.
    fn greedy_route(&self, respect_cooldown: bool, rng: &mut impl Rng) -> Result<Stages, NoRoute> {
        let model = self.request.model;
        let layers = self.fleet.models[model].layers;
        let mut stages = Stages::new();
        let mut next = 0;
        while next < layers {
            let (id, end) = self
                .next_stage(respect_cooldown, &stages, next, rng)
                .ok_or_else(|| NoRoute::Uncovered {
                    model,
                    layers: LayerRange::new(next, next + 1),
                })?;
            stages.push((id, LayerRange::new(next, end)));
            next = end;
        }
        Ok(stages)
    }

    /// Returns the open runner whose held range extends furthest from layer `next`; on ties the
    /// one with the lowest load relative to its speed.
    fn next_stage(
        &self,
        respect_cooldown: bool,
        stages: &Stages,
        next: u32,
        rng: &mut impl Rng,
    ) -> Option<(RunnerId, u32)> {
        let instances = f64::from(self.cfg.instances);
        let mut best: Option<(u32, f64, RunnerId)> = None;
        for (id, runner) in &self.fleet.runners {
            let used = stages.iter().any(|(earlier, _)| *earlier == id);
            if used || !self.allowed(id, runner, respect_cooldown) {
                continue;
            }
            let contains_next = |r: &LayerRange| r.start <= next && next < r.end;
            let Some(range) = runner.ranges(self.request.model).find(contains_next) else {
                continue;
            };
            let wait = (runner.load(instances) + rng.random::<f64>()) / runner.speed;
            if best.is_none_or(|(end, least, _)| (range.end, -wait) > (end, -least)) {
                best = Some((range.end, wait, id));
            }
        }
        best.map(|(end, _, id)| (id, end))
    }

    /// Estimates the time-to-first-token and the inter-token gap, in milliseconds.
    pub fn estimate(&self, stages: &Stages) -> (f64, f64) {
        let instances = f64::from(self.cfg.instances);
        let activation_bytes = self.fleet.models[self.request.model].activation_bytes;
        let prompt = f64::from(self.request.prompt_tokens);
        let (mut first, mut each) = (0.0, 0.0);
        for (i, &(id, layers)) in stages.iter().enumerate() {
            let runner = &self.fleet.runners[id];
            let token_ms = f64::from(layers.count()) / runner.speed * 1e3;
            let queue_ms = runner.load(instances) * token_ms;
            let cached = self
                .request
                .prefix_hash
                .is_some_and(|p| self.fleet.cache.has(id, p));
            let prefill = if cached {
                0.0
            } else {
                prompt * self.cfg.prefill_weight * token_ms
            };
            let mut hop_ms = 0.0;
            if i > 0 {
                let link = self.links.between_runners(self.fleet, stages[i - 1].0, id);
                hop_ms = link.token_ms(activation_bytes);
            }
            first += queue_ms + prefill + hop_ms;
            each += queue_ms.max(token_ms) + hop_ms;
        }
        (first + each, each)
    }
}
