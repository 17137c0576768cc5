//! What the platform takes a second, as two token buckets.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Calls a second; absent: no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rates {
    /// Writes a second.
    pub writes_per_s: Option<u32>,
    /// Reads a second; a watch counts as one however long it waits.
    pub reads_per_s: Option<u32>,
}

/// The two buckets.
#[derive(Debug)]
pub struct Buckets {
    writes: Bucket,
    reads: Bucket,
}

impl Buckets {
    /// Full buckets.
    #[must_use]
    pub fn new(rates: Rates) -> Self {
        Self {
            writes: Bucket::new(rates.writes_per_s),
            reads: Bucket::new(rates.reads_per_s),
        }
    }

    /// Takes one call; `false`: the rate is exceeded.
    pub fn take(&mut self, write: bool) -> bool {
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        bucket.take(Instant::now())
    }
}

/// One bucket that holds a second's worth.
#[derive(Debug)]
struct Bucket {
    per_s: Option<u32>,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(per_s: Option<u32>) -> Self {
        Self {
            per_s,
            level: f64::from(per_s.unwrap_or(0)),
            at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let Some(per_s) = self.per_s.map(f64::from) else {
            return true;
        };
        let refill = now.duration_since(self.at).as_secs_f64() * per_s;
        self.level = (self.level + refill).min(per_s);
        self.at = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
