//! Record of what a runner received and executed, for the history checks.

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{LayerRange, Order};
use serde::{Deserialize, Serialize};

use crate::http::unix_ms;

/// Attempts and orders received, and tokens executed, by one runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExecutionLog {
    /// Runner name.
    pub runner: Name,
    /// Every attempt received, including refused ones, as first or later stage.
    pub received: Vec<Received>,
    /// Every token executed here.
    pub ran: Vec<RanToken>,
    /// Every order received.
    pub orders: Vec<ReceivedOrder>,
}

/// One received attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Whether this runner is the first stage.
    pub first: bool,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// One executed token, recorded when it enters its first step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanToken {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Token index.
    pub index: u32,
    /// Layers.
    pub layers: LayerRange,
    /// Tokens executed: 1, or the uncached tokens of a prefill.
    pub tokens: u32,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// One received order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// The order.
    pub order: Order,
    /// Whether the order was accepted.
    pub obeyed: bool,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

impl ExecutionLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(runner: Name) -> Self {
        Self {
            runner,
            received: Vec::new(),
            ran: Vec::new(),
            orders: Vec::new(),
        }
    }

    pub(crate) fn received(&mut self, request: &Name, attempt: u32, first: bool) {
        self.received.push(Received {
            request: request.clone(),
            attempt,
            first,
            at_ms: unix_ms(),
        });
    }

    /// Returns the whole log and clears it.
    pub(crate) fn take(&mut self) -> Self {
        let empty = Self::new(self.runner.clone());
        std::mem::replace(self, empty)
    }
}
