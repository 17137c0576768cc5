//! Event streams through a chain of runners, with failover.
//!
//! Until the head of an answer arrives, the request may be retried on another chain. Afterwards the
//! caller has a status and a receipt: an interrupted run is then resumed by another one within the
//! same answer, from the event after the last complete one, or the caller's connection is cut.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::{Response, StatusCode};
use jacinthweir_clients::direct::ResponseBody;
use jacinthweir_platform::runner;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection;
use jacinthweir_policy::retry_priority::RetryPriority;
use tokio::time::{sleep, timeout};

use crate::admission::{self, QueuePosition};
use crate::answer::{Cause, RelayBody, SendRecord, StreamCut};
use crate::chain_attempts::{AttemptOutcome, ChainAttempts};
use crate::events::EventSplitter;
use crate::forwarding::{self, FirstRunner, Forwarded, StreamProgress};
use crate::interrupted_run::{self, InterruptedRun, Progress};
use crate::live_chains::{InFlight, Interruption, LiveChain, Run};
use crate::node::Node;
use crate::quarantine;
use crate::reachability;
use crate::request::{ProxiedRequest, count_outcome};
use crate::rest;

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

/// Serves a request through a chain of runners.
pub(crate) async fn serve(node: &Rc<Node>, rq: ProxiedRequest) -> Response<RelayBody> {
    let mut attempts = ChainAttempts::of(&rq);
    let cause = loop {
        let until = admission::until(node, &rq, attempts.send_record);
        if let Some(held_ms) = quarantine::quarantined_ms(node, &rq, until).await {
            return rq.unanswered_response(node, attempts.send_record, Cause::Quarantined, held_ms);
        }
        let may_take = |live: &LiveChain| attempts.may_take(node, &rq, live);
        let live = match admission::wait(node, &rq, may_take, until).await {
            Ok(live) => Some(live),
            Err(Cause::NoPath) if rq.origin.is_none() => None,
            Err(cause) => break cause,
        };
        // The request may have been quarantined while it waited for room.
        if let Some(held_ms) = quarantine::quarantined_ms(node, &rq, until).await {
            return rq.unanswered_response(node, attempts.send_record, Cause::Quarantined, held_ms);
        }
        if attempts.send_record.sends > 0
            && !node.take_retry(&rq.service, attempts.send_record.retry_priority())
        {
            break Cause::RunnerFailed;
        }
        let Some(live) = live else {
            match attempts.forward(node, &rq, StreamProgress::none(&rq)).await {
                Forwarded::Answer { peer, res, .. } => {
                    return forward(node, rq, Run::Peer(peer), res, attempts);
                }
                Forwarded::Refused { peer, res } if !attempts.send_record.may_have_run() => {
                    return forward(node, rq, Run::Peer(peer), res, attempts);
                }
                Forwarded::Timeout => break Cause::Timeout,
                Forwarded::Lost(_) if rq.class.repeatable() => continue,
                Forwarded::Lost(_) => break Cause::RunnerFailed,
                Forwarded::Refused { .. } | Forwarded::NotTaken => break Cause::NoPath,
            }
        };
        match attempts.attempt(node, &rq, &live, rq.last_event).await {
            AttemptOutcome::Stream(in_flight, res) => {
                return forward(node, rq, Run::Chain(in_flight), res, attempts);
            }
            AttemptOutcome::Timeout => break Cause::Timeout,
            AttemptOutcome::NotRun
            | AttemptOutcome::Unreached
            | AttemptOutcome::Broken
            | AttemptOutcome::Lost => {}
        }
        if attempts.send_record.may_have_run() && !rq.class.repeatable() {
            break Cause::RunnerFailed;
        }
    };
    refuse(node, &rq, attempts.send_record, cause)
}

fn refuse(
    node: &Node,
    rq: &ProxiedRequest,
    send_record: SendRecord,
    cause: Cause,
) -> Response<RelayBody> {
    let retry_after_ms = match cause {
        Cause::Resting => rest::retry_after_ms(node, &rq.service),
        _ => node
            .shortage
            .borrow_mut()
            .record_refused(node.now(), node.random_f64()),
    };
    rq.unanswered_response(node, send_record, cause, retry_after_ms)
}

