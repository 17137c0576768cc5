//! Allowed inflow of a chain.
//!
//! Load pattern: instances that know a chain's occupancy late all send to it while it looks empty and
//! stop when it is known to be overfull. The flow into a chain is therefore what it releases, and what
//! closes the distance to its target occupancy within several times the delay of the figures. Such a
//! controller does not oscillate.

use super::flow_meter::HeadFlow;
use crate::prelude::*;

/// Time in which the distance to the target occupancy is closed, as a multiple of the age of the
/// figures. The control does not oscillate above the base of the natural logarithm, 2.72.
const CLOSING_AGES: f64 = 3.0;

/// Minimum of that time, in seconds.
const MIN_CLOSING_S: f64 = 1.0;

/// Share of refused tokens above which a chain's target falls.
const REFUSED_SHARE: f64 = 0.02;

/// Speed at which the target falls with the refused share, and rises otherwise, per second.
const FALL_PER_S: f64 = 0.5;
const RISE_PER_S: f64 = 0.1;

/// Lower bound of the factor that refusals apply to the target.
const MIN_REFUSAL_FACTOR: f64 = 0.6;

/// Mean gap between events, as a share of the smallest gap objective, up to which a chain is filled to
/// its target and from which on it gets the least. The longest gap of a stream is 1.6 times the mean
/// of its chain.
const TIMELY_GAP: f64 = 0.5;
const LATE_GAP: f64 = 0.75;

/// Lower bound of the factor that gaps apply to the target.
const MIN_TIMELINESS: f64 = 0.1;

/// Occupancy target of a chain, as adapted to observed refusals.
#[derive(Clone, Copy, Debug)]
pub struct ChainTarget {
    refusal_factor: f64,
    updated_ms: Option<Millis>,
}

impl Default for ChainTarget {
    fn default() -> Self {
        ChainTarget {
            refusal_factor: 1.0,
            updated_ms: None,
        }
    }
}

impl ChainTarget {
    /// Adapts the target to the share of tokens that the chain's runners refuse.
    ///
    /// Load pattern: answers are longer than estimated, so that runners run out of memory below the
    /// estimated room. Each of a hundred instances sees a few refusals; their sum shows it to all.
    pub fn update(&mut self, now: Millis, refused_share: f64) {
        let passed_s = self
            .updated_ms
            .map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e3);
        self.updated_ms = Some(now);
        let change = if refused_share > REFUSED_SHARE {
            -FALL_PER_S * refused_share
        } else {
            RISE_PER_S
        };
        let factor = self.refusal_factor + change * passed_s;
        self.refusal_factor = factor.clamp(MIN_REFUSAL_FACTOR, 1.0);
    }

    /// Returns the factor from 0 to 1 that refusals apply to the target.
    #[must_use]
    pub fn refusal_factor(&self) -> f64 {
        self.refusal_factor
    }
}

/// Returns the factor from 0 to 1 that the mean gap between events, as a share of the smallest gap
/// objective, applies to the target of a chain.
///
/// Load pattern: chains differ in speed by a factor of six. A slow chain that is filled like a fast
/// one has room left while the gaps of all its streams exceed the objective.
#[must_use]
pub fn timeliness(gap_share: f64) -> f64 {
    let left = (LATE_GAP - gap_share) / (LATE_GAP - TIMELY_GAP);
    left.clamp(MIN_TIMELINESS, 1.0)
}

/// Returns the tokens per second that all instances together may send to a chain whose occupancy is
/// `used_tokens`, given figures that are `age_ms` old.
#[must_use]
pub fn allowed(flow: &HeadFlow, target_tokens: f64, used_tokens: f64, age_ms: Millis) -> f64 {
    let closing_s = (age_ms as f64 / 1e3 * CLOSING_AGES).max(MIN_CLOSING_S);
    let inflow = f64::from(flow.released) + (target_tokens - used_tokens) / closing_s;
    inflow.max(0.0)
}
