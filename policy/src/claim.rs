//! At most once: the claim of one submission of a non-idempotent call that carries a key.
//!
//! Before the first byte goes to the upstream, the claimant creates `claims/{organisation}/{key}`
//! in the platform if nothing stands there, with a nonce of its own. Only the holder of that
//! nonce dispatches. The machine here is driven with one platform answer at a time:
//!
//! ```text
//!            written                     may go     over
//! Creating ----------> Claimed ---------> Running -------> Recording -> Over
//!   |  ^                  ^                (dispatched)     (outcome written to the claim)
//!   |  | absent           | own nonce
//!   v  |                  |
//! ReadingBack ------------+
//!   |  \--> foreign, finished: its recorded answer, or a conflict if the body differs
//!   |   \-> foreign, open: Waiting, then "still running", or "unknown" if the claimant is dead
//!   |    \> foreign, released: Reclaiming (compare-and-set), as its holder says it never ran
//!   v
//! given up: fenced, "not run" -> Abandoning (stop the write that may still land) -> Over
//! ```
//!
//! Invariants:
//! - [`Claim::begin_dispatch`] grants at most once, only with the claim seen to be held, and never
//!   after "not run" was answered: the fence is set before the answer is given out;
//! - an open claim is never taken over: whoever finds it waits, and if the claimant is dead the
//!   outcome is unknown;
//! - only the holder of a claim releases it, after which it can't dispatch; every later write is
//!   conditional on the version it saw, so that a late one can't undo a newer claim;
//! - every write of one submission carries the same nonce.

mod key;
mod record;
mod step;
mod sweep;

pub use key::{ClaimKey, KeyFault, MAX_KEY_BYTES};
pub use record::{ClaimRecord, ClaimState, Encoding, Finished, MAX_RECORDED_BODY, Recorded};
pub use sweep::{Sweep, sweeper_of};

use crate::prelude::*;

/// The longest time that a submission with a claim may wait or run, in milliseconds. The margin
/// of deletion has to be longer.
pub const LONGEST_DEADLINE_MS: u64 = 3_600_000;

/// Settings of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimConfig {
    /// Age of a key from which it is refused, in milliseconds.
    pub retention_ms: u64,
    /// Time that an expired claim is kept beyond [`Self::retention_ms`], in milliseconds. Must be
    /// above [`LONGEST_DEADLINE_MS`] plus the greatest difference between two instances' clocks.
    pub margin_ms: u64,
    /// How long the platform may fail to answer before a claim is given up, in milliseconds.
    pub patience_ms: u64,
    /// How long a finished claim's outcome, or a given-up claim's release, is tried to be
    /// written, in milliseconds.
    pub record_patience_ms: u64,
    /// First pause between two tries, in milliseconds; it doubles.
    pub first_pause_ms: u64,
    /// Longest pause between two tries, in milliseconds.
    pub longest_pause_ms: u64,
    /// Time after an open claim's own deadline from which its claimant counts as dead, in
    /// milliseconds.
    pub grace_ms: u64,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            retention_ms: 24 * 3_600_000,
            margin_ms: 2 * 3_600_000,
            patience_ms: 2_000,
            record_patience_ms: 120_000,
            first_pause_ms: 20,
            longest_pause_ms: 1_000,
            grace_ms: 10_000,
        }
    }
}

/// One submission that wants to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Submission {
    /// Where its claim stands.
    pub key: ClaimKey,
    /// This instance.
    pub claimant: Name,
    /// This instance's incarnation.
    pub incarnation: u64,
    /// Random, never used for another submission.
    pub nonce: Name,
    /// Request id.
    pub request: Name,
    /// `service/call`.
    pub call: Name,
    /// SHA-256 of call and body, as hexadecimal digits: tells the same key with another body.
    pub body_sha256: Name,
    /// When the caller no longer waits.
    pub deadline: Now,
}

/// What the driver saw.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Answer to [`Action::Create`] or [`Action::Update`].
    Write(WriteAnswer),
    /// Answer to [`Action::Read`].
    Read(ReadAnswer),
    /// The pause is over.
    Timer,
    /// The dispatch that [`Claim::begin_dispatch`] granted is over.
    Dispatched(DispatchEnd),
}

/// How a conditional write went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteAnswer {
    /// It took effect and gave this version.
    Written(u64),
    /// The condition did not hold; it had and will have no effect.
    Stale,
    /// The platform refused it (rate exceeded, out of service): no effect.
    NoEffect,
    /// No answer: it may have taken effect, or may still.
    Lost,
}

/// How a read went.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadAnswer {
    /// This stands.
    Found {
        /// The claim.
        record: Box<ClaimRecord>,
        /// Its version.
        version: u64,
        /// Whether its claimant, in that incarnation, is known to be gone.
        claimant_gone: bool,
    },
    /// What stands can't be understood (a newer instance's format, or damage).
    Unreadable,
    /// Nothing stands.
    Absent,
    /// No answer.
    Failed,
}

/// How the dispatch ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DispatchEnd {
    /// The journal says "not run": the upstream refused, or no connection was opened.
    NotRun,
    /// It ran, or may have.
    Ran(Finished),
}

