//! Calls: requests with a single answer, to services without layers.
//!
//! The answer is read completely before any of it is forwarded. If a runner fails midway, the
//! caller therefore gets no partial answer, and a repeatable call can be retried.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use jacinthweir_clients::direct::ResponseBody;
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use tokio::time::timeout;

use crate::admission;
use crate::answer::{Cause, RelayBody, SendRecord};
use crate::attempt::{self, SendOutcome};
use crate::failure_detector;
use crate::forwarding::{self, Forwarded, Ran, StreamProgress};
use crate::interrupted_run::{self, InterruptedRun, Progress};
use crate::node::Node;
use crate::quarantine;
use crate::rate_limits;
use crate::reachability;
use crate::request::{ProxiedRequest, count_outcome};
use crate::rest;

/// Maximum answer size, in bytes: the answer is buffered in memory.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Maximum number of failed connection attempts per call.
const MAX_UNREACHED: u32 = 3;

/// How long a runner is avoided after it rejected a request as misdirected (status 421), in
/// milliseconds.
const MISDIRECTED_AVOID_MS: Millis = 1_000;

/// How long a runner is avoided after it refused a call because it is full, in milliseconds.
const FULL_AVOID_MS: Millis = 100;

/// How long a runner is avoided after a failed connection, in milliseconds. Probes usually show
/// within this time whether it is dead.
const UNREACHED_AVOID_MS: Millis = 250;

/// Minimum `Retry-After` of a refusal, in milliseconds. A call takes about 60 ms.
const RETRY_AFTER_MS: Millis = 300;

/// Maximum jitter added to [`RETRY_AFTER_MS`], in milliseconds, so that callers refused together do
/// not retry together.
const RETRY_AFTER_JITTER_MS: f64 = 200.0;

/// Outcome of one attempt.
enum CallOutcome {
    Answered(Response<RelayBody>),
    NotRun,
    Unreached,
    /// The runner failed the call. Its own answer, if any, is forwarded if no other attempt
    /// succeeds.
    Failed(Option<Response<RelayBody>>),
    Timeout,
}

/// Serves a call.
pub(crate) async fn serve(node: &Rc<Node>, rq: ProxiedRequest) -> Response<RelayBody> {
    let mut send_record = SendRecord::default();
    let ran_elsewhere = rq.origin.as_ref().map_or(&[][..], |o| &o.ran);
    let mut tried: Vec<Name> = ran_elsewhere.iter().map(|(id, _)| id.clone()).collect();
    let max_sends = rq.max_attempts.saturating_sub(ran_elsewhere.len() as u32);
    let mut last: Option<Response<RelayBody>> = None;
    let mut cause = Cause::NoRunner;
    let mut unreached = 0;
    loop {
        let until = admission::until(node, &rq, send_record);
        if let Some(held_ms) = quarantine::quarantined_ms(node, &rq, until).await {
            return rq.unanswered_response(node, send_record, Cause::Quarantined, held_ms);
        }
        if rq.remaining_ms(node) == 0 {
            cause = Cause::Timeout;
            break;
        }
        if send_record.sends >= max_sends || unreached >= MAX_UNREACHED {
            break;
        }
        if rq.origin.is_none() && reachability::is_lost(node, &rq.service) {
            match forward(node, &rq, &mut send_record, &tried).await {
                CallOutcome::Answered(res) => return res,
                CallOutcome::Timeout => cause = Cause::Timeout,
                CallOutcome::Failed(_) => cause = Cause::RunnerFailed,
                CallOutcome::NotRun | CallOutcome::Unreached => cause = Cause::NoPath,
            }
            break;
        }
        let Some(runner) = next_runner(node, &rq, &tried) else {
            if rest::shortest_ms(node, &rq.service).is_some() {
                cause = Cause::Resting;
            }
            break;
        };
        if send_record.sends > 0 && !node.take_retry(&rq.service, send_record.retry_priority()) {
            break;
        }
        tried.push(runner.id.clone());
        send_record.record_send();
        let repeatable = rq.class.repeatable() && send_record.sends < max_sends;
        match attempt(node, &rq, &runner, repeatable).await {
            CallOutcome::Answered(res) => {
                log_end(node, &rq, &runner, "answered", res.status().as_u16());
                return res;
            }
            CallOutcome::NotRun => {
                send_record.record_not_run();
                cause = Cause::Refused;
            }
            CallOutcome::Unreached => {
                send_record.record_unreached();
                unreached += 1;
            }
            CallOutcome::Failed(res) => {
                last = res.or(last);
                cause = Cause::RunnerFailed;
            }
            CallOutcome::Timeout => cause = Cause::Timeout,
        }
        if send_record.may_have_run() && !rq.class.repeatable() {
            break;
        }
    }
    match last {
        Some(res) if send_record.may_have_run() => {
            count_outcome("runner_failed");
            res
        }
        _ => {
            let retry_after_ms = match cause {
                Cause::Resting => rest::retry_after_ms(node, &rq.service),
                _ => RETRY_AFTER_MS + (node.random_f64() * RETRY_AFTER_JITTER_MS) as Millis,
            };
            rq.unanswered_response(node, send_record, cause, retry_after_ms)
        }
    }
}

