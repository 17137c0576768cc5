//! Attempts of one request on successive chains, and the record of their outcomes.

use std::rc::Rc;
use std::time::Duration;

use http::Response;
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

/// Outcome of an attempt on a chain.
pub(crate) enum AttemptOutcome {
    /// The head of an answer arrived.
    Stream(InFlight, Response<ResponseBody>),
    /// A runner states that it did not run the request.
    NotRun,
    /// The connection to the first runner failed.
    Unreached,
    /// A stage of the chain was found dead.
    Broken,
    /// No valid answer to this request: it may have run.
    Lost,
    /// The deadline has passed.
    Timeout,
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
}

impl ChainAttempts {
    /// Returns the record of a request that has not been sent by this instance.
    pub(crate) fn of(rq: &ProxiedRequest) -> ChainAttempts {
        let ran = rq.origin.as_ref().map_or_else(Vec::new, |o| o.ran.clone());
        ChainAttempts {
            attempts: Attempts::resumed(ran),
            ..ChainAttempts::default()
        }
    }

    /// Sends the request through another instance and records the outcome.
    pub(crate) async fn forward(
        &mut self,
        node: &Node,
        rq: &ProxiedRequest,
        progress: StreamProgress,
    ) -> Forwarded {
        self.send_record.record_send();
        let sent = forwarding::send(node, rq, progress, self.attempts.ran()).await;
        match &sent {
            Forwarded::Answer { runner, .. } => self.attempts.record_forwarded(runner.clone()),
            Forwarded::Lost(_) | Forwarded::Timeout => self.attempts.record_forwarded(None),
            Forwarded::Refused { .. } | Forwarded::NotTaken => self.send_record.record_unreached(),
        }
        sent
    }

    /// Returns whether the request may be sent through a chain.
    pub(crate) fn may_take(&self, node: &Node, rq: &ProxiedRequest, live: &LiveChain) -> bool {
        let mut excluded = self.broken.iter().chain(&self.refused);
        let is_excluded = excluded.any(|l| std::ptr::eq(&raw const **l, live));
        let runners = node.runners.borrow();
        let ended = |id: &Name, born_ms: u64| {
            // A runner that does not answer this instance may still be alive. Its lifetime counts
            // as ended only when its store entry is gone or shows another start.
            runners.entry(id).is_none_or(|e| e.born_ms != born_ms)
        };
        let (id, born_ms) = live.head();
        !is_excluded && self.attempts.allows(id, born_ms, rq.max_attempts, ended)
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
        rq: &ProxiedRequest,
        live: &Rc<LiveChain>,
        after: Option<u64>,
    ) -> AttemptOutcome {
        let (id, born_ms) = live.head();
        let ran_before = self.attempts.may_have_run(id, born_ms);
        self.send_record.record_send();
        self.attempts.record_sent(id, born_ms);
        let outcome = send(node, rq, live, after).await;
        match outcome {
            AttemptOutcome::NotRun | AttemptOutcome::Unreached => {
                match outcome {
                    AttemptOutcome::Unreached => self.send_record.record_unreached(),
                    _ => self.send_record.record_not_run(),
                }
                self.attempts.record_not_run(id, born_ms, ran_before);
                self.refused.push(Rc::clone(live));
            }
            AttemptOutcome::Broken => self.broken.push(Rc::clone(live)),
            // A lost answer does not show that the chain is at fault.
            AttemptOutcome::Lost | AttemptOutcome::Stream(..) | AttemptOutcome::Timeout => {}
        }
        outcome
    }
}

/// Sends a request through a chain and waits for the head of the answer.
async fn send(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    live: &Rc<LiveChain>,
    after: Option<u64>,
) -> AttemptOutcome {
    let in_flight = InFlight::open(node, Rc::clone(live), admission::tokens(rq));
    let head = live.chain.head();
    let mut req = rq.runner_request(node, &head.id);
    if let Some(value) = header::value(&header::encode_chain(&live.chain)) {
        req.headers_mut().insert(header::CHAIN, value);
    }
    if let Some(after) = after {
        req.headers_mut()
            .insert(header::LAST_EVENT_ID, after.into());
    }
    log_sent(node, rq, live);
    let left = Duration::from_millis(rq.remaining_ms(node));
    let sent = tokio::select! {
        sent = timeout(left, attempt::send(node, head, &rq.id, req)) => sent,
        interruption = in_flight.interrupted() => {
            log_attempt(rq, live, &interruption.to_string(), "");
            return match interruption {
                Interruption::ChainBroke => {
                    record_interruption(node, rq, &in_flight, "chain broke");
                    AttemptOutcome::Broken
                }
                Interruption::PathLost => AttemptOutcome::Lost,
            };
        }
    };
    match sent {
        Ok(SendOutcome::Answer(res)) => {
            live.refusals.borrow_mut().record_accepted(node.now());
            AttemptOutcome::Stream(in_flight, res)
        }
        Ok(SendOutcome::NotRun(refusal)) => {
            log_attempt(rq, live, "not run", &refusal.to_string());
            in_flight.refused();
            live.refusals.borrow_mut().record_refused(node.now());
            if let Some(address) = refusal.misplaced_at() {
                mark_misreported(node, address);
            }
            AttemptOutcome::NotRun
        }
        Ok(SendOutcome::Unreached(e)) => {
            log_attempt(rq, live, "not reached", &e.to_string());
            in_flight.unreached();
            failure_detector::connection_failed(node, head);
            AttemptOutcome::Unreached
        }
        Ok(SendOutcome::Lost(cause)) => {
            log_attempt(rq, live, "lost", &cause);
            record_interruption(node, rq, &in_flight, &cause);
            AttemptOutcome::Lost
        }
        Err(_) => {
            log_attempt(rq, live, "timeout", "");
            AttemptOutcome::Timeout
        }
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
