//! Admission control: a request acquires a permit from the gate and holds it until it ends.
//!
//! [`Admission`] makes the decisions. The gate adds indices that are stable across schema
//! revisions, wakes queued requests, and releases the slot when the permit is dropped, however the
//! request ended.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexSet;
use jacinthweir_policy::admission::{
    Action, Admission, AdmissionConfig, AdmissionDump, Decision, Measurement, Refusal, RefuseCode,
    Slot, Ticket, Work,
};
use jacinthweir_policy::prelude::*;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation.
    pub organisation: Name,
    /// Weight of the organisation.
    pub weight: u32,
    /// Pipeline.
    pub pipeline: Name,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Upper bound on its cost, in tokens.
    pub cost_tokens: u32,
    /// Deadline on the monotonic clock, in milliseconds.
    pub deadline: Millis,
}

/// This instance's share of a pipeline's capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Pipeline.
    pub pipeline: Name,
    /// Token rate in tokens per second, adapted to measurements.
    pub tokens_per_s: f64,
    /// Limit on requests in flight, adapted to measurements. 0 means no capacity.
    pub in_flight: u32,
}

/// Refusal of a queued request whose sender was dropped because the instance is exiting.
const GATE_CLOSED: Refusal = Refusal {
    code: RefuseCode::Overloaded,
    retry_after_ms: 0,
};

/// Admission control of an instance.
pub struct Gate {
    clock: Clock,
    inner: Mutex<Inner>,
    changed: Notify,
}

struct Inner {
    admission: Admission,
    orgs: Indices<OrgId>,
    pipelines: Indices<PipelineId>,
    waiting: BTreeMap<Slot, oneshot::Sender<Result<(), Refusal>>>,
    next_slot: u64,
}

/// Dense indices by name; an index is never reused for another name.
struct Indices<K> {
    names: IndexSet<Name>,
    index: fn(u32) -> K,
}

impl<K> Indices<K> {
    fn get_or_insert(&mut self, name: &Name) -> K {
        let (index, _) = self.names.insert_full(name.clone());
        (self.index)(u32::try_from(index).unwrap_or(u32::MAX))
    }
}

/// Permit of an admitted request; dropping it releases the slot.
pub struct Permit {
    gate: Arc<Gate>,
    slot: Slot,
    admitted_at: Millis,
    tokens: u32,
}

impl Permit {
    /// Sets the actual cost of the request, in tokens, to be reported when the permit is
    /// dropped.
    pub fn set_tokens_used(&mut self, tokens: u32) {
        self.tokens = tokens;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let latency_ms = now.saturating_sub(self.admitted_at);
        let measurement = Measurement {
            latency_ms,
            tokens: self.tokens,
        };
        self.gate
            .lock()
            .admission
            .release(now, self.slot, measurement);
        self.gate.changed.notify_one();
    }
}

/// Guard that cancels a queued request when its caller disconnects.
///
/// The caller may disconnect after the request was admitted but before its task was woken; the
/// slot would then stay in flight for ever. The guard therefore cancels the slot whether it is
/// queued or in flight, unless a permit has taken it over.
struct CancelOnDrop<'a> {
    gate: &'a Gate,
    slot: Slot,
    armed: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut inner = self.gate.lock();
        inner.waiting.remove(&self.slot);
        inner.admission.cancel(self.gate.clock.now(), self.slot);
        drop(inner);
        self.gate.changed.notify_one();
    }
}

impl Gate {
    /// Creates a gate without capacity.
    #[must_use]
    pub fn open(clock: Clock) -> Arc<Gate> {
        let inner = Inner {
            admission: Admission::new(AdmissionConfig::default()),
            orgs: Indices {
                names: IndexSet::new(),
                index: OrgId::from_u32,
            },
            pipelines: Indices {
                names: IndexSet::new(),
                index: PipelineId::from_u32,
            },
            waiting: BTreeMap::new(),
            next_slot: 0,
        };
        Arc::new(Gate {
            clock,
            inner: Mutex::new(inner),
            changed: Notify::new(),
        })
    }

