//! Final outcomes of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Final outcome of a request. Each request ends in exactly one of these.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was delivered: its end was received, and the request and
    /// attempt matched.
    #[display("answered")]
    Answered,
    /// Nothing of the request ran: no attempt was handed to an upstream, or the upstream itself
    /// refused each one before it ran.
    #[display("not_run")]
    NotRun,
    /// The request ran in part and was not, or could not be, retried.
    #[display("failed")]
    Failed,
    /// A non-idempotent call was sent and its answer was lost, so it may have run.
    #[display("unknown")]
    Unknown,
}
