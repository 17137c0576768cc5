//! Exponentially weighted rates.

use crate::prelude::*;

/// Time constant of the rates that decisions use, in milliseconds. Shorter ones are noisy with a few
/// requests per second and instance; longer ones notice a burst too late.
pub const TIME_CONSTANT_MS: Millis = 1_000;

/// Rate of an amount per second, as an exponentially weighted moving average with a time constant of
/// `CONSTANT_MS` milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate<const CONSTANT_MS: Millis = TIME_CONSTANT_MS> {
    per_s: f64,
    at_ms: Millis,
}

impl<const CONSTANT_MS: Millis> Rate<CONSTANT_MS> {
    /// Records an amount at `now`.
    pub fn record(&mut self, now: Millis, amount: f64) {
        self.per_s = self.at(now) + amount * 1e3 / CONSTANT_MS as f64;
        self.at_ms = now;
    }

    /// Returns the rate per second at `now`.
    #[must_use]
    pub fn at(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.at_ms) as f64;
        self.per_s * (-passed / CONSTANT_MS as f64).exp()
    }
}
