//! Admission as the plug-ins use it: a request enters the gate and holds a permit until it ends.
//!
//! The decisions are [`Admission`]'s. The gate adds what it leaves out: indices that stay the
//! same over revisions of the schema, waking of the requests that wait, and release when a
//! permit is dropped, for whatever cause the request ended.

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

/// A request that asks to enter.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Organisation.
    pub organisation: Name,
    /// Its weight.
    pub weight: u32,
    /// Pipeline.
    pub pipeline: Name,
    /// Priority class, 0 first.
    pub priority: u8,
    /// The most tokens it may cost.
    pub cost_tokens: u32,
    /// Monotonic time of the deadline, in milliseconds.
    pub deadline: Millis,
}

/// This instance's part of a pipeline's bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Pipeline.
    pub pipeline: Name,
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Requests in flight; corrected by what is seen. 0: no capacity.
    pub in_flight: u32,
}

/// What a request is told whose waking end is gone: the instance is ending.
const GATE_GONE: Refusal = Refusal {
    code: RefuseCode::Overloaded,
    retry_after_ms: 0,
};

/// Admission of an instance.
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

/// Dense indices by name that are never given to another name.
struct Indices<K> {
    names: IndexSet<Name>,
    index: fn(u32) -> K,
}

impl<K> Indices<K> {
    fn of(&mut self, name: &Name) -> K {
        let (at, _) = self.names.insert_full(name.clone());
        (self.index)(u32::try_from(at).unwrap_or(u32::MAX))
    }
}

/// Right to be in flight; ends when dropped.
pub struct Permit {
    gate: Arc<Gate>,
    slot: Slot,
    entered: Millis,
    tokens: u32,
}

impl Permit {
    /// Tells what the request cost, in tokens; counted when the permit is dropped.
    pub fn spent(&mut self, tokens: u32) {
        self.tokens = tokens;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let latency_ms = now.saturating_sub(self.entered);
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

/// Takes a waiting request out when its caller leaves.
///
/// The caller may leave just after the request was admitted and before it learned of that; the
/// slot would then stay in flight for ever. So the guard cancels the slot wherever it is, unless
/// a permit has taken over.
struct Waiting<'a> {
    gate: &'a Gate,
    slot: Slot,
    armed: bool,
}

impl Drop for Waiting<'_> {
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
    /// A gate without capacity yet.
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

    /// Enters, at once or after waiting. `queued` is called when the request has to wait.
    ///
    /// # Errors
    /// The refusal: nothing ran.
    pub async fn enter(
        self: &Arc<Self>,
        ask: &Ask,
        work: Work,
        queued: impl FnOnce(),
    ) -> Result<Permit, Refusal> {
        let (slot, decision, rx) = self.offer(ask, work);
        match decision {
            Decision::Admit => {}
            Decision::Refuse(refusal) => return Err(refusal),
            Decision::Queue => {
                queued();
                let mut guard = Waiting {
                    gate: self,
                    slot,
                    armed: true,
                };
                rx.await.unwrap_or(Err(GATE_GONE))?;
                guard.armed = false;
            }
        }
        let entered = self.clock.now();
        Ok(Permit {
            gate: Arc::clone(self),
            slot,
            entered,
            tokens: 0,
        })
    }

    fn offer(
        &self,
        ask: &Ask,
        work: Work,
    ) -> (Slot, Decision, oneshot::Receiver<Result<(), Refusal>>) {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        let slot = Slot(inner.next_slot);
        inner.next_slot += 1;
        let ticket = Ticket {
            slot,
            org: inner.orgs.of(&ask.organisation),
            weight: ask.weight,
            pipeline: inner.pipelines.of(&ask.pipeline),
            priority: ask.priority,
            cost_tokens: ask.cost_tokens,
            deadline: ask.deadline,
            work,
        };
        let decision = inner.admission.offer(now, ticket, &mut rand::rng());
        if decision == Decision::Queue {
            inner.waiting.insert(slot, tx);
            self.changed.notify_one();
        }
        (slot, decision, rx)
    }

    /// Sets this instance's part of the bounds.
    pub fn set_capacities(&self, capacities: &[Capacity]) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for c in capacities {
            let pipeline = inner.pipelines.of(&c.pipeline);
            inner
                .admission
                .set_capacity(now, pipeline, c.tokens_per_s, c.in_flight);
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Sets the most requests of an organisation in this instance; `None`: no limit.
    pub fn set_share(&self, organisation: &Name, most: Option<u32>) {
        let mut inner = self.lock();
        let org = inner.orgs.of(organisation);
        inner.admission.set_share(org, most);
    }

    /// Number of requests of an organisation here, queued or in flight.
    #[must_use]
    pub fn demand(&self, organisation: &Name) -> u32 {
        let mut inner = self.lock();
        let org = inner.orgs.of(organisation);
        inner.admission.in_system(org)
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().admission.in_flight()
    }

    /// State for operators.
    #[must_use]
    pub fn dump(&self) -> AdmissionDump {
        self.lock().admission.dump()
    }

    /// Wakes waiting requests as they fall due, until `stop`.
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
            let (slot, told) = match action {
                Action::Admit(slot) => (slot, Ok(())),
                Action::Refuse { slot, refusal } => (slot, Err(refusal)),
            };
            let Some(tx) = inner.waiting.remove(&slot) else {
                continue;
            };
            if tx.send(told).is_err() {
                inner.admission.cancel(now, slot);
                self.changed.notify_one();
            }
        }
    }

    fn next_wait(&self) -> Duration {
        /// Longest time between polls: bounds how late a missed wake-up is made good.
        const LONGEST_MS: Millis = 100;
        let now = self.clock.now();
        let due = self
            .lock()
            .admission
            .next_poll()
            .unwrap_or(now + LONGEST_MS);
        Duration::from_millis(due.saturating_sub(now).clamp(1, LONGEST_MS))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
