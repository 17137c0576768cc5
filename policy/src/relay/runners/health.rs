//! Health of one lifetime of a runner, as observed by this instance.

use std::ops::RangeInclusive;

use crate::prelude::*;
use crate::relay::held_range::HeldRange;

/// Half-life of a runner's failure rate, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;

/// Evidence on which a lifetime of a runner counts as dead.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum DeathEvidence {
    /// It refuses connections, while witnesses accept them and no other instance reaches it.
    #[display("connection refused")]
    Refused,
    /// Another lifetime answers at its address.
    #[display("runner has restarted")]
    Restarted,
    /// It does not answer, while witnesses do and no other instance reaches it.
    #[display("silent while witnesses answer")]
    Silent,
    /// It accepts connections and sends no report, while witnesses do.
    #[display("no report while witnesses answer")]
    NoReport,
    /// Another runner reports that its requests are stalled on it.
    #[display("requests at another runner are stalled on it")]
    Stalled,
    /// A quorum of other instances reported it dead.
    #[display("reported dead by other instances")]
    Reported,
    /// Its entry is gone from the store.
    #[display("entry removed")]
    EntryRemoved,
}

impl DeathEvidence {
    /// Returns whether it shows that the lifetime has ended, rather than that the runner is silent.
    #[must_use]
    pub fn is_proof(self) -> bool {
        match self {
            DeathEvidence::Refused | DeathEvidence::Restarted | DeathEvidence::EntryRemoved => true,
            DeathEvidence::Silent
            | DeathEvidence::NoReport
            | DeathEvidence::Stalled
            | DeathEvidence::Reported => false,
        }
    }
}

/// Health of a runner as known to this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerHealth {
    /// Lifetime that this applies to.
    pub born_ms: u64,
    /// Time before which the runner gets no requests, in milliseconds.
    pub avoid_until_ms: Millis,
    /// Whether it has said that it is leaving, which it does not take back in the same lifetime.
    pub(super) leaving: bool,
    /// Time until which it wants no requests of this instance, in milliseconds.
    pub rest_until_ms: Millis,
    /// Whether it is considered dead.
    pub dead: bool,
    /// When it was found dead, in milliseconds.
    pub dead_since_ms: Millis,
    /// On what evidence it was last found dead.
    pub death_evidence: Option<DeathEvidence>,
    /// Whether this instance found it dead itself, rather than by a quorum of reports.
    pub found_locally: bool,
    /// Range of layers that its entry still lists although it refused a request for part of it.
    pub misreported: Option<HeldRange>,
    /// Whether it advertises a rate limit.
    pub limited: bool,
    /// Number of orders that it has accepted, if known.
    pub orders: Option<u64>,
    /// Moving average of failed requests, 0 to 1, as of the last request.
    pub failure_rate: f64,
    /// When the last request ended, in milliseconds.
    pub failure_rate_ms: Millis,
    /// Requests of this instance in flight at the runner.
    pub in_flight: u32,
    /// Reported pace and the time of the report. 1 is the declared speed, 2 half of it.
    pace: Option<(f64, Millis)>,
    /// When the pace last changed by [`PACE_STEP`], in milliseconds.
    pace_changed_ms: Option<Millis>,
    /// When it answered again after it was considered dead, in milliseconds.
    recovered_ms: Option<Millis>,
    /// When it was last probed on its own, apart from its chain, in milliseconds.
    probed_ms: Option<Millis>,
    /// Number of such probes since the backoff was last reset.
    probes: u32,
}

/// Paces that a runner may report; 1 is the declared speed. One that is a million times slower is of no use.
pub const PACES: RangeInclusive<f64> = 1e-6..=1e6;

/// Change of a runner's pace from which on chains are rebuilt.
const PACE_STEP: f64 = 0.5;

/// Interval between the first two probes of a suspected runner in a small fleet, in milliseconds.
/// It doubles with each probe, since a runner that is gone for good is probed by every instance
/// until its entry is removed.
pub const PROBE_INTERVAL_MS: Millis = 700;

/// Maximum interval between two probes, in milliseconds.
const MAX_PROBE_INTERVAL_MS: Millis = 5_600;

/// Maximum number of doublings of the interval.
const MAX_DOUBLINGS: u32 = 3;

/// Interval between two probes by an instance that leaves probing to others, in milliseconds.
const RARE_PROBE_INTERVAL_MS: Millis = 12_000;

impl RunnerHealth {
    /// Returns that of a lifetime of which nothing is known but the requests in flight at the runner.
    pub(super) fn of_lifetime(born_ms: u64, in_flight: u32) -> RunnerHealth {
        RunnerHealth {
            born_ms,
            in_flight,
            ..RunnerHealth::default()
        }
    }

