//! Drives one request: admission, attempts, and the parts of the answer for the handler.

use std::time::Duration;

use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::gate::{AdmissionRequest, Permit};
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::records::{Entry, EntryMeta, Running};
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::admission::{self, Work};
use jacinthweir_policy::journal::{End, Event, Idempotency, Journal};
use jacinthweir_policy::retry::{AttemptFailure, Decision, GiveUp};
use jacinthweir_policy::route::{Route, RouteRequest};
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::runner::{EndFrame, Refused, RefusedCode, prefix_hash};
use tokio::sync::mpsc;

use crate::accept::Accepted;
use crate::answer::AnswerHead;
use crate::attempt::{AttemptEnd, Successor};
use crate::retry_state::{AwaitedToken, RetryStates};
use crate::run_evidence::RunEvidence;

/// Tokens buffered for a slow caller before backpressure reaches the upstream.
const ANSWER_CHANNEL_CAPACITY: usize = 64;
/// Estimated prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Longest wait for a route by a request that has started to run, in milliseconds.
const RESUME_WAIT_MS: Millis = 10_000;
/// Interval between two tries to find a route during that wait.
const RESUME_POLL: Duration = Duration::from_millis(50);
/// Default retry delay suggested to callers, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Message to callers whose requests this instance ends because it stops.
pub(crate) const STOPPING: &str = "this instance stops";

/// A part of the answer, passed to the handler.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Text of the next token.
    Token(String),
    /// The answer is complete.
    End(EndFrame),
    /// The request ended without a complete answer.
    Refused(Refusal),
}

/// Reason for which a request ends without a complete answer.
pub(crate) enum StopReason {
    /// This instance refused it.
    Refused(Refusal),
    /// It is quarantined for this time, in milliseconds.
    Quarantined(Millis),
    /// No route leads to all layers.
    NoRoute(String),
    /// The runners refused its last attempt.
    RunnersRefused(Refused),
    /// Its last attempt failed and it may not be tried again.
    GaveUp(String),
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerLeft,
    /// This instance stops.
    Stopping,
}

/// The driver of one request.
pub(crate) struct Driver {
    pub(crate) cx: Arc<Kernel>,
    pub(crate) accepted: Accepted,
    pub(crate) running: Running,
    pub(crate) tx: mpsc::Sender<AnswerPart>,
    /// Texts of the tokens received so far; a later attempt resumes after them.
    pub(crate) tokens: Vec<String>,
    pub(crate) retry_states: Arc<RetryStates>,
    pub(crate) evidence: RunEvidence,
    /// Runners that failed this request, which its next attempts avoid where they can.
    pub(crate) avoid: Vec<RunnerId>,
    /// Start of the wait for the next token.
    pub(crate) waiting_since: Millis,
    awaited: AwaitedToken,
    /// Whether the wait for the next token has exceeded the stall threshold.
    is_stalled: bool,
    last_refusal: Option<Refused>,
}

impl Driver {
    /// Starts the driver of an accepted request in a new task.
    pub(crate) fn spawn(
        cx: &Arc<Kernel>,
        retry_states: &Arc<RetryStates>,
        accepted: Accepted,
    ) -> (AnswerHead, mpsc::Receiver<AnswerPart>) {
        let id = cx.new_request_id();
        let journal = Journal::open(id.clone(), Idempotency::Idempotent, cx.clock.unix_ms());
        let meta = EntryMeta {
            instance: cx.settings.name.clone(),
            organisation: accepted.caller.organisation.clone(),
            target: accepted.prompt.pipeline.clone(),
            revision: accepted.config.revision,
        };
        let running = cx.records.begin(Entry::new(journal, cx.clock, meta));
        let head = AnswerHead {
            endpoint: accepted.prompt.endpoint,
            id,
            model: accepted.prompt.pipeline.clone(),
            created: cx.clock.unix_ms() / 1000,
        };
        let (tx, rx) = mpsc::channel(ANSWER_CHANNEL_CAPACITY);
        let evidence = RunEvidence::of(&accepted);
        let driver = Driver {
            cx: Arc::clone(cx),
            accepted,
            running,
            tx,
            tokens: Vec::new(),
            retry_states: Arc::clone(retry_states),
            evidence,
            avoid: Vec::new(),
            waiting_since: cx.clock.now(),
            awaited: AwaitedToken::First,
            is_stalled: false,
            last_refusal: None,
        };
        cx.tasks.spawn(driver.drive());
        (head, rx)
    }

