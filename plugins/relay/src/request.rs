//! Requests of callers: authorisation, routing and dispatch.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use jacinthweir_clients::buffers::{self, CollectError, Purpose};
use jacinthweir_platform::header;
use jacinthweir_policy::fingerprint::Fingerprint;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::prompt_part::PromptPart;
use jacinthweir_policy::quarantine::RunSubject;
use jacinthweir_policy::relay::contention::urgency;
use jacinthweir_policy::relay::intent::{CallClass, Engine, Intent, Route};
use tokio::time::{sleep, timeout};

use crate::answer::{ActiveRequest, Cause, PriorSends, RelayBody, SendRecord, plain};
use crate::forwarding::ForwardOrigin;
use crate::node::Node;
use crate::{call, shutdown, stream};

/// Lowest priority that runners know. Lower priorities of a route or an organisation are sent as
/// this one.
const LOWEST_PRIORITY: u32 = 9;

/// Maximum age of the configuration's confirmation for a final "no such route" or "no such key", in
/// milliseconds. With an older confirmation a newer configuration may contain them, so the caller
/// is asked to retry.
const MAX_DENIAL_AGE_MS: Millis = 2_800;

/// `Retry-After` of an instance without a confirmed configuration, in milliseconds. Another
/// instance may serve the request at once.
const UNCONFIRMED_RETRY_MS: Millis = 400;

/// `Retry-After` of a request whose organisation cannot be named to runners, in milliseconds. Only another
/// configuration changes that.
const UNNAMED_RETRY_MS: Millis = 5_000;

/// Characters of a name that no header holds in a log line.
const MAX_LOGGED_CHARS: usize = 64;

/// An admitted request.
pub(crate) struct ProxiedRequest {
    pub(crate) id: Name,
    pub(crate) route: Name,
    pub(crate) service: Name,
    pub(crate) class: CallClass,
    intent: Rc<Intent>,
    pub(crate) received_ms: Millis,
    pub(crate) objective_ms: Millis,
    /// Longest gap between two events of a stream that is still in time for the caller, in
    /// milliseconds.
    pub(crate) max_gap_ms: Millis,
    /// Time without an event after which the caller abandons the request, in milliseconds.
    pub(crate) abandon_after_ms: Millis,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline_ms: Millis,
    pub(crate) max_attempts: u32,
    pub(crate) priority: u32,
    /// Level that orders requests under contention, 0 for the most urgent.
    pub(crate) urgency: u32,
    pub(crate) tokens: Option<(u32, u32)>,
    /// Parts of the prompt that other requests may share.
    pub(crate) prompt_parts: Arc<[PromptPart]>,
    pub(crate) last_event: Option<u64>,
    /// Set if another instance forwarded the request.
    pub(crate) origin: Option<ForwardOrigin>,
    /// The caller's API key, with which another instance authorises the request.
    key: Option<HeaderValue>,
    organisation: Option<Name>,
    host: Name,
    fingerprint: OnceCell<Fingerprint>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl ProxiedRequest {
    /// Returns the engine of the service if its runners hold layers.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        let service = self.intent.services.get(&self.service)?;
        service.engine.as_ref().filter(|e| e.layers > 0)
    }

    /// Returns the organisation whose key the request has.
    pub(crate) fn organisation(&self) -> Option<&Name> {
        self.organisation.as_ref()
    }

    /// Returns the version of the configuration that the request is served under.
    pub(crate) fn version(&self) -> u64 {
        self.intent.version
    }

