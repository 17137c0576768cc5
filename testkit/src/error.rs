//! Error type of the test kit.

use derive_more::{Display, Error, From};

/// Errors of the test kit.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Socket or file I/O error.
    #[display("input or output: {_0}")]
    Io(std::io::Error),
    /// HTTP client error.
    #[display("call: {_0}")]
    Http(reqwest::Error),
    /// JSON parsing or serialisation error.
    #[display("JSON: {_0}")]
    Json(serde_json::Error),
    /// Any other error, as a one-sentence message.
    #[display("{_0}")]
    #[from(skip)]
    Other(#[error(not(source))] String),
}

/// Result type of the test kit.
pub type Result<T> = std::result::Result<T, Error>;