    async fn drive(mut self) {
        fault_point::reach(Step::Received).await;
        let served = self.serve_until_stop().await;
        let end = match &served {
            Ok(_) => End::Complete,
            Err(stop) => {
                self.record_stop(stop);
                End::GivenUp
            }
        };
        let outcome = self.running.close(end);
        self.log_end(outcome);
        fault_point::reach(Step::Finished).await;
        let last_part = match served {
            Ok(end) => AnswerPart::End(end),
            Err(stop) => AnswerPart::Refused(stop.refusal(outcome)),
        };
        // Fails only if the handler was dropped because the caller disconnected.
        let _ = self.tx.send(last_part).await;
    }

    /// Serves the request until this instance stops. The journal then tells whether it may have run: a
    /// closed connection would not.
    async fn serve_until_stop(&mut self) -> Result<EndFrame, StopReason> {
        let cx = Arc::clone(&self.cx);
        if cx.answers_due.is_cancelled() {
            return Err(StopReason::Stopping);
        }
        tokio::select! {
            biased;
            served = self.serve() => served,
            () = cx.answers_due.cancelled() => Err(StopReason::Stopping),
        }
    }

    async fn serve(&mut self) -> Result<EndFrame, StopReason> {
        let mut permit = self.admit().await?;
        self.running.record_or_log(Event::Admitted);
        fault_point::reach(Step::Admitted).await;
        let result = self.run_attempts().await;
        if let Ok(end) = &result {
            permit.set_tokens_used(end.prompt_tokens.saturating_add(end.tokens));
        }
        result
    }

    async fn admit(&mut self) -> Result<Permit, StopReason> {
        let gate = Arc::clone(&self.cx.gate);
        let org = &self.accepted.config.schema.orgs()[self.accepted.caller.org];
        let request = AdmissionRequest {
            organisation: org.name.clone(),
            weight: org.weight,
            pipeline: self.accepted.prompt.pipeline.clone(),
            priority: self.accepted.caller.priority,
            cost_tokens: self
                .prompt_tokens()
                .saturating_add(self.accepted.max_tokens),
            deadline: self.accepted.deadline,
        };
        let queued = || self.running.record_or_log(Event::Queued);
        tokio::select! {
            permit = gate.acquire(&request, Work::New, queued) => {
                permit.map_err(|r| StopReason::Refused(admission_refusal(r)))
            }
            () = self.tx.closed() => Err(StopReason::CallerLeft),
        }
    }

    /// Runs attempts until one completes the answer or no further attempt may be made.
    async fn run_attempts(&mut self) -> Result<EndFrame, StopReason> {
        let mut successor = None;
        loop {
            let (route, end) = self.next_attempt(successor.take()).await?;
            self.record_route_result(&route, &end);
            self.evidence.record_end(&self.cx, &end);
            match end {
                AttemptEnd::Completed(end) => {
                    self.retry_states
                        .record_success(&self.accepted.prompt.pipeline);
                    return Ok(end);
                }
                AttemptEnd::DeadlinePassed => return Err(StopReason::DeadlinePassed),
                AttemptEnd::CallerLeft => return Err(StopReason::CallerLeft),
                AttemptEnd::Refused(refused) => self.after_refusal(&route, refused)?,
                AttemptEnd::NeverSent => self.after_never_sent(&route)?,
                AttemptEnd::Broken(runner) => self.after_break(&route, runner.as_ref())?,
                AttemptEnd::Stalled(next) => {
                    self.after_stall(&route, &next.route);
                    successor = Some(next);
                }
            }
        }
    }

    /// Runs the next attempt: `successor`, or one along a new route.
    async fn next_attempt(
        &mut self,
        successor: Option<Box<Successor>>,
    ) -> Result<(Route, AttemptEnd), StopReason> {
        if let Some(successor) = successor {
            let route = successor.route.clone();
            return Ok((route, self.continue_attempt(successor).await));
        }
        if self.remaining() == Duration::ZERO {
            return Err(StopReason::DeadlinePassed);
        }
        self.check_quarantine().await?;
        let route = self.find_route().await?;
        let number = self.running.journal().next_attempt();
        self.cx.router().record_sent(self.cx.clock.now(), &route);
        let end = self.run_attempt(number, &route).await;
        Ok((route, end))
    }

