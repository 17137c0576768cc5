//! What two instances tell each other about members.
//!
//! The first message is a digest of every member known: one [`Beat`] each. The answer has the
//! beats that are newer, the whole records that the asker lacks, and the keys of records that the
//! answerer lacks; the asker pushes those in a third message. In a steady state no record travels
//! at all: a beat carries the heartbeat and the load, and everything else changes rarely.
//!
//! A beat names its member by a key of 32 bits, hashed from name, incarnation and the salt of the
//! exchange. Two members with the same key hide each other in one exchange only, since the next
//! one has another salt.

use crate::member::MemberState;
use crate::time::Name;
use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A member's record as it travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The state.
    pub state: MemberState,
    /// Heartbeat at which anything but heartbeat and load last changed.
    pub changed: u64,
}

/// The parts of a record that change all the time; on the wire an array of four numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u64, u32)", into = "(u32, u64, u64, u32)")]
pub struct Beat {
    /// Member's key, see [`member_key`].
    pub key: u32,
    /// Heartbeat count.
    pub heartbeat: u64,
    /// Heartbeat at which the rest of the record last changed.
    pub changed: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A confirmed suspicion; on the wire an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
pub struct Suspicion {
    /// Member's key, see [`member_key`].
    pub key: u32,
    /// A heartbeat above this one shows that the member lives.
    pub floor: u64,
}

/// First message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Salt of the keys.
    pub salt: u32,
    /// Every member that the sender knows, itself included.
    pub beats: Vec<Beat>,
    /// Members that the sender suspects.
    pub suspicions: Vec<Suspicion>,
}

/// Second and third message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDelta {
    /// Salt of the keys: that of the digest.
    pub salt: u32,
    /// Newer heartbeats of members whose records the other side has.
    pub beats: Vec<Beat>,
    /// Records that the other side lacks, at most the configured number.
    pub records: Vec<MemberRecord>,
    /// Keys of records that the sender lacks.
    pub wants: Vec<u32>,
    /// Members that the sender suspects.
    pub suspicions: Vec<Suspicion>,
}

/// Key of a member within one exchange: FNV-1a over salt, name and incarnation.
#[must_use]
pub fn member_key(salt: u32, name: &Name, incarnation: u64) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let salt = salt.to_le_bytes();
    let incarnation = incarnation.to_le_bytes();
    let bytes = salt.iter().chain(name.as_bytes()).chain(&incarnation);
    bytes.fold(OFFSET, |h, b| (h ^ u32::from(*b)).wrapping_mul(PRIME))
}
