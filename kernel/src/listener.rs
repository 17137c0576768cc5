//! HTTP listeners for callers, peers and operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::plugin::{ListenerKind, sorted};
use crate::settings::Listen;
use crate::sockets::BindError;
use crate::{Kernel, KernelError, auth, reply, sockets};

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
    /// Binds the listener of `kind` and serves on it.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        cx: &Arc<Kernel>,
        kind: ListenerKind,
    ) -> Result<RunningListener, KernelError> {
        let address = address(&cx.settings.listen, kind);
        RunningListener::serve(cx, kind, sockets::listen(&kind, address)?)
    }

    /// Mounts the routes of every plug-in on the listener of `kind` and serves them.
    ///
    /// # Errors
    /// Returns an error if the listener has no address.
    pub fn serve(
        cx: &Arc<Kernel>,
        kind: ListenerKind,
        listener: TcpListener,
    ) -> Result<RunningListener, KernelError> {
        let address = address(&cx.settings.listen, kind);
        let acceptor = TcpAcceptor::try_from(listener).map_err(|cause| BindError {
            clients: kind.to_string(),
            address,
            cause,
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

/// Returns the address of the listener of `kind`.
pub(crate) fn address(listen: &Listen, kind: ListenerKind) -> SocketAddr {
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
