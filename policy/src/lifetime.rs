//! Lifetimes of runners. A restarted runner may keep its identity, so that one identity has
//! several.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A lifetime of a runner, from a start of its process to the end.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{runner}")]
pub struct Lifetime {
    /// Runner.
    pub runner: Name,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
}