    /// Returns the fingerprint, which all attempts of the same request share. It is computed on
    /// first use, since most requests succeed and never need it.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let (host, path) = (self.host.to_ascii_lowercase(), self.uri.path());
            Fingerprint::of(self.organisation.as_deref(), &host, path, &self.body)
        })
    }

    /// Returns what is counted against this request if it crashes a runner.
    pub(crate) fn subject(&self) -> RunSubject {
        RunSubject {
            request: self.fingerprint(),
            parts: Arc::clone(&self.prompt_parts),
        }
    }

    /// Returns the time until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self, node: &Node) -> Millis {
        self.deadline_ms.saturating_sub(node.now())
    }

    /// Returns what became of the sends by the instance that forwarded the request.
    pub(crate) fn prior_sends(&self) -> PriorSends {
        self.origin.as_ref().map_or(PriorSends::None, |o| o.prior)
    }

    /// Returns whether a send is not the first one of the request, with the `record` of its sends by this
    /// instance.
    pub(crate) fn is_resend(&self, record: &SendRecord) -> bool {
        record.sends > 0 || self.prior_sends() != PriorSends::None
    }

    /// Logs and counts a request that no runner answered, and returns its final answer.
    pub(crate) fn unanswered_response(
        &self,
        node: &Node,
        send_record: SendRecord,
        cause: Cause,
        retry_after_ms: Millis,
    ) -> Response<RelayBody> {
        let res = send_record.failure(cause, retry_after_ms);
        log::info!(
            request = self.id.as_ref(),
            route = self.route.as_ref(),
            version = self.version(),
            cause:% = cause,
            organisation = self.organisation.as_deref().unwrap_or("-"),
            priority = self.priority,
            urgency = urgency::label(self.urgency),
            share:% = format_args!("{:.2}", node.contention.share(self)),
            sends = send_record.sends,
            status = res.status().as_u16(),
            after_ms = node.now() - self.received_ms;
            "not answered"
        );
        count_outcome(if send_record.may_have_run() {
            "failed"
        } else {
            "refused"
        });
        res
    }

    /// Returns the request as its caller sent it, but for the event after which it goes on.
    pub(crate) fn caller_request(&self, last_event: Option<u64>) -> Request<Bytes> {
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let headers = req.headers_mut();
        *headers = self.headers.clone();
        if let Some(key) = &self.key {
            headers.insert(header::KEY, key.clone());
        }
        if let Some(last) = last_event {
            headers.insert(header::LAST_EVENT_ID, last.into());
        }
        req
    }

    /// Returns the request as sent to `runner`, with the remaining time as its deadline; `None` if no header
    /// holds the runner's name.
    pub(crate) fn runner_request(&self, node: &Node, runner: &str) -> Option<Request<Full<Bytes>>> {
        let expected = header::value(runner)?;
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let headers = req.headers_mut();
        *headers = self.headers.clone();
        headers.insert(header::EXPECT_RUNNER, expected);
        let left = self.remaining_ms(node).max(1);
        headers.insert(header::DEADLINE_MS, left.into());
        Some(req)
    }
}

