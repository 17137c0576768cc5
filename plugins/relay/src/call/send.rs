//! A send of a call to a runner.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use jacinthweir_clients::buffers::Purpose;
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use tokio::time::timeout;

use super::{MAX_ANSWER_BYTES, SendEnd};
use crate::answer::RelayBody;
use crate::attempt::{self, Refusal, SendOutcome};
use crate::failure_detector;
use crate::interrupted_run::{self, InterruptedRun, Progress};
use crate::node::Node;
use crate::quarantine;
use crate::request::{ProxiedRequest, count_outcome};
use crate::send_permit::SendPermit;

/// How long a runner is avoided after it rejected a request as misdirected (status 421), in
/// milliseconds.
const MISDIRECTED_AVOID_MS: Millis = 1_000;

/// How long a runner is avoided after it refused a call because it is full, in milliseconds.
const FULL_AVOID_MS: Millis = 100;

/// How long a runner is avoided after a failed connection, in milliseconds. Probes usually show
/// within this time whether it is dead.
const UNREACHED_AVOID_MS: Millis = 250;

/// Sends a call to a runner and waits for its answer until the deadline. If the call is hedged, the
/// send counts as late after the route's objective.
pub(super) async fn run(
    node: &Rc<Node>,
    permit: SendPermit,
    rq: &ProxiedRequest,
    runner: RunnerEntry,
    is_hedged: bool,
) -> SendEnd {
    let _in_flight = InFlightGuard::open(node, &runner.id);
    let mut send = CallSend {
        node,
        rq,
        runner: &runner,
        sent_ms: node.now(),
        is_late: false,
    };
    let mut received = pin!(exchange(node, permit, rq, &runner));
    let objective_ms = rq.objective_ms.max(1);
    if is_hedged && objective_ms < rq.remaining_ms(node) {
        match timeout(Duration::from_millis(objective_ms), &mut received).await {
            Ok(received) => return send.end(received),
            Err(_) => send.mark_late(),
        }
    }
    let left = Duration::from_millis(rq.remaining_ms(node));
    match timeout(left, received).await {
        Ok(received) => send.end(received),
        Err(_) => send.time_out(),
    }
}

/// Sends a call and receives the whole answer. Returns the outcome of the send if there is none.
async fn exchange(
    node: &Node,
    permit: SendPermit,
    rq: &ProxiedRequest,
    runner: &RunnerEntry,
) -> Result<Response<Bytes>, SendOutcome> {
    let Some(req) = rq.runner_request(node, &runner.id) else {
        return Err(SendOutcome::unaddressed());
    };
    match attempt::send(node, permit, runner, req).await {
        SendOutcome::Answer(res) => {
            let (parts, body) = res.into_parts();
            match body.collect(MAX_ANSWER_BYTES, Purpose::Data).await {
                Ok(bytes) => Ok(Response::from_parts(parts, bytes)),
                Err(e) => Err(SendOutcome::Lost(e.to_string())),
            }
        }
        other => Err(other),
    }
}

/// A send in progress.
struct CallSend<'a> {
    node: &'a Rc<Node>,
    rq: &'a ProxiedRequest,
    runner: &'a RunnerEntry,
    sent_ms: Millis,
    /// Whether it took longer than the route's objective, and has been recorded as failed.
    is_late: bool,
}

impl CallSend<'_> {
    /// Records that there is no answer within the route's objective, so that the runner is avoided.
    fn mark_late(&mut self) {
        self.record_outcome(true);
        self.is_late = true;
        self.log("late", "");
    }

    fn time_out(&self) -> SendEnd {
        self.record_outcome(true);
        self.log("timeout", "");
        SendEnd::Timeout
    }

    fn end(&self, received: Result<Response<Bytes>, SendOutcome>) -> SendEnd {
        match received {
            Ok(res) => self.end_answered(res),
            Err(SendOutcome::NotRun(refusal)) => self.end_not_run(refusal),
            Err(SendOutcome::Unreached(e)) => {
                self.log("not reached", &e.to_string());
                self.avoid_runner_for(UNREACHED_AVOID_MS);
                failure_detector::connection_failed(self.node, self.runner);
                SendEnd::Unreached(self.runner.id.clone())
            }
            Err(SendOutcome::Lost(cause)) => self.end_lost(&cause),
            Err(SendOutcome::Answer(_)) => SendEnd::Failed(None),
        }
    }

    fn end_answered(&self, res: Response<Bytes>) -> SendEnd {
        let status = res.status();
        self.record_outcome(status.is_server_error());
        if status.is_server_error() {
            self.log("failed", status.as_str());
            return SendEnd::Failed(Some(to_caller(res)));
        }
        quarantine::record_survival(self.node, self.rq);
        self.log_answered(status);
        SendEnd::Answered(to_caller(res))
    }

    fn end_not_run(&self, refusal: Refusal) -> SendEnd {
        self.log("not run", &refusal.to_string());
        let pause = match refusal.status {
            StatusCode::MISDIRECTED_REQUEST => MISDIRECTED_AVOID_MS,
            _ => FULL_AVOID_MS,
        };
        self.avoid_runner_for(pause);
        SendEnd::NotRun
    }

    fn end_lost(&self, cause: &str) -> SendEnd {
        self.log("lost", cause);
        let interrupted_run = InterruptedRun {
            rq: self.rq,
            lifetimes: vec![quarantine::lifetime(self.runner)],
            sent_ms: self.sent_ms,
            progress: Progress::NothingReceived,
            cause,
        };
        interrupted_run::record(self.node, interrupted_run);
        self.record_outcome(true);
        SendEnd::Failed(None)
    }

    /// Records the outcome for the failure rate of the runner, once for each send.
    fn record_outcome(&self, failed: bool) {
        if !self.is_late {
            let now = self.node.now();
            let mut runners = self.node.runners.borrow_mut();
            runners.record_outcome(&self.runner.id, failed, now);
        }
    }

    /// Excludes the runner from new sends for `ms` milliseconds.
    fn avoid_runner_for(&self, ms: Millis) {
        let until = self.node.now() + ms;
        if let Some(s) = self.node.runners.borrow_mut().health_mut(&self.runner.id) {
            s.avoid_until_ms = until;
        }
    }

    fn log(&self, outcome: &str, cause: &str) {
        log::info!(
            request = self.rq.id.as_ref(),
            runner = self.runner.id.as_ref(),
            outcome,
            cause;
            "attempt"
        );
    }

    fn log_answered(&self, status: StatusCode) {
        let after_ms = self.node.now() - self.rq.received_ms;
        count_outcome("answered");
        metrics::histogram!("jacinthweir_call_seconds").record(after_ms as f64 / 1e3);
        log::info!(
            request = self.rq.id.as_ref(),
            route = self.rq.route.as_ref(),
            runner = self.runner.id.as_ref(),
            status = status.as_u16(),
            after_ms;
            "answered"
        );
    }
}

fn to_caller(res: Response<Bytes>) -> Response<RelayBody> {
    let (parts, body) = res.into_parts();
    let mut out = Response::new(RelayBody::complete(body));
    *out.status_mut() = parts.status;
    *out.headers_mut() = header::forwarded(&parts.headers);
    out
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
