//! What a check can find.

use derive_more::Display;
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::LayerRange;

/// One violation of a promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// Layers of one token ran twice in one attempt.
    #[display("{request} attempt {attempt} token {index}: {layers} ran twice or out of order")]
    LayersOverlap {
        /// Request id.
        request: Name,
        /// Attempt number.
        attempt: u32,
        /// Token index.
        index: u32,
        /// Layers.
        layers: LayerRange,
    },
    /// No attempt ran all layers of a token that the caller has.
    #[display("{request} token {index}: no attempt ran every layer once")]
    TokenNotCovered {
        /// Request id.
        request: Name,
        /// Token index.
        index: u32,
    },
    /// An answer told as whole is not the right one.
    #[display("submission {number} ({request}): answered with the wrong text")]
    WrongAnswer {
        /// Submission.
        number: u64,
        /// Request id.
        request: Name,
    },
    /// A part of an answer is not the beginning of the right one.
    #[display("submission {number} ({request}): got a part of something else")]
    ForeignPart {
        /// Submission.
        number: u64,
        /// Request id.
        request: Name,
    },
    /// A request told as not run ran.
    #[display("submission {number} ({request}): told not run, but it ran at {upstream}")]
    RanThoughNotRun {
        /// Submission.
        number: u64,
        /// Request id.
        request: Name,
        /// Upstream.
        upstream: Name,
    },
    /// A non-idempotent call ran more than once.
    #[display("call {name}: ran {times} times")]
    RanTwice {
        /// Key, or request id where the caller gave none.
        name: String,
        /// How often.
        times: usize,
    },
    /// Two submissions with one key got different answers.
    #[display("key {key}: submissions got different answers")]
    AnswersDiffer {
        /// Key.
        key: String,
    },
    /// A call told as answered did not run.
    #[display("submission {number}: told answered, but key {key} never ran")]
    AnsweredButNeverRan {
        /// Submission.
        number: u64,
        /// Key.
        key: String,
    },
    /// New work reached an upstream long after it said that it leaves.
    #[display("{upstream}: {request} arrived {late_ms} ms after it said that it leaves")]
    NewWorkAfterLeaving {
        /// Upstream.
        upstream: Name,
        /// Request id.
        request: Name,
        /// How late, in milliseconds.
        late_ms: u64,
    },
    /// A graceful shutdown cut a request, or ended with another exit code than 0.
    #[display("{instance}: graceful shutdown, but {what}")]
    CutByShutdown {
        /// Instance.
        instance: Name,
        /// What happened.
        what: String,
    },
    /// The revision in force on an instance went back.
    #[display("{instance}: revision went back from {from} to {to}")]
    RevisionWentBack {
        /// Instance.
        instance: Name,
        /// Earlier revision.
        from: u64,
        /// Later revision.
        to: u64,
    },
    /// An accepted revision was not in force in time.
    #[display("{instance}: revision {revision}, accepted {late_ms} ms ago, is not in force")]
    NotInForce {
        /// Instance.
        instance: Name,
        /// Accepted revision.
        revision: u64,
        /// Time since it was accepted, in milliseconds.
        late_ms: u64,
    },
    /// Two changes were told the same revision.
    #[display("revision {revision} was told to changes {one} and {other}")]
    RevisionTwice {
        /// Revision.
        revision: u64,
        /// One change id.
        one: Name,
        /// The other.
        other: Name,
    },
}