/// Serves a request of a caller.
pub(crate) async fn serve(node: &Rc<Node>, req: Request<Incoming>) -> Response<RelayBody> {
    let received_ms = node.now();
    let active = ActiveRequest::open(node);
    let (parts, body) = req.into_parts();
    let mut res = match admit_in_time(node, parts, body, received_ms).await {
        Ok(rq) => dispatch(node, rq).await,
        Err(res) => res,
    };
    if node.draining.get() {
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
    res.body_mut().attach(active);
    res
}

/// Serves a request that another instance received from a caller.
pub(crate) async fn serve_forwarded(
    node: &Rc<Node>,
    req: Request<Full<Bytes>>,
    origin: ForwardOrigin,
) -> Response<RelayBody> {
    let active = ActiveRequest::open(node);
    let now = node.now();
    let (parts, body) = req.into_parts();
    let mut res = match admit_in_time(node, parts, body, now).await {
        Ok(mut rq) => {
            rq.received_ms = now.saturating_sub(origin.waited_ms);
            rq.origin = Some(origin);
            dispatch(node, rq).await
        }
        Err(res) => res,
    };
    res.body_mut().attach(active);
    res
}

async fn dispatch(node: &Rc<Node>, rq: ProxiedRequest) -> Response<RelayBody> {
    // The instance that forwards a request counts it.
    if rq.origin.is_none() {
        node.retry_budgets.record_request(&rq.service, node.now());
    }
    match rq.engine() {
        Some(_) => stream::serve(node, rq).await,
        None => call::serve(node, rq).await,
    }
}

/// Admits a request unless this instance stops before that.
async fn admit_in_time<B>(
    node: &Rc<Node>,
    parts: Parts,
    body: B,
    received_ms: Millis,
) -> Result<ProxiedRequest, Response<RelayBody>>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>,
{
    let id = id_text(&parts.headers);
    let admitted = admit(node, parts, body, received_ms);
    match node.last_steps.run_until_answers_due(admitted).await {
        Some(admitted) => admitted,
        None => {
            log::info!(request = id.as_ref(); "refused: this instance stops");
            Err(stopping())
        }
    }
}

async fn admit<B>(
    node: &Rc<Node>,
    parts: Parts,
    body: B,
    received_ms: Millis,
) -> Result<ProxiedRequest, Response<RelayBody>>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>,
{
    let id = id_text(&parts.headers);
    wait_for_configuration(node).await;
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
    let mut headers = header::forwarded(&parts.headers);
    if let Some(org) = &org {
        let Some(name) = header::value(&org.name) else {
            return Err(unnamed(&intent, &id, &org.name));
        };
        headers.insert(header::ORGANISATION, name);
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
    let of_organisation = org.as_ref().and_then(|o| o.priority);
    let urgency = urgency::level(of_organisation, route.priority);
    let priority = of_organisation.unwrap_or(route.priority);
    let runner_priority = match node.contention.applies(&service) {
        true => urgency,
        false => priority,
    };
    headers.insert(
        header::PRIORITY,
        runner_priority.min(LOWEST_PRIORITY).into(),
    );
    Ok(ProxiedRequest {
        id,
        route: route.name.clone(),
        service,
        class: route.class,
        received_ms,
        objective_ms: route.objective_ms,
        max_gap_ms: route.max_gap_ms(),
        abandon_after_ms: route.abandon_after_ms(),
        deadline_ms: received_ms + time_limit_ms(&parts.headers, &route),
        max_attempts: route.max_attempts,
        priority,
        urgency,
        tokens: header::tokens(&parts.headers),
        prompt_parts: header::shared_prompt_parts(&parts.headers).into(),
        last_event: header::number(&parts.headers, &header::LAST_EVENT_ID),
        origin: None,
        key: parts.headers.get(header::KEY).cloned(),
        organisation: org.map(|o| o.name),
        host,
        fingerprint: OnceCell::new(),
        intent,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers,
        body,
    })
}

/// Maximum time that a request waits for the first configuration, in milliseconds: half of the time
/// in which callers expect an answer.
const STARTUP_WAIT_MS: Millis = 250;

/// Interval at which a waiting request checks for the first configuration.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn wait_for_configuration(node: &Node) {
    let until = node.now() + STARTUP_WAIT_MS;
    while node.now() < until && node.config_confirmation.borrow().is_starting(node.now()) {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Returns the smaller of the caller's and the route's time limit, in milliseconds.
fn time_limit_ms(headers: &HeaderMap, route: &Route) -> Millis {
    let requested_ms = header::number(headers, &header::DEADLINE_MS);
    requested_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms)
}

/// Returns the identifier of a request as text for logs and reports; bytes that are no UTF-8 are replaced.
fn id_text(headers: &HeaderMap) -> Name {
    match headers.get(header::REQUEST_ID) {
        Some(id) => Name::from(&*String::from_utf8_lossy(id.as_bytes())),
        None => Name::from("-"),
    }
}

/// Returns the host that a request names, without a port.
fn host(parts: &Parts) -> &str {
    let named = header::text(&parts.headers, &http::header::HOST);
    let named = named.or_else(|| parts.uri.host()).unwrap_or("");
    match named.rsplit_once(':') {
        // The last colon of an IPv6 address without a port is within its brackets.
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => host,
        _ => named,
    }
}

/// Returns the path and query of a target, with the bytes that the caller sent.
fn origin_form(uri: &Uri) -> Uri {
    let path_and_query = uri.path_and_query().cloned();
    path_and_query.map_or_else(Uri::default, Uri::from)
}

async fn read_body<B>(
    intent: &Intent,
    parts: &Parts,
    body: B,
    id: &Name,
) -> Result<Bytes, Response<RelayBody>>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>,
{
    let limits = &intent.limits;
    let declared = header::number(&parts.headers, &http::header::CONTENT_LENGTH);
    if declared.is_some_and(|n| n > limits.body_bytes as u64) {
        log::info!(request = id.as_ref(); "body too large");
        return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    }
    // A slow body occupies memory while no work is done for it.
    let time = Duration::from_millis(limits.idle_timeout_ms);
    match timeout(
        time,
        buffers::collect(body, limits.body_bytes, Purpose::Data),
    )
    .await
    {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::TooLong)) => {
            log::info!(request = id.as_ref(); "body too large");
            Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(e @ CollectError::NoBuffer(_))) => {
            log::warn!(request = id.as_ref(), cause:% = e; "not answered");
            Err(plain(StatusCode::SERVICE_UNAVAILABLE, "no buffer left"))
        }
        Ok(Err(CollectError::Unreadable(e))) => {
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
    count_outcome("unconfirmed");
    SendRecord::default().failure(Cause::Unconfirmed, UNCONFIRMED_RETRY_MS)
}

/// Refuses a request of an organisation whose name no header holds. Without the header it would run under no
/// organisation.
fn unnamed(intent: &Intent, id: &Name, organisation: &Name) -> Response<RelayBody> {
    let beginning: String = organisation.chars().take(MAX_LOGGED_CHARS).collect();
    log::warn!(
        request = id.as_ref(),
        organisation:? = beginning,
        version = intent.version;
        "refused: no header holds the organisation's name"
    );
    count_outcome("refused");
    SendRecord::default().failure(Cause::UnnamedOrganisation, UNNAMED_RETRY_MS)
}

/// Counts a request that was not sent because this instance stops, and returns its final answer.
pub(crate) fn stopping() -> Response<RelayBody> {
    count_outcome("stopping");
    SendRecord::default().failure(Cause::Stopping, shutdown::RETRY_AFTER_MS)
}

/// Denies a request, or answers "unconfirmed" if the configuration's confirmation is too old for a
/// denial.
fn deny(node: &Node, id: &Name, status: StatusCode, why: &str) -> Response<RelayBody> {
    let age = node.config_confirmation.borrow().age_ms(node.now());
    if age.is_none_or(|age| age > MAX_DENIAL_AGE_MS) {
        return unconfirmed(node, id);
    }
    let version = node.intent().map_or(0, |i| i.version);
    log::info!(request = id.as_ref(), status = status.as_u16(), version, why; "denied");
    count_outcome("denied");
    plain(status, why)
}

pub(crate) fn count_outcome(outcome: &'static str) {
    metrics::counter!("jacinthweir_requests_total", "outcome" => outcome).increment(1);
}
