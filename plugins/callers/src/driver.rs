//! The driver of one request: admission, attempts, and what the caller is told.

use std::time::Duration;

use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::gate::{Ask, Permit};
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
use crate::attempt::AttemptEnd;
use crate::pace::{Awaited, Paces};

/// Tokens that may wait for a slow caller before its upstream is held back.
const TOLD_CAPACITY: usize = 64;
/// Bytes of a prompt taken to make a token.
const BYTES_PER_TOKEN: usize = 4;
/// How long a request that has begun waits for a route, in milliseconds.
const RESUME_WAIT_MS: Millis = 10_000;
/// Period of looking for one.
const RESUME_POLL: Duration = Duration::from_millis(50);
/// When to come back where nothing better is known, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What the handler passes on to the caller.
#[derive(Debug)]
pub(crate) enum Told {
    /// The next token's text.
    Token(String),
    /// The answer is whole.
    End(EndFrame),
    /// It is not.
    Refused(Refusal),
}

/// Why a request ends without a whole answer.
enum Stop {
    Refused(Refusal),
    NoRoute(String),
    Busy(Refused),
    GaveUp(String),
    DeadlinePassed,
    CallerLeft,
}

/// The driver of one request.
pub(crate) struct Driver {
    pub(crate) cx: Arc<Kernel>,
    pub(crate) accepted: Accepted,
    pub(crate) running: Running,
    pub(crate) tx: mpsc::Sender<Told>,
    /// Text of the tokens that the caller has.
    pub(crate) tokens: Vec<String>,
    pub(crate) paces: Arc<Paces>,
    awaited: Awaited,
    waiting_since: Millis,
    avoid: Vec<RunnerId>,
    busy: Option<Refused>,
}

