//! State of a relay, as served by its operators' listener.

use std::net::SocketAddr;

use jacinthweir_policy::membership::MembershipDump;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::Mode;
use jacinthweir_policy::relay::contention::status::ControlStatus;
use serde::{Deserialize, Serialize};

/// Path of the state dump.
pub const DUMP_PATH: &str = "/dump";

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// State of one relay process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayDump {
    /// Name of the instance.
    pub instance: Name,
    /// Time since the start of the process, in milliseconds.
    pub at_ms: Millis,
    /// Whether the instance is ready for callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Time since that version was last confirmed to be the newest, in milliseconds.
    pub confirmed_ms_ago: Option<Millis>,
    /// Term of the lease, if the instance holds it and gives orders to runners.
    pub gives_orders: Option<u64>,
    /// Number of orders that runners have not carried out yet.
    pub orders_pending: usize,
    /// Chains in use, and replaced chains that still have requests.
    pub chains: Vec<ChainDump>,
    /// Known runners.
    pub runners: Vec<RunnerDump>,
    /// Known instances.
    pub members: MembershipDump,
    /// Contention control; absent if the instance's build does not have it.
    #[serde(default)]
    pub contention: Option<ContentionDump>,
}

/// State of contention control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContentionDump {
    /// When it applies, by the settings.
    pub mode: Mode,
    /// Components that are disabled in the settings, by the names of their fields.
    #[serde(default)]
    pub disabled: Vec<Name>,
    /// Services whose runners hold layers, by name.
    pub services: Vec<ServiceContentionDump>,
}

/// State of contention control of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceContentionDump {
    /// Service.
    pub service: Name,
    /// State.
    pub status: ControlStatus,
}

/// A chain of runners.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChainDump {
    /// Service.
    pub service: Name,
    /// Failure domain; absent if the chain spans several.
    pub domain: Option<Name>,
    /// Whether a stage is known to be dead.
    pub broken: bool,
    /// Capacity in tokens.
    pub room_tokens: f64,
    /// Tokens in flight on the chain from this instance.
    pub used_tokens: f64,
    /// Declared duration of a token step, in milliseconds.
    pub step_ms: f64,
    /// Requests in flight from this instance.
    pub waiting: usize,
    /// Time since the last received byte while requests are waiting, in milliseconds.
    pub silent_ms: Millis,
    /// Stages in order.
    pub stages: Vec<StageDump>,
}

/// A stage of a chain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageDump {
    /// Runner.
    pub runner: Name,
    /// First layer and one past the last layer.
    pub layers: (u32, u32),
}

/// A runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerDump {
    /// Identifier.
    pub id: Name,
    /// Service.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Kind of accelerator.
    pub kind: Option<Name>,
    /// Layers held: first layer and one past the last layer.
    pub layers: Option<(u32, u32)>,
    /// Whether the runner is draining.
    pub draining: bool,
    /// Whether the runner is considered dead.
    pub dead: bool,
    /// Whether it is alive, but does not accept connections of this instance.
    #[serde(default)]
    pub unreachable: bool,
    /// Unix time of the runner's start, in milliseconds.
    pub born_ms: u64,
    /// Number of accepted orders, if known.
    pub orders: Option<u64>,
    /// Last reported pace: 1 is the declared speed, 2 half of it.
    pub pace: Option<f64>,
    /// Fraction of recent requests that failed on the runner.
    pub failing: f64,
    /// Requests in flight on the runner from this instance.
    pub in_flight: u32,
}
