//! The state that instances publish about themselves.

use crate::time::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The published state of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    /// Name, stable across restarts.
    pub name: Name,
    /// Incarnation: Unix time of the start in milliseconds, greater for each start of the same
    /// name.
    pub incarnation: u64,
    /// Heartbeat counter within the incarnation.
    pub heartbeat: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Revision in force.
    pub revision: u64,
    /// Unix time in milliseconds since which it is in force.
    pub revision_since_ms: u64,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Processing capacity, in thousandths of a core.
    pub capacity: u32,
}

/// The lifecycle phase of an instance.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Has no configuration yet and serves nothing.
    #[default]
    #[display("joining")]
    Joining,
    /// Serves requests.
    #[display("serving")]
    Serving,
    /// Shutting down and excluded from entry answers.
    #[display("draining")]
    Draining,
    /// Permanently stopped in this incarnation.
    #[display("gone")]
    Gone,
}
