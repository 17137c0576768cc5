//! Ranges of a model's layers.

use serde::{Deserialize, Serialize};

/// Half-open range of layers `[start, end)`.
#[derive(
    Clone,
    Copy,
    Debug,
    derive_more::Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{start}..{end}")]
pub struct LayerRange {
    /// First layer.
    pub start: u32,
    /// One past the last layer.
    pub end: u32,
}
