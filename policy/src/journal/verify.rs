//! Checks each event of a journal against the earlier ones.

use super::{Attempt, AttemptState, End, Event, Idempotency, Journal, MAX_ATTEMPTS};
use crate::prelude::*;
use derive_more::{Display, Error};

/// Invariant that an event violates.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The attempt number is not greater than those dispatched before.
    #[display("attempt {attempt} handed over twice or out of order")]
    DispatchedTwice {
        /// Attempt number.
        attempt: u32,
    },
    /// Non-idempotent work is dispatched again although an earlier attempt may have run.
    #[display("attempt {attempt} repeats non-idempotent work that may have run")]
    RepeatedNonIdempotent {
        /// Attempt number.
        attempt: u32,
    },
    /// The attempt is dispatched while an earlier one is open and not silent, or two are open.
    #[display("attempt {attempt} handed over while the one before it is open")]
    StillOpen {
        /// Attempt number.
        attempt: u32,
    },
    /// The attempt gives a token, or the end, while another one is open.
    #[display("attempt {attempt} goes on while another is open")]
    NotAlone {
        /// Attempt number.
        attempt: u32,
    },
    /// The attempt is dispatched after an earlier attempt received the end of the answer.
    #[display("attempt {attempt} handed over after the answer had ended")]
    DispatchedAfterEnd {
        /// Attempt number.
        attempt: u32,
    },
    /// The request has more than [`MAX_ATTEMPTS`] attempts.
    #[display("attempt {attempt} is over the bound of attempts")]
    TooManyAttempts {
        /// Attempt number.
        attempt: u32,
    },
    /// The event refers to an attempt that was never dispatched.
    #[display("attempt {attempt} was never handed over")]
    NeverDispatched {
        /// Attempt number.
        attempt: u32,
    },
    /// The event refers to an attempt that is already over.
    #[display("attempt {attempt} is over already")]
    AttemptOver {
        /// Attempt number.
        attempt: u32,
    },
    /// The attempt is refused after it produced tokens.
    #[display("attempt {attempt} refused after it gave tokens")]
    RefusedAfterTokens {
        /// Attempt number.
        attempt: u32,
    },
    /// The caller already has this token.
    #[display("token {index} repeats: the caller has {expected}")]
    TokenRepeated {
        /// Index of the token.
        index: u32,
        /// Expected index.
        expected: u32,
    },
    /// A token before this one is missing.
    #[display("token {index} skips: {expected} comes next")]
    TokenSkipped {
        /// Index of the token.
        index: u32,
        /// Expected index.
        expected: u32,
    },
    /// The token count of the end differs from the number of tokens that the caller has.
    #[display("end with {tokens} tokens, the caller has {given}")]
    WrongLength {
        /// Token count of the end.
        tokens: u32,
        /// Tokens that the caller has.
        given: u32,
    },
    /// The reported outcome is not one that the journal decides.
    #[display("closed as {told}, which the journal does not bear out")]
    WrongOutcome {
        /// Reported outcome.
        told: Outcome,
    },
    /// The request both takes its outcome from an earlier submission and is dispatched itself, so
    /// one of the two outcomes would be lost.
    #[display("both handed over and answered from a claim's record")]
    RecordedAndDispatched,
    /// The event comes after the outcome was reported.
    #[display("comes after the outcome was told")]
    AfterClose,
}

/// An event of a history that violates an invariant.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("event {position} ({event}): {fault}")]
pub struct Violation {
    /// Position in the history, from 0.
    pub position: usize,
    /// The event.
    pub event: Event,
    /// The violated invariant.
    pub fault: Fault,
}

/// Replays the history of a request into a journal.
///
/// # Errors
///
/// Returns the first event that violates an invariant.
pub fn verify(idempotency: Idempotency, history: &[Event]) -> Result<Journal, Violation> {
    let mut journal = Journal::open("".into(), idempotency, 0);
    for (position, event) in history.iter().enumerate() {
        journal
            .record(0, event.clone())
            .map_err(|fault| Violation {
                position,
                event: event.clone(),
                fault,
            })?;
    }
    Ok(journal)
}