    /// Waits until the request is admitted and returns its permit. Calls `queued` if the request
    /// is not admitted at once.
    ///
    /// # Errors
    /// Returns the refusal; nothing ran.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &AdmissionRequest,
        work: Work,
        queued: impl FnOnce(),
    ) -> Result<Permit, Refusal> {
        let (slot, decision, rx) = self.offer(request, work);
        match decision {
            Decision::Admit => {}
            Decision::Refuse(refusal) => return Err(refusal),
            Decision::Queue => {
                queued();
                let mut guard = CancelOnDrop {
                    gate: self,
                    slot,
                    armed: true,
                };
                rx.await.unwrap_or(Err(GATE_CLOSED))?;
                guard.armed = false;
            }
        }
        let admitted_at = self.clock.now();
        Ok(Permit {
            gate: Arc::clone(self),
            slot,
            admitted_at,
            tokens: 0,
        })
    }

    fn offer(
        &self,
        request: &AdmissionRequest,
        work: Work,
    ) -> (Slot, Decision, oneshot::Receiver<Result<(), Refusal>>) {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        let slot = Slot(inner.next_slot);
        inner.next_slot += 1;
        let ticket = Ticket {
            slot,
            org: inner.orgs.get_or_insert(&request.organisation),
            weight: request.weight,
            pipeline: inner.pipelines.get_or_insert(&request.pipeline),
            priority: request.priority,
            cost_tokens: request.cost_tokens,
            deadline: request.deadline,
            work,
        };
        let decision = inner.admission.offer(now, ticket, &mut rand::rng());
        if decision == Decision::Queue {
            inner.waiting.insert(slot, tx);
            self.changed.notify_one();
        }
        (slot, decision, rx)
    }

    /// Sets this instance's share of the capacity of each pipeline.
    pub fn set_capacities(&self, capacities: &[Capacity]) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for c in capacities {
            let pipeline = inner.pipelines.get_or_insert(&c.pipeline);
            inner
                .admission
                .set_capacity(now, pipeline, c.tokens_per_s, c.in_flight);
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Sets the maximum number of requests of an organisation on this instance; `None` means no
    /// limit.
    pub fn set_share(&self, organisation: &Name, limit: Option<u32>) {
        let mut inner = self.lock();
        let org = inner.orgs.get_or_insert(organisation);
        inner.admission.set_share(org, limit);
    }

    /// Returns the number of requests of an organisation on this instance, queued or in flight.
    #[must_use]
    pub fn demand(&self, organisation: &Name) -> u32 {
        let mut inner = self.lock();
        let org = inner.orgs.get_or_insert(organisation);
        inner.admission.in_system(org)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().admission.in_flight()
    }

    /// Returns the admission state, for operators.
    #[must_use]
    pub fn dump(&self) -> AdmissionDump {
        self.lock().admission.dump()
    }

    /// Admits or refuses queued requests as they become due, until `stop` is cancelled.
    pub async fn run_until(self: Arc<Self>, stop: CancellationToken) {
        let _ = stop.run_until_cancelled(self.run()).await;
    }

    async fn run(&self) {
        loop {
            self.wake_due();
            let wait = self.next_wait();
            tokio::select! {
                () = self.changed.notified() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    fn wake_due(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.admission.poll(now, &mut rand::rng());
        for action in actions {
            let (slot, result) = match action {
                Action::Admit(slot) => (slot, Ok(())),
                Action::Refuse { slot, refusal } => (slot, Err(refusal)),
            };
            let Some(tx) = inner.waiting.remove(&slot) else {
                continue;
            };
            if tx.send(result).is_err() {
                inner.admission.cancel(now, slot);
                self.changed.notify_one();
            }
        }
    }

    fn next_wait(&self) -> Duration {
        /// Longest interval between polls, which bounds the delay after a missed wake-up.
        const MAX_POLL_INTERVAL_MS: Millis = 100;
        let now = self.clock.now();
        let due = self
            .lock()
            .admission
            .next_poll()
            .unwrap_or(now + MAX_POLL_INTERVAL_MS);
        Duration::from_millis(due.saturating_sub(now).clamp(1, MAX_POLL_INTERVAL_MS))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
