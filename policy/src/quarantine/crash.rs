//! A crash and the runs that it interrupted, as the union over all instances, in times of this instance's
//! clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{BrokenRun, CrashReport, MAX_RUN_PARTS, MAX_SUSPECTS, RunReport, Suspect};
use crate::fingerprint::Fingerprint;
use crate::lifetime::Lifetime;
use crate::prelude::*;
use crate::prompt_part::PromptPart;

/// Maximum number of runs that are kept of a crash, of those that had begun, and of the others: the ones
/// that had produced output for the shortest time, among which the cause is.
const MAX_RUNS: usize = 16;

/// Difference up to which two times of the same event are taken to be the same, in milliseconds: messages
/// are delayed, so that each instance computes another time from the age that it is told.
const SAME_TIME_MS: Millis = 1_000;

/// Returns the time `age` before `now`, which is negative if this instance started later.
pub(super) fn time_before(now: Millis, age: Millis) -> i64 {
    let signed = |ms: Millis| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(now).saturating_sub(signed(age))
}

fn age_at(at_ms: i64, now: Millis) -> Millis {
    let passed = time_before(now, 0).saturating_sub(at_ms);
    u64::try_from(passed).unwrap_or(0)
}

/// Returns the parts of a run that are considered.
fn considered(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().min(MAX_RUN_PARTS)]
}

/// Adds suspects up to [`MAX_SUSPECTS`]. Returns whether one is new.
fn add_bounded(set: &mut BTreeSet<Suspect>, suspects: impl IntoIterator<Item = Suspect>) -> bool {
    let before = set.len();
    for suspect in suspects {
        if set.len() >= MAX_SUSPECTS {
            break;
        }
        set.insert(suspect);
    }
    set.len() > before
}

/// A run that a crash interrupted.
#[derive(Clone, Debug)]
pub(super) struct CrashedRun {
    pub(super) parts: Arc<[PromptPart]>,
    pub(super) ran_ms: Option<Millis>,
    pub(super) seen_by: Name,
    pub(super) sent_ms: i64,
    pub(super) broke_ms: i64,
}

impl CrashedRun {
    fn of(run: &RunReport, seen_by: &Name, now: Millis) -> CrashedRun {
        CrashedRun {
            parts: considered(&run.parts).into(),
            ran_ms: run.ran_ms,
            seen_by: seen_by.clone(),
            sent_ms: time_before(now, run.sent_age_ms),
            broke_ms: time_before(now, run.broke_age_ms),
        }
    }

    fn key(&self) -> (i64, i64, &Name) {
        (self.broke_ms, self.sent_ms, &self.seen_by)
    }

    fn report(&self, request: Fingerprint, now: Millis) -> RunReport {
        RunReport {
            request,
            parts: self.parts.to_vec(),
            ran_ms: self.ran_ms,
            sent_age_ms: age_at(self.sent_ms, now),
            broke_age_ms: age_at(self.broke_ms, now),
        }
    }

    /// Returns the suspects of a run of `request`, each once.
    pub(super) fn suspects(&self, request: Fingerprint) -> BTreeSet<Suspect> {
        let parts = self.parts.iter().copied().map(Suspect::Part);
        std::iter::once(Suspect::Request(request))
            .chain(parts)
            .collect()
    }

    /// Takes what another report of the same run knows better: the first failure and the longest output,
    /// whatever the order of the reports. Returns whether it ran for longer.
    fn merge(&mut self, run: &RunReport, seen_by: &Name, now: Millis) -> bool {
        let broke_ms = time_before(now, run.broke_age_ms);
        let sent_ms = time_before(now, run.sent_age_ms);
        if (broke_ms, sent_ms, seen_by) < self.key() {
            self.broke_ms = broke_ms;
            self.sent_ms = sent_ms;
            self.seen_by = seen_by.clone();
        }
        let is_longer = run.ran_ms > self.ran_ms;
        self.ran_ms = self.ran_ms.max(run.ran_ms);
        is_longer
    }
}

