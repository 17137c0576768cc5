//! Fault soak: real programs as processes of their own, under load and series of faults.
//!
//! The programs under test may be those of another checkout, so that several commits can be played
//! with the same seed. Stand-ins of the platform's store, of the runners and of callers run in this
//! process. The verdict is taken only from what callers and runners saw, and from the processes as they are
//! seen from outside ([`observed`], [`check`]).
//!
//! The same seed draws the same faults and the same load; what the processes make of them also
//! depends on the scheduler of the machine.

pub mod caller;
pub mod check;
pub mod fault;
mod inject;
pub mod instance;
pub mod message;
pub mod name_fault;
mod naming;
pub mod observed;
pub mod odd_object;
pub mod runner;
pub mod site;
pub mod start_fault;
mod starting;
pub mod store;
mod supervise;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::caller::Callers;
use self::check::{Violation, Window};
use self::fault::Plan;
use self::instance::{Instance, InstanceSpec, PEERS_PORT};
use self::observed::{End, Observed, Record};
use self::odd_object::OddName;
use self::runner::{Place, Pool, Runner};
use self::site::{ALL_KEYS, Site, USUAL_KEYS};
use self::store::Store;
use crate::Result;
use crate::relay::Link;

/// Instances.
pub const INSTANCES: usize = 6;

/// Time for chains to form before the load begins.
const WARM_UP: Duration = Duration::from_secs(5);

/// Time that is waited for the first starts.
const FIRST_START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of looking whether all instances are ready.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a shutdown may take.
const GRACE: Duration = Duration::from_secs(9);

/// Last part of the loopback addresses of the runners' entries, the instances' paths to the store and to
/// runners, and the instances.
const RUNNER_HOST: u8 = 1;
const FIRST_GATEWAY_HOST: u8 = 10;
const FIRST_INSTANCE_HOST: u8 = 100;

/// Port of the store, and of the first runner.
const STORE_PORT: u16 = 7_000;
const FIRST_RUNNER_PORT: u16 = 8_000;

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakCfg {
    /// Program under test.
    pub program: PathBuf,
    /// Whether it knows the setting `first_start`.
    pub knows_first_start: bool,
    /// Deployment.
    pub site: Site,
    /// Seed of faults and load.
    pub seed: u64,
    /// Duration of the load.
    pub length: Duration,
    /// Time within which an instance has to become ready while nothing holds up its start.
    pub ready_bound: Duration,
    /// Faults.
    pub plan: Plan,
    /// Folder for the logs of the instances.
    pub folder: PathBuf,
}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakResult {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Worst window of each service.
    pub windows: Vec<Window>,
    /// How many requests ended in which way.
    pub ends: BTreeMap<End, usize>,
    /// Everything that was seen.
    pub observed: Observed,
}

/// Plays a soak.
///
/// # Errors
/// Fails if an instance or a stand-in can't be started.
pub async fn run(cfg: SoakCfg) -> Result<SoakResult> {
    let soak = Soak::start(cfg).await?;
    soak.play().await
}

struct Soak {
    cfg: SoakCfg,
    pool: Arc<Pool>,
    runners: Vec<Arc<Runner>>,
    instances: Vec<Arc<AsyncMutex<Instance>>>,
    callers: Arc<Callers>,
    /// Instances started so far.
    started: Mutex<u8>,
}

/// Returns a loopback address of this process.
fn ip(host: u8) -> [u8; 4] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    [127, high.max(1), low, host]
}

