//! Carries out the actions of a claim: one platform call at a time.

use std::collections::VecDeque;
use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_clients::platform::PutResult;
use jacinthweir_kernel::fault_point::Step as Point;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::claim::{
    Action, Answer, Claim, ClaimKey, ClaimRecord, ClaimState, DispatchEnd, EarlierSubmission,
    Event, Finished, ReadAnswer, Submission, WriteAnswer,
};
use jacinthweir_policy::journal::Event as Step;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::Member;
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::platform::{Condition, Object};
use sha2::{Digest, Sha256};

use crate::answer::{NoReply, recorded};
use crate::dispatch::Sent;
use crate::driver::{Driver, claim_config};

/// When to ask again for a call that still runs, in milliseconds.
const STILL_RUNNING_MS: u64 = 1_000;

impl Driver {
    /// Runs the call under a claim of `key`.
    pub(crate) async fn run_claimed(&mut self, key: ClaimKey) {
        let place = key.to_string();
        let submission = self.submission(key);
        let now = self.cx.clock.reading();
        let (mut claim, actions) = Claim::open(claim_config(&self.cx), submission, now);
        let mut todo = VecDeque::from(actions);
        while let Some(action) = todo.pop_front() {
            todo.extend(self.act(&mut claim, &place, action).await);
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

    async fn act(&mut self, claim: &mut Claim, place: &str, action: Action) -> Vec<Action> {
        match action {
            Action::Create(record) => {
                fault_point::reach(Point::ClaimSending).await;
                let answer = self.write(place, &record, Condition::Absent).await;
                claim.step(self.cx.clock.reading(), Event::Write(answer))
            }
            Action::Update { record, version } => {
                if !matches!(record.state, ClaimState::Open) {
                    fault_point::reach(Point::OutcomeSending).await;
                }
                let condition = Condition::Version(version);
                let answer = self.write(place, &record, condition).await;
                claim.step(self.cx.clock.reading(), Event::Write(answer))
            }
            Action::Read => {
                let answer = self.read(place).await;
                claim.step(self.cx.clock.reading(), Event::Read(answer))
            }
            Action::Pause(until) => self.pause_until(claim, until).await,
            Action::Dispatch => self.dispatch_claimed(claim).await,
            Action::Answer(answer) => {
                self.tell_claim(answer);
                Vec::new()
            }
            Action::Over => Vec::new(),
        }
    }

    async fn write(&self, place: &str, record: &ClaimRecord, on: Condition) -> WriteAnswer {
        metrics::counter!("jacinthweir_claim_writes_total").increment(1);
        let answer = self.cx.platform.put(place, record.to_text(), on).await;
        match answer {
            Ok(PutResult::Written(version)) => WriteAnswer::Written(version),
            Ok(PutResult::Conflict(_)) => WriteAnswer::Stale,
            Err(ClientError::NoEffect { cause }) => {
                info!(request = self.running.request.as_ref(); "claim not written: {cause}");
                WriteAnswer::NoEffect
            }
            Err(e) => {
                warn!(request = self.running.request.as_ref(); "claim's write: {e}");
                WriteAnswer::Lost
            }
        }
    }

    async fn read(&self, place: &str) -> ReadAnswer {
        metrics::counter!("jacinthweir_claim_reads_total").increment(1);
        match self.cx.platform.get(place).await {
            Ok(Some(object)) => self.found(&object),
            Ok(None) => ReadAnswer::Absent,
            Err(e) => {
                info!(request = self.running.request.as_ref(); "claim not read: {e}");
                ReadAnswer::Failed
            }
        }
    }

    fn found(&self, object: &Object) -> ReadAnswer {
        let Some(record) = ClaimRecord::parse(&object.value) else {
            error!(request = self.running.request.as_ref(); "unreadable claim {}", object.key);
            return ReadAnswer::Unreadable;
        };
        ReadAnswer::Found {
            claimant_gone: self.is_gone(&record.claimant, record.incarnation),
            record: Box::new(record),
            version: object.version,
        }
    }

    /// Whether an incarnation of an instance is known to be over. One that is merely suspected is
    /// not: its call may still be answered.
    fn is_gone(&self, name: &str, incarnation: u64) -> bool {
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
        let stays = self.pause(Duration::from_millis(mono.min(unix))).await;
        let now = self.cx.clock.reading();
        match stays {
            true => claim.step(now, Event::Timer),
            false => claim.cancel(now),
        }
    }

    /// Dispatches if the claim grants it. The caller is told before the claim's outcome is
    /// written: an answer is never held back for a slow platform.
    async fn dispatch_claimed(&mut self, claim: &mut Claim) -> Vec<Action> {
        if let Err(actions) = claim.begin_dispatch(self.cx.clock.reading()) {
            return actions;
        }
        self.running.note(Step::Claimed);
        fault_point::reach(Point::Claimed).await;
        let sent = self.dispatch().await;
        fault_point::reach(Point::CallRan).await;
        let outcome = self.tell_sent(&sent);
        let end = dispatch_end(sent, outcome, self.cx.clock.unix_ms());
        claim.step(self.cx.clock.reading(), Event::Dispatched(end))
    }

    fn tell_claim(&mut self, answer: Answer) {
        if self.has_told() {
            return;
        }
        let told = match answer {
            Answer::NotRun(cause) => Err(NoReply::not_run(cause)),
            Answer::Recorded(it) => {
                let outcome = it.finished.outcome;
                self.running.note(Step::Recorded { outcome });
                recorded(&it)
            }
            Answer::KeyConflict => Err(NoReply::new(
                ErrorCode::KeyConflict,
                "the idempotency key was used for another call or body",
            )),
            Answer::StillRunning => {
                self.note_unknown();
                let msg = "a call with this idempotency key is still running";
                let why = NoReply::new(ErrorCode::StillRunning, msg);
                Err(why.come_back(Some(STILL_RUNNING_MS)))
            }
            Answer::Unknown(earlier) => {
                self.note_unknown();
                Err(NoReply::new(ErrorCode::OutcomeUnknown, unknown(earlier)))
            }
        };
        self.tell(told);
    }

    /// An earlier submission may have run: "not run" would mislead whoever sends it again.
    fn note_unknown(&self) {
        self.running.note(Step::Recorded {
            outcome: Outcome::Unknown,
        });
    }
}

fn unknown(earlier: Option<EarlierSubmission>) -> String {
    match earlier {
        Some(it) => format!(
            "request {} with this key was claimed by {}, which left no outcome",
            it.request, it.claimant
        ),
        None => "an earlier call with this key was claimed; its outcome can't be read".to_owned(),
    }
}

fn dispatch_end(sent: Sent, outcome: Outcome, at_ms: Millis) -> DispatchEnd {
    if outcome == Outcome::NotRun {
        return DispatchEnd::NotRun;
    }
    match sent {
        Sent::Replied { upstream, reply } => {
            let mut finished = Finished::without_answer(outcome, upstream, at_ms);
            finished.status = reply.status;
            finished.content_type = reply.content_type.map(Name::from);
            finished.set_body(&reply.body);
            DispatchEnd::Ran(finished)
        }
        Sent::NoReply { upstream, .. } => {
            let upstream = upstream.unwrap_or_else(|| Name::from("none"));
            DispatchEnd::Ran(Finished::without_answer(outcome, upstream, at_ms))
        }
    }
}
