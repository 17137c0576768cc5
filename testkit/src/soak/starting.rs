//! Plays the faults around the starts of instances.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::OwnedMutexGuard;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::instance::Instance;
use super::observed::Target;
use super::start_fault::{Holder, StartFault};
use super::{GRACE, INSTANCES, Soak, ip};
use crate::Result;

/// Time between SIGTERM and the start of a successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(200);

/// Time after a start at which its settings are whole.
const SETTINGS_DELAY: Duration = Duration::from_millis(300);

/// Last part of the loopback address to which outgoing connections lead that take others' addresses.
const HOLDER_HOST: u8 = 3;

/// Sets the draws of targets apart from those of the other faults.
const TARGET_STREAM: u64 = 3;

/// Attempts to take an address, and time between them: connections of a killed process may linger.
const HOLD_ATTEMPTS: usize = 20;
const HOLD_INTERVAL: Duration = Duration::from_millis(10);

impl Soak {
    /// Plays the faults of the plan from `begun_ms` on, and waits for them.
    pub(super) async fn play_starts(self: Arc<Self>, begun_ms: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.cfg.seed);
        rng.set_stream(TARGET_STREAM);
        let tasks = TaskTracker::new();
        for step in self.cfg.plan.starts.clone() {
            let wait_ms = (begun_ms + step.at_ms).saturating_sub(self.pool.record.now());
            sleep(Duration::from_millis(wait_ms)).await;
            let slots = choose(step.fault, &mut rng);
            log::info!("{}: {slots:?}", step.fault);
            let late_ms = slots.iter().map(|_| rng.random_range(0..2_000)).collect();
            let soak = Arc::clone(&self);
            tasks.spawn(async move { soak.inject_start(step.fault, slots, late_ms).await });
        }
        tasks.close();
        tasks.wait().await;
    }

    async fn inject_start(
        self: Arc<Self>,
        fault: StartFault,
        slots: Vec<usize>,
        late_ms: Vec<u64>,
    ) {
        if let StartFault::KillAll { within_ms } = fault {
            return self.kill_all(within_ms, &late_ms).await;
        }
        let store_is_back = async {
            if let StartFault::StoreAway { for_ms, .. } = fault {
                self.take_store_away(for_ms).await;
            }
        };
        let each = slots.into_iter().map(|slot| self.inject_one(fault, slot));
        tokio::join!(store_is_back, join_all(each));
    }

    async fn inject_one(&self, fault: StartFault, slot: usize) {
        let mut instance = Arc::clone(&self.instances[slot]).lock_owned().await;
        instance.spec_mut().seeds = self.seeds();
        let from = self.pool.record.now();
        let done = match fault {
            StartFault::HangUp { .. } => {
                instance.wait_for_runtime().await;
                if let Err(e) = instance.process().hang_up() {
                    log::error!("{fault}, slot {slot}: {e}");
                }
                return;
            }
            StartFault::HangUpAtStart { after_ms, .. } => {
                hang_up_at_start(&mut instance, after_ms).await
            }
            StartFault::Succeed => succeed(instance).await,
            StartFault::AddressTaken {
                listener,
                by,
                for_ms,
            } => restart_beside(instance, listener, by, for_ms).await,
            StartFault::PartialSettings { percent } => {
                start_with_part(&mut instance, percent).await
            }
            StartFault::KillAll { .. } | StartFault::StoreAway { .. } => instance.restart().await,
        };
        self.pool.record.disturbed(Target::Instance(slot), from);
        if let Err(e) = done {
            log::error!("{fault}, slot {slot}: {e}");
        }
    }

    /// Kills all instances at the same moment, and starts each again after a while of its own.
    async fn kill_all(&self, within_ms: u64, late_ms: &[u64]) {
        let mut all = Vec::new();
        for instance in &self.instances {
            all.push(instance.lock().await);
        }
        let from = self.pool.record.now();
        let kills = all.iter_mut().map(|instance| instance.kill());
        join_all(kills).await;
        let starts = all.into_iter().zip(late_ms).enumerate();
        let starts = starts.map(|(slot, (mut instance, late_ms))| async move {
            sleep(Duration::from_millis(late_ms % within_ms)).await;
            instance.spec_mut().seeds = self.seeds();
            let started = instance.restart().await;
            self.pool.record.disturbed(Target::Instance(slot), from);
            started
        });
        for started in join_all(starts).await {
            if let Err(e) = started {
                log::error!("after all were killed: {e}");
            }
        }
    }

    async fn take_store_away(&self, for_ms: u64) {
        let from = self.pool.record.now();
        self.pool.store.go_away(Duration::from_millis(for_ms)).await;
        self.pool.record.disturbed(Target::Store, from);
    }
}

