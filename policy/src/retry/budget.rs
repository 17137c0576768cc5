//! Retry budget: bounds the retries relative to the successful requests.
//!
//! The budget is a token bucket: each success adds a fraction of a token, each retry takes one.
//! Without it, the loss of a failure domain makes every request there fail and be retried, and the
//! remaining upstreams receive twice the load and fail as well.
//!
//! The size of the bucket is at least the number of requests in flight, so that each stream on a
//! lost failure domain can be resumed once. That adds no load, since those streams were running
//! before, and requests that can be refused leave part of the bucket to them ([`RetryPriority`]).
//! Repeated failures stay bounded: while `s` requests succeed, at most `size + share * s` retries
//! are made, besides the idle refill.

use crate::prelude::*;
use crate::retry_priority::RetryPriority;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Tokens added per success.
    pub share: f64,
    /// Minimum size of the bucket: the number of retries allowed in a burst.
    pub min_size: f64,
    /// Tokens added per second regardless of successes, so that a pipeline whose requests all fail
    /// can detect recovery.
    pub idle_refill_per_s: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            share: 0.1,
            min_size: 10.0,
            idle_refill_per_s: 1.0,
        }
    }
}

/// Retry budget of one pipeline or of all plain services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    size: f64,
    tokens: f64,
    refilled_at: Millis,
    taken: u64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget with a full bucket.
    pub fn new(cfg: RetryBudgetConfig, now: Millis) -> Self {
        Self {
            cfg,
            size: cfg.min_size,
            tokens: cfg.min_size,
            refilled_at: now,
            taken: 0,
            refused: 0,
        }
    }

    /// Sets the number of requests in flight; when the bucket grows, the added size is filled.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        let size = f64::from(in_flight).max(self.cfg.min_size);
        self.tokens = (self.tokens + (size - self.size).max(0.0)).min(size);
        self.size = size;
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.cfg.share).min(self.size);
    }

    /// Takes a token for a retry; returns whether one was available at this priority.
    pub fn take(&mut self, now: Millis, priority: RetryPriority) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.cfg.idle_refill_per_s).min(self.size);
        if self.tokens < 1.0 + priority.reserved(self.size) {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.taken += 1;
        true
    }

    /// Returns the number of tokens left.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// Returns the number of retries granted since the start.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Returns the number of retries denied since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
