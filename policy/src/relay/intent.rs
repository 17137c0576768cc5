//! The declared configuration: routes, services, organisations, limits.
//!
//! Invariant: the version in force in a process only increases. A stale read, a late watch event or
//! a store restored from an older copy cannot revert it.

use std::collections::BTreeMap;

use crate::prelude::*;

/// One version of the configuration that operators declare.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    pub routes: BTreeMap<Name, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Organisations by API key, or `None` if callers need no key.
    pub keys: Option<BTreeMap<Name, Organisation>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// A route for the requests of a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Which requests may be retried.
    pub class: CallClass,
    /// Maximum time until an answer is complete, in milliseconds.
    pub timeout_ms: Millis,
    /// Latency objective for an answer, in milliseconds.
    pub objective_ms: Millis,
    /// Objective for the inter-token gap of a stream, in milliseconds; the latency objective applies
    /// if there is none.
    pub pause_ms: Option<Millis>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services and the weights by which requests are split among them.
    pub split: Vec<(Name, u32)>,
    /// Maximum number of runners that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Whether and how requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another run may continue after the last event that was received.
        resumable: bool,
    },
}

impl CallClass {
    /// Returns whether a request that may have run may be retried.
    #[must_use]
    pub fn repeatable(self) -> bool {
        match self {
            CallClass::Idempotent => true,
            CallClass::NonIdempotent => false,
            CallClass::Stream { resumable } => resumable,
        }
    }

    /// Returns whether answers are streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, CallClass::Stream { .. })
    }
}

/// A group of runners that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Present if the runners hold ranges of a model's layers.
    pub engine: Option<Engine>,
}

/// The model of a service and the performance figures of its runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// KV-cache memory of one token in all layers together, in bytes.
    pub token_bytes: f64,
    /// KV-cache capacity of a runner with the complete model, in tokens; also the target room of a
    /// chain.
    pub room_tokens: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Time of one token step of the complete model on a runner of pace 1, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a token step for each request of the batch, in milliseconds.
    pub request_step_ms: f64,
    /// Additional time of a token step for each token of the batch's contexts, in milliseconds.
    pub context_step_ms: f64,
    /// Time to load the complete model, in milliseconds.
    pub load_ms: f64,
    /// Typical number of tokens in a prompt and in an answer.
    pub usual_tokens: (u32, u32),
    /// Accelerators by kind.
    pub kinds: BTreeMap<Name, Accelerator>,
    /// Objective for the chains of a failure domain. It is not declared: each instance sets it when it
    /// puts a configuration in force.
    pub chain_objective: ChainObjective,
}

/// What the set of chains of a failure domain is chosen for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChainObjective {
    /// The cheapest chain first.
    #[default]
    Fastest,
    /// The largest throughput of all chains together.
    Throughput,
}

/// An accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accelerator {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Time of a token step relative to a runner of pace 1.
    pub pace: f64,
}

impl Engine {
    /// Returns the time of a token step with `tokens` tokens of requests in the batch, relative to
    /// the step of a single request.
    #[must_use]
    pub fn batch_slowdown(&self, tokens: f64) -> f64 {
        let (prompt, answer) = self.usual_tokens;
        let requests = tokens / f64::from(prompt + answer).max(1.0);
        let added_ms = self.request_step_ms * requests + self.context_step_ms * tokens;
        1.0 + added_ms / self.step_ms.max(f64::MIN_POSITIVE)
    }

    /// Returns the KV-cache memory of one token in one layer, in bytes.
    #[must_use]
    pub fn token_layer_bytes(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1))
    }

    /// Returns the maximum number of layers on a runner of `kind` that leaves room for `tokens` tokens.
    #[must_use]
    pub fn layers_beside(&self, kind: &Accelerator, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + tokens * self.token_layer_bytes() / 1e6;
        let fit = (kind.memory_mb / per_layer).floor();
        (fit.max(0.0) as u32).min(self.layers)
    }

    /// Returns the room in tokens on a runner of `kind` that holds `held` layers and runs `used`.
    #[must_use]
    pub fn room(&self, kind: &Accelerator, held: u32, used: u32) -> f64 {
        let free_mb = kind.memory_mb - f64::from(held) * self.layer_mb;
        let per_token = self.token_layer_bytes() * f64::from(used.max(1)) / 1e6;
        (free_mb / per_token).max(0.0)
    }
}

