//! The driver of one call: with or without a claim, and what the caller is told.

use std::time::Duration;

use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::records::{Entry, EntryMeta, Running};
use jacinthweir_policy::claim::{ClaimConfig, MAX_DEADLINE_MS};
use jacinthweir_policy::journal::{End, Event, Idempotency, Journal};
use tokio::sync::oneshot;

use crate::accept::Accepted;
use crate::answer::{NoReply, ServiceReply, Told};
use crate::dispatch::Sent;
use crate::shared::{Place, Shared};

/// Greatest difference between the clocks of two instances for which a deleted claim is still
/// safe, in milliseconds.
const CLOCK_DIFFERENCE_MS: u64 = 3_600_000;

/// Settings of claims, with the retention from the instance's settings.
pub(crate) fn claim_config(cx: &Kernel) -> ClaimConfig {
    ClaimConfig {
        retention_ms: cx.settings.timing.claim_retention_ms,
        margin_ms: MAX_DEADLINE_MS + CLOCK_DIFFERENCE_MS,
        ..ClaimConfig::default()
    }
}

/// The driver of one call.
pub(crate) struct Driver {
    pub(crate) cx: Arc<Kernel>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) accepted: Accepted,
    pub(crate) running: Running,
    tx: Option<oneshot::Sender<Told>>,
    _place: Place,
}

impl Driver {
    /// Starts the driver of an accepted call as a task of its own; gives the request id.
    pub(crate) fn spawn(
        cx: &Arc<Kernel>,
        shared: &Arc<Shared>,
        accepted: Accepted,
        place: Place,
    ) -> (Name, oneshot::Receiver<Told>) {
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
            shared: Arc::clone(shared),
            accepted,
            running,
            tx: Some(tx),
            _place: place,
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
                let sent = self.dispatch().await;
                self.tell_sent(&sent);
            }
        }
    }

    /// Tells the caller how the dispatch went; gives the outcome.
    pub(crate) fn tell_sent(&mut self, sent: &Sent) -> Outcome {
        match sent {
            Sent::Replied { reply, .. } => self.tell(Ok(reply.clone())),
            Sent::NoReply { why, .. } => self.tell(Err(why.clone())),
        }
    }

    /// Closes the journal and tells the caller, at once. Only the first time counts.
    pub(crate) fn tell(&mut self, told: Result<ServiceReply, NoReply>) -> Outcome {
        let Some(tx) = self.tx.take() else {
            return self.running.close(End::GivenUp);
        };
        if let Err(why) = &told {
            let code = Name::from(why.code.to_string());
            self.running.note(Event::Refused { code });
        }
        let end = match told {
            Ok(_) => End::Complete,
            Err(_) => End::GivenUp,
        };
        let outcome = self.running.close(end);
        self.log(outcome);
        let told = match told {
            Ok(reply) if outcome == Outcome::Answered => Told::Reply(reply),
            // The journal doesn't bear out the answer: a fault of this program, told as one.
            Ok(_) => Told::Refused(jacinthweir_kernel::reply::Refusal::internal()),
            Err(why) => Told::Refused(why.refusal(outcome)),
        };
        // Fails only where the caller has left: there is nobody to tell.
        let _ = tx.send(told);
        outcome
    }

    /// Whether the caller was told.
    pub(crate) fn has_told(&self) -> bool {
        self.tx.is_none()
    }

    /// Waits for a time, or until the caller left or the instance ends; `false`: the latter.
    pub(crate) async fn pause(&mut self, pause: Duration) -> bool {
        let sleep = tokio::time::sleep(pause);
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

    /// Time left until the deadline, on the clock on which less is left.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let now = self.cx.clock.reading();
        let deadline = self.accepted.deadline;
        let mono = deadline.mono_ms.saturating_sub(now.mono_ms);
        let unix = deadline.unix_ms.saturating_sub(now.unix_ms);
        mono.min(unix)
    }

    fn log(&self, outcome: Outcome) {
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
