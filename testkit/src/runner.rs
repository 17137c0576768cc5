//! Simulated model runner: an engine that holds layer ranges on an accelerator.
//!
//! Implements the interface of [`jacinthweir_wire::runner`]. The answer to a prompt is the pure
//! function of [`crate::text`]; computation is simulated by delays.
//!
//! - **Slots** ([`slots`]): an attempt holds one slot at each stage of its route from its start
//!   to its end. At the first stage it may wait for one, in order of priority, in a queue of
//!   bounded length; a later stage without a free slot refuses at once, since waiting there while
//!   holding a slot elsewhere can deadlock.
//! - **Batch** ([`batch`]): one loop. Each step lasts as long as its token-layers take, and every
//!   attempt in it advances by one token (a prefill by one chunk).
//! - **Route** ([`drive`], [`stage`]): before anything runs, a call with no tokens traverses the
//!   whole route and reserves the slots. A refusal or an unreachable stage in this phase
//!   results in [`jacinthweir_wire::runner::Refused`], which guarantees that nothing ran; after
//!   this phase an attempt can only break.
//! - **Attempts** ([`attempts`]): an attempt that was received or cancelled before is `Stale`, and
//!   each token index runs once in an attempt.
//! - **Caches**: prefixes, with delayed and lossy events ([`cache`]); KV of recent requests, for
//!   resumption and export ([`kv`]).
//! - **Load** ([`load`]): reports show the load of `load_lag_ms` ago.
//! - **Orders** ([`orders`]): loading layers takes time; a stale fencing token is refused if the
//!   runner checks it and accepted otherwise.
//!
//! # Admin interface, for tests only
//!
//! | call | meaning |
//! |---|---|
//! | `POST /admin/set` | body [`overrides::Overrides`]: fields that are present are set |
//! | `GET /admin/ran?take=BOOL` | [`execution_log::ExecutionLog`]; `take` also clears it |

pub mod attempts;
pub mod batch;
pub mod cache;
mod drive;
pub mod execution_log;
pub mod kv;
pub mod load;
pub mod orders;
pub mod overrides;
mod routes;
pub mod slots;
mod stage;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{HeldLayers, LayerRange};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::Result;
use crate::http::{Inject, serve, unix_ms};
use attempts::Attempts;
use batch::Batch;
use cache::PrefixCache;
use execution_log::ExecutionLog;
use kv::KvCache;
use load::Reports;
use orders::Orders;
use overrides::Overrides;
use slots::Slots;

/// Load sampling interval, in milliseconds.
const SAMPLE_MS: u64 = 20;

/// Settings of a simulated runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunnerCfg {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Runner name.
    pub name: Name,
    /// Incarnation; 0 selects the Unix time of the start, in milliseconds.
    pub incarnation: u64,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held at startup.
    pub holds: Vec<HeldLayers>,
    /// Throughput, in token-layers per second.
    pub token_layers_per_s: f64,
    /// Fixed overhead of each step, in microseconds.
    pub step_us: u64,
    /// Maximum number of attempts that hold a slot at the same time.
    pub max_running: u32,
    /// Maximum number of attempts that wait for a slot.
    pub max_queued: u32,
    /// Maximum prefill chunk per step, in tokens.
    pub prefill_chunk: u32,
    /// Cost of a prefill token relative to a generated one, in percent: engines process the
    /// tokens of a prefill in parallel.
    pub prefill_percent: u32,
    /// Link delay from this runner to the next stage, in microseconds.
    pub link_delay_us: u64,
    /// Timeout of a call to the next stage, in milliseconds.
    pub stage_timeout_ms: u64,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until cache events become visible, in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events that are lost, in percent.
    pub cache_gap_percent: u8,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// KV cache transfer rate between two runners, in bytes per second.
    pub kv_bytes_per_s: f64,
    /// Size of the KV cache of one token in one layer, in bytes.
    pub kv_bytes_per_token_layer: f64,
    /// Whether an order with a stale fencing token is refused.
    pub checks_fencing: bool,
    /// Time to load one layer, in milliseconds.
    pub load_ms_per_layer: u64,
    /// Maximum number of layers that fit in memory.
    pub max_layers: u32,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Behaviour overrides at startup.
    #[serde(rename = "knobs")]
    pub overrides: Overrides,
}

