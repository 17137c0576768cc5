//! Retry delays of requests that are refused during overload.
//!
//! Load pattern: a burst of some seconds, whose refused callers retry once. If all return after the
//! same time, they meet the rest of the burst or each other. So their tokens are a debt that drains at
//! the rate of free supply, and they return spread over the time in which it drains.

use super::urgency;
use crate::prelude::*;

/// Minimum and maximum delay, in milliseconds. Callers wait for a third of their remaining time at
/// most, which is 20 s at first.
const MIN_DELAY_MS: f64 = 1_500.0;
const MAX_DELAY_MS: f64 = 6_000.0;

/// Additional minimum delay for each step of lower priority of the route, in milliseconds.
const PRIORITY_STEP_MS: f64 = 500.0;

/// Free supply that is assumed at least, as a share of the supply: an overload ends.
const MIN_FREE_SHARE: f64 = 0.1;

/// Debt of refused requests, and the delays derived from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnDelays {
    debt_tokens: f64,
    updated_ms: Millis,
}

impl ReturnDelays {
    /// Records a refused request of `tokens` tokens and returns the delay for its caller, in
    /// milliseconds. `supply` and `spare` are this instance's parts of the supply and of what the
    /// demand leaves of it, in tokens per second; `draw` is a random number from 0 to 1.
    pub fn record_refused(
        &mut self,
        now: Millis,
        tokens: f64,
        level: u32,
        (supply, spare): (f64, f64),
        draw: f64,
    ) -> Millis {
        let free = spare.max(supply * MIN_FREE_SHARE).max(1.0);
        let passed_s = now.saturating_sub(self.updated_ms) as f64 / 1e3;
        self.updated_ms = now;
        self.debt_tokens = (self.debt_tokens - passed_s * free).max(0.0) + tokens;
        let drained_ms = self.debt_tokens / free * 1e3;
        let latest_ms = drained_ms.clamp(2.0 * MIN_DELAY_MS, MAX_DELAY_MS);
        let earliest_ms = MIN_DELAY_MS + f64::from(urgency::priorities(level).1) * PRIORITY_STEP_MS;
        let earliest_ms = earliest_ms.min(latest_ms);
        (earliest_ms + (latest_ms - earliest_ms) * draw) as Millis
    }
}
