//! Client of plain services. Each call uses a new connection.
//!
//! A call is `POST /call/{call}` with the caller's body and headers for the request id and attempt
//! number, which the service echoes. A 429 or 503 with `jacinthweir-ran: no` means that nothing
//! ran; any other status is the service's own answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jacinthweir_wire::header;
use reqwest::{Response, StatusCode};

use crate::ClientError;

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
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: reqwest::Client,
}

impl ServiceClient {
    /// Creates a client that does not reuse connections, retry or follow redirects.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn open() -> Result<ServiceClient, ClientError> {
        let client = crate::unpooled()?;
        Ok(ServiceClient { client })
    }

    /// Makes the call once.
    ///
    /// # Errors
    /// See [`ClientError`]. Only [`ClientError::NoEffect`] means that nothing ran. An answer that
    /// names another request or attempt is [`ClientError::BadAnswer`]; the call may have run.
    pub async fn call(&self, call: &ServiceCall) -> Result<ServiceAnswer, ClientError> {
        let url = format!("http://{}/call/{}", call.address, call.call);
        let mut req = self.client.post(url).timeout(call.timeout);
        req = req
            .header(header::REQUEST, &call.request)
            .header(header::ATTEMPT, call.attempt);
        if let Some(key) = &call.key {
            req = req.header(header::IDEMPOTENCY_KEY, key);
        }
        if let Some(kind) = &call.content_type {
            req = req.header(reqwest::header::CONTENT_TYPE, kind);
        }
        let res = req.body(call.body.clone()).send().await?;
        if is_refusal(&res) {
            return Ok(ServiceAnswer::Refused {
                retry_after_ms: retry_after_ms(&res),
            });
        }
        check_echo(&res, call)?;
        let status = res.status().as_u16();
        let content_type = text_header(&res, "content-type");
        let body = bounded_body(res).await?;
        Ok(ServiceAnswer::Answered {
            status,
            content_type,
            body,
        })
    }
}

fn is_refusal(res: &Response) -> bool {
    let status = res.status();
    let may_refuse =
        status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    may_refuse && text_header(res, header::RAN).as_deref() == Some("no")
}

fn retry_after_ms(res: &Response) -> Option<u64> {
    let seconds: u64 = text_header(res, "retry-after")?.parse().ok()?;
    seconds.checked_mul(1000)
}

/// Checks that the answer belongs to this request and attempt, so that the caller never receives
/// the answer to another one.
fn check_echo(res: &Response, call: &ServiceCall) -> Result<(), ClientError> {
    let request = text_header(res, header::REQUEST);
    let attempt = text_header(res, header::ATTEMPT);
    let matches = request.as_deref() == Some(call.request.as_str())
        && attempt == Some(call.attempt.to_string());
    if matches {
        return Ok(());
    }
    Err(ClientError::bad_answer(format!(
        "answer names request {request:?}, attempt {attempt:?}"
    )))
}

fn text_header(res: &Response, name: &str) -> Option<String> {
    let value = res.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn bounded_body(mut res: Response) -> Result<Bytes, ClientError> {
    let mut body = Vec::new();
    while let Some(chunk) = res.chunk().await? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(ClientError::bad_answer(format!(
                "answer exceeds {MAX_ANSWER_BYTES} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Bytes::from(body))
}
