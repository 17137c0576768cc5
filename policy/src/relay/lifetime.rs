//! One lifetime of a runner: it may start again under the identity that it had.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// One lifetime of a runner.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{runner}")]
pub struct Lifetime {
    /// Runner.
    pub runner: Name,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
}
