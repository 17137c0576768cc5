//! Calls: requests with a single answer, to services without layers.
//!
//! The answer is read completely before any of it is forwarded. If a runner fails midway, the
//! caller therefore gets no partial answer, and a repeatable call can be retried.
//!
//! A sound runner may be silent for a while, so no send is given up before the deadline. If a
//! repeatable call has no answer within the route's objective, it is hedged: it is sent to a further
//! runner as well, and the first success is forwarded.

mod forward;
mod send;

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use http::Response;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use tokio::time::timeout;

use crate::admission;
use crate::answer::{Cause, RelayBody, SendRecord};
use crate::forwarding::Ran;
use crate::node::Node;
use crate::quarantine;
use crate::rate_limits;
use crate::reachability;
use crate::request::{ProxiedRequest, count_outcome};
use crate::rest;
use crate::send_permit::SendPermit;
use crate::shutdown;

/// Maximum answer size, in bytes: the answer is buffered in memory.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Maximum number of failed connection attempts per call.
const MAX_UNREACHED: usize = 3;

/// Interval between looks for a further runner or retry while sends are open, in milliseconds.
const HEDGE_POLL_MS: Millis = 20;

/// Minimum `Retry-After` of a refusal, in milliseconds. A call takes about 60 ms.
const RETRY_AFTER_MS: Millis = 300;

/// Maximum jitter added to [`RETRY_AFTER_MS`], in milliseconds, so that callers refused together do
/// not retry together.
const RETRY_AFTER_JITTER_MS: f64 = 200.0;

/// How a send ended.
enum SendEnd {
    Answered(Response<RelayBody>),
    /// The runner states that it did not run the call.
    NotRun,
    /// The runner did not accept a connection.
    Unreached(Name),
    /// No other instance took the call.
    NotTaken,
    /// Another instance refused the call, and it has certainly not run there.
    RefusedElsewhere {
        retry_after_ms: Millis,
    },
    /// The runner failed the call. Its own answer, if any, is forwarded if no other send succeeds.
    Failed(Option<Response<RelayBody>>),
    /// The deadline has passed.
    Timeout,
}

/// Serves a call.
pub(crate) async fn serve(node: &Rc<Node>, rq: ProxiedRequest) -> Response<RelayBody> {
    let mut call = Call::new(node, &rq);
    let answered = node.last_steps.run_until_answers_due(call.answer()).await;
    answered.unwrap_or_else(|| call.stopped())
}

/// A call in progress. Dropping it ends all of its sends.
struct Call<'a> {
    node: &'a Rc<Node>,
    rq: &'a ProxiedRequest,
    open: FuturesUnordered<LocalBoxFuture<'a, SendEnd>>,
    send_record: SendRecord,
    max_sends: u32,
    /// Runners to which the call was sent.
    tried: Vec<Name>,
    /// Those of them that did not accept a connection.
    unreached: Vec<Name>,
    /// Whether it was sent through another instance, which makes all further sends.
    is_forwarded: bool,
    /// Time from which a further send may start while others are open, in milliseconds.
    hedge_from_ms: Millis,
    /// Last failure that a runner answered.
    failure: Option<Response<RelayBody>>,
    /// Why the call ends if no send succeeds.
    cause: Cause,
    /// Retry time of the instance that refused the call, in milliseconds.
    retry_after_ms: Option<Millis>,
}

