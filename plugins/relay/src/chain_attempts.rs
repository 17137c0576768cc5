//! Attempts of one request on successive chains, and the record of their outcomes.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http::{Request, Response};
use http_body_util::Full;
use jacinthweir_clients::direct::ResponseBody;
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::prompt_part;
use jacinthweir_policy::relay::attempts::Attempts;
use tokio::time::timeout;

use crate::admission;
use crate::answer::SendRecord;
use crate::attempt::{self, SendOutcome};
use crate::failure_detector;
use crate::forwarding::{self, Forwarded, StreamProgress};
use crate::interrupted_run::{self, InterruptedRun, Progress};
use crate::live_chains::{InFlight, Interruption, LiveChain};
use crate::node::Node;
use crate::quarantine::lifetimes;
use crate::request::ProxiedRequest;
use crate::send_permit::SendPermit;

/// Outcome of an attempt on a chain.
pub(crate) enum AttemptOutcome {
    /// The head of an answer arrived.
    Stream(InFlight, Response<ResponseBody>),
    /// A runner states that it did not run the request.
    NotRun,
    /// The connection to the first runner failed.
    Unreached,
    /// A runner of the chain does not answer, and the send is still open.
    Silent(OpenSend),
    /// No valid answer to this request: it may have run.
    Lost,
    /// The deadline has passed.
    Timeout,
}

/// A send whose answer has not begun.
pub(crate) struct OpenSend {
    in_flight: InFlight,
    sent: LocalBoxFuture<'static, SendOutcome>,
    /// Whether the first runner may have run the request before.
    ran_before: bool,
}

impl OpenSend {
    /// Sends a request through a chain. With `after`, it resumes a stream after that event.
    fn open(
        node: &Rc<Node>,
        permit: SendPermit,
        rq: &ProxiedRequest,
        live: &Rc<LiveChain>,
        after: Option<u64>,
        ran_before: bool,
    ) -> OpenSend {
        let in_flight = InFlight::open(node, Rc::clone(live), admission::tokens(rq));
        let req = chain_request(node, rq, live, after);
        log_sent(node, rq, live);
        let (node, live) = (Rc::clone(node), Rc::clone(live));
        let sent = async move {
            match req {
                Some(req) => attempt::send(&node, permit, live.chain.head(), req).await,
                None => SendOutcome::unaddressed(),
            }
        };
        OpenSend {
            in_flight,
            sent: sent.boxed_local(),
            ran_before,
        }
    }

    /// Polls for the end of the send.
    pub(crate) fn poll_outcome(&mut self, cx: &mut Context<'_>) -> Poll<SendOutcome> {
        self.sent.as_mut().poll(cx)
    }
}

/// Returns a request as sent through a chain; `None` if no header holds the name of its first runner.
fn chain_request(
    node: &Node,
    rq: &ProxiedRequest,
    live: &LiveChain,
    after: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let mut req = rq.runner_request(node, &live.chain.head().id)?;
    let chain = header::value(&header::encode_chain(&live.chain))?;
    let headers = req.headers_mut();
    headers.insert(header::CHAIN, chain);
    if let Some(after) = after {
        headers.insert(header::LAST_EVENT_ID, after.into());
    }
    Some(req)
}

/// Record of the attempts of one request.
#[derive(Default)]
pub(crate) struct ChainAttempts {
    pub(crate) send_record: SendRecord,
    attempts: Attempts,
    /// Chains that broke while the request was in flight.
    pub(crate) broken: Vec<Rc<LiveChain>>,
    /// Chains that did not run the request, or could not be reached.
    refused: Vec<Rc<LiveChain>>,
    /// First runners, by identity and lifetime, of sends that are open while their chain is silent.
    open: Vec<(Name, u64)>,
    /// First runners that broke off an answer. One answer does not show that a runner is at fault, so
    /// they are only the last choice.
    broke_off: Vec<(Name, u64)>,
}

impl ChainAttempts {
    /// Returns the record of a request that has not been sent by this instance.
    pub(crate) fn of(rq: &ProxiedRequest) -> ChainAttempts {
        let attempts = rq
            .origin
            .as_ref()
            .map_or_else(Attempts::default, |o| o.attempts.clone());
        ChainAttempts {
            attempts,
            ..ChainAttempts::default()
        }
    }

    /// Returns how often the request was sent, and where it may have run.
    pub(crate) fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    fn record_told(&mut self, told: Option<Attempts>) {
        match told {
            Some(told) => self.attempts.record_forwarded(told),
            None => self.record_untold(),
        }
    }

    /// Records that another instance may have sent the request once without telling it.
    pub(crate) fn record_untold(&mut self) {
        self.attempts.record_untold();
    }

