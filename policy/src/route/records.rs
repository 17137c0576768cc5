//! What the route plan is told and what it answers.
//!
//! The plug-ins turn the messages of the wire into these records; nothing here names a protocol.

use crate::layers::LayerRange;
use crate::prelude::*;
use derive_more::{Display, Error};
use std::net::SocketAddr;

/// A model, as far as routes depend on it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name, as runners report it.
    pub name: Name,
    /// Number of layers.
    pub layers: u32,
    /// Time one layer takes for one token on the reference accelerator, in nanoseconds.
    pub nanos_per_layer: u64,
    /// Size of one token's activations between two stages, in bytes.
    pub activation_bytes: u64,
}

/// Layers of a model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Model name.
    pub model: Name,
    /// Layers.
    pub layers: LayerRange,
}

/// A load report of a runner. Reports come late, doubled and out of order.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerSeen {
    /// Runner's name, kept over restarts.
    pub name: Name,
    /// Grows with each start of the same name.
    pub incarnation: u64,
    /// Report number, growing within an incarnation.
    pub number: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Accelerator kind.
    pub accelerator: Name,
    /// What it holds.
    pub holds: Vec<Held>,
    /// Speed, in token-layers a second.
    pub token_layers_per_s: f64,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Age of the figures at the time of the call, in milliseconds.
    pub age_ms: Millis,
}

/// Why a runner gets no new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// It does not answer. A newer report opens it again.
    #[display("suspected")]
    Suspected,
    /// It is leaving: closed for good in this incarnation.
    #[display("leaving")]
    Leaving,
    /// It is gone: closed for good in this incarnation.
    #[display("gone")]
    Gone,
}

/// The two ends of a link; the direction does not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEnds {
    /// Two runners.
    Runners(Name, Name),
    /// Two failure domains, or one twice: the link within it.
    Domains(Name, Name),
}

/// An observation of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSeen {
    /// The ends.
    pub ends: LinkEnds,
    /// One-way latency, in microseconds.
    pub latency_us: u64,
    /// Capacity, in bytes a second; with a model's activation size it gives tokens a second.
    pub bytes_per_s: f64,
}

/// A cache event of a runner: late, and with gaps in `number`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSeen {
    /// Runner's name.
    pub runner: Name,
    /// Runner's incarnation.
    pub incarnation: u64,
    /// Event number; a jump is a gap.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it came into the cache, or left it.
    pub cached: bool,
}

/// What a route is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Pick<'a> {
    /// Model, by its place in the list given to the router.
    pub model: ModelId,
    /// Hash of the prompt's prefix, as runners report it in cache events.
    pub prefix_hash: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Runners to leave out, for instance those that failed earlier attempts.
    pub avoid: &'a [RunnerId],
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStage {
    /// Runner.
    pub runner: RunnerId,
    /// Its incarnation when the route was picked.
    pub incarnation: u64,
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Layers it is to run.
    pub layers: LayerRange,
}

/// A verified route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Model.
    pub model: ModelId,
    /// Stages in order.
    pub stages: Vec<RouteStage>,
    /// Estimated time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Estimated time between tokens, in milliseconds.
    pub per_token_ms: f64,
}

/// Why there is no route. Nothing was sent, so the request has not run.
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
        /// First run of layers that nobody holds.
        layers: LayerRange,
    },
    /// A route was built and did not pass the verifier.
    #[display("the route for {model} is faulty: {fault}")]
    Faulty {
        /// Model.
        model: ModelId,
        /// What the verifier found.
        fault: super::verify::RouteFault,
    },
}
