//! Requests that an instance sends through another one, because it reaches no runner for them itself.
//!
//! The other instance serves the request as if its caller had sent it there: it authorises, routes
//! and admits it by its own state, and its answer is streamed back. A request is forwarded once at
//! most. The answer's head says whether the request was sent to a runner, since only the instance
//! that forwards it knows what became of earlier attempts.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use jacinthweir_clients::buffers::{self, Purpose};
use jacinthweir_clients::direct::{self, ResponseBody};
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::attempts::Attempts;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::answer::{Cause, PriorSends, RelayBody, SendFacts, plain};
use crate::attempt::CONNECT_TIMEOUT;
use crate::node::Node;
use crate::reachability::{self, PeerAddress};
use crate::request::{self, ProxiedRequest};

/// Path to which instances forward requests.
pub(crate) const PATH: &str = "/peer/request";

/// Bytes of a forwarded request beyond its body.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Instances that a request is offered to. Some may be cut off as well.
const MAX_PEERS: usize = 3;

/// What became of a forwarded request, in the head of the answer.
const OUTCOME: HeaderName = HeaderName::from_static("jacinthweir-forwarded");

/// A runner that may have run a forwarded stream: its identity and the start of its lifetime. There is one
/// such header for each.
const RUNNER: HeaderName = HeaderName::from_static("jacinthweir-forwarded-runner");

/// How often a stream was sent to runners, in the request and in the answer.
const SENDS: HeaderName = HeaderName::from_static("jacinthweir-forwarded-sends");

/// How many of these sends may have run on runners that are not known.
const UNTOLD: HeaderName = HeaderName::from_static("jacinthweir-forwarded-untold");

/// A runner that may have run a request: identity and lifetime.
pub(crate) type Ran = (Name, u64);

/// A request as sent to another instance.
#[derive(Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    from: Name,
    /// Version of the configuration by which it was admitted.
    version: u64,
    method: String,
    uri: String,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
    /// Time until the deadline, in milliseconds.
    remaining_ms: Millis,
    /// Time since it was received, in milliseconds.
    waited_ms: Millis,
    /// Whether it goes on with a stream whose caller has the beginning.
    is_resumed: bool,
    /// Runners that may have run it.
    ran: Vec<Ran>,
    /// What became of its sends by the instance that forwards it.
    #[serde(default)]
    prior: PriorSends,
}

/// How far the caller's stream is when its request is forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamProgress {
    /// Last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// Whether the caller has the head of the answer.
    pub(crate) is_resumed: bool,
}

impl StreamProgress {
    /// Nothing of the answer has been sent to the caller.
    pub(crate) fn none(rq: &ProxiedRequest) -> StreamProgress {
        StreamProgress {
            last_event: rq.last_event,
            is_resumed: false,
        }
    }
}

/// What became of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// A runner answered it, or it was denied.
    Answered,
    /// The instance cannot serve any such request now.
    Unable,
    /// It has certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    const ALL: [Outcome; 4] = [
        Outcome::Answered,
        Outcome::Unable,
        Outcome::NotRun,
        Outcome::Unknown,
    ];

    fn text(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Unable => "unable",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    fn parse(text: &str) -> Option<Outcome> {
        Outcome::ALL.into_iter().find(|o| o.text() == text)
    }

    /// Returns the outcome of a request that ended with `res`.
    fn of(res: &Response<RelayBody>) -> Outcome {
        match res.extensions().get::<SendFacts>() {
            None => Outcome::Answered,
            Some(facts) if facts.may_have_run => Outcome::Unknown,
            Some(facts) => match facts.cause {
                Cause::NoPath | Cause::Unconfirmed | Cause::Stopping if facts.sends == 0 => {
                    Outcome::Unable
                }
                _ => Outcome::NotRun,
            },
        }
    }
}

/// What another instance did with a request.
pub(crate) enum Forwarded {
    /// It was answered.
    Answer {
        peer: Name,
        res: Response<ResponseBody>,
        /// Sends of a stream so far, if the other instance told them.
        told: Option<Attempts>,
    },
    /// The other instance refused it, and it has certainly not run.
    Refused {
        /// When the caller should retry, in milliseconds.
        retry_after_ms: Millis,
        /// Sends of a stream so far, if the other instance told them.
        told: Option<Attempts>,
    },
    /// No other instance took it.
    NotTaken,
    /// It may have run.
    Lost {
        cause: String,
        /// Sends of a stream so far, if the other instance told them.
        told: Option<Attempts>,
    },
    /// The deadline has passed.
    Timeout,
}