/// What the driver is to do. Each but the last two is answered by an [`Event`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if nothing stands at the key.
    Create(Box<ClaimRecord>),
    /// Write the record if this version stands at the key.
    Update {
        /// What to write.
        record: Box<ClaimRecord>,
        /// The version that has to stand.
        version: u64,
    },
    /// Read what stands at the key.
    Read,
    /// Wait until this time, then [`Event::Timer`].
    Pause(Now),
    /// Call [`Claim::begin_dispatch`] and, if it grants, dispatch.
    Dispatch,
    /// Give this answer to the caller and go on.
    Answer(Answer),
    /// Nothing is left to do.
    Over,
}

/// What the caller of this submission is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Nothing of it ran, and nothing of it will.
    NotRun(NotRunCause),
    /// What an earlier submission with the same key ended with.
    Recorded(Box<Recorded>),
    /// The key was used for another call or body; this one did not run.
    KeyConflict,
    /// An earlier submission with the same key still runs.
    StillRunning,
    /// An earlier submission with the same key may have run; its claimant is gone, or its claim
    /// can't be read.
    Unknown(Option<Earlier>),
}

/// An earlier submission with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Earlier {
    /// Instance that held the claim.
    pub claimant: Name,
    /// Its request id.
    pub request: Name,
}

/// Why a submission did not run.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum NotRunCause {
    /// The key is older than the retention of claims.
    KeyExpired,
    /// The platform did not answer.
    PlatformDown,
    /// The caller's deadline passed before the dispatch.
    DeadlinePassed,
    /// The caller left, or the instance shuts down.
    Cancelled,
    /// The dispatch was refused before anything ran; the driver knows the cause.
    NotDispatched,
}

/// Where the machine stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Creating,
    ReadingBack,
    Reclaiming { version: u64 },
    Claimed { version: u64 },
    Running { version: u64 },
    Waiting,
    Recording(Recording),
    Abandoning(Abandoning),
    Over,
}

/// Writing the end of a held claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Recording {
    state: ClaimState,
    version: u64,
    until: Now,
}

/// Stopping a write that may still land.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Abandoning {
    until: Now,
}

/// The claim of one submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    cfg: ClaimConfig,
    submission: Submission,
    phase: Phase,
    /// What the pause leads to: a read, or the write of the phase.
    after_pause_read: bool,
    /// Whether a write of this nonce may have landed, or may still.
    may_land: bool,
    /// Whether something was seen to stand at the key that is not of this nonce.
    foreign_seen: bool,
    /// Whether that one may have run, as far as is known.
    earlier_may_have_run: bool,
    /// The newest of what was seen to stand there.
    earlier: Option<Earlier>,
    /// Set before "not run" is answered; never dispatched from then on.
    fenced: bool,
    patience: Now,
    pause_ms: u64,
}

impl Claim {
    /// Opens the claim of a submission; gives what to do first.
    ///
    /// A deadline beyond [`LONGEST_DEADLINE_MS`] is cut to it.
    pub fn open(cfg: ClaimConfig, mut submission: Submission, now: Now) -> (Self, Vec<Action>) {
        submission.deadline = submission.deadline.earlier(now.plus(LONGEST_DEADLINE_MS));
        let patience = now.plus(cfg.patience_ms).earlier(submission.deadline);
        let mut claim = Self {
            cfg,
            submission,
            phase: Phase::Creating,
            after_pause_read: false,
            may_land: false,
            foreign_seen: false,
            earlier_may_have_run: false,
            earlier: None,
            fenced: false,
            patience,
            pause_ms: cfg.first_pause_ms,
        };
        let actions = match claim.refused_at_once(now) {
            Some(cause) => claim.refuse(cause),
            None => vec![claim.create(ClaimState::Open)],
        };
        (claim, actions)
    }

    /// Asks to dispatch, right before the first byte goes out. Grants at most once.
    ///
    /// The instance may have been frozen since the claim was made. As a claim is never taken
    /// over, dispatching late would still be at most once; but the caller's deadline may have
    /// passed on a clock that ran on, and an expired claim may have been deleted. The margin of
    /// deletion is longer than any deadline, so the deadline on both clocks covers both.
    ///
    /// # Errors
    ///
    /// What to do instead: the submission is fenced, and "not run" is its answer.
    pub fn begin_dispatch(&mut self, now: Now) -> Result<(), Vec<Action>> {
        let Phase::Claimed { version } = self.phase else {
            return Err(Vec::new());
        };
        if self.fenced {
            return Err(Vec::new());
        }
        if now.is_past(self.submission.deadline) {
            return Err(self.release(now, version, NotRunCause::DeadlinePassed));
        }
        self.phase = Phase::Running { version };
        Ok(())
    }

    /// Gives up, as the caller left or the instance is shutting down: fences the submission if it
    /// was not dispatched. A dispatched one goes on, as its outcome has to be recorded.
    pub fn cancel(&mut self, now: Now) -> Vec<Action> {
        match self.phase {
            Phase::Running { .. } | Phase::Recording(_) | Phase::Abandoning(_) | Phase::Over => {
                Vec::new()
            }
            Phase::Claimed { version } => self.release(now, version, NotRunCause::Cancelled),
            Phase::Waiting => self.finish(Answer::StillRunning),
            _ => self.give_up(now, NotRunCause::Cancelled),
        }
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether the dispatch was granted.
    pub fn was_dispatched(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// The submission.
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    fn refused_at_once(&self, now: Now) -> Option<NotRunCause> {
        if self.submission.key.is_expired(now.unix_ms, &self.cfg) {
            return Some(NotRunCause::KeyExpired);
        }
        now.is_past(self.submission.deadline)
            .then_some(NotRunCause::DeadlinePassed)
    }
}
