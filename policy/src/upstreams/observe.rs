//! Failure detector for upstreams: polls, confirmation and suspicion.
//!
//! After several consecutive failures to reach an upstream, this instance asks another observer to
//! reach it. The upstream is suspected only if that fails as well, so that a broken link of one
//! instance does not close an upstream for the whole fleet.

use super::{Poll, PollKind, SUSPENDED_GAP_MS, Upstream, Upstreams};
use crate::load::LoadReport;
use crate::time::{Name, Now};
use std::net::SocketAddr;

/// Result of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum PollOutcome {
    /// The runner's report.
    Report(LoadReport),
    /// The service accepted a connection.
    Connected,
    /// Its host refused the connection: the process that listened there has ended.
    Refused,
    /// Time-out, any other connection failure, or invalid response; the upstream may be sound.
    Failed,
}

/// Request for a peer to poll an upstream; its result goes to [`Upstreams::confirmed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirm {
    /// Name of the peer to ask.
    pub via: Name,
    /// Name of the upstream.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// How it is polled.
    pub kind: PollKind,
}

/// Result of a [`Confirm`] request.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmOutcome {
    /// Outcome of the peer's poll.
    Polled(PollOutcome),
    /// The peer did not answer, which implies nothing about the upstream.
    NoAnswer,
}

/// Multiple of [`max_failures`](super::UpstreamsConfig::max_failures) at which an upstream is
/// suspected without confirmation, for the case that the other observers are unreachable as well.
const UNCONFIRMED_FAILURES_FACTOR: u32 = 3;

impl Upstreams {
    /// Detects by a gap on either clock that the process was suspended.
    ///
    /// Polls in progress then fail without implying anything, and upstreams that were open may have
    /// left in the meantime, so all become stale.
    pub(super) fn detect_suspension(&mut self, now: Now) {
        let gap = now.gap_since(self.last_event);
        self.last_event = now;
        if gap <= SUSPENDED_GAP_MS {
            return;
        }
        self.counts.woken += 1;
        self.resumed_ms = now.mono_ms;
        for (name, u) in &mut self.upstreams {
            u.stale = true;
            u.failures = 0;
            u.confirmed_by.clear();
            self.changed.insert(name.clone());
        }
    }

    /// Processes the outcome of a poll; returns the confirmations to request.
    pub fn polled(&mut self, now: Now, poll: &Poll, outcome: &PollOutcome) -> Vec<Confirm> {
        self.detect_suspension(now);
        match outcome {
            PollOutcome::Report(report) if report.runner == poll.name => {
                self.apply_report(now, report);
            }
            PollOutcome::Connected => self.connected(now, &poll.name, poll.incarnation),
            PollOutcome::Refused | PollOutcome::Failed | PollOutcome::Report(_) => {
                if poll.started_ms >= self.resumed_ms {
                    let is_refused = *outcome == PollOutcome::Refused;
                    return self.on_failure(&poll.name, poll.incarnation, is_refused);
                }
            }
        }
        Vec::new()
    }

    /// Records that connecting to an upstream for a request failed; returns the confirmations to
    /// request.
    pub fn connect_failed(&mut self, now: Now, name: &str, incarnation: u64) -> Vec<Confirm> {
        self.detect_suspension(now);
        self.on_failure(name, incarnation, false)
    }

    /// Records that an upstream accepted a connection.
    pub fn connected(&mut self, now: Now, name: &str, incarnation: u64) {
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        if u.listed().incarnation != incarnation {
            return;
        }
        u.answered_ms = Some(now.mono_ms);
        self.on_reached(name);
    }

