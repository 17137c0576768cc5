//! The head of the configuration: the one object that a commit changes.

use crate::time::Name;
use serde::{Deserialize, Serialize};

/// The one object that a commit changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each commit.
    pub revision: u64,
    /// Newest commit first; the first is the commit of this head. Bounded.
    pub history: Vec<Commit>,
    /// Parts of the schema.
    pub parts: Vec<PartRef>,
}

/// One commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Revision it made.
    pub revision: u64,
    /// Change id, chosen by the operator's tool: asking again with the same id is idempotent.
    pub change: Name,
    /// Who.
    pub operator: Name,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
    /// Hash over the hashes of the schema's parts: names what was committed.
    pub content: Name,
    /// Summary of the difference, one line each; bounded.
    pub summary: Vec<String>,
}

/// A part of the schema, immutable and named by its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// SHA-256 of its text, as hexadecimal digits.
    pub hash: Name,
    /// Size in bytes.
    pub bytes: u64,
}