/// Sends a call through another instance.
async fn forward(
    node: &Node,
    rq: &ProxiedRequest,
    send_record: &mut SendRecord,
    tried: &[Name],
) -> CallOutcome {
    if send_record.sends > 0 && !node.take_retry(&rq.service, send_record.retry_priority()) {
        return CallOutcome::Failed(None);
    }
    let ran = match send_record.may_have_run() {
        true => lifetimes(node, tried),
        false => Vec::new(),
    };
    send_record.record_send();
    match forwarding::send(node, rq, StreamProgress::none(rq), &ran).await {
        Forwarded::Answer { res, .. } => read_forwarded(node, rq, res).await,
        Forwarded::Refused { retry_after_ms } => {
            send_record.record_unreached();
            let cause = Cause::RefusedElsewhere;
            let res = rq.unanswered_response(node, *send_record, cause, retry_after_ms);
            CallOutcome::Answered(res)
        }
        Forwarded::NotTaken => {
            send_record.record_unreached();
            CallOutcome::Unreached
        }
        Forwarded::Lost(_) => CallOutcome::Failed(None),
        Forwarded::Timeout => CallOutcome::Timeout,
    }
}

fn lifetimes(node: &Node, ids: &[Name]) -> Vec<Ran> {
    let runners = node.runners.borrow();
    let lifetimes = ids
        .iter()
        .map(|id| (id.clone(), runners.health(id).born_ms));
    lifetimes.collect()
}

/// Reads the answer that another instance passes on.
async fn read_forwarded(
    node: &Node,
    rq: &ProxiedRequest,
    res: Response<ResponseBody>,
) -> CallOutcome {
    let left = Duration::from_millis(rq.remaining_ms(node));
    let (parts, body) = res.into_parts();
    match timeout(left, body.collect(MAX_ANSWER_BYTES)).await {
        Ok(Ok(bytes)) => {
            let mut res = Response::new(RelayBody::complete(bytes));
            *res.status_mut() = parts.status;
            *res.headers_mut() = forwarding::caller_headers(&parts.headers);
            count_outcome("forwarded");
            CallOutcome::Answered(res)
        }
        Ok(Err(_)) => CallOutcome::Failed(None),
        Err(_) => CallOutcome::Timeout,
    }
}

fn next_runner(node: &Node, rq: &ProxiedRequest, tried: &[Name]) -> Option<RunnerEntry> {
    let now = node.now();
    let runners = node.runners.borrow();
    let domain = &node.settings.failure_domain;
    let ranked = runners.service_candidates(&rq.service, domain, now, || node.random_u32());
    let mut untried = ranked.into_iter().filter(|e| !tried.contains(&e.id));
    untried.find(|e| rate_limits::allows(node, e)).cloned()
}

