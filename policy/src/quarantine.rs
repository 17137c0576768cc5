//! Quarantine of requests that crash the runners which run them.
//!
//! Load pattern: every runner that begins to run a certain request crashes, and is back after some
//! seconds. The caller repeats the request at any instance, and each attempt is new to that
//! instance. The other requests that the crash interrupted move to the next chain together with the
//! lethal one and are interrupted there as well, until no chain is left. Or the requests differ, and
//! one part of their prompts is lethal, while sound requests share all of their other parts.
//!
//! A request whose run breaks off is a suspect, and so is each part of its prompt that other requests
//! may share: its runner may have crashed because of it. A runner that is only silent has not crashed: a
//! run that it broke waits for evidence, and is dropped if the runner answers again.
//!
//! Each instance sees only those runs of a crash that it sent itself, and most see bystanders only. What an
//! instance sees is therefore evidence, and not a verdict: instances tell each other which runs a crash
//! interrupted and what survived, and each computes from all of it which suspects account for the
//! crashes ([`culprits`]). When evidence arrives, the verdict is computed anew. What turns out to be a
//! bystander is released at once.
//!
//! A run that completes, or that produces output for [`SURVIVED_MS`], clears its request and its parts of
//! all earlier crashes, at all instances. A part is not held responsible for crashes within [`TRUST_MS`]
//! after a survival either. What is cleared of a crash is told with it: times of different instances
//! and of the store aren't compared. A runner that answers again in the lifetime that was believed to have ended
//! clears that crash.
//!
//! Some requests have the same fingerprint, or a part, at many instances at a time. A lost rack
//! interrupts all of them, each by the loss of another runner, in a single event. Crashes seen by
//! several instances therefore count as one unless they are some time apart; those seen by one instance
//! are distinct if the later run was sent after the earlier one broke off.
//!
//! Invariants:
//! - A crash is identified by the lifetime that ended, and its runs are the union over all instances.
//!   Evidence can be merged in any order and any number of times, and instances that received the same
//!   evidence quarantine the same suspects.
//! - A broken run belongs to one crash, however many runners of its chain ended.

mod crash;
mod culprits;
mod evidence;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use self::crash::{Crash, time_before};
use self::culprits::{Culprit, Culprits, threshold};
pub use self::evidence::{CrashReport, FormerRecord, RunReport, Suspect};
use crate::fingerprint::Fingerprint;
use crate::lifetime::Lifetime;
use crate::prelude::*;
use crate::prompt_part::PromptPart;

/// Crashes at which a suspect is quarantined. With two, requests that were interrupted by the same two
/// crashes as a lethal request would be quarantined as well.
pub const CRASH_THRESHOLD: usize = 3;

/// The same for a part that has survived before: sound requests share it, and all of them are refused if
/// it is quarantined.
pub const FAMILIAR_THRESHOLD: usize = 5;

/// Time for which a runner must produce output before its request has survived, in milliseconds.
pub const SURVIVED_MS: Millis = 1_000;

/// Time after the survival of a run during which its parts are not held responsible for crashes, in
/// milliseconds. In it the next runs with a part that many requests contain survive as well.
pub const TRUST_MS: Millis = 1_000;

/// How long a broken run waits for evidence that its runner ended, in milliseconds: the entry of a
/// runner that fails silently is removed after three missed heartbeats of a second or more.
const BROKEN_RUN_RETENTION_MS: Millis = 5_000;

/// How long a crash is kept for which nothing is quarantined, in milliseconds.
const RETENTION_MS: Millis = 120_000;

/// How long a suspect stays quarantined after its last crash, or the last request that was refused for
/// it, in milliseconds.
const QUARANTINE_MS: Millis = 600_000;

/// Maximum number of crashes.
const MAX_CRASHES: usize = 48;

/// Maximum number of suspects that a crash interrupted, and of those that are cleared of it.
pub const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of parts that are considered of a run. Prompts share the first ones.
pub const MAX_RUN_PARTS: usize = 256;

/// Maximum number of parts whose last survival is known.
const MAX_SURVIVALS: usize = 4_096;

/// Number of crashes up to which the verdict is computed at once, and interval between two computations
/// beyond it, in milliseconds: when a failure domain is lost, all instances tell of all its runners.
const MAX_PROMPT_CRASHES: usize = 8;
const SEARCH_INTERVAL_MS: Millis = 50;

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

/// A suspect, and the crashes that count against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectCrashes {
    /// Suspect.
    pub suspect: Suspect,
    /// Number of crashes.
    pub count: usize,
}

