//! Crashes counted against one suspect, in times of this instance's clock.

use std::collections::{BTreeMap, BTreeSet};

use super::{BrokenRun, CRASH_THRESHOLD, Crash, CrashRecord, LifetimeState, Suspect};
use crate::fingerprint::Fingerprint;
use crate::lifetime::Lifetime;
use crate::prelude::*;

/// Time within which all instances notice one event, in milliseconds.
const EVENT_WINDOW_MS: i64 = 1_000;

/// The same for the crashes of a part, in milliseconds. They follow each other as fast as different
/// requests arrive, and what a lost rack interrupts is noticed by broken connections at once.
const PART_EVENT_WINDOW_MS: i64 = 300;

/// Different requests whose runs must have crashed before a part of their prompts is quarantined.
const MIN_REQUESTS: usize = 2;

/// How long the crashes of a suspect that is not quarantined are kept after their last change, in
/// milliseconds.
const RETENTION_MS: Millis = 120_000;

/// How long a suspect stays quarantined after the last change of its crashes, in milliseconds.
const QUARANTINE_MS: Millis = 600_000;

/// Maximum number of lifetimes in one crash record.
pub(super) const MAX_LIFETIMES: usize = 64;

/// Returns how long a suspect's crashes are kept after their last change, in milliseconds.
pub(super) fn retention_ms(is_quarantined: bool) -> Millis {
    match is_quarantined {
        true => QUARANTINE_MS,
        false => RETENTION_MS,
    }
}

/// Returns the time `age` before `now`, which is negative if this instance started later.
pub(super) fn time_before(now: Millis, age: Millis) -> i64 {
    let signed = |ms: Millis| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(now).saturating_sub(signed(age))
}

fn age_at(at_ms: i64, now: Millis) -> Millis {
    let passed = time_before(now, 0).saturating_sub(at_ms);
    u64::try_from(passed).unwrap_or(0)
}

/// Run that a crash interrupted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashedRun {
    broke_ms: i64,
    sent_ms: i64,
    seen_by: Name,
    request: Option<Fingerprint>,
    /// Longest time for which a run of the suspect had produced output, in milliseconds.
    longest_ms: Millis,
}

impl CrashedRun {
    pub(super) fn of(crash: &Crash, now: Millis) -> CrashedRun {
        CrashedRun {
            broke_ms: time_before(now, crash.broke_age_ms),
            sent_ms: time_before(now, crash.sent_age_ms),
            seen_by: crash.seen_by.clone(),
            request: crash.request,
            longest_ms: crash.longest_ms,
        }
    }

    /// Returns this run with what is known of all runs that the crash interrupted: the request of the
    /// likeliest, and the longest time for which one of them had produced output, in milliseconds.
    pub(super) fn with_suspected(
        self,
        request: Option<Fingerprint>,
        longest_ms: Millis,
    ) -> CrashedRun {
        CrashedRun {
            request,
            longest_ms,
            ..self
        }
    }

    fn to_crash(&self, lifetime: &Lifetime, now: Millis) -> Crash {
        Crash {
            lifetime: lifetime.clone(),
            seen_by: self.seen_by.clone(),
            sent_age_ms: age_at(self.sent_ms, now),
            broke_age_ms: age_at(self.broke_ms, now),
            request: self.request,
            longest_ms: self.longest_ms,
        }
    }

    /// Returns whether this run was interrupted by another event than an earlier run.
    fn is_distinct_from(&self, earlier: &CrashedRun, window_ms: i64) -> bool {
        let sent_after = self.seen_by == earlier.seen_by && self.sent_ms >= earlier.broke_ms;
        sent_after || self.broke_ms >= earlier.broke_ms + window_ms
    }
}

impl From<&BrokenRun> for CrashedRun {
    fn from(run: &BrokenRun) -> CrashedRun {
        CrashedRun {
            broke_ms: time_before(run.at_ms, 0),
            sent_ms: time_before(run.sent_ms, 0),
            seen_by: run.seen_by.clone(),
            request: Some(run.subject.request),
            longest_ms: run.ran_ms.unwrap_or(0),
        }
    }
}

/// Returns the length of the longest sequence of runs in which each was interrupted by another event
/// than the one before.
fn count_distinct(suspect: Suspect, runs: &[&CrashedRun]) -> usize {
    let window_ms = match suspect {
        Suspect::Request(_) => EVENT_WINDOW_MS,
        Suspect::Part(_) => PART_EVENT_WINDOW_MS,
    };
    let mut runs = runs.to_vec();
    runs.sort();
    let mut longest: Vec<usize> = Vec::with_capacity(runs.len());
    for (i, run) in runs.iter().enumerate() {
        let earlier = runs[..i].iter().zip(&longest);
        let distinct = earlier.filter(|(e, _)| run.is_distinct_from(e, window_ms));
        let before = distinct.map(|(_, count)| *count).max().unwrap_or(0);
        longest.push(before + 1);
    }
    longest.into_iter().max().unwrap_or(0)
}

