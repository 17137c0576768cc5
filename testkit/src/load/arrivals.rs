//! Seeded arrivals for an open-loop load.
//!
//! Arrivals form a Poisson process, as those of many independent callers do: inter-arrival times
//! are exponential and independent of answers. Large organisations send most of the requests. The
//! prompts of an organisation share one of a few long prefixes and have unique suffixes, so all
//! answers differ.

use jacinthweir_policy::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::caller::{ModelCall, ServiceCall};
use crate::fleet::deployment::Deployment;

/// Number of large organisations, which come first in a deployment's list.
const LARGE_ORGANISATIONS: usize = 4;
/// Number of distinct prompt prefixes per organisation.
const SHARED_PREFIXES: u32 = 3;

/// Parameters of the arrivals.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ArrivalsCfg {
    /// Seed of the random generator.
    pub seed: u64,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Duration over which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Share of requests that large organisations send, in percent.
    pub large_percent: u8,
    /// Share of requests that call the plain service, in percent.
    pub service_percent: u8,
    /// Length of a shared prefix, in bytes.
    pub prefix_bytes: usize,
    /// Minimum and maximum length of an answer, in tokens.
    pub tokens: (u32, u32),
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for ArrivalsCfg {
    fn default() -> Self {
        Self {
            seed: 1,
            rate_per_s: 20.0,
            duration_ms: 10_000,
            large_percent: 70,
            service_percent: 10,
            prefix_bytes: 512,
            tokens: (16, 64),
            deadline_ms: 20_000,
        }
    }
}

/// A request and its submission time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Submission time since the start, in microseconds.
    pub at_us: u64,
    /// Organisation that sends it.
    pub organisation: Name,
    /// Payload.
    pub ask: Ask,
}

/// Payload of a request.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Completion by a model.
    Model(ModelCall),
    /// Call of the plain service.
    Service(ServiceCall),
}

/// Returns all arrivals of a run in order of time; deterministic for the same settings.
#[must_use]
pub fn arrivals(deployment: Deployment, cfg: &ArrivalsCfg) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += interarrival_s(cfg.rate_per_s, &mut rng);
        let at_us = (at_s * 1e6) as u64;
        if at_us >= cfg.duration_ms * 1_000 {
            return arrivals;
        }
        let organisation = organisation(deployment, cfg, &mut rng);
        let ask = if rng.random_range(0..100) < cfg.service_percent {
            Ask::Service(service_call(deployment, cfg, &mut rng))
        } else {
            Ask::Model(model_call(deployment, cfg, organisation, &mut rng))
        };
        arrivals.push(Arrival {
            at_us,
            organisation: organisation.into(),
            ask,
        });
    }
}

fn interarrival_s(rate_per_s: f64, rng: &mut ChaCha8Rng) -> f64 {
    let draw: f64 = rng.random();
    -(1.0 - draw).ln() / rate_per_s
}

fn organisation(deployment: Deployment, cfg: &ArrivalsCfg, rng: &mut ChaCha8Rng) -> &'static str {
    let all = deployment.organisations();
    let large = rng.random_range(0..100) < cfg.large_percent;
    let range = if large {
        0..LARGE_ORGANISATIONS
    } else {
        LARGE_ORGANISATIONS..all.len()
    };
    all[rng.random_range(range)]
}

fn model_call(
    deployment: Deployment,
    cfg: &ArrivalsCfg,
    organisation: &str,
    rng: &mut ChaCha8Rng,
) -> ModelCall {
    let topic = rng.random_range(0..SHARED_PREFIXES);
    let head = format!("{organisation}, topic {topic}. ");
    let mut prompt = head.repeat(cfg.prefix_bytes.div_ceil(head.len()));
    prompt.truncate(cfg.prefix_bytes);
    let (shortest, longest) = cfg.tokens;
    let tokens = rng.random_range(shortest..=longest);
    prompt.push_str(&format!(
        "#len={tokens} question {:016x}",
        rng.random::<u64>()
    ));
    ModelCall {
        pipeline: deployment.pipeline().into(),
        prompt,
        max_tokens: longest,
        deadline_ms: Some(cfg.deadline_ms),
    }
}

fn service_call(deployment: Deployment, cfg: &ArrivalsCfg, rng: &mut ChaCha8Rng) -> ServiceCall {
    let number = rng.random::<u64>();
    let idempotent = rng.random_range(0..2) == 0;
    let (call, key) = if idempotent {
        (deployment.idempotent_call(), None)
    } else {
        (
            deployment.non_idempotent_call(),
            Some(format!("load-{number:016x}")),
        )
    };
    ServiceCall {
        service: deployment.service().into(),
        call: call.into(),
        key,
        body: format!("item {number:016x}"),
        deadline_ms: Some(cfg.deadline_ms),
    }
}
