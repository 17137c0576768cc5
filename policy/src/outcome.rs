//! The four final outcomes of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What became of a request. Closed: each request ends in exactly one of these.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was given: its end was seen, its request and attempt matched.
    #[display("answered")]
    Answered,
    /// Nothing of the request ran: no attempt was handed to an upstream, or each one was refused
    /// by the upstream itself before it ran.
    #[display("not_run")]
    NotRun,
    /// It ran in part and was not, or could not be, repeated.
    #[display("failed")]
    Failed,
    /// A non-idempotent call was sent and its answer is lost: it may have run.
    #[display("unknown")]
    Unknown,
}
