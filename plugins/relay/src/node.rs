//! The shared state of the process.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jacinthweir_clients::buffers;
use jacinthweir_kernel::stats::Stats;
use jacinthweir_platform::store::Store;
use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::membership::{Membership, MembershipConfig};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::quarantine::Quarantine;
use jacinthweir_policy::relay::confirmation::ConfigConfirmation;
use jacinthweir_policy::relay::failure_reports::FailureReports;
use jacinthweir_policy::relay::intent::{self, Intent, VersionOrder};
use jacinthweir_policy::relay::lease::Lease;
use jacinthweir_policy::relay::load_shedding::{ReleaseRate, Shortage};
use jacinthweir_policy::relay::loads::LoadTable;
use jacinthweir_policy::relay::placement::Planner;
use jacinthweir_policy::relay::rate_limits::RunnerRateLimits;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};
use jacinthweir_policy::relay::shared_retry_budget::SharedRetryBudgetConfig;
use jacinthweir_policy::relay::store_watch::{
    Outdated, PeerProgress, RelayedUntil, RunnersProgress,
};
use jacinthweir_policy::retry_priority::RetryPriority;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::RelayError;
use crate::contention::Contention;
use crate::live_chains::Chains;
use crate::placer::Loading;
use crate::rejected_entries::RejectedEntries;
use crate::retry_budgets::RetryBudgets;
use crate::runner_changes;
use crate::runner_connections::RunnerConnections;
use crate::settings::RelaySettings;
use crate::shutdown::LastSteps;
use crate::start::LastCopy;
use crate::tasks::FailedTask;

/// Timeout of a call to the store. It usually answers within a few milliseconds, and within some
/// hundred when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval between exchange rounds, in milliseconds. It bounds the staleness of other instances'
/// loads; a lost instance disappears from entry answers after a few rounds.
pub(crate) const ROUND_MS: Millis = 300;

/// Peers that an instance exchanges with in each round.
const FANOUT: usize = 2;

/// Instances of a failure domain that exchange with other failure domains in one round.
const CROSS_DOMAIN_SENDERS: usize = 8;

/// Members that an exchange lists in a larger fleet than that.
pub(crate) const MAX_BEATS: usize = 32;

/// Duration of the placement lease without renewal, in milliseconds: three renewal intervals, and
/// short compared with the outage that a gap in a chain causes.
const LEASE_MS: Millis = 1_800;

/// How long an instance gossips that a runner is draining, in milliseconds. This exceeds the time
/// for which another instance's watch on the runners may be silent while it still exchanges with
/// its peers.
const DRAINING_RETENTION_MS: Millis = 10_000;

