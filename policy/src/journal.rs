//! The journal of one request: what happened to it, and the one place that decides its outcome.
//!
//! Each step is recorded with [`Journal::record`], which checks it against what came before and
//! names the violation where it does not fit. [`Event::Dispatched`] is recorded *before* the first
//! byte may go to an upstream; if it is refused, nothing may be sent. From then on the right to
//! say "not run" is gone, and only two events give it back for that attempt: the upstream's own
//! refusal, and a connection that was never opened.
//!
//! Invariants:
//! - an attempt number is handed over once, and numbers grow;
//! - the caller's tokens are 0, 1, 2, … without gap or repeat, over all attempts;
//! - non-idempotent work is handed over again only when every earlier attempt is known not to
//!   have run;
//! - after [`Event::Closed`] nothing is handed over: an outcome that was told stays true.
//!
//! Tokens are counted, not listed, and steps beyond [`MAX_STEPS`] are counted only, so that a
//! journal's size does not grow with its answer.

mod event;
mod frame;
mod verify;

pub use event::{Event, Step};
pub use frame::{DropReason, Frame, Verdict};
pub use verify::{Fault, Violation, verify};

use crate::prelude::*;

/// The most steps that a journal keeps; the rest are counted.
pub const MAX_STEPS: usize = 48;
/// The most attempts of one request.
pub const MAX_ATTEMPTS: usize = 16;

/// Whether work may run more than once.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Idempotency {
    /// May run again: a second run has the same effect as the first.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once.
    #[display("non-idempotent")]
    NonIdempotent,
}

/// How the request is about to end, as its driver sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The driver holds, or has passed on, an answer that it takes for whole.
    Complete,
    /// The driver gives up, for whatever cause.
    GivenUp,
}

/// What is known of one attempt.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum AttemptState {
    /// Handed to an upstream; nothing is known to the contrary, so it may run.
    #[display("handed")]
    Dispatched,
    /// Its connection was never opened: no byte left this instance.
    #[display("never sent")]
    NeverSent,
    /// The upstream refused it before any of it ran.
    #[display("refused")]
    Refused,
    /// The upstream gave the end of the answer.
    #[display("ended")]
    Ended,
    /// The upstream itself says that it ran in part and broke off.
    #[display("broken")]
    Broken,
    /// The connection or its answer was lost.
    #[display("lost")]
    Lost,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number, from 1.
    pub number: u32,
    /// Upstream that it was handed to.
    pub upstream: Name,
    /// What is known of it.
    pub state: AttemptState,
}

/// What happened to one request, in order.
#[derive(Clone, Debug)]
pub struct Journal {
    request: Name,
    idempotency: Idempotency,
    attempts: Vec<Attempt>,
    tokens: u32,
    tokens_at_dispatch: u32,
    recorded: Option<Outcome>,
    closed: Option<Outcome>,
    dropped_frames: u32,
    steps: Vec<Step>,
    omitted_steps: u32,
}

impl Journal {
    /// Opens the journal of a request that has just been received, at Unix time `at_ms`.
    pub fn open(request: Name, idempotency: Idempotency, at_ms: Millis) -> Self {
        let mut journal = Self {
            request,
            idempotency,
            attempts: Vec::new(),
            tokens: 0,
            tokens_at_dispatch: 0,
            recorded: None,
            closed: None,
            dropped_frames: 0,
            steps: Vec::new(),
            omitted_steps: 0,
        };
        journal.push_step(at_ms, Event::Received);
        journal
    }

    /// Records what happened at Unix time `at_ms`.
    ///
    /// # Errors
    ///
    /// The violated invariant; the event is then not taken in. A refused [`Event::Dispatched`] means
    /// that nothing may be sent.
    pub fn record(&mut self, at_ms: Millis, event: Event) -> Result<(), Fault> {
        self.check(&event)?;
        self.apply(&event);
        if !matches!(event, Event::Token { .. }) {
            self.push_step(at_ms, event);
        }
        Ok(())
    }

