//! Requests that end the runners which run them, and are sent to no more of them.
//!
//! Load pattern: each runner that begins to run a certain request crashes, and is back after some
//! seconds. The request comes again and again, at any instance, and each attempt is new to it. What broke
//! with it goes to the next chain together with it, which breaks as well, until none is left.
//!
//! A request whose run breaks off is a suspect: its runner may have ended under it. If it has, that is one
//! strike against the request. With [`CRASH_THRESHOLD`] the request is held: no instance sends it to any runner.
//!
//! Most of what broke with it is innocent. Where some of what broke has strikes already, only those with
//! most get another. And what is innocent shows so when it is sent elsewhere: a run that came to its end, or
//! that its runner wrote for [`SURVIVED_MS`], voids all strikes. So does a runner that answers again in the
//! lifetime that seemed over.
//!
//! Some requests have the same fingerprint at many instances at a time: a lost rack breaks all of them, each
//! by another part. That is one event. So strikes that several instances saw count as one unless they are
//! [`APART_MS`] apart; those of one instance count if the later run was sent after the earlier one broke.
//!
//! Invariants:
//! - A strike is named by the lifetime that ended: it counts once, whoever saw it.
//! - What is void stays void. So cases may be told in any order and any number of times, and all who heard
//!   the same hold the same.
//! - One break is one strike, however many parts of its chain ended.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::fingerprint::Fingerprint;
use crate::relay::lifetime::Lifetime;
use crate::relay::ranks::{is_among_first, rank_for};

/// Ends of runners under one request from which on it is held. With two, those that met the same two crashes
/// as a lethal request would be held as well.
pub const CRASH_THRESHOLD: usize = 3;

/// Time within which all instances notice one event, in milliseconds.
const APART_MS: i64 = 1_000;

/// Time that a runner must write for a request to have shown that it lives with it, in milliseconds.
pub const SURVIVED_MS: Millis = 1_000;

/// How long a break waits for the end of its runner to show, in milliseconds: the entry of one that says
/// nothing goes after three heartbeats of a second or more.
const BREAK_KEPT_MS: Millis = 5_000;

/// How long a case is kept that is not held, and how long a request is held, in milliseconds.
const CASE_KEPT_MS: Millis = 120_000;
const HELD_MS: Millis = 600_000;

/// The most cases kept: when a domain is lost, all that ran there is suspect.
const MOST_CASES: usize = 4_096;

/// The most lifetimes kept of one case.
const MOST_LIFETIMES: usize = 64;

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It is one strike short of being held, and its last run broke off a moment ago: it has not shown yet
    /// whether that runner ended.
    Undecided,
    /// Not for so many milliseconds.
    Quarantined(Millis),
}

/// What an instance knows of a lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifetimeState {
    /// It goes on, or nothing is known of it.
    Running,
    /// It is over.
    Ended,
    /// It counted as over and answers since this time, in milliseconds.
    Recovered(Millis),
}

/// A case as it travels and is stored. It has an age and no time, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Request.
    pub request: Fingerprint,
    /// Runners that ended under it.
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
    /// Those of them that say nothing against it.
    #[serde(rename = "void")]
    pub cleared: BTreeSet<Lifetime>,
    /// Newest era of the store in which it was written there.
    pub stored_era: Option<u64>,
    /// Time since its last change when this was written, in milliseconds.
    pub age_ms: Millis,
}

impl CrashRecord {
    /// Whether the request is to be held by what this tells.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        let counted = self
            .crashes
            .iter()
            .filter(|e| !self.cleared.contains(&e.lifetime));
        let runs: Vec<RunFailure> = counted.map(|e| RunFailure::of(e, 0)).collect();
        events(runs.iter()) >= CRASH_THRESHOLD
    }
}

/// The end of a runner under a request, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The lifetime that ended.
    pub lifetime: Lifetime,
    /// Instance whose run broke.
    pub seen_by: Name,
    /// Time since that run was sent when this was written, in milliseconds.
    pub sent_age_ms: Millis,
    /// The same since it broke.
    pub broke_age_ms: Millis,
}

/// The run that a runner's end broke, by the clock of this instance, which may have started later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunFailure {
    broke_ms: i64,
    sent_ms: i64,
    seen_by: Name,
}

impl RunFailure {
    fn of(end: &Crash, now: Millis) -> RunFailure {
        RunFailure {
            broke_ms: before(now, end.broke_age_ms),
            sent_ms: before(now, end.sent_age_ms),
            seen_by: end.seen_by.clone(),
        }
    }