/// Sends a request to another instance that may reach runners for it.
pub(crate) async fn send(
    node: &Node,
    rq: &ProxiedRequest,
    progress: StreamProgress,
    prior: PriorSends,
    attempts: &Attempts,
) -> Forwarded {
    let message = ForwardedRequest::of(node, rq, progress, prior, attempts.ran());
    let body = match rmp_serde::to_vec(&message) {
        Ok(body) => Bytes::from(body),
        Err(e) => {
            log::error!(request = rq.id.as_ref(), cause:% = e; "cannot encode a request");
            return Forwarded::NotTaken;
        }
    };
    for peer in reachability::peers_with_paths(node, MAX_PEERS) {
        let left = Duration::from_millis(rq.remaining_ms(node));
        let sent = timeout(left, offer(&peer, body.clone(), attempts)).await;
        let forwarded = sent.unwrap_or(Forwarded::Timeout);
        log_forwarded(node, rq, &peer, &forwarded);
        if !matches!(forwarded, Forwarded::NotTaken) {
            return forwarded;
        }
    }
    Forwarded::NotTaken
}

fn outcome(headers: &HeaderMap) -> Option<Outcome> {
    header::text(headers, &OUTCOME).and_then(Outcome::parse)
}

/// Offers a request to one instance.
async fn offer(peer: &PeerAddress, body: Bytes, attempts: &Attempts) -> Forwarded {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(PATH);
    if let Some(host) = header::value(&peer.peers.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    tell_counts(attempts, req.headers_mut());
    let res = match direct::send(peer.peers, req, CONNECT_TIMEOUT).await {
        Ok(res) => res,
        Err(e) if e.is_unsent() => return Forwarded::NotTaken,
        Err(e) => {
            let cause = e.to_string();
            return Forwarded::Lost { cause, told: None };
        }
    };
    let told = SentSoFar::told(res.headers());
    match outcome(res.headers()) {
        Some(Outcome::Answered) => Forwarded::Answer {
            peer: peer.name.clone(),
            res,
            told,
        },
        Some(Outcome::NotRun) => Forwarded::Refused {
            retry_after_ms: header::retry_after_ms(res.headers()).unwrap_or(0),
            told,
        },
        Some(Outcome::Unknown) => Forwarded::Lost {
            cause: "another instance got no answer".to_owned(),
            told,
        },
        Some(Outcome::Unable) => Forwarded::NotTaken,
        // An instance refuses what it can't take before it serves any of it.
        None if res.status().is_client_error() => Forwarded::NotTaken,
        None => Forwarded::Lost {
            cause: format!("answered {} without an outcome", res.status()),
            told: None,
        },
    }
}

fn log_forwarded(node: &Node, rq: &ProxiedRequest, peer: &PeerAddress, forwarded: &Forwarded) {
    let (outcome, cause) = match forwarded {
        Forwarded::Answer { .. } => ("answered", ""),
        Forwarded::Refused { .. } => ("refused", ""),
        Forwarded::NotTaken => ("not taken", ""),
        Forwarded::Lost { cause, .. } => ("lost", cause.as_str()),
        Forwarded::Timeout => ("timeout", ""),
    };
    log::info!(
        request = rq.id.as_ref(),
        peer = peer.name.as_ref(),
        outcome,
        cause,
        after_ms = node.now() - rq.received_ms;
        "forwarded to another instance"
    );
    metrics::counter!("jacinthweir_forwarded_total", "outcome" => outcome).increment(1);
}

impl ForwardedRequest {
    fn of(
        node: &Node,
        rq: &ProxiedRequest,
        progress: StreamProgress,
        prior: PriorSends,
        ran: &[Ran],
    ) -> ForwardedRequest {
        let req = rq.caller_request(progress.last_event);
        let headers = req.headers().iter();
        let headers = headers.map(|(name, value)| {
            (
                name.as_str().to_owned(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        });
        ForwardedRequest {
            from: node.settings.name.clone(),
            version: rq.version(),
            method: req.method().to_string(),
            uri: req.uri().to_string(),
            headers: headers.collect(),
            remaining_ms: rq.remaining_ms(node),
            waited_ms: node.now() - rq.received_ms,
            is_resumed: progress.is_resumed,
            ran: ran.to_vec(),
            prior,
            body: req.into_body(),
        }
    }

    /// Returns the request as its caller sent it, with the remaining time as its deadline.
    fn decode(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut req = Request::builder()
            .method(self.method.as_str())
            .uri(self.uri.as_str());
        for (name, value) in &self.headers {
            req = req.header(name.as_str(), HeaderValue::from_bytes(value)?);
        }
        let mut req = req.body(Full::new(self.body.clone()))?;
        req.headers_mut()
            .insert(header::DEADLINE_MS, self.remaining_ms.into());
        Ok(req)
    }
}

/// Serves a request that another instance forwarded.
pub(crate) async fn serve(node: &Rc<Node>, req: Request<Incoming>) -> Response<RelayBody> {
    let max_body = node.intent().map_or(0, |i| i.limits.body_bytes);
    let (sends, untold) = told_counts(req.headers());
    let body = buffers::collect(req.into_body(), max_body + MAX_HEAD_BYTES, Purpose::Data).await;
    let message = body
        .ok()
        .and_then(|b| rmp_serde::from_slice::<ForwardedRequest>(&b).ok());
    let Some(message) = message else {
        return plain(StatusCode::BAD_REQUEST, "message not understood");
    };
    let Ok(req) = message.decode() else {
        return plain(StatusCode::BAD_REQUEST, "request not understood");
    };
    // By an older configuration it could be denied although the newer one allows it.
    if node.intent().is_none_or(|i| i.version < message.version) {
        return plain(StatusCode::CONFLICT, "the configuration here is older");
    }
    // Its body has been read before: a connection that is closed with unread bytes is reset, and the other
    // instance could not tell whether the request ran.
    if node.draining.get() {
        log::info!(peer = message.from.as_ref(); "refused a forwarded request: this instance stops");
        return with_outcome(request::stopping());
    }
    log::debug!(peer = message.from.as_ref(); "serving a request of another instance");
    let origin = ForwardOrigin {
        waited_ms: message.waited_ms,
        is_resumed: message.is_resumed,
        attempts: Attempts::resumed(message.ran, sends, untold),
        prior: message.prior,
    };
    let mut res = request::serve_forwarded(node, req, origin).await;
    if let Some(sent) = res.extensions_mut().remove::<SentSoFar>() {
        sent.tell(res.headers_mut());
    }
    with_outcome(res)
}

/// Tells the instance that forwarded a request what became of it.
fn with_outcome(mut res: Response<RelayBody>) -> Response<RelayBody> {
    let outcome = HeaderValue::from_static(Outcome::of(&res).text());
    res.headers_mut().insert(OUTCOME, outcome);
    res
}

/// What a forwarded request went through at the instance that sent it.
#[derive(Debug)]
pub(crate) struct ForwardOrigin {
    pub(crate) waited_ms: Millis,
    /// Whether it goes on with a stream whose caller has the beginning.
    pub(crate) is_resumed: bool,
    /// How often it was sent, and where it may have run.
    pub(crate) attempts: Attempts,
    /// What became of its sends there.
    pub(crate) prior: PriorSends,
}

/// Sends of a stream up to the head of its answer, as an extension of it.
#[derive(Clone, Debug)]
pub(crate) struct SentSoFar(pub(crate) Attempts);

impl SentSoFar {
    /// Adds the sends to the head of the answer to the instance that forwarded the stream.
    fn tell(&self, headers: &mut HeaderMap) {
        tell_counts(&self.0, headers);
        headers.remove(RUNNER);
        for (id, born_ms) in self.0.ran() {
            // One without a name counts as a runner that is not known.
            let named = header::value(&format!("{born_ms} {id}"));
            headers.append(RUNNER, named.unwrap_or_else(|| (*born_ms).into()));
        }
    }

    /// Returns the sends that the head of an answer tells; `None` if it tells none.
    fn told(headers: &HeaderMap) -> Option<Attempts> {
        if !headers.contains_key(SENDS) {
            return None;
        }
        let (sends, mut untold) = told_counts(headers);
        let mut ran = Vec::new();
        for runner in headers.get_all(RUNNER) {
            match parse_runner(runner) {
                Some(runner) => ran.push(runner),
                None => untold = untold.saturating_add(1),
            }
        }
        Some(Attempts::resumed(ran, sends, untold))
    }
}

fn tell_counts(attempts: &Attempts, headers: &mut HeaderMap) {
    headers.insert(SENDS, attempts.sends().into());
    headers.insert(UNTOLD, attempts.untold().into());
}

/// Returns how often a stream was sent, and how many of these sends are on runners that are not known.
fn told_counts(headers: &HeaderMap) -> (u32, u32) {
    let count = |name| header::number(headers, name).unwrap_or(0);
    let bounded = |count| u32::try_from(count).unwrap_or(u32::MAX);
    (bounded(count(&SENDS)), bounded(count(&UNTOLD)))
}

fn parse_runner(value: &HeaderValue) -> Option<Ran> {
    let text = std::str::from_utf8(value.as_bytes()).ok()?;
    let (born_ms, id) = text.split_once(' ')?;
    Some((id.into(), born_ms.parse().ok()?))
}

/// Returns the headers of an answer as they are passed on to the caller.
pub(crate) fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = header::forwarded(headers);
    headers.remove(OUTCOME);
    headers.remove(RUNNER);
    headers.remove(SENDS);
    headers.remove(UNTOLD);
    headers
}