/// Forwards a runner's answer to the caller.
fn forward(
    node: &Rc<Node>,
    rq: ProxiedRequest,
    run: Run,
    res: Response<ResponseBody>,
    attempts: ChainAttempts,
) -> Response<RelayBody> {
    let (parts, body) = res.into_parts();
    let now = node.now();
    let first_runner = run.on_chain().map(|p| {
        p.record_bytes();
        let (id, born_ms) = p.live.head();
        FirstRunner((id.clone(), born_ms))
    });
    metrics::histogram!("jacinthweir_first_event_seconds")
        .record((now - rq.received_ms) as f64 / 1e3);
    let forwarded = ForwardedStream {
        events: EventSplitter::after(rq.last_event),
        ok: parts.status.is_success(),
        last_received_ms: now,
        first_head_ms: now,
        run_head_ms: now,
        longest_gap_ms: 0,
        resumed: 0,
        attempts,
        run: Some(run),
        body: Some(body),
        node: Rc::clone(node),
        rq,
        ended: false,
    };
    let stream = unfold(forwarded, |mut forwarded| async {
        let item = forwarded.next().await?;
        Some((item, forwarded))
    });
    let mut out = Response::new(RelayBody::stream(stream));
    *out.status_mut() = parts.status;
    *out.headers_mut() = forwarding::caller_headers(&parts.headers);
    if let Some(first_runner) = first_runner {
        out.extensions_mut().insert(first_runner);
    }
    out
}

/// A stream that is forwarded to a caller, across all runs that contribute to it.
struct ForwardedStream {
    node: Rc<Node>,
    rq: ProxiedRequest,
    run: Option<Run>,
    body: Option<ResponseBody>,
    events: EventSplitter,
    /// Whether the answer is a success: only then does its body consist of events.
    ok: bool,
    last_received_ms: Millis,
    /// When the head of the answer arrived.
    first_head_ms: Millis,
    /// When the head of the current run arrived.
    run_head_ms: Millis,
    /// Longest time between two reads, which decides whether a complete answer counts as late.
    longest_gap_ms: Millis,
    resumed: u32,
    attempts: ChainAttempts,
    ended: bool,
}

/// Reason why an interrupted stream was not resumed.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum ResumeFailure {
    #[display("it must not run again")]
    NotRepeatable,
    #[display("no repeat left")]
    NoRetry,
    #[display("no attempt left")]
    AttemptsExhausted,
    #[display("no chain took it in time")]
    NoChain,
    #[display("no other instance took it in time")]
    NotForwarded,
    #[display("the next chain did not take it")]
    NextRefused,
    #[display("the next chain broke")]
    NextBroke,
    #[display("the next run was lost")]
    NextLost,
    #[display("the next run failed")]
    NextFailed,
    #[display("its runners end under it")]
    Quarantined,
    #[display("out of time")]
    OutOfTime,
}

/// Outcome of reading from the current run.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    RunFailed(String),
    Interrupted(Interruption),
    Timeout,
}

impl ForwardedStream {
    async fn next(&mut self) -> Option<Result<Bytes, StreamCut>> {
        while !self.ended {
            match self.read().await {
                ReadOutcome::Bytes(bytes) if !self.ok => return Some(Ok(bytes)),
                ReadOutcome::Bytes(bytes) => {
                    self.record_received();
                    let pushed = self.events.push(&bytes);
                    self.update_tokens();
                    match pushed {
                        Ok(complete) if complete.is_empty() => {}
                        Ok(complete) => return Some(Ok(complete)),
                        Err(e) => return self.cut(e.to_string(), None),
                    }
                }
                ReadOutcome::End if !(self.ok && self.events.has_partial_event()) => {
                    return self.finish();
                }
                ReadOutcome::End => {
                    let cause = "ended within an event".to_owned();
                    self.record_interruption(&cause);
                    if let Err(failure) = self.resume_elsewhere(&cause).await {
                        return self.cut(cause, Some(failure));
                    }
                }
                ReadOutcome::RunFailed(cause) => {
                    self.record_interruption(&cause);
                    if let Err(failure) = self.resume_elsewhere(&cause).await {
                        return self.cut(cause, Some(failure));
                    }
                }
                ReadOutcome::Interrupted(interruption) => {
                    let cause = interruption.to_string();
                    if interruption == Interruption::ChainBroke {
                        self.record_interruption(&cause);
                    }
                    if self.reroute().await.is_some() {
                        continue;
                    }
                    if let Err(failure) = self.resume_elsewhere(&cause).await {
                        return self.cut(cause, Some(failure));
                    }
                }
                ReadOutcome::Timeout => return self.cut("out of time".to_owned(), None),
            }
        }
        None
    }

