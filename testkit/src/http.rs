//! HTTP server helpers shared by the stand-ins.

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

/// Maximum request body, in bytes; larger than a 1 MB platform value with every byte escaped.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Length of the accept queue, in connections.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Middleware that puts shared state into each request's depot.
pub(crate) struct Inject<T>(pub(crate) Arc<T>);

#[handler]
impl<T: Send + Sync + 'static> Inject<T> {
    async fn handle(&self, depot: &mut Depot) {
        depot.insert_typed(self.0.clone());
    }
}

/// Returns the state that [`Inject`] put into the depot.
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
            ended = server.try_serve(router) => log::error!("stand-in HTTP server stopped unexpectedly: {ended:?}"),
        }
    });
    Ok(bound)
}

/// Binds a listener with `TCP_NODELAY`, which accepted connections inherit.
///
/// salvo leaves Nagle's algorithm on: the second frame of a stream then waits for the
/// acknowledgement of the first, 40 ms with delayed acknowledgements, and tokens arrive in bursts.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    Ok(socket.listen(ACCEPT_BACKLOG)?)
}

/// Parses the body as JSON; on failure responds with 400, or 413 if too large, and returns `None`.
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

/// Responds with `status` and a JSON body.
pub(crate) fn json<T: Serialize + Sync>(res: &mut Response, status: StatusCode, value: &T) {
    res.status_code(status);
    res.render(Json(value));
}

/// Returns the Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
