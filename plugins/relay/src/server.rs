//! Listeners: callers, the platform's checks, entry answers, other instances, operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthweir_platform::entry;
use jacinthweir_policy::entry::{EntryConfig, entry_answer};
use jacinthweir_policy::member::MemberState;
use jacinthweir_policy::relay::intent::CallerLimits;
use jacinthweir_wire::relay::{DUMP_PATH, METRICS_PATH};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::{RelayBody, plain, whole};
use crate::node::Node;
use crate::{RelayError, dump, peers, request};

/// The most addresses in an entry answer; callers draw one at random.
const MAX_ADDRESSES: usize = 64;

/// Pause after a failed accept: descriptors are used up, and the next try would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The least read buffer of a connection that the library allows, in bytes. The largest head that
/// callers may send has to fit into the buffer.
const LEAST_BUFFER_BYTES: usize = 8 << 10;

/// The most headers of a request.
const MAX_HEADERS: usize = 100;

/// A listener, by whom it is for.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Face {
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

/// The listeners of a process.
pub(crate) struct Servers {
    /// Cancelled: new connections are refused.
    pub(crate) refuse: CancellationToken,
    /// Cancelled: connections are closed once their request in progress has ended.
    pub(crate) finish: CancellationToken,
    /// Connections of callers.
    pub(crate) callers: TaskTracker,
}

/// Opens all listeners.
pub(crate) async fn bind(node: &Rc<Node>) -> Result<Servers, RelayError> {
    let servers = Servers {
        refuse: CancellationToken::new(),
        finish: CancellationToken::new(),
        callers: TaskTracker::new(),
    };
    let listen = &node.settings.listen;
    let faces = [
        (Face::Callers, listen.callers),
        (Face::Ready, listen.ready),
        (Face::Entry, listen.entry),
        (Face::Peers, listen.peers),
        (Face::Operators, listen.operators),
    ];
    for (face, address) in faces {
        let listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            // Its port stands in the deploy file and may be taken on some machine. Callers are
            // served all the same.
            Err(cause) if face == Face::Operators => {
                log::error!(address:% = address, cause:% = cause; "no metrics and no dump");
                continue;
            }
            Err(cause) => {
                return Err(RelayError::Bind {
                    face: face.to_string(),
                    address,
                    cause,
                });
            }
        };
        let stop = match face {
            Face::Callers => servers.refuse.clone(),
            _ => node.stop.clone(),
        };
        let accepting = accept(
            Rc::clone(node),
            face,
            listener,
            servers.finish.clone(),
            servers.callers.clone(),
        );
        tokio::task::spawn_local(async move {
            let _ = stop.run_until_cancelled(accepting).await;
        });
    }
    Ok(servers)
}

async fn accept(
    node: Rc<Node>,
    face: Face,
    listener: TcpListener,
    finish: CancellationToken,
    callers: TaskTracker,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(face:% = face, cause:% = e; "accept failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without it an event waits for the acknowledgement of the one before; it comes all the
        // same.
        let _ = stream.set_nodelay(true);
        if face == Face::Callers {
            if callers.len() >= node.settings.limits.connections {
                log::warn!(connections = callers.len(); "too many connections");
                continue;
            }
            let connection = connection(Rc::clone(&node), face, stream, finish.clone());
            callers.spawn_local(connection);
        } else {
            let none = CancellationToken::new();
            tokio::task::spawn_local(connection(Rc::clone(&node), face, stream, none));
        }
    }
}

async fn connection(node: Rc<Node>, face: Face, stream: TcpStream, finish: CancellationToken) {
    let limits = node
        .intent()
        .map_or_else(CallerLimits::default, |i| i.limits);
    let service = service_fn(|req| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(route(&node, face, req).await) }
    });
    let mut builder = http1::Builder::new();
    // The timer also runs while a kept connection is idle, and callers use one that was idle for
    // most of the time that the configuration names.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER_BYTES))
        .max_headers(MAX_HEADERS);
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
        log::debug!(face:% = face, cause:% = e; "connection ended");
    }
}

async fn route(node: &Rc<Node>, face: Face, req: Request<Incoming>) -> Response<RelayBody> {
    match face {
        Face::Callers => request::serve(node, req).await,
        Face::Ready if req.uri().path() == entry::READY_PATH => ready(node),
        Face::Entry if req.uri().path() == entry::ADDRESSES_PATH => {
            addresses(node, req.uri().query())
        }
        Face::Peers if req.uri().path() == peers::PATH => peer(node, req).await,
        Face::Operators => operators(node, &req),
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn ready(node: &Node) -> Response<RelayBody> {
    if node.is_ready() {
        plain(StatusCode::OK, "ready")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn addresses(node: &Node, query: Option<&str>) -> Response<RelayBody> {
    let domain = query.and_then(entry::caller_domain);
    let cfg = EntryConfig {
        ttl_ms: node.settings.bounds.entry_ttl_ms,
        max_addresses: MAX_ADDRESSES,
    };
    let own = &node.settings.name;
    let ready = node.is_ready();
    let membership = node.membership.borrow();
    let (loads, now) = (node.loads.borrow(), node.now());
    // An instance that the store turns away refuses every request; another one serves them.
    let serves = |m: &MemberState| match m.name == *own {
        true => ready,
        false => !loads.refuses(&m.name, &m.domain, now),
    };
    let live = membership.live().filter(|m| serves(m));
    let answer = node.with_rng(|rng| entry_answer(live, domain, &cfg, rng));
    let mut found: Vec<SocketAddr> = answer.addresses.iter().map(|a| a.address).collect();
    if found.is_empty() && !node.draining.get() {
        // Nobody is known to serve: this instance at least says when to come back.
        found.push(node.settings.listen.callers);
    }
    if found.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no instance serves");
    }
    let body = entry::addresses(&found, cfg.ttl_ms);
    whole(StatusCode::OK, "application/json", body.into())
}

async fn peer(node: &Rc<Node>, req: Request<Incoming>) -> Response<RelayBody> {
    let body = Limited::new(req.into_body(), peers::MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return plain(StatusCode::BAD_REQUEST, "message not readable");
    };
    match peers::handle_message(node, &body.to_bytes()).await {
        Some(reply) => whole(StatusCode::OK, "application/msgpack", reply.into()),
        None => plain(StatusCode::BAD_REQUEST, "message not understood"),
    }
}

fn operators(node: &Node, req: &Request<Incoming>) -> Response<RelayBody> {
    if req.method() != Method::GET {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
    }
    match req.uri().path() {
        METRICS_PATH => {
            let text = Bytes::from(node.stats.render());
            whole(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        DUMP_PATH => whole(StatusCode::OK, "application/json", dump::dump(node).into()),
        _ => plain(
            StatusCode::NOT_FOUND,
            "no such path: /metrics and /dump are here",
        ),
    }
}
