//! Stall detectors and retry budget of each pipeline, and the runners suspected of stalls.

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

/// The token of an attempt that is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AwaitedToken {
    /// The first token, which follows queueing at the runner and prefill.
    First,
    /// Any later token.
    Next,
}

/// Stall detectors and retry budgets by pipeline, and the runners suspected of stalls.
pub(crate) struct RetryStates {
    clock: Clock,
    by_pipeline: Mutex<BTreeMap<Name, RetryState>>,
    stall_suspects: Mutex<StallSuspects>,
}

struct RetryState {
    budget: RetryBudget,
    first: StallDetector,
    next: StallDetector,
}

impl RetryState {
    fn new(now: Millis) -> RetryState {
        RetryState {
            budget: RetryBudget::new(RetryBudgetConfig::default(), now),
            first: StallDetector::new(StallConfig::default()),
            next: StallDetector::new(StallConfig::default()),
        }
    }

    fn detector(&mut self, awaited: AwaitedToken) -> &mut StallDetector {
        match awaited {
            AwaitedToken::First => &mut self.first,
            AwaitedToken::Next => &mut self.next,
        }
    }
}

/// State of one pipeline, for the dump.
#[derive(serde::Serialize)]
pub(crate) struct RetryStateRow {
    pipeline: Name,
    first_token_threshold_ms: u64,
    next_token_threshold_ms: u64,
    stalls: u64,
    retries_taken: u64,
    retries_refused: u64,
}

impl RetryStates {
    /// Returns the state shared by all requests of an instance.
    pub(crate) fn of(cx: &Kernel) -> Arc<RetryStates> {
        cx.plugin_state(|| RetryStates {
            clock: cx.clock,
            by_pipeline: Mutex::default(),
            stall_suspects: Mutex::default(),
        })
    }

    /// Returns the token gap from which an attempt counts as stalled.
    pub(crate) fn stall_threshold(&self, pipeline: &Name, awaited: AwaitedToken) -> Duration {
        let ms = self.with_state(pipeline, |state| state.detector(awaited).threshold_ms());
        Duration::from_millis(ms)
    }

    /// Records that a token arrived after `gap_ms`.
    pub(crate) fn record_gap(&self, pipeline: &Name, awaited: AwaitedToken, gap_ms: u64) {
        self.with_state(pipeline, |state| state.detector(awaited).record_gap(gap_ms));
    }

    /// Records that an attempt counts as stalled.
    pub(crate) fn record_suspicion(&self, pipeline: &Name, awaited: AwaitedToken) {
        self.with_state(pipeline, |state| state.detector(awaited).record_suspicion());
    }

    /// Records that an attempt that counted as stalled gave a token after `gap_ms`.
    pub(crate) fn record_false_suspicion(
        &self,
        pipeline: &Name,
        awaited: AwaitedToken,
        gap_ms: u64,
    ) {
        self.with_state(pipeline, |state| {
            state.detector(awaited).record_false_suspicion(gap_ms);
        });
    }

    /// Records a token as progress of all runners of its route.
    pub(crate) fn record_token(&self, route: &Route) {
        let runners = route.stages.iter().map(|s| s.runner);
        self.lock_stall_suspects()
            .record_token(self.clock.now(), runners);
    }

    /// Records that a route gave no token from `since` until now.
    pub(crate) fn record_stall(&self, route: &Route, since: Millis) {
        let stages = route.stages.iter();
        let runners = stages.map(|s| (s.runner, s.name.clone()));
        let mut suspects = self.lock_stall_suspects();
        suspects.record_stall(self.clock.now(), since, runners);
    }

    /// Returns the runners suspected of stalls, which new work avoids where it can.
    pub(crate) fn suspects(&self, cx: &Kernel) -> Vec<RunnerId> {
        let upstreams = cx.upstreams();
        let reported = |name: &Name| Some(upstreams.get(name)?.load?.sampled_ms);
        self.lock_stall_suspects()
            .suspects(self.clock.now(), reported)
    }

    /// Records an answered request, which replenishes the retry budget.
    pub(crate) fn record_success(&self, pipeline: &Name) {
        self.with_state(pipeline, |state| state.budget.record_success());
    }

    /// Decides whether a request whose attempt failed gets another one.
    pub(crate) fn decide(
        &self,
        pipeline: &Name,
        journal: &Journal,
        failure: AttemptFailure,
        left_ms: u64,
        in_flight: u32,
    ) -> Decision {
        let now = self.clock.now();
        let time = TimeLeft {
            left_ms,
            needed_ms: 0,
        };
        self.with_state(pipeline, |state| {
            state.budget.set_in_flight(in_flight);
            decide(now, journal, failure, time, &mut state.budget)
        })
    }

    /// Returns one row per pipeline for the dump.
    pub(crate) fn rows(&self) -> Vec<RetryStateRow> {
        let pipelines = self.lock_pipelines();
        let rows = pipelines.iter().map(|(pipeline, state)| RetryStateRow {
            pipeline: pipeline.clone(),
            first_token_threshold_ms: state.first.threshold_ms(),
            next_token_threshold_ms: state.next.threshold_ms(),
            stalls: state.first.suspicions() + state.next.suspicions(),
            retries_taken: state.budget.taken(),
            retries_refused: state.budget.refused(),
        });
        rows.collect()
    }

    fn with_state<T>(&self, pipeline: &Name, f: impl FnOnce(&mut RetryState) -> T) -> T {
        let now = self.clock.now();
        let mut pipelines = self.lock_pipelines();
        let state = pipelines
            .entry(pipeline.clone())
            .or_insert_with(|| RetryState::new(now));
        f(state)
    }

    fn lock_stall_suspects(&self) -> MutexGuard<'_, StallSuspects> {
        self.stall_suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_pipelines(&self) -> MutexGuard<'_, BTreeMap<Name, RetryState>> {
        self.by_pipeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
