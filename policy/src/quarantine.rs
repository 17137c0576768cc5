//! Quarantine of requests that crash the runners which run them.
//!
//! Load pattern: every runner that begins to run a certain request crashes, and is back after some
//! seconds. The caller repeats the request at any instance, and each attempt is new to that
//! instance. The other requests that the crash interrupted move to the next chain together with the
//! lethal one and are interrupted there as well, until no chain is left. Or the requests differ, and
//! one part of their prompts is lethal, while sound requests share all of their other parts.
//!
//! A request whose run breaks off is a suspect, and so is each part of its prompt that other requests
//! may share: its runner may have crashed because of it. If the runner has crashed, the crash is
//! counted against the suspects. At [`CRASH_THRESHOLD`] counted crashes a suspect is quarantined: no
//! instance sends the request, or any request with the part, to any runner. A runner that is only silent
//! has not crashed: a run that it broke waits for evidence, and is dropped if the runner answers again.
//!
//! Most of the suspects are harmless. Of the requests that a crash interrupted, only those with the
//! most earlier crashes are charged with another. A harmless suspect is cleared once it is sent
//! elsewhere: a run that completes, or that produces output for [`SURVIVED_MS`], clears all crashes
//! counted against its request and its parts. A runner that answers again in the lifetime that was
//! believed to have ended clears the crash of that lifetime.
//!
//! Parts are shared, so that more is known of them than of a request:
//! - A part that many requests contain is interrupted by every crash. It is trusted, and not charged,
//!   if a run with it survived less than [`TRUST_MS`] before.
//! - The runs of a lethal part are short, since they crash their runner soon after they begin. A part
//!   is not charged beside one that has more earlier crashes and ran for no longer.
//! - One request that is repeated says nothing about its parts: a part is quarantined only if
//!   different requests with it crashed runners.
//! - A harmless part may be quarantined together with the lethal one, since a crash interrupts both. A
//!   request that lacks the lethal one is sent all the same if that one accounts for the crashes of the
//!   others: its longest run was shorter, and the crashes that are not its own would not suffice.
//!
//! Some requests have the same fingerprint, or a part, at many instances at a time. A lost rack
//! interrupts all of them, each by the loss of another runner, in a single event. Crashes seen by
//! several instances therefore count as one unless they are some time apart; those seen by one instance
//! are distinct if the later run was sent after the earlier one broke off.
//!
//! Invariants:
//! - A crash is identified by the lifetime that ended, and counts once, whichever instances saw it.
//! - A cleared crash stays cleared. Records can therefore be merged in any order and any number of
//!   times, and all instances that received the same records quarantine the same suspects.
//! - A broken run counts as one crash, however many runners of its chain ended.

mod crash_record;
mod crashes;

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

pub use self::crash_record::{Crash, CrashRecord, Suspect};
use self::crashes::{CrashedRun, Crashes, retention_ms, time_before};
use crate::fingerprint::Fingerprint;
use crate::lifetime::Lifetime;
use crate::prelude::*;
use crate::prompt_part::PromptPart;

/// Counted crashes at which a suspect is quarantined. With two, requests that were interrupted by the
/// same two crashes as a lethal request would be quarantined as well.
pub const CRASH_THRESHOLD: usize = 3;

/// Time for which a runner must produce output before its request has survived, in milliseconds.
pub const SURVIVED_MS: Millis = 1_000;

/// Time after the survival of a run during which its parts are not charged, in milliseconds. In it the
/// next runs with a part that many requests contain survive as well.
pub const TRUST_MS: Millis = 1_000;

/// Smallest difference between runs that are much shorter or longer than others, in milliseconds.
const RUN_MARGIN_MS: Millis = 50;

/// How long a broken run waits for evidence that its runner ended, in milliseconds: the entry of a
/// runner that fails silently is removed after three missed heartbeats of a second or more.
const BROKEN_RUN_RETENTION_MS: Millis = 5_000;

