//! The limit in flight of one pipeline: the bound's, corrected by the latency that is seen.
//!
//! Additive increase, multiplicative decrease. The latency of a request is taken for each token
//! and compared with the least seen lately: where it is over `fall_above` times that, requests
//! only wait in the engines, and the limit falls; where it is under `rise_below` times that and
//! the limit was reached, the limit rises by one; between the two it stays. It stays within fixed shares of the bound's own figure, so
//! that a wrong measurement can't close a pipeline or open it without end. The least latency is
//! kept over two windows, so that a pipeline that became slower for good is measured anew.

use crate::prelude::*;

/// How a limit in flight is corrected.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Latency for each token over the least seen above which the limit falls.
    pub fall_above: f64,
    /// The same, below which it may rise.
    pub rise_below: f64,
    /// Factor by which it falls.
    pub decrease: f64,
    /// Least share of the bound's own figure.
    pub least_share: f64,
    /// Greatest share of the bound's own figure.
    pub greatest_share: f64,
    /// Time between two corrections, in milliseconds.
    pub interval_ms: u64,
    /// Window over which the least latency is kept, in milliseconds.
    pub window_ms: u64,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            fall_above: 2.0,
            rise_below: 1.15,
            decrease: 0.9,
            least_share: 0.25,
            greatest_share: 1.5,
            interval_ms: 500,
            window_ms: 30_000,
        }
    }
}

/// Weight of the newest request in the moving mean of latency.
const SMOOTHING: f64 = 0.1;

/// Limit in flight of one pipeline.
#[derive(Debug)]
pub(super) struct Limit {
    cfg: LimitConfig,
    bound: f64,
    limit: f64,
    mean: Option<f64>,
    least: f64,
    least_before: f64,
    window_end: Millis,
    next_change: Millis,
    was_reached: bool,
}

impl Limit {
    pub(super) fn new(cfg: LimitConfig, now: Millis) -> Self {
        Self {
            cfg,
            bound: 0.0,
            limit: 0.0,
            mean: None,
            least: f64::INFINITY,
            least_before: f64::INFINITY,
            window_end: now + cfg.window_ms,
            next_change: now + cfg.interval_ms,
            was_reached: false,
        }
    }

    /// Requests that may be in flight; 0 only where the bound is 0.
    pub(super) fn get(&self) -> u32 {
        match self.bound > 0.0 {
            true => self.limit.floor().max(1.0) as u32,
            false => 0,
        }
    }

    /// Milliseconds that one token takes lately, once something was seen.
    pub(super) fn ms_per_token(&self) -> Option<f64> {
        self.mean
    }

    /// A new bound keeps the correction found so far, as a share.
    pub(super) fn set_bound(&mut self, in_flight: u32) {
        let bound = f64::from(in_flight);
        self.limit = match self.bound > 0.0 {
            true => self.limit * bound / self.bound,
            false => bound,
        };
        self.bound = bound;
    }

    /// The limit kept a request waiting.
    pub(super) fn reached(&mut self) {
        self.was_reached = true;
    }

    /// Takes in a request that is over.
    pub(super) fn learn(&mut self, now: Millis, ms_per_token: f64) {
        let mean = self.mean.unwrap_or(ms_per_token);
        let mean = mean + (ms_per_token - mean) * SMOOTHING;
        self.mean = Some(mean);
        self.least = self.least.min(mean);
        if now >= self.window_end {
            self.least_before = self.least;
            self.least = mean;
            self.window_end = now + self.cfg.window_ms;
        }
        if now >= self.next_change {
            self.next_change = now + self.cfg.interval_ms;
            self.correct(mean);
        }
    }

    fn correct(&mut self, mean: f64) {
        let least = self.least.min(self.least_before);
        if mean > least * self.cfg.fall_above {
            self.limit *= self.cfg.decrease;
        } else if self.was_reached && mean < least * self.cfg.rise_below {
            self.limit += 1.0;
        }
        self.was_reached = false;
        let least_limit = (self.bound * self.cfg.least_share).max(1.0);
        let greatest = (self.bound * self.cfg.greatest_share).max(1.0);
        self.limit = self.limit.clamp(least_limit, greatest);
    }
}
