//! HTTP clients of the platform, upstreams and peers.
//!
//! A client never retries a call and never follows a redirect: whether a call may be retried is
//! decided by the policy. Each error says what is known about the effect of the call.

pub mod direct;
pub mod error;
pub mod peer;
pub mod platform;
pub mod runner;
pub mod service;

pub use error::ClientError;

use std::time::Duration;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which the client closes idle connections. It is well below the idle time-out of the
/// servers, since a request written to a connection that the server is closing is lost without an
/// answer.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Creates a client that reuses connections, for calls that carry an attempt number or have no side
/// effects.
fn pooled() -> Result<reqwest::Client, ClientError> {
    let client = base().pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?;
    Ok(client)
}

/// Creates a client that opens a new connection for each call.
///
/// If the server closes a pooled connection while a call is being written, it is unknown whether
/// the call ran. With a new connection, a refused connection proves that it did not.
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
