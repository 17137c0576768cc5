//! Quarantine of requests that crash the runners which run them.
//!
//! Load pattern: every runner that begins to run a certain request crashes, and is back after some
//! seconds. The caller repeats the request at any instance, and each attempt is new to that
//! instance. The other requests that the crash interrupted move to the next chain together with the
//! lethal one and are interrupted there as well, until no chain is left.
//!
//! A request whose run breaks off is a suspect: its runner may have crashed because of it. If the
//! runner has crashed, the crash is counted against the request. At [`CRASH_THRESHOLD`] counted
//! crashes the request is quarantined: no instance sends it to any runner.
//!
//! Most of the interrupted requests are harmless. If some of the suspects of a crash have earlier
//! crashes against them, only those with the most are charged with another. A harmless request is
//! cleared once it is sent elsewhere: a run that completes, or that produces output for
//! [`SURVIVED_MS`], clears all crashes counted against it. A runner that answers again in the
//! lifetime that was believed to have ended clears the crash of that lifetime.
//!
//! Some requests have the same fingerprint at many instances at a time. A lost rack interrupts all
//! of them, each by the loss of another runner, in a single event. Crashes seen by several
//! instances therefore count as one unless they are [`EVENT_WINDOW_MS`] apart; those seen by one
//! instance are distinct if the later run was sent after the earlier one broke off.
//!
//! Invariants:
//! - A crash is identified by the lifetime that ended, and counts once, whichever instances saw it.
//! - A cleared crash stays cleared. Records can therefore be merged in any order and any number of
//!   times, and all instances that received the same records quarantine the same requests.
//! - A broken run counts as one crash, however many runners of its chain ended.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::fingerprint::Fingerprint;
use crate::relay::lifetime::Lifetime;
use crate::relay::rendezvous::{is_among_first, rank_for};

/// Counted crashes at which a request is quarantined. With two, requests that were interrupted by
/// the same two crashes as a lethal request would be quarantined as well.
pub const CRASH_THRESHOLD: usize = 3;

/// Time within which all instances notice one event, in milliseconds.
const EVENT_WINDOW_MS: i64 = 1_000;

/// Time for which a runner must produce output before its request has survived, in milliseconds.
pub const SURVIVED_MS: Millis = 1_000;

/// How long a broken run waits for evidence that its runner ended, in milliseconds: the entry of a
/// runner that fails silently is removed after three missed heartbeats of a second or more.
const BROKEN_RUN_RETENTION_MS: Millis = 5_000;

/// How long the crash record of a request that is not quarantined is kept after its last change, in
/// milliseconds.
const RECORD_RETENTION_MS: Millis = 120_000;

/// How long a request stays quarantined after the last change of its record, in milliseconds.
const QUARANTINE_MS: Millis = 600_000;

/// Maximum number of crash records: when a failure domain is lost, all requests that ran there are
/// suspects.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of lifetimes in one crash record.
const MAX_LIFETIMES: usize = 64;

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It is one crash below the threshold, and its last run broke off a moment ago: whether the
    /// runner of that run ended is not known yet.
    Undecided,
    /// It is quarantined for the given number of milliseconds.
    Quarantined(Millis),
}

/// What an instance knows of a lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifetimeState {
    /// It goes on, or nothing is known of it.
    Running,
    /// It has ended.
    Ended,
    /// The runner was believed dead and has answered since this time, in milliseconds.
    Recovered(Millis),
}

/// Crashes counted against a request, as sent between instances and stored. Times are given as
/// ages, since the clocks of instances differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Request.
    pub request: Fingerprint,
    /// Crashes of runners while they ran the request.
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
    /// Lifetimes whose crashes do not count against the request.
    #[serde(rename = "void")]
    pub cleared: BTreeSet<Lifetime>,
    /// Newest era of the store in which the record was written there.
    pub stored_era: Option<u64>,
    /// Time from the last change of the record to its serialisation, in milliseconds.
    pub age_ms: Millis,
}

