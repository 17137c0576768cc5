//! At-most-once execution of non-idempotent calls that carry an idempotency key.
//!
//! Before the first byte is sent to the upstream, the claimant creates
//! `claims/{organisation}/{key}` in the platform with a create-if-absent write that carries a
//! unique nonce. Only the holder of that nonce dispatches. [`Claim`] is a state machine that the
//! driver feeds with one platform response at a time:
//!
//! ```text
//!            written             granted           ended
//! Creating ----------> Claimed ---------> Running -------> Recording -> Over
//!   |  ^                  ^                (dispatched)     (outcome written to the claim)
//!   |  | absent           | own nonce
//!   v  |                  |
//! ReadingBack ------------+
//!   |  \--> foreign, finished: its recorded answer, or a conflict if the body differs
//!   |   \-> foreign, open: Waiting, then "still running", or "unknown" if the claimant is dead
//!   |    \> foreign, released: Reclaiming (compare-and-set); its holder will never run it
//!   v
//! given up: fenced, "not run" -> Abandoning (invalidate an unresolved write) -> Over
//! ```
//!
//! Invariants:
//! - [`Claim::begin_dispatch`] grants at most once, only after the claim is known to be held, and
//!   never after "not run" was answered: the fence is set before the answer is returned;
//! - an open claim is never taken over: other submissions wait for it, and if the claimant is dead
//!   the outcome is unknown;
//! - only the holder of a claim releases it, after which it can't dispatch; every later write is
//!   conditional on the version that was read, so that a delayed write can't undo a newer claim;
//! - every write of one submission carries the same nonce.

mod key;
mod record;
mod step;
mod sweep;

pub use key::{ClaimKey, KeyFault, MAX_KEY_BYTES};
pub use record::{ClaimRecord, ClaimState, Encoding, Finished, MAX_RECORDED_BODY_BYTES, Recorded};
pub use sweep::{Sweep, sweeper_of};

use crate::prelude::*;

/// Maximum time that a submission with a claim may wait or run, in milliseconds.
/// [`ClaimConfig::margin_ms`] has to be longer.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Configuration of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimConfig {
    /// Age of a key at which it is refused as expired, in milliseconds.
    pub retention_ms: u64,
    /// Time that an expired claim is kept beyond [`Self::retention_ms`], in milliseconds. Must
    /// exceed [`MAX_DEADLINE_MS`] plus the maximum clock skew between two instances.
    pub margin_ms: u64,
    /// Time without a usable platform response after which claiming is given up, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Time for which writing the outcome or the release of a claim is retried, in milliseconds.
    pub record_timeout_ms: u64,
    /// Initial delay of the exponential backoff between retries, in milliseconds.
    pub initial_backoff_ms: u64,
    /// Maximum delay between retries, in milliseconds.
    pub max_backoff_ms: u64,
    /// Time past an open claim's own deadline after which its claimant is considered dead, in
    /// milliseconds.
    pub grace_ms: u64,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            retention_ms: 24 * 3_600_000,
            margin_ms: 2 * 3_600_000,
            platform_timeout_ms: 2_000,
            record_timeout_ms: 120_000,
            initial_backoff_ms: 20,
            max_backoff_ms: 1_000,
            grace_ms: 10_000,
        }
    }
}

/// One submission of a call that requests execution.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Submission {
    /// Key of its claim in the platform.
    pub key: ClaimKey,
    /// Name of this instance.
    pub claimant: Name,
    /// This instance's incarnation.
    pub incarnation: u64,
    /// Random value that identifies this submission; never reused.
    pub nonce: Name,
    /// Request id.
    pub request: Name,
    /// `service/call`.
    pub call: Name,
    /// SHA-256 of call and body, as hexadecimal digits: detects reuse of a key with another body.
    pub body_sha256: Name,
    /// Deadline of the caller.
    pub deadline: Now,
}

/// Input from the driver to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Result of [`Action::Create`] or [`Action::Update`].
    Write(WriteAnswer),
    /// Result of [`Action::Read`].
    Read(ReadAnswer),
    /// The time of an [`Action::Pause`] was reached.
    Timer,
    /// The dispatch that [`Claim::begin_dispatch`] granted has ended.
    Dispatched(DispatchEnd),
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteAnswer {
    /// It took effect and produced this version.
    Written(u64),
    /// The condition did not hold: the write had and will have no effect.
    Stale,
    /// The platform refused it (rate limit exceeded, out of service): no effect.
    NoEffect,
    /// No response: it may have taken effect, or may still do so.
    Lost,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadAnswer {
    /// A readable record is present.
    Found {
        /// The record.
        record: Box<ClaimRecord>,
        /// Its version.
        version: u64,
        /// Whether this incarnation of its claimant is known to be gone.
        claimant_gone: bool,
    },
    /// The stored value can't be parsed (the format of a newer release, or corruption).
    Unreadable,
    /// No record is present.
    Absent,
    /// No response.
    Failed,
}

/// Result of the dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DispatchEnd {
    /// It certainly did not run: the upstream refused, or no connection was opened.
    NotRun,
    /// It ran, or may have run.
    Ran(Finished),
}

