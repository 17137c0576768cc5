//! Failover of a stream whose run was interrupted.
//!
//! A run whose chain lost a later stage is rerouted by an order to its first runner. Otherwise another
//! run goes on after the last complete event: on another chain, or through another instance if this
//! one does not reach the runners.
//!
//! An interruption shows that a runner does not answer, not that the run has ended: a sound runner may
//! be silent for a second or more. The connection of the interrupted run therefore stays open until
//! another run has begun. If the run goes on before, the search ends; if nothing else takes the stream,
//! the run is awaited for as long as its caller waits.
//!
//! Invariants:
//! - Events of two runs are never joined: the buffered part of an event is discarded when another run
//!   takes over, and bytes of the former run are not read after that.
//! - This instance does not send a request to a runner on which its open run began.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use jacinthweir_clients::direct::ResponseBody;
use jacinthweir_platform::runner;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::retry_priority::RetryPriority;
use tokio::time::{sleep, timeout};

use super::silent_body::SilentBody;
use super::{Closer, ForwardedStream, ReadOutcome, Watch};
use crate::admission::{self, QueuePosition};
use crate::answer::Cause;
use crate::chain_attempts::AttemptOutcome;
use crate::forwarding::{Forwarded, StreamProgress};
use crate::live_chains::{InFlight, LiveChain, Run};
use crate::quarantine;
use crate::reachability;
use crate::request::count_outcome;
use crate::send_permit::SendPermit;

/// Fraction of the caller's abandonment time, counted from the last event, within which a run must
/// be resumed. The first event of the new run has to arrive within the rest.
const RESUME_FRACTION: f64 = 0.85;

/// Fraction of the same time during which a run waits for a runner with the layers that its chain
/// lost. Most layers are loaded within a second; if they are not, a new run must still fit within
/// [`RESUME_FRACTION`].
const REROUTE_FRACTION: f64 = 0.65;

/// Time to the first event of a new run, in milliseconds: 40 to 80 ms in a chain with little other
/// prefill.
const RESUME_FIRST_EVENT_MS: Millis = 80;

/// Time limit for a runner's answer to a reroute order.
const REROUTE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an interrupted run is offered to other instances again. A run that is offered
/// whenever room becomes free here would be offered hundreds of times a second.
const FORWARD_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which an interrupted run checks for a chain without a notification: changes in the
/// load of other instances cause none.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why an interrupted stream was not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResumeFailure {
    NotRepeatable,
    NoRetry,
    AttemptsExhausted,
    NoChain,
    NotForwarded,
    NextRefused,
    NextBroke,
    NextLost,
    NextFailed,
    Quarantined,
    Stopping,
    OutOfTime,
}

impl ResumeFailure {
    /// Returns the reason as it appears in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            ResumeFailure::NotRepeatable => "it must not run again",
            ResumeFailure::NoRetry => "no repeat left",
            ResumeFailure::AttemptsExhausted => "no attempt left",
            ResumeFailure::NoChain => "no chain took it in time",
            ResumeFailure::NotForwarded => "no other instance took it in time",
            ResumeFailure::NextRefused => "the next chain did not take it",
            ResumeFailure::NextBroke => "the next chain broke",
            ResumeFailure::NextLost => "the next run was lost",
            ResumeFailure::NextFailed => "the next run failed",
            ResumeFailure::Quarantined => "its runners end under it",
            ResumeFailure::Stopping => "this instance stops",
            ResumeFailure::OutOfTime => "out of time",
        }
    }
}

/// How an interrupted stream goes on.
pub(super) enum Continuation {
    /// Along another path behind the same first runner, within the same response.
    SameRun,
    /// With another run.
    NextRun(Run, Box<Response<ResponseBody>>),
}

/// Result of the search for a continuation.
pub(super) enum Failover {
    /// The stream goes on.
    Continued,
    /// The interrupted run went on by itself, or the deadline has passed.
    Read(ReadOutcome),
    /// Nothing else takes the stream.
    Failed(ResumeFailure),
}

