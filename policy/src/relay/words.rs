//! What other instances say of runners that they found dead, and who asks a runner by itself.
//!
//! Load pattern: several runners die at once before hundreds of instances. If each instance asks every one
//! of them beside witnesses, the questions come in the very moment in which the streams of the broken
//! chains are to go on elsewhere.
//!
//! So those whose requests pass through a runner ask it by themselves. The others believe it dead once
//! [`QUORUM`] instances found it dead by their own questions, and ask only if that does not come about.
//! One instance's mistake convinces nobody, and nobody is convinced against what it hears itself. Later
//! a few of each failure domain ask whether the runner is back; an answer is good news for the whole
//! domain.
//!
//! Invariants:
//! - Only an instance that asked by itself is a namer; who believes others passes their names on.
//! - What was said of one lifetime of a runner says nothing of the next.
//! - Once a runner has answered here or a neighbour, no word of others is believed for a while: some may
//!   be cut off from it for good, and would convince the rest again and again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::ranks::{is_among_first, rank_for};

/// Instances that must have found a runner dead for others to believe it.
pub const QUORUM: usize = 3;

/// Number of instances up to which each asks at once.
const FEW: usize = 12;

/// How long an instance waits for further reporters before it asks by itself, in milliseconds.
const WAIT_MS: Millis = 200;

/// How long something is known of a runner, in milliseconds; its entry goes sooner.
const KEPT_MS: Millis = 30_000;

/// How long the word of others is a reason to ask only after a runner has answered, in milliseconds.
const REFUTED_MS: Millis = 10_000;

/// Instances of a failure domain that ask whether a runner is back, or still slow.
const ASKERS: usize = 2;

/// That a lifetime of a runner is over, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Runner.
    pub runner: Name,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
    /// Instances that found it dead by themselves.
    #[serde(rename = "namers")]
    pub reporters: BTreeSet<Name>,
}

/// What to do about a runner that others say is dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// Enough found it dead: it counts as dead here.
    MarkDead,
    /// Ask it beside witnesses.
    Probe,
    /// Others are asking.
    Wait,
}

#[derive(Clone, Debug, Default)]
struct Heard {
    reporters: BTreeSet<Name>,
    first_ms: Millis,
    newest_ms: Millis,
    refuted_ms: Option<Millis>,
}

/// All that was said, by runner and lifetime.
#[derive(Clone, Debug, Default)]
pub struct FailureReports(BTreeMap<(Name, u64), Heard>);

impl FailureReports {
    /// Somebody, or this instance itself, found a runner dead; whether that is news.
    pub fn record(&mut self, word: &FailureReport, now: Millis) -> bool {
        self.0.retain(|_, h| now < h.newest_ms + KEPT_MS);
        let key = (word.runner.clone(), word.born_ms);
        let heard = self.0.entry(key).or_default();
        let before = heard.reporters.len();
        if before == 0 {
            heard.first_ms = now;
        }
        for namer in &word.reporters {
            if heard.reporters.len() < QUORUM {
                heard.reporters.insert(namer.clone());
            }
        }
        let is_news = heard.reporters.len() > before;
        if is_news {
            heard.newest_ms = now;
        }
        is_news
    }

    /// What to do about a runner at `now`, for one of `instances` instances; `concerned`: requests of
    /// this one pass through it.
    #[must_use]
    pub fn advice(
        &self,
        runner: &Name,
        born_ms: u64,
        concerned: bool,
        instances: usize,
        now: Millis,
    ) -> Advice {
        let Some(heard) = self.0.get(&(runner.clone(), born_ms)) else {
            return Advice::Wait;
        };
        let waited = now >= heard.first_ms + WAIT_MS;
        let refuted = heard.refuted_ms.is_some_and(|at| now < at + REFUTED_MS);
        match (concerned || refuted, heard.reporters.len() >= QUORUM) {
            _ if heard.reporters.is_empty() => Advice::Wait,
            (true, _) => Advice::Probe,
            _ if instances <= FEW => Advice::Probe,
            (false, true) => Advice::MarkDead,
            (false, false) if waited => Advice::Probe,
            (false, false) => Advice::Wait,
        }
    }

    /// Runners of which something was said, by identity and lifetime.
    pub fn runners(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.0.keys().map(|(runner, born_ms)| (runner, *born_ms))
    }

    /// What is passed on of those that were named since `since_ms`.
    pub fn updated_since(&self, since_ms: Millis) -> impl Iterator<Item = FailureReport> {
        let named = self.0.iter().filter(|(_, h)| !h.reporters.is_empty());
        let new = named.filter(move |(_, h)| h.newest_ms >= since_ms);
        new.map(|((runner, born_ms), heard)| FailureReport {
            runner: runner.clone(),
            born_ms: *born_ms,
            reporters: heard.reporters.clone(),
        })
    }

    /// The runner answered at `now`: what was said of it before is void.
    pub fn refute(&mut self, runner: &Name, born_ms: u64, now: Millis) {
        if let Some(heard) = self.0.get_mut(&(runner.clone(), born_ms)) {
            *heard = Heard {
                newest_ms: now,
                refuted_ms: Some(now),
                ..Heard::default()
            };
        }
    }
}

/// Whether `name` is one of those that ask a runner whether it is back, among the instances of its
/// failure domain that live, itself included or not.
pub fn is_prober<'a>(name: &Name, domain: impl Iterator<Item = &'a Name>, runner: &str) -> bool {
    let ranks = domain.map(|n| rank_for(n, runner));
    is_among_first(ASKERS, rank_for(name, runner), ranks)
}
