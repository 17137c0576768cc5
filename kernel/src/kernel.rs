//! Shared state of an instance.

use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jacinthweir_clients::peer::PeerClient;
use jacinthweir_clients::platform::{HttpPlatform, Platform};
use jacinthweir_clients::runner::RunnerClient;
use jacinthweir_clients::service::ServiceClient;
use jacinthweir_policy::config::converge::{Convergence, ConvergenceConfig};
use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::membership::{Membership, MembershipConfig};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::quarantine::Quarantine;
use jacinthweir_policy::route::{Router, RouterConfig};
use jacinthweir_policy::time::Elapsed;
use jacinthweir_policy::upstreams::{Upstreams, UpstreamsConfig};
use jacinthweir_wire::caller::ErrorCode;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::config::{ConfigCell, InForce};
use crate::gate::Gate;
use crate::parts::Parts;
use crate::records::Records;
use crate::reply::Refusal;
use crate::stats::Stats;
use crate::{KernelError, Settings};

/// Gossip rounds that a joining instance waits for its peers before it relies on the platform
/// alone.
const JOIN_GRACE_ROUNDS: u64 = 4;

/// How long the platform must return an older head than the accepted one before the accepted one
/// is written back, in milliseconds. Stale reads resolve within this time.
const ROLLBACK_CONFIRM_MS: Millis = 2_000;

/// Retry delay for callers of an instance that cannot serve now, in milliseconds. Another instance
/// may be tried at once.
const RETRY_ELSEWHERE_MS: u64 = 1_000;

/// Shared state of an instance.
///
/// Locks are held for one decision at a time and never across an await point.
pub struct Kernel {
    /// Settings.
    pub settings: Settings,
    /// Clocks.
    pub clock: Clock,
    /// Unix time of the start, in milliseconds; distinguishes restarts of an instance.
    pub incarnation: u64,
    /// Metrics.
    pub stats: Stats,
    /// Cancelled when the instance exits, upon which all tasks return.
    pub stop: CancellationToken,
    /// Cancelled shortly before, when each open request gets its final answer.
    pub answers_due: CancellationToken,
    /// Tasks of the plug-ins.
    pub tasks: TaskTracker,
    /// Client for the platform.
    pub platform: Arc<dyn Platform>,
    /// Client for peers.
    pub peers: PeerClient,
    /// Client for model runners.
    pub runners: RunnerClient,
    /// Client for plain services.
    pub services: ServiceClient,
    /// Records of requests.
    pub records: Arc<Records>,
    /// The configuration in force.
    pub config: ConfigCell,
    /// Configuration parts served to peers.
    pub parts: Parts,
    /// Admission control.
    pub gate: Arc<Gate>,
    upstreams: Mutex<Upstreams>,
    pub(crate) quarantine: Mutex<Quarantine>,
    ready: AtomicBool,
    plugin_state: Mutex<BTreeMap<TypeId, Arc<dyn Any + Send + Sync>>>,
    router: Mutex<Router>,
    membership: Mutex<Membership>,
    convergence: Mutex<Convergence>,
    elapsed: Mutex<Elapsed>,
}

impl Kernel {
    /// Creates the shared state of an instance with `settings`.
    ///
    /// # Errors
    /// Returns an error if the metrics cannot be set up.
    pub fn open(settings: Settings) -> Result<Arc<Kernel>, KernelError> {
        let clock = Clock::open();
        let timing = &settings.timing;
        let platform_timeout = Duration::from_millis(settings.platform.timeout_ms);
        let platform = HttpPlatform::open(settings.platform.address, platform_timeout);
        let peer_timeout = Duration::from_millis(timing.peer_timeout_ms);
        let upstream_timeout = Duration::from_millis(timing.upstream_timeout_ms);
        let incarnation = clock.unix_ms();
        let kernel = Kernel {
            clock,
            incarnation,
            stats: Stats::open()?,
            stop: CancellationToken::new(),
            answers_due: CancellationToken::new(),
            tasks: TaskTracker::new(),
            platform: Arc::new(platform),
            peers: PeerClient::open(settings.tokens.peers.to_string(), peer_timeout),
            runners: RunnerClient::open(upstream_timeout),
            services: ServiceClient::open(),
            records: Arc::new(Records::open(settings.limits.records)),
            config: ConfigCell::default(),
            parts: Parts::default(),
            gate: Gate::open(clock),
            upstreams: Mutex::new(upstreams(&settings, clock)),
            quarantine: Mutex::default(),
            ready: AtomicBool::new(false),
            plugin_state: Mutex::default(),
            membership: Mutex::new(membership(&settings, incarnation, clock)),
            convergence: Mutex::new(convergence(&settings)),
            elapsed: Mutex::new(Elapsed::since(clock.reading())),
            router: Mutex::new(Router::new(RouterConfig::default())),
            settings,
        };
        Ok(Arc::new(kernel))
    }