impl ForwardedStream {
    /// Looks for another way for the stream to go on, until its run goes on by itself.
    pub(super) async fn fail_over(&mut self, cause: &str) -> Failover {
        let silent = SilentBody::new(self.body.take());
        let left = Duration::from_millis(self.rq.remaining_ms(&self.node));
        let deadline = sleep(left);
        tokio::pin!(deadline);
        let mut ended = None;
        let found = {
            let search = self.search(&silent);
            tokio::pin!(search);
            loop {
                tokio::select! {
                    biased;
                    read = silent.next() => match ReadOutcome::of(read) {
                        ReadOutcome::RunFailed(cause) => {
                            silent.close();
                            ended = Some(cause);
                        }
                        read => break Err(read),
                    },
                    found = &mut search => break Ok(found),
                    () = &mut deadline => break Err(ReadOutcome::Timeout),
                }
            }
        };
        let was_open = self.run_end.is_none();
        self.body = silent.into_inner();
        match ended {
            Some(cause) => {
                self.record_run_end(Closer::Runner);
                log::info!(request = self.rq.id.as_ref(), cause; "interrupted run ended");
            }
            None if was_open && self.body.is_none() => self.record_run_end(Closer::Instance),
            None => {}
        }
        match found {
            Err(read) => Failover::Read(read),
            Ok(Ok(Continuation::SameRun)) => {
                self.watch = Watch::Chain;
                Failover::Continued
            }
            Ok(Ok(Continuation::NextRun(run, res))) => {
                self.finish_resume(run, *res, cause);
                Failover::Continued
            }
            Ok(Err(failure)) => Failover::Failed(failure),
        }
    }

    async fn search(&mut self, silent: &SilentBody) -> Result<Continuation, ResumeFailure> {
        if silent.is_open() && self.reroute().await.is_some() {
            return Ok(Continuation::SameRun);
        }
        self.resume_elsewhere(silent).await
    }

    /// Returns whether the chain of an open run broke and its stages answer again; the run is then moved
    /// to the chain that has replaced it.
    fn has_recovered(&mut self) -> bool {
        let is_broken = |p: &InFlight| p.live.broken.is_cancelled();
        self.in_flight().is_some_and(is_broken) && self.return_to_chain()
    }

    /// Moves an open run to the chain in use with the same stages. Returns whether there is one.
    pub(super) fn return_to_chain(&mut self) -> bool {
        let Some(former) = self.in_flight().map(|p| Rc::clone(&p.live)) else {
            return false;
        };
        let successor = self.node.successor(&former);
        let recovered = successor.filter(|l| l.chain.same_stages(&former.chain));
        let in_flight = self.run.as_mut().and_then(Run::on_chain_mut);
        match (in_flight, recovered) {
            (Some(in_flight), Some(live)) => {
                in_flight.move_to(live);
                true
            }
            _ => false,
        }
    }

    /// Reroutes the run around a dead stage, along the chain that replaces the broken one behind
    /// the same first runner. Returns `None` if a new run is needed instead.
    ///
    /// A reroute spends no retry and needs no room in another chain. But the new stage prefills the
    /// tokens of one run after the other, so the last of many runs waits long. To spread them, a
    /// new run is preferred where it starts sooner and in time.
    async fn reroute(&mut self) -> Option<()> {
        let decided = self.last_received_ms + self.abandon_fraction_ms(REROUTE_FRACTION);
        if quarantine::quarantined_ms(&self.node, &self.rq, decided)
            .await
            .is_some()
        {
            return None;
        }
        let broken = Rc::clone(&self.in_flight()?.live);
        let in_time =
            self.last_received_ms + self.rq.max_gap_ms.saturating_sub(RESUME_FIRST_EVENT_MS);
        let until = self.last_received_ms + self.abandon_fraction_ms(REROUTE_FRACTION);
        while self.node.now() < until && self.node.is_head_usable(&broken) {
            if self.has_recovered() {
                return Some(());
            }
            // Without a retry another chain is of no use, so the run waits for the lost layers.
            let elsewhere = self.next_chain().filter(|_| self.may_run_again());
            let elsewhere = elsewhere.map(|l| l.prefill_tokens());
            let in_time = self.node.now() < in_time;
            match (self.node.successor(&broken), elsewhere) {
                (Some(live), Some(tokens)) if in_time && live.prefill_tokens() > tokens => {
                    return None;
                }
                (Some(live), _) => return self.reroute_along(live).await,
                (None, Some(_)) => return None,
                (None, None) => {}
            }
            let _ = timeout(POLL_INTERVAL, self.node.room_freed.notified()).await;
        }
        None
    }