impl Default for RunnerCfg {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "runner".into(),
            incarnation: 0,
            accelerator: "reference".into(),
            holds: Vec::new(),
            token_layers_per_s: 50_000.0,
            step_us: 200,
            max_running: 32,
            max_queued: 64,
            prefill_chunk: 128,
            prefill_percent: 10,
            link_delay_us: 100,
            stage_timeout_ms: 5_000,
            load_lag_ms: 200,
            cache_lag_ms: 500,
            cache_gap_percent: 5,
            cache_blocks: 4_096,
            kv_bytes_per_s: 1e9,
            kv_bytes_per_token_layer: 4_096.0,
            checks_fencing: true,
            load_ms_per_layer: 50,
            max_layers: 64,
            seed: 1,
            overrides: Overrides::default(),
        }
    }
}

/// A running simulated runner; stops when its cancellation token is cancelled.
#[derive(Clone)]
pub struct Runner {
    /// Bound address.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Runner {
    /// Binds and serves until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(cfg: RunnerCfg, token: CancellationToken) -> Result<Self> {
        let listen = cfg.listen;
        let state = Arc::new(State::new(cfg, token.clone())?);
        let router = routes::router().hoop(Inject(state.clone()));
        let address = serve(listen, router, token.clone()).await?;
        tokio::spawn(batch::run(state.clone(), token.clone()));
        tokio::spawn(sample(state.clone(), token));
        Ok(Self { address, state })
    }

    /// Applies behaviour overrides.
    pub fn set(&self, overrides: &Overrides) {
        self.state.set(overrides);
    }

    /// Returns the current numbers of attempts that hold a slot and that wait for one, without lag.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        self.state.slots.load()
    }

    /// Returns the record of what was received and executed.
    #[must_use]
    pub fn execution_log(&self) -> ExecutionLog {
        self.state.lock().execution_log.clone()
    }
}

/// State shared by the handlers, the attempt drivers and the batch loop.
pub(crate) struct State {
    cfg: RunnerCfg,
    slots: Arc<Slots>,
    batch: Batch,
    client: reqwest::Client,
    token: CancellationToken,
    inner: Mutex<Inner>,
}

/// State guarded by the mutex.
pub(crate) struct Inner {
    overrides: Overrides,
    attempts: Attempts,
    execution_log: ExecutionLog,
    cache: PrefixCache,
    kv: KvCache,
    reports: Reports,
    orders: Orders,
    /// Token-layers executed since startup.
    done: f64,
}

impl State {
    fn new(mut cfg: RunnerCfg, token: CancellationToken) -> Result<Self> {
        if cfg.incarnation == 0 {
            cfg.incarnation = unix_ms();
        }
        let client = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .timeout(Duration::from_millis(cfg.stage_timeout_ms))
            .build()?;
        let inner = Inner {
            overrides: cfg.overrides.clone(),
            attempts: Attempts::default(),
            execution_log: ExecutionLog::new(cfg.name.clone()),
            cache: PrefixCache::new(&cfg),
            kv: KvCache::default(),
            reports: Reports::default(),
            orders: Orders::new(cfg.holds.clone()),
            done: 0.0,
        };
        Ok(Self {
            slots: Arc::new(Slots::new(cfg.max_running, cfg.max_queued)),
            batch: Batch::default(),
            client,
            token,
            inner: Mutex::new(inner),
            cfg,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, overrides: &Overrides) {
        log::info!("{}: set {overrides:?}", self.cfg.name);
        self.lock().overrides.merge(overrides);
        self.batch.wake();
    }

    /// Returns whether the layers are currently held.
    fn holds(&self, model: &Name, layers: LayerRange) -> bool {
        self.lock().orders.holds(model, layers)
    }
}

/// Samples the load and evicts idle and expired attempts until `token` is cancelled.
async fn sample(state: Arc<State>, token: CancellationToken) {
    let mut tick = tokio::time::interval(Duration::from_millis(SAMPLE_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while token.run_until_cancelled(tick.tick()).await.is_some() {
        load::sample(&state);
        let idle = state.lock().attempts.sweep();
        // Dropped outside the lock: releasing a slot wakes another attempt.
        drop(idle);
    }
}
