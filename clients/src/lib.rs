//! HTTP clients of the platform, upstreams and peers.
//!
//! A client never retries a call and never follows a redirect: whether a call may be retried is
//! decided by the policy. Each error says what is known about the effect of the call.

mod bounded_stream;
pub mod buffers;
pub mod direct;
pub mod error;
pub mod peer;
pub mod platform;
mod pooled;
pub mod runner;
pub mod service;
pub mod target;

pub use error::ClientError;
pub use target::Target;

use std::time::Duration;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
