//! Retry delay of a refused caller.
//!
//! The delay covers the time until the backlog ahead of the request has drained, plus a random
//! offset. Each refusal adds its tokens to a debt that drains at the pipeline's rate, and the
//! offsets spread over the time the debt takes to drain. Without the debt, all callers refused
//! during one flood would return at the same moment and be refused again.

use super::AdmissionConfig;
use crate::prelude::*;
use rand::{Rng, RngExt};

/// Minimum range of the random offset, as a share of the base delay.
const MIN_SPREAD_SHARE: f64 = 0.5;
/// Base retry delay without capacity, in milliseconds.
const NO_CAPACITY_BASE_MS: f64 = 1_000.0;

/// Tokens of recently refused requests that are expected to be retried.
#[derive(Debug, Default)]
pub(super) struct Debt {
    tokens: f64,
    updated: Millis,
}

impl Debt {
    /// Adds a refused request's tokens; returns the time until the debt has drained, in
    /// milliseconds.
    pub(super) fn add(&mut self, now: Millis, tokens: u32, tokens_per_s: f64) -> f64 {
        let drained = now.saturating_sub(self.updated) as f64 * tokens_per_s / 1_000.0;
        self.tokens = (self.tokens - drained).max(0.0) + f64::from(tokens);
        self.updated = now;
        self.tokens * 1_000.0 / tokens_per_s.max(f64::MIN_POSITIVE)
    }
}

/// Returns the retry delay: `wait_ms` plus a random offset within `spread_ms` or half of the wait,
/// whichever is longer.
pub(super) fn spread(
    wait_ms: f64,
    spread_ms: f64,
    cfg: &AdmissionConfig,
    rng: &mut impl Rng,
) -> u64 {
    let min = cfg.min_retry_after_ms as f64;
    let max = cfg.max_retry_after_ms as f64;
    let base = wait_ms.clamp(min, max * (1.0 - MIN_SPREAD_SHARE));
    let range = spread_ms.max(base * MIN_SPREAD_SHARE).min(max - base);
    (base + range * rng.random::<f64>()) as u64
}

/// Returns the retry delay without capacity, when no drain time is known.
pub(super) fn without_capacity(cfg: &AdmissionConfig, rng: &mut impl Rng) -> u64 {
    spread(NO_CAPACITY_BASE_MS, NO_CAPACITY_BASE_MS, cfg, rng)
}
