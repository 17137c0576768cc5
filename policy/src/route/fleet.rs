//! What is known of the runners: the newest report of each, and what this instance has in flight.
//!
//! Load reports are late. The reported number of requests is corrected by what this instance has
//! sent and seen finished since the time of the report's figures; the other instances are taken
//! to have done the same, so the correction is scaled by the number of instances.

use super::cache::CacheIndex;
use super::records::{CacheSeen, CloseReason, Held, ModelSpec, RunnerSeen};
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::PrimaryMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A reported speed that differs by no more than this share counts as unchanged.
const SPEED_SHARE: f64 = 0.05;

/// One runner as known here.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Name.
    pub name: Name,
    /// Newest incarnation seen.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Accelerator kind.
    pub accelerator: Name,
    /// What it holds, by the models known; ranges of one model are disjoint and apart.
    pub held: Vec<(ModelId, LayerRange)>,
    /// Speed, in token-layers a second.
    pub speed: f64,
    /// Requests running and queued there, as reported.
    pub reported: u32,
    /// Newest report number.
    pub number: u64,
    /// Time of the figures of the newest report.
    pub figures_at: Millis,
    /// Why it gets no new work; `None`: open.
    pub closed: Option<CloseReason>,
    /// Requests of this instance in flight there.
    pub own: u32,
    /// Failures since the last success.
    pub failures: u32,
    /// Until when new work avoids it after a failure.
    pub avoid_until: Millis,
    declared: Vec<Held>,
    changes: VecDeque<(Millis, i32)>,
    own_since: i32,
}

impl Runner {
    /// Requests taken to be there now: the report, corrected by what happened here since, times
    /// the number of instances. Never below what this instance itself has there.
    pub fn load(&self, instances: f64) -> f64 {
        let estimate = f64::from(self.reported) + f64::from(self.own_since) * instances;
        estimate.max(f64::from(self.own))
    }

    /// Whether it holds all layers of `layers`.
    pub fn holds(&self, model: ModelId, layers: LayerRange) -> bool {
        self.held
            .iter()
            .any(|&(m, range)| m == model && range.covers(layers))
    }

    /// Ranges held of a model.
    pub fn ranges(&self, model: ModelId) -> impl Iterator<Item = LayerRange> + '_ {
        self.held
            .iter()
            .filter(move |(m, _)| *m == model)
            .map(|&(_, range)| range)
    }

    /// Number of models of which it holds layers.
    pub fn model_count(&self) -> u32 {
        let mut count = 0;
        let mut last = None;
        for &(model, _) in &self.held {
            count += u32::from(last != Some(model));
            last = Some(model);
        }
        count
    }

    /// Whether new work may go to it.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    /// Records that this instance has `delta` more requests in flight there.
    pub fn change(&mut self, now: Millis, delta: i32) {
        self.own = self.own.saturating_add_signed(delta);
        self.own_since += delta;
        match self.changes.back_mut() {
            Some((at, sum)) if *at == now => *sum += delta,
            _ => self.changes.push_back((now, delta)),
        }
    }

    /// Forgets the changes that the figures of a report of time `at` already count.
    fn settle(&mut self, at: Millis) {
        while let Some(&(changed, delta)) = self.changes.front() {
            if changed > at {
                break;
            }
            self.own_since -= delta;
            self.changes.pop_front();
        }
    }

    fn resolve(&mut self, models: &PrimaryMap<ModelId, ModelSpec>) {
        let mut held: Vec<(ModelId, LayerRange)> = Vec::new();
        for (id, spec) in models {
            let whole = LayerRange::new(0, spec.layers);
            let mut ranges: Vec<LayerRange> = self
                .declared
                .iter()
                .filter(|h| h.model == spec.name)
                .map(|h| LayerRange::new(h.layers.start, h.layers.end.min(whole.end)))
                .filter(|range| !range.is_empty())
                .collect();
            ranges.sort();
            for range in ranges {
                match held.last_mut() {
                    Some((m, last)) if *m == id && range.start <= last.end => {
                        last.end = last.end.max(range.end);
                    }
                    _ => held.push((id, range)),
                }
            }
        }
        self.held = held;
    }
}

/// Whether an observation changed what the plan is made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Old news, or no more than load figures.
    Same,
    /// The plan has to be made again.
    PlanChanged,
}

/// All runners ever seen.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Models, in the order in which the router was given them.
    pub models: PrimaryMap<ModelId, ModelSpec>,
    /// Runners, in the order in which they were first seen.
    pub runners: PrimaryMap<RunnerId, Runner>,
    /// Names of the failure domains.
    pub domains: PrimaryMap<DomainId, Name>,
    /// Models whose plan is older than what it is made from.
    pub stale: BTreeSet<ModelId>,
    by_name: BTreeMap<Name, RunnerId>,
    by_domain: BTreeMap<Name, DomainId>,
    /// Prefixes in the runners' caches.
    pub cache: CacheIndex,
}

impl Fleet {
    /// Looks a runner up.
    pub fn runner(&self, name: &str) -> Option<RunnerId> {
        self.by_name.get(name).copied()
    }

