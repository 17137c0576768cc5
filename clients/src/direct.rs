//! One request on one connection of its own.
//!
//! A kept connection can hold bytes of an earlier answer, or be closed by the server just as the
//! next request is written; then nobody knows whose bytes come, or whether the request ran. On a
//! fresh connection every byte belongs to the one request, and a connection that could not be
//! opened proves that nothing was sent. The price is one round trip and one handshake a request.
//!
//! Dropping the answer closes the connection at once, which tells the server to stop working.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Read buffer of a connection, in bytes: the least that the library allows. Answers and events
/// are small, and a process keeps hundreds of connections.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// A request got no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DirectError {
    /// The machine says that nobody listens there: no byte of the request left.
    #[display("connection refused")]
    Refused,
    /// No connection came about: no byte of the request left. Whether anybody listens there is not
    /// known.
    #[display("not reached: {cause}")]
    Unreached {
        /// Cause.
        cause: String,
    },
    /// There was a connection, and no whole answer in time.
    #[display("no answer in time")]
    TimedOut,
    /// The connection broke after the request was handed to it.
    #[display("no answer: {cause}")]
    Unknown {
        /// Cause.
        cause: String,
    },
}

impl DirectError {
    /// Whether no byte of the request left.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            DirectError::Refused | DirectError::Unreached { .. } => true,
            DirectError::TimedOut | DirectError::Unknown { .. } => false,
        }
    }

    /// Whether nothing at all was heard: that may be the asking side's own doing.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        match self {
            DirectError::Unreached { .. } | DirectError::TimedOut => true,
            DirectError::Refused | DirectError::Unknown { .. } => false,
        }
    }
}

/// Body of an answer; holds the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
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
    /// The next bytes; `None` at the proper end.
    ///
    /// # Errors
    /// The connection ended before the answer did.
    pub async fn next(&mut self) -> Option<Result<Bytes, DirectError>> {
        loop {
            match self.incoming.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(e) => return Some(Err(unknown_error(&e))),
            }
        }
    }

    /// The whole body, of `limit` bytes at most.
    ///
    /// # Errors
    /// It is longer, or the connection ended before it did.
    pub async fn collect(self, limit: usize) -> Result<Bytes, DirectError> {
        let body = Limited::new(self.incoming, limit).collect().await;
        let body = body.map_err(|e| unknown_error(&*e))?;
        Ok(body.to_bytes())
    }
}

/// Sends `req` to `address` and waits for the head of its answer.
///
/// # Errors
/// See [`DirectError`].
pub async fn send(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<ResponseBody>, DirectError> {
    let stream = connect(address, connect_timeout).await?;
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (mut sender, connection) = handshake.map_err(|e| DirectError::Unreached {
        cause: e.to_string(),
    })?;
    let task = tokio::spawn(async move {
        // What goes wrong here shows at the answer.
        let _ = connection.await;
    });
    let connection = Connection(task);
    let res = sender
        .send_request(req)
        .await
        .map_err(|e| unknown_error(&e))?;
    let answer = |incoming| ResponseBody {
        incoming,
        _connection: connection,
    };
    Ok(res.map(answer))
}

/// How long a question may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimeouts {
    /// Until there is a connection.
    pub connect: Duration,
    /// Until the whole answer has come.
    pub answer: Duration,
}

impl From<Duration> for RequestTimeouts {
    /// One limit for both.
    fn from(limit: Duration) -> RequestTimeouts {
        RequestTimeouts {
            connect: limit,
            answer: limit,
        }
    }
}

/// Sends `req` and reads the whole answer, of `limit` bytes at most, within `time`.
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
        Ok(Response::from_parts(parts, body.collect(limit).await?))
    };
    match timeout(timeouts.answer, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(DirectError::TimedOut),
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, DirectError> {
    let unreached = |cause: String| DirectError::Unreached { cause };
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            // Without it small writes wait for an acknowledgement; the connection works all the
            // same.
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
