//! Runs a call under a claim: executes the claim's actions, one platform call at a time.

use std::collections::VecDeque;
use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_clients::platform::PutResult;
use jacinthweir_kernel::fault_point::Step as FaultStep;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::claim::{
    Action, Answer, Claim, ClaimKey, ClaimRecord, ClaimState, DispatchEnd, EarlierSubmission,
    Event, Finished, ReadAnswer, Submission, WriteAnswer,
};
use jacinthweir_policy::journal::Event as JournalEvent;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::Member;
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::platform::{Condition, Object};
use sha2::{Digest, Sha256};

use crate::answer::{CallFailure, recorded_result};
use crate::dispatch::DispatchResult;
use crate::driver::{Driver, claim_config};

/// Retry delay suggested for a call that is still running, in milliseconds.
const STILL_RUNNING_RETRY_AFTER_MS: u64 = 1_000;

impl Driver {
    /// Runs the call under a claim on `key`.
    pub(crate) async fn run_claimed(&mut self, key: ClaimKey) {
        let object_key = key.to_string();
        let submission = self.submission(key);
        let now = self.cx.clock.reading();
        let (mut claim, actions) = Claim::open(claim_config(&self.cx), submission, now);
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            pending.extend(self.execute(&mut claim, &object_key, action).await);
        }
    }

    fn submission(&self, key: ClaimKey) -> Submission {
        let target = self.accepted.target();
        let mut hash = Sha256::new();
        hash.update(target.as_bytes());
        hash.update([0]);
        hash.update(&self.accepted.body);
        Submission {
            key,
            claimant: self.cx.settings.name.clone(),
            incarnation: self.cx.incarnation,
            nonce: hex::encode(rand::random::<[u8; 16]>()).into(),
            request: self.running.request.clone(),
            call: target,
            body_sha256: hex::encode(hash.finalize()).into(),
            deadline: self.accepted.deadline,
        }
    }

    async fn execute(
        &mut self,
        claim: &mut Claim,
        object_key: &str,
        action: Action,
    ) -> Vec<Action> {
        match action {
            Action::Create(record) => {
                fault_point::reach(FaultStep::ClaimSending).await;
                let answer = self
                    .write_claim(object_key, &record, Condition::Absent)
                    .await;
                claim.step(self.cx.clock.reading(), Event::Write(answer))
            }
            Action::Update { record, version } => {
                if !matches!(record.state, ClaimState::Open) {
                    fault_point::reach(FaultStep::OutcomeSending).await;
                }
                let condition = Condition::Version(version);
                let answer = self.write_claim(object_key, &record, condition).await;
                claim.step(self.cx.clock.reading(), Event::Write(answer))
            }
            Action::Read => {
                let answer = self.read_claim(object_key).await;
                claim.step(self.cx.clock.reading(), Event::Read(answer))
            }
            Action::Pause(until) => self.pause_until(claim, until).await,
            Action::Dispatch => self.dispatch_claimed(claim).await,
            Action::Answer(answer) => {
                self.respond_from_claim(answer);
                Vec::new()
            }
            Action::Over => Vec::new(),
        }
    }

    async fn write_claim(
        &self,
        object_key: &str,
        record: &ClaimRecord,
        on: Condition,
    ) -> WriteAnswer {
        metrics::counter!("jacinthweir_claim_writes_total").increment(1);
        let answer = self.cx.platform.put(object_key, record.to_text(), on).await;
        match answer {
            Ok(PutResult::Written(version)) => WriteAnswer::Written(version),
            Ok(PutResult::Conflict(_)) => WriteAnswer::Stale,
            Err(ClientError::NoEffect { cause }) => {
                info!(
                    request = self.running.request.as_ref();
                    "claim not written, no effect on the platform: {cause}"
                );
                WriteAnswer::NoEffect
            }
            Err(e) => {
                warn!(
                    request = self.running.request.as_ref();
                    "claim write failed, its effect is unknown: {e}"
                );
                WriteAnswer::Lost
            }
        }
    }

    async fn read_claim(&self, object_key: &str) -> ReadAnswer {
        metrics::counter!("jacinthweir_claim_reads_total").increment(1);
        match self.cx.platform.get(object_key).await {
            Ok(Some(object)) => self.found_claim(&object),
            Ok(None) => ReadAnswer::Absent,
            Err(e) => {
                info!(request = self.running.request.as_ref(); "claim could not be read: {e}");
                ReadAnswer::Failed
            }
        }
    }

    fn found_claim(&self, object: &Object) -> ReadAnswer {
        let Some(record) = ClaimRecord::parse(&object.value) else {
            error!(
                request = self.running.request.as_ref();
                "claim {} cannot be parsed", object.key
            );
            return ReadAnswer::Unreadable;
        };
        ReadAnswer::Found {
            claimant_gone: self.has_ended(&record.claimant, record.incarnation),
            record: Box::new(record),
            version: object.version,
        }
    }

    /// Whether an incarnation of an instance is known to have ended.
    ///
    /// A suspected one does not count: its call may still be answered.
    fn has_ended(&self, name: &str, incarnation: u64) -> bool {
        if *name == *self.cx.settings.name {
            return incarnation != self.cx.incarnation;
        }
        let membership = self.cx.membership();
        let member = membership.member(name).map(Member::state);
        member.is_some_and(|s| {
            s.incarnation > incarnation || (s.incarnation == incarnation && s.phase == Phase::Gone)
        })
    }

    async fn pause_until(&mut self, claim: &mut Claim, until: Now) -> Vec<Action> {
        let now = self.cx.clock.reading();
        let mono = until.mono_ms.saturating_sub(now.mono_ms);
        let unix = until.unix_ms.saturating_sub(now.unix_ms);
        let elapsed = self
            .sleep_unless_cancelled(Duration::from_millis(mono.min(unix)))
            .await;
        let now = self.cx.clock.reading();
        match elapsed {
            true => claim.step(now, Event::Timer),
            false => claim.cancel(now),
        }
    }

    /// Dispatches the call if the claim permits it.
    ///
    /// The caller gets the result before the outcome is written to the claim, so that a slow
    /// platform does not delay an answer.
    async fn dispatch_claimed(&mut self, claim: &mut Claim) -> Vec<Action> {
        if let Err(actions) = claim.begin_dispatch(self.cx.clock.reading()) {
            return actions;
        }
        self.running.record_or_log(JournalEvent::Claimed);
        fault_point::reach(FaultStep::Claimed).await;
        let dispatched = self.dispatch().await;
        fault_point::reach(FaultStep::CallRan).await;
        let outcome = self.respond_to_dispatch(&dispatched);
        let end = dispatch_end(dispatched, outcome, self.cx.clock.unix_ms());
        claim.step(self.cx.clock.reading(), Event::Dispatched(end))
    }

    fn respond_from_claim(&mut self, answer: Answer) {
        if self.has_responded() {
            return;
        }
        let result = match answer {
            Answer::NotRun(cause) => Err(CallFailure::not_run(cause)),
            Answer::Recorded(it) => {
                let outcome = it.finished.outcome;
                self.running
                    .record_or_log(JournalEvent::Recorded { outcome });
                recorded_result(&it)
            }
            Answer::KeyConflict => Err(CallFailure::new(
                ErrorCode::KeyConflict,
                "the idempotency key was used for another call or body",
            )),
            Answer::StillRunning => {
                self.record_unknown_outcome();
                let msg = "a call with this idempotency key is still running";
                let failure = CallFailure::new(ErrorCode::StillRunning, msg);
                Err(failure.with_retry_after(Some(STILL_RUNNING_RETRY_AFTER_MS)))
            }
            Answer::Unknown(earlier) => {
                self.record_unknown_outcome();
                Err(CallFailure::new(
                    ErrorCode::OutcomeUnknown,
                    unknown_outcome_message(earlier),
                ))
            }
        };
        self.respond(result);
    }

    /// Records an unknown outcome: an earlier submission may have run, and "not run" would mislead
    /// a caller into sending the call again.
    fn record_unknown_outcome(&self) {
        self.running.record_or_log(JournalEvent::Recorded {
            outcome: Outcome::Unknown,
        });
    }
}

fn unknown_outcome_message(earlier: Option<EarlierSubmission>) -> String {
    match earlier {
        Some(it) => format!(
            "request {} with this key was claimed by {}, which left no outcome",
            it.request, it.claimant
        ),
        None => "an earlier call with this key was claimed; its outcome can't be read".to_owned(),
    }
}

fn dispatch_end(dispatched: DispatchResult, outcome: Outcome, at_ms: Millis) -> DispatchEnd {
    if outcome == Outcome::NotRun {
        return DispatchEnd::NotRun;
    }
    match dispatched {
        DispatchResult::Replied { upstream, reply } => {
            let mut finished = Finished::without_answer(outcome, upstream, at_ms);
            finished.status = reply.status;
            finished.content_type = reply.content_type.map(Name::from);
            finished.set_body(&reply.body);
            DispatchEnd::Ran(finished)
        }
        DispatchResult::Failed { upstream, .. } => {
            let upstream = upstream.unwrap_or_else(|| Name::from("none"));
            DispatchEnd::Ran(Finished::without_answer(outcome, upstream, at_ms))
        }
    }
}
