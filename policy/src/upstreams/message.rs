//! What two instances tell each other about upstreams.
//!
//! Records change rarely: the first message has one hash for each of [`BUCKETS`] buckets of them.
//! The answer lists the records of the buckets that differ, by key and hash; the asker pushes its
//! own that differ and says which it wants, and the answer to the push has those.
//!
//! Loads change with each poll and are of use near the runner only: they travel as one short
//! [`LoadBeat`] a runner, in exchanges within the region.

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

use super::record::UpstreamRecord;

/// Number of buckets of records.
pub const BUCKETS: usize = 32;

/// Load of a runner; on the wire an array of six numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(
    from = "(u32, u64, u32, u32, u32, u32)",
    into = "(u32, u64, u32, u32, u32, u32)"
)]
pub struct LoadBeat {
    /// Runner's key: a hash of name and incarnation, salted.
    pub key: u32,
    /// Report number.
    pub number: u64,
    /// Age of the figures when sent, in milliseconds.
    pub age_ms: u32,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Token-layers a second it did lately.
    pub busy_token_layers_per_s: u32,
}

/// A record by key and hash; on the wire an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct RecordHash {
    /// Upstream's key: a hash of its name, salted.
    pub key: u32,
    /// Hash of its record.
    pub hash: u32,
}

/// First message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamDigest {
    /// Salt of the keys.
    pub salt: u32,
    /// Hash of each bucket of records.
    pub buckets: Vec<u32>,
    /// Whether sender and receiver are in one region, so that loads are exchanged.
    pub near: bool,
    /// Loads of the region's runners, where `near`.
    pub loads: Vec<LoadBeat>,
}

/// Second and later messages of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// Salt of the keys: that of the digest.
    pub salt: u32,
    /// Loads that are newer than those of the digest.
    pub loads: Vec<LoadBeat>,
    /// Numbers of the buckets that differ.
    pub differing: Vec<u32>,
    /// The sender's records in those buckets.
    pub hashes: Vec<RecordHash>,
    /// Records that the other side lacks or has differently, at most the configured number.
    pub records: Vec<UpstreamRecord>,
    /// Keys of records that the sender lacks or has differently.
    pub wants: Vec<u32>,
}
