//! Client of plain services. Each call uses a new connection.
//!
//! A call is `POST /call/{call}` with the caller's body and headers for the request id and attempt
//! number, which the service echoes. A 429 or 503 with `jacinthweir-ran: no` means that nothing
//! ran; any other status is the service's own answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use jacinthweir_wire::header;
use tokio::time::timeout;

use crate::buffers::{self, Purpose};
use crate::direct::{self, DirectError};
use crate::pooled::no_effect;
use crate::{CONNECT_TIMEOUT, ClientError, Target};

/// Maximum size of the answer of a plain service, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Call name.
    pub call: String,
    /// Request id.
    pub request: String,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Idempotency key set by the caller.
    pub key: Option<String>,
    /// Content type set by the caller.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub timeout: Duration,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceAnswer {
    /// The complete answer of the service.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<String>,
        /// Body.
        body: Bytes,
    },
    /// The service refused the call before running any part of it.
    Refused {
        /// Time to wait before a retry, in milliseconds, if given.
        retry_after_ms: Option<u64>,
    },
}

/// Client of plain services.
#[derive(Clone, Debug, Default)]
#[non_exhaustive]
pub struct ServiceClient {}

impl ServiceClient {
    /// Creates a client that does not reuse connections, retry or follow redirects.
    #[must_use]
    pub fn open() -> ServiceClient {
        ServiceClient::default()
    }

    /// Makes the call once.
    ///
    /// # Errors
    /// See [`ClientError`]. Only [`ClientError::NoEffect`] means that nothing ran. An answer that
    /// names another request or attempt is [`ClientError::BadAnswer`]; the call may have run.
    pub async fn call(&self, call: &ServiceCall) -> Result<ServiceAnswer, ClientError> {
        let answer = timeout(call.timeout, self.exchange(call)).await;
        answer.unwrap_or_else(|_| Err(DirectError::TimedOut.into()))
    }

    async fn exchange(&self, call: &ServiceCall) -> Result<ServiceAnswer, ClientError> {
        let res = direct::send(call.address, request(call)?, CONNECT_TIMEOUT).await?;
        let (parts, body) = res.into_parts();
        if is_refusal(&parts) {
            return Ok(ServiceAnswer::Refused {
                retry_after_ms: retry_after_ms(&parts.headers),
            });
        }
        check_echo(&parts.headers, call)?;
        let body = buffers::collect(body, MAX_ANSWER_BYTES, Purpose::Data).await?;
        Ok(ServiceAnswer::Answered {
            status: parts.status.as_u16(),
            content_type: text_header(&parts.headers, "content-type"),
            body,
        })
    }
}

fn request(call: &ServiceCall) -> Result<Request<Full<Bytes>>, ClientError> {
    let target = Target::new("/call").segment(&call.call);
    let uri = target.to_uri().map_err(no_effect)?;
    let kind = header_value(call.content_type.as_deref())?;
    let mut req = direct::post(call.address, uri, kind, call.body.clone());
    let headers = req.headers_mut();
    headers.insert(header::ATTEMPT, call.attempt.into());
    if let Some(request) = header_value(Some(&call.request))? {
        headers.insert(header::REQUEST, request);
    }
    if let Some(key) = header_value(call.key.as_deref())? {
        headers.insert(header::IDEMPOTENCY_KEY, key);
    }
    Ok(req)
}

fn header_value(text: Option<&str>) -> Result<Option<HeaderValue>, ClientError> {
    let value = text.map(HeaderValue::from_str).transpose();
    value.map_err(no_effect)
}

fn is_refusal(head: &Parts) -> bool {
    let may_refuse = head.status == StatusCode::TOO_MANY_REQUESTS
        || head.status == StatusCode::SERVICE_UNAVAILABLE;
    may_refuse && text_header(&head.headers, header::RAN).as_deref() == Some("no")
}

/// Longest time for which an upstream may ask to be left alone, in milliseconds.
pub(crate) const MAX_RETRY_AFTER_MS: u64 = 600_000;

fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = text_header(headers, "retry-after")?.parse().ok()?;
    Some(seconds.saturating_mul(1000).min(MAX_RETRY_AFTER_MS))
}

/// Checks that the answer belongs to this request and attempt, so that the caller never receives
/// the answer to another one.
fn check_echo(headers: &HeaderMap, call: &ServiceCall) -> Result<(), ClientError> {
    let request = text_header(headers, header::REQUEST);
    let attempt = text_header(headers, header::ATTEMPT);
    let matches = request.as_deref() == Some(call.request.as_str())
        && attempt == Some(call.attempt.to_string());
    if matches {
        return Ok(());
    }
    Err(ClientError::bad_answer(format!(
        "answer names request {request:?}, attempt {attempt:?}"
    )))
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}