    /// Sends the request through another instance and records the outcome.
    pub(crate) async fn forward(
        &mut self,
        node: &Node,
        rq: &ProxiedRequest,
        progress: StreamProgress,
    ) -> Forwarded {
        let prior = self.send_record.as_prior();
        self.send_record.record_send();
        let sent = forwarding::send(node, rq, progress, prior, &self.attempts).await;
        match &sent {
            Forwarded::Answer { told, .. } | Forwarded::Lost { told, .. } => {
                self.record_told(told.clone());
            }
            Forwarded::Timeout => self.record_untold(),
            Forwarded::Refused { told, .. } => {
                self.record_told(told.clone());
                self.send_record.record_unreached();
            }
            Forwarded::NotTaken => self.send_record.record_unreached(),
        }
        sent
    }

    /// Selects a chain for the request among those that `accepts` accepts, filled up to `fill`. A runner
    /// that broke off an answer gets it again only if no other chain takes it: one that breaks off all
    /// would use up the sends of each request, and the retry budget.
    pub(crate) fn choose_chain(
        &self,
        node: &Node,
        rq: &ProxiedRequest,
        fill: f64,
        accepts: impl Fn(&LiveChain) -> bool,
    ) -> Option<Rc<LiveChain>> {
        let may_take = |live: &LiveChain| accepts(live) && self.may_take(node, rq, live);
        let another = match self.broke_off.is_empty() {
            true => None,
            false => node.choose_chain(rq, fill, |l| !self.has_broken_off(l) && may_take(l)),
        };
        another.or_else(|| node.choose_chain(rq, fill, may_take))
    }

    fn has_broken_off(&self, live: &LiveChain) -> bool {
        let (id, born_ms) = live.head();
        self.broke_off.iter().any(|(i, b)| (i, *b) == (id, born_ms))
    }

    /// Records that the first runner of a chain broke off an answer.
    pub(crate) fn record_broken_off(&mut self, live: &LiveChain) {
        let (id, born_ms) = live.head();
        self.broke_off.push((id.clone(), born_ms));
    }

    /// Returns whether the request may be sent through a chain.
    pub(crate) fn may_take(&self, node: &Node, rq: &ProxiedRequest, live: &LiveChain) -> bool {
        let mut excluded = self.broken.iter().chain(&self.refused);
        let is_excluded = excluded.any(|l| std::ptr::eq(&raw const **l, live));
        let runners = node.runners.borrow();
        let ended = |id: &Name, born_ms: u64| runners.has_ended(id, born_ms);
        let (id, born_ms) = live.head();
        let is_open = self.open.iter().any(|(i, b)| (i, *b) == (id, born_ms));
        !is_excluded && !is_open && self.attempts.allows(id, born_ms, rq.max_attempts, ended)
    }

    /// Allows the chains that refused the request once more. Their back-off sets the pace.
    pub(crate) fn forget_refusals(&mut self) {
        self.refused.clear();
    }

    /// Returns whether no further send of the request is allowed on any chain.
    pub(crate) fn is_exhausted(&self, rq: &ProxiedRequest) -> bool {
        self.attempts.is_exhausted(rq.max_attempts)
    }

    /// Sends the request through a chain and records the outcome.
    pub(crate) async fn attempt(
        &mut self,
        node: &Rc<Node>,
        permit: SendPermit,
        rq: &ProxiedRequest,
        live: &Rc<LiveChain>,
        after: Option<u64>,
    ) -> AttemptOutcome {
        let (id, born_ms) = live.head();
        let ran_before = self.attempts.may_have_run(id, born_ms);
        self.send_record.record_send();
        self.attempts.record_sent(id, born_ms);
        let mut send = OpenSend::open(node, permit, rq, live, after, ran_before);
        let left = Duration::from_millis(rq.remaining_ms(node));
        let sent = tokio::select! {
            sent = timeout(left, send.sent.as_mut()) => sent,
            interruption = send.in_flight.interrupted() => {
                self.record_silent(node, rq, &send, interruption);
                return AttemptOutcome::Silent(send);
            }
        };
        match sent {
            Ok(sent) => self.record_outcome(node, rq, send, sent),
            Err(_) => {
                log_attempt(rq, live, "timeout", "");
                AttemptOutcome::Timeout
            }
        }
    }