impl Journal {
    pub(super) fn check(&self, event: &Event) -> Result<(), Fault> {
        if self.closed.is_some() {
            return self.check_closed(event);
        }
        match event {
            Event::Dispatched { attempt, .. } => self.check_dispatch(*attempt),
            Event::RefusedByUpstream { attempt } | Event::NeverSent { attempt } => {
                self.check_not_run(*attempt)
            }
            Event::Silent { attempt }
            | Event::Broken { attempt, .. }
            | Event::Lost { attempt, .. } => self.check_open(*attempt),
            Event::Token { attempt, index } => self.check_token(*attempt, *index),
            Event::Ended { attempt, tokens } => self.check_end(*attempt, *tokens),
            Event::Closed { outcome } => self.check_outcome(*outcome),
            Event::Recorded { .. } if !self.attempts.is_empty() => {
                Err(Fault::RecordedAndDispatched)
            }
            Event::Received
            | Event::Queued
            | Event::Admitted
            | Event::Claimed
            | Event::Recorded { .. }
            | Event::Refused { .. }
            | Event::CallerLeft
            | Event::DeadlinePassed => Ok(()),
        }
    }

    /// Checks an event of a closed journal: only the result of an open attempt may still be
    /// recorded, besides the caller's disconnection and deadline.
    fn check_closed(&self, event: &Event) -> Result<(), Fault> {
        match event {
            Event::CallerLeft | Event::DeadlinePassed => Ok(()),
            Event::Lost { attempt, .. } | Event::Broken { attempt, .. } => {
                self.check_open(*attempt)
            }
            _ => Err(Fault::AfterClose),
        }
    }

    fn check_dispatch(&self, attempt: u32) -> Result<(), Fault> {
        if self.attempts.len() >= MAX_ATTEMPTS {
            return Err(Fault::TooManyAttempts { attempt });
        }
        if self.recorded.is_some() {
            return Err(Fault::RecordedAndDispatched);
        }
        if attempt < self.next_attempt() {
            return Err(Fault::DispatchedTwice { attempt });
        }
        if self.idempotency == Idempotency::NonIdempotent && !self.nothing_ran() {
            return Err(Fault::RepeatedNonIdempotent { attempt });
        }
        if self.has_ended() {
            return Err(Fault::DispatchedAfterEnd { attempt });
        }
        if !self.has_room_to_dispatch() {
            return Err(Fault::StillOpen { attempt });
        }
        Ok(())
    }

    /// Returns whether no attempt is open, or a single silent one.
    fn has_room_to_dispatch(&self) -> bool {
        let mut open = self.attempts.iter().filter(|a| a.state.is_open());
        let is_silent = |a: &Attempt| a.state == AttemptState::Silent;
        open.next().is_none_or(is_silent) && open.next().is_none()
    }

    /// Checks that a token belongs to the only attempt that goes on.
    fn check_alone(&self, attempt: u32) -> Result<(), Fault> {
        let mut open = self.attempts.iter().filter(|a| a.state.is_open());
        match open.all(|a| a.number == attempt) {
            true => Ok(()),
            false => Err(Fault::NotAlone { attempt }),
        }
    }

    fn check_open(&self, attempt: u32) -> Result<(), Fault> {
        match self.attempt(attempt).map(|a| a.state) {
            None => Err(Fault::NeverDispatched { attempt }),
            Some(state) if state.is_open() => Ok(()),
            Some(_) => Err(Fault::AttemptOver { attempt }),
        }
    }

    fn check_not_run(&self, attempt: u32) -> Result<(), Fault> {
        self.check_open(attempt)?;
        match self.attempt(attempt).is_some_and(|a| a.has_tokens) {
            true => Err(Fault::RefusedAfterTokens { attempt }),
            false => Ok(()),
        }
    }

    fn check_token(&self, attempt: u32, index: u32) -> Result<(), Fault> {
        self.check_open(attempt)?;
        self.check_alone(attempt)?;
        let expected = self.tokens;
        match index.cmp(&expected) {
            std::cmp::Ordering::Less => Err(Fault::TokenRepeated { index, expected }),
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Greater => Err(Fault::TokenSkipped { index, expected }),
        }
    }

    fn check_end(&self, attempt: u32, tokens: u32) -> Result<(), Fault> {
        self.check_open(attempt)?;
        self.check_alone(attempt)?;
        let given = self.tokens;
        match tokens == given {
            true => Ok(()),
            false => Err(Fault::WrongLength { tokens, given }),
        }
    }

    /// Checks that a reported outcome is the one that the journal decides for either [`End`].
    fn check_outcome(&self, told: Outcome) -> Result<(), Fault> {
        let consistent = [End::Complete, End::GivenUp]
            .iter()
            .any(|end| self.outcome(*end) == told);
        match consistent {
            true => Ok(()),
            false => Err(Fault::WrongOutcome { told }),
        }
    }
}