/// A crash of which this instance has seen interrupted runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenCrash {
    /// Lifetime that ended.
    pub lifetime: Lifetime,
    /// Interrupted runs that this instance has newly attributed to it.
    pub own_runs: usize,
    /// Interrupted runs that are known from all instances.
    pub all_runs: usize,
    /// Suspects that it interrupted and against which several crashes count.
    pub suspects: Vec<SuspectCrashes>,
}

/// A change of what is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Requests with all of these suspects are refused from now on.
    Quarantined(BTreeSet<Suspect>),
    /// They are not refused any more.
    Released(BTreeSet<Suspect>),
}

/// Result of evaluating the pending broken runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// Crashes that interrupted runs of this instance.
    pub seen_crashes: Vec<SeenCrash>,
    /// Whether any crash was cleared.
    pub cleared: bool,
    /// What has been quarantined or released since the last evaluation.
    pub changes: Vec<Change>,
    /// Crashes that are in the store and not needed there any more.
    pub obsolete: Vec<Lifetime>,
}

impl Evaluation {
    /// Returns whether other instances are to be notified.
    #[must_use]
    pub fn is_news(&self) -> bool {
        self.cleared || !self.seen_crashes.is_empty()
    }
}

/// Pending broken runs of one instance, and what it knows of crashes and survivals.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    broken_runs: Vec<PendingRun>,
    crashes: BTreeMap<Lifetime, Crash>,
    /// When a run with a part last survived at this instance, in milliseconds.
    survivals: BTreeMap<PromptPart, Millis>,
    /// Suspects that have survived some crash, at any instance.
    survivors: BTreeSet<Suspect>,
    culprits: Culprits,
    /// Whether evidence has changed since the last search.
    is_stale: bool,
    searched_ms: Millis,
    /// What the last evaluation reported as quarantined.
    announced: BTreeSet<BTreeSet<Suspect>>,
}