    /// Resets the failure count and refutes any suspicion.
    pub(super) fn on_reached(&mut self, name: &str) {
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        let changed = u.stale || u.record.suspected();
        u.failures = 0;
        u.confirmed_by.clear();
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

    fn on_failure(&mut self, name: &str, incarnation: u64, is_refused: bool) -> Vec<Confirm> {
        let Some(u) = self.upstreams.get_mut(name) else {
            return Vec::new();
        };
        if u.listed().incarnation != incarnation {
            return Vec::new();
        }
        u.is_refused = is_refused;
        if u.record.suspected() {
            self.record_end_if_refused(name);
            return Vec::new();
        }
        u.failures += 1;
        if u.failures < self.cfg.max_failures {
            return Vec::new();
        }
        if u.failures == self.cfg.max_failures {
            self.counts.doubts += 1;
        }
        let confirms = self.confirmations_to_request(name);
        self.update_suspicion(name);
        confirms
    }

    fn confirmations_to_request(&self, name: &str) -> Vec<Confirm> {
        let Some(u) = self.upstreams.get(name) else {
            return Vec::new();
        };
        let l = u.listed();
        let Some(kind) = self.groups.get(&l.group) else {
            return Vec::new();
        };
        let others = self.other_observers(u);
        let unasked = others.into_iter().filter(|o| !u.confirmed_by.contains(o));
        let needed = self.cfg.confirmations.saturating_sub(u.confirmed_by.len());
        let confirm = |via| Confirm {
            via,
            name: l.name.clone(),
            address: l.address,
            kind: *kind,
        };
        unasked.take(needed).map(confirm).collect()
    }

    fn other_observers(&self, u: &Upstream) -> Vec<Name> {
        let observers = self.observers(u.listed());
        observers.filter(|o| **o != self.own).cloned().collect()
    }

    /// Processes the result of a confirmation request.
    pub fn confirmed(&mut self, now: Now, confirm: &Confirm, outcome: &ConfirmOutcome) {
        self.detect_suspension(now);
        let Some(u) = self.upstreams.get_mut(&confirm.name) else {
            return;
        };
        match outcome {
            ConfirmOutcome::NoAnswer => return,
            ConfirmOutcome::Polled(PollOutcome::Report(report)) => {
                if report.runner == confirm.name {
                    // The report is valid, but this instance itself still can't reach the
                    // upstream.
                    let failures = u.failures;
                    self.apply_report(now, report);
                    self.cap_failures(&confirm.name, failures);
                }
                return;
            }
            ConfirmOutcome::Polled(PollOutcome::Connected) => {
                u.confirmed_by.clear();
                // Others reach it, so the failures of this instance alone must not close it for
                // the fleet.
                let failures = u.failures;
                self.cap_failures(&confirm.name, failures);
                return;
            }
            ConfirmOutcome::Polled(PollOutcome::Refused | PollOutcome::Failed) => {}
        }
        if u.failures >= self.cfg.max_failures && !u.confirmed_by.contains(&confirm.via) {
            u.confirmed_by.push(confirm.via.clone());
        }
        self.update_suspicion(&confirm.name);
    }

    fn cap_failures(&mut self, name: &str, failures: u32) {
        if let Some(u) = self.upstreams.get_mut(name) {
            u.failures = failures.min(self.cfg.max_failures.saturating_sub(1));
        }
    }

    fn update_suspicion(&mut self, name: &str) {
        let Some(u) = self.upstreams.get(name) else {
            return;
        };
        let needed = self.other_observers(u).len().min(self.cfg.confirmations);
        let confirmed = needed > 0 && u.confirmed_by.len() >= needed;
        let unconfirmed = u.failures >= UNCONFIRMED_FAILURES_FACTOR * self.cfg.max_failures;
        let suspected = u.record.suspected();
        if suspected || u.failures < self.cfg.max_failures || !(confirmed || unconfirmed) {
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
        self.record_end_if_refused(name);
    }

    /// Records that a suspected upstream has ended if its host refused the last poll. A suspicion alone
    /// does not show it, since a sound upstream may be silent for a while.
    fn record_end_if_refused(&mut self, name: &str) {
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        if u.is_refused && !u.record.ended() {
            u.record.refused = u.record.floor;
            u.hash = u.record.hash();
        }
    }
}
