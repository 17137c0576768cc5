//! Messages of the push-pull gossip exchange.
//!
//! The first message is a digest with one [`Beat`] per known member. The answer contains newer
//! beats, full records that the initiator lacks, and the keys of records that the responder lacks;
//! the initiator sends those in a third message. In steady state no full record is sent: a beat
//! carries the heartbeat and the load, and the other fields rarely change.
//!
//! A beat identifies its member by a 32-bit key, hashed from the name, the incarnation and the salt
//! of the exchange. If two keys collide, one of the members is left out of that exchange only,
//! since the next exchange uses another salt.

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
#[serde(from = "(u32, u64, u64, u32)", into = "(u32, u64, u64, u32)")]
pub struct Beat {
    /// Member's key, see [`member_key`].
    pub key: u32,
    /// Heartbeat counter.
    pub heartbeat: u64,
    /// Heartbeat at which any other field of the record last changed.
    pub changed: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A confirmed suspicion; an array of two numbers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
pub struct Suspicion {
    /// Member's key, see [`member_key`].
    pub key: u32,
    /// A heartbeat above this value refutes the suspicion.
    pub floor: u64,
}

/// The first message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Salt of the member keys.
    pub salt: u32,
    /// One entry per member that the sender knows, including itself.
    pub beats: Vec<Beat>,
    /// Members that the sender suspects.
    pub suspicions: Vec<Suspicion>,
}

/// The second and third message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDelta {
    /// Salt of the member keys, the same as in the digest.
    pub salt: u32,
    /// Newer heartbeats of members whose records the receiver already has.
    pub beats: Vec<Beat>,
    /// Records that the receiver lacks, limited to the configured maximum.
    pub records: Vec<MemberRecord>,
    /// Keys of records that the sender lacks.
    pub wants: Vec<u32>,
    /// Members that the sender suspects.
    pub suspicions: Vec<Suspicion>,
}

/// Returns the key of a member within one exchange: FNV-1a over salt, name and incarnation.
#[must_use]
pub fn member_key(salt: u32, name: &Name, incarnation: u64) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let salt = salt.to_le_bytes();
    let incarnation = incarnation.to_le_bytes();
    let bytes = salt.iter().chain(name.as_bytes()).chain(&incarnation);
    bytes.fold(OFFSET, |h, b| (h ^ u32::from(*b)).wrapping_mul(PRIME))
}
