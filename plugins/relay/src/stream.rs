//! Event streams through a chain of runners, with failover.
//!
//! Until the head of an answer arrives, the request may be retried on another chain. Afterwards the
//! caller has a status and a receipt: an interrupted run is then resumed by another one within the
//! same answer, from the event after the last complete one. The caller's connection is cut only once
//! the run has ended and no other one takes its place, or the deadline has passed: silence of a runner
//! is no reason.

mod begin;
mod failover;
mod silent_body;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::Response;
use jacinthweir_clients::direct::{DirectError, ResponseBody};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::quarantine::SURVIVED_MS;
use tokio::time::sleep;

use self::begin::Refusal;
use self::failover::{Failover, ResumeFailure};
use crate::admission;
use crate::answer::{Cause, RelayBody, StreamCut};
use crate::chain_attempts::ChainAttempts;
use crate::contention;
use crate::events::{EventError, EventSplitter};
use crate::failure_detector;
use crate::forwarding::{self, SentSoFar};
use crate::interrupted_run::{self, InterruptedRun, Progress};
use crate::live_chains::{InFlight, Interruption, Run};
use crate::node::Node;
use crate::quarantine;
use crate::request::{ProxiedRequest, count_outcome};
use crate::rest;
use crate::shutdown;

/// Serves a request through a chain of runners.
pub(crate) async fn serve(node: &Rc<Node>, rq: ProxiedRequest) -> Response<RelayBody> {
    let mut attempts = ChainAttempts::of(&rq);
    if let Err(cause) = contention::admit(node, &rq) {
        return refuse(node, &rq, &attempts, cause.into());
    }
    let begin = begin::begin(node, &rq, &mut attempts);
    let begun = node.last_steps.run_until_answers_due(begin).await;
    match begun.unwrap_or_else(|| Err(Cause::Stopping.into())) {
        Ok((run, res)) => forward(node, rq, run, res, attempts),
        Err(refusal) => refuse(node, &rq, &attempts, refusal),
    }
}

fn refuse(
    node: &Node,
    rq: &ProxiedRequest,
    attempts: &ChainAttempts,
    refusal: Refusal,
) -> Response<RelayBody> {
    let send_record = attempts.send_record;
    let Refusal {
        cause,
        retry_after_ms,
    } = refusal;
    let retry_after_ms = match (cause, retry_after_ms) {
        (_, Some(ms)) => ms,
        (Cause::Stopping, None) => shutdown::RETRY_AFTER_MS,
        (Cause::Resting, None) => rest::retry_after_ms(node, &rq.service),
        (_, None) => contention::retry_after_ms(node, rq, send_record).unwrap_or_else(|| {
            let mut shortage = node.shortage.borrow_mut();
            shortage.record_refused(node.now(), node.random_f64())
        }),
    };
    let mut res = rq.unanswered_response(node, send_record, cause, retry_after_ms);
    let sent = SentSoFar(attempts.attempts().clone());
    res.extensions_mut().insert(sent);
    res
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
    if let Some(in_flight) = run.on_chain() {
        in_flight.record_bytes();
    }
    let sent = SentSoFar(attempts.attempts().clone());
    metrics::histogram!("jacinthweir_first_event_seconds")
        .record((now - rq.received_ms) as f64 / 1e3);
    let forwarded = ForwardedStream {
        events: EventSplitter::after(rq.last_event),
        ok: parts.status.is_success(),
        last_received_ms: now,
        first_head_ms: now,
        run_head_ms: now,
        survived: false,
        longest_gap_ms: 0,
        run_end: None,
        watch: match run.on_chain() {
            Some(p) if p.live.broken.is_cancelled() => Watch::Silence,
            _ => Watch::Chain,
        },
        resumed: 0,
        told_sends: attempts.attempts().sends(),
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
    out.extensions_mut().insert(sent);
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
    /// Whether the current run has survived, so that it does not crash its runner.
    survived: bool,
    /// Longest time between two reads, which decides whether a complete answer counts as late.
    longest_gap_ms: Millis,
    /// End of the last run whose end was noticed.
    run_end: Option<RunEnd>,
    /// What shows that the current run does not go on.
    watch: Watch,
    resumed: u32,
    /// Sends up to the head of the answer.
    told_sends: u32,
    attempts: ChainAttempts,
    ended: bool,
}

/// What shows that a run does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watch {
    /// Its chain breaks, or the path to it is lost.
    Chain,
    /// Nothing comes from it for as long as callers allow between two events. It went on after its
    /// chain had broken, so nothing else watches it.
    Silence,
    /// Nothing: no other run takes the stream.
    None,
}

