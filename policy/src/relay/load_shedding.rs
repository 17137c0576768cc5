//! Load shedding when no chain has room: which requests wait in vain, and when callers return.

use crate::prelude::*;

/// Time constant of the moving average of released room, in milliseconds.
const RELEASE_AVERAGE_MS: f64 = 1_000.0;

/// Rate at which room is released, as an exponential moving average over requests that ended.
///
/// Load pattern: arrivals exceed the capacity of the chains for seconds. A request that is queued
/// behind more tokens than are released within its maximum waiting time would wait in vain and be
/// refused late; with the expected release it is refused at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    tokens: f64,
    at_ms: Millis,
}

impl ReleaseRate {
    /// Records that a request of `tokens` tokens ended at `now`.
    pub fn record_released(&mut self, now: Millis, tokens: f64) {
        self.tokens = self.recent(now) + tokens;
        self.at_ms = now;
    }

    fn recent(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.at_ms) as f64;
        self.tokens * (-passed / RELEASE_AVERAGE_MS).exp()
    }

    /// Returns the number of tokens that are expected to be released within `ms` milliseconds.
    #[must_use]
    pub fn expected_release(&self, now: Millis, ms: Millis) -> f64 {
        self.recent(now) * ms as f64 / RELEASE_AVERAGE_MS
    }
}

/// Time without a refusal after which a shortage is over, in milliseconds.
const SHORTAGE_END_MS: Millis = 1_500;

/// Minimum and maximum retry delay before jitter, in milliseconds; jitter adds up to as much again.
/// Callers wait for at most a third of their remaining time, which is 20 s at first.
const MIN_RETRY_AFTER_MS: Millis = 1_500;
const MAX_RETRY_AFTER_MS: Millis = 4_500;

/// Duration of the present shortage of room, from which retry delays are derived.
///
/// Load pattern: a failure domain is lost for some seconds under high load. Most callers retry once;
/// a retry during the same shortage fails the request. A shortage is expected to last as long again
/// as it has lasted so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    since_ms: Millis,
    last_ms: Option<Millis>,
}

impl Shortage {
    /// Records that a request is refused for lack of room at `now`, and returns the retry delay for its
    /// caller, in milliseconds. `draw` is a random number from 0 to 1 for the jitter, so that callers
    /// that are refused together do not retry together.
    pub fn record_refused(&mut self, now: Millis, draw: f64) -> Millis {
        let continues = self.last_ms.is_some_and(|at| now < at + SHORTAGE_END_MS);
        if !continues {
            self.since_ms = now;
        }
        self.last_ms = Some(now);
        let lasted = now - self.since_ms;
        let base = lasted.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        (base as f64 * (1.0 + draw)) as Millis
    }
}