/// Maximum number of suspects with crashes: when a failure domain is lost, all requests that ran there
/// are suspects.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of parts whose last survival is known.
const MAX_SURVIVALS: usize = 4_096;

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It, or one of its parts, is one crash below the threshold, and the last run broke off a moment
    /// ago: whether the runner of that run ended is not known yet.
    Undecided,
    /// It, or one of its parts, is quarantined for the given number of milliseconds.
    Quarantined {
        /// What is quarantined.
        suspect: Suspect,
        /// Time until the quarantine ends, in milliseconds.
        left_ms: Millis,
    },
}

/// What an instance knows of a lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifetimeState {
    /// It goes on, or nothing is known of it.
    Running,
    /// The runner does not answer. A sound one may be silent for a second or more.
    Silent,
    /// It has ended.
    Ended,
    /// The runner was believed dead and has answered since this time, in milliseconds.
    Recovered(Millis),
}

/// A request, and the parts of its prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSubject {
    /// Request.
    pub request: Fingerprint,
    /// Parts.
    pub parts: Arc<[PromptPart]>,
}

impl RunSubject {
    /// Returns the request and each of its parts.
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().copied().map(Suspect::Part);
        std::iter::once(Suspect::Request(self.request)).chain(parts)
    }

    fn contains(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Request(request) => self.request == request,
            Suspect::Part(part) => self.parts.contains(&part),
        }
    }
}

/// A run that broke off.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// What was run.
    pub subject: RunSubject,
    /// Lifetimes that it passed through, in the order of the chain.
    pub through: Vec<Lifetime>,
    /// Instance that sent it.
    pub seen_by: Name,
    /// When it was sent, in milliseconds.
    pub sent_ms: Millis,
    /// Time for which it produced output, in milliseconds; `None` if it is not known to have begun, and
    /// may have been queued at the first runner.
    pub ran_ms: Option<Millis>,
    /// When it broke off, in milliseconds.
    pub at_ms: Millis,
}

impl BrokenRun {
    /// Returns the first of its lifetimes that has ended.
    fn ending(&self, lifetime_state: impl Fn(&Lifetime) -> LifetimeState) -> Option<Lifetime> {
        let mut through = self.through.iter();
        let ended = through.find(|l| lifetime_state(l) == LifetimeState::Ended);
        ended.cloned()
    }

    /// Returns whether a runner of it is silent.
    fn is_silent(&self, lifetime_state: impl Fn(&Lifetime) -> LifetimeState) -> bool {
        let mut through = self.through.iter();
        through.any(|l| lifetime_state(l) == LifetimeState::Silent)
    }
}

/// A broken run that waits for evidence.
#[derive(Clone, Debug)]
struct PendingRun {
    run: BrokenRun,
    /// Whether a runner of it has been silent.
    was_silent: bool,
}

/// A crash that this instance newly counted against a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewCrash {
    /// Suspect.
    pub suspect: Suspect,
    /// Lifetime that ended.
    pub lifetime: Lifetime,
    /// Crashes that count against the suspect now.
    pub count: usize,
    /// Whether the suspect is quarantined now and was not before.
    pub quarantines: bool,
}

/// Result of evaluating the pending broken runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// Crashes newly counted.
    pub new_crashes: Vec<NewCrash>,
    /// Whether any crash was cleared.
    pub cleared: bool,
    /// Suspects whose records are in the store and not needed there any more.
    pub obsolete: Vec<Suspect>,
}

impl Evaluation {
    /// Returns whether other instances are to be notified.
    #[must_use]
    pub fn is_news(&self) -> bool {
        self.cleared || !self.new_crashes.is_empty()
    }
}

/// Runs that one crash interrupted, by what may have caused it.
type Interrupted<'a> = BTreeMap<Suspect, Vec<&'a BrokenRun>>;

