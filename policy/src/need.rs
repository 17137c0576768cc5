//! What a further attempt of a request is needed for.
//!
//! Attempts beyond the first are bounded, and full upstreams refuse many new requests. Each of those
//! can be told the truth, that it has not run, and its caller comes back. One that may have run, or
//! whose answer has begun, can only fail. So the last of what there is goes to the latter: otherwise the
//! former leave nothing for the streams of the next upstream that dies.

/// Who needs a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A request that has certainly not run: a refusal would be true.
    Refusable,
    /// One that may have run, or whose answer has begun: without the attempt it fails.
    Owed,
}

/// Part of what there is that requests which can be refused leave to the others.
const KEPT_SHARE: f64 = 0.3;

impl Need {
    /// What one who needs an attempt leaves of `all`.
    #[must_use]
    pub fn leaves(self, all: f64) -> f64 {
        match self {
            Need::Refusable => KEPT_SHARE * all,
            Need::Owed => 0.0,
        }
    }
}
