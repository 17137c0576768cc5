//! Listeners for callers, readiness checks, entry requests, peers and operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthweir_clients::buffers::{self, Purpose};
use jacinthweir_kernel::sockets;
use jacinthweir_platform::entry;
use jacinthweir_policy::entry::{EntryConfig, entry_answer};
use jacinthweir_policy::member::MemberState;
use jacinthweir_policy::relay::intent::CallerLimits;
use jacinthweir_wire::relay::{DUMP_PATH, METRICS_PATH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OnceCell;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::{RelayBody, complete, plain};
use crate::node::Node;
use crate::settings::RelaySettings;
use crate::tasks::{self, Job, TaskName};
use crate::unsent_answers::{RecordedStream, UnsentAnswers};
use crate::{RelayError, dump, forwarding, messages, peers, reachability, request};

/// Maximum number of addresses in an entry answer. Callers pick one at random.
const MAX_ENTRY_ADDRESSES: usize = 64;

/// Pause after a failed accept: when file descriptors are exhausted, an immediate retry would fail
/// too.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Interval between attempts to open the operators' listener.
const OPERATORS_RETRY: Duration = Duration::from_secs(1);

/// Smallest value that hyper accepts as the maximum buffer size of a connection, in bytes; it panics
/// on a smaller one. Otherwise that maximum is the configured size of the largest request head,
/// which the buffer has to hold.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Kind of a listener, by its clients.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum ListenerKind {
    #[display("callers")]
    Callers,
    #[display("readiness")]
    Ready,
    #[display("entry")]
    Entry,
    #[display("peers")]
    Peers,
    #[display("operators")]
    Operators,
}

impl ListenerKind {
    /// Returns the task that accepts its connections.
    fn task(self) -> TaskName {
        match self {
            ListenerKind::Callers => TaskName::CallersListener,
            ListenerKind::Ready => TaskName::ReadinessListener,
            ListenerKind::Entry => TaskName::EntryListener,
            ListenerKind::Peers => TaskName::PeersListener,
            ListenerKind::Operators => TaskName::OperatorsListener,
        }
    }
}

/// Shutdown controls of the listeners.
pub(crate) struct Servers {
    /// Cancelled to stop accepting connections from callers.
    pub(crate) refuse: CancellationToken,
    /// Cancelled to close each caller's connection once its request in progress has ended.
    pub(crate) finish: CancellationToken,
    /// Open connections of callers.
    pub(crate) callers: TaskTracker,
}

/// A listener of a kind.
pub(crate) struct Listener {
    kind: ListenerKind,
    socket: Rc<TcpListener>,
}

/// Opens all listeners but the operators', and waits for addresses that are in use: by a predecessor in its
/// grace, for at most its shutdown bound.
pub(crate) async fn listen(settings: &RelaySettings) -> Result<Vec<Listener>, RelayError> {
    let listen = &settings.listen;
    let wanted = [
        (ListenerKind::Callers, listen.callers),
        (ListenerKind::Ready, listen.ready),
        (ListenerKind::Entry, listen.entry),
        (ListenerKind::Peers, listen.peers),
    ];
    let grace = Duration::from_millis(settings.bounds.shutdown_ms());
    let sockets = sockets::listen_all(wanted, sockets::wait_bound(grace)).await;
    let sockets = sockets.map_err(RelayError::Bind)?;
    let kinds = wanted.into_iter().map(|(kind, _)| kind);
    let listener = |(kind, socket)| Listener {
        kind,
        socket: Rc::new(socket),
    };
    Ok(kinds.zip(sockets).map(listener).collect())
}

/// Serves on all listeners.
pub(crate) fn serve(node: &Rc<Node>, listeners: Vec<Listener>) -> Servers {
    let servers = Servers {
        refuse: CancellationToken::new(),
        finish: CancellationToken::new(),
        callers: TaskTracker::new(),
    };
    for Listener { kind, socket } in listeners {
        let stop = match kind {
            ListenerKind::Callers => servers.refuse.clone(),
            _ => node.stop.clone(),
        };
        let (finish, callers) = (servers.finish.clone(), servers.callers.clone());
        tasks::spawn(node, &stop, kind.task(), move |node| {
            let socket = Rc::clone(&socket);
            accept(node, kind, socket, finish.clone(), callers.clone())
        });
    }
    serve_operators(node, &servers);
    servers
}