/// Returns the longest time for which one of the runs produced output, in milliseconds.
fn longest_ms(runs: &[&BrokenRun]) -> Millis {
    runs.iter().filter_map(|r| r.ran_ms).max().unwrap_or(0)
}

/// Returns the request whose run began last, and so is the likeliest cause of the crash among them.
fn likeliest_request(runs: &[&BrokenRun]) -> Option<Fingerprint> {
    let begun = runs.iter().filter(|r| r.ran_ms.is_some());
    let last = begun.min_by_key(|r| (r.ran_ms, r.subject.request));
    last.or(runs.first()).map(|r| r.subject.request)
}

/// Drops the suspects of which no run had begun, provided that there are others.
fn retain_begun(interrupted: &mut Interrupted) {
    let has_begun = |runs: &Vec<&BrokenRun>| runs.iter().any(|r| r.ran_ms.is_some());
    if interrupted.values().any(has_begun) {
        interrupted.retain(|_, runs| has_begun(runs));
    }
}

/// Returns whether a lethal part accounts for the quarantine of another suspect. The runs of a lethal part
/// are short: it is the one whose longest run was shorter, if the crashes that are not its own would not
/// suffice. Two parts that always ran together differ in nothing.
fn is_explained_by_part(crashes: &Crashes, part: &Crashes) -> bool {
    match part.longest_ms().cmp(&crashes.longest_ms()) {
        Ordering::Less => !crashes.is_quarantined_without(part),
        Ordering::Equal => crashes.is_subset_of(part),
        Ordering::Greater => false,
    }
}

/// Returns whether a lethal request accounts for the quarantine of a part: all crashes are its own as
/// well. Its runs are also those of its parts, so they have to be much shorter than those of this one.
fn is_explained_by_request(part: &Crashes, request: &Crashes) -> bool {
    let much_longer_ms = 2 * request.longest_ms() + RUN_MARGIN_MS;
    part.longest_ms() > much_longer_ms && part.is_subset_of(request)
}

/// Pending broken runs and counted crashes of one instance.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    broken_runs: Vec<PendingRun>,
    suspects: BTreeMap<Suspect, Crashes>,
    /// When a run with a part last survived at this instance, in milliseconds.
    survivals: BTreeMap<PromptPart, Millis>,
}

