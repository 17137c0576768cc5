//! What a model runner reports of itself; it lags behind.

use crate::layers::LayerRange;
use crate::time::Name;
use serde::{Deserialize, Serialize};

/// Load of a runner; lags behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Runner's name.
    pub runner: Name,
    /// Runner's incarnation.
    pub incarnation: u64,
    /// Report number, growing within an incarnation.
    pub number: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held.
    pub holds: Vec<HeldLayers>,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Token-layers a second this runner can do.
    pub token_layers_per_s: f64,
    /// Token-layers a second it did lately.
    pub busy_token_layers_per_s: f64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it refuses an old fencing number.
    pub checks_fencing: bool,
    /// Greatest fencing number seen.
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