impl CrashRecord {
    /// Returns whether this record alone suffices to quarantine the request.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        let counted = self
            .crashes
            .iter()
            .filter(|c| !self.cleared.contains(&c.lifetime));
        let runs: Vec<RunFailure> = counted.map(|c| RunFailure::of(c, 0)).collect();
        count_distinct(runs.iter()) >= CRASH_THRESHOLD
    }
}

/// Crash of a runner while it ran a request, as sent between instances and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Lifetime that ended.
    pub lifetime: Lifetime,
    /// Instance whose run broke off.
    pub seen_by: Name,
    /// Time from the sending of that run to serialisation, in milliseconds.
    pub sent_age_ms: Millis,
    /// Time from the failure of that run to serialisation, in milliseconds.
    pub broke_age_ms: Millis,
}

/// Failure of a run by a crash, in times of this instance's clock. They are negative if this
/// instance started later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunFailure {
    broke_ms: i64,
    sent_ms: i64,
    seen_by: Name,
}

impl RunFailure {
    fn of(crash: &Crash, now: Millis) -> RunFailure {
        RunFailure {
            broke_ms: time_before(now, crash.broke_age_ms),
            sent_ms: time_before(now, crash.sent_age_ms),
            seen_by: crash.seen_by.clone(),
        }
    }

    fn to_crash(&self, lifetime: &Lifetime, now: Millis) -> Crash {
        Crash {
            lifetime: lifetime.clone(),
            seen_by: self.seen_by.clone(),
            sent_age_ms: age_at(self.sent_ms, now),
            broke_age_ms: age_at(self.broke_ms, now),
        }
    }

    /// Returns whether this run failed by another event than an earlier run.
    fn is_distinct_from(&self, earlier: &RunFailure) -> bool {
        let sent_after = self.seen_by == earlier.seen_by && self.sent_ms >= earlier.broke_ms;
        sent_after || self.broke_ms >= earlier.broke_ms + EVENT_WINDOW_MS
    }
}

impl From<&BrokenRun> for RunFailure {
    fn from(run: &BrokenRun) -> RunFailure {
        RunFailure {
            broke_ms: time_before(run.at_ms, 0),
            sent_ms: time_before(run.sent_ms, 0),
            seen_by: run.seen_by.clone(),
        }
    }
}

fn time_before(now: Millis, age: Millis) -> i64 {
    let signed = |ms: Millis| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(now).saturating_sub(signed(age))
}

fn age_at(at_ms: i64, now: Millis) -> Millis {
    let passed = time_before(now, 0).saturating_sub(at_ms);
    u64::try_from(passed).unwrap_or(0)
}

/// Returns the length of the longest sequence of failures in which each is distinct from the one
/// before.
fn count_distinct<'a>(runs: impl Iterator<Item = &'a RunFailure>) -> usize {
    let mut runs: Vec<&RunFailure> = runs.collect();
    runs.sort();
    let mut longest: Vec<usize> = Vec::with_capacity(runs.len());
    for (i, run) in runs.iter().enumerate() {
        let earlier = runs[..i].iter().zip(&longest);
        let distinct = earlier.filter(|(e, _)| run.is_distinct_from(e));
        let before = distinct.map(|(_, count)| *count).max().unwrap_or(0);
        longest.push(before + 1);
    }
    longest.into_iter().max().unwrap_or(0)
}

/// A run that broke off.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// Request.
    pub request: Fingerprint,
    /// Lifetimes that it passed through, in the order of the chain.
    pub through: Vec<Lifetime>,
    /// Instance that sent it.
    pub seen_by: Name,
    /// When it was sent, in milliseconds.
    pub sent_ms: Millis,
    /// Whether it is known to have begun; otherwise it may have been queued at the first runner.
    pub begun: bool,
    /// When it broke off, in milliseconds.
    pub at_ms: Millis,
}

/// Runs that one crash interrupted, by request.
type Suspects = BTreeMap<Fingerprint, Vec<BrokenRun>>;

#[derive(Clone, Debug, Default)]
struct RequestState {
    crashes: BTreeMap<Lifetime, RunFailure>,
    cleared: BTreeSet<Lifetime>,
    stored_era: Option<u64>,
    changed_ms: Millis,
    /// When this instance learned of each crash, in milliseconds.
    learned_ms: BTreeMap<Lifetime, Millis>,
}

