//! Stand-in for a model runner: an engine that holds layer ranges on an accelerator.
//!
//! It speaks the interface of [`jacinthweir_wire::runner`]. The answer to a prompt is the pure
//! function of [`crate::text`]; the work is only time.
//!
//! - **Places** ([`seats`]): an attempt holds one place at each stage of its route from its start
//!   to its end. At the first stage it may wait for one, in the order of priority, in a queue of
//!   bounded length; a later stage that has none refuses at once, since waiting there while
//!   holding a place elsewhere can deadlock.
//! - **Batch** ([`batch`]): one loop. Each step takes the time of its token-layers, and every
//!   attempt in it moves on by one token (a prefill by one chunk).
//! - **Route** ([`drive`], [`stage`]): before anything runs, a call with no tokens goes down the
//!   whole route and takes the places. A refusal, or a stage that can't be reached, up to there
//!   is a true [`jacinthweir_wire::runner::Refused`]; after it an attempt can only break.
//! - **Attempts** ([`attempts`]): an attempt that was seen or cancelled before is `Stale`, and
//!   each token index runs once in an attempt.
//! - **Caches**: prefixes with late and gappy events ([`cache`]); KV of lately seen requests, for
//!   a resume and for export ([`kv`]).
//! - **Load** ([`load`]): reports show the figures of `load_lag_ms` ago.
//! - **Orders** ([`orders`]): loads take time; an old fencing number is refused where the runner
//!   checks it and obeyed where it does not.
//!
//! # Admin interface, for tests only
//!
//! | call | meaning |
//! |---|---|
//! | `POST /admin/set` | body [`knobs::Knobs`]: fields that are present are set |
//! | `GET /admin/ran?take=BOOL` | [`witness::Witness`]; with `take`, what it lists is forgotten |

pub mod attempts;
pub mod batch;
pub mod cache;
mod drive;
pub mod knobs;
pub mod kv;
pub mod load;
pub mod orders;
mod routes;
pub mod seats;
mod stage;
pub mod witness;

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
use knobs::Knobs;
use kv::KvCache;
use load::Reports;
use orders::Orders;
use seats::Seats;
use witness::Witness;

/// Time between two samples of the load, in milliseconds.
const SAMPLE_MS: u64 = 20;

/// Settings of a stand-in runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunnerCfg {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Name.
    pub name: Name,
    /// Incarnation; 0: the Unix time of the start, in milliseconds.
    pub incarnation: u64,
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held at the start.
    pub holds: Vec<HeldLayers>,
    /// Token-layers a second.
    pub token_layers_per_s: f64,
    /// Time that each step takes besides, in microseconds.
    pub step_us: u64,
    /// Attempts that hold a place at the same time.
    pub max_running: u32,
    /// Attempts that wait for a place.
    pub max_queued: u32,
    /// Largest part of a prefill in one step, in tokens.
    pub prefill_chunk: u32,
    /// What a token of a prefill costs against a generated one, in percent: engines run the
    /// tokens of a prefill side by side.
    pub prefill_percent: u32,
    /// Time from this runner to the next stage, in microseconds.
    pub link_delay_us: u64,
    /// Longest call of the next stage, in milliseconds.
    pub stage_timeout_ms: u64,
    /// How old the reported load is, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events show, in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events that are lost, in percent.
    pub cache_gap_percent: u8,
    /// Prefix blocks that fit the cache.
    pub cache_blocks: usize,
    /// Bytes of KV cache a second between two runners.
    pub kv_bytes_per_s: f64,
    /// Size of the KV cache of one token in one layer, in bytes.
    pub kv_bytes_per_token_layer: f64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Time to load one layer, in milliseconds.
    pub load_ms_per_layer: u64,
    /// Most layers that fit the memory.
    pub max_layers: u32,
    /// Seed of what is random.
    pub seed: u64,
    /// How it behaves at the start.
    pub knobs: Knobs,
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
            knobs: Knobs::default(),
        }
    }
}

/// A running stand-in runner; ends with its cancellation token.
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
    /// Where the address can't be bound.
    pub async fn bind(cfg: RunnerCfg, token: CancellationToken) -> Result<Self> {
        let listen = cfg.listen;
        let state = Arc::new(State::new(cfg, token.clone())?);
        let router = routes::router().hoop(Inject(state.clone()));
        let address = serve(listen, router, token.clone()).await?;
        tokio::spawn(batch::run(state.clone(), token.clone()));
        tokio::spawn(sample(state.clone(), token));
        Ok(Self { address, state })
    }

    /// Changes how it behaves.
    pub fn set(&self, knobs: &Knobs) {
        self.state.set(knobs);
    }

    /// Attempts with a place, and those that wait for one, without any lag.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        self.state.seats.load()
    }

    /// What was received and what ran.
    #[must_use]
    pub fn witness(&self) -> Witness {
        self.state.lock().witness.clone()
    }
}

/// State shared by the handlers, the drivers and the batch loop.
pub(crate) struct State {
    cfg: RunnerCfg,
    seats: Arc<Seats>,
    batch: Batch,
    client: reqwest::Client,
    token: CancellationToken,
    inner: Mutex<Inner>,
}

/// What the lock guards.
pub(crate) struct Inner {
    knobs: Knobs,
    attempts: Attempts,
    witness: Witness,
    cache: PrefixCache,
    kv: KvCache,
    reports: Reports,
    orders: Orders,
    /// Token-layers done since the start.
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
            knobs: cfg.knobs.clone(),
            attempts: Attempts::default(),
            witness: Witness::new(cfg.name.clone()),
            cache: PrefixCache::new(&cfg),
            kv: KvCache::default(),
            reports: Reports::default(),
            orders: Orders::new(cfg.holds.clone()),
            done: 0.0,
        };
        Ok(Self {
            seats: Arc::new(Seats::new(cfg.max_running, cfg.max_queued)),
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

    fn set(&self, knobs: &Knobs) {
        log::info!("{}: set {knobs:?}", self.cfg.name);
        self.lock().knobs.merge(knobs);
        self.batch.wake();
    }

    /// Whether the layers are held now.
    fn holds(&self, model: &Name, layers: LayerRange) -> bool {
        self.lock().orders.holds(model, layers)
    }
}

/// Samples the load and forgets what is old, until `token` is cancelled.
async fn sample(state: Arc<State>, token: CancellationToken) {
    let mut tick = tokio::time::interval(Duration::from_millis(SAMPLE_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while token.run_until_cancelled(tick.tick()).await.is_some() {
        load::sample(&state);
        let idle = state.lock().attempts.sweep();
        // Dropped outside the lock: a place that is given back wakes another attempt.
        drop(idle);
    }
}
