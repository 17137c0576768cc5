//! When a refused caller should come back.
//!
//! The time is the one after which the backlog before it will have drained, and then a place
//! among those refused before it: each refusal adds its tokens to a debt that drains at the
//! pipeline's rate, and callers are spread over the time that the debt takes. Without the debt
//! all refused during one flood would return at the same moment and be refused again.

use super::AdmissionConfig;
use crate::prelude::*;
use rand::{Rng, RngExt};

/// Least part of the time over which the returns are spread.
const LEAST_SPREAD: f64 = 0.5;
/// Base time to come back where there is no capacity, in milliseconds.
const WITHOUT_CAPACITY_MS: f64 = 1_000.0;

/// Tokens of the requests refused lately, which are expected back.
#[derive(Debug, Default)]
pub(super) struct Debt {
    tokens: f64,
    at: Millis,
}

impl Debt {
    /// Adds a refused request's tokens; gives the time that all of the debt takes, in
    /// milliseconds.
    pub(super) fn add(&mut self, now: Millis, tokens: u32, tokens_per_s: f64) -> f64 {
        let drained = now.saturating_sub(self.at) as f64 * tokens_per_s / 1_000.0;
        self.tokens = (self.tokens - drained).max(0.0) + f64::from(tokens);
        self.at = now;
        self.tokens * 1_000.0 / tokens_per_s.max(f64::MIN_POSITIVE)
    }
}

/// Time to come back: after `wait_ms`, spread over `spread_ms` or half of the wait, whichever is
/// longer.
pub(super) fn spread(
    wait_ms: f64,
    spread_ms: f64,
    cfg: &AdmissionConfig,
    rng: &mut impl Rng,
) -> u64 {
    let least = cfg.min_retry_after_ms as f64;
    let most = cfg.max_retry_after_ms as f64;
    let base = wait_ms.clamp(least, most * (1.0 - LEAST_SPREAD));
    let range = spread_ms.max(base * LEAST_SPREAD).min(most - base);
    (base + range * rng.random::<f64>()) as u64
}

/// Time to come back where there is no capacity, so that no drain time can be told.
pub(super) fn without_capacity(cfg: &AdmissionConfig, rng: &mut impl Rng) -> u64 {
    spread(WITHOUT_CAPACITY_MS, WITHOUT_CAPACITY_MS, cfg, rng)
}
