//! The configuration head, the single mutable object of the configuration.

use crate::time::Name;
use serde::{Deserialize, Serialize};

/// The configuration head, which every commit replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision, incremented by one with each commit.
    pub revision: u64,
    /// Bounded history, newest first; the first entry is the commit of this head.
    pub history: Vec<Commit>,
    /// Parts of the schema.
    pub parts: Vec<PartRef>,
}

/// A commit in the history of a head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Revision that it created.
    pub revision: u64,
    /// Change id chosen by the operator's tool; a retry with the same id is idempotent.
    pub change: Name,
    /// Name of the operator.
    pub operator: Name,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Hash over the hashes of the schema's parts, which identifies the committed content.
    pub content: Name,
    /// Bounded summary of the difference, one line per changed item.
    pub summary: Vec<String>,
}

/// A reference to an immutable, content-addressed part of the schema.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// SHA-256 of its text in hexadecimal.
    pub hash: Name,
    /// Size in bytes.
    pub bytes: u64,
}
