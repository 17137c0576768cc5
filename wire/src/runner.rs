//! Messages to and between model runners: engines that hold a range of layers and pass activations
//! to the next stage themselves.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/run` | body [`RunRequest`], to the first stage; answer: lines with one JSON [`Frame`] each; 429 or 503 with [`Refused`] if nothing ran |
//! | `POST /v1/stage` | between runners: [`StageRequest`], answer [`StageReply`] |
//! | `POST /v1/cancel` | body [`CancelRequest`] |
//! | `GET /v1/load` | [`LoadReport`], which may be stale |
//! | `GET /v1/cache-events?after=SEQ` | [`CacheEvents`], which may be late and have gaps |
//! | `POST /v1/kv/export`, `/v1/kv/import` | [`KvRequest`] |
//! | `POST /v1/orders` | body [`Order`]; 409 with [`Fenced`] if the runner checks fencing tokens and refuses an outdated one |

pub use jacinthweir_policy::layers::LayerRange;
pub use jacinthweir_policy::load::{HeldLayers, LoadReport};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Name of the runner.
    pub runner: Name,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Layers to run.
    pub layers: LayerRange,
}

/// Request to generate tokens along a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunRequest {
    /// Request id.
    pub request: Name,
    /// Attempt number, from 1. A runner never runs the same attempt twice.
    pub attempt: u32,
    /// Model name.
    pub model: Name,
    /// Stages in order. The first one is the recipient.
    pub route: Vec<Stage>,
    /// The prompt.
    pub prompt: String,
    /// Texts of the tokens that the caller has from earlier attempts, in order.
    pub resume: Vec<String>,
    /// Maximum number of tokens of the answer, including resumed ones.
    pub max_tokens: u32,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Runner to import the KV cache of the resumed tokens from; if absent, they are prefilled
    /// again.
    #[serde(default)]
    pub kv_from: Option<SocketAddr>,
}

/// One line of the answer to a [`RunRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// One token.
    Token(TokenFrame),
    /// The answer is complete.
    End(EndFrame),
    /// The attempt failed, possibly after some tokens.
    Broken(BrokenFrame),
}

/// One token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenFrame {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Index in the answer, from 0, including resumed tokens.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// Runners and layers that produced it, in order.
    pub ran: Vec<RanRange>,
}

/// Layers that one runner ran for a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanRange {
    /// Name of the runner.
    pub runner: Name,
    /// Layers that it ran.
    pub layers: LayerRange,
}

/// End of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndFrame {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Number of tokens of the answer, including resumed ones.
    pub tokens: u32,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Reason why generation ended.
    pub finish: crate::caller::FinishReason,
}

/// Failure of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenFrame {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Faulty runner, if known.
    pub runner: Option<Name>,
    /// One-sentence cause.
    pub cause: String,
}

/// Refusal of an attempt by any stage of the route before any part of it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Cause of the refusal.
    pub code: RefusedCode,
    /// Time to wait before a retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Runner that refused or cannot be reached; absent if it is the recipient.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runner: Option<Name>,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedCode {
    /// The runner's queue is full.
    Busy,
    /// The runner is draining.
    Leaving,
    /// The runner does not hold the layers.
    NotHeld,
    /// The attempt was already run or cancelled.
    Stale,
    /// The route is inconsistent.
    BadRoute,
    /// A later stage of the route cannot be reached.
    Unreachable,
}

/// Request to run tokens through the rest of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Token index.
    pub index: u32,
    /// Number of tokens to run: 1 for decoding, or the number of prompt and resumed tokens for a
    /// prefill. 0 reserves a slot for the attempt along the route without running anything.
    pub tokens: u32,
    /// Hashes of prefixes of the prompt, shortest first, for a prefill. The first one is its
    /// [`prefix_hash`]; the others are defined by the runners.
    #[serde(default)]
    pub prefix: Vec<u64>,
    /// Runner to import the KV cache from, for a prefill; if absent, the tokens are run again.
    #[serde(default)]
    pub kv_from: Option<SocketAddr>,
    /// Model name.
    pub model: Name,
    /// Rest of the route. The first stage is the recipient.
    pub route: Vec<Stage>,
    /// Priority class; 0 is served first.
    pub priority: u8,
}

/// Layers that ran, from the recipient to the last stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageReply {
    /// Runners and layers, in order.
    pub ran: Vec<RanRange>,
}

/// Request to stop an attempt, so that no further token is run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request id.
    pub request: Name,
    /// Attempt number. This attempt and all lower ones are stopped.
    pub attempt: u32,
}

/// Cache events after a sequence number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order. A jump in `number` is a gap.
    pub events: Vec<CacheEvent>,
    /// Newest sequence number.
    pub newest: u64,
}

/// Insertion of a prefix into the cache or its eviction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub number: u64,
    /// Hash of the prefix: [`prefix_hash`].
    pub prefix: u64,
    /// Whether the prefix was inserted rather than evicted.
    pub cached: bool,
}

/// Request to export from or import into a runner's KV cache. An export answers with the number of
/// tokens that it covers, or 404.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvRequest {
    /// Request id.
    pub request: Name,
    /// Model name.
    pub model: Name,
    /// Layers.
    pub layers: LayerRange,
    /// Number of tokens covered.
    pub tokens: u32,
}

/// Order that sets the desired state of a runner. Idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is given.
    pub fencing: u64,
    /// Desired state.
    pub wanted: Wanted,
}

/// Desired state of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// Hold these layers.
    Hold(HeldLayers),
    /// Drop these layers.
    Drop(HeldLayers),
}

/// Refusal of an order because of its outdated fencing token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fenced {
    /// Greatest fencing token seen.
    pub fencing: u64,
}

/// Length of the prompt prefix that cache events identify, in bytes.
pub const PREFIX_BYTES: usize = 64;

/// Returns the hash that identifies a prompt's prefix in cache events: the first eight bytes, big
/// endian, of the SHA-256 of the prompt's first [`PREFIX_BYTES`] bytes.
///
/// Returns `None` for a shorter prompt, which runners do not report.
#[must_use]
pub fn prefix_hash(prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let digest = Sha256::digest(prefix);
    let head = digest.first_chunk::<8>()?;
    Some(u64::from_be_bytes(*head))
}
