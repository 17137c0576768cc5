//! The choice of a route at pick time.
//!
//! A few chains are drawn by their planned rates, and the one under the least pressure is taken.
//! Pressure compares the number of requests estimated at each runner with what it would be if the
//! work followed the plan, so it prefers neither short chains nor fast runners. Drawing only a few
//! chains, and scaling what this instance sent by the number of instances, keeps several instances
//! that act on the same late reports from all going to the one runner that looked idle; see
//! docs/ROUTING.md for the measurements.
//!
//! A chain through a runner with the prompt's prefix in its cache is looked at as well, and wins
//! only while its pressure is within [`AFFINITY_SLACK`] of the best one drawn, so that an affinity
//! cannot pile work up on one runner.
//!
//! Where no drawn chain can be used, all chains are looked at; where none of the plan can, a route
//! is put together from the runners that are left.

use super::fleet::{Fleet, Runner};
use super::link::Links;
use super::plan::{Chain, ModelPlan};
use super::records::{NoRoute, Pick};
use super::router::RouterConfig;
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use rand::{Rng, RngExt};

/// By how much the pressure of a chain with the prefix cached may exceed the best one drawn.
pub const AFFINITY_SLACK: f64 = 1.25;
/// The most runners with the prefix cached that are looked at.
const AFFINITY_TRIES: usize = 4;

/// Stages of a route, before it is verified.
pub type Stages = Vec<(RunnerId, LayerRange)>;

/// What a choice depends on.
pub struct Chooser<'a> {
    /// Configuration.
    pub cfg: &'a RouterConfig,
    /// Runners.
    pub fleet: &'a Fleet,
    /// Links.
    pub links: &'a Links,
    /// Requests at each runner in proportion, when the work follows the plan.
    pub weight: &'a SecondaryMap<RunnerId, f64>,
    /// Plan of the model.
    pub plan: &'a ModelPlan,
    /// Time.
    pub now: Millis,
    /// What is asked for.
    pub pick: &'a Pick<'a>,
}