/// Returns the instances that a fault is for.
fn choose(fault: StartFault, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let count = match fault {
        StartFault::HangUp { count }
        | StartFault::HangUpAtStart { count, .. }
        | StartFault::StoreAway { count, .. } => count,
        StartFault::KillAll { .. } => INSTANCES,
        StartFault::Succeed
        | StartFault::AddressTaken { .. }
        | StartFault::PartialSettings { .. } => 1,
    };
    (0..INSTANCES).sample(rng, count)
}

async fn hang_up_at_start(instance: &mut Instance, after_ms: u64) -> Result<()> {
    instance.restart().await?;
    instance.wait_for_runtime().await;
    // Even the shortest sleep is longer than a program needs until its own handlers stand.
    if after_ms > 0 {
        sleep(Duration::from_millis(after_ms)).await;
    }
    instance.process().hang_up()
}

/// Starts a successor beside an instance that is shutting down. What ends meanwhile is started again.
async fn succeed(mut instance: OwnedMutexGuard<Instance>) -> Result<()> {
    instance.terminate().await?;
    sleep(SUCCESSOR_DELAY).await;
    let mut predecessor = instance.succeed()?;
    drop(instance);
    predecessor.wait_for_end(GRACE).await
}

/// Starts an instance again while an address of its is taken. What ends meanwhile is started again.
async fn restart_beside(
    mut instance: OwnedMutexGuard<Instance>,
    listener: usize,
    by: Holder,
    for_ms: u64,
) -> Result<()> {
    instance.kill().await?;
    let held = hold(instance.spec().listen(listener), by).await;
    instance.restart().await?;
    drop(instance);
    let _held = held?;
    sleep(Duration::from_millis(for_ms)).await;
    Ok(())
}

/// Starts an instance with the first part of its settings, and completes them.
async fn start_with_part(instance: &mut Instance, percent: usize) -> Result<()> {
    instance.kill().await?;
    instance.spec().write_settings(false)?;
    let path = instance.spec().settings_path();
    let whole = std::fs::read(&path)?;
    std::fs::write(&path, &whole[..whole.len() * percent / 100])?;
    instance.start_again()?;
    sleep(SETTINGS_DELAY).await;
    instance.spec().write_settings(false)
}

/// What holds an address until it is dropped.
enum Held {
    Listener {
        _listener: TcpListener,
    },
    Connection {
        _stream: TcpStream,
        _target: TcpListener,
    },
}

async fn hold(address: SocketAddr, by: Holder) -> io::Result<Held> {
    let mut attempts = 1;
    loop {
        match try_hold(address, by).await {
            Err(_) if attempts < HOLD_ATTEMPTS => attempts += 1,
            done => return done,
        }
        sleep(HOLD_INTERVAL).await;
    }
}

async fn try_hold(address: SocketAddr, by: Holder) -> io::Result<Held> {
    match by {
        Holder::Listener => Ok(Held::Listener {
            _listener: TcpListener::bind(address).await?,
        }),
        Holder::Connection => {
            let target = TcpListener::bind(SocketAddr::from((ip(HOLDER_HOST), 0))).await?;
            let socket = TcpSocket::new_v4()?;
            // Reusing the address gets past connections of the killed process; not offering it for reuse
            // is what an outgoing connection does.
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.set_reuseaddr(false)?;
            let stream = socket.connect(target.local_addr()?).await?;
            Ok(Held::Connection {
                _stream: stream,
                _target: target,
            })
        }
    }
}
