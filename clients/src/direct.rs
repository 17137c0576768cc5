//! HTTP requests that use a new connection each.
//!
//! A reused connection may contain bytes of an earlier answer, or the server may close it while the
//! next request is being written. It is then unknown which request the bytes belong to, or whether
//! the request ran. On a new connection every byte belongs to its only request, and a failure to
//! connect proves that nothing was sent. The cost is one round trip and one handshake for each
//! request.
//!
//! Dropping the response closes the connection immediately, which signals the server to stop work.
//!
//! Bytes that are no answer end the request early, an answer without a final status is none, and all whole
//! bodies share one pool of memory.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::bounded_stream::{BoundedStream, CountedBody, Received};
use crate::buffers::{self, CollectError, Purpose};

/// Size of the read buffer of a connection, in bytes. The minimum of the library, since answers and
/// events are small and a process has hundreds of connections.
pub(crate) const READ_BUFFER_BYTES: usize = 8 << 10;

/// Statuses of final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Failure of a request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DirectError {
    /// The target host refused the connection, so no byte of the request was sent.
    #[display("connection refused")]
    Refused,
    /// The connection could not be opened, so no byte of the request was sent. Whether the target
    /// listens is not known.
    #[display("not reached: {cause}")]
    Unreached {
        /// Cause.
        cause: String,
    },
    /// The connection was opened, but the complete answer did not arrive in time.
    #[display("no answer in time")]
    TimedOut,
    /// The connection failed after the request was passed to it, or brought no answer.
    #[display("no answer: {cause}")]
    Unknown {
        /// Cause.
        cause: String,
    },
}

impl DirectError {
    /// Returns whether no byte of the request was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            DirectError::Refused | DirectError::Unreached { .. } => true,
            DirectError::TimedOut | DirectError::Unknown { .. } => false,
        }
    }

    /// Returns whether the target did not respond at all, which may be caused by a fault on this
    /// side.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        match self {
            DirectError::Unreached { .. } | DirectError::TimedOut => true,
            DirectError::Refused | DirectError::Unknown { .. } => false,
        }
    }
}

/// Body of a response. Owns the connection.
#[derive(Debug)]
pub struct ResponseBody {
    counted: CountedBody,
    _connection: Connection,
}

#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ResponseBody {
    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    /// Returns an error if the connection is closed before the end of the body, or brings too many bytes
    /// that are none of it.
    pub async fn next(&mut self) -> Option<Result<Bytes, DirectError>> {
        loop {
            match self.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(e) => return Some(Err(unknown_error(&e))),
            }
        }
    }

    /// Reads the whole body, of `limit` bytes at most.
    ///
    /// # Errors
    /// Returns an error if the body is longer, the pool of buffers has no room for it, or the connection is
    /// closed before its end or brings too many bytes that are none of it.
    pub async fn collect(self, limit: usize, purpose: Purpose) -> Result<Bytes, DirectError> {
        let body = buffers::collect(self, limit, purpose).await;
        body.map_err(|e| match e {
            CollectError::Unreadable(e) => unknown_error(&*e),
            CollectError::TooLong | CollectError::NoBuffer(_) => unknown_error(&e),
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.counted).poll_frame(cx)
    }
}

/// Content type of JSON.
pub(crate) const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Returns a request that posts `body` to `path` at `address`.
pub(crate) fn post(
    address: SocketAddr,
    path: Uri,
    content_type: Option<HeaderValue>,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = path;
    let headers = req.headers_mut();
    if let Some(kind) = content_type {
        headers.insert(CONTENT_TYPE, kind);
    }
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, host);
    }
    req
}

/// Sends `req` to `address` and waits for the head of the response.
///
/// # Errors
/// See [`DirectError`].
pub async fn send(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<ResponseBody>, DirectError> {
    let stream = connect(address, connect_timeout).await?;
    let received = Arc::new(Received::default());
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(BoundedStream::new(
            stream,
            Arc::clone(&received),
        )))
        .await;
    let (mut sender, connection) = handshake.map_err(|e| DirectError::Unreached {
        cause: e.to_string(),
    })?;
    let task = tokio::spawn(async move {
        // Errors of the connection are also returned by the response.
        let _ = connection.await;
    });
    let connection = Connection(task);
    let res = sender
        .send_request(req)
        .await
        .map_err(|e| unknown_error(&e))?;
    if !is_final(res.status()) {
        let cause = format!("no status of an answer: {}", res.status().as_u16());
        return Err(DirectError::Unknown { cause });
    }
    let body = |incoming| ResponseBody {
        counted: CountedBody::new(incoming, received),
        _connection: connection,
    };
    Ok(res.map(body))
}

/// Returns whether an answer may have this status. The library also delivers numbers that are none, and a
/// change to a protocol (101) that no request asks for.
fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Time limits of a request, both from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimeouts {
    /// Time limit until the connection is open.
    pub connect: Duration,
    /// Time limit until the complete response has been received.
    pub answer: Duration,
}

impl From<Duration> for RequestTimeouts {
    /// Uses the same limit for both.
    fn from(limit: Duration) -> RequestTimeouts {
        RequestTimeouts {
            connect: limit,
            answer: limit,
        }
    }
}

/// Sends `req` and reads the complete response, with a body of `limit` bytes at most, within
/// `timeouts`. For control traffic.
///
/// # Errors
/// See [`DirectError`].
pub async fn request(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    timeouts: impl Into<RequestTimeouts>,
    limit: usize,
) -> Result<Response<Bytes>, DirectError> {
    let timeouts = timeouts.into();
    let exchange = async {
        let res = send(address, req, timeouts.connect).await?;
        let (parts, body) = res.into_parts();
        Ok(Response::from_parts(
            parts,
            body.collect(limit, Purpose::Control).await?,
        ))
    };
    match timeout(timeouts.answer, exchange).await {
        Ok(res) => res,
        Err(_) => Err(DirectError::TimedOut),
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, DirectError> {
    let unreached = |cause: String| DirectError::Unreached { cause };
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            // Without TCP_NODELAY small writes wait for an acknowledgement. The connection works
            // even if setting it fails.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Err(DirectError::Refused),
        Ok(Err(e)) => Err(unreached(e.to_string())),
        Err(_) => Err(unreached("timeout".to_owned())),
    }
}

fn unknown_error(e: &(dyn std::error::Error + 'static)) -> DirectError {
    let mut cause = e.to_string();
    let mut source = e.source();
    while let Some(s) = source {
        cause.push_str(": ");
        cause.push_str(&s.to_string());
        source = s.source();
    }
    DirectError::Unknown { cause }
}
