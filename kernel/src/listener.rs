//! HTTP listeners for callers, peers and operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

use crate::plugin::{ListenerKind, sorted};
use crate::{Kernel, KernelError, auth, reply};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// A running listener.
pub struct RunningListener {
    /// Which clients it serves.
    pub kind: ListenerKind,
    /// Address that it is bound to.
    pub address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl RunningListener {
    /// Binds the listener of `kind` and mounts the routes of every plug-in on it.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        cx: &Arc<Kernel>,
        kind: ListenerKind,
    ) -> Result<RunningListener, KernelError> {
        let address = address(cx, kind);
        let acceptor = bind_acceptor(address).map_err(|e| KernelError::Listen {
            address,
            cause: e.to_string(),
        })?;
        let server = server(cx, acceptor);
        let handle = server.handle();
        let service = service(cx, kind);
        let task = tokio::spawn(async move {
            if let Err(e) = server.try_serve(service).await {
                log::error!("listener for {kind} ended: {e}");
            }
        });
        log::info!("listening for {kind} on {address}");
        Ok(RunningListener {
            kind,
            address,
            handle,
            task,
        })
    }

    /// Stops accepting connections and waits for the requests on open connections to finish.
    pub async fn stop(self) {
        self.handle.stop_graceful(None);
        let _ = self.task.await;
    }

    /// Closes all open connections without waiting for their requests.
    pub fn abort(&self) {
        self.handle.stop_forceful();
    }
}

/// Opens a listening socket with `TCP_NODELAY` set.
///
/// With Nagle's algorithm enabled, the second token of a stream waits for the peer's delayed
/// acknowledgement of the first, 40 ms on Linux. Accepted sockets inherit the option.
fn bind_acceptor(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?)
}

fn address(cx: &Kernel, kind: ListenerKind) -> SocketAddr {
    let listen = &cx.settings.listen;
    match kind {
        ListenerKind::Callers => listen.callers,
        ListenerKind::Peers => listen.peers,
        ListenerKind::Operators => listen.operators,
    }
}

/// Builds the server with its header time-out and connection limit.
///
/// Together with the time-out on reading bodies, the header time-out bounds how long an idle or
/// slow connection can hold memory.
fn server(cx: &Kernel, acceptor: TcpAcceptor) -> Server<TcpAcceptor> {
    let timeout = Duration::from_millis(cx.settings.timing.header_timeout_ms);
    let fuse = FuseConfig::default().with_http1_header_timeout(timeout);
    Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(cx.settings.limits.connections)
}

fn service(cx: &Arc<Kernel>, kind: ListenerKind) -> Service {
    let mut root = Router::new();
    for plugin in sorted() {
        for route in (plugin.routes)(cx, kind) {
            root = root.push(route);
        }
    }
    let root = match kind {
        ListenerKind::Callers => root.hoop(CloseWhenDraining(Arc::clone(cx))),
        ListenerKind::Peers => root.hoop(auth::BearerOnly::peers(cx)),
        ListenerKind::Operators => root.hoop(auth::BearerOnly::operators(cx)),
    };
    Service::new(root).catcher(Catcher::default().hoop(reply::NoRoute))
}

/// Sends `connection: close` on responses while the instance drains.
///
/// Otherwise a caller could send its next request on a keep-alive connection just as it is closed,
/// and could not tell whether that request ran.
struct CloseWhenDraining(Arc<Kernel>);

#[handler]
impl CloseWhenDraining {
    async fn handle(&self, res: &mut Response) {
        if self.0.is_draining() {
            reply::set_header(res, "connection", "close");
        }
    }
}
