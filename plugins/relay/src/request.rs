//! What a request is, whose it is, and where it may go.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::fingerprint::Fingerprint;
use jacinthweir_policy::relay::intent::{CallClass, Engine, Intent, Route};
use tokio::time::{sleep, timeout};

use crate::answer::{Active, Cause, Journal, RelayBody, plain};
use crate::node::Node;
use crate::{call, stream};

/// Priority of requests whose route names none that a runner knows.
const LEAST_URGENT: u32 = 9;

/// Age of the configuration's confirmation up to which "no such route" and "no such key" are said,
/// in milliseconds. Later a newer configuration may know them: the caller is asked to come back.
const DENY_AGE_MS: Millis = 2_800;

/// When to come back to an instance that cannot vouch for its configuration, in milliseconds.
/// Another instance may serve at once.
const ELSEWHERE_MS: Millis = 400;

/// A request that is to be served.
pub(crate) struct Proxied {
    pub(crate) id: Name,
    pub(crate) route: Name,
    pub(crate) service: Name,
    pub(crate) class: CallClass,
    intent: Rc<Intent>,
    pub(crate) received_ms: Millis,
    pub(crate) objective_ms: Millis,
    /// Longest pause of a stream that its caller still takes for timely, in milliseconds.
    pub(crate) pause_ms: Millis,
    /// Time without an event after which its caller gives it up, in milliseconds.
    pub(crate) patience_ms: Millis,
    /// When the caller or the route's time-out ends it.
    pub(crate) deadline_ms: Millis,
    pub(crate) max_attempts: u32,
    pub(crate) priority: u32,
    pub(crate) tokens: Option<(u32, u32)>,
    pub(crate) last_event: Option<u64>,
    organisation: Option<Name>,
    host: Name,
    fingerprint: OnceCell<Fingerprint>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Proxied {
    /// The engine of its service, where runners hold layers.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        let service = self.intent.services.get(&self.service)?;
        service.engine.as_ref().filter(|e| e.layers > 0)
    }

    /// Version of the configuration that it is served by.
    pub(crate) fn version(&self) -> u64 {
        self.intent.version
    }

    /// What it has in common with other attempts of the same request. Worked out when it is first needed:
    /// most requests end well.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.uri.path();
            Fingerprint::of(self.organisation.as_deref(), &self.host, path, &self.body)
        })
    }

    /// Time left, in milliseconds.
    pub(crate) fn left_ms(&self, node: &Node) -> Millis {
        self.deadline_ms.saturating_sub(node.now())
    }

    /// The final answer of a request that no runner answered, logged and counted.
    pub(crate) fn not_answered(
        &self,
        node: &Node,
        journal: Journal,
        cause: Cause,
        retry_after_ms: Millis,
    ) -> Response<RelayBody> {
        let res = journal.failure(cause, retry_after_ms);
        log::info!(
            request = self.id.as_ref(),
            route = self.route.as_ref(),
            version = self.version(),
            cause:% = cause,
            sends = journal.sends,
            status = res.status().as_u16(),
            after_ms = node.now() - self.received_ms;
            "not answered"
        );
        count(if journal.may_have_run() {
            "failed"
        } else {
            "refused"
        });
        res
    }

    /// The request as it is sent to a runner, with the time that is left.
    pub(crate) fn to_send(&self, node: &Node, runner: &str) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let headers = req.headers_mut();
        *headers = self.headers.clone();
        if let Some(value) = header::value(runner) {
            headers.insert(header::EXPECT_RUNNER, value);
        }
        let left = self.left_ms(node).max(1);
        headers.insert(header::DEADLINE_MS, left.into());
        req
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(node: &Rc<Node>, req: Request<Incoming>) -> Response<RelayBody> {
    let received_ms = node.now();
    let active = Active::open(node);
    let (parts, body) = req.into_parts();
    let mut res = match admit(node, parts, body, received_ms).await {
        Ok(rq) if rq.engine().is_some() => stream::serve(node, rq).await,
        Ok(rq) => call::serve(node, rq).await,
        Err(res) => res,
    };
    if node.draining.get() {
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
    res.body_mut().hold(active);
    res
}

async fn admit(
    node: &Rc<Node>,
    parts: Parts,
    body: Incoming,
    received_ms: Millis,
) -> Result<Proxied, Response<RelayBody>> {
    let id = header::text(&parts.headers, &header::REQUEST_ID).unwrap_or("-");
    let id = Name::from(id);
    wait_at_start(node).await;
    let Some(intent) = node.intent() else {
        return Err(unconfirmed(node, &id));
    };
    let host = Name::from(host(&parts));
    let route = intent.route(&host, parts.uri.path()).cloned();
    let Some(route) = route else {
        return Err(deny(node, &id, StatusCode::NOT_FOUND, "no such route"));
    };
    let org = intent.organisation(&route, header::text(&parts.headers, &header::KEY));
    let org = match org {
        Ok(org) => org.cloned(),
        Err(e) => return Err(deny(node, &id, StatusCode::UNAUTHORIZED, &e.to_string())),
    };
    if !node.may_serve() {
        return Err(unconfirmed(node, &id));
    }
    let body = read_body(&intent, &parts, body, &id).await?;
    let draw = node.random_f64();
    let Some(service) = route.service(draw).cloned() else {
        return Err(deny(
            node,
            &id,
            StatusCode::NOT_FOUND,
            "the route has no service",
        ));
    };
    let mut headers = header::passed_on(&parts.headers);
    if let Some(org) = &org
        && let Some(value) = header::value(&org.name)
    {
        headers.insert(header::ORGANISATION, value);
    }
    let priority = org
        .as_ref()
        .and_then(|o| o.priority)
        .unwrap_or(route.priority);
    headers.insert(header::PRIORITY, priority.min(LEAST_URGENT).into());
    Ok(Proxied {
        id,
        route: route.name.clone(),
        service,
        class: route.class,
        received_ms,
        objective_ms: route.objective_ms,
        pause_ms: route.max_gap_ms(),
        patience_ms: route.abandon_after_ms(),
        deadline_ms: received_ms + time_ms(&parts.headers, &route),
        max_attempts: route.max_attempts,
        priority,
        tokens: header::tokens(&parts.headers),
        last_event: header::number(&parts.headers, &header::LAST_EVENT),
        organisation: org.map(|o| o.name),
        host,
        fingerprint: OnceCell::new(),
        intent,
        method: parts.method,
        uri: path_only(&parts.uri),
        headers,
        body,
    })
}

/// The longest that a request waits for the first configuration, in milliseconds: half of the time
/// in which callers expect an answer.
const START_WAIT_MS: Millis = 250;

/// Period of looking whether the first configuration has come.
const START_LOOK: Duration = Duration::from_millis(10);

async fn wait_at_start(node: &Node) {
    let until = node.now() + START_WAIT_MS;
    while node.now() < until && node.config_confirmation.borrow().is_starting(node.now()) {
        sleep(START_LOOK).await;
    }
}

/// The least of what the caller and the route allow.
fn time_ms(headers: &HeaderMap, route: &Route) -> Millis {
    let callers = header::number(headers, &header::DEADLINE_MS);
    callers.unwrap_or(route.timeout_ms).min(route.timeout_ms)
}

fn host(parts: &Parts) -> &str {
    let named = header::text(&parts.headers, &http::header::HOST);
    let named = named.or_else(|| parts.uri.host()).unwrap_or("");
    named.rsplit_once(':').map_or(named, |(host, _)| host)
}

fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().unwrap_or_default()
}