/// A crash that this instance newly counted against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewCrash {
    /// Request.
    pub request: Fingerprint,
    /// Lifetime that ended.
    pub lifetime: Lifetime,
    /// Crashes that count against the request now.
    pub count: usize,
}

/// Result of evaluating the pending broken runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// Crashes newly counted.
    pub new_crashes: Vec<NewCrash>,
    /// Whether any crash was cleared.
    pub cleared: bool,
    /// Requests whose records expired here and are still in the store.
    pub expired: Vec<Fingerprint>,
}

impl Evaluation {
    /// Returns whether other instances are to be notified.
    #[must_use]
    pub fn is_news(&self) -> bool {
        self.cleared || !self.new_crashes.is_empty()
    }
}

/// Pending broken runs and crash records of one instance.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    broken_runs: Vec<BrokenRun>,
    requests: BTreeMap<Fingerprint, RequestState>,
}

impl Quarantine {
    /// Returns whether there is neither a pending broken run nor a crash record.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.broken_runs.is_empty() && self.requests.is_empty()
    }

    /// Records a run that broke off.
    pub fn record_broken_run(&mut self, run: BrokenRun) {
        self.broken_runs.push(run);
    }

    /// Clears the crashes of a request after a run that completed or went on for long enough.
    /// Returns whether there were any.
    pub fn record_survival(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.broken_runs.retain(|b| b.request != request);
        let Some(state) = self.requests.get_mut(&request) else {
            return false;
        };
        let before = state.cleared.len();
        state.cleared.extend(state.crashes.keys().cloned());
        let is_news = state.cleared.len() > before;
        if is_news {
            state.changed_ms = now;
        }
        is_news
    }

    /// Attributes crashes to the pending broken runs at `now`, clears those of recovered runners,
    /// and drops expired records. `lifetime_state` returns what is known of a lifetime.
    pub fn evaluate(
        &mut self,
        now: Millis,
        lifetime_state: impl Fn(&Lifetime) -> LifetimeState,
    ) -> Evaluation {
        let mut evaluation = Evaluation::default();
        let mut suspects: BTreeMap<Lifetime, Suspects> = BTreeMap::new();
        for run in std::mem::take(&mut self.broken_runs) {
            let mut through = run.through.iter();
            let ended = through.find(|l| lifetime_state(l) == LifetimeState::Ended);
            match ended {
                Some(l) => {
                    let of_lifetime = suspects.entry(l.clone()).or_default();
                    of_lifetime.entry(run.request).or_default().push(run);
                }
                None if now < run.at_ms + BROKEN_RUN_RETENTION_MS => self.broken_runs.push(run),
                None => {}
            }
        }
        for (lifetime, suspects) in &suspects {
            let new_crashes = self.attribute_crash(suspects, lifetime, now);
            evaluation.new_crashes.extend(new_crashes);
        }
        for state in self.requests.values_mut() {
            evaluation.cleared |= state.clear_recovered(now, &lifetime_state);
        }
        evaluation.expired = self.expire(now);
        evaluation
    }

    /// Counts the end of a lifetime against the suspects with the most crashes so far. If that
    /// would quarantine them, only those are charged whose run had begun, provided that there are
    /// any.
    fn attribute_crash(&mut self, suspects: &Suspects, l: &Lifetime, now: Millis) -> Vec<NewCrash> {
        if self.is_attributed(l, suspects) {
            return Vec::new();
        }
        let count = |r: &Fingerprint| self.requests.get(r).map_or(0, RequestState::count);
        let most = suspects.keys().map(count).max().unwrap_or(0);
        let mut likeliest: Vec<(&Fingerprint, &Vec<BrokenRun>)> = suspects.iter().collect();
        likeliest.retain(|(r, _)| count(r) == most);
        let has_begun = |runs: &[BrokenRun]| runs.iter().any(|b| b.begun);
        let any_begun = likeliest.iter().any(|(_, runs)| has_begun(runs));
        if any_begun && most + 1 >= CRASH_THRESHOLD {
            likeliest.retain(|(_, runs)| has_begun(runs));
        }
        let charged = likeliest.into_iter();
        let new_crashes = charged.filter_map(|(r, runs)| self.count_crash(*r, l, runs, now));
        new_crashes.collect()
    }

    /// Returns whether the end of a lifetime is attributed to a quarantined request that is not a
    /// suspect.
    fn is_attributed(&self, l: &Lifetime, suspects: &Suspects) -> bool {
        let quarantined = self.requests.iter().filter(|(_, s)| s.is_quarantined());
        let mut others = quarantined.filter(|(request, _)| !suspects.contains_key(request));
        others.any(|(_, s)| s.crashes.contains_key(l))
    }

    /// Counts the end of a lifetime against a request; returns `None` if it was counted before.
    fn count_crash(
        &mut self,
        request: Fingerprint,
        l: &Lifetime,
        runs: &[BrokenRun],
        now: Millis,
    ) -> Option<NewCrash> {
        let run = runs.iter().map(RunFailure::from).min()?;
        let state = self.state_mut(request, now);
        if !state.add_crash(l, run, now, now) {
            return None;
        }
        Some(NewCrash {
            request,
            lifetime: l.clone(),
            count: state.count(),
        })
    }

    fn state_mut(&mut self, request: Fingerprint, now: Millis) -> &mut RequestState {
        if self.requests.len() >= MAX_RECORDS && !self.requests.contains_key(&request) {
            let free = self.requests.iter().filter(|(_, s)| !s.is_quarantined());
            let oldest = free.min_by_key(|(_, s)| s.changed_ms).map(|(r, _)| *r);
            oldest.map(|r| self.requests.remove(&r));
        }
        self.requests
            .entry(request)
            .or_insert_with(|| RequestState {
                changed_ms: now,
                ..RequestState::default()
            })
    }

    /// Drops expired records; returns the requests among them that are still in the store.
    fn expire(&mut self, now: Millis) -> Vec<Fingerprint> {
        let expired = self
            .requests
            .extract_if(.., |_, s| now >= s.changed_ms + s.retention_ms());
        let stored = expired.filter(|(_, s)| s.stored_era.is_some());
        stored.map(|(request, _)| request).collect()
    }

    /// Returns whether a request may be sent to a runner at `now`.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, now: Millis) -> Verdict {
        let Some(state) = self.requests.get(&request) else {
            return Verdict::Allowed;
        };
        let until_ms = state.changed_ms + state.retention_ms();
        if state.is_quarantined() && now < until_ms {
            return Verdict::Quarantined(until_ms - now);
        }
        let is_pending = self.broken_runs.iter().any(|b| b.request == request);
        match is_pending && state.count() + 1 >= CRASH_THRESHOLD {
            true => Verdict::Undecided,
            false => Verdict::Allowed,
        }
    }

    /// Merges a record from another instance or the store. Returns whether it contained anything
    /// new.
    pub fn merge(&mut self, record: &CrashRecord, now: Millis) -> bool {
        let at_ms = now.saturating_sub(record.age_ms);
        let is_quarantined = record.is_quarantined();
        let is_long = record.crashes.len() + record.cleared.len() > 2 * MAX_LIFETIMES;
        if is_long || record.age_ms >= retention_ms(is_quarantined) {
            return false;
        }
        let state = self.state_mut(record.request, at_ms);
        let mut is_news = false;
        for crash in &record.crashes {
            is_news |= state.add_crash(&crash.lifetime, RunFailure::of(crash, now), now, at_ms);
        }
        for l in &record.cleared {
            is_news |= state.cleared.insert(l.clone());
        }
        is_news |= record.stored_era > state.stored_era;
        state.stored_era = state.stored_era.max(record.stored_era);
        if is_news {
            state.changed_ms = state.changed_ms.max(at_ms);
        }
        is_news
    }

    /// Records that the store has the record of a request in `era`.
    pub fn mark_stored(&mut self, request: Fingerprint, era: u64) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.stored_era = state.stored_era.max(Some(era));
        }
    }

    /// Returns the records to send to other instances at `now`: those that changed within `age_ms`,
    /// and all of quarantined requests if `all_quarantined` is set.
    pub fn updates(
        &self,
        age_ms: Millis,
        all_quarantined: bool,
        now: Millis,
    ) -> impl Iterator<Item = CrashRecord> {
        let updates = self.requests.iter().filter(move |(_, s)| {
            let is_new = now <= s.changed_ms + age_ms;
            is_new || (all_quarantined && s.is_quarantined())
        });
        updates.map(move |(request, s)| s.record(*request, now))
    }

    /// Returns the records of the requests that are quarantined at `now`.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = CrashRecord> {
        let quarantined = self.requests.iter().filter(|(_, s)| s.is_quarantined());
        quarantined.map(move |(request, s)| s.record(*request, now))
    }
}

