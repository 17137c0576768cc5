//! Load reports of model runners.

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

/// Layers of a model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLayers {
    /// Model name.
    pub model: Name,
    /// Layers.
    pub layers: LayerRange,
}
