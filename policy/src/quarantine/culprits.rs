//! Search for the suspects that account for the known crashes.
//!
//! Group testing: each crash is a test of all suspects that it interrupted, and each survival one that its
//! suspects passed. The suspect that explains most is taken first, and its crashes are set aside, until no
//! suspect explains [`CRASH_THRESHOLD`](super::CRASH_THRESHOLD) of what is left.
//!
//! - What a suspect explains is weighed by how many of the interrupted runs lack it. A part that all
//!   requests share is present at each crash, whatever caused it, and so explains nothing.
//! - A part that has survived before is less likely to be lethal. If most of the interrupted runs have it, it
//!   is never held responsible: refusing them would cost more than the crashes.
//! - The first run with a lethal part crashes its runner. Further runs with it that had begun speak
//!   against it.
//! - Suspects that were in the same runs at each crash differ in nothing. They are one culprit, and only
//!   requests with all of them are refused: the next one without one of them tells them apart.

use std::collections::{BTreeMap, BTreeSet};

use super::crash::{Crash, CrashedRun};
use super::{CRASH_THRESHOLD, FAMILIAR_THRESHOLD, Suspect};
use crate::fingerprint::Fingerprint;
use crate::lifetime::Lifetime;
use crate::prelude::*;

/// Time within which all instances notice one event, in milliseconds.
const EVENT_WINDOW_MS: i64 = 1_000;

/// The same for the crashes of a part, in milliseconds. They follow each other as fast as different
/// requests arrive, and what a lost rack interrupts is noticed by broken connections at once.
const PART_EVENT_WINDOW_MS: i64 = 300;

/// What one crash weighs for a suspect that no other interrupted run has.
const CRASH_WEIGHT: i64 = 1_000;

/// What a further run that had begun weighs against a suspect.
const BYSTANDER_WEIGHT: i64 = 300;

/// What a crash weighs against a suspect of which no run had begun, while others had.
const NOT_BEGUN_WEIGHT: i64 = 100;

/// Crashes of a suspect that are looked at, the last ones.
const MAX_COUNTED: usize = 16;

/// Smallest difference between runs that are much longer than others, in milliseconds.
const RUN_MARGIN_MS: Millis = 50;

/// Suspects that ran together, and account for crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Culprit {
    pub(super) suspects: BTreeSet<Suspect>,
    pub(super) crashes: BTreeSet<Lifetime>,
}

/// Result of a search.
#[derive(Clone, Debug, Default)]
pub(super) struct Culprits {
    pub(super) found: Vec<Culprit>,
    /// Crashes that nothing found accounts for, for each suspect that may still be found.
    pub(super) unexplained: BTreeMap<Suspect, usize>,
}

impl Culprits {
    /// Returns the number of crashes for which a suspect may be responsible, if there are several.
    pub(super) fn crash_count(&self, suspect: Suspect) -> Option<usize> {
        let mut found = self.found.iter();
        let culprit = found.find(|c| c.suspects.contains(&suspect));
        let count = culprit.map(|c| c.crashes.len());
        count.or_else(|| self.unexplained.get(&suspect).copied())
    }
}

/// Returns the crashes at which a suspect is quarantined. A part that is known to have survived needs more:
/// it is shared by sound requests.
pub(super) fn threshold(suspect: Suspect, is_familiar: bool) -> usize {
    match suspect {
        Suspect::Part(_) if is_familiar => FAMILIAR_THRESHOLD,
        Suspect::Request(_) | Suspect::Part(_) => CRASH_THRESHOLD,
    }
}

/// A crash, as far as it interrupted one suspect.
struct Involvement<'a> {
    lifetime: &'a Lifetime,
    broke_ms: i64,
    /// Last sending and first failure of its runs by each instance, in milliseconds.
    seen_by: BTreeMap<&'a Name, (i64, i64)>,
    requests: BTreeSet<Fingerprint>,
    /// Number of its runs that had begun.
    begun: i64,
    longest_ms: Millis,
    /// Number of all runs, and of those that had begun.
    all_runs: i64,
    all_begun: i64,
}

