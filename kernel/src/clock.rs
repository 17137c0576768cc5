//! Monotonic and wall-clock time of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jacinthweir_policy::prelude::*;

/// Monotonic clock for decisions and Unix clock for records.
///
/// The monotonic clock may stop while the machine is suspended and the Unix clock may step;
/// [`Clock::reading`] returns both, so that a decision can use the larger advance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn open() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the process started.
    #[must_use]
    pub fn now(&self) -> Millis {
        millis(self.start.elapsed())
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(&self) -> Millis {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, millis)
    }

    /// Reads both clocks.
    #[must_use]
    pub fn reading(&self) -> Now {
        Now {
            mono_ms: self.now(),
            unix_ms: self.unix_ms(),
        }
    }
}

fn millis(d: Duration) -> Millis {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
