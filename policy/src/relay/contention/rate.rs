//! Exponentially weighted rates.

use crate::prelude::*;

/// Time constant of a rate, in milliseconds. Shorter ones are noisy with a few requests per second and
/// instance; longer ones notice a burst too late.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// Rate of an amount per second, as an exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    per_s: f64,
    at_ms: Millis,
}

impl Rate {
    /// Records an amount at `now`.
    pub fn record(&mut self, now: Millis, amount: f64) {
        self.per_s = self.at(now) + amount * 1e3 / TIME_CONSTANT_MS;
        self.at_ms = now;
    }

    /// Returns the rate per second at `now`.
    #[must_use]
    pub fn at(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.at_ms) as f64;
        self.per_s * (-passed / TIME_CONSTANT_MS).exp()
    }
}
