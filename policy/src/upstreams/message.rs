//! Anti-entropy messages about upstreams between two instances.
//!
//! Records change rarely, so the first message contains one hash for each of [`BUCKETS`] buckets of
//! records. The response lists the records of the buckets that differ, by key and hash; the
//! initiator pushes its own differing records and requests those it lacks, and the response to the
//! push contains these.
//!
//! Loads change with each poll and are needed only in the runner's region: they are sent as one
//! short [`LoadSample`] per runner, in exchanges within the region.

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

use super::record::UpstreamRecord;

/// Number of buckets of records.
pub const BUCKETS: usize = 32;

/// Load of a runner; serialised as an array of six numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(
    from = "(u32, u64, u32, u32, u32, u32)",
    into = "(u32, u64, u32, u32, u32, u32)"
)]
pub struct LoadSample {
    /// Key of the runner: a salted hash of its name and incarnation.
    pub key: u32,
    /// Sequence number of the report.
    pub number: u64,
    /// Age of the figures at the time of sending, in milliseconds.
    pub age_ms: u32,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Recent throughput, in token-layers per second.
    pub busy_token_layers_per_s: u32,
}

/// Key and hash of a record; serialised as an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct RecordHash {
    /// Key of the upstream: a salted hash of its name.
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
    /// Whether sender and receiver are in the same region, so that loads are exchanged.
    pub near: bool,
    /// Loads of the region's runners, if `near`.
    pub loads: Vec<LoadSample>,
}

/// Second and later messages of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// Salt of the keys, as in the digest.
    pub salt: u32,
    /// Loads that are newer than those in the digest.
    pub loads: Vec<LoadSample>,
    /// Indices of the buckets that differ.
    pub differing: Vec<u32>,
    /// The sender's records in those buckets.
    pub hashes: Vec<RecordHash>,
    /// Records that are missing or different on the other side, up to the configured maximum.
    pub records: Vec<UpstreamRecord>,
    /// Keys of records that are missing or different on the sender's side.
    pub wants: Vec<u32>,
}
