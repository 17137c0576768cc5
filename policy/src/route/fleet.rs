//! State of the runners: the newest report of each, and the requests of this instance in flight.
//!
//! Load reports arrive late. The reported number of requests is adjusted by the requests that this
//! instance has sent and seen finished since the report was sampled. The other instances are
//! assumed to have behaved alike, so the adjustment is scaled by the number of instances.

use super::cache::CacheIndex;
use super::records::{
    CloseReason, HeldRange, ModelSpec, PrefixCacheEvent, RouteStage, RunnerReport,
};
use crate::layers::LayerRange;
use crate::prelude::*;
use cranelift_entity::PrimaryMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Maximum number of in-flight changes kept per runner since its newest report.
const MAX_RECENT_CHANGES: usize = 1024;
/// Relative difference up to which a reported speed counts as unchanged.
const SPEED_TOLERANCE: f64 = 0.05;

/// State of one runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Name.
    pub name: Name,
    /// Newest incarnation reported.
    pub incarnation: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held of the known models; ranges of one model neither overlap nor touch.
    pub held: Vec<(ModelId, LayerRange)>,
    /// Speed, in token-layers per second.
    pub speed: f64,
    /// Reported number of running and queued requests.
    pub reported: u32,
    /// Newest report number.
    pub number: u64,
    /// Time at which the newest report was sampled.
    pub sampled_at: Millis,
    /// Reason why it receives no new work; `None` if it is open.
    pub closed: Option<CloseReason>,
    /// Requests of this instance in flight on the runner.
    pub own: u32,
    /// Failures since the last success.
    pub failures: u32,
    /// End of the cooldown after a failure; new work avoids the runner until then.
    pub avoid_until: Millis,
    declared: Vec<HeldRange>,
    recent_changes: VecDeque<(Millis, i32)>,
    own_since_report: i32,
}

impl Runner {
    /// Estimates the number of requests on the runner now: the reported number plus the changes
    /// made by this instance since then, scaled by the number of instances. Never less than this
    /// instance itself has in flight there.
    pub fn load(&self, instances: f64) -> f64 {
        let estimate = f64::from(self.reported) + f64::from(self.own_since_report) * instances;
        estimate.max(f64::from(self.own))
    }

    /// Returns whether the runner holds all of `layers`.
    pub fn holds(&self, model: ModelId, layers: LayerRange) -> bool {
        self.held
            .iter()
            .any(|&(m, range)| m == model && range.covers(layers))
    }

    /// Returns the ranges held of a model.
    pub fn ranges(&self, model: ModelId) -> impl Iterator<Item = LayerRange> + '_ {
        self.held
            .iter()
            .filter(move |(m, _)| *m == model)
            .map(|&(_, range)| range)
    }

    /// Returns the number of models of which the runner holds layers.
    pub fn model_count(&self) -> u32 {
        let mut count = 0;
        let mut last = None;
        for &(model, _) in &self.held {
            count += u32::from(last != Some(model));
            last = Some(model);
        }
        count
    }

    /// Returns whether new work may go to the runner.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    /// Adds `delta` to the requests that this instance has in flight on the runner.
    pub fn add_in_flight(&mut self, now: Millis, delta: i32) {
        self.own = self.own.saturating_add_signed(delta);
        self.own_since_report += delta;
        match self.recent_changes.back_mut() {
            Some((at, sum)) if *at == now => *sum += delta,
            _ => self.recent_changes.push_back((now, delta)),
        }
        // Without reports the list would grow with each request, so the two oldest changes are
        // merged under the later of their times. A report sampled between the two times counts
        // the older change twice until the next report.
        if self.recent_changes.len() > MAX_RECENT_CHANGES
            && let Some((_, oldest)) = self.recent_changes.pop_front()
            && let Some((_, next)) = self.recent_changes.front_mut()
        {
            *next += oldest;
        }
    }

    /// Returns whether a stage was picked for the current incarnation of the runner.
    pub fn is_incarnation_of(&self, stage: &RouteStage) -> bool {
        stage.incarnation == self.incarnation
    }

    /// Discards the changes that a report sampled at `at` already includes.
    fn discard_reported_changes(&mut self, at: Millis) {
        while let Some(&(changed, delta)) = self.recent_changes.front() {
            if changed > at {
                break;
            }
            self.own_since_report -= delta;
            self.recent_changes.pop_front();
        }
    }

    /// Recomputes `held` from the declared ranges: clipped to the model, sorted and merged.
    fn resolve_held(&mut self, models: &PrimaryMap<ModelId, ModelSpec>) {
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

/// Effect of an observation on the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanEffect {
    /// The plan remains valid: the observation was outdated or changed the load only.
    Unchanged,
    /// The inputs of the plan changed, so it has to be recomputed.
    Invalidated,
}

/// All runners observed since the start.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Models, in the order given to the router.
    pub models: PrimaryMap<ModelId, ModelSpec>,
    /// Runners, in the order of their first report.
    pub runners: PrimaryMap<RunnerId, Runner>,
    /// Names of the failure domains.
    pub domains: PrimaryMap<DomainId, Name>,
    /// Models whose plan is out of date.
    pub stale: BTreeSet<ModelId>,
    by_name: BTreeMap<Name, RunnerId>,
    by_domain: BTreeMap<Name, DomainId>,
    /// Prompt prefixes reported as cached by the runners.
    pub cache: CacheIndex,
}

