//! The view of one other instance and the failure detector's verdict on it.

use crate::member::{MemberState, Phase};
use crate::membership::message::{MemberRecord, member_key};
use crate::time::{Millis, Name};

/// The view of one other instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Newest known record.
    pub record: MemberRecord,
    /// Verdict of the failure detector.
    pub verdict: Verdict,
    /// Whether the platform lists this incarnation, or a later one, as leaving.
    pub listed_leaving: bool,
    /// Own round of the last heartbeat or direct contact.
    pub last_contact_round: u64,
    /// Monotonic time of the last heartbeat or direct contact, in milliseconds.
    pub last_contact_ms: Millis,
    /// Key in messages, see [`member_key`].
    pub key: u64,
    /// Own round up to which it is in every message, since something about it changed.
    pub urgent_until: u64,
}

/// The failure detector's verdict on a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum Verdict {
    /// There is no evidence against it.
    #[default]
    #[display("alive")]
    Alive,
    /// A call to it failed or it is silent; other peers are asked to probe it.
    #[display("doubted since round {}", _0.since)]
    Doubted(Doubt),
    /// It is considered failed, normally because other peers could not reach it either.
    #[display("suspected since round {since}, until its heartbeat exceeds {floor}")]
    Suspected {
        /// Own round in which the suspicion began.
        since: u64,
        /// A heartbeat above this value refutes the suspicion.
        floor: u64,
    },
}

/// Evidence against a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Own round in which the doubt began.
    pub since: u64,
    /// Heartbeat that the member was expected to have when the doubt began; a greater one refutes
    /// the evidence.
    pub floor: u64,
    /// Calls from this instance that failed since then.
    pub own_failures: u32,
    /// Peers that reported that they could not reach it, in report order.
    pub unreached_by: Vec<Name>,
}

impl Member {
    /// Creates the entry for a newly discovered member.
    #[must_use]
    pub fn new(record: MemberRecord, round: u64, mono_ms: Millis) -> Member {
        let key = member_key(&record.state.name, record.state.incarnation);
        Member {
            record,
            verdict: Verdict::Alive,
            listed_leaving: false,
            last_contact_round: round,
            last_contact_ms: mono_ms,
            key,
            urgent_until: 0,
        }
    }

    /// Returns its newest known state.
    #[must_use]
    pub fn state(&self) -> &MemberState {
        &self.record.state
    }

    /// Returns whether it is suspected to have failed.
    #[must_use]
    pub fn suspected(&self) -> bool {
        matches!(self.verdict, Verdict::Suspected { .. })
    }

    /// Returns whether callers may be sent to it.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state().phase == Phase::Serving && !self.listed_leaving && !self.suspected()
    }

    /// Returns whether exchanges with it can be expected to succeed.
    #[must_use]
    pub fn reachable(&self) -> bool {
        self.state().phase != Phase::Gone && !self.suspected()
    }

    /// Returns the heartbeat expected at `round`, assuming one increment per round since the last
    /// contact.
    #[must_use]
    pub fn expected_heartbeat(&self, round: u64) -> u64 {
        self.state().heartbeat + round.saturating_sub(self.last_contact_round)
    }
}
