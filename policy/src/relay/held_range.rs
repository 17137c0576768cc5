//! Range of a model's layers that a runner says it holds.
//!
//! Invariant: a [`HeldRange`] is not empty and ends at [`MAX_LAYERS`] at most, whatever its source is. The
//! work of a plan grows with the length of the ranges, so one that is decoded without a bound can occupy
//! the process for hours.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::layers::MAX_LAYERS;

/// A half-open range of layers, at least one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{from}..{to}")]
#[serde(try_from = "(u32, u32)", into = "(u32, u32)")]
pub struct HeldRange {
    from: u32,
    to: u32,
}

/// The bounds are not those of a range of layers.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{from}..{to} is no range of at most {MAX_LAYERS} layers")]
pub struct NoLayerRange {
    from: u32,
    to: u32,
}

impl HeldRange {
    /// Returns the range `from..to`.
    ///
    /// # Errors
    /// The range is empty, or ends beyond [`MAX_LAYERS`].
    pub fn new(from: u32, to: u32) -> Result<HeldRange, NoLayerRange> {
        match from < to && to <= MAX_LAYERS {
            true => Ok(HeldRange { from, to }),
            false => Err(NoLayerRange { from, to }),
        }
    }

    /// Returns the first layer and the end, exclusive.
    #[must_use]
    pub fn bounds(self) -> (u32, u32) {
        (self.from, self.to)
    }

    /// Returns the number of layers.
    #[must_use]
    pub fn count(self) -> u32 {
        self.to - self.from
    }

    /// Returns whether all layers are among those of a model of `layers` layers.
    #[must_use]
    pub fn is_within(self, layers: u32) -> bool {
        self.to <= layers
    }
}

impl TryFrom<(u32, u32)> for HeldRange {
    type Error = NoLayerRange;

    fn try_from((from, to): (u32, u32)) -> Result<HeldRange, NoLayerRange> {
        HeldRange::new(from, to)
    }
}

impl From<HeldRange> for (u32, u32) {
    fn from(range: HeldRange) -> (u32, u32) {
        range.bounds()
    }
}