/// Shared state of one process.
pub struct Node {
    /// Settings.
    pub settings: RelaySettings,
    /// Unix time of the start, in milliseconds.
    pub incarnation: u64,
    /// Cancelled when the process shuts down.
    pub stop: CancellationToken,
    /// The task that ends the process, if any.
    pub(crate) failed_task: FailedTask,
    pub(crate) stats: Stats,
    pub(crate) store: Store,
    pub(crate) intent: RefCell<Option<Rc<Intent>>>,
    /// Store revision of the object that holds the configuration in force.
    pub(crate) configuration_revision: Cell<Option<Revision>>,
    pub(crate) config_confirmation: RefCell<ConfigConfirmation>,
    pub(crate) runners: RefCell<Runners>,
    /// Entries that name no runner to use.
    pub(crate) rejected_entries: RejectedEntries,
    /// Whether the most recently completed call to the store got an answer.
    pub(crate) reaches_store: Cell<bool>,
    /// Era of the store that this instance knows. A restore from an older copy begins a new era.
    pub(crate) era: Cell<Option<u64>>,
    /// Notified when the store has been restored from an older copy.
    pub(crate) store_restored: Notify,
    /// Highest revision of any runner's entry seen so far.
    pub(crate) runners_revision: Cell<Revision>,
    /// How far the runners' entries are known.
    pub(crate) runners_progress: Cell<RunnersProgress>,
    /// Failure reports of all instances about runners.
    pub(crate) failure_reports: RefCell<FailureReports>,
    pub(crate) runner_connections: RunnerConnections,
    /// When the paths to all runners that get requests were last checked, in milliseconds.
    pub(crate) paths_checked_ms: Cell<Millis>,
    /// Notified when dead and unreachable runners have to be probed at once.
    pub(crate) recovery_due: Notify,
    /// Rate limits that runners announced.
    pub(crate) rate_limits: RefCell<RunnerRateLimits>,
    /// What crashed runners.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Names of the store objects of crashes for which nothing is quarantined any more.
    pub(crate) obsolete_quarantines: RefCell<BTreeSet<String>>,
    /// Lifetimes of suspected runners that are being probed together with witnesses.
    pub(crate) probed_suspects: RefCell<BTreeSet<(Name, u64)>>,
    /// Runners known to be draining: identity, lifetime, and when this instance learned of it.
    pub(crate) draining_runners: RefCell<Vec<(Name, u64, Millis)>>,
    /// Notified when a change has to be gossiped before the next exchange.
    pub(crate) gossip_due: Notify,
    /// Newest configuration version known to peers.
    pub(crate) peer_versions: RefCell<PeerProgress<u64>>,
    /// Whether the configuration in force is outdated compared with the peers'.
    pub(crate) outdated: Cell<Outdated>,
    /// Newest revision of a runner's entry known to peers.
    pub(crate) peer_revisions: RefCell<PeerProgress<Revision>>,
    /// Notified when a peer has seen a newer state of the store.
    pub(crate) peer_ahead: Notify,
    /// Whether the runners have been listed since the start.
    pub(crate) runners_listed: Cell<bool>,
    /// Whether the last list of the runners lacked some that the store may have.
    pub(crate) runners_partial: Cell<bool>,
    pub(crate) last_copy: LastCopy,
    pub(crate) relayed_until: RefCell<RelayedUntil>,
    pub(crate) chains: RefCell<Chains>,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) lease: RefCell<Lease>,
    pub(crate) loading: RefCell<Loading>,
    /// Placement of each service.
    pub(crate) planners: RefCell<BTreeMap<Name, Planner>>,
    pub(crate) retry_budgets: RetryBudgets,
    /// Tokens of the requests that wait for room, in the order in which they are admitted.
    pub(crate) queue: RefCell<BTreeMap<(u32, u64), f64>>,
    /// Rate at which room is released.
    pub(crate) release_rate: RefCell<ReleaseRate>,
    pub(crate) shortage: RefCell<Shortage>,
    pub(crate) contention: Contention,
    /// Notified when room is released or chains change.
    pub(crate) room_freed: Notify,
    /// When chains are next checked for silence, in milliseconds.
    pub(crate) next_silence_check_ms: Cell<Millis>,
    /// Notified when a chain has to be checked before that.
    pub(crate) check_silence: Notify,
    /// Caller requests in progress, from their head until the last byte of their answer is sent.
    pub(crate) active: Rc<Cell<usize>>,
    pub(crate) draining: Cell<bool>,
    /// Last steps of the shutdown.
    pub(crate) last_steps: LastSteps,
    pub(crate) sequence: Cell<u64>,
    instances_seen: Cell<usize>,
    start: Duration,
    rng: RefCell<StdRng>,
}

