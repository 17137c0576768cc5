//! Error type of the kernel.

use derive_more::{Display, Error, From};
use jacinthweir_clients::ClientError;
use jacinthweir_document::Fault;

use crate::sockets::BindError;

/// Error that prevents the instance from starting or ends it.
#[derive(Debug, Display, Error, From)]
pub enum KernelError {
    /// The settings file cannot be read.
    #[display("{path}: {cause}")]
    #[from(ignore)]
    Unreadable {
        /// File.
        path: String,
        /// Cause.
        cause: std::io::Error,
    },
    /// The settings are not valid.
    #[display("{path}: {}", list(faults))]
    #[from(ignore)]
    Settings {
        /// File.
        path: String,
        /// All faults found.
        faults: Vec<Fault>,
    },
    /// A listener cannot be bound.
    #[display("{_0}")]
    Listen(BindError),
    /// Logs, metrics or signal handlers cannot be set up.
    #[display("cannot set up {what}: {cause}")]
    #[from(ignore)]
    SetUp {
        /// Component that failed to start.
        what: &'static str,
        /// Cause.
        cause: String,
    },
    /// A client cannot be built.
    #[display("{_0}")]
    Client(ClientError),
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
