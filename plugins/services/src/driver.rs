//! Drives one call, with or without a claim, and reports the result to the handler.

use std::time::Duration;

use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::records::{Entry, EntryMeta, Running};
use jacinthweir_policy::claim::{ClaimConfig, MAX_DEADLINE_MS};
use jacinthweir_policy::journal::{End, Event, Idempotency, Journal};
use tokio::sync::oneshot;

use crate::accept::Accepted;
use crate::answer::{CallFailure, CallResult, ServiceReply};
use crate::dispatch::DispatchResult;
use crate::limits::{CallLimits, CallPermit};

/// Largest clock difference between two instances at which deleting an expired claim is safe, in
/// milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// Returns the configuration of claims, with the retention from the instance's settings.
pub(crate) fn claim_config(cx: &Kernel) -> ClaimConfig {
    ClaimConfig {
        retention_ms: cx.settings.timing.claim_retention_ms,
        margin_ms: MAX_DEADLINE_MS + MAX_CLOCK_SKEW_MS,
        ..ClaimConfig::default()
    }
}

/// The driver of one call.
pub(crate) struct Driver {
    pub(crate) cx: Arc<Kernel>,
    pub(crate) limits: Arc<CallLimits>,
    pub(crate) accepted: Accepted,
    pub(crate) running: Running,
    tx: Option<oneshot::Sender<CallResult>>,
    _permit: CallPermit,
}

impl Driver {
    /// Starts the driver of an accepted call in a new task; returns the request id.
    pub(crate) fn spawn(
        cx: &Arc<Kernel>,
        limits: &Arc<CallLimits>,
        accepted: Accepted,
        permit: CallPermit,
    ) -> (Name, oneshot::Receiver<CallResult>) {
        let id = cx.new_request_id();
        let journal = Journal::open(id.clone(), accepted.repeat, cx.clock.unix_ms());
        let meta = EntryMeta {
            instance: cx.settings.name.clone(),
            organisation: accepted.caller.organisation.clone(),
            target: accepted.target(),
            revision: accepted.config.revision,
        };
        let running = cx.records.begin(Entry::new(journal, cx.clock, meta));
        let (tx, rx) = oneshot::channel();
        let driver = Driver {
            cx: Arc::clone(cx),
            limits: Arc::clone(limits),
            accepted,
            running,
            tx: Some(tx),
            _permit: permit,
        };
        cx.tasks.spawn(driver.drive());
        (id, rx)
    }

    async fn drive(mut self) {
        fault_point::reach(Step::CallReceived).await;
        let key = self.accepted.key.clone();
        match (self.accepted.repeat, key) {
            (Idempotency::NonIdempotent, Some(key)) => self.run_claimed(key).await,
            _ => {
                let dispatched = self.dispatch().await;
                self.respond_to_dispatch(&dispatched);
            }
        }
    }

    /// Reports the result of the dispatch to the caller; returns the outcome.
    pub(crate) fn respond_to_dispatch(&mut self, dispatched: &DispatchResult) -> Outcome {
        match dispatched {
            DispatchResult::Replied { reply, .. } => self.respond(Ok(reply.clone())),
            DispatchResult::Failed { failure, .. } => self.respond(Err(failure.clone())),
        }
    }

    /// Closes the journal and sends the result to the handler; returns the outcome.
    ///
    /// Only the first result is sent.
    pub(crate) fn respond(&mut self, result: Result<ServiceReply, CallFailure>) -> Outcome {
        let Some(tx) = self.tx.take() else {
            return self.running.close(End::GivenUp);
        };
        if let Err(failure) = &result {
            let code = Name::from(failure.code.to_string());
            self.running.record_or_log(Event::Refused { code });
        }
        let end = match result {
            Ok(_) => End::Complete,
            Err(_) => End::GivenUp,
        };
        let outcome = self.running.close(end);
        self.log_end(outcome);
        let result = match result {
            Ok(reply) if outcome == Outcome::Answered => CallResult::Reply(reply),
            // The journal contradicts the answer: a bug in this program, reported as such.
            Ok(_) => CallResult::Refused(jacinthweir_kernel::reply::Refusal::internal()),
            Err(failure) => CallResult::Refused(failure.refusal(outcome)),
        };
        // Fails only if the handler was dropped because the caller disconnected.
        let _ = tx.send(result);
        outcome
    }

    /// Whether a result was sent.
    pub(crate) fn has_responded(&self) -> bool {
        self.tx.is_none()
    }

    /// Sleeps for `duration`; returns `false` early if the caller disconnects or the instance
    /// stops.
    ///
    /// Once a result was sent, neither of the two interrupts the sleep.
    pub(crate) async fn sleep_unless_cancelled(&mut self, duration: Duration) -> bool {
        let sleep = tokio::time::sleep(duration);
        let Some(tx) = &mut self.tx else {
            sleep.await;
            return true;
        };
        tokio::select! {
            () = sleep => true,
            () = tx.closed() => false,
            () = self.cx.stop.cancelled() => false,
        }
    }

    /// Returns the time until the deadline, on whichever clock has less left.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let now = self.cx.clock.reading();
        let deadline = self.accepted.deadline;
        let mono = deadline.mono_ms.saturating_sub(now.mono_ms);
        let unix = deadline.unix_ms.saturating_sub(now.unix_ms);
        mono.min(unix)
    }

    fn log_end(&self, outcome: Outcome) {
        info!(
            request = self.running.request.as_ref(),
            organisation = self.running.organisation.as_ref(),
            target = self.running.target.as_ref();
            "call ended: {outcome}"
        );
        let outcome = outcome.to_string();
        metrics::counter!("jacinthweir_calls_total", "outcome" => outcome).increment(1);
    }
}
