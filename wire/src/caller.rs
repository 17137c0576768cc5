//! Messages to and from callers: a completion protocol compatible with common client libraries, the
//! entry answer and the common error format.

pub use jacinthweir_policy::entry::{EntryAddress, EntryAnswer};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions`. Other fields of the protocol are accepted and ignored,
/// since client libraries send many of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Pipeline name.
    pub model: Name,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Pipeline name.
    pub model: Name,
    /// Text to be continued.
    pub prompt: String,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// A complete chat or text completion, or one event of a streamed one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Request id.
    pub id: Name,
    /// `chat.completion`, `chat.completion.chunk` or `text_completion`.
    pub object: String,
    /// Unix time in seconds.
    pub created: u64,
    /// Pipeline name.
    pub model: Name,
    /// Choices; always exactly one.
    pub choices: Vec<Choice>,
    /// Token counts; in a stream, only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Final outcome; in a stream, only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// The only choice of a completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Complete chat message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Next fragment of a chat message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Text of a text completion: complete, or the next fragment in a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Reason why generation ended: `stop` or `length`.
    #[serde(default)]
    pub finish_reason: Option<FinishReason>,
}

/// Next fragment of a chat message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Next fragment of the text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Reason why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// Common format of all errors, as a response body or as the last event of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// One error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable machine-readable code.
    pub code: ErrorCode,
    /// One-sentence description.
    pub message: String,
    /// Final outcome.
    pub outcome: Outcome,
    /// Request id, if one was assigned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// Time to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Stable error codes. docs/CALLERS.md lists status and outcome of each.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ErrorCode {
    /// 400: malformed body, header or field.
    BadRequest,
    /// 401: missing or wrong key.
    Unauthorized,
    /// 404: no such pipeline, service, call or path.
    NotFound,
    /// 405: the path does not take this method.
    MethodNotAllowed,
    /// 408: the request was not received completely in time.
    RequestTimeout,
    /// 413: body too large.
    TooLarge,
    /// 409: the idempotency key was used for another body or is held by another claim.
    KeyConflict,
    /// 409: a call with the same idempotency key is still running.
    StillRunning,
    /// 410: the idempotency key is older than the retention period of claims.
    KeyExpired,
    /// 429: the limit of the organisation is reached.
    OrganisationLimit,
    /// 429 or 503: the queue is full or the deadline cannot be met.
    Overloaded,
    /// 503: no chain of stages or no upstream is available.
    NoCapacity,
    /// 503: upstreams crash when they run the request, or requests with one of its messages.
    Quarantined,
    /// 503: the platform cannot be reached and the call is not idempotent.
    PlatformDown,
    /// 503: this instance has no confirmed configuration.
    NoConfiguration,
    /// 503: this instance is shutting down.
    Draining,
    /// 502: the upstream failed after the request ran partially.
    UpstreamFailed,
    /// 504: the deadline passed after the request ran partially.
    DeadlineExceeded,
    /// 504: a non-idempotent call was sent and its answer was lost.
    OutcomeUnknown,
    /// 500: internal error of this instance.
    Internal,
}
