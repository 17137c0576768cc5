//! Requests with one answer: calls of plain services.
//!
//! The answer is read whole before any of it is passed on. A runner that breaks off in the middle
//! then costs a repeat where the call allows one, and no caller sees half an answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use tokio::time::timeout;

use crate::admit;
use crate::answer::{Cause, Journal, RelayBody};
use crate::attempt::{self, Sent};
use crate::breaks::{self, BrokenOff, Progress};
use crate::node::Node;
use crate::probe;
use crate::quarantine;
use crate::rate_limits;
use crate::request::{Proxied, count};

/// The longest answer, in bytes: it is held in memory.
const ANSWER_BYTES: usize = 8 << 20;

/// Runners that may be tried without reaching them.
const MAX_UNREACHED: u32 = 3;

/// How long a runner that said it is another one, or full, is passed over, in milliseconds.
const MISDIRECTED_MS: Millis = 1_000;
const FULL_MS: Millis = 100;

/// How long a runner to which no connection came about is passed over, in milliseconds: in most cases
/// it is known by then whether it is dead.
const NOT_REACHED_MS: Millis = 250;

/// When to come back after a refusal, in milliseconds: a call takes some 60.
const COME_BACK_MS: Millis = 300;

/// What is added to that at the most, so that those refused together do not return together.
const COME_BACK_SPREAD_MS: f64 = 200.0;

/// What came of one attempt.
enum Ended {
    Answered(Response<RelayBody>),
    NotRun,
    Unreached,
    /// The runner failed it: its own word, to be passed on if nothing better comes.
    Failed(Option<Response<RelayBody>>),
    Timeout,
}

/// Serves a call.
pub(crate) async fn serve(node: &Rc<Node>, rq: Proxied) -> Response<RelayBody> {
    node.count_request(&rq.service);
    let mut journal = Journal::default();
    let mut tried: Vec<Name> = Vec::new();
    let mut last: Option<Response<RelayBody>> = None;
    let mut cause = Cause::NoRunner;
    let mut unreached = 0;
    loop {
        let until = admit::until(node, &rq, journal);
        if let Some(held_ms) = quarantine::quarantined_ms(node, &rq, until).await {
            return rq.not_answered(node, journal, Cause::Held, held_ms);
        }
        if rq.left_ms(node) == 0 {
            cause = Cause::Timeout;
            break;
        }
        if journal.sends >= rq.max_attempts || unreached >= MAX_UNREACHED {
            break;
        }
        let Some(runner) = next_runner(node, &rq, &tried) else {
            break;
        };
        if journal.sends > 0 && !node.take_retry(&rq.service, journal.need()) {
            break;
        }
        tried.push(runner.id.clone());
        journal.hand();
        let repeatable = rq.class.repeatable() && journal.sends < rq.max_attempts;
        match attempt(node, &rq, &runner, repeatable).await {
            Ended::Answered(res) => {
                log_end(node, &rq, &runner, "answered", res.status().as_u16());
                return res;
            }
            Ended::NotRun => {
                journal.not_run();
                cause = Cause::Refused;
            }
            Ended::Unreached => {
                journal.unreached();
                unreached += 1;
            }
            Ended::Failed(res) => {
                last = res.or(last);
                cause = Cause::RunnerFailed;
            }
            Ended::Timeout => cause = Cause::Timeout,
        }
        if journal.may_have_run() && !rq.class.repeatable() {
            break;
        }
    }
    match last {
        Some(res) if journal.may_have_run() => {
            count("runner_failed");
            res
        }
        _ => {
            let spread_ms = (node.random_f64() * COME_BACK_SPREAD_MS) as Millis;
            rq.not_answered(node, journal, cause, COME_BACK_MS + spread_ms)
        }
    }
}

fn next_runner(node: &Node, rq: &Proxied, tried: &[Name]) -> Option<RunnerEntry> {
    let now = node.now();
    let runners = node.runners.borrow();
    let domain = &node.settings.failure_domain;
    let ranked = runners.service_candidates(&rq.service, domain, now, || node.random_u32());
    let mut untried = ranked.into_iter().filter(|e| !tried.contains(&e.id));
    untried.find(|e| rate_limits::allows(node, e)).cloned()
}