    fn end(&self, lifetime: &Lifetime, now: Millis) -> Crash {
        Crash {
            lifetime: lifetime.clone(),
            seen_by: self.seen_by.clone(),
            sent_age_ms: since(self.sent_ms, now),
            broke_age_ms: since(self.broke_ms, now),
        }
    }

    /// Whether this is another event than the one that broke an earlier run.
    fn is_apart_from(&self, earlier: &RunFailure) -> bool {
        let sent_after = self.seen_by == earlier.seen_by && self.sent_ms >= earlier.broke_ms;
        sent_after || self.broke_ms >= earlier.broke_ms + APART_MS
    }
}

impl From<&BrokenRun> for RunFailure {
    fn from(b: &BrokenRun) -> RunFailure {
        RunFailure {
            broke_ms: before(b.at_ms, 0),
            sent_ms: before(b.sent_ms, 0),
            seen_by: b.seen_by.clone(),
        }
    }
}

fn before(now: Millis, age: Millis) -> i64 {
    let signed = |ms: Millis| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(now).saturating_sub(signed(age))
}

fn since(at_ms: i64, now: Millis) -> Millis {
    let passed = before(now, 0).saturating_sub(at_ms);
    u64::try_from(passed).unwrap_or(0)
}

/// The most of some broken runs that are apart from each other, one after the other.
fn events<'a>(runs: impl Iterator<Item = &'a RunFailure>) -> usize {
    let mut runs: Vec<&RunFailure> = runs.collect();
    runs.sort();
    let mut most: Vec<usize> = Vec::with_capacity(runs.len());
    for (i, run) in runs.iter().enumerate() {
        let earlier = runs[..i].iter().zip(&most);
        let apart = earlier.filter(|(e, _)| run.is_apart_from(e));
        let before = apart.map(|(_, count)| *count).max().unwrap_or(0);
        most.push(before + 1);
    }
    most.into_iter().max().unwrap_or(0)
}

/// A run that broke off.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// Request.
    pub request: Fingerprint,
    /// Lifetimes that it passed through, the first one first.
    pub through: Vec<Lifetime>,
    /// Instance that sent it.
    pub seen_by: Name,
    /// When it was sent, in milliseconds.
    pub sent_ms: Millis,
    /// Whether it is known to have begun; otherwise it may have waited at the first one.
    pub begun: bool,
    /// When it broke off, in milliseconds.
    pub at_ms: Millis,
}

/// Runs that one end broke, by request.
type Suspects = BTreeMap<Fingerprint, Vec<BrokenRun>>;

#[derive(Clone, Debug, Default)]
struct Known {
    crashes: BTreeMap<Lifetime, RunFailure>,
    cleared: BTreeSet<Lifetime>,
    stored_era: Option<u64>,
    changed_ms: Millis,
    /// When each end was heard of here, in milliseconds.
    heard_ms: BTreeMap<Lifetime, Millis>,
}

/// A strike that was found here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewCrash {
    /// Request.
    pub request: Fingerprint,
    /// Lifetime that ended under it.
    pub lifetime: Lifetime,
    /// Strikes that count now.
    pub count: usize,
}

/// What came of looking at the open breaks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// Strikes found.
    pub new_crashes: Vec<NewCrash>,
    /// Whether something became void.
    pub cleared: bool,
    /// Requests that are forgotten and that the store still has.
    pub expired: Vec<Fingerprint>,
}

impl Evaluation {
    /// Whether others should hear of it.
    #[must_use]
    pub fn is_news(&self) -> bool {
        self.cleared || !self.new_crashes.is_empty()
    }
}

/// All cases that one instance knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    breaks: Vec<BrokenRun>,
    cases: BTreeMap<Fingerprint, Known>,
}

