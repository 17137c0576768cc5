//! How many tokens a second a pipeline gets through: the bound's rate, corrected by what is seen
//! while requests wait.
//!
//! While nothing waits, what is seen is the demand and says nothing of the capacity, so the
//! measurement is only taken over windows in which requests waited throughout. It may exceed the
//! bound's rate, as prompts whose prefix is cached cost tokens that no engine runs.

use crate::prelude::*;

/// Length of one measurement, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Weight of the newest window in the moving mean.
const SMOOTHING: f64 = 0.5;
/// Least share of the bound's rate that a measurement may lead to: a pause of the upstreams
/// must not make the drain time endless.
const LEAST_SHARE: f64 = 0.1;
/// Greatest share of the bound's rate that a measurement may lead to.
const GREATEST_SHARE: f64 = 2.0;

/// Drain rate of one pipeline.
#[derive(Debug)]
pub(super) struct DrainRate {
    bound: f64,
    seen: Option<f64>,
    window_start: Millis,
    tokens: f64,
    waited_throughout: bool,
}

impl DrainRate {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            bound: 0.0,
            seen: None,
            window_start: now,
            tokens: 0.0,
            waited_throughout: false,
        }
    }

    /// Tokens a second.
    pub(super) fn get(&self) -> f64 {
        match self.seen {
            Some(seen) => seen.clamp(self.bound * LEAST_SHARE, self.bound * GREATEST_SHARE),
            None => self.bound,
        }
    }

    /// A new bound: what was seen before does not hold for it.
    pub(super) fn set_bound(&mut self, now: Millis, tokens_per_s: f64) {
        if (tokens_per_s - self.bound).abs() > f64::EPSILON {
            self.bound = tokens_per_s;
            self.seen = None;
            self.restart(now, false);
        }
    }

    /// Takes in a request that is over, and whether others wait.
    pub(super) fn learn(&mut self, now: Millis, tokens: u32, others_wait: bool) {
        self.tokens += f64::from(tokens);
        self.waited_throughout &= others_wait;
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW_MS {
            return;
        }
        if self.waited_throughout {
            let rate = self.tokens * 1_000.0 / elapsed as f64;
            let seen = self.seen.unwrap_or(rate);
            self.seen = Some(seen + (rate - seen) * SMOOTHING);
        } else {
            self.seen = self.seen.map(|seen| seen + (self.bound - seen) * SMOOTHING);
        }
        self.restart(now, others_wait);
    }

    fn restart(&mut self, now: Millis, others_wait: bool) {
        self.window_start = now;
        self.tokens = 0.0;
        self.waited_throughout = others_wait;
    }
}
