//! HTTP client that keeps its connections, for calls that carry an attempt number or have no side effects.
//!
//! Bytes that are no answer end a call early, and all whole bodies share one pool of memory.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::uri::{Authority, Scheme};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tower_service::Service;

use crate::bounded_stream::{BoundedStream, CountedBody, Received};
use crate::buffers::{self, Purpose};
use crate::direct::{DirectError, READ_BUFFER_BYTES};
use crate::{CONNECT_TIMEOUT, ClientError, Target};

/// Time after which idle connections are closed. It is well below the idle time-out of the servers, since a
/// request written to a connection that the server is closing is lost without an answer.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an answer of the platform, of another instance, or of a runner that does not run a
/// request, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Client that keeps its connections. It never retries a request that a server may have received, and follows no
/// redirect.
#[derive(Clone, Debug)]
pub(crate) struct PooledClient {
    http: Client<Connector, Full<Bytes>>,
}

impl PooledClient {
    pub(crate) fn open() -> PooledClient {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(POOL_IDLE_TIMEOUT);
        builder.http1_max_buf_size(READ_BUFFER_BYTES);
        PooledClient {
            http: builder.build(Connector),
        }
    }

    /// Sends `req` and waits for the head of its answer; the whole exchange ends within `limit`.
    pub(crate) async fn send(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, ClientError> {
        let deadline = Instant::now() + limit;
        let res = match timeout_at(deadline, self.http.request(req)).await {
            Ok(res) => res.map_err(|e| request_error(&e))?,
            Err(_) => return Err(DirectError::TimedOut.into()),
        };
        let status = res.status();
        let received = res.extensions().get::<Arc<Received>>().cloned();
        let body = CountedBody::new(res.into_body(), received.unwrap_or_default());
        Ok(Answer {
            status,
            body,
            deadline,
        })
    }
}

/// Returns a request of `target` at `address`.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    target: &Target,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let authority = Authority::try_from(address.to_string()).map_err(no_effect)?;
    let mut parts = target.to_uri().map_err(no_effect)?.into_parts();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = Uri::from_parts(parts).map_err(no_effect)?;
    Ok(req)
}

/// Returns the error of a request that cannot be built.
pub(crate) fn no_effect(cause: impl std::fmt::Display) -> ClientError {
    ClientError::NoEffect {
        cause: cause.to_string(),
    }
}

/// Head of an answer, and its body to come.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    body: CountedBody,
    deadline: Instant,
}

impl Answer {
    /// Reads the body as a whole.
    pub(crate) async fn read_whole(self) -> Result<Bytes, ClientError> {
        let body = buffers::collect(self.body, MAX_ANSWER_BYTES, Purpose::Control);
        match timeout_at(self.deadline, body).await {
            Ok(body) => Ok(body?),
            Err(_) => Err(DirectError::TimedOut.into()),
        }
    }

    /// Reads and decodes a body in JSON.
    pub(crate) async fn read_json<T: DeserializeOwned>(self) -> Result<T, ClientError> {
        let bytes = self.read_whole().await?;
        serde_json::from_slice(&bytes).map_err(ClientError::bad_answer)
    }
}

/// Classifies a failure. Only if the server's kernel refused the connection is nothing sent for certain.
fn request_error(e: &Error) -> ClientError {
    let mut cause = e.to_string();
    let mut is_refused = false;
    let mut source = std::error::Error::source(e);
    while let Some(s) = source {
        let io = s.downcast_ref::<io::Error>();
        is_refused |= io.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused);
        cause.push_str(": ");
        cause.push_str(&s.to_string());
        source = s.source();
    }
    match e.is_connect() && is_refused {
        true => ClientError::NoEffect { cause },
        false => ClientError::Unknown { cause },
    }
}

/// Opens the connections of the pool.
#[derive(Clone, Debug)]
struct Connector;

impl Service<Uri> for Connector {
    type Response = TokioIo<BoundedStream>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        connect(uri).boxed()
    }
}

async fn connect(uri: Uri) -> io::Result<TokioIo<BoundedStream>> {
    let authority = uri.authority().map_or("", |a| a.as_str());
    let address: SocketAddr = authority.parse().map_err(io::Error::other)?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    // The connection works even if setting it fails.
    let _ = stream.set_nodelay(true);
    Ok(TokioIo::new(BoundedStream::new(stream, Arc::default())))
}

impl Connection for BoundedStream {
    /// Passes on the count of its bytes to each answer, whose reader completes it.
    fn connected(&self) -> Connected {
        Connected::new().extra(self.received())
    }
}