impl Quarantine {
    /// Whether nothing is known against any request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.breaks.is_empty() && self.cases.is_empty()
    }

    /// A run of a request that passed through some lifetimes broke off.
    pub fn record_broken_run(&mut self, broken: BrokenRun) {
        self.breaks.push(broken);
    }

    /// A run of a request came to its end, or went on for long enough: whether that is news.
    pub fn record_survival(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.breaks.retain(|b| b.request != request);
        let Some(known) = self.cases.get_mut(&request) else {
            return false;
        };
        let before = known.cleared.len();
        known.cleared.extend(known.crashes.keys().cloned());
        let is_news = known.cleared.len() > before;
        if is_news {
            known.changed_ms = now;
        }
        is_news
    }

    /// Looks at `now` what became of the runners of broken runs, which `life` tells, and forgets what is old.
    pub fn evaluate(
        &mut self,
        now: Millis,
        life: impl Fn(&Lifetime) -> LifetimeState,
    ) -> Evaluation {
        let mut settled = Evaluation::default();
        let mut suspects: BTreeMap<Lifetime, Suspects> = BTreeMap::new();
        for b in std::mem::take(&mut self.breaks) {
            let ended = b.through.iter().find(|l| life(l) == LifetimeState::Ended);
            match ended {
                Some(l) => {
                    let of_lifetime = suspects.entry(l.clone()).or_default();
                    of_lifetime.entry(b.request).or_default().push(b);
                }
                None if now < b.at_ms + BREAK_KEPT_MS => self.breaks.push(b),
                None => {}
            }
        }
        for (lifetime, suspects) in &suspects {
            let struck = self.strike_likeliest(suspects, lifetime, now);
            settled.new_crashes.extend(struck);
        }
        for known in self.cases.values_mut() {
            settled.cleared |= known.void_returned(now, &life);
        }
        settled.expired = self.forget(now);
        settled
    }

    /// A lifetime ended under several requests: those under which runners ended most often before are to
    /// blame. Of these, if they are to be held for it, those whose run had begun.
    fn strike_likeliest(
        &mut self,
        suspects: &Suspects,
        l: &Lifetime,
        now: Millis,
    ) -> Vec<NewCrash> {
        if self.is_explained(l, suspects) {
            return Vec::new();
        }
        let count = |r: &Fingerprint| self.cases.get(r).map_or(0, Known::count);
        let most = suspects.keys().map(count).max().unwrap_or(0);
        let mut likeliest: Vec<(&Fingerprint, &Vec<BrokenRun>)> = suspects.iter().collect();
        likeliest.retain(|(r, _)| count(r) == most);
        let has_begun = |runs: &[BrokenRun]| runs.iter().any(|b| b.begun);
        let any_begun = likeliest.iter().any(|(_, runs)| has_begun(runs));
        if any_begun && most + 1 >= CRASH_THRESHOLD {
            likeliest.retain(|(_, runs)| has_begun(runs));
        }
        let struck = likeliest.into_iter();
        let struck = struck.filter_map(|(r, runs)| self.strike(*r, l, runs, now));
        struck.collect()
    }

    /// Whether a lifetime ended under a request that is held, and none of the suspects is that one.
    fn is_explained(&self, l: &Lifetime, suspects: &Suspects) -> bool {
        let held = self.cases.iter().filter(|(_, k)| k.is_held());
        let mut others = held.filter(|(request, _)| !suspects.contains_key(request));
        others.any(|(_, k)| k.crashes.contains_key(l))
    }

    /// A lifetime ended under a request; `None` where that is known.
    fn strike(
        &mut self,
        request: Fingerprint,
        l: &Lifetime,
        runs: &[BrokenRun],
        now: Millis,
    ) -> Option<NewCrash> {
        let run = runs.iter().map(RunFailure::from).min()?;
        let known = self.known(request, now);
        if !known.add(l, run, now, now) {
            return None;
        }
        Some(NewCrash {
            request,
            lifetime: l.clone(),
            count: known.count(),
        })
    }

    fn known(&mut self, request: Fingerprint, now: Millis) -> &mut Known {
        if self.cases.len() >= MOST_CASES && !self.cases.contains_key(&request) {
            let open = self.cases.iter().filter(|(_, k)| !k.is_held());
            let oldest = open.min_by_key(|(_, k)| k.changed_ms).map(|(r, _)| *r);
            oldest.map(|r| self.cases.remove(&r));
        }
        self.cases.entry(request).or_insert_with(|| Known {
            changed_ms: now,
            ..Known::default()
        })
    }

    /// Forgets what is old; returns what the store still has of it.
    fn forget(&mut self, now: Millis) -> Vec<Fingerprint> {
        let over = self
            .cases
            .extract_if(.., |_, k| now >= k.changed_ms + k.kept_ms());
        let stored = over.filter(|(_, k)| k.stored_era.is_some());
        stored.map(|(request, _)| request).collect()
    }

    /// Whether a request may be sent to a runner at `now`.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, now: Millis) -> Verdict {
        let Some(known) = self.cases.get(&request) else {
            return Verdict::Allowed;
        };
        let until_ms = known.changed_ms + known.kept_ms();
        if known.is_held() && now < until_ms {
            return Verdict::Quarantined(until_ms - now);
        }
        let open = self.breaks.iter().any(|b| b.request == request);
        match open && known.count() + 1 >= CRASH_THRESHOLD {
            true => Verdict::Undecided,
            false => Verdict::Allowed,
        }
    }

    /// Another instance, or the store, told of a case; whether something of it is news.
    pub fn merge(&mut self, told: &CrashRecord, now: Millis) -> bool {
        let at_ms = now.saturating_sub(told.age_ms);
        let is_held = told.is_quarantined();
        let is_long = told.crashes.len() + told.cleared.len() > 2 * MOST_LIFETIMES;
        if is_long || told.age_ms >= kept_ms(is_held) {
            return false;
        }
        let known = self.known(told.request, at_ms);
        let mut is_news = false;
        for end in &told.crashes {
            is_news |= known.add(&end.lifetime, RunFailure::of(end, now), now, at_ms);
        }
        for l in &told.cleared {
            is_news |= known.cleared.insert(l.clone());
        }
        is_news |= told.stored_era > known.stored_era;
        known.stored_era = known.stored_era.max(told.stored_era);
        if is_news {
            known.changed_ms = known.changed_ms.max(at_ms);
        }
        is_news
    }

    /// The store has the case of a request in `era`.
    pub fn mark_stored(&mut self, request: Fingerprint, era: u64) {
        if let Some(known) = self.cases.get_mut(&request) {
            known.stored_era = known.stored_era.max(Some(era));
        }
    }

    /// What is told of cases at `now`: those that changed within `age_ms`, and where `held` says so all that are
    /// held.
    pub fn updates(
        &self,
        age_ms: Millis,
        held: bool,
        now: Millis,
    ) -> impl Iterator<Item = CrashRecord> {
        let told = self.cases.iter().filter(move |(_, k)| {
            let is_new = now <= k.changed_ms + age_ms;
            is_new || (held && k.is_held())
        });
        told.map(move |(request, k)| k.case(*request, now))
    }

    /// Cases of requests that are held at `now`.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = CrashRecord> {
        let held = self.cases.iter().filter(|(_, k)| k.is_held());
        held.map(move |(request, k)| k.case(*request, now))
    }
}