/// Operation for the driver to carry out. Each but the last two results in an [`Event`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if none is present at the key.
    Create(Box<ClaimRecord>),
    /// Write the record if the key has this version.
    Update {
        /// Record to write.
        record: Box<ClaimRecord>,
        /// Required current version.
        version: u64,
    },
    /// Read the record at the key.
    Read,
    /// Wait until this time, then send [`Event::Timer`].
    Pause(Now),
    /// Call [`Claim::begin_dispatch`] and, if it grants, dispatch.
    Dispatch,
    /// Return this answer to the caller and continue with the next action.
    Answer(Answer),
    /// The state machine has terminated.
    Over,
}

/// Answer to the caller of this submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It did not run and never will.
    NotRun(NotRunCause),
    /// Recorded outcome of an earlier submission with the same key.
    Recorded(Box<Recorded>),
    /// The key was used for another call or body; this submission did not run.
    KeyConflict,
    /// An earlier submission with the same key is still running.
    StillRunning,
    /// An earlier submission with the same key may have run; its claimant is gone, or its claim
    /// is unreadable.
    Unknown(Option<EarlierSubmission>),
}

/// An earlier submission with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EarlierSubmission {
    /// Instance that held its claim.
    pub claimant: Name,
    /// Its request id.
    pub request: Name,
}

/// Why a submission did not run.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum NotRunCause {
    /// The key is older than [`ClaimConfig::retention_ms`].
    KeyExpired,
    /// The platform did not respond in time.
    PlatformDown,
    /// The caller's deadline passed before the dispatch.
    DeadlinePassed,
    /// The caller disconnected, or the instance is shutting down.
    Cancelled,
    /// The dispatch failed before anything ran; the driver knows the cause.
    NotDispatched,
}

/// State of a [`Claim`].
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

/// Retries of the write that ends a held claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Recording {
    state: ClaimState,
    version: u64,
    until: Now,
}

/// Retries to invalidate an unresolved write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Abandoning {
    until: Now,
}

/// State machine for the claim of one submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    cfg: ClaimConfig,
    submission: Submission,
    phase: Phase,
    /// Whether a read follows the pause, rather than the write of the phase.
    read_after_pause: bool,
    /// Whether a write with this nonce may have taken effect, or may still do so.
    write_unresolved: bool,
    /// Whether a record with another nonce is known to have been at the key.
    foreign_claim_seen: bool,
    /// Whether the submission of that record may have run.
    earlier_may_have_run: bool,
    /// Submission of the last such record that was read.
    earlier: Option<EarlierSubmission>,
    /// Set before an answer is returned; no dispatch is granted from then on.
    fenced: bool,
    /// Time at which claiming is given up without a usable platform response.
    platform_deadline: Now,
    backoff_ms: u64,
}

impl Claim {
    /// Starts claiming for a submission; returns the first actions.
    ///
    /// The deadline is capped at [`MAX_DEADLINE_MS`] from now.
    pub fn open(cfg: ClaimConfig, mut submission: Submission, now: Now) -> (Self, Vec<Action>) {
        submission.deadline = submission.deadline.earlier(now.plus(MAX_DEADLINE_MS));
        let platform_deadline = now
            .plus(cfg.platform_timeout_ms)
            .earlier(submission.deadline);
        let mut claim = Self {
            cfg,
            submission,
            phase: Phase::Creating,
            read_after_pause: false,
            write_unresolved: false,
            foreign_claim_seen: false,
            earlier_may_have_run: false,
            earlier: None,
            fenced: false,
            platform_deadline,
            backoff_ms: cfg.initial_backoff_ms,
        };
        let actions = match claim.immediate_refusal(now) {
            Some(cause) => claim.refuse(cause),
            None => vec![claim.create(ClaimState::Open)],
        };
        (claim, actions)
    }

    /// Requests permission to dispatch, right before the first byte is sent. Grants at most once.
    ///
    /// The process may have been suspended since the claim was created. As a claim is never taken
    /// over, a late dispatch would still be the only one; but the caller's deadline may have
    /// passed on a clock that kept running, and an expired claim may have been deleted. The
    /// deletion margin exceeds any deadline, so checking the deadline on both clocks rules out
    /// both.
    ///
    /// # Errors
    ///
    /// Returns the actions to take instead: the submission is fenced and answered with "not run".
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

    /// Cancels the submission, because the caller disconnected or the instance is shutting down.
    ///
    /// Fences it if it was not dispatched. A dispatched one continues, as its outcome has to be
    /// recorded.
    pub fn cancel(&mut self, now: Now) -> Vec<Action> {
        match self.phase {
            Phase::Running { .. } | Phase::Recording(_) | Phase::Abandoning(_) | Phase::Over => {
                Vec::new()
            }
            Phase::Claimed { version } => self.release(now, version, NotRunCause::Cancelled),
            Phase::Waiting => self.answer_and_terminate(Answer::StillRunning),
            _ => self.give_up(now, NotRunCause::Cancelled),
        }
    }

    /// Whether the state machine has terminated.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether the dispatch was granted and has not ended.
    pub fn was_dispatched(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// The submission that is claimed for.
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    fn immediate_refusal(&self, now: Now) -> Option<NotRunCause> {
        if self.submission.key.is_expired(now.unix_ms, &self.cfg) {
            return Some(NotRunCause::KeyExpired);
        }
        now.is_past(self.submission.deadline)
            .then_some(NotRunCause::DeadlinePassed)
    }
}
