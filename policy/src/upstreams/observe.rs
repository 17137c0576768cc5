//! Polls, doubt and confirmation.
//!
//! An upstream that this instance failed to reach a few times in a row is doubted; another of its
//! observers is asked to reach it. Only when that fails as well is it suspected, so that a broken
//! link of one instance closes no upstream for the whole fleet.

use super::{Poll, PollKind, Upstream, Upstreams, WOKEN_MS};
use crate::load::LoadReport;
use crate::time::{Name, Now};
use std::net::SocketAddr;

/// What became of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum PollOutcome {
    /// The runner's report.
    Report(LoadReport),
    /// The service took a connection.
    Connected,
    /// Not reached in time, or no sensible answer.
    Failed,
}

/// Ask a peer to reach an upstream; answer with [`Upstreams::confirmed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirm {
    /// Peer to ask, by its name.
    pub via: Name,
    /// Upstream's name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// How.
    pub kind: PollKind,
}

/// What a peer said.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmOutcome {
    /// Its own poll's outcome.
    Polled(PollOutcome),
    /// The peer did not answer: says nothing about the upstream.
    NoAnswer,
}

/// Misses beyond which an upstream is suspected without confirmation, in multiples of the bound:
/// nobody can be asked where the other observers are out of reach as well.
const UNCONFIRMED_FACTOR: u32 = 3;

impl Upstreams {
    /// Notices that the process was stopped, by a gap on either clock: polls that were under way
    /// then fail and say nothing, and what was open before may have left meanwhile.
    pub(super) fn observe(&mut self, now: Now) {
        let gap = now.gap_since(self.seen);
        self.seen = now;
        if gap <= WOKEN_MS {
            return;
        }
        self.counts.woken += 1;
        self.woken_ms = now.mono_ms;
        for (name, u) in &mut self.upstreams {
            u.stale = true;
            u.misses = 0;
            u.unreached_by.clear();
            self.changed.insert(name.clone());
        }
    }

    /// Takes in the outcome of a poll; returns whom to ask for confirmation.
    pub fn polled(&mut self, now: Now, poll: &Poll, outcome: &PollOutcome) -> Vec<Confirm> {
        self.observe(now);
        match outcome {
            PollOutcome::Report(report) if report.runner == poll.name => {
                self.take_report(now, report);
            }
            PollOutcome::Connected => self.connected(now, &poll.name, poll.incarnation),
            PollOutcome::Failed | PollOutcome::Report(_) => {
                if poll.started_ms >= self.woken_ms {
                    return self.missed(&poll.name, poll.incarnation);
                }
            }
        }
        Vec::new()
    }

    /// A connection to an upstream for a request failed; returns whom to ask for confirmation.
    pub fn connect_failed(&mut self, now: Now, name: &str, incarnation: u64) -> Vec<Confirm> {
        self.observe(now);
        self.missed(name, incarnation)
    }

    /// An upstream took a connection.
    pub fn connected(&mut self, now: Now, name: &str, incarnation: u64) {
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        if u.listed().incarnation != incarnation {
            return;
        }
        u.answered_ms = Some(now.mono_ms);
        self.reached(name);
    }

    /// Ends doubt and suspicion.
    pub(super) fn reached(&mut self, name: &str) {
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        let changed = u.stale || u.record.suspected();
        u.misses = 0;
        u.unreached_by.clear();
        u.stale = false;
        if let Some(floor) = u.record.floor.filter(|_| u.record.suspected()) {
            let newest = u.load.map_or(0, |l| l.number);
            u.record.number = newest.max(floor + 1);
            u.hash = u.record.hash();
            self.counts.false_alarms += 1;
        }
        if changed {
            self.changed.insert(u.listed().name.clone());
        }
    }

    fn missed(&mut self, name: &str, incarnation: u64) -> Vec<Confirm> {
        let Some(u) = self.upstreams.get_mut(name) else {
            return Vec::new();
        };
        if u.listed().incarnation != incarnation || u.record.suspected() {
            return Vec::new();
        }
        u.misses += 1;
        if u.misses < self.cfg.max_misses {
            return Vec::new();
        }
        if u.misses == self.cfg.max_misses {
            self.counts.doubts += 1;
        }
        let confirms = self.confirms(name);
        self.settle(name);
        confirms
    }

    fn confirms(&self, name: &str) -> Vec<Confirm> {
        let Some(u) = self.upstreams.get(name) else {
            return Vec::new();
        };
        let l = u.listed();
        let Some(kind) = self.groups.get(&l.group) else {
            return Vec::new();
        };
        let others = self.others(u);
        let fresh = others.into_iter().filter(|o| !u.unreached_by.contains(o));
        let missing = self.cfg.confirmations.saturating_sub(u.unreached_by.len());
        let confirm = |via| Confirm {
            via,
            name: l.name.clone(),
            address: l.address,
            kind: *kind,
        };
        fresh.take(missing).map(confirm).collect()
    }

    fn others(&self, u: &Upstream) -> Vec<Name> {
        let observers = self.observers(u.listed());
        observers.filter(|o| **o != self.own).cloned().collect()
    }

    /// Takes in what a peer said.
    pub fn confirmed(&mut self, now: Now, confirm: &Confirm, outcome: &ConfirmOutcome) {
        self.observe(now);
        let Some(u) = self.upstreams.get_mut(&confirm.name) else {
            return;
        };
        match outcome {
            ConfirmOutcome::NoAnswer => return,
            ConfirmOutcome::Polled(PollOutcome::Report(report)) => {
                if report.runner == confirm.name {
                    // Its load is good news, yet this instance still doesn't reach it.
                    let misses = u.misses;
                    self.take_report(now, report);
                    self.keep_misses(&confirm.name, misses);
                }
                return;
            }
            ConfirmOutcome::Polled(PollOutcome::Connected) => {
                u.unreached_by.clear();
                // Others reach it: however often this instance does not, that closes it for nobody.
                let misses = u.misses;
                self.keep_misses(&confirm.name, misses);
                return;
            }
            ConfirmOutcome::Polled(PollOutcome::Failed) => {}
        }
        if u.misses >= self.cfg.max_misses && !u.unreached_by.contains(&confirm.via) {
            u.unreached_by.push(confirm.via.clone());
        }
        self.settle(&confirm.name);
    }

    fn keep_misses(&mut self, name: &str, misses: u32) {
        if let Some(u) = self.upstreams.get_mut(name) {
            u.misses = misses.min(self.cfg.max_misses.saturating_sub(1));
        }
    }

    fn settle(&mut self, name: &str) {
        let Some(u) = self.upstreams.get(name) else {
            return;
        };
        let needed = self.others(u).len().min(self.cfg.confirmations);
        let confirmed = needed > 0 && u.unreached_by.len() >= needed;
        let unconfirmed = u.misses >= UNCONFIRMED_FACTOR * self.cfg.max_misses;
        let suspected = u.record.suspected();
        if suspected || u.misses < self.cfg.max_misses || !(confirmed || unconfirmed) {
            return;
        }
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        let newest = u.load.map_or(0, |l| l.number).max(u.record.number);
        u.record.floor = Some(newest);
        u.hash = u.record.hash();
        if confirmed {
            self.counts.suspicions += 1;
        } else {
            self.counts.unconfirmed += 1;
        }
        self.changed.insert(u.listed().name.clone());
    }
}
