//! Clock readings and shared names.

use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Milliseconds of a clock supplied by the caller: the process's monotonic clock for decisions,
/// Unix time for values that leave the process. Field names say which.
pub type Millis = u64;

/// Time elapsed since a start, including time during which the machine is suspended.
///
/// Each reading adds the larger advance of the two clocks, so it never decreases.
#[derive(Clone, Copy, Debug)]
pub struct Elapsed {
    last: Now,
    total_ms: Millis,
}

impl Elapsed {
    /// Creates a reading of 0 at `start`.
    #[must_use]
    pub fn since(start: Now) -> Elapsed {
        Elapsed {
            last: start,
            total_ms: 0,
        }
    }

    /// Advances to `now` and returns the milliseconds since the start.
    pub fn advance(&mut self, now: Now) -> Millis {
        self.total_ms += now.gap_since(self.last);
        self.last = now;
        self.total_ms
    }
}

/// A simultaneous reading of the monotonic clock and the wall clock.
///
/// The monotonic clock may stop while the machine is suspended, and the wall clock may be set; a
/// pause of the process shows on at least one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic clock of this process, in milliseconds.
    pub mono_ms: Millis,
    /// Unix time, in milliseconds.
    pub unix_ms: Millis,
}

impl Now {
    /// Returns the milliseconds since an earlier reading, by the clock that advanced further.
    #[must_use]
    pub fn gap_since(self, earlier: Now) -> Millis {
        let mono = self.mono_ms.saturating_sub(earlier.mono_ms);
        let unix = self.unix_ms.saturating_sub(earlier.unix_ms);
        mono.max(unix)
    }

    /// Returns the reading `ms` milliseconds later on both clocks.
    #[must_use]
    pub fn plus(self, ms: Millis) -> Now {
        Now {
            mono_ms: self.mono_ms + ms,
            unix_ms: self.unix_ms + ms,
        }
    }

    /// Returns whether `deadline` has passed on either clock.
    #[must_use]
    pub fn is_past(self, deadline: Now) -> bool {
        self.mono_ms >= deadline.mono_ms || self.unix_ms >= deadline.unix_ms
    }

    /// Returns the earlier of two readings, for each clock separately.
    #[must_use]
    pub fn earlier(self, other: Now) -> Now {
        Now {
            mono_ms: self.mono_ms.min(other.mono_ms),
            unix_ms: self.unix_ms.min(other.unix_ms),
        }
    }
}