impl Driver {
    /// Starts the driver of an accepted request as a task of its own.
    pub(crate) fn spawn(
        cx: &Arc<Kernel>,
        paces: &Arc<Paces>,
        accepted: Accepted,
    ) -> (AnswerHead, mpsc::Receiver<Told>) {
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
            form: accepted.prompt.form,
            id,
            model: accepted.prompt.pipeline.clone(),
            created: cx.clock.unix_ms() / 1000,
        };
        let (tx, rx) = mpsc::channel(TOLD_CAPACITY);
        let driver = Driver {
            cx: Arc::clone(cx),
            accepted,
            running,
            tx,
            tokens: Vec::new(),
            paces: Arc::clone(paces),
            awaited: Awaited::First,
            waiting_since: cx.clock.now(),
            avoid: Vec::new(),
            busy: None,
        };
        cx.tasks.spawn(driver.drive());
        (head, rx)
    }

    async fn drive(mut self) {
        fault_point::reach(Step::Received).await;
        let served = self.serve().await;
        let end = match &served {
            Ok(_) => End::Complete,
            Err(stop) => {
                self.note_stop(stop);
                End::GivenUp
            }
        };
        let outcome = self.running.close(end);
        self.log(outcome);
        fault_point::reach(Step::Finished).await;
        let told = match served {
            Ok(end) => Told::End(end),
            Err(stop) => Told::Refused(stop.refusal(outcome)),
        };
        // Fails only where the caller has left: there is nobody to tell.
        let _ = self.tx.send(told).await;
    }

    async fn serve(&mut self) -> Result<EndFrame, Stop> {
        let mut permit = self.enter().await?;
        self.running.note(Event::Admitted);
        fault_point::reach(Step::Admitted).await;
        let result = self.attempts().await;
        if let Ok(end) = &result {
            permit.spent(end.prompt_tokens.saturating_add(end.tokens));
        }
        result
    }

    async fn enter(&mut self) -> Result<Permit, Stop> {
        let gate = Arc::clone(&self.cx.gate);
        let org = &self.accepted.config.schema.orgs()[self.accepted.caller.org];
        let ask = Ask {
            organisation: org.name.clone(),
            weight: org.weight,
            pipeline: self.accepted.prompt.pipeline.clone(),
            priority: self.accepted.caller.priority,
            cost_tokens: self
                .prompt_tokens()
                .saturating_add(self.accepted.max_tokens),
            deadline: self.accepted.deadline,
        };
        let queued = || self.running.note(Event::Queued);
        tokio::select! {
            entered = gate.enter(&ask, Work::New, queued) => {
                entered.map_err(|r| Stop::Refused(refused_entry(r)))
            }
            () = self.tx.closed() => Err(Stop::CallerLeft),
        }
    }

    /// Attempts until one gives the whole answer, or no further one makes sense.
    async fn attempts(&mut self) -> Result<EndFrame, Stop> {
        loop {
            if self.remaining() == Duration::ZERO {
                return Err(Stop::DeadlinePassed);
            }
            let route = self.find_route().await?;
            let number = self.running.journal().next_attempt();
            self.cx.router().record_sent(self.cx.clock.now(), &route);
            let end = self.attempt(number, &route).await;
            self.count_route(&route, &end);
            match end {
                AttemptEnd::Whole(end) => {
                    self.paces.answered(&self.accepted.prompt.pipeline);
                    return Ok(end);
                }
                AttemptEnd::DeadlinePassed => return Err(Stop::DeadlinePassed),
                AttemptEnd::CallerLeft => return Err(Stop::CallerLeft),
                AttemptEnd::Refused(refused) => self.after_refusal(&route, refused)?,
                AttemptEnd::NeverSent => self.after_never_sent(&route)?,
                AttemptEnd::Broken(runner) => self.after_break(&route, runner.as_ref())?,
                AttemptEnd::Stalled => self.after_stall(&route)?,
            }
        }
    }

    /// A route, at once for a request of which nothing ran. One whose caller has a part of the
    /// answer waits: the runners it avoids may be the only holders of their layers, and come back
    /// or be replaced, while giving up would waste what ran.
    async fn find_route(&mut self) -> Result<Route, Stop> {
        let give_up_at = self.cx.clock.now().saturating_add(RESUME_WAIT_MS);
        loop {
            let stop = match self.pick() {
                Ok(route) => return Ok(route),
                Err(stop) => stop,
            };
            let begun = !self.running.journal().nothing_ran();
            if !begun || self.cx.clock.now() >= give_up_at {
                return Err(self.busy.take().map_or(stop, Stop::Busy));
            }
            self.avoid.clear();
            tokio::select! {
                () = tokio::time::sleep(self.remaining().min(RESUME_POLL)) => {}
                () = self.tx.closed() => return Err(Stop::CallerLeft),
            }
            if self.remaining() == Duration::ZERO {
                return Err(Stop::DeadlinePassed);
            }
        }
    }

    /// A route past the runners that stalls speak against, or, where there is none, one over them.
    fn pick(&mut self) -> Result<Route, Stop> {
        let blamed = self.paces.blamed(&self.cx);
        if blamed.is_empty() {
            return self.pick_past(&self.avoid);
        }
        let past: Vec<RunnerId> = self.avoid.iter().copied().chain(blamed).collect();
        self.pick_past(&past)
            .or_else(|_| self.pick_past(&self.avoid))
    }

    fn pick_past(&self, avoid: &[RunnerId]) -> Result<Route, Stop> {
        let now = self.cx.clock.now();
        let router = self.cx.router();
        let name = self.model_name();
        let model = router.model(&name);
        let model = model.ok_or_else(|| Stop::NoRoute(format!("model {name} is not planned")))?;
        let pick = RouteRequest {
            model,
            prefix_hash: prefix_hash(&self.accepted.prompt.text),
            prompt_tokens: self.prompt_tokens(),
            max_tokens: self.accepted.max_tokens,
            avoid,
        };
        let picked = router.pick(now, &pick, &mut rand::rng());
        picked.map_err(|e| Stop::NoRoute(e.to_string()))
    }

    fn count_route(&self, route: &Route, end: &AttemptEnd) {
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
            AttemptEnd::Stalled => router.record_failure(now, route, None),
            AttemptEnd::Refused(refused) if refused.code == RefusedCode::Unreachable => {
                let runner = refused.runner.as_ref().and_then(|name| router.runner(name));
                router.record_failure(now, route, runner);
            }
            AttemptEnd::Whole(_)
            | AttemptEnd::Refused(_)
            | AttemptEnd::DeadlinePassed
            | AttemptEnd::CallerLeft => router.record_finished(now, route),
        }
    }

    fn after_refusal(&mut self, route: &Route, refused: Refused) -> Result<(), Stop> {
        // A later stage that can't be reached is no overload: the attempt cost nobody anything.
        // Taken from the budget, a lost failure domain used it up on dead runners, and the streams
        // that had run there could not be resumed.
        let end = match refused.code {
            RefusedCode::Unreachable => AttemptFailure::NeverSent,
            _ => AttemptFailure::Refused {
                retry_after_ms: refused.retry_after_ms,
            },
        };
        // The refusal may come from a later stage, or tell of one that can't be reached. Avoiding
        // the first stage in its place led request after request to the same dead runner, until
        // the retry budget was empty.
        self.avoid_named_or_first(route, refused.runner.as_ref());
        let retry = self.may_retry(end);
        if retry.is_err() {
            return Err(Stop::Busy(refused));
        }
        self.busy = Some(refused);
        Ok(())
    }

    fn after_never_sent(&mut self, route: &Route) -> Result<(), Stop> {
        self.avoid_first(route);
        self.may_retry(AttemptFailure::NeverSent)
    }

    fn after_break(&mut self, route: &Route, runner: Option<&Name>) -> Result<(), Stop> {
        metrics::counter!("jacinthweir_attempts_broken_total").increment(1);
        self.avoid_named_or_first(route, runner);
        self.may_retry(AttemptFailure::BrokenOff)
    }

    /// A stall does not say which stage is at fault: the next attempt avoids all that were not
    /// seen alive meanwhile, or else all.
    fn after_stall(&mut self, route: &Route) -> Result<(), Stop> {
        metrics::counter!("jacinthweir_stalls_total").increment(1);
        let mut blamed = self.paces.blame(route, self.waiting_since);
        if blamed.is_empty() {
            blamed = route.stages.iter().map(|s| s.runner).collect();
        }
        blamed.into_iter().for_each(|runner| self.avoid(runner));
        self.may_retry(AttemptFailure::BrokenOff)
    }

    fn may_retry(&self, end: AttemptFailure) -> Result<(), Stop> {
        let pipeline = &self.accepted.prompt.pipeline;
        let in_flight = u32::try_from(self.cx.gate.in_flight()).unwrap_or(u32::MAX);
        let left_ms = self.remaining_ms();
        let journal = self.running.journal();
        match self
            .paces
            .decide(pipeline, &journal, end, left_ms, in_flight)
        {
            Decision::Retry { .. } => Ok(()),
            Decision::GiveUp(GiveUp::Deadline) => Err(Stop::DeadlinePassed),
            Decision::GiveUp(why) => Err(Stop::GaveUp(format!("not tried again: {why}"))),
        }
    }

    fn avoid_named_or_first(&mut self, route: &Route, name: Option<&Name>) {
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

    fn note_stop(&self, stop: &Stop) {
        match stop {
            Stop::Refused(refusal) => {
                let code = Name::from(refusal.code.to_string());
                self.running.note(Event::Refused { code });
            }
            Stop::DeadlinePassed => self.running.note(Event::DeadlinePassed),
            Stop::CallerLeft => self.running.note(Event::CallerLeft),
            Stop::NoRoute(_) | Stop::Busy(_) | Stop::GaveUp(_) => {}
        }
    }

    fn log(&self, outcome: Outcome) {
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

    /// How long to wait for the next frame.
    pub(crate) fn frame_wait(&self) -> Duration {
        let pipeline = &self.accepted.prompt.pipeline;
        let threshold = self.paces.threshold(pipeline, self.awaited);
        self.remaining().min(threshold)
    }

    /// An attempt begins: its first token is waited for.
    pub(crate) fn await_first(&mut self) {
        self.awaited = Awaited::First;
        self.waiting_since = self.cx.clock.now();
    }

    /// A token came.
    pub(crate) fn token_came(&mut self) {
        let now = self.cx.clock.now();
        let gap_ms = now.saturating_sub(self.waiting_since);
        let pipeline = &self.accepted.prompt.pipeline;
        self.paces.seen(pipeline, self.awaited, gap_ms);
        self.awaited = Awaited::Next;
    }

    /// The token is with the caller: the time it took there is none of the runner's.
    pub(crate) fn token_passed_on(&mut self) {
        self.waiting_since = self.cx.clock.now();
    }

    /// No frame came in time.
    pub(crate) fn note_stall(&self) {
        self.paces
            .stalled(&self.accepted.prompt.pipeline, self.awaited);
    }
}

fn refused_entry(refusal: admission::Refusal) -> Refusal {
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

impl Stop {
    /// What the caller is told. The outcome is the journal's: "not run" is never decided here.
    fn refusal(self, outcome: Outcome) -> Refusal {
        let (code, message, retry_after_ms) = match self {
            Stop::Refused(refusal) => (refusal.code, refusal.message, refusal.retry_after_ms),
            Stop::NoRoute(msg) => (ErrorCode::NoCapacity, msg, Some(RETRY_AFTER_MS)),
            Stop::Busy(refused) => {
                let msg = format!("runners refused: {}", refused.code);
                (ErrorCode::Overloaded, msg, Some(refused.retry_after_ms))
            }
            Stop::GaveUp(msg) => (ErrorCode::NoCapacity, msg, Some(RETRY_AFTER_MS)),
            Stop::DeadlinePassed => {
                let msg = "the deadline passed".to_owned();
                (ErrorCode::DeadlineExceeded, msg, None)
            }
            Stop::CallerLeft => (ErrorCode::UpstreamFailed, "the caller left".into(), None),
        };
        let code = match (code, outcome) {
            (ErrorCode::DeadlineExceeded, Outcome::NotRun) => ErrorCode::Overloaded,
            (ErrorCode::NoCapacity | ErrorCode::Overloaded, Outcome::Failed) => {
                ErrorCode::UpstreamFailed
            }
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