/// Returns whether a suspect is quarantined after crashes that interrupted `runs`.
pub(super) fn suffices(suspect: Suspect, runs: &[&CrashedRun]) -> bool {
    let requests = || {
        let requests: BTreeSet<Option<Fingerprint>> = runs.iter().map(|r| r.request).collect();
        requests.len()
    };
    let is_general = match suspect {
        Suspect::Request(_) => true,
        Suspect::Part(_) => requests() >= MIN_REQUESTS,
    };
    is_general && count_distinct(suspect, runs) >= CRASH_THRESHOLD
}

/// Crashes counted against one suspect.
#[derive(Clone, Debug)]
pub(super) struct Crashes {
    suspect: Suspect,
    runs: BTreeMap<Lifetime, CrashedRun>,
    cleared: BTreeSet<Lifetime>,
    stored_era: Option<u64>,
    changed_ms: Millis,
    /// When another instance was last seen to lack something, in milliseconds.
    lacking_ms: Millis,
    /// When this instance learned of each crash, in milliseconds.
    learned_ms: BTreeMap<Lifetime, Millis>,
}

impl Crashes {
    /// Returns a suspect without crashes.
    pub(super) fn none(suspect: Suspect, now: Millis) -> Crashes {
        Crashes {
            suspect,
            runs: BTreeMap::new(),
            cleared: BTreeSet::new(),
            stored_era: None,
            changed_ms: now,
            lacking_ms: 0,
            learned_ms: BTreeMap::new(),
        }
    }

    pub(super) fn changed_ms(&self) -> Millis {
        self.changed_ms
    }

    /// Returns the time since which other instances are to be told, in milliseconds.
    pub(super) fn due_ms(&self) -> Millis {
        self.changed_ms.max(self.lacking_ms)
    }

    /// Returns the time until which the crashes are kept, in milliseconds.
    pub(super) fn expires_ms(&self) -> Millis {
        self.changed_ms + retention_ms(self.is_quarantined())
    }

    pub(super) fn record(&self, now: Millis) -> CrashRecord {
        let crashes = self.runs.iter().map(|(l, run)| run.to_crash(l, now));
        CrashRecord {
            suspect: self.suspect,
            crashes: crashes.collect(),
            cleared: self.cleared.clone(),
            stored_era: self.stored_era,
            age_ms: now.saturating_sub(self.changed_ms),
        }
    }

    fn counted_runs(&self) -> Vec<&CrashedRun> {
        let counted = self.runs.iter().filter(|(l, _)| !self.cleared.contains(*l));
        counted.map(|(_, run)| run).collect()
    }

    /// Returns the longest time for which a run had produced output before it crashed its runner, if it
    /// did, in milliseconds.
    pub(super) fn longest_ms(&self) -> Millis {
        let runs = self.counted_runs();
        runs.iter().map(|r| r.longest_ms).max().unwrap_or(0)
    }

    /// Returns the number of distinct crashes that are not cleared.
    pub(super) fn count(&self) -> usize {
        count_distinct(self.suspect, &self.counted_runs())
    }

    /// Returns the same without the end of a lifetime.
    pub(super) fn count_without(&self, l: &Lifetime) -> usize {
        let counted = self.runs.iter();
        let counted = counted.filter(|(other, _)| *other != l && !self.cleared.contains(*other));
        let runs: Vec<&CrashedRun> = counted.map(|(_, run)| run).collect();
        count_distinct(self.suspect, &runs)
    }

    pub(super) fn is_quarantined(&self) -> bool {
        suffices(self.suspect, &self.counted_runs())
    }

    /// Returns whether all counted crashes are counted against another suspect as well.
    pub(super) fn is_subset_of(&self, other: &Crashes) -> bool {
        let mut counted = self.runs.keys().filter(|l| !self.cleared.contains(*l));
        counted.all(|l| other.is_counted(l))
    }

    /// Returns whether it would be quarantined for the crashes alone that are not counted against
    /// another suspect.
    pub(super) fn is_quarantined_without(&self, other: &Crashes) -> bool {
        let counted = self.runs.iter().filter(|(l, _)| !self.cleared.contains(*l));
        let own = counted.filter(|(l, _)| !other.is_counted(l));
        let runs: Vec<&CrashedRun> = own.map(|(_, run)| run).collect();
        suffices(self.suspect, &runs)
    }

