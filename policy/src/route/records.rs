//! Inputs and outputs of the router.
//!
//! Plug-ins convert wire messages into these types, which do not depend on any protocol.

use crate::layers::LayerRange;
use crate::prelude::*;
use derive_more::{Display, Error};
use std::net::SocketAddr;

/// Properties of a model that routing depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name as reported by runners.
    pub name: Name,
    /// Number of layers.
    pub layers: u32,
    /// Time to run one layer for one token on the reference accelerator, in nanoseconds.
    pub nanos_per_layer: u64,
    /// Size of one token's activations passed between stages, in bytes.
    pub activation_bytes: u64,
}

/// Layers of a model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRange {
    /// Model name.
    pub model: Name,
    /// Layers.
    pub layers: LayerRange,
}

/// Load report of a runner. Reports may be late, duplicated or out of order.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerReport {
    /// Name of the runner; stable across restarts.
    pub name: Name,
    /// Incarnation; increases with each start under the same name.
    pub incarnation: u64,
    /// Report number; increases within an incarnation.
    pub number: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held.
    pub holds: Vec<HeldRange>,
    /// Speed, in token-layers per second.
    pub token_layers_per_s: f64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Whether the runner is shutting down.
    pub leaving: bool,
    /// Age of the figures when the report is applied, in milliseconds.
    pub age_ms: Millis,
}

/// Reason why a runner receives no new work, in ascending order of strength.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The runner does not answer. A newer report reopens it.
    #[display("suspected")]
    Suspected,
    /// The runner is leaving; closed for the rest of its incarnation.
    #[display("leaving")]
    Leaving,
    /// The runner is gone; closed for the rest of its incarnation.
    #[display("gone")]
    Gone,
}

/// Endpoints of a link, in either order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEnds {
    /// Two runners.
    Runners(Name, Name),
    /// Two failure domains; the same one twice denotes the links within it.
    Domains(Name, Name),
}

/// Observed latency and capacity of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkObservation {
    /// Endpoints.
    pub ends: LinkEnds,
    /// One-way latency, in microseconds.
    pub latency_us: u64,
    /// Capacity, in bytes per second; divided by a model's activation size it gives tokens per
    /// second.
    pub bytes_per_s: f64,
}

/// Prefix cache event of a runner. Events may be late or missing, which leaves gaps in `number`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixCacheEvent {
    /// Name of the runner.
    pub runner: Name,
    /// Incarnation of the runner.
    pub incarnation: u64,
    /// Event number; consecutive within an incarnation unless events are missing.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added to the cache; `false` if it was evicted.
    pub cached: bool,
}

/// Request for a route.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Model, as its index in the list given to the router.
    pub model: ModelId,
    /// Hash of the prompt's prefix, comparable with [`PrefixCacheEvent::prefix`].
    pub prefix_hash: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Runners to exclude, such as those that failed earlier attempts.
    pub avoid: &'a [RunnerId],
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStage {
    /// Runner.
    pub runner: RunnerId,
    /// Incarnation of the runner when the route was picked.
    pub incarnation: u64,
    /// Name of the runner.
    pub name: Name,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Layers that the runner executes.
    pub layers: LayerRange,
}

/// A verified route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Model.
    pub model: ModelId,
    /// Stages, in layer order.
    pub stages: Vec<RouteStage>,
    /// Estimated time-to-first-token, in milliseconds.
    pub first_token_ms: f64,
    /// Estimated inter-token gap, in milliseconds.
    pub per_token_ms: f64,
}

/// Error of a pick without a route. Nothing was sent, so the request has not run.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum NoRoute {
    /// The model is not in the list given to the router.
    #[display("{model} is not known")]
    UnknownModel {
        /// Model.
        model: ModelId,
    },
    /// No open runner holds these layers.
    #[display("no open runner holds layers {layers} of {model}")]
    Uncovered {
        /// Model.
        model: ModelId,
        /// First contiguous range of layers without an open runner.
        layers: LayerRange,
    },
    /// A route was built but rejected by the verifier.
    #[display("the route for {model} is faulty: {fault}")]
    Faulty {
        /// Model.
        model: ModelId,
        /// Fault found by the verifier.
        fault: super::verify::RouteFault,
    },
}