impl Node {
    /// Opens the state of a process with `settings`.
    ///
    /// # Errors
    /// The metrics cannot be set up.
    pub fn open(settings: RelaySettings) -> Result<Rc<Node>, RelayError> {
        buffers::set_pool_bytes(settings.limits.buffer_bytes);
        let start = boot_time();
        let incarnation = unix_ms();
        let own = own_record(&settings, incarnation);
        let cfg = MembershipConfig {
            round_ms: ROUND_MS,
            fanout: FANOUT,
            cross_domain_senders: CROSS_DOMAIN_SENDERS,
            max_beats: MAX_BEATS,
            ..MembershipConfig::default()
        };
        let now = Now {
            mono_ms: 0,
            unix_ms: incarnation,
        };
        let retry_budget = retry_budget_config(&settings);
        let loads = LoadTable::new(settings.name.clone(), settings.failure_domain.clone());
        let loads = loads.with_retry_window(0, retry_budget.window_ms);
        let membership = Membership::new(own, settings.seeds.clone(), cfg, now);
        let node = Node {
            incarnation,
            stop: CancellationToken::new(),
            failed_task: FailedTask::default(),
            stats: Stats::open().map_err(RelayError::SetUp)?,
            store: Store::new(settings.store, STORE_TIMEOUT),
            intent: RefCell::default(),
            configuration_revision: Cell::default(),
            config_confirmation: RefCell::new(ConfigConfirmation::new(
                settings.bounds.revocation_ms,
            )),
            runners: RefCell::default(),
            reaches_store: Cell::new(false),
            era: Cell::default(),
            store_restored: Notify::new(),
            runners_revision: Cell::default(),
            runners_progress: Cell::default(),
            failure_reports: RefCell::default(),
            runner_connections: RunnerConnections::default(),
            paths_checked_ms: Cell::default(),
            recovery_due: Notify::new(),
            rate_limits: RefCell::new(RunnerRateLimits::started(0)),
            quarantine: RefCell::default(),
            obsolete_quarantines: RefCell::default(),
            probed_suspects: RefCell::default(),
            draining_runners: RefCell::default(),
            gossip_due: Notify::new(),
            peer_versions: RefCell::default(),
            outdated: Cell::default(),
            peer_revisions: RefCell::default(),
            peer_ahead: Notify::new(),
            runners_listed: Cell::new(false),
            runners_partial: Cell::new(false),
            last_copy: LastCopy::default(),
            relayed_until: RefCell::default(),
            chains: RefCell::default(),
            membership: RefCell::new(membership),
            loads: RefCell::new(loads),
            lease: RefCell::new(Lease::new(settings.name.clone(), LEASE_MS)),
            loading: RefCell::default(),
            planners: RefCell::default(),
            retry_budgets: RetryBudgets::new(retry_budget, settings.first_start),
            queue: RefCell::default(),
            rejected_entries: RejectedEntries::default(),
            release_rate: RefCell::default(),
            shortage: RefCell::default(),
            contention: Contention::new(settings.contention.clone()),
            room_freed: Notify::new(),
            next_silence_check_ms: Cell::new(0),
            check_silence: Notify::new(),
            active: Rc::default(),
            draining: Cell::new(false),
            last_steps: LastSteps::default(),
            sequence: Cell::new(0),
            instances_seen: Cell::new(0),
            start,
            rng: RefCell::new(StdRng::seed_from_u64(seed(&settings.name, incarnation))),
            settings,
        };
        Ok(Rc::new(node))
    }