    /// Returns the private state of a plug-in, keyed by type and created on first use.
    pub fn plugin_state<T: Any + Send + Sync>(&self, open: impl FnOnce() -> T) -> Arc<T> {
        let mut states = self
            .plugin_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let state = states
            .entry(TypeId::of::<T>())
            .or_insert_with(|| Arc::new(open()));
        let state = Arc::clone(state).downcast::<T>();
        state.expect("states are kept by their own type")
    }

    /// Locks and returns the router, which holds the route plan.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the membership state of the instances.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the convergence state of the configuration, which only the schema plug-in
    /// updates. Where both are needed, lock it before [`Kernel::membership`].
    pub fn convergence(&self) -> MutexGuard<'_, Convergence> {
        self.convergence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the milliseconds since the start, including time for which the machine was
    /// suspended. The convergence uses this clock.
    #[must_use]
    pub fn elapsed_ms(&self) -> Millis {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        elapsed.advance(self.clock.reading())
    }

    /// Locks and returns the state of the upstreams.
    pub fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the phase of this instance; a phase never goes back.
    pub fn set_phase(&self, phase: Phase) {
        self.membership().set_phase(phase);
    }

    /// Returns the peer listener's address of another instance.
    #[must_use]
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let membership = self.membership();
        let peer = membership.peers().find(|s| s.name.as_ref() == name)?;
        Some(peer.peers)
    }

    /// Returns the number of serving instances, including this one if it serves.
    #[must_use]
    pub fn live_instances(&self) -> usize {
        self.membership().live().count()
    }

    /// Returns the configuration to serve a request with.
    ///
    /// # Errors
    /// Returns `no_configuration`; nothing ran.
    pub fn serving_config(&self) -> Result<Arc<InForce>, Refusal> {
        let config = self.config.get();
        if let Some(config) = config.served()
            && config.may_serve(self.elapsed_ms())
        {
            return Ok(Arc::clone(config));
        }
        let msg = "this instance has no configuration that it can vouch for";
        let refusal = Refusal::not_run(ErrorCode::NoConfiguration, msg);
        Err(refusal.retry_after(RETRY_ELSEWHERE_MS))
    }

    /// Checks that the limit on requests in progress allows another one. The limit bounds the
    /// memory that requests take.
    ///
    /// # Errors
    /// Returns `overloaded`; nothing ran.
    pub fn check_request_limit(&self) -> Result<(), Refusal> {
        if self.records.counts().running < self.settings.limits.requests {
            return Ok(());
        }
        let refusal = Refusal::not_run(ErrorCode::Overloaded, "too many requests in progress");
        Err(refusal.retry_after(RETRY_ELSEWHERE_MS))
    }

    /// Marks this instance as knowing the upstreams, so that it may be listed to callers. Listed
    /// earlier, it would refuse requests for lack of a route plan that is about a second away.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// Returns whether this instance knows the upstreams.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns whether this instance is shutting down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.membership().own().state.phase >= Phase::Draining
    }

    /// Returns a new request id: the instance's name, a dot and a unique number.
    #[must_use]
    pub fn new_request_id(&self) -> Name {
        let number = uuid::Uuid::now_v7().simple();
        Name::from(format!("{}.{number}", self.settings.name))
    }

    /// Runs a task until it ends or the instance stops.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let _ = stop.run_until_cancelled(task).await;
        });
    }
}

fn convergence(settings: &Settings) -> Convergence {
    let cfg = ConvergenceConfig {
        own: settings.name.clone(),
        expects_peers: !settings.peers.is_empty(),
        join_grace_ms: JOIN_GRACE_ROUNDS * settings.timing.gossip_ms,
        unconfirmed_ms: settings.timing.unconfirmed_ms,
        rollback_confirm_ms: ROLLBACK_CONFIRM_MS,
    };
    Convergence::new(0, cfg)
}

fn membership(settings: &Settings, incarnation: u64, clock: Clock) -> Membership {
    let own = MemberState {
        name: settings.name.clone(),
        incarnation,
        heartbeat: 0,
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        operators: settings.listen.operators,
        domain: settings.failure_domain.clone(),
        phase: Phase::Joining,
        revision: 0,
        revision_since_ms: 0,
        in_flight: 0,
        capacity: 1_000,
    };
    let cfg = MembershipConfig {
        round_ms: settings.timing.gossip_ms,
        ..Default::default()
    };
    Membership::new(own, settings.peers.clone(), cfg, clock.reading())
}

fn upstreams(settings: &Settings, clock: Clock) -> Upstreams {
    let own = settings.name.clone();
    let domain = settings.failure_domain.clone();
    Upstreams::new(own, domain, UpstreamsConfig::default(), clock.reading())
}