impl Quarantine {
    /// Returns whether there is neither a pending broken run nor a counted crash.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.broken_runs.is_empty() && self.suspects.is_empty()
    }

    /// Records a run that broke off.
    pub fn record_broken_run(&mut self, run: BrokenRun) {
        self.broken_runs.push(PendingRun {
            run,
            was_silent: false,
        });
    }

    /// Clears the crashes of a request and its parts after a run that completed or went on for long
    /// enough. Returns whether there were any.
    pub fn record_survival(&mut self, subject: &RunSubject, now: Millis) -> bool {
        self.record_part_survivals(&subject.parts, now);
        self.broken_runs
            .retain(|b| b.run.subject.request != subject.request);
        let mut is_news = false;
        for suspect in subject.suspects() {
            if let Some(crashes) = self.suspects.get_mut(&suspect) {
                is_news |= crashes.clear_all(now);
            }
        }
        is_news
    }

    /// Records that a run with `parts` survived, where nothing else has to be cleared.
    pub fn record_part_survivals(&mut self, parts: &[PromptPart], now: Millis) {
        if self.survivals.len() + parts.len() > MAX_SURVIVALS {
            self.survivals.retain(|_, at| now <= *at + TRUST_MS);
        }
        for part in parts {
            if self.survivals.len() < MAX_SURVIVALS {
                self.survivals.insert(*part, now);
            }
        }
    }

    /// Returns whether a part is trusted not to be the cause of a failure at `at_ms`.
    fn is_trusted(&self, part: PromptPart, at_ms: i64) -> bool {
        let survived = self.survivals.get(&part);
        survived.is_some_and(|at| at_ms <= time_before(*at + TRUST_MS, 0))
    }

    /// Attributes crashes to the pending broken runs at `now`, clears those of recovered runners,
    /// and drops expired records. `lifetime_state` returns what is known of a lifetime.
    pub fn evaluate(
        &mut self,
        now: Millis,
        lifetime_state: impl Fn(&Lifetime) -> LifetimeState,
    ) -> Evaluation {
        let mut evaluation = Evaluation::default();
        let mut interrupted: BTreeMap<Lifetime, Vec<BrokenRun>> = BTreeMap::new();
        for mut pending in std::mem::take(&mut self.broken_runs) {
            if let Some(l) = pending.run.ending(&lifetime_state) {
                interrupted.entry(l).or_default().push(pending.run);
                continue;
            }
            let is_silent = pending.run.is_silent(&lifetime_state);
            // All runners that were silent have answered again.
            let is_refuted = pending.was_silent && !is_silent;
            let is_expired = now >= pending.run.at_ms + BROKEN_RUN_RETENTION_MS;
            if !is_refuted && !is_expired {
                pending.was_silent = is_silent;
                self.broken_runs.push(pending);
            }
        }
        for (lifetime, runs) in &interrupted {
            let new_crashes = self.attribute_crash(runs, lifetime, now);
            evaluation.new_crashes.extend(new_crashes);
        }
        for crashes in self.suspects.values_mut() {
            evaluation.cleared |= crashes.clear_recovered(now, &lifetime_state);
        }
        evaluation.obsolete = self.drop_obsolete(now);
        evaluation
    }

    /// Counts the end of a lifetime against the likeliest of the requests that it interrupted, and
    /// against the likeliest of their parts.
    fn attribute_crash(&mut self, runs: &[BrokenRun], l: &Lifetime, now: Millis) -> Vec<NewCrash> {
        let mut new_crashes = self.charge_requests(runs, l, now);
        new_crashes.extend(self.charge_parts(runs, l, now));
        new_crashes
    }

    /// Counts the end of a lifetime against the likeliest of the requests that it interrupted: those
    /// with the most crashes so far, and if that would quarantine them, those whose run had begun,
    /// provided that there are any. If something quarantined ran elsewhere, only those are
    /// charged that ran for less.
    fn charge_requests(&mut self, runs: &[BrokenRun], l: &Lifetime, now: Millis) -> Vec<NewCrash> {
        let mut interrupted = Interrupted::new();
        for run in runs {
            let request = Suspect::Request(run.subject.request);
            interrupted.entry(request).or_default().push(run);
        }
        let count = |s: &Suspect| self.count_before(s, l);
        let most = interrupted.keys().map(count).max().unwrap_or(0);
        interrupted.retain(|s, _| count(s) == most);
        if most + 1 >= CRASH_THRESHOLD {
            retain_begun(&mut interrupted);
        }
        if let Some(elsewhere_ms) = self.shortest_elsewhere_ms(l, runs) {
            let is_shorter = |r: &&BrokenRun| r.ran_ms.is_some_and(|ms| ms < elsewhere_ms);
            interrupted.retain(|_, runs| runs.iter().all(is_shorter));
        }
        self.charge(&interrupted, l, now)
    }

    /// Counts the end of a lifetime against the likeliest of the parts that it interrupted and that are
    /// not trusted: each for which no other has more earlier crashes and ran for no longer, and nothing
    /// quarantined that ran elsewhere had shorter runs.
    fn charge_parts(&mut self, runs: &[BrokenRun], l: &Lifetime, now: Millis) -> Vec<NewCrash> {
        let mut interrupted = Interrupted::new();
        for run in runs {
            for part in run.subject.parts.iter() {
                if !self.is_trusted(*part, time_before(run.at_ms, 0)) {
                    interrupted
                        .entry(Suspect::Part(*part))
                        .or_default()
                        .push(run);
                }
            }
        }
        retain_begun(&mut interrupted);
        let count = |s: &Suspect| self.count_before(s, l);
        let evidence: Vec<(usize, Millis)> = interrupted
            .iter()
            .map(|(s, runs)| (count(s), longest_ms(runs)))
            .collect();
        let elsewhere_ms = self.shortest_elsewhere_ms(l, runs);
        interrupted.retain(|s, runs| {
            let (own_count, own_ms) = (count(s), longest_ms(runs));
            let is_likelier = |(count, ms): &(usize, Millis)| *count > own_count && *ms <= own_ms;
            !evidence.iter().any(is_likelier) && elsewhere_ms.is_none_or(|ms| ms >= own_ms)
        });
        self.charge(&interrupted, l, now)
    }

    /// Returns the number of crashes of a suspect other than the end of a lifetime, which another
    /// instance may have counted already.
    fn count_before(&self, suspect: &Suspect, l: &Lifetime) -> usize {
        let crashes = self.suspects.get(suspect);
        crashes.map_or(0, |c| c.count_without(l))
    }

    /// Returns the longest run of the quarantined suspect with the shortest runs, in milliseconds, of those
    /// that other instances charged with the end of a lifetime and that did not run here.
    fn shortest_elsewhere_ms(&self, l: &Lifetime, runs: &[BrokenRun]) -> Option<Millis> {
        let charged = self.suspects.iter();
        let charged = charged.filter(|(_, c)| c.is_counted(l) && c.is_quarantined());
        let ran_here = |s: Suspect| runs.iter().any(|run| run.subject.contains(s));
        let elsewhere = charged.filter(|(s, _)| !ran_here(**s));
        elsewhere.map(|(_, c)| c.longest_ms()).min()
    }

    /// Counts the end of a lifetime against each of the suspects that it interrupted.
    fn charge(&mut self, interrupted: &Interrupted, l: &Lifetime, now: Millis) -> Vec<NewCrash> {
        let charged = interrupted.iter();
        let new_crashes = charged.filter_map(|(s, runs)| self.count_crash(*s, l, runs, now));
        new_crashes.collect()
    }

    /// Counts the end of a lifetime against a suspect; returns `None` if it was counted before.
    fn count_crash(
        &mut self,
        suspect: Suspect,
        l: &Lifetime,
        runs: &[&BrokenRun],
        now: Millis,
    ) -> Option<NewCrash> {
        let first = runs.iter().map(|run| CrashedRun::from(*run)).min()?;
        let run = first.with_suspected(likeliest_request(runs), longest_ms(runs));
        let crashes = self.crashes_mut(suspect, now);
        let was_quarantined = crashes.is_quarantined();
        if !crashes.add(l, run, now, now) {
            return None;
        }
        Some(NewCrash {
            suspect,
            lifetime: l.clone(),
            count: crashes.count(),
            quarantines: crashes.is_quarantined() && !was_quarantined,
        })
    }

    fn crashes_mut(&mut self, suspect: Suspect, now: Millis) -> &mut Crashes {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect) {
            let free = self.suspects.iter().filter(|(_, c)| !c.is_quarantined());
            let oldest = free.min_by_key(|(_, c)| c.changed_ms()).map(|(s, _)| *s);
            oldest.map(|s| self.suspects.remove(&s));
        }
        self.suspects
            .entry(suspect)
            .or_insert_with(|| Crashes::none(suspect, now))
    }

    /// Drops expired records; returns the suspects that are not quarantined any more and whose records
    /// are still in the store.
    fn drop_obsolete(&mut self, now: Millis) -> Vec<Suspect> {
        let mut obsolete = Vec::new();
        self.suspects.retain(|suspect, crashes| {
            let is_expired = now >= crashes.expires_ms();
            if (is_expired || !crashes.is_quarantined()) && crashes.take_stored() {
                obsolete.push(*suspect);
            }
            !is_expired
        });
        obsolete
    }

    /// Returns whether a request may be sent to a runner at `now`.
    #[must_use]
    pub fn verdict(&self, subject: &RunSubject, now: Millis) -> Verdict {
        let mut is_undecided = false;
        for suspect in subject.suspects() {
            let Some(crashes) = self.suspects.get(&suspect) else {
                continue;
            };
            let left_ms = crashes.expires_ms().saturating_sub(now);
            if crashes.is_quarantined() && left_ms > 0 {
                if !self.is_explained(suspect, crashes, subject) {
                    return Verdict::Quarantined { suspect, left_ms };
                }
                continue;
            }
            is_undecided |= crashes.count() + 1 >= CRASH_THRESHOLD && self.is_pending(suspect);
        }
        match is_undecided {
            true => Verdict::Undecided,
            false => Verdict::Allowed,
        }
    }

    /// Returns whether a broken run waits for evidence that would be counted against a suspect.
    fn is_pending(&self, suspect: Suspect) -> bool {
        let mut pending = self.broken_runs.iter().map(|p| &p.run);
        match suspect {
            Suspect::Request(request) => pending.any(|b| b.subject.request == request),
            Suspect::Part(part) => pending.any(|b| {
                b.subject.parts.contains(&part) && !self.is_trusted(part, time_before(b.at_ms, 0))
            }),
        }
    }

    /// Returns whether something else that is quarantined, and that a request does not contain, accounts
    /// for the quarantine of the request or one of its parts, so that it may be sent.
    fn is_explained(&self, suspect: Suspect, crashes: &Crashes, subject: &RunSubject) -> bool {
        let others = self.suspects.iter();
        let mut others = others.filter(|(s, c)| !subject.contains(**s) && c.is_quarantined());
        others.any(|(other, c)| match (other, suspect) {
            (Suspect::Part(_), _) => is_explained_by_part(crashes, c),
            (Suspect::Request(_), Suspect::Part(_)) => is_explained_by_request(crashes, c),
            (Suspect::Request(_), Suspect::Request(_)) => false,
        })
    }

    /// Merges a record from another instance or the store. Returns whether it contained anything
    /// new, or its sender lacks something that this instance knows.
    pub fn merge(&mut self, record: &CrashRecord, now: Millis) -> bool {
        let at_ms = now.saturating_sub(record.age_ms);
        if record.is_long() || record.age_ms >= retention_ms(record.is_quarantined()) {
            return false;
        }
        let trusted: Vec<&Lifetime> = match record.suspect {
            Suspect::Part(part) => record
                .crashes
                .iter()
                .filter(|c| self.is_trusted(part, time_before(now, c.broke_age_ms)))
                .map(|c| &c.lifetime)
                .collect(),
            Suspect::Request(_) => Vec::new(),
        };
        let crashes = self.crashes_mut(record.suspect, at_ms);
        crashes.merge(record, &trusted, now)
    }

    /// Records that the store has the record of a suspect in `era`.
    pub fn mark_stored(&mut self, suspect: Suspect, era: u64) {
        if let Some(crashes) = self.suspects.get_mut(&suspect) {
            crashes.mark_stored(era);
        }
    }

    /// Returns the records to send to other instances at `now`: those that changed within `age_ms`,
    /// and all of quarantined suspects if `all_quarantined` is set.
    pub fn updates(
        &self,
        age_ms: Millis,
        all_quarantined: bool,
        now: Millis,
    ) -> impl Iterator<Item = CrashRecord> {
        let updates = self.suspects.values().filter(move |c| {
            let is_new = now <= c.due_ms() + age_ms;
            is_new || (all_quarantined && c.is_quarantined())
        });
        updates.map(move |c| c.record(now))
    }

    /// Returns the records of the suspects that are quarantined at `now`.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = CrashRecord> {
        let quarantined = self.suspects.values().filter(|c| c.is_quarantined());
        quarantined.map(move |c| c.record(now))
    }
}