    /// Refuses the request if it is quarantined.
    async fn check_quarantine(&self) -> Result<(), StopReason> {
        let subject = self.evidence.subject();
        let held = self.cx.quarantined_ms(subject, self.accepted.deadline);
        match held.await {
            Some(ms) => Err(StopReason::Quarantined(ms)),
            None => Ok(()),
        }
    }

    /// Returns a route for the next attempt.
    ///
    /// A request of which nothing ran fails at once if there is none. One that has started waits:
    /// the runners that it avoids may be the only holders of their layers and may recover or be
    /// replaced, while giving up would waste the work done.
    async fn find_route(&mut self) -> Result<Route, StopReason> {
        let give_up_at = self.cx.clock.now().saturating_add(RESUME_WAIT_MS);
        loop {
            let stop = match self.pick_route() {
                Ok(route) => return Ok(route),
                Err(stop) => stop,
            };
            let started = !self.running.journal().nothing_ran();
            if !started || self.cx.clock.now() >= give_up_at {
                return Err(self
                    .last_refusal
                    .take()
                    .map_or(stop, StopReason::RunnersRefused));
            }
            self.avoid.clear();
            tokio::select! {
                () = tokio::time::sleep(self.remaining().min(RESUME_POLL)) => {}
                () = self.tx.closed() => return Err(StopReason::CallerLeft),
            }
            if self.remaining() == Duration::ZERO {
                return Err(StopReason::DeadlinePassed);
            }
        }
    }

    /// Picks a route that avoids runners suspected of stalls, if there is one, and otherwise any
    /// route that avoids the runners that failed this request.
    fn pick_route(&mut self) -> Result<Route, StopReason> {
        let suspects = self.retry_states.suspects(&self.cx);
        if suspects.is_empty() {
            return self.pick_route_avoiding(&self.avoid);
        }
        let avoid: Vec<RunnerId> = self.avoid.iter().copied().chain(suspects).collect();
        self.pick_route_avoiding(&avoid)
            .or_else(|_| self.pick_route_avoiding(&self.avoid))
    }

    pub(crate) fn pick_route_avoiding(&self, avoid: &[RunnerId]) -> Result<Route, StopReason> {
        let now = self.cx.clock.now();
        let router = self.cx.router();
        let name = self.model_name();
        let model = router.model(&name);
        let model =
            model.ok_or_else(|| StopReason::NoRoute(format!("model {name} is not planned")))?;
        let pick = RouteRequest {
            model,
            prefix_hash: prefix_hash(&self.accepted.prompt.text),
            prompt_tokens: self.prompt_tokens(),
            max_tokens: self.accepted.max_tokens,
            avoid,
        };
        let picked = router.pick(now, &pick, &mut rand::rng());
        picked.map_err(|e| StopReason::NoRoute(e.to_string()))
    }

    pub(crate) fn record_route_result(&self, route: &Route, end: &AttemptEnd) {
        let now = self.cx.clock.now();
        let mut router = self.cx.router();
        match end {
            AttemptEnd::Broken(runner) => {
                let runner = runner.as_ref().and_then(|name| router.runner(name));
                router.record_failure(now, route, runner);
            }
            AttemptEnd::NeverSent => {
                let first = route.stages.first().map(|s| s.runner);
                router.record_failure(now, route, first);
            }
            AttemptEnd::Stalled(_) => router.record_failure(now, route, None),
            AttemptEnd::Refused(refused) if refused.code == RefusedCode::Unreachable => {
                let runner = refused.runner.as_ref().and_then(|name| router.runner(name));
                router.record_failure(now, route, runner);
            }
            AttemptEnd::Completed(_)
            | AttemptEnd::Refused(_)
            | AttemptEnd::DeadlinePassed
            | AttemptEnd::CallerLeft => router.record_finished(now, route),
        }
    }

    fn after_refusal(&mut self, route: &Route, refused: Refused) -> Result<(), StopReason> {
        // An unreachable later stage is not overload: the attempt consumed no capacity. If it were
        // charged to the retry budget, the loss of a failure domain would exhaust the budget on
        // dead runners, and the streams that had run there could not be resumed.
        let end = match refused.code {
            RefusedCode::Unreachable => AttemptFailure::NeverSent,
            _ => AttemptFailure::Refused {
                retry_after_ms: refused.retry_after_ms,
            },
        };
        // The refusal may come from a later stage, or name one that cannot be reached. Avoiding the
        // first stage instead would send request after request to the same dead runner until the
        // retry budget is exhausted.
        self.avoid_named_or_first(route, refused.runner.as_ref());
        let retry = self.may_retry(end);
        if retry.is_err() {
            return Err(StopReason::RunnersRefused(refused));
        }
        self.last_refusal = Some(refused);
        Ok(())
    }

