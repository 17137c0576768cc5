//! Time and names as the policy sees them.

use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Milliseconds of a clock that the caller supplies: monotonic within one process for decisions,
/// Unix time where a value leaves the process. Field names say which.
pub type Millis = u64;
