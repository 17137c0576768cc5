//! What can happen to a request.

use crate::prelude::*;
use derive_more::Display;

/// One thing that happened to a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Event {
    /// It came in whole and was understood.
    #[display("received")]
    Received,
    /// It waits for its turn.
    #[display("queued")]
    Queued,
    /// It may go on to an upstream.
    #[display("admitted")]
    Admitted,
    /// This instance holds its claim.
    #[display("claimed")]
    Claimed,
    /// An attempt goes to an upstream: recorded before the first byte may be sent.
    #[display("attempt {attempt} handed to {upstream}")]
    Dispatched {
        /// Attempt number.
        attempt: u32,
        /// Upstream's name.
        upstream: Name,
    },
    /// The attempt's connection was never opened, so that no byte of it left this instance.
    ///
    /// True only where the connector itself reported that there is no connection: refused, no
    /// route, or its own time-out, which closes the socket before any request is written. A
    /// time-out or cancellation *around* the whole call does not say how far the connect got;
    /// that is [`Event::Lost`].
    #[display("attempt {attempt} never sent: no connection")]
    NeverSent {
        /// Attempt number.
        attempt: u32,
    },
    /// The upstream refused the attempt before any of it ran, and said so itself.
    #[display("attempt {attempt} refused by the upstream before it ran")]
    RefusedByUpstream {
        /// Attempt number.
        attempt: u32,
    },
    /// A token was accepted for the caller. Counted, not listed.
    #[display("attempt {attempt} gave token {index}")]
    Token {
        /// Attempt number.
        attempt: u32,
        /// Index in the whole answer, from 0.
        index: u32,
    },
    /// The upstream gave the end of the answer.
    #[display("attempt {attempt} ended{}", total_tokens_suffix(*tokens))]
    Ended {
        /// Attempt number.
        attempt: u32,
        /// Tokens of the whole answer, those of earlier attempts counted; 0 for a plain service.
        tokens: u32,
    },
    /// The upstream itself says that the attempt ran in part and broke off.
    #[display("attempt {attempt} broke off: {cause}")]
    Broken {
        /// Attempt number.
        attempt: u32,
        /// Cause in a few words.
        cause: Name,
    },
    /// The connection or the answer of the attempt was lost.
    #[display("attempt {attempt} lost: {cause}")]
    Lost {
        /// Attempt number.
        attempt: u32,
        /// Cause in a few words.
        cause: Name,
    },
    /// The outcome comes from the record of an earlier submission with the same key.
    #[display("outcome {outcome} taken from the claim's record")]
    Recorded {
        /// Outcome of the earlier submission.
        outcome: Outcome,
    },
    /// This instance refused it.
    #[display("refused: {code}")]
    Refused {
        /// Stable error code, as the caller sees it.
        code: Name,
    },
    /// The caller went away.
    #[display("caller left")]
    CallerLeft,
    /// The caller's deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// Its final outcome was decided.
    #[display("closed: {outcome}")]
    Closed {
        /// The outcome.
        outcome: Outcome,
    },
}

/// One recorded event.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{at_ms} {event}")]
pub struct Step {
    /// Unix time, in milliseconds.
    pub at_ms: Millis,
    /// What happened.
    pub event: Event,
}

/// Tokens of a whole answer; nothing for a plain service, which has none.
fn total_tokens_suffix(tokens: u32) -> String {
    match tokens {
        0 => String::new(),
        n => format!(" with {n} tokens in all"),
    }
}
