//! Stand-in for a plain service, such as a booking service.
//!
//! `POST /call/{call}` runs the call and answers 200 with a [`CallAnswer`]; the request and attempt
//! headers of [`jacinthweir_wire::header`] are echoed. A call refused before it ran is answered
//! with 503 and the header `jacinthweir-ran: no`. Each run is recorded before its answer is sent,
//! so a call whose answer is lost is recorded too.
//!
//! The service ignores the idempotency key and runs every call it receives, so its record shows
//! any duplicate that the router lets through.
//!
//! # Admin interface, for tests only
//!
//! | call | meaning |
//! |---|---|
//! | `POST /admin/set` | body [`Knobs`]: sets the fields that are present |
//! | `GET /admin/ran` | `[RanCall]`, oldest first |

mod routes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::Result;
use crate::http::{Inject, serve};

/// Settings of a stand-in service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceCfg {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Instance name.
    pub name: Name,
    /// Initial behaviour.
    pub knobs: Knobs,
}

impl Default for ServiceCfg {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "service".into(),
            knobs: Knobs::default(),
        }
    }
}

/// Behaviour of the service; `None` leaves a setting unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Knobs {
    /// Delay before a call runs, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Delay between the run of a call and its answer, in milliseconds.
    pub answer_delay_ms: Option<u64>,
    /// Number of next calls that run, but whose connections are closed without an answer.
    pub lose_answers: Option<u32>,
    /// Number of next calls whose connections are closed before they run.
    pub cut_before: Option<u32>,
    /// Whether calls are refused.
    pub refuse: Option<bool>,
    /// Whether the service is leaving and therefore refuses new calls.
    pub leaving: Option<bool>,
}

impl Knobs {
    /// Overwrites the fields that `other` sets.
    fn merge(&mut self, other: &Self) {
        self.delay_ms = other.delay_ms.or(self.delay_ms);
        self.answer_delay_ms = other.answer_delay_ms.or(self.answer_delay_ms);
        self.lose_answers = other.lose_answers.or(self.lose_answers);
        self.cut_before = other.cut_before.or(self.cut_before);
        self.refuse = other.refuse.or(self.refuse);
        self.leaving = other.leaving.or(self.leaving);
    }
}

/// Answer of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Instance that ran it.
    pub service: Name,
    /// Call.
    pub call: String,
    /// Sequence number of the run on this instance, from 1.
    pub run: u64,
    /// Body of the call.
    pub echo: String,
}

/// Record of one run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanCall {
    /// Sequence number of the run on this instance, from 1.
    pub run: u64,
    /// Instance that ran it.
    pub service: Name,
    /// Call.
    pub call: String,
    /// Request id from the header.
    pub request: Option<Name>,
    /// Attempt number from the header.
    pub attempt: Option<u32>,
    /// Idempotency key from the header.
    pub key: Option<String>,
    /// Body.
    pub body: String,
    /// Unix time of the run, in milliseconds.
    pub at_ms: u64,
}

/// A running stand-in service; stops when its cancellation token is cancelled.
#[derive(Clone)]
pub struct Service {
    /// Bound address.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Service {
    /// Binds and serves until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(cfg: ServiceCfg, token: CancellationToken) -> Result<Self> {
        let listen = cfg.listen;
        let state = Arc::new(State {
            name: cfg.name,
            inner: Mutex::new(Inner {
                knobs: cfg.knobs,
                ran: Vec::new(),
            }),
        });
        let router = routes::router().hoop(Inject(state.clone()));
        let address = serve(listen, router, token).await?;
        Ok(Self { address, state })
    }

    /// Sets its behaviour.
    pub fn set(&self, knobs: &Knobs) {
        self.state.lock().knobs.merge(knobs);
    }

    /// Returns the calls that ran, oldest first.
    #[must_use]
    pub fn ran(&self) -> Vec<RanCall> {
        self.state.lock().ran.clone()
    }
}

/// State shared by the handlers.
pub(crate) struct State {
    name: Name,
    inner: Mutex<Inner>,
}

/// State guarded by the lock.
pub(crate) struct Inner {
    knobs: Knobs,
    ran: Vec<RanCall>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
