//! The transitions of a claim.

use super::{
    Abandoning, Action, Answer, Claim, ClaimRecord, ClaimState, DispatchEnd, Earlier, Event,
    NotRunCause, Phase, ReadAnswer, Recorded, Recording, WriteAnswer,
};
use crate::prelude::*;

impl Claim {
    /// Takes in what the driver saw; gives what to do next.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        match (self.phase.clone(), event) {
            (Phase::Over, _) => Vec::new(),
            (_, Event::Timer) => self.after_pause(now),
            (Phase::Running { version }, Event::Dispatched(end)) => {
                self.dispatched(now, version, end)
            }
            (Phase::Creating, Event::Write(answer)) => self.created(now, answer),
            (Phase::Reclaiming { .. }, Event::Write(answer)) => self.created(now, answer),
            (Phase::ReadingBack, Event::Read(answer)) => self.read_back(now, answer),
            (Phase::Waiting, Event::Read(answer)) => self.read_back(now, answer),
            (Phase::Recording(recording), Event::Write(answer)) => {
                self.recorded(now, &recording, answer)
            }
            (Phase::Abandoning(abandoning), Event::Write(answer)) => {
                self.abandon_written(now, &abandoning, answer)
            }
            (Phase::Abandoning(abandoning), Event::Read(answer)) => {
                self.abandon_read(now, &abandoning, answer)
            }
            // An answer that no phase waits for: the driver asked for nothing, so nothing follows.
            _ => Vec::new(),
        }
    }

    /// The write of an open record, as create or as reclaim, was answered.
    fn created(&mut self, now: Now, answer: WriteAnswer) -> Vec<Action> {
        match answer {
            WriteAnswer::Written(version) => self.claimed(version),
            WriteAnswer::Stale => {
                self.foreign_seen |= !self.may_land;
                self.earlier_may_have_run |= !self.may_land;
                self.start_read_back()
            }
            WriteAnswer::NoEffect => self.pause(now, false),
            WriteAnswer::Lost => {
                self.may_land = true;
                self.start_read_back()
            }
        }
    }

    fn claimed(&mut self, version: u64) -> Vec<Action> {
        self.phase = Phase::Claimed { version };
        vec![Action::Dispatch]
    }

    fn start_read_back(&mut self) -> Vec<Action> {
        self.phase = Phase::ReadingBack;
        vec![Action::Read]
    }

    /// What stands at the key, as it concerns a submission that wants to run.
    fn read_back(&mut self, now: Now, answer: ReadAnswer) -> Vec<Action> {
        match answer {
            ReadAnswer::Found {
                record,
                version,
                claimant_gone,
            } => self.found(now, *record, version, claimant_gone),
            // The write of this nonce may still land, so the same write is repeated: either it
            // or the late one takes effect, and both carry this nonce.
            ReadAnswer::Absent if !self.foreign_seen => {
                self.phase = Phase::Creating;
                self.pause(now, false)
            }
            // A claim that was seen and is gone: a read that lags, or a platform that went back
            // to an older copy. Claiming anew could run the call a second time.
            ReadAnswer::Absent | ReadAnswer::Failed => self.pause(now, true),
            ReadAnswer::Unreadable => {
                self.earlier_may_have_run = true;
                self.give_up(now, NotRunCause::PlatformDown)
            }
        }
    }

    fn found(
        &mut self,
        now: Now,
        record: ClaimRecord,
        version: u64,
        claimant_gone: bool,
    ) -> Vec<Action> {
        if record.nonce == self.submission.nonce {
            return match record.state {
                ClaimState::Open => self.claimed(version),
                _ => self.give_up(now, NotRunCause::PlatformDown),
            };
        }
        self.foreign_seen = true;
        self.earlier_may_have_run = record.state != ClaimState::Released;
        // Over a foreign claim that is open or finished no late write of this nonce can land.
        self.may_land &= record.state == ClaimState::Released;
        self.earlier = Some(Earlier {
            claimant: record.claimant.clone(),
            request: record.request.clone(),
        });
        let same_body = record.body_sha256 == self.submission.body_sha256;
        match record.state {
            ClaimState::Released => self.reclaim(now, version),
            _ if !same_body => self.settle(now, Answer::KeyConflict),
            ClaimState::Finished(finished) => {
                let recorded = Recorded {
                    claimant: record.claimant,
                    request: record.request,
                    finished,
                };
                self.settle(now, Answer::Recorded(Box::new(recorded)))
            }
            ClaimState::Open => {
                let over = now.unix_ms >= record.deadline_ms.saturating_add(self.cfg.grace_ms);
                match claimant_gone || over {
                    true => self.settle(now, Answer::Unknown(self.earlier.clone())),
                    false => self.wait(now),
                }
            }
        }
    }

    /// The holder of the standing claim says that it never ran and never will.
    fn reclaim(&mut self, now: Now, version: u64) -> Vec<Action> {
        if now.is_past(self.submission.deadline) {
            return self.give_up(now, NotRunCause::DeadlinePassed);
        }
        self.patience = now
            .plus(self.cfg.patience_ms)
            .earlier(self.submission.deadline);
        self.phase = Phase::Reclaiming { version };
        vec![self.update(ClaimState::Open, version)]
    }

    fn wait(&mut self, now: Now) -> Vec<Action> {
        if now.is_past(self.submission.deadline) {
            return self.settle(now, Answer::StillRunning);
        }
        self.phase = Phase::Waiting;
        let pause = self.next_pause();
        self.after_pause_read = true;
        vec![Action::Pause(
            now.plus(pause).earlier(self.submission.deadline),
        )]
    }

    /// Waits before the next try, or gives up.
    fn pause(&mut self, now: Now, read: bool) -> Vec<Action> {
        let waits = self.phase == Phase::Waiting;
        let until = if waits {
            self.submission.deadline
        } else {
            self.patience
        };
        if now.is_past(until) {
            return self.out_of_patience(now);
        }
        self.after_pause_read = read;
        let pause = self.next_pause();
        vec![Action::Pause(now.plus(pause).earlier(until))]
    }

    fn out_of_patience(&mut self, now: Now) -> Vec<Action> {
        if self.phase == Phase::Waiting {
            // An earlier submission was seen to be running, so "not run" would mislead.
            return self.settle(now, Answer::StillRunning);
        }
        let cause = match now.is_past(self.submission.deadline) {
            true => NotRunCause::DeadlinePassed,
            false => NotRunCause::PlatformDown,
        };
        self.give_up(now, cause)
    }

    fn after_pause(&mut self, now: Now) -> Vec<Action> {
        let read = self.after_pause_read;
        match self.phase.clone() {
            Phase::Waiting => vec![Action::Read],
            Phase::Creating | Phase::Reclaiming { .. } if now.is_past(self.patience) => {
                self.out_of_patience(now)
            }
            Phase::Creating if !read => vec![self.create(ClaimState::Open)],
            Phase::Reclaiming { version } if !read => vec![self.update(ClaimState::Open, version)],
            Phase::Creating | Phase::Reclaiming { .. } => self.start_read_back(),
            Phase::ReadingBack => vec![Action::Read],
            Phase::Recording(recording) => vec![self.update(recording.state, recording.version)],
            Phase::Abandoning(_) if !read => vec![self.create(ClaimState::Released)],
            Phase::Abandoning(_) => vec![Action::Read],
            Phase::Claimed { .. } | Phase::Running { .. } | Phase::Over => Vec::new(),
        }
    }

    /// The dispatch is over: the caller is answered by the driver, the claim here.
    fn dispatched(&mut self, now: Now, version: u64, end: DispatchEnd) -> Vec<Action> {
        match end {
            DispatchEnd::NotRun => self.release(now, version, NotRunCause::NotDispatched),
            DispatchEnd::Ran(finished) => self.record(now, version, ClaimState::Finished(finished)),
        }
    }

    /// Fences a held claim that did not run, answers, and writes that it may be claimed anew.
    pub(super) fn release(&mut self, now: Now, version: u64, cause: NotRunCause) -> Vec<Action> {
        self.fenced = true;
        let mut actions = vec![Action::Answer(Answer::NotRun(cause))];
        actions.extend(self.record(now, version, ClaimState::Released));
        actions
    }

    fn record(&mut self, now: Now, version: u64, state: ClaimState) -> Vec<Action> {
        self.pause_ms = self.cfg.first_pause_ms;
        self.phase = Phase::Recording(Recording {
            state: state.clone(),
            version,
            until: now.plus(self.cfg.record_patience_ms),
        });
        vec![self.update(state, version)]
    }

    fn recorded(&mut self, now: Now, recording: &Recording, answer: WriteAnswer) -> Vec<Action> {
        match answer {
            WriteAnswer::Written(_) => self.over(),
            // Either this very write landed before, with its answer lost, or the claim of an
            // expired key was deleted. Both are final.
            WriteAnswer::Stale => self.over(),
            WriteAnswer::NoEffect | WriteAnswer::Lost => {
                self.pause_until(now, recording.until, false)
            }
        }
    }

    /// Fences the submission and answers "not run", unless an earlier submission with the same key
    /// was seen and its end was not.
    pub(super) fn give_up(&mut self, now: Now, cause: NotRunCause) -> Vec<Action> {
        let answer = match self.earlier_may_have_run {
            true => Answer::Unknown(self.earlier.clone()),
            false => Answer::NotRun(cause),
        };
        self.settle(now, answer)
    }

    /// Fences the submission, answers, and stops a write of it that may still land.
    pub(super) fn settle(&mut self, now: Now, answer: Answer) -> Vec<Action> {
        let mut actions = self.finish(answer);
        if self.may_land {
            self.pause_ms = self.cfg.first_pause_ms;
            self.phase = Phase::Abandoning(Abandoning {
                until: now.plus(self.cfg.record_patience_ms),
            });
            actions.pop();
            actions.push(self.create(ClaimState::Released));
        }
        actions
    }

    /// Fences the submission, whose writes can't land, and answers "not run".
    pub(super) fn refuse(&mut self, cause: NotRunCause) -> Vec<Action> {
        self.finish(Answer::NotRun(cause))
    }

    /// A released record was to be put where nothing stood, so that the late write fails.
    fn abandon_written(&mut self, now: Now, it: &Abandoning, answer: WriteAnswer) -> Vec<Action> {
        match answer {
            WriteAnswer::Written(_) => self.over(),
            WriteAnswer::Stale if now.is_past(it.until) => self.over(),
            WriteAnswer::Stale => vec![Action::Read],
            WriteAnswer::NoEffect => self.pause_until(now, it.until, false),
            WriteAnswer::Lost => self.pause_until(now, it.until, true),
        }
    }

    fn abandon_read(&mut self, now: Now, it: &Abandoning, answer: ReadAnswer) -> Vec<Action> {
        match answer {
            ReadAnswer::Found {
                record, version, ..
            } => {
                let own = record.nonce == self.submission.nonce;
                match record.state {
                    ClaimState::Open if own => vec![self.update(ClaimState::Released, version)],
                    // The write that may still land has this version as its condition: moving
                    // the version on stops it.
                    ClaimState::Released if !own => {
                        vec![self.update(ClaimState::Released, version)]
                    }
                    _ => self.over(),
                }
            }
            ReadAnswer::Unreadable => self.over(),
            ReadAnswer::Absent => self.pause_until(now, it.until, false),
            ReadAnswer::Failed => self.pause_until(now, it.until, true),
        }
    }

    fn pause_until(&mut self, now: Now, until: Now, read: bool) -> Vec<Action> {
        if now.is_past(until) {
            return self.over();
        }
        self.after_pause_read = read;
        let pause = self.next_pause();
        vec![Action::Pause(now.plus(pause).earlier(until))]
    }

    fn next_pause(&mut self) -> u64 {
        let pause = self.pause_ms;
        self.pause_ms = (pause * 2).min(self.cfg.longest_pause_ms);
        pause
    }

    pub(super) fn finish(&mut self, answer: Answer) -> Vec<Action> {
        self.fenced = true;
        self.phase = Phase::Over;
        vec![Action::Answer(answer), Action::Over]
    }

    fn over(&mut self) -> Vec<Action> {
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
        let it = &self.submission;
        ClaimRecord {
            claimant: it.claimant.clone(),
            incarnation: it.incarnation,
            nonce: it.nonce.clone(),
            request: it.request.clone(),
            call: it.call.clone(),
            body_sha256: it.body_sha256.clone(),
            deadline_ms: it.deadline.unix_ms,
            state,
        }
    }
}
