//! Load generator of a campaign.
//!
//! Sends streamed model requests and non-idempotent service calls. Some calls go to several
//! instances at once or are retried after a failure.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::CampaignCfg;
use super::recorder::Recorder;
use crate::caller::{ModelCall, Observation, ServiceCall};
use crate::fleet::deployment::Deployment;
use crate::history::record::{Submission, Work};
use crate::http::unix_ms;
use crate::{Caller, Fleet, Result, text};

/// Deadline of a model request, in milliseconds.
const MODEL_DEADLINE_MS: u64 = 15_000;
/// Deadline of a service call, in milliseconds.
const CALL_DEADLINE_MS: u64 = 4_000;
/// Maximum wait for any answer; a frozen instance does not answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(25);
/// Exclusive upper bound on the tokens requested for an answer.
const MAX_TOKENS: u32 = 48;
/// Maximum submissions of a failing call, with the concurrent first ones counted as one.
const CALL_TRIES: u32 = 3;

/// Parameters of the load generator.
pub struct LoadCfg {
    seed: u64,
    rate_per_s: f64,
    deployment: Deployment,
    instances: BTreeMap<SocketAddr, Name>,
    caller: Caller,
}

impl LoadCfg {
    /// Creates the parameters for a campaign on `fleet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be created.
    pub fn new(cfg: &CampaignCfg, fleet: &Fleet) -> Result<Self> {
        let instances = fleet.instances.iter();
        let caller = fleet.caller(cfg.deployment.organisations()[0])?;
        Ok(Self {
            seed: cfg.seed,
            rate_per_s: cfg.rate_per_s,
            deployment: cfg.deployment,
            instances: instances
                .map(|i| (i.listen.callers, i.name.clone()))
                .collect(),
            caller,
        })
    }
}

struct Load {
    cfg: LoadCfg,
    recorder: Arc<Recorder>,
    next: AtomicU64,
}

/// Sends requests until `stop` is cancelled, then waits for the outstanding answers.
pub async fn run(cfg: LoadCfg, recorder: Arc<Recorder>, stop: CancellationToken) {
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed ^ 0x10ad);
    let load = Arc::new(Load {
        cfg,
        recorder,
        next: AtomicU64::new(0),
    });
    let tasks = TaskTracker::new();
    while !stop.is_cancelled() {
        let wait = -(1.0 - rng.random::<f64>()).ln() / load.cfg.rate_per_s;
        tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        let load = Arc::clone(&load);
        let rng = ChaCha8Rng::seed_from_u64(rng.random());
        tasks.spawn(async move { load.send_one(rng).await });
    }
    tasks.close();
    tasks.wait().await;
}

/// A service call; all its submissions share the idempotency key and the body.
struct Call {
    idempotent: bool,
    key: Option<String>,
    body: String,
}

impl Load {
    async fn send_one(&self, mut rng: ChaCha8Rng) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        match rng.random_range(0..10) {
            0..6 => self.send_model_request(number, &mut rng).await,
            6..9 => self.send_call(number, true, &mut rng).await,
            _ => self.send_call(number, false, &mut rng).await,
        }
    }

    async fn send_model_request(&self, number: u64, rng: &mut ChaCha8Rng) {
        let prompt = format!(
            "Assess billet {number} of lot {} for a quartet.",
            self.cfg.seed
        );
        let max_tokens = rng.random_range(4..MAX_TOKENS);
        let call = ModelCall {
            pipeline: self.cfg.deployment.pipeline().into(),
            prompt: prompt.clone(),
            max_tokens,
            deadline_ms: Some(MODEL_DEADLINE_MS),
        };
        let expected = text::answer(&prompt, max_tokens);
        for at in self.addresses(rng).await {
            let sent_ms = unix_ms();
            let seen = with_answer_timeout(self.cfg.caller.complete(at, &call)).await;
            if seen.not_connected {
                continue;
            }
            self.record(number, at, sent_ms, Work::Model { expected }, seen);
            return;
        }
    }

    async fn send_call(&self, number: u64, keyed: bool, rng: &mut ChaCha8Rng) {
        let key = keyed.then(|| uuid::Uuid::now_v7().to_string());
        let body = format!(r#"{{"lot":{},"billet":{number}}}"#, self.cfg.seed);
        let call = Call {
            idempotent: false,
            key,
            body,
        };
        let concurrent = if keyed { rng.random_range(1..4) } else { 1 };
        let addresses = self.addresses(rng).await;
        let first = addresses.iter().take(concurrent);
        let first = first.map(|at| self.submit(number, *at, &call));
        let seen = futures::future::join_all(first).await;
        if !keyed || seen.iter().any(|s| s.outcome == Some(Outcome::Answered)) {
            return;
        }
        for at in addresses
            .iter()
            .cycle()
            .skip(concurrent)
            .take(CALL_TRIES as usize - 1)
        {
            tokio::time::sleep(Duration::from_millis(rng.random_range(10..800))).await;
            let seen = self.submit(number, *at, &call).await;
            if seen.outcome == Some(Outcome::Answered) {
                return;
            }
        }
    }

    async fn submit(&self, number: u64, at: SocketAddr, call: &Call) -> Observation {
        let submission = ServiceCall {
            service: self.cfg.deployment.service().into(),
            call: self.cfg.deployment.non_idempotent_call().into(),
            key: call.key.clone(),
            body: call.body.clone(),
            deadline_ms: Some(CALL_DEADLINE_MS),
        };
        let sent_ms = unix_ms();
        let seen = with_answer_timeout(self.cfg.caller.call(at, &submission)).await;
        if !seen.not_connected {
            let work = Work::Call {
                idempotent: call.idempotent,
                key: call.key.clone(),
                body: call.body.clone(),
            };
            self.record(number, at, sent_ms, work, seen.clone());
        }
        seen
    }

    /// Returns entry addresses, best first, from the first instance that answers.
    async fn addresses(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut entries: Vec<SocketAddr> = self.cfg.instances.keys().copied().collect();
        let start = rng.random_range(0..entries.len());
        entries.rotate_left(start);
        for at in entries {
            let entry = tokio::time::timeout(Duration::from_secs(1), self.cfg.caller.entry(at));
            if let Ok(Ok(entry)) = entry.await {
                return entry.addresses.into_iter().map(|a| a.address).collect();
            }
        }
        Vec::new()
    }

    fn record(&self, number: u64, at: SocketAddr, sent_ms: u64, work: Work, seen: Observation) {
        let instance = self.cfg.instances.get(&at).cloned();
        self.recorder.history().submissions.push(Submission {
            number,
            instance: instance.unwrap_or_else(|| at.to_string().into()),
            sent_ms,
            ended_ms: unix_ms(),
            work,
            seen,
        });
    }
}

/// Returns the observation of a caller that gives up after [`ANSWER_TIMEOUT`].
async fn with_answer_timeout(request: impl Future<Output = Observation>) -> Observation {
    let seen = tokio::time::timeout(ANSWER_TIMEOUT, request).await;
    seen.unwrap_or_else(|_| Observation {
        broken: Some("gave up waiting".into()),
        ..Observation::default()
    })
}