    /// Returns the milliseconds since the start, by a clock that includes machine suspension.
    #[must_use]
    pub fn now(&self) -> Millis {
        let passed = boot_time().saturating_sub(self.start);
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns both clocks. The Unix time is derived from the boot-time clock, which includes
    /// suspension, since the time of day may be set forward or back by hours.
    pub(crate) fn clocks(&self) -> Now {
        let mono_ms = self.now();
        Now {
            mono_ms,
            unix_ms: self.incarnation + mono_ms,
        }
    }

    /// Returns the address at which this instance reaches the runner that the store lists at
    /// `listed`.
    pub(crate) fn runner_address(&self, listed: SocketAddr) -> SocketAddr {
        let translated = self.settings.runner_addresses.get(&listed);
        translated.copied().unwrap_or(listed)
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_f64(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    pub(crate) fn random_u32(&self) -> u32 {
        self.rng.borrow_mut().random()
    }

    /// Calls `f` with the random number generator.
    pub(crate) fn with_rng<T>(&self, f: impl FnOnce(&mut StdRng) -> T) -> T {
        f(&mut self.rng.borrow_mut())
    }

    /// Returns a request number that is unique within this process.
    pub(crate) fn next_sequence(&self) -> u64 {
        let next = self.sequence.get() + 1;
        self.sequence.set(next);
        next
    }

    /// Whether the runners of a service hold layers. Only these runners give reports.
    pub(crate) fn holds_layers(&self, service: &str) -> bool {
        let intent = self.intent.borrow();
        let spec = intent.as_ref().and_then(|i| i.services.get(service));
        spec.is_some_and(|s| s.engine.as_ref().is_some_and(|e| e.layers > 0))
    }

    /// The configuration in force.
    pub(crate) fn intent(&self) -> Option<Rc<Intent>> {
        self.intent.borrow().clone()
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub(crate) fn apply_configuration(&self, mut offered: Intent) {
        let in_force = self.intent.borrow().as_ref().map(|i| i.version);
        match intent::compare_versions(in_force, offered.version) {
            VersionOrder::Newer => {
                let version = offered.version;
                log::info!(version, before = in_force.unwrap_or(0); "configuration in force");
                metrics::gauge!("jacinthweir_configuration_version").set(version as f64);
                self.contention.configure(&mut offered);
                self.retry_budgets.open(offered.services.keys());
                *self.intent.borrow_mut() = Some(Rc::new(offered));
                let mut outdated = self.outdated.get();
                outdated.in_force(version, self.now());
                self.outdated.set(outdated);
                self.gossip_due.notify_one();
                runner_changes::note_misfits(self, self.runners.borrow().entries());
                self.rebuild_chains();
            }
            VersionOrder::Same => {}
            VersionOrder::Older { in_force } => {
                log::warn!(offered = offered.version, in_force; "ignoring an older configuration");
            }
        }
    }

    /// Whether requests with a key may be forwarded: the configuration is confirmed and current.
    pub(crate) fn may_serve(&self) -> bool {
        let now = self.now();
        let is_confirmed = self.config_confirmation.borrow().may_serve(now);
        self.intent.borrow().is_some() && is_confirmed && !self.outdated.get().is_outdated(now)
    }

    /// Whether this instance accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.get() && self.runners_listed.get() && self.may_serve()
    }

    /// Whether the shared retry budget of a service permits another retry.
    pub(crate) fn has_retry(&self, service: &Name, priority: RetryPriority) -> bool {
        let instances = self.peak_instances();
        let budgets = &self.retry_budgets;
        budgets.has_retry(service, self.now(), instances, priority)
    }

    /// Takes one retry out of the shared retry budget of a service.
    pub(crate) fn take_retry(&self, service: &Name, priority: RetryPriority) -> bool {
        let instances = self.peak_instances();
        let budgets = &self.retry_budgets;
        budgets.take_retry(service, self.now(), instances, priority)
    }

    /// Returns the number of live instances, this one included.
    pub(crate) fn live_instances(&self) -> usize {
        self.membership.borrow().live().count().max(1)
    }

    /// Records that a runner says in an answer that it is leaving. Its entry may say so later.
    pub(crate) fn runner_leaves(&self, runner: &RunnerEntry) {
        let RunnerEntry { id, born_ms, .. } = runner;
        if self.runners.borrow_mut().mark_draining(id, *born_ms) {
            log::info!(runner = id.as_ref(), born_ms; "runner says that it is leaving");
            self.note_draining(id, *born_ms);
            self.rebuild_chains();
        }
    }

    /// Records that a runner is draining, and gossips it.
    pub(crate) fn note_draining(&self, id: &Name, born_ms: u64) {
        let now = self.now();
        let mut draining = self.draining_runners.borrow_mut();
        draining.retain(|(_, _, at)| now < at + DRAINING_RETENTION_MS);
        if !draining.iter().any(|(i, b, _)| (i, *b) == (id, born_ms)) {
            draining.push((id.clone(), born_ms, now));
            self.gossip_due.notify_one();
        }
    }

    /// Returns the highest number of instances seen live at the same time. Unreachable instances
    /// may still be running and using the shared budgets.
    pub(crate) fn peak_instances(&self) -> usize {
        let live = self.membership.borrow().live().count();
        let most = self.instances_seen.get().max(live);
        self.instances_seen.set(most);
        most
    }

    /// Updates from the other instances' counts how much of their unused budget this one may use.
    pub(crate) fn update_retry_loans(&self) {
        let instances = self.peak_instances();
        let loads = self.loads.borrow();
        let budgets = &self.retry_budgets;
        budgets.update_loans(&loads, self.now(), instances);
    }
}

fn retry_budget_config(settings: &RelaySettings) -> SharedRetryBudgetConfig {
    let bounds = &settings.bounds;
    SharedRetryBudgetConfig {
        ratio: bounds.repeat_ratio,
        slack: bounds.repeat_slack,
        window_ms: bounds.repeat_window_ms(),
    }
}

fn own_record(settings: &RelaySettings, incarnation: u64) -> MemberState {
    let listen = &settings.listen;
    MemberState {
        name: settings.name.clone(),
        incarnation,
        heartbeat: 0,
        callers: listen.callers,
        peers: listen.peers,
        operators: listen.operators,
        domain: settings.failure_domain.clone(),
        phase: Phase::Joining,
        revision: 0,
        revision_since_ms: 0,
        in_flight: 0,
        capacity: settings.processor.capacity(),
    }
}

fn boot_time() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(t.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(t.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Returns the Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Returns a seed that differs between instances started in the same millisecond.
fn seed(name: &str, incarnation: u64) -> u64 {
    let fnv_step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(incarnation, fnv_step)
}
