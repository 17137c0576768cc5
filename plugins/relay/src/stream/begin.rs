//! The time from the admission of a request to the head of its answer.
//!
//! A request may be sent through several chains, one after the other. If a runner of a chain does not
//! answer, the send stays open while another chain is tried: whichever answers first serves the request.
//! While a send is open, the request may be running, so it is not refused before its deadline.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::future::poll_fn;
use http::Response;
use jacinthweir_clients::direct::ResponseBody;
use jacinthweir_policy::prelude::*;
use tokio::time::timeout;

use crate::admission;
use crate::answer::Cause;
use crate::attempt::SendOutcome;
use crate::chain_attempts::{AttemptOutcome, ChainAttempts, OpenSend};
use crate::forwarding::{Forwarded, StreamProgress};
use crate::live_chains::Run;
use crate::node::Node;
use crate::quarantine;
use crate::request::ProxiedRequest;
use crate::send_permit::SendPermit;

/// Time after which a request with an open send is offered to the chains, or to other instances, again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Why a request is not answered by a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) cause: Cause,
    /// When the caller should retry, in milliseconds, if the cause determines it.
    pub(super) retry_after_ms: Option<Millis>,
}

impl From<Cause> for Refusal {
    fn from(cause: Cause) -> Refusal {
        Refusal {
            cause,
            retry_after_ms: None,
        }
    }
}