    /// Decides the outcome of a request that ends now. The only place that says "not run".
    ///
    /// A driver that believes to hold a whole answer is answered only if the journal agrees.
    pub fn outcome(&self, end: End) -> Outcome {
        if let Some(told) = self.closed.or(self.recorded) {
            return told;
        }
        if self.nothing_ran() {
            return Outcome::NotRun;
        }
        if end == End::Complete && self.has_ended() {
            return Outcome::Answered;
        }
        match self.idempotency {
            Idempotency::Idempotent => Outcome::Failed,
            Idempotency::NonIdempotent if self.has_unknown_result() => Outcome::Unknown,
            Idempotency::NonIdempotent => Outcome::Failed,
        }
    }

    /// Decides the outcome and closes the journal with it: from here on [`Event::Dispatched`] is
    /// refused, so that a "not run" that was told can't become untrue.
    pub fn close(&mut self, at_ms: Millis, end: End) -> Outcome {
        let outcome = self.outcome(end);
        if self.closed.is_none() {
            self.closed = Some(outcome);
            self.push_step(at_ms, Event::Closed { outcome });
        }
        outcome
    }

    /// Request id.
    pub fn request(&self) -> &Name {
        &self.request
    }

    /// Whether the work may run more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Number of tokens that the caller has: where a new attempt resumes.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Attempts in the order in which they were handed over.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Number for the next attempt.
    pub fn next_attempt(&self) -> u32 {
        self.attempts.last().map_or(1, |last| last.number + 1)
    }

    /// Outcome that was told, once the journal is closed.
    pub fn closed(&self) -> Option<Outcome> {
        self.closed
    }

    /// Number of frames that did not match and were dropped.
    pub fn dropped_frames(&self) -> u32 {
        self.dropped_frames
    }

    /// Steps kept, in order, for operators.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Number of steps beyond [`MAX_STEPS`].
    pub fn omitted_steps(&self) -> u32 {
        self.omitted_steps
    }

    /// Whether every attempt, if any, is known not to have run.
    pub fn nothing_ran(&self) -> bool {
        self.attempts
            .iter()
            .all(|a| matches!(a.state, AttemptState::NeverSent | AttemptState::Refused))
    }

    /// Whether the newest attempt gave its end.
    fn has_ended(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|a| a.state == AttemptState::Ended)
    }

    /// Whether an attempt may have run without its result being known here.
    fn has_unknown_result(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| matches!(a.state, AttemptState::Dispatched | AttemptState::Lost))
    }

    fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.number == number)
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Dispatched { attempt, upstream } => self.dispatch(*attempt, upstream),
            Event::NeverSent { attempt } => self.set_state(*attempt, AttemptState::NeverSent),
            Event::RefusedByUpstream { attempt } => self.set_state(*attempt, AttemptState::Refused),
            Event::Token { .. } => self.tokens += 1,
            Event::Ended { attempt, .. } => self.set_state(*attempt, AttemptState::Ended),
            Event::Broken { attempt, .. } => self.set_state(*attempt, AttemptState::Broken),
            Event::Lost { attempt, .. } => self.set_state(*attempt, AttemptState::Lost),
            Event::Recorded { outcome } => self.recorded = Some(*outcome),
            Event::Closed { outcome } => self.closed = Some(*outcome),
            Event::Received
            | Event::Queued
            | Event::Admitted
            | Event::Claimed
            | Event::Refused { .. }
            | Event::CallerLeft
            | Event::DeadlinePassed => {}
        }
    }

    fn dispatch(&mut self, number: u32, upstream: &Name) {
        self.tokens_at_dispatch = self.tokens;
        self.attempts.push(Attempt {
            number,
            upstream: upstream.clone(),
            state: AttemptState::Dispatched,
        });
    }

    fn set_state(&mut self, number: u32, state: AttemptState) {
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.number == number) {
            attempt.state = state;
        }
    }

    /// Keeps the step, or counts it when the bound is reached. The last place is kept free for
    /// the step that closes the journal.
    fn push_step(&mut self, at_ms: Millis, event: Event) {
        let closes = matches!(event, Event::Closed { .. });
        if self.steps.len() + usize::from(!closes) < MAX_STEPS {
            self.steps.push(Step { at_ms, event });
        } else {
            self.omitted_steps += 1;
        }
    }
}
