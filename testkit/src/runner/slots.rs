//! Execution slots of a runner, and the queue of attempts that wait for one.
//!
//! Invariant: `running` counts the [`Slot`]s that exist. A slot that becomes free passes to the
//! head of the queue under the same lock, so no later arrival overtakes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Slots of one runner.
#[derive(Debug)]
pub struct Slots {
    max_running: u32,
    max_queued: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    arrivals: u64,
    /// Ordered by priority, then arrival.
    queue: BTreeMap<(u8, u64), oneshot::Sender<Slot>>,
}

/// One slot; dropping it passes it to the next attempt in the queue.
#[derive(Debug)]
pub struct Slot(Arc<Slots>);

/// Error: no slot is free, and the queue is full or was not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Slots {
    /// Creates a set of free slots.
    #[must_use]
    pub fn new(max_running: u32, max_queued: u32) -> Self {
        Self {
            max_running,
            max_queued,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of attempts that hold a slot and that wait for one.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let inner = self.lock();
        let queued = u32::try_from(inner.queue.len()).unwrap_or(u32::MAX);
        (inner.running, queued)
    }

    /// Takes a slot without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if no slot is free.
    pub fn try_take(self: &Arc<Self>) -> Result<Slot, Full> {
        let mut inner = self.lock();
        if inner.running >= self.max_running {
            return Err(Full);
        }
        inner.running += 1;
        Ok(Slot(self.clone()))
    }

    /// Takes a slot, waiting for it in order of priority.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the queue is full.
    pub async fn take(self: &Arc<Self>, priority: u8) -> Result<Slot, Full> {
        if let Ok(slot) = self.try_take() {
            return Ok(slot);
        }
        let (guard, rx) = self.enqueue(priority)?;
        let slot = rx.await.map_err(|_| Full);
        drop(guard);
        slot
    }

    fn enqueue(
        self: &Arc<Self>,
        priority: u8,
    ) -> Result<(QueueGuard, oneshot::Receiver<Slot>), Full> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        if inner.queue.len() >= self.max_queued as usize {
            return Err(Full);
        }
        inner.arrivals += 1;
        let position = (priority, inner.arrivals);
        inner.queue.insert(position, tx);
        let guard = QueueGuard {
            slots: self.clone(),
            position,
        };
        Ok((guard, rx))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut inner = self.0.lock();
            let next = inner.queue.pop_first();
            if next.is_none() {
                inner.running -= 1;
            }
            next
        };
        if let Some((_, tx)) = next {
            // If the waiting attempt was dropped meanwhile, the slot comes back, is dropped here
            // and passes to the next attempt.
            drop(tx.send(Slot(self.0.clone())));
        }
    }
}

/// Guard of a queue entry; removes it on drop, also if the attempt is cancelled.
struct QueueGuard {
    slots: Arc<Slots>,
    position: (u8, u64),
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let gone = self.slots.lock().queue.remove(&self.position);
        drop(gone);
    }
}
