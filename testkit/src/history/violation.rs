//! Violations that the checks report.

use derive_more::Display;
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::LayerRange;

/// Violation of a guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// Layers of one token ran twice or out of order in one attempt.
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
    /// No attempt ran all layers of a token that the caller received.
    #[display("{request} token {index}: no attempt ran every layer once")]
    TokenNotCovered {
        /// Request id.
        request: Name,
        /// Token index.
        index: u32,
    },
    /// An answer reported as complete is not the expected one.
    #[display("submission {number} ({request}): answered with the wrong text")]
    WrongAnswer {
        /// Submission.
        number: u64,
        /// Request id.
        request: Name,
    },
    /// A partial answer is not a prefix of the expected one.
    #[display("submission {number} ({request}): received text of another answer")]
    MismatchedPrefix {
        /// Submission.
        number: u64,
        /// Request id.
        request: Name,
    },
    /// A request reported as not run did run.
    #[display("submission {number} ({request}): reported as not run, but ran on {upstream}")]
    RanDespiteNotRun {
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
        /// Idempotency key, or the body if the caller gave none.
        name: String,
        /// Number of runs.
        times: usize,
    },
    /// Submissions with the same key got different answers.
    #[display("key {key}: submissions got different answers")]
    AnswersDiffer {
        /// Key.
        key: String,
    },
    /// A call reported as answered did not run.
    #[display("submission {number}: reported as answered, but key {key} never ran")]
    AnsweredButNeverRan {
        /// Submission.
        number: u64,
        /// Key.
        key: String,
    },
    /// New work reached an upstream too long after its leaving notice.
    #[display("{upstream}: {request} arrived {late_ms} ms after the leaving notice")]
    NewWorkAfterLeaving {
        /// Upstream.
        upstream: Name,
        /// Request id.
        request: Name,
        /// Time since the notice, in milliseconds.
        late_ms: u64,
    },
    /// A graceful shutdown interrupted a request or did not exit with code 0.
    #[display("{instance}: graceful shutdown, but {what}")]
    InterruptedByShutdown {
        /// Instance.
        instance: Name,
        /// What happened.
        what: String,
    },
    /// The revision in force on an instance decreased.
    #[display("{instance}: revision decreased from {from} to {to}")]
    RevisionDecreased {
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
    /// Two changes were acknowledged with the same revision.
    #[display("revision {revision} was acknowledged for changes {one} and {other}")]
    DuplicateRevision {
        /// Revision.
        revision: u64,
        /// One change id.
        one: Name,
        /// The other change id.
        other: Name,
    },
}
