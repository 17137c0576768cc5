//! Whether a request whose attempt ended badly gets another one.
//!
//! [`decide`] looks at what the journal says, at the deadline and at the [`RetryBudget`]. Work that
//! must not repeat is tried again only where nothing of it ran. A stream is resumed from the
//! tokens that its caller has, never from the start.
//!
//! [`StallDetector`] says when an attempt that is still open has been silent for too long, and
//! [`Silences`] which runners of its route that speaks against.

mod budget;
mod silence;
mod stall;

pub use budget::{RetryBudget, RetryBudgetConfig};
pub use silence::{Blame, Silences};
pub use stall::{StallConfig, StallDetector};

use crate::journal::{Journal, MAX_ATTEMPTS, Repeat};
use crate::need::Need;
use crate::prelude::*;
use derive_more::Display;

/// How an attempt ended that did not give the whole answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BadEnd {
    /// The upstream refused it before anything ran; it may come back after this time, in
    /// milliseconds.
    #[display("refused")]
    Refused {
        /// When the upstream expects to take new work, in milliseconds.
        retry_after_ms: u64,
    },
    /// A connection of its route was never opened, and nothing of it ran.
    #[display("never sent")]
    NeverSent,
    /// It ran, or may have, and broke off.
    #[display("broken off")]
    BrokenOff,
}

/// What to do after an attempt that ended badly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// Try again, elsewhere.
    Retry {
        /// Number of the new attempt.
        attempt: u32,
        /// Tokens that the caller has: the new attempt goes on behind them.
        resume_from: u32,
    },
    /// Tell the caller now; the outcome is the journal's.
    GiveUp(GiveUp),
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum GiveUp {
    /// It may have run and must not repeat.
    NonIdempotent,
    /// A further attempt could not be over before the deadline.
    Deadline,
    /// The share of load that may be retries is used up.
    Budget,
    /// [`MAX_ATTEMPTS`] were made.
    Attempts,
    /// Its outcome was told already.
    Closed,
}

/// Time that is left, and that another attempt would need.
#[derive(Clone, Copy, Debug)]
pub struct TimeLeft {
    /// Until the deadline, in milliseconds.
    pub left_ms: u64,
    /// What another attempt takes at least, in milliseconds, from what was seen.
    pub needed_ms: u64,
}

/// Decides whether a request gets another attempt, and takes it from the budget if so.
pub fn decide(
    now: Millis,
    journal: &Journal,
    end: BadEnd,
    time: TimeLeft,
    budget: &mut RetryBudget,
) -> Decision {
    let attempt = journal.next_attempt();
    if journal.closed().is_some() {
        return Decision::GiveUp(GiveUp::Closed);
    }
    if journal.repeat() == Repeat::NonIdempotent && !journal.nothing_ran() {
        return Decision::GiveUp(GiveUp::NonIdempotent);
    }
    if journal.attempts().len() >= MAX_ATTEMPTS {
        return Decision::GiveUp(GiveUp::Attempts);
    }
    if time.left_ms <= time.needed_ms {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    // An attempt that never left cost no upstream anything.
    if end != BadEnd::NeverSent && !budget.take(now, need(journal)) {
        return Decision::GiveUp(GiveUp::Budget);
    }
    Decision::Retry {
        attempt,
        resume_from: journal.tokens(),
    }
}

fn need(journal: &Journal) -> Need {
    match journal.nothing_ran() {
        true => Need::Refusable,
        false => Need::Owed,
    }
}
