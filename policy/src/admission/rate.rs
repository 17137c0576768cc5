//! Drain rate of a pipeline in tokens per second: the nominal rate, adjusted by measurements.
//!
//! With an empty queue the throughput reflects demand rather than capacity, so only windows in
//! which requests were queued throughout are measured. The measured rate may exceed the nominal
//! one, as tokens of prompts with a cached prefix count without being processed by an engine.

use crate::prelude::*;

/// Length of a measurement window, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Weight of the newest window in the moving mean.
const SMOOTHING: f64 = 0.5;
/// Minimum drain rate, as a share of the nominal rate: a pause of the upstreams must not make
/// the drain time unbounded.
const MIN_RATE_SHARE: f64 = 0.1;
/// Maximum drain rate, as a share of the nominal rate.
const MAX_RATE_SHARE: f64 = 2.0;

/// Drain rate of one pipeline.
#[derive(Debug)]
pub(super) struct DrainRate {
    bound: f64,
    measured: Option<f64>,
    window_start: Millis,
    tokens: f64,
    queued_throughout: bool,
}

impl DrainRate {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            bound: 0.0,
            measured: None,
            window_start: now,
            tokens: 0.0,
            queued_throughout: false,
        }
    }

    /// Returns the rate in tokens per second.
    pub(super) fn get(&self) -> f64 {
        match self.measured {
            Some(measured) => {
                measured.clamp(self.bound * MIN_RATE_SHARE, self.bound * MAX_RATE_SHARE)
            }
            None => self.bound,
        }
    }

    /// Sets the nominal rate; discards earlier measurements if it changed.
    pub(super) fn set_bound(&mut self, now: Millis, tokens_per_s: f64) {
        if (tokens_per_s - self.bound).abs() > f64::EPSILON {
            self.bound = tokens_per_s;
            self.measured = None;
            self.restart(now, false);
        }
    }

    /// Records the tokens of a request that has ended, and whether others are queued.
    pub(super) fn record(&mut self, now: Millis, tokens: u32, others_queued: bool) {
        self.tokens += f64::from(tokens);
        self.queued_throughout &= others_queued;
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW_MS {
            return;
        }
        if self.queued_throughout {
            let rate = self.tokens * 1_000.0 / elapsed as f64;
            let measured = self.measured.unwrap_or(rate);
            self.measured = Some(measured + (rate - measured) * SMOOTHING);
        } else {
            self.measured = self
                .measured
                .map(|measured| measured + (self.bound - measured) * SMOOTHING);
        }
        self.restart(now, others_queued);
    }

    fn restart(&mut self, now: Millis, others_queued: bool) {
        self.window_start = now;
        self.tokens = 0.0;
        self.queued_throughout = others_queued;
    }
}
