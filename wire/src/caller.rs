//! Messages to and from callers: the field's usual completion protocol, the entry answer and the
//! one error form.

pub use jacinthweir_policy::entry::{EntryAddress, EntryAnswer};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

/// `POST /v1/chat/completions`. Fields of the usual protocol that the system does not act on are
/// accepted and ignored, as client libraries send many of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Pipeline name.
    pub model: Name,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether to answer by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user`, `assistant`.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Pipeline name.
    pub model: Name,
    /// The text to go on from.
    pub prompt: String,
    /// Whether to answer by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// A whole completion, chat or plain, or one event of a streamed one.
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
    /// Always one choice.
    pub choices: Vec<Choice>,
    /// Token counts; in a stream, in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Final outcome; in a stream, in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// The one choice of a completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Whole chat message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Next piece of a chat message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Plain text, whole or next piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Why the answer ended: `stop` or `length`.
    #[serde(default)]
    pub finish_reason: Option<FinishReason>,
}

/// Next piece of a chat message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Next piece of text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The most tokens were reached.
    Length,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

/// The one form of every error, as a body or as the last event of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// One error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code, for programs.
    pub code: ErrorCode,
    /// One sentence, for people.
    pub message: String,
    /// Final outcome.
    pub outcome: Outcome,
    /// Request id, where one was given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// When to come back, in milliseconds.
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
    /// 408: the request did not arrive whole in time.
    RequestTimeout,
    /// 413: body too large.
    TooLarge,
    /// 409: the idempotency key was used for another body, or is held by another claim.
    KeyConflict,
    /// 409: a call with the same idempotency key is still running.
    StillRunning,
    /// 410: the idempotency key is older than the retention of claims.
    KeyExpired,
    /// 429: the organisation's own limit is reached.
    OrganisationLimit,
    /// 429 or 503: queue full or deadline out of reach.
    Overloaded,
    /// 503: no chain of stages or no upstream is there.
    NoCapacity,
    /// 503: the platform cannot be reached and the call may not be repeated.
    PlatformDown,
    /// 503: this instance has no configuration that it can vouch for.
    NoConfiguration,
    /// 503: this instance is shutting down.
    Draining,
    /// 502: the upstream failed after the request had run in part.
    UpstreamFailed,
    /// 504: the deadline passed after the request had run in part.
    DeadlineExceeded,
    /// 504: a non-idempotent call was sent and its answer is lost.
    OutcomeUnknown,
    /// 500: a fault of this instance.
    Internal,
}
