//! Which share of the load may be retries.
//!
//! A bucket of tokens: each success puts in a share of one, each retry takes one out. Without it,
//! a dead failure domain makes every request fail and be tried again, and the upstreams that are
//! left carry twice the load and fail as well.
//!
//! The bucket holds at least as many as there are requests in flight: when a failure domain
//! dies, each stream that ran there may be resumed once. That is no new load, since those streams
//! were running before, and requests that can be refused leave them some ([`Need`]). What stays bounded is the second and third failure in a row: in a time in
//! which `s` requests succeed, at most `size + share * s` retries are made.

use crate::need::Need;
use crate::prelude::*;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries for each success.
    pub share: f64,
    /// Least size of the bucket: retries that are allowed at once.
    pub least_size: f64,
    /// Retries a second that are allowed without any success, so that a pipeline whose every
    /// request failed finds out when that is over.
    pub trickle_per_s: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            share: 0.1,
            least_size: 10.0,
            trickle_per_s: 1.0,
        }
    }
}

/// Retry budget of one pipeline, or of all plain services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    size: f64,
    left: f64,
    at: Millis,
    taken: u64,
    refused: u64,
}

impl RetryBudget {
    /// A full bucket.
    pub fn new(cfg: RetryBudgetConfig, now: Millis) -> Self {
        Self {
            cfg,
            size: cfg.least_size,
            left: cfg.least_size,
            at: now,
            taken: 0,
            refused: 0,
        }
    }

    /// Tells how many requests are in flight; a bucket that grows is filled by as much.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        let size = f64::from(in_flight).max(self.cfg.least_size);
        self.left = (self.left + (size - self.size).max(0.0)).min(size);
        self.size = size;
    }

    /// A request ended well.
    pub fn succeeded(&mut self) {
        self.left = (self.left + self.cfg.share).min(self.size);
    }

    /// Takes one retry, if there is one for this need.
    pub fn take(&mut self, now: Millis, need: Need) -> bool {
        let elapsed_s = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.at = now;
        self.left = (self.left + elapsed_s * self.cfg.trickle_per_s).min(self.size);
        if self.left < 1.0 + need.leaves(self.size) {
            self.refused += 1;
            return false;
        }
        self.left -= 1.0;
        self.taken += 1;
        true
    }

    /// Retries left.
    pub fn left(&self) -> f64 {
        self.left
    }

    /// Retries taken since the start.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Retries refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
