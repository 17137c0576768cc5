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
pub mod runner;
pub mod service;

pub use error::ClientError;

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::buffers::Purpose;

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

fn base() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http1_only()
}

/// Maximum size of an answer of the platform, of another instance, or of a runner that does not run a
/// request, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Reads a whole answer.
async fn read_whole(res: reqwest::Response) -> Result<Bytes, ClientError> {
    let body = reqwest::Body::from(res);
    Ok(buffers::collect(body, MAX_ANSWER_BYTES, Purpose::Control).await?)
}

/// Reads and decodes a whole answer in JSON.
async fn read_json<T: DeserializeOwned>(res: reqwest::Response) -> Result<T, ClientError> {
    let bytes = read_whole(res).await?;
    serde_json::from_slice(&bytes).map_err(ClientError::bad_answer)
}
