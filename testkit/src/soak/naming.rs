//! Plays the faults of the store's contents, and the shares of processors.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::name_fault::NameFault;
use super::odd_object::OddName;
use super::{INSTANCES, Soak};

impl Soak {
    /// Plays the faults of the plan from `begun_ms` on, and waits for them.
    pub(super) async fn play_names(self: Arc<Self>, begun_ms: u64) {
        let steps = self.cfg.plan.names.as_ref().map(|n| n.steps.clone());
        let tasks = TaskTracker::new();
        for step in steps.unwrap_or_default() {
            let wait_ms = (begun_ms + step.at_ms).saturating_sub(self.pool.record.now());
            sleep(Duration::from_millis(wait_ms)).await;
            log::info!("{}", step.fault);
            let store = &self.pool.store;
            match step.fault {
                NameFault::Put(OddName { kind, name }, spec) => {
                    store.put(kind, &name, &spec.to_value());
                }
                NameFault::Remove(OddName { kind, name }) => store.remove(kind, &name),
                NameFault::Forget => store.forget(),
                NameFault::CutWatches => store.cut_watches(),
                NameFault::Share {
                    run_ms,
                    period_ms,
                    for_ms,
                } => {
                    let until_ms = self.pool.record.now() + for_ms;
                    let stop_ms = period_ms - run_ms;
                    for slot in 0..INSTANCES {
                        let soak = Arc::clone(&self);
                        tasks.spawn(async move {
                            while soak.pool.record.now() < until_ms {
                                soak.stand_still_once(slot, Duration::from_millis(stop_ms))
                                    .await;
                                sleep(Duration::from_millis(run_ms)).await;
                            }
                        });
                    }
                }
            }
        }
        tasks.close();
        tasks.wait().await;
    }

    /// Lets the instance in a slot stand still, unless another fault is doing something to it.
    async fn stand_still_once(&self, slot: usize, time: Duration) {
        let Ok(instance) = self.instances[slot].try_lock() else {
            return;
        };
        // A process that has ended meanwhile is for the supervision to see.
        let _ = instance.process().freeze().await;
        sleep(time).await;
        let _ = instance.process().wake();
    }
}