    fn may_run_again(&self) -> bool {
        self.rq.class.repeatable()
            && self
                .node
                .has_retry(&self.rq.service, RetryPriority::Committed)
    }

    /// Returns a fraction of the caller's abandonment time, in milliseconds.
    fn abandon_fraction_ms(&self, fraction: f64) -> Millis {
        (self.rq.abandon_after_ms as f64 * fraction) as Millis
    }

    async fn reroute_along(&mut self, live: Rc<LiveChain>) -> Option<()> {
        let address = self.node.runner_address(live.chain.head().address);
        let ordered = runner::reroute(address, &live.chain, &self.rq.id, REROUTE_TIMEOUT).await;
        let outcome = match &ordered {
            Ok(_) => "ordered".to_owned(),
            Err(e) => e.to_string(),
        };
        log::info!(
            request = self.rq.id.as_ref(),
            chain = live.label(),
            runner = live.chain.head().id.as_ref(),
            silent_ms = self.node.now() - self.last_received_ms,
            outcome;
            "rerouted"
        );
        metrics::counter!("jacinthweir_reroutes_total").increment(1);
        ordered.ok()?;
        let in_flight = self.run.as_mut().and_then(Run::on_chain_mut)?;
        in_flight.move_to(live);
        Some(())
    }

    /// Looks for another run that goes on after the last complete event. Tries until the caller's
    /// time is over, since a chain or a retry that is missing now may become available.
    async fn resume_elsewhere(
        &mut self,
        silent: &SilentBody,
    ) -> Result<Continuation, ResumeFailure> {
        // The runner is probably dead but not yet detected as such, so its chain is excluded.
        let chain = self.in_flight().map(|p| Rc::clone(&p.live));
        self.attempts.broken = chain.into_iter().collect();
        self.attempts.forget_refusals();
        if !self.ok || !self.rq.class.repeatable() {
            return Err(ResumeFailure::NotRepeatable);
        }
        let until = self.last_received_ms + self.abandon_fraction_ms(RESUME_FRACTION);
        let in_time = self.last_received_ms + self.rq.max_gap_ms;
        let mut position = Some(QueuePosition::ahead_of_new_requests(&self.node));
        let mut failure = ResumeFailure::NoChain;
        while self.node.now() < until {
            if silent.is_open() && self.has_recovered() {
                return Ok(Continuation::SameRun);
            }
            if quarantine::quarantined_ms(&self.node, &self.rq, until)
                .await
                .is_some()
            {
                return Err(ResumeFailure::Quarantined);
            }
            if self.is_exhausted() {
                return Err(ResumeFailure::AttemptsExhausted);
            }
            // Only streams that can still be in time and lack nothing but room precede new
            // requests.
            if self.node.now() >= in_time || failure == ResumeFailure::NoRetry {
                position = None;
            }
            failure = match self.try_resume(silent).await {
                Ok((run, res)) => {
                    drop(position);
                    return Ok(Continuation::NextRun(run, Box::new(res)));
                }
                // Neither passes by itself, and another try would fail without waiting for anything.
                Err(failure @ (ResumeFailure::OutOfTime | ResumeFailure::Stopping)) => {
                    return Err(failure);
                }
                Err(failure) => failure,
            };
            match failure {
                ResumeFailure::NoChain | ResumeFailure::NoRetry => {
                    let _ = timeout(POLL_INTERVAL, self.node.room_freed.notified()).await;
                }
                ResumeFailure::NotForwarded => sleep(FORWARD_INTERVAL).await,
                _ => {}
            }
        }
        Err(failure)
    }

    /// Returns whether no further send is allowed. One by which an instance goes on with another one's
    /// stream is not told to that instance, which allows for one.
    fn is_exhausted(&self) -> bool {
        let is_untold = self.attempts.attempts().sends() > self.told_sends;
        self.attempts.is_exhausted(&self.rq) || (is_untold && self.rq.origin.is_some())
    }

