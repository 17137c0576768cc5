//! What the stand-ins' HTTP servers have in common.

use std::net::SocketAddr;
use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpSocket};
use tokio_util::sync::CancellationToken;

use crate::Result;

/// The largest body that a stand-in reads, in bytes: above a platform value of a megabyte with
/// each byte escaped.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Puts shared state into each request's depot.
pub(crate) struct Inject<T>(pub(crate) Arc<T>);

#[handler]
impl<T: Send + Sync + 'static> Inject<T> {
    async fn handle(&self, depot: &mut Depot) {
        depot.insert_typed(self.0.clone());
    }
}

/// The state that [`Inject`] put into the depot.
pub(crate) fn state<T: Send + Sync + 'static>(depot: &Depot) -> Arc<T> {
    depot
        .get_typed::<Arc<T>>()
        .expect("the router injects its state")
        .clone()
}

/// Serves `router` on `address` until `token` is cancelled; returns the bound address.
pub(crate) async fn serve(
    address: SocketAddr,
    router: Router,
    token: CancellationToken,
) -> Result<SocketAddr> {
    let listener = listen(address)?;
    let bound = listener.local_addr()?;
    let acceptor = TcpAcceptor::try_from(listener)?;
    let server = Server::new(acceptor);
    tokio::spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            ended = server.try_serve(router) => log::error!("server ended: {ended:?}"),
        }
    });
    Ok(bound)
}

/// Binds a listener whose connections send small pieces at once.
///
/// salvo leaves Nagle's algorithm on: the second frame of a stream then waits for the
/// acknowledgement of the first, 40 ms with a delayed one, and tokens arrive in bursts. Accepted
/// connections inherit the option from the listener.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?)
}

/// Reads the body as JSON, or answers 400 (413 where too large) and returns `None`.
pub(crate) async fn body<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let payload = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(payload) => payload,
        Err(salvo::http::ParseError::PayloadTooLarge) => {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return None;
        }
        Err(err) => return bad_request(res, &err.to_string()),
    };
    match serde_json::from_slice(payload) {
        Ok(value) => Some(value),
        Err(err) => bad_request(res, &err.to_string()),
    }
}

fn bad_request<T>(res: &mut Response, message: &str) -> Option<T> {
    res.status_code(StatusCode::BAD_REQUEST);
    res.render(Text::Plain(message.to_owned()));
    None
}

/// Answers with JSON.
pub(crate) fn json<T: Serialize + Sync>(res: &mut Response, status: StatusCode, value: &T) {
    res.status_code(status);
    res.render(Json(value));
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