/// Returns whether the last process of each instance is ready and goes on.
fn all_ready(o: &Observed) -> bool {
    (0..INSTANCES).all(|slot| {
        let mut of_slot = o.lives.iter().rev().filter(|l| l.instance == slot);
        of_slot
            .next()
            .is_some_and(|l| l.ready_ms.is_some() && l.exit.is_none())
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Soak {
    async fn start(cfg: SoakCfg) -> Result<Arc<Soak>> {
        let record = Arc::new(Record::default());
        let names = cfg.plan.names.as_ref();
        let keys = names.map_or(&USUAL_KEYS[..], |_| &ALL_KEYS[..]);
        let addresses = (0..INSTANCES).map(store_address).collect();
        let page_items = names.map(|n| n.page_items);
        let store = Store::bind(addresses, page_items, Arc::clone(&record)).await?;
        store.put("config", "main", &cfg.site.configuration(1, keys));
        for (OddName { kind, name }, spec) in names.iter().flat_map(|n| &n.before) {
            store.put(kind, name, &spec.to_value());
        }
        let pool = Arc::new(Pool {
            store,
            record: Arc::clone(&record),
            troubles: Mutex::default(),
            limits: Mutex::default(),
            links: (0..INSTANCES)
                .map(|_| watch::Sender::new(Link::Pass))
                .collect(),
            alive: watch::Sender::default(),
        });
        let places = places(cfg.site);
        let runners = places.iter().map(|place| {
            let seed = cfg.seed.wrapping_add(place.index as u64);
            Runner::spawn(place.clone(), Arc::clone(&pool), seed)
        });
        let callers = Arc::new(Callers::new(cfg.site, keys, record, cfg.seed));
        let mut soak = Soak {
            runners: runners.collect(),
            pool,
            instances: Vec::new(),
            callers,
            started: Mutex::default(),
            cfg,
        };
        for slot in 0..INSTANCES {
            let record = Arc::clone(&soak.pool.record);
            let instance = Instance::spawn(slot, soak.next_spec(slot), true, record)?;
            soak.instances.push(Arc::new(AsyncMutex::new(instance)));
        }
        Ok(Arc::new(soak))
    }

    /// Waits until all instances are ready, or long enough: what is late is judged later.
    async fn wait_until_ready(&self, timeout: Duration) {
        let until = Instant::now() + timeout;
        while !self.pool.record.with(|o| all_ready(o)) && Instant::now() < until {
            sleep(READY_INTERVAL).await;
        }
    }

    /// Tells callers where the instances are, once they are ready.
    async fn begin(&self) {
        self.wait_until_ready(FIRST_START_TIMEOUT).await;
        for (slot, instance) in self.instances.iter().enumerate() {
            let address = instance.lock().await.spec().callers();
            lock(&self.callers.addresses).insert(slot, address);
        }
        sleep(WARM_UP).await;
    }

    /// Returns what the next instance in a slot is started with. It has a name and address of its own.
    fn next_spec(&self, slot: usize) -> InstanceSpec {
        let mut started = lock(&self.started);
        let number = *started;
        *started += 1;
        let host = FIRST_INSTANCE_HOST + number;
        let places = places(self.cfg.site);
        InstanceSpec {
            program: self.cfg.program.clone(),
            folder: self.cfg.folder.clone(),
            name: format!("front-{number}"),
            domain: self.cfg.site.domains()[slot % 3],
            ip: ip(host),
            seeds: self.seeds(),
            store: store_address(slot),
            runner_addresses: places
                .iter()
                .map(|p| (p.address, p.gateways[slot]))
                .collect(),
            knows_first_start: self.cfg.knows_first_start,
        }
    }

    /// Returns addresses at which instances hear each other: of those that callers know, or of the first ones.
    fn seeds(&self) -> Vec<SocketAddr> {
        let known = lock(&self.callers.addresses);
        let hosts: Vec<IpAddr> = match known.is_empty() {
            true => (0..3).map(|n| ip(FIRST_INSTANCE_HOST + n).into()).collect(),
            false => known.values().map(SocketAddr::ip).collect(),
        };
        hosts
            .into_iter()
            .map(|host| (host, PEERS_PORT).into())
            .collect()
    }

    async fn play(self: Arc<Self>) -> Result<SoakResult> {
        let stop = CancellationToken::new();
        self.supervise(&stop);
        self.begin().await;
        let busy = Arc::new(AtomicBool::new(true));
        for _ in 0..self.cfg.plan.busy_threads {
            let busy = Arc::clone(&busy);
            std::thread::spawn(move || while busy.load(Ordering::Relaxed) {});
        }
        let Plan {
            rate, call_weight, ..
        } = self.cfg.plan;
        let load = Arc::clone(&self.callers).run(rate, call_weight, stop.clone());
        let load = tokio::spawn(load);
        for wave in self.cfg.plan.waves.clone() {
            let (callers, stop) = (Arc::clone(&self.callers), stop.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(wave.at_ms)).await;
                log::info!("{wave}");
                callers.run_lethal(wave, stop).await;
            });
        }
        let begun_ms = self.pool.record.now();
        let faults = TaskTracker::new();
        faults.spawn(Arc::clone(&self).play_starts(begun_ms));
        faults.spawn(Arc::clone(&self).play_names(begun_ms));
        let mut rng = ChaCha8Rng::seed_from_u64(self.cfg.seed);
        for step in self.cfg.plan.steps.clone() {
            let wait_ms = (begun_ms + step.at_ms).saturating_sub(self.pool.record.now());
            sleep(Duration::from_millis(wait_ms)).await;
            let chosen = self.choose(step.fault, &mut rng);
            let soak = Arc::clone(&self);
            faults.spawn(async move { soak.inject(step.fault, chosen).await });
        }
        let length_ms = millis(self.cfg.length);
        let left_ms = (begun_ms + length_ms).saturating_sub(self.pool.record.now());
        sleep(Duration::from_millis(left_ms)).await;
        faults.close();
        faults.wait().await;
        // The last starts have to be given the bound, too, before they can be judged.
        self.wait_until_ready(self.cfg.ready_bound + READY_INTERVAL)
            .await;
        stop.cancel();
        let _ = load.await;
        busy.store(false, Ordering::Relaxed);
        Ok(self.result())
    }

    fn result(&self) -> SoakResult {
        let until_ms = self.pool.record.now();
        let observed = self.pool.record.with(|o| Observed {
            ready_bound_ms: millis(self.cfg.ready_bound),
            until_ms,
            ..o.clone()
        });
        let mut ends = BTreeMap::new();
        for end in observed.sent.values().filter_map(|s| s.end) {
            *ends.entry(end).or_default() += 1;
        }
        SoakResult {
            violations: check::check(&observed),
            windows: check::densest_windows(&observed),
            ends,
            observed,
        }
    }
}

/// Returns the address of the machine at which the instance in a slot reaches the store and runners.
fn gateway(slot: usize) -> [u8; 4] {
    ip(FIRST_GATEWAY_HOST + slot as u8)
}

fn store_address(slot: usize) -> SocketAddr {
    (gateway(slot), STORE_PORT).into()
}

/// Returns addresses and places of all runners of a site.
fn places(site: Site) -> Vec<Place> {
    let runners = site.runners().into_iter().enumerate();
    let places = runners.map(|(index, (service, domain, card))| {
        let port = FIRST_RUNNER_PORT + u16::try_from(index).unwrap_or(0);
        Place {
            index,
            address: (ip(RUNNER_HOST), port).into(),
            gateways: (0..INSTANCES)
                .map(|slot| (gateway(slot), port).into())
                .collect(),
            service,
            domain,
            card,
        }
    });
    places.collect()
}
