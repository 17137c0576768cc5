//! Shared state of the quarantine: what crashed upstreams, as known to this instance.
//!
//! The plug-ins that send work to upstreams record here how their runs ended, and ask before each
//! send. All decisions are made in [`jacinthweir_policy::quarantine`].

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::prompt_part;
use jacinthweir_policy::quarantine::{
    BrokenRun, Change, CrashReport, Evaluation, LifetimeState, Quarantine, RunSubject, SeenCrash,
    SuspectCrashes, Verdict,
};
use jacinthweir_policy::upstreams::{Availability, Upstreams};

use crate::Kernel;

/// Interval between checks whether an undecided verdict is known.
const VERDICT_POLL: Duration = Duration::from_millis(20);

/// Longest wait for an undecided verdict, in milliseconds: within it the polls of the upstream show
/// whether it crashed.
const MAX_VERDICT_WAIT_MS: Millis = 5_000;

/// Retry delay suggested to callers while a verdict is undecided, in milliseconds.
const UNDECIDED_RETRY_MS: Millis = 1_000;

impl Kernel {
    /// Locks and returns the state of the quarantine.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current lifetime of an upstream as far as it is known.
    #[must_use]
    pub fn lifetime(&self, upstream: &Name) -> Lifetime {
        let upstreams = self.upstreams();
        let known = upstreams.get(upstream);
        Lifetime {
            runner: upstream.clone(),
            born_ms: known.map_or(0, |u| u.listed().incarnation),
        }
    }

    /// Returns the time for which a request must not be sent to any upstream, in milliseconds; `None`
    /// if it may be sent. Waits for an undecided verdict, until `deadline` at most.
    pub async fn quarantined_ms(&self, subject: &RunSubject, deadline: Millis) -> Option<Millis> {
        let until = deadline.min(self.clock.now() + MAX_VERDICT_WAIT_MS);
        loop {
            let verdict = self.quarantine().verdict(subject, self.clock.now());
            match verdict {
                Verdict::Allowed => return None,
                Verdict::Quarantined { suspect, left_ms } => {
                    log::info!(suspect:%, left_ms; "quarantined");
                    self.quarantine().record_refusal(suspect, self.clock.now());
                    return Some(left_ms);
                }
                Verdict::Undecided if self.clock.now() >= until => return Some(UNDECIDED_RETRY_MS),
                Verdict::Undecided => tokio::time::sleep(VERDICT_POLL).await,
            }
        }
    }

    /// Returns whether a request may be sent to an upstream, as far as it is known now.
    #[must_use]
    pub fn may_send(&self, subject: &RunSubject) -> bool {
        let verdict = self.quarantine().verdict(subject, self.clock.now());
        verdict == Verdict::Allowed
    }

    /// Records that a run completed or went on for long enough, which clears the crashes of its
    /// request and of the parts of its prompt.
    pub fn record_survival(&self, subject: &RunSubject) {
        let now = self.clock.now();
        if self.quarantine().record_survival(subject, now) {
            let parts = prompt_part::list(&subject.parts);
            log::info!(fingerprint:% = subject.request, parts; "crashes cleared");
        }
    }

    /// Records that a run broke off, so that its upstream may have crashed.
    pub fn record_broken_run(&self, run: BrokenRun) {
        log::info!(
            fingerprint:% = run.subject.request,
            parts = prompt_part::list(&run.subject.parts),
            runner = run.through.first().map_or("", |l| &l.runner),
            ran_ms:? = run.ran_ms;
            "run broke off"
        );
        metrics::counter!("jacinthweir_runs_broken_total").increment(1);
        self.quarantine().record_broken_run(run);
    }

    /// Evaluates whether the upstreams of broken runs crashed. Returns the crashes that are in the platform
    /// and not needed there any more.
    pub fn evaluate_quarantine(&self) -> Vec<Lifetime> {
        let evaluation = {
            let upstreams = self.upstreams();
            let mut quarantine = self.quarantine();
            if quarantine.is_idle() {
                return Vec::new();
            }
            quarantine.evaluate(self.clock.now(), |l| lifetime_state(&upstreams, l))
        };
        log_crashes(&evaluation);
        evaluation.obsolete
    }

    /// Merges crash reports of another instance or the platform.
    pub fn merge_crash_reports(&self, reports: &[CrashReport]) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine();
        for report in reports {
            quarantine.merge(report, now);
        }
    }
}

/// Returns what is known of a lifetime. Only a newer incarnation, or a host that refuses connections,
/// shows that it has ended: a sound upstream that is silent for a while may be suspected as well.
fn lifetime_state(upstreams: &Upstreams, l: &Lifetime) -> LifetimeState {
    let Some(u) = upstreams.get(&l.runner) else {
        return LifetimeState::Ended;
    };
    let incarnation = u.listed().incarnation;
    match upstreams.availability(u) {
        _ if incarnation > l.born_ms => LifetimeState::Ended,
        _ if incarnation < l.born_ms => LifetimeState::Running,
        _ if u.record.ended() => LifetimeState::Ended,
        Availability::Suspected | Availability::Unlisted | Availability::Stale => {
            LifetimeState::Running
        }
        Availability::Open | Availability::Leaving => u
            .answered_ms()
            .map_or(LifetimeState::Running, LifetimeState::Recovered),
    }
}

fn log_crashes(evaluation: &Evaluation) {
    for crash in &evaluation.seen_crashes {
        let SeenCrash {
            lifetime,
            own_runs,
            all_runs,
            suspects,
        } = crash;
        metrics::counter!("jacinthweir_strikes_total").increment(1);
        log::warn!(runner:% = lifetime, own_runs, all_runs; "an upstream ended under runs");
        for SuspectCrashes { suspect, count } in suspects {
            log::warn!(suspect:%, runner:% = lifetime, strikes = count; "an upstream ended under a run");
        }
    }
    for change in &evaluation.changes {
        let (Change::Quarantined(suspects) | Change::Released(suspects)) = change;
        for suspect in suspects {
            match change {
                Change::Quarantined(_) => log::warn!(suspect:%; "suspect is quarantined"),
                Change::Released(_) => log::warn!(suspect:%; "suspect is released"),
            }
        }
    }
}
