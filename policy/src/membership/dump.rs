//! The membership as operators see it.

use super::{Member, Membership, MembershipCounts, Peer};
use crate::member::MemberState;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Its state as last heard.
    pub state: MemberState,
    /// Whether it is suspected to be dead.
    pub suspected: bool,
    /// Verdict, with its evidence.
    pub verdict: String,
    /// Whether the platform lists it as leaving.
    pub listed_leaving: bool,
    /// Time since its heartbeat last grew here, in milliseconds.
    pub silent_ms: Millis,
}

/// The whole membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipDump {
    /// Own round.
    pub round: u64,
    /// Every instance, this one first.
    pub rows: Vec<MemberRow>,
    /// Events since the start.
    pub counts: MembershipCounts,
}

impl Membership {
    /// One row for every instance, this one first, then in the order of names.
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

    /// The whole membership, for the dump.
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