impl Known {
    fn case(&self, request: Fingerprint, now: Millis) -> CrashRecord {
        let ends = self.crashes.iter().map(|(l, run)| run.end(l, now));
        CrashRecord {
            request,
            crashes: ends.collect(),
            cleared: self.cleared.clone(),
            stored_era: self.stored_era,
            age_ms: now.saturating_sub(self.changed_ms),
        }
    }

    /// Strikes that count.
    fn count(&self) -> usize {
        let counted = self
            .crashes
            .iter()
            .filter(|(l, _)| !self.cleared.contains(*l));
        events(counted.map(|(_, run)| run))
    }

    fn is_held(&self) -> bool {
        self.count() >= CRASH_THRESHOLD
    }

    fn kept_ms(&self) -> Millis {
        kept_ms(self.is_held())
    }

    /// Adds an end that is heard of at `now`, told at `at_ms`; whether it is new.
    fn add(&mut self, l: &Lifetime, run: RunFailure, now: Millis, at_ms: Millis) -> bool {
        if let Some(known) = self.crashes.get_mut(l) {
            // Of what several instances saw the first counts, whoever is told of it in which order.
            if run < *known {
                *known = run;
            }
            return false;
        }
        let has_room = self.crashes.len() < MOST_LIFETIMES;
        if has_room {
            self.crashes.insert(l.clone(), run);
            self.changed_ms = self.changed_ms.max(at_ms);
            self.heard_ms.insert(l.clone(), now);
        }
        has_room
    }

    /// Voids strikes by lifetimes that go on after all; whether there were any.
    fn void_returned(&mut self, now: Millis, life: impl Fn(&Lifetime) -> LifetimeState) -> bool {
        let returned = |l: &Lifetime, heard_ms: Millis| match life(l) {
            LifetimeState::Recovered(at_ms) => at_ms >= heard_ms,
            LifetimeState::Running | LifetimeState::Ended => false,
        };
        let back: Vec<Lifetime> = self
            .heard_ms
            .extract_if(.., |l, heard_ms| returned(l, *heard_ms))
            .map(|(l, _)| l)
            .collect();
        let before = self.cleared.len();
        self.cleared.extend(back);
        let changed = self.cleared.len() > before;
        if changed {
            self.changed_ms = now;
        }
        changed
    }
}

fn kept_ms(is_held: bool) -> Millis {
    match is_held {
        true => HELD_MS,
        false => CASE_KEPT_MS,
    }
}

/// Whether `name` is the one that writes a case into the store, of the instances that live and hear it,
/// itself included or not.
pub fn is_writer<'a>(
    name: &Name,
    hear_store: impl Iterator<Item = &'a Name>,
    request: Fingerprint,
) -> bool {
    let matter = request.to_string();
    let ranks = hear_store.map(|n| rank_for(n, &matter));
    is_among_first(1, rank_for(name, &matter), ranks)
}