async fn attempt(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    runner: &RunnerEntry,
    repeatable: bool,
) -> CallOutcome {
    let _in_flight = InFlightGuard::open(node, &runner.id);
    let sent_ms = node.now();
    let left = rq.remaining_ms(node);
    // If another attempt is possible, the time limit of this one is the route's objective: a
    // hanging runner would otherwise use up all the time until the deadline.
    let time = if repeatable {
        left.min(rq.objective_ms.max(1))
    } else {
        left
    };
    let sent = async {
        let req = rq.runner_request(node, &runner.id);
        match attempt::send(node, runner, &rq.id, req).await {
            SendOutcome::Answer(res) => {
                let (parts, body) = res.into_parts();
                match body.collect(MAX_ANSWER_BYTES).await {
                    Ok(bytes) => Ok(Response::from_parts(parts, bytes)),
                    Err(e) => Err(SendOutcome::Lost(e.to_string())),
                }
            }
            other => Err(other),
        }
    };
    match timeout(Duration::from_millis(time), sent).await {
        Ok(Ok(res)) => {
            let failed = res.status().is_server_error();
            node.runners
                .borrow_mut()
                .record_outcome(&runner.id, failed, node.now());
            match failed {
                true => log_attempt(rq, runner, "failed", res.status().as_str()),
                false => quarantine::record_survival(node, rq),
            }
            let res = to_caller(res);
            if failed {
                CallOutcome::Failed(Some(res))
            } else {
                CallOutcome::Answered(res)
            }
        }
        Ok(Err(sent)) => handle_unanswered(node, rq, runner, sent, sent_ms),
        Err(_) => {
            node.runners
                .borrow_mut()
                .record_outcome(&runner.id, true, node.now());
            log_attempt(rq, runner, "timeout", "");
            CallOutcome::Timeout
        }
    }
}

fn handle_unanswered(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    runner: &RunnerEntry,
    sent: SendOutcome,
    sent_ms: Millis,
) -> CallOutcome {
    match sent {
        SendOutcome::NotRun(refusal) => {
            log_attempt(rq, runner, "not run", &refusal.to_string());
            let pause = match refusal.status {
                StatusCode::MISDIRECTED_REQUEST => MISDIRECTED_AVOID_MS,
                _ => FULL_AVOID_MS,
            };
            avoid_for(node, runner, pause);
            CallOutcome::NotRun
        }
        SendOutcome::Unreached(e) => {
            log_attempt(rq, runner, "not reached", &e.to_string());
            avoid_for(node, runner, UNREACHED_AVOID_MS);
            failure_detector::connection_failed(node, runner);
            CallOutcome::Unreached
        }
        SendOutcome::Lost(cause) => {
            log_attempt(rq, runner, "lost", &cause);
            let interrupted_run = InterruptedRun {
                rq,
                lifetimes: vec![quarantine::lifetime(runner)],
                sent_ms,
                progress: Progress::NothingReceived,
                cause: &cause,
            };
            interrupted_run::record(node, interrupted_run);
            node.runners
                .borrow_mut()
                .record_outcome(&runner.id, true, node.now());
            CallOutcome::Failed(None)
        }
        SendOutcome::Answer(_) => CallOutcome::Failed(None),
    }
}

/// Excludes a runner from new attempts for `ms` milliseconds.
fn avoid_for(node: &Node, runner: &RunnerEntry, ms: Millis) {
    let until = node.now() + ms;
    if let Some(s) = node.runners.borrow_mut().health_mut(&runner.id) {
        s.avoid_until_ms = until;
    }
}

fn to_caller(res: Response<Bytes>) -> Response<RelayBody> {
    let (parts, body) = res.into_parts();
    let mut out = Response::new(RelayBody::complete(body));
    *out.status_mut() = parts.status;
    *out.headers_mut() = header::forwarded(&parts.headers);
    out
}

fn log_attempt(rq: &ProxiedRequest, runner: &RunnerEntry, outcome: &str, cause: &str) {
    log::info!(
        request = rq.id.as_ref(),
        runner = runner.id.as_ref(),
        outcome,
        cause;
        "attempt"
    );
}

fn log_end(
    node: &Node,
    rq: &ProxiedRequest,
    runner: &RunnerEntry,
    outcome: &'static str,
    status: u16,
) {
    let after_ms = node.now() - rq.received_ms;
    count_outcome(outcome);
    metrics::histogram!("jacinthweir_call_seconds").record(after_ms as f64 / 1e3);
    log::info!(
        request = rq.id.as_ref(),
        route = rq.route.as_ref(),
        runner = runner.id.as_ref(),
        status,
        after_ms;
        "answered"
    );
}

/// Counts a request as in flight at a runner until dropped.
struct InFlightGuard {
    node: Rc<Node>,
    runner: Name,
}

impl InFlightGuard {
    fn open(node: &Rc<Node>, runner: &Name) -> InFlightGuard {
        if let Some(s) = node.runners.borrow_mut().health_mut(runner) {
            s.in_flight += 1;
        }
        InFlightGuard {
            node: Rc::clone(node),
            runner: runner.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(s) = self.node.runners.borrow_mut().health_mut(&self.runner) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }
}
