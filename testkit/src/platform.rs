//! Stand-in for the platform's service.
//!
//! It speaks the interface of [`jacinthweir_wire::platform`]. Objects live in memory
//! ([`store`]); versions come from one counter over all objects, so a version is also the place
//! of a change in the order of all changes, which is what a watch passes as `after`. The list of
//! instances shows a change only `lag_ms` after it was made ([`instances`]).
//!
//! Writes are applied under one lock in one step, so a call whose connection breaks either took
//! effect whole or not at all.
//!
//! # Admin interface, for tests only
//!
//! | call | meaning |
//! |---|---|
//! | `POST /admin/instances` | body [`admin::InstancesChange`] |
//! | `POST /admin/fault` | body [`fault::Fault`]: how calls fail from now on |
//! | `POST /admin/snapshot` | keeps a copy of all objects |
//! | `POST /admin/restore` | goes back to that copy, versions included; 409 where there is none |
//! | `POST /admin/rates` | body [`rate::Rates`] |
//! | `GET /admin/counts` | [`admin::Counts`] |
//! | `GET /admin/objects` | `[Object]`, all of them, in the order of their keys |
//!
//! Admin calls are not counted and never fail by a fault.

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
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How long the list of instances lags behind, in milliseconds.
    pub lag_ms: u64,
    /// What it takes a second.
    pub rates: Rates,
    /// Time each call takes, in microseconds.
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

/// A running stand-in platform; ends with its cancellation token.
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
    /// Where the address can't be bound.
    pub async fn bind(cfg: PlatformCfg, token: CancellationToken) -> Result<Self> {
        let listen = cfg.listen;
        let state = Arc::new(State::new(cfg));
        let router = routes::router().hoop(Inject(state.clone()));
        let address = serve(listen, router, token).await?;
        Ok(Self { address, state })
    }

    /// Changes the listed instances; the list shows it after the lag.
    pub fn set_instances(&self, change: admin::InstancesChange) {
        self.state.lock().instances.change(change);
    }

    /// Sets how calls fail from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }

    /// What was called so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.lock().counts.clone()
    }
}

/// State shared by the handlers.
pub(crate) struct State {
    cfg: PlatformCfg,
    inner: Mutex<Inner>,
    /// Newest sequence, for waiting watches.
    newest: watch::Sender<u64>,
    /// Count of fault changes, for calls that hang or wait.
    faults: watch::Sender<u64>,
}

/// What the lock guards.
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
        log::info!("fault {fault:?}");
        self.lock().fault = fault;
        self.faults.send_modify(|n| *n += 1);
    }

    /// Tells waiting watches that something changed.
    fn changed(&self) {
        let newest = self.lock().store.newest();
        self.newest.send_replace(newest);
    }
}
