//! Typed messages exchanged with callers, upstreams, the platform, operators and peers.
//!
//! Messages to callers, upstreams, the platform and operators are JSON. Messages between instances
//! are MessagePack (`rmp-serde`) with field names, so that a newer instance may add fields that an
//! older one ignores.

pub mod caller;
pub mod header;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod runner;