impl<'a> Call<'a> {
    fn new(node: &'a Rc<Node>, rq: &'a ProxiedRequest) -> Call<'a> {
        let ran_elsewhere = rq.origin.as_ref().map_or(&[][..], |o| o.attempts.ran());
        Call {
            node,
            rq,
            open: FuturesUnordered::new(),
            send_record: SendRecord::default(),
            max_sends: rq.max_attempts.saturating_sub(ran_elsewhere.len() as u32),
            tried: ran_elsewhere.iter().map(|(id, _)| id.clone()).collect(),
            unreached: Vec::new(),
            is_forwarded: false,
            hedge_from_ms: 0,
            failure: None,
            cause: Cause::NoRunner,
            retry_after_ms: None,
        }
    }

    /// Sends the call until a send succeeds, or all have ended and no further one is possible.
    async fn answer(&mut self) -> Response<RelayBody> {
        loop {
            if self.open.is_empty() && !self.must_not_run_again() {
                let until = admission::until(self.node, self.rq, self.send_record);
                if let Some(held_ms) = quarantine::quarantined_ms(self.node, self.rq, until).await {
                    return self.unanswered(Cause::Quarantined, held_ms);
                }
            }
            if self.is_send_due() && self.may_send() {
                self.start_send();
            }
            if self.open.is_empty() {
                return self.failed();
            }
            if let Some(end) = self.next_end().await
                && let Some(res) = self.record_end(end)
            {
                return res;
            }
        }
    }

    /// Returns whether the call may have run and is not repeatable.
    fn must_not_run_again(&self) -> bool {
        self.send_record.may_have_run() && !self.rq.class.repeatable()
    }

    /// Returns whether the limits of the call permit a further send.
    fn may_send(&self) -> bool {
        let has_sends = self.send_record.sends < self.max_sends;
        let has_connects = self.unreached.len() < MAX_UNREACHED;
        let may_run = !self.is_forwarded && !self.must_not_run_again();
        has_sends && has_connects && may_run && self.rq.remaining_ms(self.node) > 0
    }

    /// Returns whether it is time for a send.
    fn is_send_due(&self) -> bool {
        self.open.is_empty() || self.node.now() >= self.hedge_from_ms
    }

    /// Starts a send, if there are a runner and a retry for it.
    fn start_send(&mut self) {
        let Call { node, rq, .. } = *self;
        let is_hedge = !self.open.is_empty();
        if is_hedge && !quarantine::may_send(node, rq) {
            return;
        }
        if rq.origin.is_none() && reachability::is_lost(node, &rq.service) {
            if node.last_steps.may_send() {
                self.start_forwarding();
            } else if !is_hedge {
                self.cause = Cause::Stopping;
            }
            return;
        }
        let Some(runner) = next_runner(node, rq, &self.tried) else {
            if !is_hedge && rest::shortest_ms(node, &rq.service).is_some() {
                self.cause = Cause::Resting;
            }
            return;
        };
        let permit = match SendPermit::take(node, rq, &self.send_record) {
            Ok(permit) => permit,
            Err(_) if is_hedge => return,
            Err(cause) => {
                self.cause = cause;
                return;
            }
        };
        self.tried.push(runner.id.clone());
        self.record_start();
        let is_hedged = rq.class.repeatable() && self.send_record.sends < self.max_sends;
        let sent = send::run(node, permit, rq, runner, is_hedged);
        self.open.push(Box::pin(sent));
    }

    /// Starts a send through another instance.
    fn start_forwarding(&mut self) {
        let ran = self.received_by();
        let prior = self.send_record.as_prior();
        self.is_forwarded = true;
        self.record_start();
        let sent = forward::run(self.node, self.rq, prior, ran);
        self.open.push(Box::pin(sent));
    }

    /// Returns the runners that received the call if any of them may have run it. The others may run it
    /// for another instance.
    fn received_by(&self) -> Vec<Ran> {
        if !self.send_record.may_have_run() {
            return Vec::new();
        }
        let runners = self.node.runners.borrow();
        let received = self.tried.iter().filter(|id| !self.unreached.contains(id));
        let lifetimes = received.map(|id| (id.clone(), runners.health(id).born_ms));
        lifetimes.collect()
    }

    fn record_start(&mut self) {
        self.send_record.record_send();
        self.hedge_from_ms = self.node.now() + self.rq.objective_ms.max(1);
    }

    /// Waits for the end of a send. Returns `None` when it is time to look for a further runner.
    async fn next_end(&mut self) -> Option<SendEnd> {
        if !self.may_send() {
            return self.open.next().await;
        }
        let wait_ms = match self.hedge_from_ms.saturating_sub(self.node.now()) {
            0 => HEDGE_POLL_MS,
            ms => ms,
        };
        let ended = timeout(Duration::from_millis(wait_ms), self.open.next()).await;
        ended.ok().flatten()
    }

    /// Records the end of a send. Returns the answer to the caller if the send succeeded.
    fn record_end(&mut self, end: SendEnd) -> Option<Response<RelayBody>> {
        match end {
            SendEnd::Answered(res) => return Some(res),
            SendEnd::NotRun => {
                self.send_record.record_not_run();
                self.cause = Cause::Refused;
            }
            SendEnd::Unreached(runner) => {
                self.send_record.record_unreached();
                self.unreached.push(runner);
            }
            SendEnd::NotTaken => {
                self.send_record.record_unreached();
                self.cause = Cause::NoPath;
            }
            SendEnd::RefusedElsewhere { retry_after_ms } => {
                self.send_record.record_unreached();
                self.cause = Cause::RefusedElsewhere;
                self.retry_after_ms = Some(retry_after_ms);
            }
            SendEnd::Failed(res) => {
                self.failure = res.or(self.failure.take());
                self.cause = Cause::RunnerFailed;
            }
            SendEnd::Timeout => self.cause = Cause::Timeout,
        }
        // A send that failed is replaced at once.
        self.hedge_from_ms = self.node.now();
        None
    }

    /// Returns the answer to a call of which no send succeeded.
    fn failed(&mut self) -> Response<RelayBody> {
        if let Some(res) = self.failure.take()
            && self.send_record.may_have_run()
        {
            count_outcome("runner_failed");
            return res;
        }
        if self.rq.remaining_ms(self.node) == 0 {
            self.cause = Cause::Timeout;
        }
        let retry_after_ms = self.retry_after_ms();
        self.unanswered(self.cause, retry_after_ms)
    }

    /// Returns the answer to a call that has none when this instance stops.
    fn stopped(&mut self) -> Response<RelayBody> {
        self.cause = Cause::Stopping;
        self.failed()
    }

    fn retry_after_ms(&self) -> Millis {
        match (self.cause, self.retry_after_ms) {
            (Cause::RefusedElsewhere, Some(ms)) => ms,
            (Cause::Stopping, _) => shutdown::RETRY_AFTER_MS,
            (Cause::Resting, _) => rest::retry_after_ms(self.node, &self.rq.service),
            _ => RETRY_AFTER_MS + (self.node.random_f64() * RETRY_AFTER_JITTER_MS) as Millis,
        }
    }

    fn unanswered(&self, cause: Cause, retry_after_ms: Millis) -> Response<RelayBody> {
        self.rq
            .unanswered_response(self.node, self.send_record, cause, retry_after_ms)
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
