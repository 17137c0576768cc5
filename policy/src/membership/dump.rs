//! The membership view shown to operators.

use super::{Member, Membership, MembershipCounts, Peer};
use crate::member::MemberState;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The view of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Newest known state.
    pub state: MemberState,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
    /// Failure detector verdict, as text.
    pub verdict: String,
    /// Whether the platform lists it as leaving.
    pub listed_leaving: bool,
    /// Time since the last heartbeat or direct contact, in milliseconds.
    pub silent_ms: Millis,
}

/// The complete membership view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipDump {
    /// Current gossip round of this instance.
    pub round: u64,
    /// All instances, this one first.
    pub rows: Vec<MemberRow>,
    /// Event counts since the start.
    pub counts: MembershipCounts,
}

impl Membership {
    /// Returns one row per instance: this one first, then the others sorted by name.
    #[must_use]
    pub fn rows(&self, mono_ms: Millis) -> Vec<MemberRow> {
        let own = MemberRow {
            state: self.own.state.clone(),
            suspected: false,
            verdict: "this instance".into(),
            listed_leaving: false,
            silent_ms: 0,
        };
        let others = self.members.values().map(|m| row(m, mono_ms));
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the complete membership view.
    #[must_use]
    pub fn dump(&self, mono_ms: Millis) -> MembershipDump {
        MembershipDump {
            round: self.round,
            rows: self.rows(mono_ms),
            counts: self.counts,
        }
    }
}

fn row(m: &Member, mono_ms: Millis) -> MemberRow {
    MemberRow {
        state: m.state().clone(),
        suspected: m.suspected(),
        verdict: m.verdict.to_string(),
        listed_leaving: m.listed_leaving,
        silent_ms: mono_ms.saturating_sub(m.last_contact_ms),
    }
}

impl fmt::Display for MemberRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.state;
        write!(f, "{}@{} {} {}", s.name, s.incarnation, s.domain, s.phase)?;
        write!(f, " rev {} in flight {}", s.revision, s.in_flight)?;
        write!(
            f,
            " heartbeat {}, silent {} ms",
            s.heartbeat, self.silent_ms
        )?;
        let leaving = if self.listed_leaving {
            ", listed leaving"
        } else {
            ""
        };
        write!(f, ": {}{leaving}", self.verdict)
    }
}

impl fmt::Display for MembershipDump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "round {}", self.round)?;
        for row in &self.rows {
            writeln!(f, "{row}")?;
        }
        write!(f, "{:?}", self.counts)
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.name {
            Some(name) => write!(f, "{name} ({})", self.address),
            None => write!(f, "{}", self.address),
        }
    }
}