/// The organisation that an API key belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: Name,
    /// Priority that overrides the route's, if any.
    pub priority: Option<u32>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before any configuration is known: small enough for many
    /// concurrent requests on a small instance.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Intent {
    /// Sorts the routes of each host into lookup order.
    pub fn sort_routes(&mut self) {
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// Returns the engine of a service whose runners hold layers.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        let engine = self.services.get(service)?.engine.as_ref();
        engine.filter(|e| e.layers > 0)
    }

    /// Returns the route of a request: the one of the host with the longest matching prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.routes_of(host)?.iter();
        routes.find(|r| r.takes(path))
    }

    /// Returns the routes of a host. The case of its letters means nothing, unless the configuration tells
    /// hosts apart by it.
    fn routes_of(&self, host: &str) -> Option<&Vec<Route>> {
        let mut others = self.routes.iter();
        self.routes.get(host).or_else(|| {
            let same = others.find(|(other, _)| other.eq_ignore_ascii_case(host));
            same.map(|(_, routes)| routes)
        })
    }

    /// Returns the organisation that `key` belongs to, or `Ok(None)` if the request needs no key.
    ///
    /// # Errors
    /// The key is missing or unknown.
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

/// Time without an event after which callers are expected to abandon a stream: the minimum in
/// milliseconds, and the multiples of the route's latency objective and gap objective.
const MIN_ABANDON_MS: Millis = 2_000;
const ABANDON_OBJECTIVES: Millis = 4;
const ABANDON_GAPS: Millis = 8;

/// ASCII characters that no path of an address holds, so that callers escape them.
const NOT_IN_PATHS: &[u8] = b" \"#<>?[\\]^`{|}";

/// Number of bytes of an escape, such as `%20`.
const ESCAPE_BYTES: usize = 3;

/// Removes `byte` from the beginning of a path, or its escape if paths do not hold it.
fn strip_byte(path: &[u8], byte: u8) -> Option<&[u8]> {
    if let Some(rest) = path.strip_prefix(&[byte]) {
        return Some(rest);
    }
    let is_escaped = !byte.is_ascii_graphic() || NOT_IN_PATHS.contains(&byte);
    let (escape, rest) = path.split_at_checked(ESCAPE_BYTES)?;
    let is_same = is_escaped && escape.eq_ignore_ascii_case(format!("%{byte:02x}").as_bytes());
    is_same.then_some(rest)
}

impl Route {
    /// Returns whether `path` begins with the prefix. Bytes of the prefix that no path holds may be escaped.
    #[must_use]
    pub fn takes(&self, path: &str) -> bool {
        let mut prefix = self.prefix.bytes();
        prefix.try_fold(path.as_bytes(), strip_byte).is_some()
    }

    /// Returns the largest inter-token gap that is still in time, in milliseconds.
    #[must_use]
    pub fn max_gap_ms(&self) -> Millis {
        self.pause_ms.unwrap_or(self.objective_ms)
    }

    /// Returns the time without an event after which callers are expected to abandon a stream, in
    /// milliseconds.
    #[must_use]
    pub fn abandon_after_ms(&self) -> Millis {
        let by_objective = self.objective_ms * ABANDON_OBJECTIVES;
        let by_gap = self.max_gap_ms() * ABANDON_GAPS;
        MIN_ABANDON_MS.max(by_objective).max(by_gap)
    }

    /// Returns the service for a request, by a random number `draw` from 0 to 1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&Name> {
        let total: f64 = self.split.iter().map(|(_, w)| f64::from(*w)).sum();
        let mut left = draw * total;
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service)
    }
}

/// The request has no key of any organisation.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display("no organisation holds this key")]
pub struct UnknownKey;

/// Comparison of a version that was read with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// It is newer and replaces the one in force.
    Newer,
    /// It is the one in force.
    Same,
    /// A newer one is in force.
    Older {
        /// Version in force.
        in_force: u64,
    },
}

/// Compares a version that was read with the one in force.
#[must_use]
pub fn compare_versions(in_force: Option<u64>, offered: u64) -> VersionOrder {
    match in_force {
        Some(version) if version == offered => VersionOrder::Same,
        Some(version) if version > offered => VersionOrder::Older { in_force: version },
        _ => VersionOrder::Newer,
    }
}