/// Serves operators, now or as soon as their address is free. The deployment uses the same operators' port on
/// every machine, and on some of them it may be taken; serving callers does not depend on this listener.
fn serve_operators(node: &Rc<Node>, servers: &Servers) {
    let kind = ListenerKind::Operators;
    let address = node.settings.listen.operators;
    let opened = match sockets::listen(&kind, address) {
        Ok(socket) => OnceCell::new_with(Some(Rc::new(socket))),
        Err(e) => {
            log::error!(address:%, cause:% = e.cause; "operators' listener unavailable: no metrics and no dump");
            OnceCell::new()
        }
    };
    let opened = Rc::new(opened);
    let (finish, callers) = (servers.finish.clone(), servers.callers.clone());
    tasks::spawn(node, &node.stop, kind.task(), move |node| {
        let (opened, finish, callers) = (Rc::clone(&opened), finish.clone(), callers.clone());
        async move {
            let socket = opened.get_or_init(|| retry_operators(address)).await;
            accept(node, kind, Rc::clone(socket), finish, callers).await;
        }
    });
}

/// Tries to open the operators' listener until that succeeds.
async fn retry_operators(address: SocketAddr) -> Rc<TcpListener> {
    loop {
        sleep(OPERATORS_RETRY).await;
        if let Ok(socket) = sockets::listen(&ListenerKind::Operators, address) {
            log::info!(address:%; "operators' listener is open");
            return Rc::new(socket);
        }
    }
}

async fn accept(
    node: Rc<Node>,
    kind: ListenerKind,
    listener: Rc<TcpListener>,
    finish: CancellationToken,
    callers: TaskTracker,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(face:% = kind, cause:% = e; "accept failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // With Nagle's algorithm an event would wait for the acknowledgement of the previous one.
        // The result is ignored because a failure to disable it only delays events.
        let _ = stream.set_nodelay(true);
        if kind == ListenerKind::Callers {
            if callers.len() >= node.settings.limits.connections {
                log::warn!(connections = callers.len(); "too many connections");
                continue;
            }
            let connection = serve_connection(Rc::clone(&node), kind, stream, finish.clone());
            tasks::spawn_tracked(&callers, Job::Connection, connection);
        } else {
            let none = CancellationToken::new();
            let connection = serve_connection(Rc::clone(&node), kind, stream, none);
            tasks::spawn_job(Job::Connection, connection);
        }
    }
}

async fn serve_connection(
    node: Rc<Node>,
    kind: ListenerKind,
    stream: TcpStream,
    finish: CancellationToken,
) {
    let limits = node
        .intent()
        .map_or_else(CallerLimits::default, |i| i.limits);
    let unsent = UnsentAnswers::default();
    let service = service_fn(|req| {
        let node = Rc::clone(&node);
        let unsent = unsent.clone();
        async move {
            let mut res = route(&node, kind, req).await;
            res.body_mut().send_on(unsent);
            Ok::<_, Infallible>(res)
        }
    });
    let mut builder = http1::Builder::new();
    // hyper's header timer also runs while a keep-alive connection is idle, so it is set to the
    // whole idle timeout: callers reuse connections that were idle for most of that time.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS);
    let caller = stream.peer_addr().ok();
    let stream = RecordedStream::new(stream, unsent.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = finish.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log_connection_error(kind, caller, &e);
    }
}

fn log_connection_error(kind: ListenerKind, peer: Option<SocketAddr>, e: &hyper::Error) {
    let closed_by = ClosedBy::of(e);
    metrics::counter!(
        "jacinthweir_connection_errors_total",
        "face" => kind.to_string(),
        "closed_by" => closed_by.to_string()
    )
    .increment(1);
    match (kind, closed_by) {
        // Callers leave connections idle all the time.
        (ListenerKind::Callers, ClosedBy::Instance | ClosedBy::Peer) => {
            log::info!(face:% = kind, peer:?, closed_by:%, cause:? = e; "connection ended early");
        }
        _ => log::debug!(face:% = kind, cause:% = e; "connection ended"),
    }
}