    fn after_never_sent(&mut self, route: &Route) -> Result<(), StopReason> {
        self.avoid_first(route);
        self.may_retry(AttemptFailure::NeverSent)
    }

    fn after_break(&mut self, route: &Route, runner: Option<&Name>) -> Result<(), StopReason> {
        metrics::counter!("jacinthweir_attempts_broken_total").increment(1);
        self.avoid_named_or_first(route, runner);
        self.may_retry(AttemptFailure::BrokenOff)
    }

    /// Handles a silent attempt that was given up for another route: later attempts avoid the runners
    /// that the other route avoids.
    fn after_stall(&mut self, route: &Route, other: &Route) {
        metrics::counter!("jacinthweir_stalls_total").increment(1);
        let is_kept = |runner: RunnerId| other.stages.iter().any(|s| s.runner == runner);
        for stage in route.stages.iter().filter(|s| !is_kept(s.runner)) {
            self.avoid(stage.runner);
        }
    }

    pub(crate) fn may_retry(&self, end: AttemptFailure) -> Result<(), StopReason> {
        let pipeline = &self.accepted.prompt.pipeline;
        let in_flight = u32::try_from(self.cx.gate.in_flight()).unwrap_or(u32::MAX);
        let left_ms = self.remaining_ms();
        let journal = self.running.journal();
        match self
            .retry_states
            .decide(pipeline, &journal, end, left_ms, in_flight)
        {
            Decision::Retry { .. } => Ok(()),
            Decision::GiveUp(GiveUp::Deadline) => Err(StopReason::DeadlinePassed),
            Decision::GiveUp(why) => Err(StopReason::GaveUp(format!("not tried again: {why}"))),
        }
    }

    pub(crate) fn avoid_named_or_first(&mut self, route: &Route, name: Option<&Name>) {
        let named = name.and_then(|name| self.cx.router().runner(name));
        match named {
            Some(runner) => self.avoid(runner),
            None => self.avoid_first(route),
        }
    }

    fn avoid_first(&mut self, route: &Route) {
        if let Some(first) = route.stages.first() {
            self.avoid(first.runner);
        }
    }

    fn avoid(&mut self, runner: RunnerId) {
        if !self.avoid.contains(&runner) {
            self.avoid.push(runner);
        }
    }

    fn record_stop(&self, stop: &StopReason) {
        match stop {
            StopReason::Refused(refusal) => {
                let code = Name::from(refusal.code.to_string());
                self.running.record_or_log(Event::Refused { code });
            }
            StopReason::DeadlinePassed => self.running.record_or_log(Event::DeadlinePassed),
            StopReason::CallerLeft => self.running.record_or_log(Event::CallerLeft),
            StopReason::Quarantined(_)
            | StopReason::Stopping
            | StopReason::NoRoute(_)
            | StopReason::RunnersRefused(_)
            | StopReason::GaveUp(_) => {}
        }
    }

    fn log_end(&self, outcome: Outcome) {
        info!(
            request = self.running.request.as_ref(),
            organisation = self.running.organisation.as_ref(),
            target = self.running.target.as_ref();
            "request ended: {outcome}, {} tokens", self.tokens.len()
        );
        let outcome = outcome.to_string();
        metrics::counter!("jacinthweir_requests_total", "outcome" => outcome).increment(1);
    }

    pub(crate) fn model_name(&self) -> Name {
        let schema = &self.accepted.config.schema;
        let model = schema.pipelines()[self.accepted.pipeline].model;
        schema.models()[model].name.clone()
    }

    fn prompt_tokens(&self) -> u32 {
        let tokens = self.accepted.prompt.text.len().div_ceil(BYTES_PER_TOKEN);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.accepted.deadline.saturating_sub(self.cx.clock.now())
    }