impl<'a> Involvement<'a> {
    fn new(lifetime: &'a Lifetime, all_runs: i64, all_begun: i64) -> Involvement<'a> {
        Involvement {
            lifetime,
            broke_ms: i64::MAX,
            seen_by: BTreeMap::new(),
            requests: BTreeSet::new(),
            begun: 0,
            longest_ms: 0,
            all_runs,
            all_begun,
        }
    }

    fn add(&mut self, request: Fingerprint, run: &'a CrashedRun) {
        self.requests.insert(request);
        self.broke_ms = self.broke_ms.min(run.broke_ms);
        self.begun += i64::from(run.ran_ms.is_some());
        self.longest_ms = self.longest_ms.max(run.ran_ms.unwrap_or(0));
        let seen = self.seen_by.entry(&run.seen_by);
        let (sent_ms, broke_ms) = seen.or_insert((run.sent_ms, run.broke_ms));
        *sent_ms = run.sent_ms.max(*sent_ms);
        *broke_ms = run.broke_ms.min(*broke_ms);
    }

    fn runs(&self) -> i64 {
        i64::try_from(self.requests.len()).unwrap_or(i64::MAX)
    }

    /// Returns whether this is another event than an earlier crash: it came later by a window, or an
    /// instance sent a run after it had seen the earlier one break off.
    fn is_distinct_from(&self, earlier: &Involvement, window_ms: i64) -> bool {
        let sent_after = |(by, (sent_ms, _)): (&&Name, &(i64, i64))| {
            let before = earlier.seen_by.get(*by);
            before.is_some_and(|(_, broke_ms)| sent_ms >= broke_ms)
        };
        self.broke_ms >= earlier.broke_ms.saturating_add(window_ms)
            || self.seen_by.iter().any(sent_after)
    }
}

/// A suspect with the crashes that count against it and are not accounted for, in the order of their time.
struct Candidate<'a> {
    suspect: Suspect,
    is_familiar: bool,
    involvements: Vec<Involvement<'a>>,
    /// Number of distinct crashes.
    crashes: usize,
}

/// Order in which candidates are taken; the greatest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    weight: i64,
    is_unfamiliar: bool,
    crashes: usize,
    /// Runs of what is lethal are short.
    shortness: std::cmp::Reverse<Millis>,
}

