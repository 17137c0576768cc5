//! Rate limits of the stand-in platform: one token bucket each for reads and writes.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Rate limits; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rates {
    /// Writes per second.
    pub writes_per_s: Option<u32>,
    /// Reads per second; a watch counts as one read regardless of how long it waits.
    pub reads_per_s: Option<u32>,
}

/// Token buckets for reads and writes.
#[derive(Debug)]
pub struct Buckets {
    writes: Bucket,
    reads: Bucket,
}

impl Buckets {
    /// Returns full buckets.
    #[must_use]
    pub fn new(rates: Rates) -> Self {
        Self {
            writes: Bucket::new(rates.writes_per_s),
            reads: Bucket::new(rates.reads_per_s),
        }
    }

    /// Takes a token for one call; returns `false` if the rate is exceeded.
    pub fn take(&mut self, write: bool) -> bool {
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        bucket.take(Instant::now())
    }
}

/// Token bucket with a capacity of one second's tokens.
#[derive(Debug)]
struct Bucket {
    per_s: Option<u32>,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn new(per_s: Option<u32>) -> Self {
        Self {
            per_s,
            tokens: f64::from(per_s.unwrap_or(0)),
            refilled_at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let Some(per_s) = self.per_s.map(f64::from) else {
            return true;
        };
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * per_s;
        self.tokens = (self.tokens + refill).min(per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
