//! Plays the faults of a plan on instances, runners and the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::fault::Fault;
use super::instance::Instance;
use super::observed::Target;
use super::runner::Trouble;
use super::{GRACE, INSTANCES, Soak, lock};
use crate::Result;
use crate::relay::Link;

impl Soak {
    /// Returns the targets of a fault.
    pub(super) fn choose(&self, fault: Fault, rng: &mut ChaCha8Rng) -> Vec<usize> {
        match fault {
            Fault::Runners { .. } | Fault::SilentStore { .. } => Vec::new(),
            Fault::CrashRunners { service, count, .. } | Fault::Limit { service, count, .. } => {
                let service = self.cfg.site.services()[service];
                let of_service = self.runners.iter().filter(|r| r.service() == service);
                of_service.map(|r| r.index()).sample(rng, count)
            }
            Fault::Kill { count } | Fault::Stop { count, .. } | Fault::Cut { count, .. } => {
                (0..INSTANCES).sample(rng, count)
            }
            Fault::ShutDown | Fault::Replace => (0..INSTANCES).sample(rng, 1),
        }
    }

    pub(super) async fn inject(self: Arc<Self>, fault: Fault, chosen: Vec<usize>) {
        log::info!("{fault}: {chosen:?}");
        match fault {
            Fault::Runners {
                service,
                behaviour,
                share,
                for_ms,
            } => {
                let service = self.cfg.site.services()[service];
                let trouble = Trouble { behaviour, share };
                lock(&self.pool.troubles).insert(service, trouble);
                sleep(Duration::from_millis(for_ms)).await;
                lock(&self.pool.troubles).remove(service);
            }
            Fault::CrashRunners { down_ms, .. } => {
                for index in chosen {
                    self.runners[index].crash(Duration::from_millis(down_ms));
                }
            }
            Fault::Limit { per_s, for_ms, .. } => {
                lock(&self.pool.limits).extend(chosen.iter().map(|index| (*index, per_s)));
                sleep(Duration::from_millis(for_ms)).await;
                lock(&self.pool.limits).retain(|index, _| !chosen.contains(index));
            }
            Fault::SilentStore { for_ms } => {
                let from = self.pool.record.now();
                self.pool
                    .store
                    .fall_silent(Duration::from_millis(for_ms))
                    .await;
                self.pool.record.disturbed(Target::Store, from);
            }
            Fault::Cut { hangs, for_ms, .. } => {
                let from = self.pool.record.now();
                self.set_links(&chosen, if hangs { Link::Hang } else { Link::Cut });
                sleep(Duration::from_millis(for_ms)).await;
                self.set_links(&chosen, Link::Pass);
                for slot in chosen {
                    self.pool.record.disturbed(Target::Paths(slot), from);
                }
            }
            Fault::Kill { .. } | Fault::Stop { .. } | Fault::ShutDown | Fault::Replace => {
                let tasks = TaskTracker::new();
                for slot in chosen {
                    let soak = Arc::clone(&self);
                    tasks.spawn(async move { soak.disturb(fault, slot).await });
                }
                tasks.close();
                tasks.wait().await;
            }
        }
    }

    fn set_links(&self, slots: &[usize], link: Link) {
        for slot in slots {
            self.pool.links[*slot].send_replace(link);
        }
    }

    /// Does something to the instance in a slot, after what is being done to it.
    async fn disturb(&self, fault: Fault, slot: usize) {
        let mut instance = self.instances[slot].lock().await;
        instance.spec_mut().seeds = self.seeds();
        let from = self.pool.record.now();
        let done = match fault {
            Fault::Stop { for_ms, .. } => stand_still(&instance, for_ms).await,
            Fault::ShutDown => shut_down(&mut instance).await,
            Fault::Replace => self.replace(&mut instance, slot).await,
            _ => instance.restart().await,
        };
        self.pool.record.disturbed(Target::Instance(slot), from);
        if let Err(e) = done {
            log::error!("{fault}, slot {slot}: {e}");
        }
    }

    /// Kills an instance and starts another one in its place.
    async fn replace(&self, instance: &mut Instance, slot: usize) -> Result<()> {
        let record = Arc::clone(&self.pool.record);
        let next = Instance::spawn(slot, self.next_spec(slot), false, record)?;
        let address: SocketAddr = next.spec().callers();
        let mut former = std::mem::replace(instance, next);
        lock(&self.callers.addresses).insert(slot, address);
        former.kill().await
    }
}

async fn shut_down(instance: &mut Instance) -> Result<()> {
    instance.terminate().await?;
    instance.wait_for_end(GRACE).await?;
    instance.restart().await
}

async fn stand_still(instance: &Instance, for_ms: u64) -> Result<()> {
    instance.process().freeze().await?;
    sleep(Duration::from_millis(for_ms)).await;
    instance.process().wake()
}
