//! Priority of a request in the use of a limited retry capacity.
//!
//! Attempts beyond the first are limited, and full upstreams refuse many new requests. A request
//! that has certainly not run can be refused truthfully, and its caller retries it. One that may
//! have run, or whose answer has begun, can only fail without another attempt. Part of the
//! capacity is therefore reserved for the latter. Otherwise refusable requests would use it up, and
//! none would be left for the streams of the next upstream that fails.

/// Priority of a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPriority {
    /// The request has certainly not run, so it can be refused truthfully.
    Refusable,
    /// The request may have run, or its answer has begun; without another attempt it fails.
    Committed,
}

/// Fraction of the capacity that refusable requests leave to the others.
const RESERVED_FRACTION: f64 = 0.3;

impl RetryPriority {
    /// Returns the part of `capacity` that an attempt of this priority has to leave untouched.
    #[must_use]
    pub fn reserved(self, capacity: f64) -> f64 {
        match self {
            RetryPriority::Refusable => RESERVED_FRACTION * capacity,
            RetryPriority::Committed => 0.0,
        }
    }
}
