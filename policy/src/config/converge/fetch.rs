//! Fetching of parts: from the peer that announced the head, then from another peer that holds it,
//! then from the platform; after a backoff, the sequence starts again.
//!
//! If the platform announced the head, its parts are requested from the platform first, since no
//! peer may have them yet. Because the other instances fetch from the peer that they learned the
//! head from, only the first few instances load the platform, whatever the size of the fleet.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::types::{Action, Source};
use crate::head::PartRef;
use crate::time::{Millis, Name};

/// Maximum number of concurrent fetches.
const MAX_IN_FLIGHT: usize = 8;
/// Number of peers tried for a part before the platform.
const PEER_ATTEMPTS: usize = 2;
/// Time after which a fetch without a result counts as failed, in milliseconds.
const FETCH_TIMEOUT_MS: Millis = 10_000;
/// Initial backoff after all sources failed, in milliseconds; doubles with each round.
const INITIAL_BACKOFF_MS: Millis = 200;
/// Maximum backoff, in milliseconds.
const MAX_BACKOFF_MS: Millis = 5_000;

/// The parts to fetch and the state of their fetches.
#[derive(Debug)]
pub(super) struct Fetches {
    own: Name,
    pending: BTreeMap<Name, Fetch>,
}

#[derive(Debug)]
struct Fetch {
    part: PartRef,
    state: State,
    /// Sources that failed in the current round.
    failed: Vec<Source>,
    /// Number of rounds in which all sources failed.
    rounds: u32,
}

#[derive(Debug)]
enum State {
    Waiting { until: Millis },
    Requested { from: Source, at: Millis },
}

impl Fetches {
    pub(super) fn new(own: Name) -> Self {
        Self {
            own,
            pending: BTreeMap::new(),
        }
    }

    /// Replaces the set of parts to fetch, keeping the state of those already in it.
    pub(super) fn replace_pending<'a>(&mut self, parts: impl Iterator<Item = &'a PartRef>) {
        let mut before = std::mem::take(&mut self.pending);
        for part in parts {
            let fetch = before
                .remove(&part.hash)
                .unwrap_or_else(|| Fetch::new(part.clone()));
            self.pending.insert(part.hash.clone(), fetch);
        }
    }

    pub(super) fn pending(&self, hash: &str) -> Option<&PartRef> {
        self.pending.get(hash).map(|fetch| &fetch.part)
    }

    pub(super) fn arrived(&mut self, hash: &str) {
        self.pending.remove(hash);
    }

    pub(super) fn failed(&mut self, now: Millis, hash: &str, source: &Source) {
        let Some(fetch) = self.pending.get_mut(hash) else {
            return;
        };
        match &fetch.state {
            State::Requested { from, .. } if from == source => fetch.fail(now, &self.own),
            State::Requested { .. } | State::Waiting { .. } => {}
        }
    }

    /// Starts the fetches that are due, up to the concurrency limit. `announced_by` is the source
    /// of the head, and `holders` are the peers that have its revision in force.
    pub(super) fn start(
        &mut self,
        now: Millis,
        announced_by: &Source,
        holders: &[Name],
        actions: &mut Vec<Action>,
    ) {
        for fetch in self.pending.values_mut() {
            if fetch.is_overdue(now) {
                fetch.fail(now, &self.own);
            }
        }
        let mut in_flight = self
            .pending
            .values()
            .filter(|fetch| fetch.is_in_flight())
            .count();
        for fetch in self.pending.values_mut() {
            if in_flight == MAX_IN_FLIGHT {
                break;
            }
            if fetch.is_due(now) {
                let from = fetch.next_source(&self.own, announced_by, holders);
                fetch.state = State::Requested {
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

    fn is_in_flight(&self) -> bool {
        matches!(self.state, State::Requested { .. })
    }

    fn is_due(&self, now: Millis) -> bool {
        matches!(self.state, State::Waiting { until } if until <= now)
    }

    fn is_overdue(&self, now: Millis) -> bool {
        matches!(self.state, State::Requested { at, .. } if at + FETCH_TIMEOUT_MS <= now)
    }

    fn fail(&mut self, now: Millis, own: &Name) {
        let waiting = State::Waiting { until: now };
        let State::Requested { from, .. } = std::mem::replace(&mut self.state, waiting) else {
            return;
        };
        if from != Source::Platform {
            self.failed.push(from);
            return;
        }
        self.failed.clear();
        let backoff = MAX_BACKOFF_MS.min(INITIAL_BACKOFF_MS << self.rounds.min(8));
        // Deterministic jitter of up to half the backoff, so that instances do not retry in step.
        let jitter = hash_rank(own, &self.part.hash, &self.rounds.to_string()) % (backoff / 2);
        self.rounds += 1;
        self.state = State::Waiting {
            until: now + backoff - jitter,
        };
    }

    fn next_source(&self, own: &Name, announced_by: &Source, holders: &[Name]) -> Source {
        let platform_first = *announced_by == Source::Platform && self.rounds == 0;
        if platform_first || self.failed.len() >= PEER_ATTEMPTS {
            return Source::Platform;
        }
        if *announced_by != Source::Platform && !self.failed.contains(announced_by) {
            return announced_by.clone();
        }
        let untried = holders.iter().filter(|name| {
            !self
                .failed
                .iter()
                .any(|failed| *failed == Source::Peer((*name).clone()))
        });
        let chosen = untried.min_by_key(|name| hash_rank(own, &self.part.hash, name));
        chosen.map_or(Source::Platform, |name| Source::Peer(name.clone()))
    }
}

/// Returns a hash of instance, part and name for rendezvous hashing and jitter.
fn hash_rank(own: &str, hash: &str, name: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(format!("{own}\n{hash}\n{name}").as_bytes()).into();
    let [a, b, c, d, ..] = digest;
    u64::from(u32::from_be_bytes([a, b, c, d]))
}
