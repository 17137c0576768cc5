//! The one error type of the test kit.

use derive_more::{Display, Error, From};

/// What can go wrong in the test kit.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket or a file failed.
    #[display("input or output: {_0}")]
    Io(std::io::Error),
    /// A call over HTTP failed.
    #[display("call: {_0}")]
    Http(reqwest::Error),
    /// A JSON text does not fit.
    #[display("JSON: {_0}")]
    Json(serde_json::Error),
    /// Anything else, in one sentence.
    #[display("{_0}")]
    #[from(skip)]
    Other(#[error(not(source))] String),
}

/// The test kit's result.
pub type Result<T> = std::result::Result<T, Error>;
