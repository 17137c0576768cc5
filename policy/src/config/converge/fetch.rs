//! Fetching of parts: from the peer that told of the head, then from another that has it, then
//! from the platform; then again after a pause.
//!
//! A head that the platform named itself has its parts asked from there first: no peer may have
//! them yet. Each instance thereby draws from the one it heard from, and the platform sees only the first
//! few, however many instances there are.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::types::{Action, Source};
use crate::head::PartRef;
use crate::time::{Millis, Name};

/// The most parts being fetched at a time.
const MAX_IN_FLIGHT: usize = 8;
/// Peers asked for a part before the platform is.
const PEERS_ASKED: usize = 2;
/// A fetch whose end was never told counts as failed, in milliseconds.
const TIMEOUT_MS: Millis = 10_000;
/// First pause after every source failed, in milliseconds; it doubles.
const FIRST_PAUSE_MS: Millis = 200;
/// Longest pause, in milliseconds.
const LONGEST_PAUSE_MS: Millis = 5_000;

/// Parts that are wanted.
#[derive(Debug)]
pub(super) struct Fetches {
    own: Name,
    wanted: BTreeMap<Name, Fetch>,
}

#[derive(Debug)]
struct Fetch {
    part: PartRef,
    state: State,
    /// Sources that failed in this round.
    failed: Vec<Source>,
    /// Rounds in which every source failed.
    rounds: u32,
}

#[derive(Debug)]
enum State {
    Waiting { until: Millis },
    Asked { from: Source, at: Millis },
}

impl Fetches {
    pub(super) fn new(own: Name) -> Self {
        Self {
            own,
            wanted: BTreeMap::new(),
        }
    }

    /// Wants these parts, and no others any more.
    pub(super) fn want<'a>(&mut self, parts: impl Iterator<Item = &'a PartRef>) {
        let mut before = std::mem::take(&mut self.wanted);
        for part in parts {
            let fetch = before
                .remove(&part.hash)
                .unwrap_or_else(|| Fetch::new(part.clone()));
            self.wanted.insert(part.hash.clone(), fetch);
        }
    }

    pub(super) fn wanted(&self, hash: &str) -> Option<&PartRef> {
        self.wanted.get(hash).map(|fetch| &fetch.part)
    }

    pub(super) fn arrived(&mut self, hash: &str) {
        self.wanted.remove(hash);
    }

    pub(super) fn failed(&mut self, now: Millis, hash: &str, source: &Source) {
        let Some(fetch) = self.wanted.get_mut(hash) else {
            return;
        };
        match &fetch.state {
            State::Asked { from, .. } if from == source => fetch.fail(now, &self.own),
            State::Asked { .. } | State::Waiting { .. } => {}
        }
    }

    /// Asks for what is wanted and not yet asked for. `told_by` named the head, `holders` have
    /// its revision in force.
    pub(super) fn start(
        &mut self,
        now: Millis,
        told_by: &Source,
        holders: &[Name],
        actions: &mut Vec<Action>,
    ) {
        for fetch in self.wanted.values_mut() {
            if fetch.is_overdue(now) {
                fetch.fail(now, &self.own);
            }
        }
        let mut in_flight = self
            .wanted
            .values()
            .filter(|fetch| fetch.is_asked())
            .count();
        for fetch in self.wanted.values_mut() {
            if in_flight == MAX_IN_FLIGHT {
                break;
            }
            if fetch.is_due(now) {
                let from = fetch.next_source(&self.own, told_by, holders);
                fetch.state = State::Asked {
                    from: from.clone(),
                    at: now,
                };
                actions.push(Action::Fetch {
                    part: fetch.part.clone(),
                    from,
                });
                in_flight += 1;
            }
        }
    }
}

impl Fetch {
    fn new(part: PartRef) -> Self {
        Self {
            part,
            state: State::Waiting { until: 0 },
            failed: Vec::new(),
            rounds: 0,
        }
    }

    fn is_asked(&self) -> bool {
        matches!(self.state, State::Asked { .. })
    }

    fn is_due(&self, now: Millis) -> bool {
        matches!(self.state, State::Waiting { until } if until <= now)
    }

    fn is_overdue(&self, now: Millis) -> bool {
        matches!(self.state, State::Asked { at, .. } if at + TIMEOUT_MS <= now)
    }

    fn fail(&mut self, now: Millis, own: &Name) {
        let waiting = State::Waiting { until: now };
        let State::Asked { from, .. } = std::mem::replace(&mut self.state, waiting) else {
            return;
        };
        if from != Source::Platform {
            self.failed.push(from);
            return;
        }
        self.failed.clear();
        let pause = LONGEST_PAUSE_MS.min(FIRST_PAUSE_MS << self.rounds.min(8));
        // Spread over half the pause by a hash, so that instances do not ask in step.
        let spread = rank(own, &self.part.hash, &self.rounds.to_string()) % (pause / 2);
        self.rounds += 1;
        self.state = State::Waiting {
            until: now + pause - spread,
        };
    }

    fn next_source(&self, own: &Name, told_by: &Source, holders: &[Name]) -> Source {
        let platform_first = *told_by == Source::Platform && self.rounds == 0;
        if platform_first || self.failed.len() >= PEERS_ASKED {
            return Source::Platform;
        }
        if *told_by != Source::Platform && !self.failed.contains(told_by) {
            return told_by.clone();
        }
        let untried = holders.iter().filter(|name| {
            !self
                .failed
                .iter()
                .any(|failed| *failed == Source::Peer((*name).clone()))
        });
        let chosen = untried.min_by_key(|name| rank(own, &self.part.hash, name));
        chosen.map_or(Source::Platform, |name| Source::Peer(name.clone()))
    }
}

/// A number that is spread evenly over names, parts and instances.
fn rank(own: &str, hash: &str, name: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(format!("{own}\n{hash}\n{name}").as_bytes()).into();
    let [a, b, c, d, ..] = digest;
    u64::from(u32::from_be_bytes([a, b, c, d]))
}
