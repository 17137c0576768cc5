//! Whether a service is overloaded.
//!
//! Load pattern: demand exceeds the supply for seconds, and recovers. Mechanisms against failures take
//! the slowness of full chains for failures, and their probes, retries and forwarded requests add to the
//! load; during overload they need more evidence.

use crate::prelude::*;

/// Share of the demand that fits below which overload begins.
const ENTER_SHARE: f64 = 0.97;

/// Time for which the share has to be below that, and above 1 for the end, in milliseconds. The end
/// takes longer, so that requests that return during it do not begin another one at once.
const ENTER_AFTER_MS: Millis = 300;
const LEAVE_AFTER_MS: Millis = 1_000;

/// Change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Overload began.
    Began,
    /// Overload ended after the given time, in milliseconds.
    Ended(Millis),
}

/// Overload state of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    since_ms: Option<Millis>,
    /// Since when the observations contradict the state, in milliseconds.
    contradicted_ms: Option<Millis>,
}

impl Overload {
    /// Records the share of the demand that fits at `now`. Returns whether the state changed.
    pub fn record(&mut self, now: Millis, share: f64) -> Option<Change> {
        let (contradicts, after_ms) = match self.since_ms {
            None => (share < ENTER_SHARE, ENTER_AFTER_MS),
            Some(_) => (share >= 1.0, LEAVE_AFTER_MS),
        };
        if !contradicts {
            self.contradicted_ms = None;
            return None;
        }
        let contradicted_ms = *self.contradicted_ms.get_or_insert(now);
        if now < contradicted_ms + after_ms {
            return None;
        }
        self.contradicted_ms = None;
        match self.since_ms.take() {
            Some(since) => Some(Change::Ended(now.saturating_sub(since))),
            None => {
                self.since_ms = Some(now);
                Some(Change::Began)
            }
        }
    }

    /// Returns since when the service is overloaded, in milliseconds, or `None` if it is not.
    #[must_use]
    pub fn since_ms(&self) -> Option<Millis> {
        self.since_ms
    }
}