    /// Returns whether the end of a lifetime is counted and not cleared.
    pub(super) fn is_counted(&self, l: &Lifetime) -> bool {
        self.runs.contains_key(l) && !self.cleared.contains(l)
    }

    /// Adds a crash that this instance learns of at `now` and that was reported at `at_ms`. Returns
    /// whether it is new.
    pub(super) fn add(
        &mut self,
        l: &Lifetime,
        run: CrashedRun,
        now: Millis,
        at_ms: Millis,
    ) -> bool {
        if let Some(known) = self.runs.get_mut(l) {
            // The earliest failure and the longest run win, so that the result does not depend on the
            // order of merges.
            let longest_ms = run.longest_ms.max(known.longest_ms);
            let first = run.min(known.clone());
            *known = CrashedRun {
                longest_ms,
                ..first
            };
            return false;
        }
        if self.runs.len() >= MAX_LIFETIMES {
            self.forget_oldest_cleared();
        }
        let has_room = self.runs.len() < MAX_LIFETIMES;
        if has_room {
            self.runs.insert(l.clone(), run);
            self.changed_ms = self.changed_ms.max(at_ms);
            self.learned_ms.insert(l.clone(), now);
        }
        has_room
    }

    fn forget_oldest_cleared(&mut self) {
        let cleared = self.runs.iter().filter(|(l, _)| self.cleared.contains(*l));
        let oldest = cleared.min_by_key(|(_, run)| run.broke_ms);
        if let Some(l) = oldest.map(|(l, _)| l.clone()) {
            self.runs.remove(&l);
            self.cleared.remove(&l);
            self.learned_ms.remove(&l);
        }
    }

    /// Merges a record; `trusted` are lifetimes whose crashes do not count at this instance. Returns
    /// whether the record contained anything new, or lacks something that this instance knows.
    pub(super) fn merge(
        &mut self,
        record: &CrashRecord,
        trusted: &[&Lifetime],
        now: Millis,
    ) -> bool {
        let at_ms = now.saturating_sub(record.age_ms);
        let mut is_news = false;
        for crash in &record.crashes {
            is_news |= self.add(&crash.lifetime, CrashedRun::of(crash, now), now, at_ms);
        }
        for l in &record.cleared {
            is_news |= self.cleared.insert(l.clone());
        }
        for l in trusted {
            is_news |= self.cleared.insert((*l).clone());
        }
        is_news |= record.stored_era > self.stored_era;
        self.stored_era = self.stored_era.max(record.stored_era);
        if is_news {
            self.changed_ms = self.changed_ms.max(at_ms);
        }
        let is_uncleared_there =
            |c: &Crash| self.cleared.contains(&c.lifetime) && !record.cleared.contains(&c.lifetime);
        let is_lacking = record.crashes.iter().any(is_uncleared_there);
        if is_lacking {
            self.lacking_ms = now;
        }
        is_news || is_lacking
    }

    /// Clears all crashes. Returns whether there were any.
    pub(super) fn clear_all(&mut self, now: Millis) -> bool {
        let lifetimes: Vec<Lifetime> = self.runs.keys().cloned().collect();
        self.clear(lifetimes, now)
    }

    /// Clears the crashes of runners that have recovered since. Returns whether there were any.
    pub(super) fn clear_recovered(
        &mut self,
        now: Millis,
        lifetime_state: impl Fn(&Lifetime) -> LifetimeState,
    ) -> bool {
        let has_recovered = |l: &Lifetime, learned_ms: Millis| match lifetime_state(l) {
            LifetimeState::Recovered(at_ms) => at_ms >= learned_ms,
            LifetimeState::Running | LifetimeState::Silent | LifetimeState::Ended => false,
        };
        let recovered: Vec<Lifetime> = self
            .learned_ms
            .extract_if(.., |l, learned_ms| has_recovered(l, *learned_ms))
            .map(|(l, _)| l)
            .collect();
        self.clear(recovered, now)
    }

    fn clear(&mut self, lifetimes: Vec<Lifetime>, now: Millis) -> bool {
        let before = self.cleared.len();
        self.cleared.extend(lifetimes);
        let is_news = self.cleared.len() > before;
        if is_news {
            self.changed_ms = now;
        }
        is_news
    }

    pub(super) fn mark_stored(&mut self, era: u64) {
        self.stored_era = self.stored_era.max(Some(era));
    }

    /// Takes the record for removed from the store. Returns whether it was there.
    pub(super) fn take_stored(&mut self) -> bool {
        self.stored_era.take().is_some()
    }
}
