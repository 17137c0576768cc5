//! Pauses between calls to another process that bring nothing: it refuses them at once, or answers the same
//! each time.

use crate::prelude::*;

/// Exponential backoff: each call that brings nothing doubles the pause after it, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first_ms: Millis,
    max_ms: Millis,
    pause_ms: Millis,
    until_ms: Millis,
}

impl Backoff {
    /// Returns a backoff whose pauses last from `first_ms` to `max_ms` milliseconds.
    #[must_use]
    pub fn new(first_ms: Millis, max_ms: Millis) -> Backoff {
        Backoff {
            first_ms,
            max_ms,
            pause_ms: first_ms,
            until_ms: 0,
        }
    }

    /// Returns whether the next call may be made at `now`.
    #[must_use]
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.until_ms
    }

    /// Records a call that brought nothing, and returns the pause after it in milliseconds.
    pub fn record_failure(&mut self, now: Millis) -> Millis {
        let pause_ms = self.pause_ms;
        self.pause_ms = (2 * pause_ms).min(self.max_ms);
        self.until_ms = now + pause_ms;
        pause_ms
    }

    /// Records a call that brought something: the next one may follow at once.
    pub fn reset(&mut self) {
        *self = Backoff::new(self.first_ms, self.max_ms);
    }
}
