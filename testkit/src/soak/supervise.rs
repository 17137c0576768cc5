//! Watches the processes of the instances from outside, and starts again what has ended, as a platform does.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::instance::{is_ready, resident_mb};
use super::observed::{Observed, Target};
use super::{INSTANCES, Soak};

/// Interval between two looks at a process.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

impl Soak {
    /// Watches all instances until `stop`.
    pub(super) fn supervise(self: &Arc<Self>, stop: &CancellationToken) {
        for slot in 0..INSTANCES {
            let (soak, token) = (Arc::clone(self), stop.clone());
            tokio::spawn(token.run_until_cancelled_owned(soak.restart_ended(slot)));
            let (soak, token) = (Arc::clone(self), stop.clone());
            tokio::spawn(token.run_until_cancelled_owned(soak.watch_readiness(slot)));
        }
        let (soak, token) = (Arc::clone(self), stop.clone());
        tokio::spawn(token.run_until_cancelled_owned(soak.watch_memory()));
    }

    /// Starts the instance in a slot again whenever it has ended. Faults hold the instance's lock while they
    /// have ended it themselves.
    async fn restart_ended(self: Arc<Self>, slot: usize) {
        loop {
            sleep(INTERVAL).await;
            let mut instance = self.instances[slot].lock().await;
            if !instance.has_ended() {
                continue;
            }
            let from = self.pool.record.now();
            sleep(RESTART_DELAY).await;
            instance.spec_mut().seeds = self.seeds();
            if let Err(e) = instance.restart().await {
                log::error!("slot {slot}: {e}");
            }
            self.pool.record.disturbed(Target::Instance(slot), from);
        }
    }

    /// Records when each process in a slot is ready. Beside its predecessor it can't be told apart.
    async fn watch_readiness(self: Arc<Self>, slot: usize) {
        loop {
            sleep(INTERVAL).await;
            let (address, life) = {
                let instance = self.instances[slot].lock().await;
                (instance.spec().ready(), instance.life())
            };
            let is_open = self.pool.record.with(|o| is_alone(o, slot, life));
            if is_open && is_ready(address).await {
                let now_ms = self.pool.record.now();
                self.pool
                    .record
                    .with(|o| o.lives[life].ready_ms = Some(now_ms));
            }
        }
    }

    async fn watch_memory(self: Arc<Self>) {
        loop {
            sleep(INTERVAL).await;
            self.pool.record.with(|o| {
                for life in o.lives.iter_mut().filter(|life| life.exit.is_none()) {
                    let mb = life.id.and_then(resident_mb);
                    life.most_mb = life.most_mb.max(mb.unwrap_or(0));
                }
            });
        }
    }
}

/// Returns whether a process is the only one of its slot, and not yet known to be ready.
fn is_alone(o: &Observed, slot: usize, life: usize) -> bool {
    let of_slot = o.lives.iter().filter(|l| l.instance == slot);
    let running = of_slot.filter(|l| l.exit.is_none()).count();
    running == 1 && o.lives[life].exit.is_none() && o.lives[life].ready_ms.is_none()
}
