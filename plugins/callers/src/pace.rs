//! What the streams of each pipeline have shown: how long a gap between tokens may be, and how
//! many retries are allowed.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jacinthweir_kernel::clock::Clock;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::journal::Journal;
use jacinthweir_policy::retry::{
    AttemptFailure, Decision, RetryBudget, RetryBudgetConfig, StallConfig, StallDetector,
    StallSuspects, TimeLeft, decide,
};
use jacinthweir_policy::route::Route;

/// Which token of an attempt is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The first: the queue at the runner and the prefill come before it.
    First,
    /// A later one.
    Next,
}

/// Paces by pipeline.
pub(crate) struct Paces {
    clock: Clock,
    by_pipeline: Mutex<BTreeMap<Name, Pace>>,
    silences: Mutex<StallSuspects>,
}

struct Pace {
    budget: RetryBudget,
    first: StallDetector,
    next: StallDetector,
}

impl Pace {
    fn new(now: Millis) -> Pace {
        Pace {
            budget: RetryBudget::new(RetryBudgetConfig::default(), now),
            first: StallDetector::new(StallConfig::default()),
            next: StallDetector::new(StallConfig::default()),
        }
    }

    fn detector(&mut self, awaited: Awaited) -> &mut StallDetector {
        match awaited {
            Awaited::First => &mut self.first,
            Awaited::Next => &mut self.next,
        }
    }
}

/// State of one pipeline, for the dump.
#[derive(serde::Serialize)]
pub(crate) struct PaceRow {
    pipeline: Name,
    first_token_threshold_ms: u64,
    next_token_threshold_ms: u64,
    stalls: u64,
    retries_taken: u64,
    retries_refused: u64,
}

impl Paces {
    /// The paces of an instance.
    pub(crate) fn of(cx: &Kernel) -> Arc<Paces> {
        cx.plugin_state(|| Paces {
            clock: cx.clock,
            by_pipeline: Mutex::default(),
            silences: Mutex::default(),
        })
    }

    /// Silence that counts as a stall.
    pub(crate) fn threshold(&self, pipeline: &Name, awaited: Awaited) -> Duration {
        let ms = self.with(pipeline, |p| p.detector(awaited).threshold_ms());
        Duration::from_millis(ms)
    }

    /// A token came after `gap_ms`.
    pub(crate) fn seen(&self, pipeline: &Name, awaited: Awaited, gap_ms: u64) {
        self.with(pipeline, |p| p.detector(awaited).record_gap(gap_ms));
    }

    /// An attempt was given up as stalled.
    pub(crate) fn stalled(&self, pipeline: &Name, awaited: Awaited) {
        self.with(pipeline, |p| p.detector(awaited).record_suspicion());
    }

    /// A token came over a route.
    pub(crate) fn token(&self, route: &Route) {
        let runners = route.stages.iter().map(|s| s.runner);
        self.silences().record_token(self.clock.now(), runners);
    }

    /// A route was silent from `since` until now; returns the runners to blame.
    pub(crate) fn blame(&self, route: &Route, since: Millis) -> Vec<RunnerId> {
        let stages = route.stages.iter();
        let runners = stages.map(|s| (s.runner, s.name.clone()));
        self.silences()
            .record_stall(self.clock.now(), since, runners)
    }

    /// Runners that new work avoids where it can, as they are blamed for stalls.
    pub(crate) fn blamed(&self, cx: &Kernel) -> Vec<RunnerId> {
        let upstreams = cx.upstreams();
        let reported = |name: &Name| Some(upstreams.get(name)?.load?.sampled_ms);
        self.silences().suspects(self.clock.now(), reported)
    }

    /// A request was answered.
    pub(crate) fn answered(&self, pipeline: &Name) {
        self.with(pipeline, |p| p.budget.record_success());
    }

    /// Whether a request whose attempt ended badly gets another one.
    pub(crate) fn decide(
        &self,
        pipeline: &Name,
        journal: &Journal,
        end: AttemptFailure,
        left_ms: u64,
        in_flight: u32,
    ) -> Decision {
        let now = self.clock.now();
        let time = TimeLeft {
            left_ms,
            needed_ms: 0,
        };
        self.with(pipeline, |p| {
            p.budget.set_in_flight(in_flight);
            decide(now, journal, end, time, &mut p.budget)
        })
    }

    /// Rows for the dump.
    pub(crate) fn rows(&self) -> Vec<PaceRow> {
        let paces = self.lock();
        let rows = paces.iter().map(|(pipeline, p)| PaceRow {
            pipeline: pipeline.clone(),
            first_token_threshold_ms: p.first.threshold_ms(),
            next_token_threshold_ms: p.next.threshold_ms(),
            stalls: p.first.suspicions() + p.next.suspicions(),
            retries_taken: p.budget.taken(),
            retries_refused: p.budget.refused(),
        });
        rows.collect()
    }

    fn with<T>(&self, pipeline: &Name, act: impl FnOnce(&mut Pace) -> T) -> T {
        let now = self.clock.now();
        let mut paces = self.lock();
        let pace = paces
            .entry(pipeline.clone())
            .or_insert_with(|| Pace::new(now));
        act(pace)
    }

    fn silences(&self) -> MutexGuard<'_, StallSuspects> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, Pace>> {
        self.by_pipeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