impl<'a> Candidate<'a> {
    fn new(
        suspect: Suspect,
        is_familiar: bool,
        mut involvements: Vec<Involvement<'a>>,
    ) -> Candidate<'a> {
        involvements.sort_by_key(|i| i.broke_ms);
        let mut candidate = Candidate {
            suspect,
            is_familiar,
            involvements,
            crashes: 0,
        };
        candidate.count_crashes();
        candidate
    }

    fn sum(&self, f: impl Fn(&Involvement<'a>) -> i64) -> i64 {
        self.involvements.iter().map(f).sum()
    }

    /// Counts the longest sequence of crashes in which each is another event than the one before.
    fn count_crashes(&mut self) {
        let window_ms = match self.suspect {
            Suspect::Request(_) => EVENT_WINDOW_MS,
            Suspect::Part(_) => PART_EVENT_WINDOW_MS,
        };
        let first = self.involvements.len().saturating_sub(MAX_COUNTED);
        let counted = &self.involvements[first..];
        let mut longest: Vec<usize> = Vec::with_capacity(counted.len());
        for (i, crash) in counted.iter().enumerate() {
            let earlier = counted[..i].iter().zip(&longest);
            let distinct = earlier.filter(|(e, _)| crash.is_distinct_from(e, window_ms));
            let before = distinct.map(|(_, count)| *count).max().unwrap_or(0);
            longest.push(before + 1);
        }
        self.crashes = longest.into_iter().max().unwrap_or(0);
    }

    /// Sets aside the crashes that a culprit accounts for.
    fn set_aside(&mut self, crashes: &BTreeSet<Lifetime>) {
        let before = self.involvements.len();
        self.involvements.retain(|i| !crashes.contains(i.lifetime));
        if self.involvements.len() < before {
            self.count_crashes();
        }
    }

    /// Returns the longest time for which a run had produced output, in milliseconds.
    fn longest_ms(&self) -> Millis {
        let longest = self.involvements.iter().map(|i| i.longest_ms);
        longest.max().unwrap_or(0)
    }

    /// Returns whether this is a request that may be lethal beside another lethal one: that one does not
    /// account for all of its crashes, and its runs were not much longer. A request is refused for itself
    /// only, so that little is lost if it is sound.
    fn may_be_lethal_beside(&self, request: &Candidate, crashes: &BTreeSet<Lifetime>) -> bool {
        let is_request = |c: &Candidate| matches!(c.suspect, Suspect::Request(_));
        let much_longer_ms = 2 * request.longest_ms() + RUN_MARGIN_MS;
        is_request(self)
            && is_request(request)
            && self.longest_ms() <= much_longer_ms
            && self
                .involvements
                .iter()
                .any(|i| !crashes.contains(i.lifetime))
    }

    /// Returns the number of runs that had begun beside the one that may have caused the crash.
    fn bystanders(&self) -> i64 {
        self.sum(|i| (i.begun - 1).max(0))
    }

    /// Returns whether nearly all interrupted runs had it, several at each crash; or most had it, and on
    /// average a further one had begun at each crash: so it did not crash the runner of that one.
    fn is_shared(&self) -> bool {
        let crashes = i64::try_from(self.involvements.len()).unwrap_or(i64::MAX);
        let (all, own) = (self.sum(|i| i.all_runs), self.sum(Involvement::runs));
        let in_nearly_all = 10 * own > 9 * all && own >= 2 * crashes;
        in_nearly_all || (2 * own > all && self.bystanders() >= crashes)
    }

    fn is_sufficient(&self) -> bool {
        let threshold = threshold(self.suspect, self.is_familiar);
        if self.crashes < threshold {
            return false;
        }
        match (self.is_shared(), self.is_familiar) {
            (false, _) => true,
            (true, true) => false,
            (true, false) => self.crashes >= FAMILIAR_THRESHOLD,
        }
    }

    fn rank(&self) -> Rank {
        let crashes = self.crashes;
        let (all, own) = (self.sum(|i| i.all_runs), self.sum(Involvement::runs));
        let explained = i64::try_from(crashes).unwrap_or(i64::MAX) * CRASH_WEIGHT;
        let not_begun = self.sum(|i| i64::from(i.begun == 0 && i.all_begun > 0));
        let explained = explained * (all - own) / all.max(1) / if self.is_familiar { 2 } else { 1 };
        Rank {
            weight: explained - self.bystanders() * BYSTANDER_WEIGHT - not_begun * NOT_BEGUN_WEIGHT,
            is_unfamiliar: !self.is_familiar,
            crashes,
            shortness: std::cmp::Reverse(self.longest_ms()),
        }
    }

    /// Returns whether two suspects were in the same runs at the same crashes.
    fn ran_with(&self, other: &Candidate) -> bool {
        let runs = |c: &Candidate| -> Vec<(Lifetime, BTreeSet<Fingerprint>)> {
            let runs = c.involvements.iter();
            runs.map(|i| (i.lifetime.clone(), i.requests.clone()))
                .collect()
        };
        self.involvements.len() == other.involvements.len() && runs(self) == runs(other)
    }
}