    /// Runners in the order of their names, which is the same on each instance.
    pub fn by_name(&self) -> impl Iterator<Item = RunnerId> + '_ {
        self.by_name.values().copied()
    }

    /// Looks a failure domain up, or numbers it.
    pub fn domain(&mut self, name: &Name) -> DomainId {
        if let Some(&id) = self.by_domain.get(name) {
            return id;
        }
        let id = self.domains.push(name.clone());
        self.by_domain.insert(name.clone(), id);
        id
    }

    /// Replaces the models.
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        self.models = models.iter().cloned().collect();
        for runner in self.runners.values_mut() {
            runner.resolve(&self.models);
        }
        self.stale = self.models.keys().collect();
    }

    /// Marks the models that a runner holds as in need of a new plan.
    fn touch(&mut self, id: RunnerId) {
        let models = self.runners[id].held.iter().map(|(model, _)| *model);
        self.stale.extend(models);
    }

    /// Takes a report in. Reports of an older incarnation or with a lower number have no effect;
    /// one with the newest number again may bring other layers or say that the runner leaves.
    pub fn observe(&mut self, now: Millis, seen: &RunnerSeen) -> Effect {
        let Some(id) = self.runner(&seen.name) else {
            self.add(now, seen);
            return Effect::PlanChanged;
        };
        let known = &self.runners[id];
        if seen.incarnation < known.incarnation {
            return Effect::Same;
        }
        if seen.incarnation > known.incarnation {
            let fresh = self.make(now, seen);
            self.touch(id);
            self.runners[id] = fresh;
            self.touch(id);
            self.cache.restart(id);
            return Effect::PlanChanged;
        }
        if seen.number < known.number {
            return Effect::Same;
        }
        self.update(id, now, seen)
    }

    fn add(&mut self, now: Millis, seen: &RunnerSeen) {
        let runner = self.make(now, seen);
        let id = self.runners.push(runner);
        self.by_name.insert(seen.name.clone(), id);
        self.touch(id);
    }

    fn make(&mut self, now: Millis, seen: &RunnerSeen) -> Runner {
        let domain = self.domain(&seen.domain);
        let mut runner = Runner {
            name: seen.name.clone(),
            incarnation: seen.incarnation,
            address: seen.address,
            domain,
            accelerator: seen.accelerator.clone(),
            held: Vec::new(),
            speed: seen.token_layers_per_s,
            reported: seen.running + seen.queued,
            number: seen.number,
            figures_at: now.saturating_sub(seen.age_ms),
            closed: seen.leaving.then_some(CloseReason::Leaving),
            own: 0,
            failures: 0,
            avoid_until: 0,
            declared: seen.holds.clone(),
            changes: VecDeque::new(),
            own_since: 0,
        };
        runner.resolve(&self.models);
        runner
    }

    fn update(&mut self, id: RunnerId, now: Millis, seen: &RunnerSeen) -> Effect {
        let domain = self.domain(&seen.domain);
        let runner = &mut self.runners[id];
        let closed = match runner.closed {
            // Leaving and gone never turn back in one incarnation: a late report that was made
            // before the runner began to leave would otherwise bring it new work.
            Some(CloseReason::Leaving | CloseReason::Gone) => runner.closed,
            // The report it was suspected after is no sign of life.
            Some(CloseReason::Suspected) if seen.number == runner.number && !seen.leaving => {
                runner.closed
            }
            Some(CloseReason::Suspected) | None => seen.leaving.then_some(CloseReason::Leaving),
        };
        let speed = seen.token_layers_per_s;
        let faster_or_slower = (speed - runner.speed).abs() > SPEED_SHARE * runner.speed;
        let same = closed == runner.closed
            && runner.declared == seen.holds
            && !faster_or_slower
            && runner.domain == domain;
        runner.closed = closed;
        runner.address = seen.address;
        runner.domain = domain;
        // Reported speeds are measured and vary a little with each report: following every one
        // would ask for a new plan each time, so small changes are left out.
        if faster_or_slower {
            runner.speed = speed;
        }
        runner.reported = seen.running + seen.queued;
        runner.number = seen.number;
        runner.figures_at = now.saturating_sub(seen.age_ms);
        runner.settle(runner.figures_at);
        if same {
            return Effect::Same;
        }
        self.touch(id);
        let runner = &mut self.runners[id];
        runner.declared.clone_from(&seen.holds);
        runner.resolve(&self.models);
        self.touch(id);
        Effect::PlanChanged
    }

    /// Closes a runner to new work. A stronger reason replaces a weaker one.
    pub fn close(&mut self, id: RunnerId, reason: CloseReason) -> Effect {
        let runner = &mut self.runners[id];
        let before = runner.closed;
        runner.closed = before.max(Some(reason));
        if before.is_none() {
            self.touch(id);
            Effect::PlanChanged
        } else {
            Effect::Same
        }
    }

    /// Takes a cache event in; one of another incarnation has no effect.
    pub fn cache(&mut self, seen: &CacheSeen) {
        let Some(id) = self.runner(&seen.runner) else {
            return;
        };
        if self.runners[id].incarnation == seen.incarnation {
            self.cache.observe(id, seen);
        }
    }
}
