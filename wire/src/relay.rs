//! State of a relay, as its operators' listener shows it.

use std::net::SocketAddr;

use jacinthweir_policy::membership::MembershipDump;
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

/// Path of the state.
pub const DUMP_PATH: &str = "/dump";

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// State of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayDump {
    /// Name of the instance.
    pub instance: Name,
    /// Time since its start, in milliseconds.
    pub at_ms: Millis,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Time since that was last confirmed to be the newest, in milliseconds.
    pub confirmed_ms_ago: Option<Millis>,
    /// Term of the lease, if it gives orders.
    pub gives_orders: Option<u64>,
    /// Orders that runners have not carried out yet.
    pub orders_pending: usize,
    /// Chains in use, and those that still have requests.
    pub chains: Vec<ChainDump>,
    /// Runners known.
    pub runners: Vec<RunnerDump>,
    /// Instances known.
    pub members: MembershipDump,
}

/// A chain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChainDump {
    /// Service.
    pub service: Name,
    /// Failure domain; none where it crosses domains.
    pub domain: Option<Name>,
    /// Whether a part is known to be dead.
    pub broken: bool,
    /// Tokens that it has room for.
    pub room_tokens: f64,
    /// Tokens in flight through it from this instance.
    pub used_tokens: f64,
    /// Time of a token step as declared, in milliseconds.
    pub step_ms: f64,
    /// Requests in flight from this instance.
    pub waiting: usize,
    /// Time without a byte while requests wait, in milliseconds.
    pub silent_ms: Millis,
    /// Parts in order.
    pub stages: Vec<StageDump>,
}

/// A part of a chain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageDump {
    /// Runner.
    pub runner: Name,
    /// First layer, and one past the last.
    pub layers: (u32, u32),
}

/// A runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerDump {
    /// Identity.
    pub id: Name,
    /// Service.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Kind of accelerator.
    pub kind: Option<Name>,
    /// Layers held: first, and one past the last.
    pub layers: Option<(u32, u32)>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it counts as dead.
    pub dead: bool,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
    /// Orders accepted, where that is known.
    pub orders: Option<u64>,
    /// How slow it said to be when last asked.
    pub pace: Option<f64>,
    /// Share of recent requests that it failed.
    pub failing: f64,
    /// Requests in flight there from this instance.
    pub in_flight: u32,
}
