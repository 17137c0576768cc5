//! State transitions of a claim.

use super::{
    Abandoning, Action, Answer, Claim, ClaimRecord, ClaimState, DispatchEnd, EarlierSubmission,
    Event, NotRunCause, Phase, ReadAnswer, Recorded, Recording, WriteAnswer,
};
use crate::prelude::*;

impl Claim {
    /// Processes an event from the driver; returns the next actions.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        match (self.phase.clone(), event) {
            (Phase::Over, _) => Vec::new(),
            (_, Event::Timer) => self.on_timer(now),
            (Phase::Running { version }, Event::Dispatched(end)) => {
                self.on_dispatched(now, version, end)
            }
            (Phase::Creating, Event::Write(answer)) => self.on_create_result(now, answer),
            (Phase::Reclaiming { .. }, Event::Write(answer)) => self.on_create_result(now, answer),
            (Phase::ReadingBack, Event::Read(answer)) => self.on_read_result(now, answer),
            (Phase::Waiting, Event::Read(answer)) => self.on_read_result(now, answer),
            (Phase::Recording(recording), Event::Write(answer)) => {
                self.on_record_result(now, &recording, answer)
            }
            (Phase::Abandoning(abandoning), Event::Write(answer)) => {
                self.on_abandon_write_result(now, &abandoning, answer)
            }
            (Phase::Abandoning(abandoning), Event::Read(answer)) => {
                self.on_abandon_read_result(now, &abandoning, answer)
            }
            // A result that the current phase does not wait for: no action follows.
            _ => Vec::new(),
        }
    }

    /// Handles the result of writing an open record, when creating or reclaiming.
    fn on_create_result(&mut self, now: Now, answer: WriteAnswer) -> Vec<Action> {
        match answer {
            WriteAnswer::Written(version) => self.on_claimed(version),
            WriteAnswer::Stale => {
                self.foreign_claim_seen |= !self.write_unresolved;
                self.earlier_may_have_run |= !self.write_unresolved;
                match self.phase {
                    // The record that was read may be an older one, also when it is read again.
                    Phase::Reclaiming { .. } => self.back_off(now, true),
                    _ => self.read_back(),
                }
            }
            WriteAnswer::NoEffect => self.back_off(now, false),
            WriteAnswer::Lost => {
                self.write_unresolved = true;
                self.read_back()
            }
        }
    }

    fn on_claimed(&mut self, version: u64) -> Vec<Action> {
        self.phase = Phase::Claimed { version };
        vec![Action::Dispatch]
    }

    fn read_back(&mut self) -> Vec<Action> {
        self.phase = Phase::ReadingBack;
        vec![Action::Read]
    }

    /// Handles the result of a read while the claim is not held yet.
    fn on_read_result(&mut self, now: Now, answer: ReadAnswer) -> Vec<Action> {
        match answer {
            ReadAnswer::Found {
                record,
                version,
                claimant_gone,
            } => self.on_found(now, *record, version, claimant_gone),
            // An earlier write with this nonce may still take effect, so the same write is
            // retried: whichever of the two succeeds carries this nonce.
            ReadAnswer::Absent if !self.foreign_claim_seen => {
                self.phase = Phase::Creating;
                self.back_off(now, false)
            }
            // A known claim is missing: the read is stale, or the platform was restored from an
            // older copy. Creating a new claim could run the call a second time.
            ReadAnswer::Absent | ReadAnswer::Failed => self.back_off(now, true),
            ReadAnswer::Unreadable => {
                self.earlier_may_have_run = true;
                self.give_up(now, NotRunCause::PlatformDown)
            }
        }
    }

    fn on_found(
        &mut self,
        now: Now,
        record: ClaimRecord,
        version: u64,
        claimant_gone: bool,
    ) -> Vec<Action> {
        if record.nonce == self.submission.nonce {
            return match record.state {
                ClaimState::Open => self.on_claimed(version),
                _ => self.give_up(now, NotRunCause::PlatformDown),
            };
        }
        self.foreign_claim_seen = true;
        self.earlier_may_have_run = record.state != ClaimState::Released;
        // No delayed write with this nonce can replace a foreign claim that is open or finished.
        self.write_unresolved &= record.state == ClaimState::Released;
        self.earlier = Some(EarlierSubmission {
            claimant: record.claimant.clone(),
            request: record.request.clone(),
        });
        let same_body = record.body_sha256 == self.submission.body_sha256;
        match record.state {
            ClaimState::Released => self.reclaim(now, version),
            _ if !same_body => self.conclude(now, Answer::KeyConflict),
            ClaimState::Finished(finished) => {
                let recorded = Recorded {
                    claimant: record.claimant,
                    request: record.request,
                    finished,
                };
                self.conclude(now, Answer::Recorded(Box::new(recorded)))
            }
            ClaimState::Open => {
                let expired = now.unix_ms >= record.deadline_ms.saturating_add(self.cfg.grace_ms);
                match claimant_gone || expired {
                    true => self.conclude(now, Answer::Unknown(self.earlier.clone())),
                    false => self.wait_for_claimant(now),
                }
            }
        }
    }

    /// Claims a released key again: its last holder never ran the call and never will.
    fn reclaim(&mut self, now: Now, version: u64) -> Vec<Action> {
        if now.is_past(self.submission.deadline) {
            return self.give_up(now, NotRunCause::DeadlinePassed);
        }
        self.platform_deadline = now
            .plus(self.cfg.platform_timeout_ms)
            .earlier(self.submission.deadline);
        self.phase = Phase::Reclaiming { version };
        vec![self.update(ClaimState::Open, version)]
    }

    fn wait_for_claimant(&mut self, now: Now) -> Vec<Action> {
        if now.is_past(self.submission.deadline) {
            return self.conclude(now, Answer::StillRunning);
        }
        self.phase = Phase::Waiting;
        let backoff_ms = self.next_backoff_ms();
        self.read_after_pause = true;
        vec![Action::Pause(
            now.plus(backoff_ms).earlier(self.submission.deadline),
        )]
    }

    /// Backs off before the next attempt, or gives up after the time-out.
    fn back_off(&mut self, now: Now, then_read: bool) -> Vec<Action> {
        let is_waiting = self.phase == Phase::Waiting;
        let until = if is_waiting {
            self.submission.deadline
        } else {
            self.platform_deadline
        };
        if now.is_past(until) {
            return self.on_timeout(now);
        }
        self.read_after_pause = then_read;
        let backoff_ms = self.next_backoff_ms();
        vec![Action::Pause(now.plus(backoff_ms).earlier(until))]
    }

    fn on_timeout(&mut self, now: Now) -> Vec<Action> {
        if self.phase == Phase::Waiting {
            // An earlier submission is known to be running, so "not run" would be wrong.
            return self.conclude(now, Answer::StillRunning);
        }
        let cause = match now.is_past(self.submission.deadline) {
            true => NotRunCause::DeadlinePassed,
            false => NotRunCause::PlatformDown,
        };
        self.give_up(now, cause)
    }

    fn on_timer(&mut self, now: Now) -> Vec<Action> {
        let then_read = self.read_after_pause;
        match self.phase.clone() {
            Phase::Waiting => vec![Action::Read],
            Phase::Creating | Phase::Reclaiming { .. } if now.is_past(self.platform_deadline) => {
                self.on_timeout(now)
            }
            Phase::Creating if !then_read => vec![self.create(ClaimState::Open)],
            Phase::Reclaiming { version } if !then_read => {
                vec![self.update(ClaimState::Open, version)]
            }
            Phase::Creating | Phase::Reclaiming { .. } => self.read_back(),
            Phase::ReadingBack => vec![Action::Read],
            Phase::Recording(recording) => vec![self.update(recording.state, recording.version)],
            Phase::Abandoning(_) if !then_read => vec![self.create(ClaimState::Released)],
            Phase::Abandoning(_) => vec![Action::Read],
            Phase::Claimed { .. } | Phase::Running { .. } | Phase::Over => Vec::new(),
        }
    }

    /// Handles the end of the dispatch: records it, or releases the claim if nothing ran.
    fn on_dispatched(&mut self, now: Now, version: u64, end: DispatchEnd) -> Vec<Action> {
        match end {
            DispatchEnd::NotRun => self.release(now, version, NotRunCause::NotDispatched),
            DispatchEnd::Ran(finished) => self.record(now, version, ClaimState::Finished(finished)),
        }
    }

    /// Fences a held claim that did not run, answers "not run" and releases the claim.
    pub(super) fn release(&mut self, now: Now, version: u64, cause: NotRunCause) -> Vec<Action> {
        self.fenced = true;
        let mut actions = vec![Action::Answer(Answer::NotRun(cause))];
        actions.extend(self.record(now, version, ClaimState::Released));
        actions
    }

    fn record(&mut self, now: Now, version: u64, state: ClaimState) -> Vec<Action> {
        self.backoff_ms = self.cfg.initial_backoff_ms;
        self.phase = Phase::Recording(Recording {
            state: state.clone(),
            version,
            until: now.plus(self.cfg.record_timeout_ms),
        });
        vec![self.update(state, version)]
    }

    fn on_record_result(
        &mut self,
        now: Now,
        recording: &Recording,
        answer: WriteAnswer,
    ) -> Vec<Action> {
        match answer {
            WriteAnswer::Written(_) => self.terminate(),
            // Either an earlier attempt at this write took effect and its response was lost, or
            // the claim of an expired key was deleted. Both are final.
            WriteAnswer::Stale => self.terminate(),
            WriteAnswer::NoEffect | WriteAnswer::Lost => {
                self.back_off_until(now, recording.until, false)
            }
        }
    }

    /// Fences the submission and answers "not run", or "unknown" if an earlier submission with the
    /// same key may have run.
    pub(super) fn give_up(&mut self, now: Now, cause: NotRunCause) -> Vec<Action> {
        let answer = match self.earlier_may_have_run {
            true => Answer::Unknown(self.earlier.clone()),
            false => Answer::NotRun(cause),
        };
        self.conclude(now, answer)
    }

    /// Fences the submission, answers, and invalidates an unresolved write of it.
    pub(super) fn conclude(&mut self, now: Now, answer: Answer) -> Vec<Action> {
        let mut actions = self.answer_and_terminate(answer);
        if self.write_unresolved {
            self.backoff_ms = self.cfg.initial_backoff_ms;
            self.phase = Phase::Abandoning(Abandoning {
                until: now.plus(self.cfg.record_timeout_ms),
            });
            actions.pop();
            actions.push(self.create(ClaimState::Released));
        }
        actions
    }

    /// Fences the submission and answers "not run"; no write of it may be unresolved.
    pub(super) fn refuse(&mut self, cause: NotRunCause) -> Vec<Action> {
        self.answer_and_terminate(Answer::NotRun(cause))
    }

    /// Handles the result of writing a released record that makes the delayed write fail.
    fn on_abandon_write_result(
        &mut self,
        now: Now,
        abandoning: &Abandoning,
        answer: WriteAnswer,
    ) -> Vec<Action> {
        match answer {
            WriteAnswer::Written(_) => self.terminate(),
            WriteAnswer::NoEffect => self.back_off_until(now, abandoning.until, false),
            WriteAnswer::Stale | WriteAnswer::Lost => {
                self.back_off_until(now, abandoning.until, true)
            }
        }
    }

    fn on_abandon_read_result(
        &mut self,
        now: Now,
        abandoning: &Abandoning,
        answer: ReadAnswer,
    ) -> Vec<Action> {
        match answer {
            ReadAnswer::Found {
                record, version, ..
            } => {
                let is_own = record.nonce == self.submission.nonce;
                match record.state {
                    ClaimState::Open if is_own => vec![self.update(ClaimState::Released, version)],
                    // The unresolved write is conditional on this version: advancing the version
                    // invalidates it.
                    ClaimState::Released if !is_own => {
                        vec![self.update(ClaimState::Released, version)]
                    }
                    _ => self.terminate(),
                }
            }
            ReadAnswer::Unreadable => self.terminate(),
            ReadAnswer::Absent => self.back_off_until(now, abandoning.until, false),
            ReadAnswer::Failed => self.back_off_until(now, abandoning.until, true),
        }
    }

    fn back_off_until(&mut self, now: Now, until: Now, then_read: bool) -> Vec<Action> {
        if now.is_past(until) {
            return self.terminate();
        }
        self.read_after_pause = then_read;
        let backoff_ms = self.next_backoff_ms();
        vec![Action::Pause(now.plus(backoff_ms).earlier(until))]
    }

    fn next_backoff_ms(&mut self) -> u64 {
        let backoff_ms = self.backoff_ms;
        self.backoff_ms = (backoff_ms * 2).min(self.cfg.max_backoff_ms);
        backoff_ms
    }

    pub(super) fn answer_and_terminate(&mut self, answer: Answer) -> Vec<Action> {
        self.fenced = true;
        self.phase = Phase::Over;
        vec![Action::Answer(answer), Action::Over]
    }

    fn terminate(&mut self) -> Vec<Action> {
        self.phase = Phase::Over;
        vec![Action::Over]
    }

    pub(super) fn create(&self, state: ClaimState) -> Action {
        Action::Create(Box::new(self.record_with(state)))
    }

    fn update(&self, state: ClaimState, version: u64) -> Action {
        Action::Update {
            record: Box::new(self.record_with(state)),
            version,
        }
    }

    fn record_with(&self, state: ClaimState) -> ClaimRecord {
        let submission = &self.submission;
        ClaimRecord {
            claimant: submission.claimant.clone(),
            incarnation: submission.incarnation,
            nonce: submission.nonce.clone(),
            request: submission.request.clone(),
            call: submission.call.clone(),
            body_sha256: submission.body_sha256.clone(),
            deadline_ms: submission.deadline.unix_ms,
            state,
        }
    }
}
