//! Errors of the commands.

use derive_more::{Display, Error};
use jacinthweir_wire::operator::{ApplyRefused, Fault};

/// Reason why a command failed.
#[derive(Clone, Debug, Display, Error)]
pub enum CtlError {
    /// The command line or the environment is incomplete or invalid.
    #[display("{message}")]
    Usage {
        /// What is missing or invalid.
        message: String,
    },
    /// A file cannot be read or written.
    #[display("{path}: {cause}")]
    File {
        /// Path of the file.
        path: String,
        /// Underlying error.
        cause: String,
    },
    /// A schema file failed validation.
    #[display("{path} has {} faults", faults.len())]
    InvalidSchema {
        /// Path of the file.
        path: String,
        /// All faults found.
        faults: Vec<Fault>,
    },
    /// The token is missing or wrong.
    #[display("the operators' token is missing or wrong")]
    Unauthorized,
    /// The server refused the apply and gave the reason.
    #[display("refused")]
    Refused(#[error(not(source))] ApplyRefused),
    /// The requested item is not available: the server answered with an error message, or no
    /// instance is known.
    #[display("{message}")]
    NotAvailable {
        /// Message for the operator.
        message: String,
    },
    /// The connection to the server failed, so the call had no effect.
    #[display("{server} is not reached: {cause}")]
    NotConnected {
        /// Address of the server.
        server: String,
        /// Underlying error.
        cause: String,
    },
    /// The server sent no response or one that cannot be decoded, so it is unknown whether the call
    /// had an effect.
    #[display("no answer from {server}: {cause}")]
    NoAnswer {
        /// Address of the server.
        server: String,
        /// Underlying error.
        cause: String,
        /// Change id with which an apply can be retried.
        change: Option<String>,
    },
    /// The revision is committed, but was not in force on every live instance within the time
    /// limit.
    #[display("revision {revision} is committed; not yet in force on: {}", lagging.join(", "))]
    RolloutIncomplete {
        /// Committed revision.
        revision: u64,
        /// Live instances on which it is not yet in force, or the error of the last status poll.
        lagging: Vec<String>,
    },
}
