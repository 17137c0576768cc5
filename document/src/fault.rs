//! One fault of a document.

use serde::{Deserialize, Serialize};

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("line {line}: {field}: {message}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Path of the field, as `models[0].layers`.
    pub field: String,
    /// What is wrong.
    pub message: String,
}
