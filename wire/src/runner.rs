//! Model runners: engines that hold a range of layers and pass activations on themselves.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/run` | body [`RunRequest`], to the first stage; answer: one [`Frame`] as JSON a line; or 429/503 with [`Refused`] before anything ran |
//! | `POST /v1/stage` | between runners: [`StageRequest`], answer [`StageReply`] |
//! | `POST /v1/cancel` | body [`CancelRequest`] |
//! | `GET /v1/load` | [`LoadReport`]: lags behind |
//! | `GET /v1/cache-events?after=SEQ` | [`CacheEvents`]: late and with gaps |
//! | `POST /v1/kv/export`, `/v1/kv/import` | [`KvRequest`] |
//! | `POST /v1/orders` | body [`Order`]; 409 with [`Fenced`] where an old number is checked and refused |

pub use jacinthweir_policy::layers::LayerRange;
pub use jacinthweir_policy::load::{HeldLayers, LoadReport};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Runner's name.
    pub runner: Name,
    /// Runner's address.
    pub address: SocketAddr,
    /// Layers it is to run.
    pub layers: LayerRange,
}

/// Generate tokens along a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunRequest {
    /// Request id.
    pub request: Name,
    /// Attempt number, from 1; a runner never runs the same attempt twice.
    pub attempt: u32,
    /// Model name.
    pub model: Name,
    /// Stages in order; the first is the addressee.
    pub route: Vec<Stage>,
    /// The prompt.
    pub prompt: String,
    /// Text of the tokens that the caller already has from earlier attempts, in order.
    pub resume: Vec<String>,
    /// The most tokens of the whole answer, resumed ones counted.
    pub max_tokens: u32,
    /// Priority class, 0 first.
    pub priority: u8,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Runner to import the KV cache of the resumed tokens from; absent: prefill again.
    #[serde(default)]
    pub kv_from: Option<SocketAddr>,
}

/// One line of the answer to a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// One token.
    Token(TokenFrame),
    /// The answer is whole.
    End(EndFrame),
    /// The attempt broke off; tokens may have been given.
    Broken(BrokenFrame),
}

/// One token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenFrame {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Index in the answer, resumed tokens counted, from 0.
    pub index: u32,
    /// Text.
    pub text: String,
    /// What ran it, in order.
    pub ran: Vec<RanRange>,
}

/// One runner's part of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanRange {
    /// Runner's name.
    pub runner: Name,
    /// Layers it ran.
    pub layers: LayerRange,
}

/// The answer is whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndFrame {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Number of tokens of the whole answer.
    pub tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Why it ended.
    pub finish: crate::caller::FinishReason,
}

/// The attempt broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenFrame {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Runner at fault, where known.
    pub runner: Option<Name>,
    /// Cause in one sentence.
    pub cause: String,
}

/// A refusal before anything of the attempt ran, here or further down the route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Cause.
    pub code: RefusedCode,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Runner that refused, or that can't be reached; absent: the addressee.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runner: Option<Name>,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedCode {
    /// The queue is full.
    Busy,
    /// The runner is leaving.
    Leaving,
    /// The runner does not hold the layers.
    NotHeld,
    /// The attempt was run or cancelled before.
    Stale,
    /// The route does not fit together.
    BadRoute,
    /// A later stage of the route can't be reached.
    Unreachable,
}

/// Run one token through the rest of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Token index.
    pub index: u32,
    /// Tokens to run through: 1, or the number of the prompt and the resumed tokens for a prefill;
    /// 0: take a place for the attempt along the route, running nothing.
    pub tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first, for a prefill; the first is its
    /// [`prefix_hash`], what the others are is the runners' own matter.
    #[serde(default)]
    pub prefix: Vec<u64>,
    /// Runner to import the KV cache from, for a prefill; absent: run the tokens again.
    #[serde(default)]
    pub kv_from: Option<SocketAddr>,
    /// Model name.
    pub model: Name,
    /// Rest of the route; the first is the addressee.
    pub route: Vec<Stage>,
    /// Priority class, 0 first.
    pub priority: u8,
}

/// What ran, from the addressee on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageReply {
    /// In order.
    pub ran: Vec<RanRange>,
}

/// Stop an attempt: it runs no further token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request id.
    pub request: Name,
    /// Attempt number; this one and all lower ones are stopped.
    pub attempt: u32,
}

/// Cache events since a number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order; a jump in `number` is a gap.
    pub events: Vec<CacheEvent>,
    /// Newest number.
    pub newest: u64,
}

/// One prefix came into or left the cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number.
    pub number: u64,
    /// Hash of the prefix: [`prefix_hash`].
    pub prefix: u64,
    /// In or out.
    pub cached: bool,
}

/// Export from, or import into, a runner's KV cache. An export answers with the number of tokens
/// that it covers, or 404.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvRequest {
    /// Request id.
    pub request: Name,
    /// Model name.
    pub model: Name,
    /// Layers.
    pub layers: LayerRange,
    /// Tokens covered.
    pub tokens: u32,
}

/// A wanted state of a runner; may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease it is given under.
    pub fencing: u64,
    /// What is wanted.
    pub wanted: Wanted,
}

/// What an order wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// Hold these layers.
    Hold(HeldLayers),
    /// Do not hold these layers.
    Drop(HeldLayers),
}

/// An order was refused for its old fencing number.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fenced {
    /// Greatest number seen.
    pub fencing: u64,
}

/// Bytes of a prompt that make its prefix, as far as cache events name it.
pub const PREFIX_BYTES: usize = 64;

/// Hash of a prompt's prefix, as runners name it in cache events: the first eight bytes, big
/// endian, of the SHA-256 of the prompt's first [`PREFIX_BYTES`] bytes. `None`: the prompt is
/// shorter, and runners do not report it.
#[must_use]
pub fn prefix_hash(prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let digest = Sha256::digest(prefix);
    let head = digest.first_chunk::<8>()?;
    Some(u64::from_be_bytes(*head))
}