impl Fleet {
    /// Looks up a runner by name.
    pub fn runner(&self, name: &str) -> Option<RunnerId> {
        self.by_name.get(name).copied()
    }

    /// Returns the runners in the order of their names, which is the same on every instance.
    pub fn by_name(&self) -> impl Iterator<Item = RunnerId> + '_ {
        self.by_name.values().copied()
    }

    /// Looks up a failure domain by name, or assigns it an id.
    pub fn domain(&mut self, name: &Name) -> DomainId {
        if let Some(&id) = self.by_domain.get(name) {
            return id;
        }
        let id = self.domains.push(name.clone());
        self.by_domain.insert(name.clone(), id);
        id
    }

    /// Replaces the models and marks all plans as stale.
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        self.models = models.iter().cloned().collect();
        for runner in self.runners.values_mut() {
            runner.resolve_held(&self.models);
        }
        self.stale = self.models.keys().collect();
    }

    /// Marks the plans of the models held by a runner as stale.
    fn mark_stale(&mut self, id: RunnerId) {
        let models = self.runners[id].held.iter().map(|(model, _)| *model);
        self.stale.extend(models);
    }

    /// Applies a load report. Reports of an older incarnation or with a lower number have no
    /// effect; a repeated newest number may carry other layers or announce that the runner leaves.
    pub fn observe(&mut self, now: Millis, report: &RunnerReport) -> PlanEffect {
        let Some(id) = self.runner(&report.name) else {
            self.add(now, report);
            return PlanEffect::Invalidated;
        };
        let known = &self.runners[id];
        if report.incarnation < known.incarnation {
            return PlanEffect::Unchanged;
        }
        if report.incarnation > known.incarnation {
            let fresh = self.new_runner(now, report);
            self.mark_stale(id);
            self.runners[id] = fresh;
            self.mark_stale(id);
            self.cache.reset(id);
            return PlanEffect::Invalidated;
        }
        if report.number < known.number {
            return PlanEffect::Unchanged;
        }
        self.update(id, now, report)
    }

    fn add(&mut self, now: Millis, report: &RunnerReport) {
        let runner = self.new_runner(now, report);
        let id = self.runners.push(runner);
        self.by_name.insert(report.name.clone(), id);
        self.mark_stale(id);
    }

    fn new_runner(&mut self, now: Millis, report: &RunnerReport) -> Runner {
        let domain = self.domain(&report.domain);
        let mut runner = Runner {
            name: report.name.clone(),
            incarnation: report.incarnation,
            address: report.address,
            domain,
            accelerator: report.accelerator.clone(),
            held: Vec::new(),
            speed: report.token_layers_per_s,
            reported: report.running + report.queued,
            number: report.number,
            sampled_at: now.saturating_sub(report.age_ms),
            closed: report.leaving.then_some(CloseReason::Leaving),
            own: 0,
            failures: 0,
            avoid_until: 0,
            declared: report.holds.clone(),
            recent_changes: VecDeque::new(),
            own_since_report: 0,
        };
        runner.resolve_held(&self.models);
        runner
    }

    fn update(&mut self, id: RunnerId, now: Millis, report: &RunnerReport) -> PlanEffect {
        let domain = self.domain(&report.domain);
        let runner = &mut self.runners[id];
        let closed = match runner.closed {
            // Leaving and gone are final within an incarnation: otherwise a late report from
            // before the runner began to leave would reopen it to new work.
            Some(CloseReason::Leaving | CloseReason::Gone) => runner.closed,
            // A repeat of the report that preceded the suspicion does not refute it.
            Some(CloseReason::Suspected) if report.number == runner.number && !report.leaving => {
                runner.closed
            }
            Some(CloseReason::Suspected) | None => report.leaving.then_some(CloseReason::Leaving),
        };
        let speed = report.token_layers_per_s;
        let speed_changed = (speed - runner.speed).abs() > SPEED_TOLERANCE * runner.speed;
        let unchanged = closed == runner.closed
            && runner.declared == report.holds
            && !speed_changed
            && runner.domain == domain;
        runner.closed = closed;
        runner.address = report.address;
        runner.domain = domain;
        // Reported speeds vary slightly from report to report. Following each one would require
        // a new plan every time, so small changes are ignored.
        if speed_changed {
            runner.speed = speed;
        }
        runner.reported = report.running + report.queued;
        runner.number = report.number;
        runner.sampled_at = now.saturating_sub(report.age_ms);
        runner.discard_reported_changes(runner.sampled_at);
        if unchanged {
            return PlanEffect::Unchanged;
        }
        self.mark_stale(id);
        let runner = &mut self.runners[id];
        runner.declared.clone_from(&report.holds);
        runner.resolve_held(&self.models);
        self.mark_stale(id);
        PlanEffect::Invalidated
    }

    /// Closes a runner to new work. A stronger reason replaces a weaker one.
    pub fn close(&mut self, id: RunnerId, reason: CloseReason) -> PlanEffect {
        let runner = &mut self.runners[id];
        let before = runner.closed;
        runner.closed = before.max(Some(reason));
        if before.is_none() {
            self.mark_stale(id);
            PlanEffect::Invalidated
        } else {
            PlanEffect::Unchanged
        }
    }

    /// Applies a cache event; one of another incarnation has no effect.
    pub fn observe_cache(&mut self, event: &PrefixCacheEvent) {
        let Some(id) = self.runner(&event.runner) else {
            return;
        };
        if self.runners[id].incarnation == event.incarnation {
            self.cache.observe(id, event);
        }
    }
}
