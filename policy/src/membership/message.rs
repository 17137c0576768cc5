//! Messages of the push-pull gossip exchange.
//!
//! The first message is a digest with a [`Beat`] for each of some members. The answer contains newer
//! beats, full records that the initiator lacks, and the keys of records that the responder lacks;
//! the initiator sends those in a third message. In steady state no full record is sent: a beat
//! carries the heartbeat and the load, and the other fields rarely change.
//!
//! A digest of a small fleet lists all members. That of a larger one lists a bounded number of them
//! ([`spread`](super::spread)), and a [`Summary`] that shows whether both sides know the same members.

use crate::member::MemberState;
use crate::time::Name;
use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A member's record as sent between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// State of the member.
    pub state: MemberState,
    /// Heartbeat at which any field other than heartbeat and load last changed.
    pub changed: u64,
}

/// The frequently changing fields of a record; an array of four numbers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u32)", into = "(u64, u64, u64, u32)")]
pub struct Beat {
    /// Member's key, see [`member_key`].
    pub key: u64,
    /// Heartbeat counter.
    pub heartbeat: u64,
    /// Heartbeat at which any other field of the record last changed.
    pub changed: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A confirmed suspicion; an array of two numbers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Suspicion {
    /// Member's key, see [`member_key`].
    pub key: u64,
    /// A heartbeat above this value refutes the suspicion.
    pub floor: u64,
}

/// The members that an instance knows, in short; an array of two numbers on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
pub struct Summary {
    /// Number of members.
    pub members: u32,
    /// Hash of the keys and last changes of all of them.
    pub hash: u64,
}

/// The first message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Random number of this exchange.
    pub salt: u32,
    /// Whether the beats are those of all members that the sender knows.
    pub whole: bool,
    /// Beats of members that the sender knows, including itself.
    pub beats: Vec<Beat>,
    /// Members that the sender suspects.
    pub suspicions: Vec<Suspicion>,
    /// All members that the sender knows.
    pub summary: Summary,
}

/// The second and third message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDelta {
    /// Newer heartbeats of members whose records the receiver already has.
    pub beats: Vec<Beat>,
    /// Records that the receiver lacks, limited to the configured maximum.
    pub records: Vec<MemberRecord>,
    /// Keys of records that the sender lacks.
    pub wants: Vec<u64>,
    /// Members that the sender suspects.
    pub suspicions: Vec<Suspicion>,
    /// All members that the sender knows.
    pub summary: Summary,
}

/// Returns the key of a member: FNV-1a over name and incarnation.
#[must_use]
pub fn member_key(name: &Name, incarnation: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let incarnation = incarnation.to_le_bytes();
    let bytes = name.as_bytes().iter().chain(&incarnation);
    bytes.fold(OFFSET, |h, b| (h ^ u64::from(*b)).wrapping_mul(PRIME))
}