/// Side that closed the connection of a run first.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Closer {
    #[display("runner")]
    Runner,
    #[display("instance")]
    Instance,
}

/// End of a run before that of its answer.
#[derive(Clone, Copy, Debug)]
struct RunEnd {
    closer: Closer,
    at_ms: Millis,
}

/// Outcome of reading from the current run.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    RunFailed(String),
    Interrupted(Interruption),
    Timeout,
}

impl ReadOutcome {
    fn of(read: Option<Result<Bytes, DirectError>>) -> ReadOutcome {
        match read {
            Some(Ok(bytes)) => ReadOutcome::Bytes(bytes),
            Some(Err(e)) => ReadOutcome::RunFailed(e.to_string()),
            None => ReadOutcome::End,
        }
    }
}

impl ForwardedStream {
    /// Returns the next events for the caller. A stream that goes on when this instance stops is cut, since
    /// a regular end would make it look complete.
    async fn next(&mut self) -> Option<Result<Bytes, StreamCut>> {
        let node = Rc::clone(&self.node);
        let next = self.next_events();
        match node.last_steps.run_until_answers_due(next).await {
            Some(next) => next,
            None => self.cut(Cause::Stopping.to_string(), None),
        }
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, StreamCut>> {
        let mut went_on = None;
        while !self.ended {
            let read = match went_on.take() {
                Some(read) => read,
                None => self.read().await,
            };
            match self.reject_partial_event(read) {
                ReadOutcome::Bytes(bytes) if !self.ok => return Some(Ok(bytes)),
                ReadOutcome::Bytes(bytes) => {
                    self.record_received();
                    let pushed = self.events.push(&bytes);
                    self.update_tokens();
                    match pushed {
                        Ok(complete) if complete.is_empty() => {}
                        Ok(complete) => return Some(Ok(complete)),
                        Err(e @ EventError::Gap { .. }) => return self.cut(e.to_string(), None),
                        Err(e) => went_on = Some(ReadOutcome::RunFailed(e.to_string())),
                    }
                }
                ReadOutcome::End => return self.finish(),
                ReadOutcome::RunFailed(cause) => {
                    self.record_run_end(Closer::Runner);
                    match &self.run {
                        Some(Run::Chain(in_flight)) => {
                            self.attempts.record_broken_off(&in_flight.live);
                        }
                        Some(Run::Peer(_)) => self.attempts.record_untold(),
                        None => {}
                    }
                    self.body = None;
                    self.record_interruption(&cause);
                    match self.fail_over(&cause).await {
                        Failover::Continued => {}
                        Failover::Read(read) => went_on = Some(read),
                        Failover::Failed(failure) => return self.cut(cause, Some(failure)),
                    }
                }
                ReadOutcome::Interrupted(interruption) => {
                    let cause = interruption.to_string();
                    if interruption == Interruption::ChainBroke {
                        self.record_interruption(&cause);
                    }
                    self.watch = Watch::Silence;
                    match self.fail_over(&cause).await {
                        Failover::Continued => {}
                        Failover::Read(read) => went_on = Some(read),
                        Failover::Failed(failure) if self.body.is_some() => {
                            self.watch = Watch::None;
                            self.log_awaited(failure);
                        }
                        Failover::Failed(failure) => return self.cut(cause, Some(failure)),
                    }
                }
                ReadOutcome::Timeout => return self.cut("out of time".to_owned(), None),
            }
        }
        None
    }

    /// Takes a run that ended within an event for failed.
    fn reject_partial_event(&self, read: ReadOutcome) -> ReadOutcome {
        match read {
            ReadOutcome::End if self.ok && self.events.has_partial_event() => {
                ReadOutcome::RunFailed("ended within an event".to_owned())
            }
            read => read,
        }
    }

    async fn read(&mut self) -> ReadOutcome {
        let left = Duration::from_millis(self.rq.remaining_ms(&self.node));
        let silent_from = self.last_received_ms + self.rq.max_gap_ms;
        let allowed = Duration::from_millis(silent_from.saturating_sub(self.node.now()));
        let (Some(body), Some(run)) = (&mut self.body, &self.run) else {
            return ReadOutcome::RunFailed("no run".to_owned());
        };
        tokio::select! {
            biased;
            read = body.next() => ReadOutcome::of(read),
            interruption = run.interrupted(), if self.watch == Watch::Chain => {
                ReadOutcome::Interrupted(interruption)
            }
            () = sleep(allowed), if self.watch == Watch::Silence => {
                ReadOutcome::Interrupted(Interruption::SilentAgain)
            }
            () = sleep(left) => ReadOutcome::Timeout,
        }
    }

    /// Logs that nothing else takes the stream, so that its silent run is awaited.
    fn log_awaited(&self, failure: ResumeFailure) {
        log::info!(
            request = self.rq.id.as_ref(),
            given_up = failure.name(),
            silent_ms = self.node.now() - self.last_received_ms;
            "awaiting a silent run"
        );
    }

    /// Handles bytes of a run that was interrupted: the silent runners of its chain answer again.
    fn run_went_on(&mut self) {
        let silent_ms = self.node.now() - self.last_received_ms;
        self.watch = Watch::Silence;
        if self.return_to_chain() {
            self.watch = Watch::Chain;
            log::info!(request = self.rq.id.as_ref(), silent_ms; "silent run went on");
        } else if let Some(in_flight) = self.in_flight() {
            failure_detector::recheck(&self.node, &in_flight.live);
        }
    }

    /// Returns the current run if it is on a chain of this instance.
    fn in_flight(&self) -> Option<&InFlight> {
        self.run.as_ref().and_then(Run::on_chain)
    }

    /// Records that the connection of the current run is closed.
    fn record_run_end(&mut self, closer: Closer) {
        let at_ms = self.node.now();
        self.run_end = Some(RunEnd { closer, at_ms });
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
        if self.watch != Watch::Chain {
            self.run_went_on();
        }
        let now = self.node.now();
        let gap = now - self.last_received_ms;
        self.last_received_ms = now;
        self.longest_gap_ms = self.longest_gap_ms.max(gap);
        if !self.survived && now >= self.run_head_ms + SURVIVED_MS {
            self.survived = true;
            quarantine::record_survival(&self.node, &self.rq);
        }
        if let Some(in_flight) = self.in_flight() {
            in_flight.record_bytes();
            in_flight.live.gaps.borrow_mut().record(now, gap);
            let head = in_flight.live.head().0;
            let contention = &self.node.contention;
            contention.measure(&self.rq.service, |meter| meter.record_event(now, head, gap));
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

    fn finish(&mut self) -> Option<Result<Bytes, StreamCut>> {
        self.ended = true;
        // An error response does not show that the runner began to run the request.
        if self.ok {
            quarantine::record_survival(&self.node, &self.rq);
        }
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
        if self.body.is_some() && self.run_end.is_none() {
            self.record_run_end(Closer::Instance);
        }
        self.run = None;
        self.body = None;
        count_outcome("cut");
        let given_up = failure.map_or("", ResumeFailure::name);
        let run_closed_by = self
            .run_end
            .map_or_else(String::new, |e| e.closer.to_string());
        metrics::counter!(
            "jacinthweir_streams_cut_total",
            "run_closed_by" => run_closed_by.clone(),
            "given_up" => given_up
        )
        .increment(1);
        log::warn!(
            request = self.rq.id.as_ref(),
            route = self.rq.route.as_ref(),
            cause = cause.as_str(),
            given_up,
            run_closed_by,
            run_closed_ms_ago:? = self.run_end.map(|e| self.node.now() - e.at_ms),
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
    /// Logs and counts a caller that left, or a panic in the task of its connection. The connection
    /// drops the answer and with it this value; there is no other indication.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if std::thread::panicking() {
            count_outcome("panicked");
            log::error!(request = self.rq.id.as_ref(); "answer lost in a panic");
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
