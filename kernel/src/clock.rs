//! The clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jacinthweir_policy::prelude::*;

/// Both clocks: the monotonic one decides, the Unix one is for records.
///
/// The monotonic clock may stand still while an instance is suspended, the Unix clock may step;
/// [`Clock::reading`] gives both so that a decision can look at the larger advance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn open() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the process started.
    #[must_use]
    pub fn now(&self) -> Millis {
        millis(self.start.elapsed())
    }

    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(&self) -> Millis {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, millis)
    }

    /// Both clocks.
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