    fn record_silent(
        &mut self,
        node: &Rc<Node>,
        rq: &ProxiedRequest,
        send: &OpenSend,
        interruption: Interruption,
    ) {
        let live = &send.in_flight.live;
        let (id, born_ms) = live.head();
        self.open.push((id.clone(), born_ms));
        log_attempt(rq, live, "silent", &interruption.to_string());
        match interruption {
            Interruption::ChainBroke => {
                record_interruption(node, rq, &send.in_flight, "chain broke");
                self.broken.push(Rc::clone(live));
            }
            // The path says nothing about the chain.
            Interruption::PathLost | Interruption::SilentAgain => {}
        }
    }

    /// Ends a send whose chain is silent.
    pub(crate) fn abandon(&mut self, send: &OpenSend) {
        self.close(&send.in_flight.live);
    }

    fn close(&mut self, live: &LiveChain) {
        let (id, born_ms) = live.head();
        self.open.retain(|(i, b)| (i, *b) != (id, born_ms));
    }

    /// Records how a send ended.
    pub(crate) fn record_outcome(
        &mut self,
        node: &Rc<Node>,
        rq: &ProxiedRequest,
        send: OpenSend,
        sent: SendOutcome,
    ) -> AttemptOutcome {
        let OpenSend {
            in_flight,
            ran_before,
            ..
        } = send;
        let live = Rc::clone(&in_flight.live);
        self.close(&live);
        match sent {
            SendOutcome::Answer(res) => {
                live.refusals.borrow_mut().record_accepted(node.now());
                AttemptOutcome::Stream(in_flight, res)
            }
            SendOutcome::NotRun(refusal) => {
                log_attempt(rq, &live, "not run", &refusal.to_string());
                in_flight.refused();
                live.refusals.borrow_mut().record_refused(node.now());
                if let Some(address) = refusal.misplaced_at() {
                    mark_misreported(node, address);
                }
                self.send_record.record_not_run();
                self.record_not_run(live, ran_before);
                AttemptOutcome::NotRun
            }
            SendOutcome::Unreached(e) => {
                log_attempt(rq, &live, "not reached", &e.to_string());
                in_flight.unreached();
                failure_detector::connection_failed(node, live.chain.head());
                self.send_record.record_unreached();
                self.record_not_run(live, ran_before);
                AttemptOutcome::Unreached
            }
            SendOutcome::Lost(cause) => {
                log_attempt(rq, &live, "lost", &cause);
                record_interruption(node, rq, &in_flight, &cause);
                self.record_broken_off(&live);
                AttemptOutcome::Lost
            }
        }
    }

    fn record_not_run(&mut self, live: Rc<LiveChain>, ran_before: bool) {
        let (id, born_ms) = live.head();
        self.attempts.record_not_run(id, born_ms, ran_before);
        self.refused.push(live);
    }
}

/// Records the interruption of a run before any part of its answer arrived.
fn record_interruption(node: &Rc<Node>, rq: &ProxiedRequest, in_flight: &InFlight, cause: &str) {
    let interrupted_run = InterruptedRun {
        rq,
        lifetimes: lifetimes(&in_flight.live.chain),
        sent_ms: in_flight.sent_ms,
        progress: Progress::NothingReceived,
        cause,
    };
    interrupted_run::record(node, interrupted_run);
}

/// Logs a send, with the values that the choice of the chain was based on.
fn log_sent(node: &Node, rq: &ProxiedRequest, live: &LiveChain) {
    log::info!(
        request = rq.id.as_ref(),
        route = rq.route.as_ref(),
        version = rq.version(),
        chain = live.label(),
        runner = live.chain.head().id.as_ref(),
        tokens = admission::tokens(rq) as u64,
        parts = prompt_part::list(&rq.prompt_parts),
        used = live.used_tokens() as u64,
        room = live.chain.room_tokens as u64,
        after_ms = node.now() - rq.received_ms;
        "sent"
    );
}

/// Marks the layers in a runner's store entry as wrong, after an answer named the runner as not
/// holding them. It is excluded from chains until its entry shows other layers.
fn mark_misreported(node: &Node, address: std::net::SocketAddr) {
    let found = {
        let runners = node.runners.borrow();
        runners.at(address).map(|e| (e.id.clone(), e.layers))
    };
    let Some((id, layers)) = found else {
        return;
    };
    if let Some(s) = node.runners.borrow_mut().health_mut(&id) {
        s.misreported = layers;
    }
    log::warn!(runner = id.as_ref(), layers:? = layers; "runner does not hold what its entry says");
    node.rebuild_chains();
}

fn log_attempt(rq: &ProxiedRequest, live: &LiveChain, outcome: &str, cause: &str) {
    log::info!(
        request = rq.id.as_ref(),
        chain = live.label(),
        runner = live.chain.head().id.as_ref(),
        outcome,
        cause;
        "attempt"
    );
}