    pub(crate) fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms())
    }

    /// Returns how long to wait for the next frame.
    pub(crate) fn frame_timeout(&self) -> Duration {
        self.timeout_for(self.awaited)
    }

    /// Returns how long to wait for the start of an attempt.
    pub(crate) fn start_timeout(&self) -> Duration {
        self.timeout_for(AwaitedToken::First)
    }

    fn timeout_for(&self, awaited: AwaitedToken) -> Duration {
        let pipeline = &self.accepted.prompt.pipeline;
        let threshold = self.retry_states.stall_threshold(pipeline, awaited);
        self.remaining().min(threshold)
    }

    /// Starts the wait for the first token of an attempt.
    pub(crate) fn start_first_token_wait(&mut self) {
        self.awaited = AwaitedToken::First;
        self.waiting_since = self.cx.clock.now();
        self.is_stalled = false;
    }

    /// Records the gap before a received token.
    pub(crate) fn on_token_received(&mut self) {
        let now = self.cx.clock.now();
        let gap_ms = now.saturating_sub(self.waiting_since);
        let pipeline = &self.accepted.prompt.pipeline;
        if std::mem::take(&mut self.is_stalled) {
            let request = self.running.request.as_ref();
            info!(request; "attempt goes on after {gap_ms} ms without a token");
            metrics::counter!("jacinthweir_silences_ended_total").increment(1);
            self.retry_states
                .record_false_suspicion(pipeline, self.awaited, gap_ms);
        } else {
            self.retry_states.record_gap(pipeline, self.awaited, gap_ms);
        }
        self.evidence.record_token(&self.cx);
        self.awaited = AwaitedToken::Next;
    }

    /// Starts the wait for the next token once the last one is forwarded, so that the runner is not
    /// charged for the time that a slow caller takes.
    pub(crate) fn on_token_forwarded(&mut self) {
        self.waiting_since = self.cx.clock.now();
    }

    /// Records once for each silence that no frame of `attempt` arrived within the stall threshold.
    pub(crate) fn record_stall(&mut self, attempt: u32) {
        if std::mem::replace(&mut self.is_stalled, true) {
            return;
        }
        self.running.record_or_log(Event::Silent { attempt });
        let silent_ms = self.cx.clock.now().saturating_sub(self.waiting_since);
        let request = self.running.request.as_ref();
        info!(request; "attempt is silent: no token for {silent_ms} ms");
        self.retry_states
            .record_suspicion(&self.accepted.prompt.pipeline, self.awaited);
    }
}

fn admission_refusal(refusal: admission::Refusal) -> Refusal {
    let (code, msg) = match refusal.code {
        admission::RefuseCode::OrganisationLimit => (
            ErrorCode::OrganisationLimit,
            "the organisation's limit in flight is reached",
        ),
        admission::RefuseCode::Overloaded => (
            ErrorCode::Overloaded,
            "the queue does not drain in time for the deadline",
        ),
        admission::RefuseCode::NoCapacity => {
            (ErrorCode::NoCapacity, "no runners serve this model now")
        }
    };
    Refusal::not_run(code, msg).retry_after(refusal.retry_after_ms)
}

impl StopReason {
    /// Returns the refusal for the caller.
    ///
    /// The outcome comes from the journal: "not run" is never decided here.
    fn refusal(self, outcome: Outcome) -> Refusal {
        let (code, message, retry_after_ms) = match self {
            StopReason::Refused(refusal) => (refusal.code, refusal.message, refusal.retry_after_ms),
            StopReason::Quarantined(ms) => {
                let msg = "runners crash when they run this request".to_owned();
                (ErrorCode::Quarantined, msg, Some(ms))
            }
            StopReason::NoRoute(msg) => (ErrorCode::NoCapacity, msg, Some(RETRY_AFTER_MS)),
            StopReason::RunnersRefused(refused) => {
                let msg = format!("runners refused: {}", refused.code);
                (ErrorCode::Overloaded, msg, Some(refused.retry_after_ms))
            }
            StopReason::GaveUp(msg) => (ErrorCode::NoCapacity, msg, Some(RETRY_AFTER_MS)),
            StopReason::DeadlinePassed => {
                let msg = "the deadline passed".to_owned();
                (ErrorCode::DeadlineExceeded, msg, None)
            }
            StopReason::CallerLeft => (ErrorCode::UpstreamFailed, "the caller left".into(), None),
            StopReason::Stopping => (ErrorCode::Draining, STOPPING.into(), Some(RETRY_AFTER_MS)),
        };
        let code = match (code, outcome) {
            (ErrorCode::DeadlineExceeded, Outcome::NotRun) => ErrorCode::Overloaded,
            (
                ErrorCode::NoCapacity
                | ErrorCode::Overloaded
                | ErrorCode::Quarantined
                | ErrorCode::Draining,
                Outcome::Failed,
            ) => ErrorCode::UpstreamFailed,
            (code, _) => code,
        };
        Refusal {
            code,
            message,
            outcome,
            retry_after_ms,
        }
    }
}