async fn attempt(node: &Rc<Node>, rq: &Proxied, runner: &RunnerEntry, repeatable: bool) -> Ended {
    let _busy = Busy::open(node, &runner.id);
    let sent_ms = node.now();
    let left = rq.left_ms(node);
    // Where another attempt is left, the first gets the objective's time: a runner that hangs
    // would else take all of it.
    let time = if repeatable {
        left.min(rq.objective_ms.max(1))
    } else {
        left
    };
    let sent = async {
        let req = rq.to_send(node, &runner.id);
        match attempt::send(node, runner, &rq.id, req).await {
            Sent::Answer(res) => {
                let (parts, body) = res.into_parts();
                match body.whole(ANSWER_BYTES).await {
                    Ok(bytes) => Ok(Response::from_parts(parts, bytes)),
                    Err(e) => Err(Sent::Lost(e.to_string())),
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
            if failed {
                log_attempt(rq, runner, "failed", res.status().as_str());
            }
            quarantine::record_survival(node, rq);
            let res = passed_on(res);
            if failed {
                Ended::Failed(Some(res))
            } else {
                Ended::Answered(res)
            }
        }
        Ok(Err(sent)) => not_answered(node, rq, runner, sent, sent_ms),
        Err(_) => {
            node.runners
                .borrow_mut()
                .record_outcome(&runner.id, true, node.now());
            log_attempt(rq, runner, "timeout", "");
            Ended::Timeout
        }
    }
}

fn not_answered(
    node: &Rc<Node>,
    rq: &Proxied,
    runner: &RunnerEntry,
    sent: Sent,
    sent_ms: Millis,
) -> Ended {
    match sent {
        Sent::NotRun { status, .. } => {
            log_attempt(rq, runner, "not run", status.as_str());
            let pause = match status {
                StatusCode::MISDIRECTED_REQUEST => MISDIRECTED_MS,
                _ => FULL_MS,
            };
            avoid_for(node, runner, pause);
            Ended::NotRun
        }
        Sent::Unreached(e) => {
            log_attempt(rq, runner, "not reached", &e.to_string());
            avoid_for(node, runner, NOT_REACHED_MS);
            probe::not_reached(node, runner, &e);
            Ended::Unreached
        }
        Sent::Lost(cause) => {
            log_attempt(rq, runner, "lost", &cause);
            let broken = BrokenOff {
                rq,
                through: vec![quarantine::lifetime(runner)],
                sent_ms,
                progress: Progress::Waited,
                cause: &cause,
            };
            breaks::note(node, broken);
            node.runners
                .borrow_mut()
                .record_outcome(&runner.id, true, node.now());
            Ended::Failed(None)
        }
        Sent::Answer(_) => Ended::Failed(None),
    }
}

/// Nothing new goes to a runner for `ms` milliseconds.
fn avoid_for(node: &Node, runner: &RunnerEntry, ms: Millis) {
    let until = node.now() + ms;
    if let Some(s) = node.runners.borrow_mut().health_mut(&runner.id) {
        s.avoid_until_ms = until;
    }
}

fn passed_on(res: Response<Bytes>) -> Response<RelayBody> {
    let (parts, body) = res.into_parts();
    let mut out = Response::new(RelayBody::whole(body));
    *out.status_mut() = parts.status;
    *out.headers_mut() = header::passed_on(&parts.headers);
    out
}

fn log_attempt(rq: &Proxied, runner: &RunnerEntry, outcome: &str, cause: &str) {
    log::info!(
        request = rq.id.as_ref(),
        runner = runner.id.as_ref(),
        outcome,
        cause;
        "attempt"
    );
}

fn log_end(node: &Node, rq: &Proxied, runner: &RunnerEntry, outcome: &'static str, status: u16) {
    let after_ms = node.now() - rq.received_ms;
    count(outcome);
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

/// Counts a request at a runner while it lasts.
struct Busy {
    node: Rc<Node>,
    runner: Name,
}

impl Busy {
    fn open(node: &Rc<Node>, runner: &Name) -> Busy {
        if let Some(s) = node.runners.borrow_mut().health_mut(runner) {
            s.in_flight += 1;
        }
        Busy {
            node: Rc::clone(node),
            runner: runner.clone(),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(s) = self.node.runners.borrow_mut().health_mut(&self.runner) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }
}
