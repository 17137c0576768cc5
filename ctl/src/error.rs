//! What can go wrong.

use derive_more::{Display, Error};
use jacinthweir_wire::operator::{ApplyRefused, Fault};

/// A command did not do what it was asked for.
#[derive(Clone, Debug, Display, Error)]
pub enum CtlError {
    /// The command line lacks something.
    #[display("{message}")]
    Usage {
        /// What.
        message: String,
    },
    /// A file cannot be read.
    #[display("{path}: {cause}")]
    File {
        /// File.
        path: String,
        /// Cause.
        cause: String,
    },
    /// A schema file has faults.
    #[display("{path} has {} faults", faults.len())]
    Faults {
        /// File.
        path: String,
        /// Every fault found.
        faults: Vec<Fault>,
    },
    /// The token is missing or wrong.
    #[display("the operators' token is missing or wrong")]
    Unauthorized,
    /// The server refused, and says why.
    #[display("refused")]
    Refused(#[error(not(source))] ApplyRefused),
    /// What was asked for is not there.
    #[display("{message}")]
    Absent {
        /// What.
        message: String,
    },
    /// The server was not reached: the call had no effect.
    #[display("{server} is not reached: {cause}")]
    NoEffect {
        /// Server.
        server: String,
        /// Cause.
        cause: String,
    },
    /// The server gave no answer, or none that can be understood: whether the call had an effect
    /// is not known.
    #[display("no answer from {server}: {cause}")]
    NoAnswer {
        /// Server.
        server: String,
        /// Cause.
        cause: String,
        /// Change id to ask again with, for an apply.
        change: Option<String>,
    },
    /// Committed, but not in force everywhere within the time.
    #[display("revision {revision} is committed; not yet in force on: {}", lagging.join(", "))]
    NotEverywhere {
        /// Revision.
        revision: u64,
        /// Live instances without it.
        lagging: Vec<String>,
    },
}