async fn read_body(
    intent: &Intent,
    parts: &Parts,
    body: Incoming,
    id: &Name,
) -> Result<Bytes, Response<RelayBody>> {
    let limits = &intent.limits;
    let declared = header::number(&parts.headers, &http::header::CONTENT_LENGTH);
    if declared.is_some_and(|n| n > limits.body_bytes as u64) {
        log::info!(request = id.as_ref(); "body too large");
        return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    }
    // A caller that sends nothing for this long holds memory for no work.
    let time = Duration::from_millis(limits.idle_timeout_ms);
    match timeout(time, Limited::new(body, limits.body_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            log::info!(request = id.as_ref(); "body too large");
            Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(e)) => {
            log::info!(request = id.as_ref(), cause:% = e; "body not readable");
            Err(plain(StatusCode::BAD_REQUEST, "body not readable"))
        }
        Err(_) => {
            log::info!(request = id.as_ref(); "body too slow");
            Err(plain(StatusCode::REQUEST_TIMEOUT, "body too slow"))
        }
    }
}

fn unconfirmed(node: &Node, id: &Name) -> Response<RelayBody> {
    let age_ms = node.config_confirmation.borrow().age_ms(node.now());
    log::info!(request = id.as_ref(), age_ms:? = age_ms; "refused: no confirmed configuration");
    count("unconfirmed");
    Journal::default().failure(Cause::Unconfirmed, ELSEWHERE_MS)
}

/// Says that the configuration does not allow a request, if this instance can vouch for it.
fn deny(node: &Node, id: &Name, status: StatusCode, why: &str) -> Response<RelayBody> {
    let age = node.config_confirmation.borrow().age_ms(node.now());
    if age.is_none_or(|age| age > DENY_AGE_MS) {
        return unconfirmed(node, id);
    }
    let version = node.intent().map_or(0, |i| i.version);
    log::info!(request = id.as_ref(), status = status.as_u16(), version, why; "denied");
    count("denied");
    plain(status, why)
}

pub(crate) fn count(outcome: &'static str) {
    metrics::counter!("jacinthweir_requests_total", "outcome" => outcome).increment(1);
}
