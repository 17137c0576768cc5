//! Retry policy: decides whether a request gets another attempt after a failed one.
//!
//! [`decide`] considers the request's journal, its deadline and the [`RetryBudget`]. Non-idempotent
//! work is retried only if nothing of it ran. A stream resumes after the tokens that its caller
//! already has and never restarts from the beginning.
//!
//! [`StallDetector`] decides when an open attempt has been silent for too long, and [`StallSuspects`]
//! which runners of its route are suspected of causing the stall.

mod budget;
mod stall;
mod stall_suspects;

pub use budget::{RetryBudget, RetryBudgetConfig};
pub use stall::{StallConfig, StallDetector};
pub use stall_suspects::{StallSuspects, Suspicion};

use crate::journal::{Idempotency, Journal, MAX_ATTEMPTS};
use crate::prelude::*;
use crate::retry_priority::RetryPriority;
use derive_more::Display;

/// How an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The upstream refused the attempt before anything ran.
    #[display("refused")]
    Refused {
        /// Time after which the upstream expects to accept new work, in milliseconds.
        retry_after_ms: u64,
    },
    /// A connection of the route could not be opened, and nothing ran.
    #[display("never sent")]
    NeverSent,
    /// The attempt ran, or may have run, and was interrupted.
    #[display("broken off")]
    BrokenOff,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// Make another attempt on another route.
    Retry {
        /// Number of the new attempt.
        attempt: u32,
        /// Number of tokens that the caller already has; the new attempt continues after them.
        resume_from: u32,
    },
    /// Report the outcome recorded in the journal to the caller.
    GiveUp(GiveUp),
}

/// Reason why no further attempt is made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum GiveUp {
    /// The request is non-idempotent and may have run.
    NonIdempotent,
    /// Another attempt could not finish before the deadline.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
    /// [`MAX_ATTEMPTS`] were made.
    Attempts,
    /// The outcome was already reported.
    Closed,
}

/// Time left until the deadline, and the time that another attempt needs.
#[derive(Clone, Copy, Debug)]
pub struct TimeLeft {
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Minimum duration of another attempt, in milliseconds, as observed.
    pub needed_ms: u64,
}

/// Decides whether a request gets another attempt, and if so takes it from the budget.
pub fn decide(
    now: Millis,
    journal: &Journal,
    failure: AttemptFailure,
    time: TimeLeft,
    budget: &mut RetryBudget,
) -> Decision {
    let attempt = journal.next_attempt();
    if journal.closed().is_some() {
        return Decision::GiveUp(GiveUp::Closed);
    }
    if journal.idempotency() == Idempotency::NonIdempotent && !journal.nothing_ran() {
        return Decision::GiveUp(GiveUp::NonIdempotent);
    }
    if journal.attempts().len() >= MAX_ATTEMPTS {
        return Decision::GiveUp(GiveUp::Attempts);
    }
    if time.left_ms <= time.needed_ms {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    // An attempt that was never sent put no load on any upstream.
    if failure != AttemptFailure::NeverSent && !budget.take(now, priority(journal)) {
        return Decision::GiveUp(GiveUp::Budget);
    }
    Decision::Retry {
        attempt,
        resume_from: journal.tokens(),
    }
}

fn priority(journal: &Journal) -> RetryPriority {
    match journal.nothing_ran() {
        true => RetryPriority::Refusable,
        false => RetryPriority::Committed,
    }
}
