//! Stand-in for the platform.
//!
//! Implements the interface of [`jacinthweir_wire::platform`]. Objects are kept in memory
//! ([`store`]). Versions come from one counter over all objects, so a version is also the
//! sequence number of a change, which a watch passes as `after`. The list of instances shows a
//! change only `lag_ms` after it was made ([`instances`]).
//!
//! Writes are applied atomically under one lock, so a call whose connection breaks took effect
//! either completely or not at all.
//!
//! # Admin interface, for tests only
//!
//! | call | meaning |
//! |---|---|
//! | `POST /admin/instances` | body [`admin::InstancesChange`] |
//! | `POST /admin/fault` | body [`fault::Fault`]: the fault injected into subsequent calls |
//! | `POST /admin/snapshot` | takes a snapshot of all objects |
//! | `POST /admin/restore` | restores the snapshot, versions included; 409 if there is none |
//! | `POST /admin/rates` | body [`rate::Rates`] |
//! | `GET /admin/counts` | [`admin::Counts`] |
//! | `GET /admin/objects` | `[Object]`: all objects, ordered by key |
//!
//! Admin calls are not counted, and faults do not apply to them.

pub mod admin;
pub mod fault;
pub mod instances;
pub mod rate;
mod routes;
pub mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::Result;
use crate::http::{Inject, serve};
use admin::Counts;
use fault::Fault;
use instances::Instances;
use rate::{Buckets, Rates};
use store::Store;

/// Settings of a stand-in platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformCfg {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Lag of the list of instances behind its changes, in milliseconds.
    pub lag_ms: u64,
    /// Rate limits.
    pub rates: Rates,
    /// Latency added to each call, in microseconds.
    pub latency_us: u64,
}

impl Default for PlatformCfg {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag_ms: 1_000,
            rates: Rates::default(),
            latency_us: 0,
        }
    }
}

/// A running stand-in platform; stops when its cancellation token is cancelled.
#[derive(Clone)]
pub struct Platform {
    /// Bound address.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Platform {
    /// Binds and serves until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(cfg: PlatformCfg, token: CancellationToken) -> Result<Self> {
        let listen = cfg.listen;
        let state = Arc::new(State::new(cfg));
        let router = routes::router().hoop(Inject(state.clone()));
        let address = serve(listen, router, token).await?;
        Ok(Self { address, state })
    }

    /// Changes the listed instances; the change is visible after the lag.
    pub fn set_instances(&self, change: admin::InstancesChange) {
        self.state.lock().instances.change(change);
    }

    /// Sets the fault injected into subsequent calls.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }

    /// Returns the call counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.lock().counts.clone()
    }
}

/// State shared by the handlers.
pub(crate) struct State {
    cfg: PlatformCfg,
    inner: Mutex<Inner>,
    /// Version of the newest change; wakes waiting watches.
    newest: watch::Sender<u64>,
    /// Number of fault changes; wakes hanging calls and waiting watches.
    faults: watch::Sender<u64>,
}

/// State guarded by the lock.
pub(crate) struct Inner {
    store: Store,
    snapshot: Option<Store>,
    instances: Instances,
    buckets: Buckets,
    counts: Counts,
    fault: Fault,
}

impl State {
    fn new(cfg: PlatformCfg) -> Self {
        let inner = Inner {
            store: Store::default(),
            snapshot: None,
            instances: Instances::new(cfg.lag_ms),
            buckets: Buckets::new(cfg.rates),
            counts: Counts::default(),
            fault: Fault::None,
        };
        Self {
            cfg,
            inner: Mutex::new(inner),
            newest: watch::channel(0).0,
            faults: watch::channel(0).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_fault(&self, fault: Fault) {
        log::info!("injecting fault {fault:?}");
        self.lock().fault = fault;
        self.faults.send_modify(|n| *n += 1);
    }

    /// Wakes waiting watches after a change.
    fn notify_watches(&self) {
        let newest = self.lock().store.newest();
        self.newest.send_replace(newest);
    }
}