/// Searches the suspects that account for `crashes`. `is_familiar` tells whether a part has survived before.
pub(super) fn find(
    crashes: &BTreeMap<Lifetime, Crash>,
    is_familiar: impl Fn(Suspect) -> bool,
) -> Culprits {
    let counts = count(crashes);
    // A suspect below the threshold is looked at if its next crash would be the last.
    let is_near = |s: &Suspect| counts.get(s).is_some_and(|n| n + 1 >= CRASH_THRESHOLD);
    let mut candidates = candidates(crashes, is_near, is_familiar);
    let mut found = Vec::new();
    while let Some(best) = best(&candidates) {
        let best = candidates.swap_remove(best);
        let culprit = culprit(&best, &candidates);
        candidates.retain(|c| !culprit.suspects.contains(&c.suspect));
        for c in candidates
            .iter_mut()
            .filter(|c| !c.may_be_lethal_beside(&best, &culprit.crashes))
        {
            c.set_aside(&culprit.crashes);
        }
        candidates.retain(|c| !c.involvements.is_empty());
        candidates.sort_by_key(|c| c.suspect);
        found.push(culprit);
    }
    let unexplained = candidates.iter().filter(|c| !c.is_shared());
    Culprits {
        found,
        unexplained: unexplained.map(|c| (c.suspect, c.crashes)).collect(),
    }
}

/// Returns the number of crashes that count against each suspect.
fn count(crashes: &BTreeMap<Lifetime, Crash>) -> BTreeMap<Suspect, usize> {
    let mut counts: BTreeMap<Suspect, usize> = BTreeMap::new();
    for suspect in crashes.values().flat_map(Crash::suspects) {
        *counts.entry(suspect).or_default() += 1;
    }
    counts
}

/// Returns the suspects that `is_wanted` accepts, with the crashes that count against them.
fn candidates(
    crashes: &BTreeMap<Lifetime, Crash>,
    is_wanted: impl Fn(&Suspect) -> bool,
    is_familiar: impl Fn(Suspect) -> bool,
) -> Vec<Candidate<'_>> {
    let mut by_suspect: BTreeMap<Suspect, Vec<Involvement>> = BTreeMap::new();
    for (lifetime, crash) in crashes {
        let all_runs = i64::try_from(crash.runs().count()).unwrap_or(i64::MAX);
        let begun = crash.runs().filter(|(_, run)| run.ran_ms.is_some());
        let all_begun = i64::try_from(begun.count()).unwrap_or(i64::MAX);
        for (request, run) in crash.runs() {
            let suspects = run.suspects(request).into_iter();
            for suspect in suspects.filter(|s| is_wanted(s) && !crash.is_cleared(*s)) {
                let involvements = by_suspect.entry(suspect).or_default();
                if involvements.last().is_none_or(|i| i.lifetime != lifetime) {
                    involvements.push(Involvement::new(lifetime, all_runs, all_begun));
                }
                if let Some(last) = involvements.last_mut() {
                    last.add(request, run);
                }
            }
        }
    }
    let candidates = by_suspect.into_iter();
    let candidates = candidates.map(|(s, i)| Candidate::new(s, is_familiar(s), i));
    candidates.collect()
}

fn best(candidates: &[Candidate]) -> Option<usize> {
    let sufficient = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.is_sufficient());
    // Of equal ones the first is taken, so that all instances take the same.
    let ranked = sufficient.map(|(i, c)| (c.rank(), std::cmp::Reverse(i)));
    ranked.max().map(|(_, std::cmp::Reverse(index))| index)
}

/// Returns a suspect as culprit, with those that ran together with it.
fn culprit(best: &Candidate, candidates: &[Candidate]) -> Culprit {
    let together = candidates
        .iter()
        .filter(|c| c.is_familiar == best.is_familiar && c.ran_with(best));
    let suspects = together.map(|c| c.suspect);
    let lifetimes = best.involvements.iter().map(|i| i.lifetime.clone());
    Culprit {
        suspects: suspects.chain([best.suspect]).collect(),
        crashes: lifetimes.collect(),
    }
}
