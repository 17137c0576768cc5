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

impl LayerRange {
    /// Creates the range `[start, end)`.
    pub fn new(start: u32, end: u32) -> Self {
        Self { start, end }
    }

    /// Returns the number of layers.
    pub fn count(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains no layers.
    pub fn is_empty(self) -> bool {
        self.end <= self.start
    }

    /// Returns whether the range contains every layer of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}
