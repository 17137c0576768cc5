//! Seeded arrivals of an open loop.
//!
//! Gaps are exponential, so arrivals come in bunches as those of many independent callers do, and
//! they do not wait for answers. Large organisations send most of the requests; prompts of an
//! organisation share one of a few long prefixes and end differently, so no two answers are alike.

use jacinthweir_policy::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::caller::{ModelCall, ServiceCall};
use crate::fleet::deployment::Deployment;

/// Large organisations among those of a deployment, which come first in its list.
const LARGE: usize = 4;
/// Prefixes that an organisation's prompts share.
const PREFIXES: u32 = 3;

/// What arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ArrivalsCfg {
    /// Seed.
    pub seed: u64,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Time over which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Share of requests that large organisations send, in percent.
    pub large_percent: u8,
    /// Share of requests that call the plain service, in percent.
    pub service_percent: u8,
    /// Length of a shared prefix, in bytes.
    pub prefix_bytes: usize,
    /// Shortest and longest answer, in tokens.
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

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of its submission after the start, in microseconds.
    pub at_us: u64,
    /// Organisation that sends it.
    pub organisation: Name,
    /// What it asks.
    pub ask: Ask,
}

/// What a request asks.
#[derive(Clone, Debug)]
pub enum Ask {
    /// A model's answer.
    Model(ModelCall),
    /// A call of the plain service.
    Service(ServiceCall),
}

/// All arrivals of a run, in the order of time: the same for the same settings.
#[must_use]
pub fn arrivals(deployment: Deployment, cfg: &ArrivalsCfg) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gap(cfg.rate_per_s, &mut rng);
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

fn gap(rate_per_s: f64, rng: &mut ChaCha8Rng) -> f64 {
    let draw: f64 = rng.random();
    -(1.0 - draw).ln() / rate_per_s
}

fn organisation(deployment: Deployment, cfg: &ArrivalsCfg, rng: &mut ChaCha8Rng) -> &'static str {
    let all = deployment.organisations();
    let large = rng.random_range(0..100) < cfg.large_percent;
    let range = if large { 0..LARGE } else { LARGE..all.len() };
    all[rng.random_range(range)]
}

fn model_call(
    deployment: Deployment,
    cfg: &ArrivalsCfg,
    organisation: &str,
    rng: &mut ChaCha8Rng,
) -> ModelCall {
    let topic = rng.random_range(0..PREFIXES);
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
    let repeatable = rng.random_range(0..2) == 0;
    let (call, key) = if repeatable {
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