    async fn read(&mut self) -> ReadOutcome {
        let left = Duration::from_millis(self.rq.remaining_ms(&self.node));
        let (Some(body), Some(run)) = (&mut self.body, &self.run) else {
            return ReadOutcome::RunFailed("no run".to_owned());
        };
        tokio::select! {
            biased;
            bytes = body.next() => match bytes {
                Some(Ok(bytes)) => ReadOutcome::Bytes(bytes),
                Some(Err(e)) => ReadOutcome::RunFailed(e.to_string()),
                None => ReadOutcome::End,
            },
            interruption = run.interrupted() => ReadOutcome::Interrupted(interruption),
            () = sleep(left) => ReadOutcome::Timeout,
        }
    }

    /// Returns the current run if it is on a chain of this instance.
    fn in_flight(&self) -> Option<&InFlight> {
        self.run.as_ref().and_then(Run::on_chain)
    }

    /// Records that the current run was interrupted.
    fn record_interruption(&self, cause: &str) {
        if let Some(in_flight) = self.in_flight() {
            let progress =
                Progress::Received(self.last_received_ms.saturating_sub(self.run_head_ms));
            let lifetimes = quarantine::lifetimes(&in_flight.live.chain);
            let interrupted_run = InterruptedRun {
                rq: &self.rq,
                lifetimes,
                sent_ms: in_flight.sent_ms,
                progress,
                cause,
            };
            interrupted_run::record(&self.node, interrupted_run);
        }
    }

    fn record_received(&mut self) {
        let now = self.node.now();
        let gap = now - self.last_received_ms;
        self.last_received_ms = now;
        self.longest_gap_ms = self.longest_gap_ms.max(gap);
        if let Some(in_flight) = self.in_flight() {
            in_flight.record_bytes();
            in_flight.live.gaps.borrow_mut().record(now, gap);
        }
    }

