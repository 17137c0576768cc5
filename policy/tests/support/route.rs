//! Models and runner reports for routing tests.

use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{HeldRange, ModelSpec, RouteRequest, RunnerReport};

pub fn model_id() -> ModelId {
    ModelId::from_u32(0)
}

pub fn model(layers: u32) -> ModelSpec {
    ModelSpec {
        name: "m".into(),
        layers,
        nanos_per_layer: 1_000,
        activation_bytes: 1_000,
    }
}

/// Returns the first report of a runner in domain `d` with a speed of 1,000 token-layers per
/// second.
pub fn report(name: &str, start: u32, end: u32) -> RunnerReport {
    RunnerReport {
        name: name.into(),
        incarnation: 1,
        number: 1,
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".into(),
        accelerator: "kind".into(),
        holds: vec![HeldRange {
            model: "m".into(),
            layers: LayerRange::new(start, end),
        }],
        token_layers_per_s: 1_000.0,
        running: 0,
        queued: 0,
        leaving: false,
        age_ms: 0,
    }
}

/// Returns a request for a route that excludes the runners in `avoid`.
pub fn request(avoid: &[RunnerId]) -> RouteRequest<'_> {
    RouteRequest {
        model: model_id(),
        prefix_hash: None,
        prompt_tokens: 100,
        max_tokens: 50,
        avoid,
    }
}
