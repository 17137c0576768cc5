//! Failure reports that instances exchange about runners, and which instances probe a runner.
//!
//! Load pattern: several runners fail at once in a fleet of hundreds of instances. If every
//! instance probed every failed runner and its witnesses, the probes would arrive at the very
//! moment at which the streams of the broken chains have to be resumed elsewhere.
//!
//! Therefore only instances whose requests pass through a runner probe it themselves. The others
//! mark it dead once [`QUORUM`] instances have reported it dead after probes of their own, and
//! probe it only if no quorum forms. A false report by a single instance convinces nobody, and no
//! instance accepts a report that contradicts its own observations. Later, a few instances of each
//! failure domain probe whether the runner has recovered, and share a successful answer with their
//! whole domain.
//!
//! Invariants:
//! - Only an instance that probed the runner itself is a reporter. An instance that accepts a
//!   report passes it on with the original reporters.
//! - Reports on one lifetime of a runner do not apply to the next.
//! - After the runner has answered this instance or a neighbour, reports are not accepted for a
//!   while. Otherwise instances that are permanently partitioned from the runner would convince the
//!   rest again and again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::rendezvous::{is_among_first, rank_for};

/// Number of reporters required before an instance accepts a failure report.
pub const QUORUM: usize = 3;

/// Number of instances up to which every instance probes as soon as it receives a report.
const SMALL_FLEET: usize = 12;

/// How long an instance waits for a quorum before it probes the runner itself, in milliseconds.
const QUORUM_WAIT_MS: Millis = 200;

/// How long reports on a runner are retained, in milliseconds; its entry in the store expires
/// sooner.
const RETENTION_MS: Millis = 30_000;

/// Maximum number of lifetimes with reports, several times the runners of a large fleet.
pub const MAX_REPORTED: usize = 16_384;

/// How long after an answer of the runner a report only triggers a probe, in milliseconds.
const REFUTED_MS: Millis = 10_000;

/// Instances of a failure domain that probe whether a runner has recovered, or is still slow.
const PROBERS_PER_DOMAIN: usize = 2;

/// Report that a lifetime of a runner has ended, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Runner.
    pub runner: Name,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
    /// Instances whose own probes found it dead.
    #[serde(rename = "namers")]
    pub reporters: BTreeSet<Name>,
}

/// What to do about a runner that other instances report dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// A quorum reported it dead: mark it dead here as well.
    MarkDead,
    /// Probe it together with witnesses.
    Probe,
    /// Leave probing to other instances for now.
    Wait,
}

#[derive(Clone, Debug, Default)]
struct Suspicion {
    reporters: BTreeSet<Name>,
    first_report_ms: Millis,
    updated_ms: Millis,
    refuted_ms: Option<Millis>,
}

/// Failure reports by runner and lifetime.
#[derive(Clone, Debug, Default)]
pub struct FailureReports(BTreeMap<(Name, u64), Suspicion>);

impl FailureReports {
    /// Records a report of another instance or of this one. Returns whether it added a reporter. One on a
    /// further lifetime is dropped if there are [`MAX_REPORTED`].
    pub fn record(&mut self, report: &FailureReport, now: Millis) -> bool {
        self.0.retain(|_, s| now < s.updated_ms + RETENTION_MS);
        let key = (report.runner.clone(), report.born_ms);
        if self.0.len() >= MAX_REPORTED && !self.0.contains_key(&key) {
            return false;
        }
        let suspicion = self.0.entry(key).or_default();
        let before = suspicion.reporters.len();
        if before == 0 {
            suspicion.first_report_ms = now;
        }
        for reporter in &report.reporters {
            if suspicion.reporters.len() < QUORUM {
                suspicion.reporters.insert(reporter.clone());
            }
        }
        let is_news = suspicion.reporters.len() > before;
        if is_news {
            suspicion.updated_ms = now;
        }
        is_news
    }

    /// Returns what to do about a runner at `now` in a fleet of `instances` instances.
    /// `is_affected` tells whether requests of this instance pass through the runner.
    #[must_use]
    pub fn advice(
        &self,
        runner: &Name,
        born_ms: u64,
        is_affected: bool,
        instances: usize,
        now: Millis,
    ) -> Advice {
        let Some(suspicion) = self.0.get(&(runner.clone(), born_ms)) else {
            return Advice::Wait;
        };
        let waited = now >= suspicion.first_report_ms + QUORUM_WAIT_MS;
        let refuted = suspicion.refuted_ms.is_some_and(|at| now < at + REFUTED_MS);
        match (is_affected || refuted, suspicion.reporters.len() >= QUORUM) {
            _ if suspicion.reporters.is_empty() => Advice::Wait,
            (true, _) => Advice::Probe,
            _ if instances <= SMALL_FLEET => Advice::Probe,
            (false, true) => Advice::MarkDead,
            (false, false) if waited => Advice::Probe,
            (false, false) => Advice::Wait,
        }
    }

    /// Returns whether an instance other than `own` reports a lifetime of a runner dead.
    #[must_use]
    pub fn is_reported_by_others(&self, runner: &Name, born_ms: u64, own: &Name) -> bool {
        let suspicion = self.0.get(&(runner.clone(), born_ms));
        suspicion.is_some_and(|s| s.reporters.iter().any(|r| r != own))
    }

    /// Returns the runners with reports, by identity and lifetime.
    pub fn runners(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.0.keys().map(|(runner, born_ms)| (runner, *born_ms))
    }

    /// Returns the reports that gained a reporter at or after `since_ms`, to be passed on.
    pub fn updated_since(&self, since_ms: Millis) -> impl Iterator<Item = FailureReport> {
        let reported = self.0.iter().filter(|(_, s)| !s.reporters.is_empty());
        let updated = reported.filter(move |(_, s)| s.updated_ms >= since_ms);
        updated.map(|((runner, born_ms), suspicion)| FailureReport {
            runner: runner.clone(),
            born_ms: *born_ms,
            reporters: suspicion.reporters.clone(),
        })
    }

    /// Discards the reports on a lifetime of a runner, which answered at `now`.
    pub fn refute(&mut self, runner: &Name, born_ms: u64, now: Millis) {
        if let Some(suspicion) = self.0.get_mut(&(runner.clone(), born_ms)) {
            *suspicion = Suspicion {
                updated_ms: now,
                refuted_ms: Some(now),
                ..Suspicion::default()
            };
        }
    }
}

/// Returns whether instance `name` is one of those that probe whether a runner has recovered.
/// `domain` are the live instances of its failure domain, with or without itself.
pub fn is_prober<'a>(name: &Name, domain: impl Iterator<Item = &'a Name>, runner: &str) -> bool {
    let ranks = domain.map(|n| rank_for(n, runner));
    is_among_first(PROBERS_PER_DOMAIN, &rank_for(name, runner), ranks)
}