impl Chooser<'_> {
    /// Chooses the stages of a route.
    pub fn choose(&self, rng: &mut impl Rng) -> Result<Stages, NoRoute> {
        if let Some(layers) = self.plan.uncovered {
            return Err(NoRoute::Uncovered {
                model: self.pick.model,
                layers,
            });
        }
        if let Some(chain) = self.drawn(rng).or_else(|| self.any()) {
            let chain = self.with_affinity(chain, rng);
            return Ok(self.plan.chains[chain].stages.clone());
        }
        self.detour(true, rng).or_else(|_| self.detour(false, rng))
    }

    /// The best of a few chains drawn by rate.
    fn drawn(&self, rng: &mut impl Rng) -> Option<usize> {
        if self.plan.chains.is_empty() {
            return None;
        }
        let draws = (0..self.cfg.draws).map(|_| self.plan.chain_at(rng.random::<f64>()));
        self.best(draws)
    }

    /// The best of all chains.
    fn any(&self) -> Option<usize> {
        self.best(0..self.plan.chains.len())
    }

    fn best(&self, chains: impl Iterator<Item = usize>) -> Option<usize> {
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

    /// A chain through a runner that has the prefix cached, or else `chosen`.
    fn with_affinity(&self, chosen: usize, rng: &mut impl Rng) -> usize {
        let Some(prefix) = self.pick.prefix_hash else {
            return chosen;
        };
        let limit = self.pressure(&self.plan.chains[chosen]) * AFFINITY_SLACK;
        let mut best = (
            self.cached_stages(&self.plan.chains[chosen], prefix),
            chosen,
        );
        let first = rng.random_range(0..self.fleet.runners.len().max(1));
        let first = RunnerId::from_u32(first as u32);
        for holder in self.fleet.cache.holders(prefix, first).take(AFFINITY_TRIES) {
            let Some(i) = self.plan.chain_through(holder, rng.random::<f64>()) else {
                continue;
            };
            let chain = &self.plan.chains[i];
            let cached = self.cached_stages(chain, prefix);
            if cached > best.0 && self.usable(chain) && self.pressure(chain) <= limit {
                best = (cached, i);
            }
        }
        best.1
    }

    /// Layers of the chain whose runners have the prefix cached.
    fn cached_stages(&self, chain: &Chain, prefix: u64) -> u32 {
        let cached = chain
            .stages
            .iter()
            .filter(|(r, _)| self.fleet.cache.has(*r, prefix));
        cached.map(|(_, layers)| layers.count()).sum()
    }

    fn usable(&self, chain: &Chain) -> bool {
        chain.stages.iter().all(|&(id, layers)| {
            let runner = &self.fleet.runners[id];
            self.allowed(id, runner, true) && runner.holds(self.pick.model, layers)
        })
    }

    /// Whether new work may go to a runner; `careful`: not soon after a failure.
    fn allowed(&self, id: RunnerId, runner: &Runner, careful: bool) -> bool {
        let cooling = careful && self.now < runner.avoid_until;
        runner.is_open() && !cooling && !self.pick.avoid.contains(&id)
    }

    /// How loaded the chain's runners are against the plan: the mean of their ratios, weighted by
    /// the time a token takes on each.
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

    /// Puts a route together from the open runners, past the plan.
    fn detour(&self, careful: bool, rng: &mut impl Rng) -> Result<Stages, NoRoute> {
        let model = self.pick.model;
        let layers = self.fleet.models[model].layers;
        let mut stages = Stages::new();
        let mut next = 0;
        while next < layers {
            let (id, end) =
                self.extend(careful, &stages, next, rng)
                    .ok_or_else(|| NoRoute::Uncovered {
                        model,
                        layers: LayerRange::new(next, next + 1),
                    })?;
            stages.push((id, LayerRange::new(next, end)));
            next = end;
        }
        Ok(stages)
    }

    /// The open runner that takes the route furthest from layer `next`; among equals the one with
    /// the least load for its speed.
    fn extend(
        &self,
        careful: bool,
        stages: &Stages,
        next: u32,
        rng: &mut impl Rng,
    ) -> Option<(RunnerId, u32)> {
        let instances = f64::from(self.cfg.instances);
        let mut best: Option<(u32, f64, RunnerId)> = None;
        for (id, runner) in &self.fleet.runners {
            let used = stages.iter().any(|(earlier, _)| *earlier == id);
            if used || !self.allowed(id, runner, careful) {
                continue;
            }
            let from_next = |r: &LayerRange| r.start <= next && next < r.end;
            let Some(range) = runner.ranges(self.pick.model).find(from_next) else {
                continue;
            };
            let wait = (runner.load(instances) + rng.random::<f64>()) / runner.speed;
            if best.is_none_or(|(end, least, _)| (range.end, -wait) > (end, -least)) {
                best = Some((range.end, wait, id));
            }
        }
        best.map(|(end, _, id)| (id, end))
    }

    /// Estimated time to the first token and between tokens, in milliseconds.
    pub fn estimate(&self, stages: &Stages) -> (f64, f64) {
        let instances = f64::from(self.cfg.instances);
        let activation_bytes = self.fleet.models[self.pick.model].activation_bytes;
        let prompt = f64::from(self.pick.prompt_tokens);
        let (mut first, mut each) = (0.0, 0.0);
        for (i, &(id, layers)) in stages.iter().enumerate() {
            let runner = &self.fleet.runners[id];
            let token_ms = f64::from(layers.count()) / runner.speed * 1e3;
            let queue_ms = runner.load(instances) * token_ms;
            let cached = self
                .pick
                .prefix_hash
                .is_some_and(|p| self.fleet.cache.has(id, p));
            let prefill = if cached {
                0.0
            } else {
                prompt * self.cfg.prefill_weight * token_ms
            };
            let mut hop_ms = 0.0;
            if i > 0 {
                let link = self.links.of_runners(self.fleet, stages[i - 1].0, id);
                hop_ms = link.token_ms(activation_bytes);
            }
            first += queue_ms + prefill + hop_ms;
            each += queue_ms.max(token_ms) + hop_ms;
        }
        (first + each, each)
    }
}
