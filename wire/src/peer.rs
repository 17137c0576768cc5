//! Messages between instances, as MessagePack.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /peer/exchange` | body and answer [`Exchange`]: push and pull of what is newer |
//! | `GET /peer/parts/{hash}` | a part of the configuration by its hash, as text; 404 where absent |
//! | `GET /peer/requests/{id}` | [`crate::operator::RequestRecord`] of a request this instance served |

use crate::operator::Head;
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One side of a push-pull exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Exchange {
    /// Sender's name.
    pub from: Option<Name>,
    /// Newest head the sender knows.
    pub head: Option<Head>,
    /// What the sender knows of instances, itself first.
    pub members: Vec<MemberState>,
    /// What the sender knows of upstreams.
    pub upstreams: Vec<UpstreamState>,
}

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

/// What is known of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// Its listing.
    pub listed: crate::platform::ListedInstance,
    /// Newest load report seen, for runners.
    pub load: Option<crate::runner::LoadReport>,
    /// Unix time at which the observer saw it, in milliseconds.
    pub seen_ms: u64,
}