impl Refusal {
    fn until(cause: Cause, retry_after_ms: Millis) -> Refusal {
        Refusal {
            cause,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// A run, and the head of its answer.
type Begun = (Run, Response<ResponseBody>);

/// Result of one pass over the chains.
enum Pass {
    /// An answer begins.
    Begun(Begun),
    /// The request was sent and not answered, and may be sent again.
    Unanswered,
    /// The chain that took the request is silent.
    Silent(OpenSend),
    /// The request cannot be sent.
    Refused(Refusal),
}

/// Sends a request through one chain after the other until an answer begins.
pub(super) async fn begin(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    attempts: &mut ChainAttempts,
) -> Result<Begun, Refusal> {
    let mut silent = SilentSends::default();
    loop {
        for (send, sent) in silent.take_ended() {
            settle(node, rq, attempts, send, sent);
        }
        let may_repeat = rq.class.repeatable() || !attempts.send_record.may_have_run();
        let pass = match (may_repeat, silent.is_empty()) {
            (true, _) => tokio::select! {
                biased;
                (send, sent) = silent.answer() => settle(node, rq, attempts, send, sent),
                pass = send_once(node, rq, attempts) => pass,
            },
            (false, true) => return Err(Cause::RunnerFailed.into()),
            (false, false) => Pass::Refused(Cause::RunnerFailed.into()),
        };
        match pass {
            Pass::Begun(begun) => return Ok(begun),
            Pass::Unanswered => {}
            Pass::Silent(send) => silent.push(send),
            Pass::Refused(refusal) => {
                if silent.is_empty() || rq.remaining_ms(node) == 0 {
                    return Err(refusal);
                }
                let is_final = !may_repeat || attempts.is_exhausted(rq);
                match await_silent(node, rq, attempts, &mut silent, is_final).await {
                    Some(Pass::Begun(begun)) => return Ok(begun),
                    None if is_final => return Err(refusal),
                    _ => {}
                }
            }
        }
    }
}

/// Waits for the silent sends of a request that cannot be sent otherwise, until its deadline or for a
/// moment.
async fn await_silent(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    attempts: &mut ChainAttempts,
    silent: &mut SilentSends,
    until_deadline: bool,
) -> Option<Pass> {
    let left = Duration::from_millis(rq.remaining_ms(node));
    let wait = match until_deadline {
        true => left,
        false => left.min(RETRY_INTERVAL),
    };
    let (send, sent) = timeout(wait, silent.ended()).await.ok()?;
    Some(settle(node, rq, attempts, send, sent))
}

fn settle(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    attempts: &mut ChainAttempts,
    send: OpenSend,
    sent: SendOutcome,
) -> Pass {
    match attempts.record_outcome(node, rq, send, sent) {
        AttemptOutcome::Stream(in_flight, res) => Pass::Begun((Run::Chain(in_flight), res)),
        _ => Pass::Unanswered,
    }
}

/// Waits for room in a chain and sends the request through it, or through another instance.
async fn send_once(node: &Rc<Node>, rq: &ProxiedRequest, attempts: &mut ChainAttempts) -> Pass {
    if attempts.is_exhausted(rq) {
        return Pass::Refused(Cause::RunnerFailed.into());
    }
    let until = admission::until(node, rq, attempts.send_record);
    if let Some(held_ms) = quarantine::quarantined_ms(node, rq, until).await {
        return Pass::Refused(Refusal::until(Cause::Quarantined, held_ms));
    }
    let live = match admission::wait(node, rq, attempts, until).await {
        Ok(live) => Some(live),
        Err(Cause::NoPath) if rq.origin.is_none() => None,
        Err(cause) => return Pass::Refused(cause.into()),
    };
    // The request may have been quarantined while it waited for room.
    if let Some(held_ms) = quarantine::quarantined_ms(node, rq, until).await {
        return Pass::Refused(Refusal::until(Cause::Quarantined, held_ms));
    }
    let Some(live) = live else {
        return forward_once(node, rq, attempts).await;
    };
    let permit = match SendPermit::take(node, rq, &attempts.send_record) {
        Ok(permit) => permit,
        Err(cause) => return Pass::Refused(cause.into()),
    };
    let after = rq.last_event;
    match attempts.attempt(node, permit, rq, &live, after).await {
        AttemptOutcome::Stream(in_flight, res) => Pass::Begun((Run::Chain(in_flight), res)),
        AttemptOutcome::Silent(send) => Pass::Silent(send),
        AttemptOutcome::Timeout => Pass::Refused(Cause::Timeout.into()),
        AttemptOutcome::NotRun | AttemptOutcome::Unreached | AttemptOutcome::Lost => {
            Pass::Unanswered
        }
    }
}

async fn forward_once(node: &Rc<Node>, rq: &ProxiedRequest, attempts: &mut ChainAttempts) -> Pass {
    match attempts.forward(node, rq, StreamProgress::none(rq)).await {
        Forwarded::Answer { peer, res, .. } => Pass::Begun((Run::Peer(peer), res)),
        Forwarded::Refused { retry_after_ms, .. } => {
            Pass::Refused(Refusal::until(Cause::RefusedElsewhere, retry_after_ms))
        }
        Forwarded::Timeout => Pass::Refused(Cause::Timeout.into()),
        Forwarded::Lost { .. } => Pass::Unanswered,
        Forwarded::NotTaken => Pass::Refused(Cause::NoPath.into()),
    }
}

/// Sends through chains of which a runner does not answer.
#[derive(Default)]
struct SilentSends {
    open: Vec<OpenSend>,
    /// Sends that ended without an answer while one was awaited.
    ended: Vec<(OpenSend, SendOutcome)>,
}

impl SilentSends {
    fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn push(&mut self, send: OpenSend) {
        self.open.push(send);
    }

    /// Waits for an answer; never returns if there is none.
    async fn answer(&mut self) -> (OpenSend, SendOutcome) {
        poll_fn(|cx| {
            loop {
                match self.poll_ended(cx) {
                    Poll::Ready((send, SendOutcome::Answer(res))) => {
                        return Poll::Ready((send, SendOutcome::Answer(res)));
                    }
                    Poll::Ready(ended) => self.ended.push(ended),
                    Poll::Pending => return Poll::Pending,
                }
            }
        })
        .await
    }

    /// Waits until a send ends; never returns if there is none.
    async fn ended(&mut self) -> (OpenSend, SendOutcome) {
        poll_fn(|cx| self.poll_ended(cx)).await
    }

    fn poll_ended(&mut self, cx: &mut Context<'_>) -> Poll<(OpenSend, SendOutcome)> {
        for i in 0..self.open.len() {
            if let Poll::Ready(sent) = self.open[i].poll_outcome(cx) {
                return Poll::Ready((self.open.remove(i), sent));
            }
        }
        Poll::Pending
    }

    /// Returns the sends that ended while an answer was awaited.
    fn take_ended(&mut self) -> Vec<(OpenSend, SendOutcome)> {
        std::mem::take(&mut self.ended)
    }
}
