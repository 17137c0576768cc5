//! Events of a request.

use crate::prelude::*;
use derive_more::Display;

/// Something that happened to a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Event {
    /// The request was read completely and parsed.
    #[display("received")]
    Received,
    /// The request is queued.
    #[display("queued")]
    Queued,
    /// The request was admitted and may be sent to an upstream.
    #[display("admitted")]
    Admitted,
    /// This instance holds the claim on the request's idempotency key.
    #[display("claimed")]
    Claimed,
    /// An attempt is dispatched to an upstream. Recorded before the first byte may be sent.
    #[display("attempt {attempt} handed to {upstream}")]
    Dispatched {
        /// Attempt number.
        attempt: u32,
        /// Name of the upstream.
        upstream: Name,
    },
    /// The connection of the attempt was never opened, so no byte of it was sent.
    ///
    /// Recorded only if the connector itself reported that there is no connection: refused, no
    /// route, or its own time-out, which closes the socket before any request is written. A
    /// time-out or cancellation *around* the whole call does not show how far the connect
    /// progressed and is recorded as [`Event::Lost`].
    #[display("attempt {attempt} never sent: no connection")]
    NeverSent {
        /// Attempt number.
        attempt: u32,
    },
    /// The upstream reported that it refused the attempt before running any part of it.
    #[display("attempt {attempt} refused by the upstream before it ran")]
    RefusedByUpstream {
        /// Attempt number.
        attempt: u32,
    },
    /// The attempt has given no frame for long enough that another may be dispatched beside it.
    #[display("attempt {attempt} is silent")]
    Silent {
        /// Attempt number.
        attempt: u32,
    },
    /// A token was accepted for the caller. Counted, but not stored as a step.
    #[display("attempt {attempt} gave token {index}")]
    Token {
        /// Attempt number.
        attempt: u32,
        /// Index in the answer over all attempts, from 0.
        index: u32,
    },
    /// The upstream sent the end of the answer.
    #[display("attempt {attempt} ended{}", total_tokens_suffix(*tokens))]
    Ended {
        /// Attempt number.
        attempt: u32,
        /// Tokens of the answer, including those of earlier attempts; 0 for a plain service.
        tokens: u32,
    },
    /// The upstream reported that the attempt ran partially and failed.
    #[display("attempt {attempt} broke off: {cause}")]
    Broken {
        /// Attempt number.
        attempt: u32,
        /// Short description of the cause.
        cause: Name,
    },
    /// The connection of the attempt failed or its answer was lost.
    #[display("attempt {attempt} lost: {cause}")]
    Lost {
        /// Attempt number.
        attempt: u32,
        /// Short description of the cause.
        cause: Name,
    },
    /// The outcome was read from the claim record of an earlier submission with the same
    /// idempotency key.
    #[display("outcome {outcome} taken from the claim's record")]
    Recorded {
        /// Outcome of the earlier submission.
        outcome: Outcome,
    },
    /// This instance refused the request.
    #[display("refused: {code}")]
    Refused {
        /// Stable error code sent to the caller.
        code: Name,
    },
    /// The caller disconnected.
    #[display("caller left")]
    CallerLeft,
    /// The caller's deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The final outcome was decided.
    #[display("closed: {outcome}")]
    Closed {
        /// The outcome.
        outcome: Outcome,
    },
}

/// A recorded event with its time.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{at_ms} {event}")]
pub struct Step {
    /// Unix time, in milliseconds.
    pub at_ms: Millis,
    /// The event.
    pub event: Event,
}

/// Formats the number of tokens of the answer; empty for a plain service, which has none.
fn total_tokens_suffix(tokens: u32) -> String {
    match tokens {
        0 => String::new(),
        n => format!(" with {n} tokens in all"),
    }
}
