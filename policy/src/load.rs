//! Load reports of model runners.

use derive_more::{Display, Error};

use crate::layers::LayerRange;
use crate::time::Name;
use serde::{Deserialize, Serialize};

/// Load report of a runner; lags behind its actual state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the runner.
    pub runner: Name,
    /// Incarnation of the runner.
    pub incarnation: u64,
    /// Report number; increases within an incarnation.
    pub number: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held.
    pub holds: Vec<HeldLayers>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Maximum speed, in token-layers per second.
    pub token_layers_per_s: f64,
    /// Recent throughput, in token-layers per second.
    pub busy_token_layers_per_s: f64,
    /// Whether the runner is shutting down.
    pub leaving: bool,
    /// Whether the runner rejects outdated fencing tokens.
    pub checks_fencing: bool,
    /// Highest fencing token received.
    pub fencing: u64,
}

/// Largest numbers of a report: of counts and times, of requests, of ranges held, and of a speed in
/// token-layers per second. Sums of them over a fleet can be represented.
const MAX_COUNT: u64 = (1 << 53) - 1;
const MAX_REQUESTS: u32 = 1_000_000;
const MAX_RANGES: usize = 1_000;
const MAX_SPEED: f64 = 1e12;

/// A number of a report is out of range.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{field} is out of range")]
pub struct ReportOutOfRange {
    /// Name of the field.
    #[error(not(source))]
    pub field: &'static str,
}

impl LoadReport {
    /// Returns the report if all of its numbers are in range. A report that another process sent drives
    /// sums and plans only after that.
    ///
    /// # Errors
    /// Returns the first field that is not.
    pub fn checked(self) -> Result<LoadReport, ReportOutOfRange> {
        let is_count = |number: u64| number <= MAX_COUNT;
        let is_speed = |speed: f64| (0.0..=MAX_SPEED).contains(&speed);
        let checks = [
            ("incarnation", is_count(self.incarnation)),
            ("number", is_count(self.number)),
            ("age_ms", is_count(self.age_ms)),
            ("fencing", is_count(self.fencing)),
            ("running", self.running <= MAX_REQUESTS),
            ("queued", self.queued <= MAX_REQUESTS),
            ("holds", self.holds.len() <= MAX_RANGES),
            ("token_layers_per_s", is_speed(self.token_layers_per_s)),
            (
                "busy_token_layers_per_s",
                is_speed(self.busy_token_layers_per_s),
            ),
        ];
        match checks.into_iter().find(|(_, in_range)| !in_range) {
            Some((field, _)) => Err(ReportOutOfRange { field }),
            None => Ok(self),
        }
    }
}

/// Layers of a model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLayers {
    /// Model name.
    pub model: Name,
    /// Layers.
    pub layers: LayerRange,
}
