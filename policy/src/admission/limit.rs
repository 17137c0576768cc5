//! Adaptive concurrency limit of one pipeline: the nominal bound, adjusted by measured latency.
//!
//! Additive increase, multiplicative decrease (AIMD). The latency per token is compared with the
//! recent minimum. Above `decrease_above` times the minimum, requests only wait in the engines, so
//! the limit decreases. Below `increase_below` times the minimum, if the limit was reached, it
//! increases by one. In between it does not change. It stays within fixed shares of the bound, so
//! that a wrong measurement can't close a pipeline or raise the limit indefinitely. The minimum is
//! taken over two windows, so that it adapts to a pipeline that became permanently slower.

use crate::prelude::*;

/// Configuration of the adaptive concurrency limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Ratio of latency per token to the recent minimum above which the limit decreases.
    pub decrease_above: f64,
    /// Ratio of latency per token to the recent minimum below which the limit may increase.
    pub increase_below: f64,
    /// Factor of a decrease.
    pub decrease_factor: f64,
    /// Minimum limit, as a share of the bound.
    pub min_share: f64,
    /// Maximum limit, as a share of the bound.
    pub max_share: f64,
    /// Time between two adjustments, in milliseconds.
    pub interval_ms: u64,
    /// Window over which the minimum latency is taken, in milliseconds.
    pub window_ms: u64,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            decrease_above: 2.0,
            increase_below: 1.15,
            decrease_factor: 0.9,
            min_share: 0.25,
            max_share: 1.5,
            interval_ms: 500,
            window_ms: 30_000,
        }
    }
}

/// Weight of the newest request in the moving mean of the latency.
const SMOOTHING: f64 = 0.1;

/// Adaptive concurrency limit of one pipeline.
#[derive(Debug)]
pub(super) struct Limit {
    cfg: LimitConfig,
    bound: f64,
    limit: f64,
    mean: Option<f64>,
    min_latency: f64,
    previous_min_latency: f64,
    window_end: Millis,
    next_adjustment: Millis,
    was_reached: bool,
}

impl Limit {
    pub(super) fn new(cfg: LimitConfig, now: Millis) -> Self {
        Self {
            cfg,
            bound: 0.0,
            limit: 0.0,
            mean: None,
            min_latency: f64::INFINITY,
            previous_min_latency: f64::INFINITY,
            window_end: now + cfg.window_ms,
            next_adjustment: now + cfg.interval_ms,
            was_reached: false,
        }
    }

    /// Returns the maximum number of requests in flight; 0 only if the bound is 0.
    pub(super) fn get(&self) -> u32 {
        match self.bound > 0.0 {
            true => self.limit.floor().max(1.0) as u32,
            false => 0,
        }
    }

    /// Returns the moving mean of the latency per token, in milliseconds; `None` without a
    /// measurement.
    pub(super) fn ms_per_token(&self) -> Option<f64> {
        self.mean
    }

    /// Sets the bound; scales the adjusted limit with it.
    pub(super) fn set_bound(&mut self, in_flight: u32) {
        let bound = f64::from(in_flight);
        self.limit = match self.bound > 0.0 {
            true => self.limit * bound / self.bound,
            false => bound,
        };
        self.bound = bound;
    }

    /// Notes that a request had to wait because of the limit.
    pub(super) fn note_reached(&mut self) {
        self.was_reached = true;
    }

    /// Records the latency of a completed request.
    pub(super) fn record(&mut self, now: Millis, ms_per_token: f64) {
        let mean = self.mean.unwrap_or(ms_per_token);
        let mean = mean + (ms_per_token - mean) * SMOOTHING;
        self.mean = Some(mean);
        self.min_latency = self.min_latency.min(mean);
        if now >= self.window_end {
            self.previous_min_latency = self.min_latency;
            self.min_latency = mean;
            self.window_end = now + self.cfg.window_ms;
        }
        if now >= self.next_adjustment {
            self.next_adjustment = now + self.cfg.interval_ms;
            self.adjust(mean);
        }
    }

    fn adjust(&mut self, mean: f64) {
        let min_latency = self.min_latency.min(self.previous_min_latency);
        if mean > min_latency * self.cfg.decrease_above {
            self.limit *= self.cfg.decrease_factor;
        } else if self.was_reached && mean < min_latency * self.cfg.increase_below {
            self.limit += 1.0;
        }
        self.was_reached = false;
        let min_limit = (self.bound * self.cfg.min_share).max(1.0);
        let max_limit = (self.bound * self.cfg.max_share).max(1.0);
        self.limit = self.limit.clamp(min_limit, max_limit);
    }
}