    /// Tries once to resume the stream with another run.
    async fn try_resume(
        &mut self,
        silent: &SilentBody,
    ) -> Result<(Run, Response<ResponseBody>), ResumeFailure> {
        let Some(live) = self.next_chain_beside(silent) else {
            // The next try may be taken by a chain that had no room for the last one.
            self.attempts.forget_refusals();
            return self.resume_through_peer().await;
        };
        // Each send spends a retry, even one that a runner refuses.
        let record = &self.attempts.send_record;
        let permit = match SendPermit::take(&self.node, &self.rq, record) {
            Ok(permit) => permit,
            Err(Cause::Stopping) => return Err(ResumeFailure::Stopping),
            Err(_) => return Err(ResumeFailure::NoRetry),
        };
        if self
            .in_flight()
            .is_some_and(|p| p.live.head() == live.head())
        {
            silent.close();
        }
        let after = self.events.last();
        match self
            .attempts
            .attempt(&self.node, permit, &self.rq, &live, after)
            .await
        {
            AttemptOutcome::Stream(in_flight, res) if res.status() == StatusCode::OK => {
                Ok((Run::Chain(in_flight), res))
            }
            AttemptOutcome::Stream(..) => Err(ResumeFailure::NextFailed),
            AttemptOutcome::NotRun | AttemptOutcome::Unreached => Err(ResumeFailure::NextRefused),
            AttemptOutcome::Silent(send) => {
                self.attempts.abandon(&send);
                Err(ResumeFailure::NextBroke)
            }
            AttemptOutcome::Lost => Err(ResumeFailure::NextLost),
            AttemptOutcome::Timeout => Err(ResumeFailure::OutOfTime),
        }
    }

    /// Tries once to resume the stream through another instance, if that may have room for it.
    async fn resume_through_peer(
        &mut self,
    ) -> Result<(Run, Response<ResponseBody>), ResumeFailure> {
        let (node, rq) = (&self.node, &self.rq);
        if rq.origin.is_some() || !reachability::may_have_room_elsewhere(node, rq) {
            return Err(ResumeFailure::NoChain);
        }
        if !node.last_steps.may_send() {
            return Err(ResumeFailure::Stopping);
        }
        let progress = StreamProgress {
            last_event: self.events.last(),
            is_resumed: true,
        };
        match self.attempts.forward(node, rq, progress).await {
            Forwarded::Refused { .. } | Forwarded::NotTaken => Err(ResumeFailure::NotForwarded),
            Forwarded::Answer { peer, res, .. } if res.status() == StatusCode::OK => {
                Ok((Run::Peer(peer), res))
            }
            Forwarded::Answer { .. } => Err(ResumeFailure::NextFailed),
            Forwarded::Timeout => Err(ResumeFailure::OutOfTime),
            Forwarded::Lost { .. } => Err(ResumeFailure::NextLost),
        }
    }

    /// Returns a chain for another run. While the former run is open and its chain is broken, it is one
    /// that begins on another runner.
    fn next_chain_beside(&self, silent: &SilentBody) -> Option<Rc<LiveChain>> {
        let open_head = self
            .in_flight()
            .filter(|p| silent.is_open() && p.live.broken.is_cancelled())
            .map(|p| p.live.head());
        self.choose_next(|live| Some(live.head()) != open_head)
    }

    fn next_chain(&self) -> Option<Rc<LiveChain>> {
        self.choose_next(|_| true)
    }

    fn choose_next(&self, accepts: impl Fn(&LiveChain) -> bool) -> Option<Rc<LiveChain>> {
        let fill = admission::max_resumed_fill(&self.node, &self.rq);
        let attempts = &self.attempts;
        attempts.choose_chain(&self.node, &self.rq, fill, accepts)
    }

    fn finish_resume(&mut self, run: Run, res: Response<ResponseBody>, cause: &str) {
        self.resumed += 1;
        self.run_end = None;
        self.watch = Watch::Chain;
        self.events.resume();
        self.run_head_ms = self.node.now();
        self.survived = false;
        count_outcome("resumed");
        log::info!(
            request = self.rq.id.as_ref(),
            chain = run.label(),
            after:? = self.events.last(),
            silent_ms = self.node.now() - self.last_received_ms,
            cause;
            "resumed"
        );
        self.run = Some(run);
        self.body = Some(res.into_body());
    }
}
