//! The journal of one request: its event history and the only code that decides its outcome.
//!
//! Each event is recorded with [`Journal::record`], which checks it against the earlier events and
//! returns the violated invariant if it is inconsistent with them. [`Event::Dispatched`] is
//! recorded *before* the first byte may be sent to an upstream; if recording it fails, nothing may
//! be sent. Once it is recorded, the outcome can no longer be "not run" unless the attempt is
//! followed by one of two events: the upstream's own refusal, or a connection that was never
//! opened.
//!
//! Invariants:
//! - each attempt number is dispatched once, and attempt numbers increase;
//! - the caller's tokens are 0, 1, 2, … without gaps or duplicates, over all attempts;
//! - non-idempotent work is dispatched again only if every earlier attempt is known not to have
//!   run;
//! - an attempt is dispatched while another is open only if that one is silent; of the two, the first
//!   that gives a token, or is accepted, goes on, and the other is over before that is recorded;
//! - nothing is dispatched after [`Event::Closed`], so a reported outcome stays true.
//!
//! Tokens and steps beyond [`MAX_STEPS`] are counted but not stored, so that the size of a journal
//! does not grow with the length of the answer.

mod event;
mod frame;
mod verify;

pub use event::{Event, Step};
pub use frame::{DropReason, Frame, Verdict};
pub use verify::{Fault, Violation, verify};

use crate::prelude::*;

/// Maximum number of steps stored in a journal; further steps are only counted.
pub const MAX_STEPS: usize = 48;
/// Maximum number of attempts of one request.
pub const MAX_ATTEMPTS: usize = 16;

/// Whether work may be executed more than once.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed again: a second execution has the same effect as the first.
    #[display("idempotent")]
    Idempotent,
    /// Must be executed at most once.
    #[display("non-idempotent")]
    NonIdempotent,
}

/// How the request ends from the point of view of its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The driver has received or forwarded an answer that it considers complete.
    Complete,
    /// The driver gives up, for any cause.
    GivenUp,
}

/// Known state of one attempt.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum AttemptState {
    /// Dispatched to an upstream without a result so far, so it may be running.
    #[display("handed")]
    Dispatched,
    /// Dispatched, and silent for long enough that another attempt may be dispatched beside it. It goes
    /// on with its next token.
    #[display("silent")]
    Silent,
    /// Its connection was never opened, so no byte was sent.
    #[display("never sent")]
    NeverSent,
    /// The upstream refused it before running any part of it.
    #[display("refused")]
    Refused,
    /// The upstream sent the end of the answer.
    #[display("ended")]
    Ended,
    /// The upstream reported that the attempt ran partially and failed.
    #[display("broken")]
    Broken,
    /// The connection or its answer was lost.
    #[display("lost")]
    Lost,
}

impl AttemptState {
    /// Returns whether the attempt may be running, and its frames belong to the answer.
    fn is_open(self) -> bool {
        matches!(self, AttemptState::Dispatched | AttemptState::Silent)
    }
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number, from 1.
    pub number: u32,
    /// Upstream that it was dispatched to.
    pub upstream: Name,
    /// Its known state.
    pub state: AttemptState,
    /// Whether it gave a token.
    has_tokens: bool,
}

/// Ordered history of one request.
#[derive(Clone, Debug)]
pub struct Journal {
    request: Name,
    idempotency: Idempotency,
    attempts: Vec<Attempt>,
    tokens: u32,
    recorded: Option<Outcome>,
    closed: Option<Outcome>,
    dropped_frames: u32,
    steps: Vec<Step>,
    omitted_steps: u32,
}

impl Journal {
    /// Opens the journal of a request received at Unix time `at_ms`.
    pub fn open(request: Name, idempotency: Idempotency, at_ms: Millis) -> Self {
        let mut journal = Self {
            request,
            idempotency,
            attempts: Vec::new(),
            tokens: 0,
            recorded: None,
            closed: None,
            dropped_frames: 0,
            steps: Vec::new(),
            omitted_steps: 0,
        };
        journal.push_step(at_ms, Event::Received);
        journal
    }

    /// Records an event that occurred at Unix time `at_ms`.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant and leaves the journal unchanged. If [`Event::Dispatched`] is
    /// rejected, nothing may be sent.
    pub fn record(&mut self, at_ms: Millis, event: Event) -> Result<(), Fault> {
        self.check(&event)?;
        self.apply(&event);
        if !matches!(event, Event::Token { .. }) {
            self.push_step(at_ms, event);
        }
        Ok(())
    }

    /// Returns the outcome of a request that ends now. No other code decides "not run".
    ///
    /// For [`End::Complete`], the outcome is "answered" only if the journal has the end of the
    /// answer.
    pub fn outcome(&self, end: End) -> Outcome {
        if let Some(decided) = self.closed.or(self.recorded) {
            return decided;
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

    /// Decides the outcome and closes the journal with it. [`Event::Dispatched`] is rejected
    /// afterwards, so that a reported "not run" cannot become untrue.
    pub fn close(&mut self, at_ms: Millis, end: End) -> Outcome {
        let outcome = self.outcome(end);
        if self.closed.is_none() {
            self.closed = Some(outcome);
            self.push_step(at_ms, Event::Closed { outcome });
        }
        outcome
    }

    /// Returns the request id.
    pub fn request(&self) -> &Name {
        &self.request
    }

    /// Returns whether the work may be executed more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Returns the number of tokens that the caller has received, at which a new attempt resumes.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the attempts in dispatch order.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Returns the number of the next attempt.
    pub fn next_attempt(&self) -> u32 {
        self.attempts.last().map_or(1, |last| last.number + 1)
    }

    /// Returns the reported outcome, if the journal is closed.
    pub fn closed(&self) -> Option<Outcome> {
        self.closed
    }

    /// Returns the number of frames that were dropped as mismatched.
    pub fn dropped_frames(&self) -> u32 {
        self.dropped_frames
    }

    /// Returns the stored steps in order, for operators.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns the number of steps beyond [`MAX_STEPS`].
    pub fn omitted_steps(&self) -> u32 {
        self.omitted_steps
    }

    /// Returns whether every attempt, if any, is known not to have run.
    pub fn nothing_ran(&self) -> bool {
        self.attempts
            .iter()
            .all(|a| matches!(a.state, AttemptState::NeverSent | AttemptState::Refused))
    }

    /// Returns whether an attempt received the end of the answer.
    fn has_ended(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|a| a.state == AttemptState::Ended)
    }

    /// Returns whether some attempt may have run without a known result.
    fn has_unknown_result(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.state.is_open() || a.state == AttemptState::Lost)
    }

    fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.number == number)
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Dispatched { attempt, upstream } => self.dispatch(*attempt, upstream),
            Event::NeverSent { attempt } => self.set_state(*attempt, AttemptState::NeverSent),
            Event::RefusedByUpstream { attempt } => self.set_state(*attempt, AttemptState::Refused),
            Event::Silent { attempt } => self.set_state(*attempt, AttemptState::Silent),
            Event::Token { attempt, .. } => self.apply_token(*attempt),
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
        self.attempts.push(Attempt {
            number,
            upstream: upstream.clone(),
            state: AttemptState::Dispatched,
            has_tokens: false,
        });
    }

    fn apply_token(&mut self, number: u32) {
        self.tokens += 1;
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.number == number) {
            attempt.state = AttemptState::Dispatched;
            attempt.has_tokens = true;
        }
    }

    fn set_state(&mut self, number: u32, state: AttemptState) {
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.number == number) {
            attempt.state = state;
        }
    }

    /// Stores the step, or only counts it if the limit is reached. The last slot is reserved for
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