impl RequestState {
    fn record(&self, request: Fingerprint, now: Millis) -> CrashRecord {
        let crashes = self.crashes.iter().map(|(l, run)| run.to_crash(l, now));
        CrashRecord {
            request,
            crashes: crashes.collect(),
            cleared: self.cleared.clone(),
            stored_era: self.stored_era,
            age_ms: now.saturating_sub(self.changed_ms),
        }
    }

    /// Returns the number of distinct crashes that are not cleared.
    fn count(&self) -> usize {
        let counted = self
            .crashes
            .iter()
            .filter(|(l, _)| !self.cleared.contains(*l));
        count_distinct(counted.map(|(_, run)| run))
    }

    fn is_quarantined(&self) -> bool {
        self.count() >= CRASH_THRESHOLD
    }

    fn retention_ms(&self) -> Millis {
        retention_ms(self.is_quarantined())
    }

    /// Adds a crash that this instance learns of at `now` and that was reported at `at_ms`. Returns
    /// whether it is new.
    fn add_crash(&mut self, l: &Lifetime, run: RunFailure, now: Millis, at_ms: Millis) -> bool {
        if let Some(known) = self.crashes.get_mut(l) {
            // The earliest failure wins, so that the result does not depend on the order of merges.
            if run < *known {
                *known = run;
            }
            return false;
        }
        let has_room = self.crashes.len() < MAX_LIFETIMES;
        if has_room {
            self.crashes.insert(l.clone(), run);
            self.changed_ms = self.changed_ms.max(at_ms);
            self.learned_ms.insert(l.clone(), now);
        }
        has_room
    }

