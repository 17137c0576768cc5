//! Time and names as the policy sees them.

use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Milliseconds of a clock that the caller supplies: monotonic within one process for decisions,
/// Unix time where a value leaves the process. Field names say which.
pub type Millis = u64;

/// Time since a start that also counts while the machine is suspended: at each reading it grows
/// by the advance of the clock on which more has passed. It never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Elapsed {
    seen: Now,
    total_ms: Millis,
}

impl Elapsed {
    /// Starts at 0.
    #[must_use]
    pub fn since(start: Now) -> Elapsed {
        Elapsed {
            seen: start,
            total_ms: 0,
        }
    }

    /// Milliseconds since the start.
    pub fn advance(&mut self, now: Now) -> Millis {
        self.total_ms += now.gap_since(self.seen);
        self.seen = now;
        self.total_ms
    }
}

/// Both clocks at one moment.
///
/// The monotonic clock may stand still while a machine is suspended, and the wall clock may be
/// set; a process that was stopped shows on at least one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic clock of this process, in milliseconds.
    pub mono_ms: Millis,
    /// Unix time, in milliseconds.
    pub unix_ms: Millis,
}

impl Now {
    /// Time since an earlier moment, in milliseconds, by the clock on which more has passed.
    #[must_use]
    pub fn gap_since(self, earlier: Now) -> Millis {
        let mono = self.mono_ms.saturating_sub(earlier.mono_ms);
        let unix = self.unix_ms.saturating_sub(earlier.unix_ms);
        mono.max(unix)
    }

    /// The moment `ms` milliseconds later, on both clocks.
    #[must_use]
    pub fn plus(self, ms: Millis) -> Now {
        Now {
            mono_ms: self.mono_ms + ms,
            unix_ms: self.unix_ms + ms,
        }
    }

    /// Whether `deadline` is over on either clock.
    #[must_use]
    pub fn is_past(self, deadline: Now) -> bool {
        self.mono_ms >= deadline.mono_ms || self.unix_ms >= deadline.unix_ms
    }

    /// The earlier of two moments, on each clock.
    #[must_use]
    pub fn earlier(self, other: Now) -> Now {
        Now {
            mono_ms: self.mono_ms.min(other.mono_ms),
            unix_ms: self.unix_ms.min(other.unix_ms),
        }
    }
}
