//! HTTP clients towards the platform, upstreams and peers.
//!
//! A client never repeats a call by itself and never follows a redirect: whether a call may be
//! repeated is a decision of the policy. Each error says what is known of the call's effect.

pub mod direct;
pub mod error;
pub mod peer;
pub mod platform;
pub mod runner;
pub mod service;

pub use error::ClientError;

use std::time::Duration;

/// Time a new connection may take before the upstream counts as not reached.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections are closed by us well before a server would close them: a request written
/// into a connection that the server is closing is lost without an answer.
const POOL_IDLE: Duration = Duration::from_secs(4);

/// A client that keeps connections, for calls that carry an attempt number or change nothing.
fn pooled() -> Result<reqwest::Client, ClientError> {
    let client = base().pool_idle_timeout(POOL_IDLE).build()?;
    Ok(client)
}

/// A client that opens a connection for each call. A pooled connection that the server closes
/// while a call is written leaves it open whether the call ran; a fresh one shows a refused
/// connection for certain.
fn unpooled() -> Result<reqwest::Client, ClientError> {
    let client = base().pool_max_idle_per_host(0).build()?;
    Ok(client)
}

fn base() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http1_only()
}
