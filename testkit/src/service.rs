//! Stand-in for a plain service, such as the bookings.
//!
//! `POST /call/{call}` runs the call and answers 200 with a [`CallAnswer`]; request and attempt
//! headers of [`jacinthweir_wire::header`] come back as they were sent. A refusal before anything
//! ran is 503 with the header `jacinthweir-ran: no`. Each run is written down before its answer
//! goes out, so the witness counts a call whose answer is lost.
//!
//! The service itself repeats whatever it is told to: it does not look at the idempotency key.
//! That is what makes it a witness of what the router let through.
//!
//! # Admin interface, for tests only
//!
//! | call | meaning |
//! |---|---|
//! | `POST /admin/set` | body [`Knobs`]: fields that are present are set |
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
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Instance name.
    pub name: Name,
    /// How it behaves at the start.
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

/// How the service behaves; absent: unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Knobs {
    /// Time a call takes before it runs, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Time a call takes between its run and its answer, in milliseconds.
    pub answer_delay_ms: Option<u64>,
    /// The next calls run, but their connections are closed with no answer.
    pub lose_answers: Option<u32>,
    /// The next calls are cut off before they run, with no answer.
    pub cut_before: Option<u32>,
    /// Whether calls are refused.
    pub refuse: Option<bool>,
    /// Whether the service is leaving: it refuses new calls.
    pub leaving: Option<bool>,
}

impl Knobs {
    /// Sets what `other` sets.
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
    /// Number of the run at this instance, from 1.
    pub run: u64,
    /// Body of the call.
    pub echo: String,
}

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanCall {
    /// Number of the run at this instance, from 1.
    pub run: u64,
    /// Instance that ran it.
    pub service: Name,
    /// Call.
    pub call: String,
    /// Request id, as the header said.
    pub request: Option<Name>,
    /// Attempt number, as the header said.
    pub attempt: Option<u32>,
    /// Idempotency key, as the header said.
    pub key: Option<String>,
    /// Body.
    pub body: String,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// A running stand-in service; ends with its cancellation token.
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
    /// Where the address can't be bound.
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

    /// Changes how it behaves.
    pub fn set(&self, knobs: &Knobs) {
        self.state.lock().knobs.merge(knobs);
    }

    /// What ran so far, oldest first.
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

/// What the lock guards.
pub(crate) struct Inner {
    knobs: Knobs,
    ran: Vec<RanCall>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