    /// Returns whether the runner is to be probed now, and records the probe if so. `interval` is
    /// the interval between the first two probes in milliseconds, to which exponential backoff
    /// applies.
    pub fn should_probe(&mut self, now: Millis, interval: Millis) -> bool {
        let interval = (interval << self.probes.min(MAX_DOUBLINGS)).min(MAX_PROBE_INTERVAL_MS);
        let due = self.probed_ms.is_none_or(|at| now >= at + interval);
        if due {
            self.probed_ms = Some(now);
            self.probes += 1;
        }
        due
    }

    /// Does the same for an instance that leaves probing to others, which may be lost, or whose
    /// messages may be lost.
    pub fn should_probe_rarely(&mut self, now: Millis) -> bool {
        let since = self.probed_ms.max(Some(self.dead_since_ms));
        let due = since.is_none_or(|at| now >= at + RARE_PROBE_INTERVAL_MS);
        if due {
            self.probed_ms = Some(now);
        }
        due
    }

    /// Records evidence that the runner, which counts as dead, has ended. A runner that was silent at
    /// first may turn out to have crashed.
    pub fn strengthen_evidence(&mut self, evidence: DeathEvidence) {
        if self.dead && evidence.is_proof() {
            self.death_evidence = Some(evidence);
        }
    }

    /// Records that the runner answers again at `now`.
    pub fn mark_recovered(&mut self, now: Millis) {
        self.dead = false;
        self.recovered_ms = Some(now);
        self.reset_probe_backoff();
    }

    /// Returns whether it is alive and recovered at or after `since_ms`.
    #[must_use]
    pub fn recovered_since(&self, since_ms: Millis) -> bool {
        !self.dead && self.recovered_ms.is_some_and(|at| at >= since_ms)
    }

    /// Returns when it recovered after it was considered dead, in milliseconds.
    #[must_use]
    pub fn recovered_ms(&self) -> Option<Millis> {
        self.recovered_ms.filter(|_| !self.dead)
    }

    /// Records that it wants no requests of this instance for `ms` milliseconds.
    pub fn rest_for(&mut self, ms: Millis, now: Millis) {
        self.rest_until_ms = self.rest_until_ms.max(now + ms);
    }

    /// Returns how much longer it wants no requests of this instance, in milliseconds.
    #[must_use]
    pub fn rest_ms(&self, now: Millis) -> Option<Millis> {
        let left = self.rest_until_ms.saturating_sub(now);
        (left > 0).then_some(left)
    }

    /// Makes the next probe due at once, since the runner answers another instance again.
    pub fn probe_soon(&mut self) {
        self.probed_ms = None;
        self.probes = 0;
    }

    /// Resets the probe backoff after an answer or a new failure report.
    pub fn reset_probe_backoff(&mut self) {
        self.probes = 0;
    }

    /// Returns the share of recent requests that failed. It decays with time, since a runner that
    /// gets no requests could never show that it is healthy again.
    #[must_use]
    pub fn failure_rate_at(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.failure_rate_ms) as f64;
        self.failure_rate * 0.5_f64.powf(passed / FAILURE_HALF_LIFE_MS)
    }

    /// Returns the factor by which its work takes longer than declared; at least 1.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.pace.map_or(1.0, |(pace, _)| pace).max(1.0)
    }

    /// Returns its reported pace; 1 is the declared speed.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        self.pace.map(|(pace, _)| pace)
    }

    /// Records a pace reported at `at_ms`, if it is one of [`PACES`]. Returns whether it is newer than the
    /// known one and differs enough for chains to be rebuilt.
    pub fn set_pace(&mut self, pace: f64, at_ms: Millis) -> bool {
        let is_old = self.pace.is_some_and(|(_, known_ms)| at_ms <= known_ms);
        if is_old || !PACES.contains(&pace) {
            return false;
        }
        let before = self.slowness();
        self.pace = Some((pace, at_ms));
        self.probed_ms = self.probed_ms.max(Some(at_ms));
        self.probes = 0;
        let changed = (self.slowness() - before).abs() >= PACE_STEP;
        if changed {
            self.pace_changed_ms = Some(at_ms);
        }
        changed
    }

    /// Returns its pace and the time of the report if the pace changed at or after `since_ms`.
    #[must_use]
    pub fn pace_changed_since(&self, since_ms: Millis) -> Option<(f64, Millis)> {
        self.pace
            .filter(|_| self.pace_changed_ms.is_some_and(|at| at >= since_ms))
    }

    /// Returns whether it is dead or slow, or changed within [`NOTABLE_MS`].
    pub(super) fn is_notable(&self, now: Millis) -> bool {
        let since = now.saturating_sub(NOTABLE_MS);
        let changed = self.recovered_since(since) || self.pace_changed_since(since).is_some();
        self.dead || self.is_slow() || changed
    }

    /// Returns whether it is so slow that it is to be probed for its pace.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.slowness() >= 1.0 + PACE_STEP
    }
}

/// Time for which a recovery or a change of pace is notable, in milliseconds: longer than it is
/// gossiped.
pub const NOTABLE_MS: Millis = 1_000;
