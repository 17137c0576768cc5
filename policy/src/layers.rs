//! Ranges of a model's layers.

use serde::{Deserialize, Serialize};

/// Maximum number of layers of a model.
pub const MAX_LAYERS: u32 = 10_000;

/// Half-open range of layers `[start, end)`. One that is decoded ends at [`MAX_LAYERS`] at most.
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
#[serde(try_from = "UncheckedRange")]
pub struct LayerRange {
    /// First layer.
    pub start: u32,
    /// One past the last layer.
    pub end: u32,
}

/// A range as another process sent it.
#[derive(Deserialize)]
struct UncheckedRange {
    start: u32,
    end: u32,
}

/// A range goes beyond [`MAX_LAYERS`] or ends before it begins.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("{start}..{end} is no range of at most {MAX_LAYERS} layers")]
pub struct LayersOutOfRange {
    start: u32,
    end: u32,
}

impl TryFrom<UncheckedRange> for LayerRange {
    type Error = LayersOutOfRange;

    fn try_from(range: UncheckedRange) -> Result<LayerRange, LayersOutOfRange> {
        let UncheckedRange { start, end } = range;
        match start <= end && end <= MAX_LAYERS {
            true => Ok(LayerRange { start, end }),
            false => Err(LayersOutOfRange { start, end }),
        }
    }
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
