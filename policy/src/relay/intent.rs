//! The configuration in force: routes, services, organisations, limits.
//!
//! Invariant: the version in force of one process only grows. A stale read, a late watch event or
//! a store restored from an older copy cannot take it back.

use std::collections::BTreeMap;

use crate::prelude::*;

/// One version of what the operators declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    /// Version; grows with each change.
    pub version: u64,
    /// Routes by host; those of one host with the longest prefix first.
    pub routes: BTreeMap<Name, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Organisations by their keys; `None`: callers bear no keys.
    pub keys: Option<BTreeMap<Name, Organisation>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Begins the path; begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub class: CallClass,
    /// The longest that a caller may be kept waiting for the end, in milliseconds.
    pub timeout_ms: Millis,
    /// Time within which an answer has its full worth, in milliseconds.
    pub objective_ms: Millis,
    /// Longest pause between two events with which a stream still has its full worth, in
    /// milliseconds.
    pub pause_ms: Option<Millis>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services with the weights by which requests are split.
    pub split: Vec<(Name, u32)>,
    /// The most runners that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another run may go on after the last event seen.
        resumable: bool,
    },
}

impl CallClass {
    /// Whether a request that may have run may be sent once more.
    #[must_use]
    pub fn repeatable(self) -> bool {
        match self {
            CallClass::Idempotent => true,
            CallClass::NonIdempotent => false,
            CallClass::Stream { resumable } => resumable,
        }
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, CallClass::Stream { .. })
    }
}

/// A group of runners that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Present where runners hold ranges of a model's layers.
    pub engine: Option<Engine>,
}

/// What the runners of a service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Memory that a token of a request takes in all layers together, in bytes.
    pub token_bytes: f64,
    /// Tokens that a runner with the whole model has room for.
    pub room_tokens: f64,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
    /// Time of one token step of the whole model on a runner of pace 1, in milliseconds.
    pub step_ms: f64,
    /// Time to load the whole model, in milliseconds.
    pub load_ms: f64,
    /// Tokens that a prompt and an answer usually have.
    pub usual_tokens: (u32, u32),
    /// Accelerators by the name of their kind.
    pub kinds: BTreeMap<Name, Accelerator>,
}

/// An accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accelerator {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Time of a token step against pace 1.
    pub pace: f64,
}

impl Engine {
    /// Bytes that one token takes in one layer.
    #[must_use]
    pub fn token_layer_bytes(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1))
    }

    /// The most layers that a kind holds while `tokens` tokens have room beside them.
    #[must_use]
    pub fn layers_beside(&self, kind: &Accelerator, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + tokens * self.token_layer_bytes() / 1e6;
        let fit = (kind.memory_mb / per_layer).floor();
        (fit.max(0.0) as u32).min(self.layers)
    }

    /// Tokens that have room on a runner of `kind` that holds `held` layers and runs `used`.
    #[must_use]
    pub fn room(&self, kind: &Accelerator, held: u32, used: u32) -> f64 {
        let free_mb = kind.memory_mb - f64::from(held) * self.layer_mb;
        let per_token = self.token_layer_bytes() * f64::from(used.max(1)) / 1e6;
        (free_mb / per_token).max(0.0)
    }
}

/// Whose key a request bears.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: Name,
    /// Rank that goes before the route's, where there is one.
    pub priority: Option<u32>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may stand idle, in milliseconds.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    /// Before any configuration is known: what a small instance can hold many times over.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Intent {
    /// Brings the routes of each host into the order of lookups.
    pub fn sort_routes(&mut self) {
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// The route of a request: of the host's routes, the one with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Whose key `key` is; `Ok(None)` where the request needs none.
    ///
    /// # Errors
    /// The key is missing or nobody's.
    pub fn organisation(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Organisation>, UnknownKey> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        let known = key.and_then(|k| keys.get(k));
        match known {
            Some(org) => Ok(Some(org)),
            None if route.public => Ok(None),
            None => Err(UnknownKey),
        }
    }
}

/// The least time without an event after which callers give a stream up, in milliseconds, and the
/// same as multiples of the route's objective and longest pause.
const LEAST_PATIENCE_MS: Millis = 2_000;
const PATIENCE_OBJECTIVES: Millis = 4;
const PATIENCE_PAUSES: Millis = 8;

impl Route {
    /// Longest pause of a stream that its caller still takes for timely, in milliseconds.
    #[must_use]
    pub fn timely_pause_ms(&self) -> Millis {
        self.pause_ms.unwrap_or(self.objective_ms)
    }

    /// Time without an event after which callers give a stream up, in milliseconds.
    #[must_use]
    pub fn patience_ms(&self) -> Millis {
        let by_objective = self.objective_ms * PATIENCE_OBJECTIVES;
        let by_pause = self.timely_pause_ms() * PATIENCE_PAUSES;
        LEAST_PATIENCE_MS.max(by_objective).max(by_pause)
    }

    /// The service of a request, by a `draw` from 0 to 1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.split.iter().map(|(_, w)| w).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service)
    }
}

/// A request bears no key that any organisation holds.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display("no organisation holds this key")]
pub struct UnknownKey;

/// What came of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is in force now.
    Taken,
    /// It is the one in force.
    Same,
    /// A newer one is in force.
    Older {
        /// Version in force.
        in_force: u64,
    },
}

/// Whether a version that was read replaces the one in force.
#[must_use]
pub fn compare(in_force: Option<u64>, offered: u64) -> Offered {
    match in_force {
        Some(version) if version == offered => Offered::Same,
        Some(version) if version > offered => Offered::Older { in_force: version },
        _ => Offered::Taken,
    }
}