impl Quarantine {
    /// Returns whether there is neither a pending broken run nor a crash.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.broken_runs.is_empty() && self.crashes.is_empty()
    }

    /// Records a run that broke off.
    pub fn record_broken_run(&mut self, run: BrokenRun) {
        self.broken_runs.push(PendingRun {
            run,
            was_silent: false,
        });
    }

    /// Clears a request and its parts of all earlier crashes after a run that completed or went on for
    /// long enough. Returns whether there were any.
    pub fn record_survival(&mut self, subject: &RunSubject, now: Millis) -> bool {
        self.record_part_survivals(&subject.parts, now);
        self.broken_runs
            .retain(|b| b.run.subject.request != subject.request);
        let mut is_news = false;
        for crash in self.crashes.values_mut() {
            is_news |= crash.clear(subject.suspects(), now);
        }
        self.is_stale |= is_news;
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

    /// Returns whether a suspect is a part that survived a moment before a failure at `broke_ms`, or later.
    fn is_trusted(&self, suspect: Suspect, broke_ms: i64) -> bool {
        is_trusted(&self.survivals, suspect, broke_ms)
    }

    fn is_familiar(&self, suspect: Suspect) -> bool {
        let has_survived_here = match suspect {
            Suspect::Part(part) => self.survivals.contains_key(&part),
            Suspect::Request(_) => false,
        };
        has_survived_here || self.survivors.contains(&suspect)
    }

    /// Attributes the pending broken runs to crashes at `now`, clears those of recovered runners, and
    /// drops expired ones. `lifetime_state` returns what is known of a lifetime.
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
            let seen = self.attribute(lifetime, runs, now);
            evaluation.seen_crashes.extend(seen);
        }
        for (lifetime, crash) in &mut self.crashes {
            let is_refuted = match lifetime_state(lifetime) {
                LifetimeState::Recovered(at_ms) => at_ms >= crash.learned_ms(),
                LifetimeState::Running | LifetimeState::Silent | LifetimeState::Ended => false,
            };
            evaluation.cleared |= is_refuted && crash.refute(now);
        }
        self.is_stale |= evaluation.is_news();
        self.search(now);
        for seen in &mut evaluation.seen_crashes {
            seen.suspects = self.suspects_of(&seen.lifetime);
        }
        evaluation.obsolete = self.drop_obsolete(now);
        self.search(now);
        evaluation.changes = self.changes(now);
        evaluation
    }

    /// Attributes runs to the crash of a lifetime.
    fn attribute(&mut self, l: &Lifetime, runs: &[BrokenRun], now: Millis) -> Option<SeenCrash> {
        self.make_room(l, now, now)?;
        let survivals = &self.survivals;
        let crash = self.crashes.get_mut(l)?;
        let own_runs = runs.iter().filter(|run| crash.add(run, now)).count();
        crash.clear_trusted(now, |s, broke_ms| is_trusted(survivals, s, broke_ms));
        (own_runs > 0).then(|| SeenCrash {
            lifetime: l.clone(),
            own_runs,
            all_runs: crash.run_count(),
            suspects: Vec::new(),
        })
    }

    /// Returns the suspects that a crash interrupted and against which several crashes count.
    fn suspects_of(&self, l: &Lifetime) -> Vec<SuspectCrashes> {
        let suspects = self.crashes.get(l).into_iter().flat_map(Crash::suspects);
        let counted = suspects.filter_map(|suspect| {
            let count = self.culprits.crash_count(suspect)?;
            Some(SuspectCrashes { suspect, count })
        });
        counted.collect()
    }

    /// Adds a crash that was last needed at `needed_ms`, unless it is known; returns `None` if there is no
    /// room for it beside those for which something is quarantined.
    fn make_room(&mut self, l: &Lifetime, now: Millis, needed_ms: Millis) -> Option<()> {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(l) {
            let free = self.crashes.iter().filter(|(l, _)| !self.is_cause(l));
            let oldest = free.min_by_key(|(_, c)| c.changed_ms());
            let oldest = oldest.map(|(l, _)| l.clone())?;
            self.crashes.remove(&oldest);
        }
        let crash = self.crashes.entry(l.clone());
        crash.or_insert_with(|| Crash::new(now, needed_ms));
        Some(())
    }

    /// Searches what accounts for the crashes, if evidence has changed.
    fn search(&mut self, now: Millis) {
        let is_prompt = self.crashes.len() <= MAX_PROMPT_CRASHES;
        if self.is_stale && (is_prompt || now >= self.searched_ms + SEARCH_INTERVAL_MS) {
            let cleared = self.crashes.values().flat_map(Crash::cleared);
            self.survivors = cleared.collect();
            self.culprits = culprits::find(&self.crashes, |s| self.is_familiar(s));
            self.is_stale = false;
            self.searched_ms = now;
        }
    }

    /// Returns whether something is quarantined for the crash of a lifetime.
    fn is_cause(&self, l: &Lifetime) -> bool {
        self.culprits.found.iter().any(|c| c.crashes.contains(l))
    }

    /// Returns the time until which a culprit is quarantined, in milliseconds.
    fn quarantined_until(&self, culprit: &Culprit) -> Millis {
        let crashes = culprit.crashes.iter().filter_map(|l| self.crashes.get(l));
        let needed = crashes.map(Crash::needed_ms).max();
        needed.unwrap_or(0) + QUARANTINE_MS
    }

    /// Returns what is quarantined at `now`.
    fn quarantined_culprits(&self, now: Millis) -> impl Iterator<Item = &Culprit> {
        let found = self.culprits.found.iter();
        found.filter(move |c| now < self.quarantined_until(c))
    }

    /// Drops expired crashes; returns those that are still in the store and for which nothing is
    /// quarantined any more.
    fn drop_obsolete(&mut self, now: Millis) -> Vec<Lifetime> {
        let causes: BTreeSet<Lifetime> = self
            .quarantined_culprits(now)
            .flat_map(|c| c.crashes.iter().cloned())
            .collect();
        let mut obsolete = Vec::new();
        let before = self.crashes.len();
        self.crashes.retain(|l, crash| {
            let is_needed = causes.contains(l);
            if !is_needed && crash.take_stored() {
                obsolete.push(l.clone());
            }
            is_needed || now < crash.changed_ms() + RETENTION_MS
        });
        self.is_stale |= self.crashes.len() < before;
        obsolete
    }

    /// Returns what has been quarantined and released since the last call.
    fn changes(&mut self, now: Millis) -> Vec<Change> {
        let quarantined = self.quarantined_culprits(now);
        let quarantined: BTreeSet<BTreeSet<Suspect>> =
            quarantined.map(|c| c.suspects.clone()).collect();
        let released = self.announced.difference(&quarantined);
        let mut changes: Vec<Change> = released.cloned().map(Change::Released).collect();
        let new = quarantined.difference(&self.announced);
        changes.extend(new.cloned().map(Change::Quarantined));
        self.announced = quarantined;
        changes
    }

    /// Returns whether a request may be sent to a runner at `now`.
    pub fn verdict(&mut self, subject: &RunSubject, now: Millis) -> Verdict {
        self.search(now);
        let mut culprits = self.quarantined_culprits(now);
        let culprit = culprits.find(|c| c.suspects.iter().all(|s| subject.contains(*s)));
        if let Some((culprit, suspect)) = culprit.and_then(|c| Some((c, *c.suspects.first()?))) {
            let left_ms = self.quarantined_until(culprit).saturating_sub(now);
            return Verdict::Quarantined { suspect, left_ms };
        }
        let is_undecided = |suspect: Suspect| {
            let crashes = self.culprits.unexplained.get(&suspect);
            let threshold = threshold(suspect, self.is_familiar(suspect));
            crashes.is_some_and(|count| count + 1 >= threshold) && self.is_pending(suspect)
        };
        match subject.suspects().any(is_undecided) {
            true => Verdict::Undecided,
            false => Verdict::Allowed,
        }
    }

    /// Returns whether a broken run waits for evidence that would count against a suspect.
    fn is_pending(&self, suspect: Suspect) -> bool {
        let mut pending = self.broken_runs.iter().map(|p| &p.run);
        pending.any(|b| {
            b.subject.contains(suspect) && !self.is_trusted(suspect, time_before(b.at_ms, 0))
        })
    }

    /// Records that a request was refused for a suspect: it stays quarantined for as long as such requests
    /// come.
    pub fn record_refusal(&mut self, suspect: Suspect, now: Millis) {
        let found = self.culprits.found.iter();
        let causes = found.filter(|c| c.suspects.contains(&suspect));
        for lifetime in causes.flat_map(|c| &c.crashes) {
            if let Some(crash) = self.crashes.get_mut(lifetime) {
                crash.record_need(now);
            }
        }
    }

    /// Merges a report of another instance or the store. Returns whether it contained anything new, or its
    /// sender lacks something that this instance knows.
    pub fn merge(&mut self, report: &CrashReport, now: Millis) -> bool {
        let needed_ms = now.saturating_sub(report.age_ms);
        let is_expired = report.age_ms >= QUARANTINE_MS;
        if is_expired || self.make_room(&report.lifetime, now, needed_ms).is_none() {
            return false;
        }
        let survivals = &self.survivals;
        let Some(crash) = self.crashes.get_mut(&report.lifetime) else {
            return false;
        };
        let is_news = crash.merge(report, now);
        if is_news {
            crash.clear_trusted(now, |s, broke_ms| is_trusted(survivals, s, broke_ms));
        }
        let is_lacking = crash.record_lacking(report, now);
        self.is_stale |= is_news;
        is_news || is_lacking
    }

    /// Records that the store has a crash in `era`.
    pub fn mark_stored(&mut self, lifetime: &Lifetime, era: u64) {
        if let Some(crash) = self.crashes.get_mut(lifetime) {
            crash.mark_stored(era);
        }
    }

    /// Returns the reports to send to other instances at `now`: those that changed within `age_ms`, and all
    /// for which something is quarantined if `all_quarantined` is set.
    pub fn updates(
        &self,
        age_ms: Millis,
        all_quarantined: bool,
        now: Millis,
    ) -> impl Iterator<Item = CrashReport> {
        let due = self.crashes.iter().filter(move |(l, crash)| {
            let is_new = now <= crash.due_ms() + age_ms;
            is_new || (all_quarantined && self.is_cause(l))
        });
        due.map(move |(l, crash)| crash.report(l, now))
    }

    /// Returns the suspects that are quarantined together at `now`.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = &BTreeSet<Suspect>> {
        self.quarantined_culprits(now).map(|c| &c.suspects)
    }

    /// Returns the crashes for which something is quarantined at `now`.
    pub fn causes(&self, now: Millis) -> impl Iterator<Item = CrashReport> {
        let culprits = self.quarantined_culprits(now);
        let lifetimes: BTreeSet<&Lifetime> = culprits.flat_map(|c| &c.crashes).collect();
        let crashes = lifetimes.into_iter();
        crashes.filter_map(move |l| Some(self.crashes.get(l)?.report(l, now)))
    }
}

/// Returns whether a suspect is a part that survived a moment before a failure at `broke_ms`, or later.
fn is_trusted(survivals: &BTreeMap<PromptPart, Millis>, suspect: Suspect, broke_ms: i64) -> bool {
    let survived = match suspect {
        Suspect::Part(part) => survivals.get(&part),
        Suspect::Request(_) => None,
    };
    survived.is_some_and(|at| broke_ms <= time_before(*at + TRUST_MS, 0))
}
