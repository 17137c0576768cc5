//! What instances tell one another of themselves.

use crate::time::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is known of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    /// Name, kept over restarts.
    pub name: Name,
    /// Grows with each start of the same name: Unix time of the start, in milliseconds.
    pub incarnation: u64,
    /// Heartbeat count within the incarnation.
    pub heartbeat: u64,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Peers' address.
    pub peers: SocketAddr,
    /// Operators' address.
    pub operators: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// What it says of itself.
    pub phase: Phase,
    /// Revision in force there.
    pub revision: u64,
    /// Unix time since when, in milliseconds.
    pub revision_since_ms: u64,
    /// Requests in flight there.
    pub in_flight: u32,
}

/// What an instance says of itself.
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
    /// Has no configuration yet: serves nothing.
    #[default]
    #[display("joining")]
    Joining,
    /// Serves.
    #[display("serving")]
    Serving,
    /// Shutting down: named in no entry answer.
    #[display("draining")]
    Draining,
    /// Gone for good in this incarnation.
    #[display("gone")]
    Gone,
}