    /// Updates the number of tokens that the request occupies in its chain.
    fn update_tokens(&mut self) {
        let per_event = self.rq.engine().map_or(1, |e| e.event_tokens);
        let (prompt, _) = admission::token_counts(&self.rq);
        let written = self.events.count() * u64::from(per_event);
        if let Some(in_flight) = self.run.as_mut().and_then(Run::on_chain_mut) {
            in_flight.raise_tokens(f64::from(prompt) + written as f64);
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
        let in_flight = self.run.as_mut().and_then(Run::on_chain_mut)?;
        in_flight.move_to(Rc::clone(&live));
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
        ordered.ok().map(drop)
    }

    /// Resumes the stream with another run, after the last complete event. Tries until the caller's
    /// time is over, since a chain or a retry that is missing now may become available.
    async fn resume_elsewhere(&mut self, cause: &str) -> Result<(), ResumeFailure> {
        self.body = None;
        // The runner is probably dead but not yet detected as such, so its chain is excluded.
        let chain = self.in_flight().map(|p| Rc::clone(&p.live));
        self.attempts.excluded = chain.into_iter().collect();
        self.run = None;
        if !self.ok || !self.rq.class.repeatable() {
            return Err(ResumeFailure::NotRepeatable);
        }
        self.events.resume();
        let until = self.last_received_ms + self.abandon_fraction_ms(RESUME_FRACTION);
        let in_time = self.last_received_ms + self.rq.max_gap_ms;
        let mut position = Some(QueuePosition::ahead_of_new_requests(&self.node));
        let mut failure = ResumeFailure::NoChain;
        while self.node.now() < until {
            if quarantine::quarantined_ms(&self.node, &self.rq, until)
                .await
                .is_some()
            {
                return Err(ResumeFailure::Quarantined);
            }
            if self.attempts.is_exhausted(&self.rq) {
                return Err(ResumeFailure::AttemptsExhausted);
            }
            // Only streams that can still be in time and lack nothing but room precede new
            // requests.
            if self.node.now() >= in_time || failure == ResumeFailure::NoRetry {
                position = None;
            }
            failure = match self.try_resume().await {
                Ok((run, res)) => {
                    drop(position);
                    self.finish_resume(run, res, cause);
                    return Ok(());
                }
                Err(ResumeFailure::OutOfTime) => return Err(ResumeFailure::OutOfTime),
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

    /// Tries once to resume the stream with another run.
    async fn try_resume(&mut self) -> Result<(Run, Response<ResponseBody>), ResumeFailure> {
        let Some(live) = self.next_chain() else {
            return self.resume_through_peer().await;
        };
        // Each send spends a retry, even one that a runner refuses.
        if !self
            .node
            .take_retry(&self.rq.service, RetryPriority::Committed)
        {
            return Err(ResumeFailure::NoRetry);
        }
        let after = self.events.last();
        match self
            .attempts
            .attempt(&self.node, &self.rq, &live, after)
            .await
        {
            AttemptOutcome::Stream(in_flight, res) if res.status() == StatusCode::OK => {
                Ok((Run::Chain(in_flight), res))
            }
            AttemptOutcome::Stream(..) => Err(ResumeFailure::NextFailed),
            AttemptOutcome::NotRun | AttemptOutcome::Unreached => Err(ResumeFailure::NextRefused),
            AttemptOutcome::Broken => Err(ResumeFailure::NextBroke),
            AttemptOutcome::Lost => Err(ResumeFailure::NextLost),
            AttemptOutcome::Timeout => Err(ResumeFailure::OutOfTime),
        }
    }

    /// Tries once to resume the stream through another instance, if this one reaches no runner.
    async fn resume_through_peer(
        &mut self,
    ) -> Result<(Run, Response<ResponseBody>), ResumeFailure> {
        let (node, rq) = (&self.node, &self.rq);
        if rq.origin.is_some() || !reachability::is_impaired(node, &rq.service) {
            return Err(ResumeFailure::NoChain);
        }
        if !node.has_retry(&rq.service, RetryPriority::Committed) {
            return Err(ResumeFailure::NoRetry);
        }
        let progress = StreamProgress {
            last_event: self.events.last(),
            is_resumed: true,
        };
        let forwarded = self.attempts.forward(node, rq, progress).await;
        // A request that the other instance did not send to a runner costs no retry.
        if matches!(forwarded, Forwarded::Refused { .. } | Forwarded::NotTaken) {
            return Err(ResumeFailure::NotForwarded);
        }
        node.take_retry(&rq.service, RetryPriority::Committed);
        match forwarded {
            Forwarded::Answer { peer, res, .. } if res.status() == StatusCode::OK => {
                Ok((Run::Peer(peer), res))
            }
            Forwarded::Answer { .. } => Err(ResumeFailure::NextFailed),
            Forwarded::Timeout => Err(ResumeFailure::OutOfTime),
            _ => Err(ResumeFailure::NextLost),
        }
    }

    fn next_chain(&self) -> Option<Rc<LiveChain>> {
        let may_take = |live: &LiveChain| self.attempts.may_take(&self.node, &self.rq, live);
        self.node
            .choose_chain(&self.rq, chain_selection::MAX_FILL_RESUMED, may_take)
    }

    fn finish_resume(&mut self, run: Run, res: Response<ResponseBody>, cause: &str) {
        self.resumed += 1;
        self.run_head_ms = self.node.now();
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

    fn finish(&mut self) -> Option<Result<Bytes, StreamCut>> {
        self.ended = true;
        quarantine::record_survival(&self.node, &self.rq);
        let after_ms = self.node.now() - self.rq.received_ms;
        count_outcome("answered");
        log::info!(
            request = self.rq.id.as_ref(),
            route = self.rq.route.as_ref(),
            chain = self.run.as_ref().map_or_else(String::new, Run::label),
            resumed = self.resumed,
            first_after_ms = self.first_head_ms - self.rq.received_ms,
            longest_gap_ms = self.longest_gap_ms,
            events = self.events.count(),
            after_ms;
            "answered"
        );
        self.run = None;
        self.body = None;
        None
    }

    fn cut(
        &mut self,
        cause: String,
        failure: Option<ResumeFailure>,
    ) -> Option<Result<Bytes, StreamCut>> {
        self.ended = true;
        self.run = None;
        self.body = None;
        count_outcome("cut");
        log::warn!(
            request = self.rq.id.as_ref(),
            route = self.rq.route.as_ref(),
            cause = cause.as_str(),
            given_up = failure.map_or_else(String::new, |g| g.to_string()),
            sends = self.attempts.send_record.sends,
            silent_ms = self.node.now() - self.last_received_ms,
            last_event:? = self.events.last(),
            after_ms = self.node.now() - self.rq.received_ms;
            "stream cut"
        );
        Some(Err(StreamCut { cause }))
    }
}

impl Drop for ForwardedStream {
    /// Logs and counts a caller that left. Its connection drops the answer and with it this value;
    /// there is no other indication.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.node.now();
        count_outcome("left");
        log::info!(
            request = self.rq.id.as_ref(),
            chain = self.run.as_ref().map_or_else(String::new, Run::label),
            events = self.events.count(),
            silent_ms = now - self.last_received_ms,
            after_ms = now - self.rq.received_ms;
            "caller left"
        );
    }
}