    /// Clears the crashes of runners that have recovered since. Returns whether there were any.
    fn clear_recovered(
        &mut self,
        now: Millis,
        lifetime_state: impl Fn(&Lifetime) -> LifetimeState,
    ) -> bool {
        let has_recovered = |l: &Lifetime, learned_ms: Millis| match lifetime_state(l) {
            LifetimeState::Recovered(at_ms) => at_ms >= learned_ms,
            LifetimeState::Running | LifetimeState::Ended => false,
        };
        let recovered: Vec<Lifetime> = self
            .learned_ms
            .extract_if(.., |l, learned_ms| has_recovered(l, *learned_ms))
            .map(|(l, _)| l)
            .collect();
        let before = self.cleared.len();
        self.cleared.extend(recovered);
        let changed = self.cleared.len() > before;
        if changed {
            self.changed_ms = now;
        }
        changed
    }
}

fn retention_ms(is_quarantined: bool) -> Millis {
    match is_quarantined {
        true => QUARANTINE_MS,
        false => RECORD_RETENTION_MS,
    }
}

/// Returns whether instance `name` is the one that writes the record of a request into the store.
/// `reachable` are the live instances that reach the store, with or without itself.
pub fn is_writer<'a>(
    name: &Name,
    reachable: impl Iterator<Item = &'a Name>,
    request: Fingerprint,
) -> bool {
    let key = request.to_string();
    let ranks = reachable.map(|n| rank_for(n, &key));
    is_among_first(1, &rank_for(name, &key), ranks)
}