impl From<&BrokenRun> for CrashedRun {
    fn from(run: &BrokenRun) -> CrashedRun {
        CrashedRun {
            parts: match run.subject.parts.len() <= MAX_RUN_PARTS {
                true => Arc::clone(&run.subject.parts),
                false => considered(&run.subject.parts).into(),
            },
            ran_ms: run.ran_ms,
            seen_by: run.seen_by.clone(),
            sent_ms: time_before(run.sent_ms, 0),
            broke_ms: time_before(run.at_ms, 0),
        }
    }
}

/// A crash.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    runs: BTreeMap<Fingerprint, CrashedRun>,
    /// Suspects of all interrupted runs.
    interrupted: BTreeSet<Suspect>,
    cleared: BTreeSet<Suspect>,
    is_refuted: bool,
    stored_era: Option<u64>,
    /// Time of the last news, in milliseconds.
    changed_ms: Millis,
    /// Time of the last news, or of the last request that was refused for it, in milliseconds.
    needed_ms: Millis,
    /// When this instance learned of it, in milliseconds.
    learned_ms: Millis,
    /// When another instance was last seen to lack what is cleared, in milliseconds.
    lacking_ms: Millis,
}

impl Crash {
    /// Returns a crash without runs that this instance learns of at `now`, and that was last needed at
    /// `needed_ms`.
    pub(super) fn new(now: Millis, needed_ms: Millis) -> Crash {
        Crash {
            runs: BTreeMap::new(),
            interrupted: BTreeSet::new(),
            cleared: BTreeSet::new(),
            is_refuted: false,
            stored_era: None,
            changed_ms: needed_ms,
            needed_ms,
            learned_ms: now,
            lacking_ms: 0,
        }
    }

    pub(super) fn changed_ms(&self) -> Millis {
        self.changed_ms
    }

    /// Returns the time since which other instances are to be told, in milliseconds.
    pub(super) fn due_ms(&self) -> Millis {
        self.changed_ms.max(self.lacking_ms)
    }

    pub(super) fn needed_ms(&self) -> Millis {
        self.needed_ms
    }

    pub(super) fn learned_ms(&self) -> Millis {
        self.learned_ms
    }

