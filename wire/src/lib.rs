//! Typed messages towards callers, upstreams, the platform, operators and peers.
//!
//! Messages to callers, upstreams, the platform and operators travel as JSON; those between
//! instances as MessagePack (`rmp-serde`) with field names, so that a newer instance may add
//! fields that an older one skips.

pub mod caller;
pub mod header;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod runner;
