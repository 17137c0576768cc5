//! Places for attempts, and the queue before them.
//!
//! Invariant: `running` counts the [`Seat`]s that exist. A place that becomes free passes to the
//! first in the queue under the same lock, so no later arrival overtakes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Places of one runner.
#[derive(Debug)]
pub struct Seats {
    max_running: u32,
    max_queued: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    arrivals: u64,
    /// By priority, then arrival.
    queue: BTreeMap<(u8, u64), oneshot::Sender<Seat>>,
}

/// One place; dropping it gives it to the next in the queue.
#[derive(Debug)]
pub struct Seat(Arc<Seats>);

/// No place and no room in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Seats {
    /// Empty places.
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

    /// Attempts with a place, and those that wait for one.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let inner = self.lock();
        let queued = u32::try_from(inner.queue.len()).unwrap_or(u32::MAX);
        (inner.running, queued)
    }

    /// Takes a place at once, or not at all.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn try_take(self: &Arc<Self>) -> Result<Seat, Full> {
        let mut inner = self.lock();
        if inner.running >= self.max_running {
            return Err(Full);
        }
        inner.running += 1;
        Ok(Seat(self.clone()))
    }

    /// Takes a place, waiting for it in the order of priority.
    ///
    /// # Errors
    ///
    /// Where the queue is full.
    pub async fn take(self: &Arc<Self>, priority: u8) -> Result<Seat, Full> {
        if let Ok(seat) = self.try_take() {
            return Ok(seat);
        }
        let (waiting, rx) = self.enqueue(priority)?;
        let seat = rx.await.map_err(|_| Full);
        drop(waiting);
        seat
    }

    fn enqueue(self: &Arc<Self>, priority: u8) -> Result<(Waiting, oneshot::Receiver<Seat>), Full> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        if inner.queue.len() >= self.max_queued as usize {
            return Err(Full);
        }
        inner.arrivals += 1;
        let place = (priority, inner.arrivals);
        inner.queue.insert(place, tx);
        let waiting = Waiting {
            seats: self.clone(),
            place,
        };
        Ok((waiting, rx))
    }
}

impl Drop for Seat {
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
            // Where the waiting attempt has left meanwhile, the seat comes back, is dropped here
            // and passes on.
            drop(tx.send(Seat(self.0.clone())));
        }
    }
}

/// A place in the queue; leaves it also where the attempt is given up.
struct Waiting {
    seats: Arc<Seats>,
    place: (u8, u64),
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let gone = self.seats.lock().queue.remove(&self.place);
        drop(gone);
    }
}