    /// Returns the suspects against which it counts.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let interrupted = self.interrupted.iter().filter(|_| !self.is_refuted);
        interrupted.copied().filter(|s| !self.cleared.contains(s))
    }

    /// Returns whether it does not count against a suspect.
    pub(super) fn is_cleared(&self, suspect: Suspect) -> bool {
        self.cleared.contains(&suspect)
    }

    /// Returns the suspects that are cleared.
    pub(super) fn cleared(&self) -> impl Iterator<Item = Suspect> {
        self.cleared.iter().copied()
    }

    /// Clears those of the given suspects that it interrupted, since they have survived. Returns whether that
    /// is news.
    pub(super) fn clear(&mut self, suspects: impl Iterator<Item = Suspect>, now: Millis) -> bool {
        let interrupted = &self.interrupted;
        let survivors = suspects.filter(|s| interrupted.contains(s));
        let is_news = add_bounded(&mut self.cleared, survivors);
        if is_news {
            self.change(now);
        }
        is_news
    }

    /// Clears the suspects that `is_trusted` accepts, given the time at which their run broke off in
    /// milliseconds. Returns whether that is news.
    pub(super) fn clear_trusted(
        &mut self,
        now: Millis,
        is_trusted: impl Fn(Suspect, i64) -> bool,
    ) -> bool {
        let runs = self.runs.iter();
        let suspects = runs.flat_map(|(request, run)| {
            let suspects = run.suspects(*request).into_iter();
            suspects.map(|s| (s, run.broke_ms))
        });
        let trusted = suspects.filter(|(s, broke_ms)| is_trusted(*s, *broke_ms));
        let trusted: Vec<Suspect> = trusted.map(|(s, _)| s).collect();
        self.clear(trusted.into_iter(), now)
    }

    /// Returns the interrupted runs, unless the crash is refuted.
    pub(super) fn runs(&self) -> impl Iterator<Item = (Fingerprint, &CrashedRun)> {
        let runs = self.runs.iter().filter(|_| !self.is_refuted);
        runs.map(|(request, run)| (*request, run))
    }

    /// Returns the number of interrupted runs that are known.
    pub(super) fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Adds a run that this instance sent. Returns whether that is news.
    pub(super) fn add(&mut self, run: &BrokenRun, now: Millis) -> bool {
        let request = run.subject.request;
        let run = CrashedRun::from(run);
        let is_news = match self.runs.get_mut(&request) {
            Some(known) => known.merge(&run.report(request, now), &run.seen_by, now),
            None => self.insert(request, run),
        };
        if is_news {
            self.change(now);
        }
        is_news
    }

    /// Adds a run of a request that is not known yet. Returns whether it is kept.
    fn insert(&mut self, request: Fingerprint, run: CrashedRun) -> bool {
        let has_begun = run.ran_ms.is_some();
        add_bounded(&mut self.interrupted, run.suspects(request));
        self.runs.insert(request, run);
        let alike = self.runs.iter();
        let alike = alike.filter(|(_, run)| run.ran_ms.is_some() == has_begun);
        if alike.clone().count() <= MAX_RUNS {
            return true;
        }
        let longest = alike.max_by_key(|(r, run)| (run.ran_ms, **r));
        let longest = longest.map(|(r, _)| *r);
        if let Some(longest) = longest {
            self.runs.remove(&longest);
        }
        longest != Some(request)
    }

    fn change(&mut self, at_ms: Millis) {
        self.changed_ms = self.changed_ms.max(at_ms);
        self.needed_ms = self.needed_ms.max(at_ms);
    }

    /// Merges a report that arrives at `now`. Returns whether it contains anything new.
    pub(super) fn merge(&mut self, report: &CrashReport, now: Millis) -> bool {
        let at_ms = now.saturating_sub(report.age_ms);
        let mut is_news = report.is_refuted && !self.is_refuted;
        self.is_refuted |= report.is_refuted;
        is_news |= add_bounded(&mut self.cleared, report.cleared.iter().copied());
        for (seen_by, runs) in &report.runs {
            for run in runs.iter().take(2 * MAX_RUNS) {
                is_news |= match self.runs.get_mut(&run.request) {
                    Some(known) => known.merge(run, seen_by, now),
                    None => self.insert(run.request, CrashedRun::of(run, seen_by, now)),
                };
            }
        }
        self.stored_era = self.stored_era.max(report.stored_era);
        if is_news {
            self.change(at_ms);
        }
        if at_ms > self.needed_ms + SAME_TIME_MS {
            self.needed_ms = at_ms;
        }
        is_news
    }

    /// Notes whether the sender of a report lacks what is cleared here. Returns whether it does.
    pub(super) fn record_lacking(&mut self, report: &CrashReport, now: Millis) -> bool {
        let is_lacking = !self.cleared.is_subset(&report.cleared);
        if is_lacking {
            self.lacking_ms = now;
        }
        is_lacking
    }

    /// Keeps the crash, since a request was refused for it.
    pub(super) fn record_need(&mut self, now: Millis) {
        self.needed_ms = self.needed_ms.max(now);
    }

    /// Clears it, since the runner has answered in that lifetime. Returns whether that is news.
    pub(super) fn refute(&mut self, now: Millis) -> bool {
        let is_news = !self.is_refuted;
        self.is_refuted = true;
        if is_news {
            self.change(now);
        }
        is_news
    }

    pub(super) fn report(&self, lifetime: &Lifetime, now: Millis) -> CrashReport {
        let mut runs: BTreeMap<Name, Vec<RunReport>> = BTreeMap::new();
        for (request, run) in &self.runs {
            let of_instance = runs.entry(run.seen_by.clone()).or_default();
            of_instance.push(run.report(*request, now));
        }
        CrashReport {
            lifetime: lifetime.clone(),
            runs,
            cleared: self.cleared.clone(),
            is_refuted: self.is_refuted,
            stored_era: self.stored_era,
            age_ms: now.saturating_sub(self.needed_ms),
        }
    }

    pub(super) fn mark_stored(&mut self, era: u64) {
        self.stored_era = self.stored_era.max(Some(era));
    }

    /// Takes the crash for removed from the store. Returns whether it was there.
    pub(super) fn take_stored(&mut self) -> bool {
        self.stored_era.take().is_some()
    }
}