/// Side that ended a connection before the end of an exchange.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum ClosedBy {
    /// This instance cut an answer.
    #[display("instance")]
    Instance,
    /// This instance closed it because no request came in time.
    #[display("timeout")]
    Timeout,
    /// The peer closed or reset it, or sent something that is no request.
    #[display("peer")]
    Peer,
}

impl ClosedBy {
    fn of(e: &hyper::Error) -> ClosedBy {
        if e.is_user() {
            ClosedBy::Instance
        } else if e.is_timeout() {
            ClosedBy::Timeout
        } else {
            ClosedBy::Peer
        }
    }
}

async fn route(node: &Rc<Node>, kind: ListenerKind, req: Request<Incoming>) -> Response<RelayBody> {
    match kind {
        ListenerKind::Callers => request::serve(node, req).await,
        ListenerKind::Ready if req.uri().path() == entry::READY_PATH => answer_readiness(node),
        ListenerKind::Entry if req.uri().path() == entry::ADDRESSES_PATH => {
            answer_entry(node, req.uri().query())
        }
        ListenerKind::Peers if req.uri().path() == forwarding::PATH => {
            forwarding::serve(node, req).await
        }
        ListenerKind::Peers if req.uri().path() == messages::PATH => answer_peer(node, req).await,
        ListenerKind::Operators => answer_operator(node, &req),
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn answer_readiness(node: &Node) -> Response<RelayBody> {
    if node.is_ready() {
        plain(StatusCode::OK, "ready")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn answer_entry(node: &Node, query: Option<&str>) -> Response<RelayBody> {
    let domain = query.and_then(entry::caller_domain);
    let cfg = EntryConfig {
        ttl_ms: node.settings.bounds.entry_ttl_ms,
        max_addresses: MAX_ENTRY_ADDRESSES,
    };
    let own = &node.settings.name;
    let ready = node.is_ready() && !reachability::is_cut_off(node);
    let membership = node.membership.borrow();
    let (loads, now) = (node.loads.borrow(), node.now());
    // An instance without a confirmed configuration, for example because the store rejects it,
    // refuses every request. Others can serve these requests.
    let serves = |m: &MemberState| match m.name == *own {
        true => ready,
        false => !loads.refuses(&m.name, &m.domain, now),
    };
    let live = membership.live().filter(|m| serves(m));
    let answer = node.with_rng(|rng| entry_answer(live, domain.as_deref(), &cfg, rng));
    let mut found: Vec<SocketAddr> = answer.addresses.iter().map(|a| a.address).collect();
    if found.is_empty() && !node.draining.get() {
        // No instance is known to serve. This one at least tells callers when to retry.
        found.push(node.settings.listen.callers);
    }
    if found.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no instance serves");
    }
    let body = entry::encode_addresses(&found, cfg.ttl_ms);
    complete(StatusCode::OK, "application/json", body.into())
}

async fn answer_peer(node: &Rc<Node>, req: Request<Incoming>) -> Response<RelayBody> {
    let body = buffers::collect(
        req.into_body(),
        messages::MAX_MESSAGE_BYTES,
        Purpose::Control,
    )
    .await;
    let Ok(body) = body else {
        return plain(StatusCode::BAD_REQUEST, "message not readable");
    };
    match peers::handle_message(node, &body).await {
        Some(reply) => complete(StatusCode::OK, "application/msgpack", reply.into()),
        None => plain(StatusCode::BAD_REQUEST, "message not understood"),
    }
}

fn answer_operator(node: &Node, req: &Request<Incoming>) -> Response<RelayBody> {
    if req.method() != Method::GET {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
    }
    match req.uri().path() {
        METRICS_PATH => {
            let text = Bytes::from(node.stats.render());
            complete(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        DUMP_PATH => complete(StatusCode::OK, "application/json", dump::dump(node).into()),
        _ => plain(
            StatusCode::NOT_FOUND,
            "no such path: /metrics and /dump are here",
        ),
    }
}
