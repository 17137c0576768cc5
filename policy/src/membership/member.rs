//! What this instance knows of one other, and how far it trusts that it lives.

use crate::member::{MemberState, Phase};
use crate::membership::message::MemberRecord;
use crate::time::{Millis, Name};

/// What this instance knows of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Newest record.
    pub record: MemberRecord,
    /// Whether it is taken to live.
    pub verdict: Verdict,
    /// Whether the platform lists this incarnation, or a later one, as leaving.
    pub listed_leaving: bool,
    /// Own round in which its heartbeat last grew here.
    pub last_contact_round: u64,
    /// Monotonic time at which its heartbeat last grew here, in milliseconds.
    pub last_contact_ms: Millis,
    /// Monotonic time at which the call was made that brought the newest heartbeat, in
    /// milliseconds; absent before the first such call. An answer that lay in a socket while this
    /// process was stopped is as old as its question.
    pub asked_ms: Option<Millis>,
}

/// Whether a member is taken to live.
#[derive(Clone, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum Verdict {
    /// Nothing speaks against it.
    #[default]
    #[display("alive")]
    Alive,
    /// It was not reached, or is silent: others are asked.
    #[display("doubted since round {}", _0.since)]
    Doubted(Doubt),
    /// Others did not reach it either.
    #[display("suspected since round {since}, until its heartbeat exceeds {floor}")]
    Suspected {
        /// Own round.
        since: u64,
        /// A heartbeat above this one shows that it lives.
        floor: u64,
    },
}

/// Evidence against a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Own round in which it began.
    pub since: u64,
    /// A heartbeat above this one shows that it lives: what it would have had when the doubt
    /// began.
    pub floor: u64,
    /// Own calls that failed since.
    pub own_misses: u32,
    /// Peers that reported that they could not reach it, in the order of their reports.
    pub unreached_by: Vec<Name>,
}

impl Member {
    /// A member that was heard of for the first time.
    #[must_use]
    pub fn new(record: MemberRecord, round: u64, mono_ms: Millis) -> Member {
        Member {
            record,
            verdict: Verdict::Alive,
            listed_leaving: false,
            last_contact_round: round,
            last_contact_ms: mono_ms,
            asked_ms: None,
        }
    }

    /// Its state as last heard.
    #[must_use]
    pub fn state(&self) -> &MemberState {
        &self.record.state
    }

    /// Whether it is suspected to be dead.
    #[must_use]
    pub fn suspected(&self) -> bool {
        matches!(self.verdict, Verdict::Suspected { .. })
    }

    /// Whether callers may be sent to it.
    #[must_use]
    pub fn takes_callers(&self) -> bool {
        self.state().phase == Phase::Serving && !self.listed_leaving && !self.suspected()
    }

    /// Whether exchanges with it are of use.
    #[must_use]
    pub fn reachable(&self) -> bool {
        self.state().phase != Phase::Gone && !self.suspected()
    }

    /// Its heartbeat by now if it went on since it was last heard, in rounds of this instance.
    #[must_use]
    pub fn expected_heartbeat(&self, round: u64) -> u64 {
        self.state().heartbeat + round.saturating_sub(self.last_contact_round)
    }
}
