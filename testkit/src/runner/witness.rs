//! What a runner saw and did, for checkers.

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{LayerRange, Order};
use serde::{Deserialize, Serialize};

use crate::http::unix_ms;

/// What was received and what ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Witness {
    /// Runner's name.
    pub runner: Name,
    /// Every attempt that arrived, refused ones too, here or as a later stage.
    pub received: Vec<Received>,
    /// Every token that ran here.
    pub ran: Vec<RanToken>,
    /// Every order that arrived.
    pub orders: Vec<SeenOrder>,
}

/// One attempt that arrived.
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

/// One token that ran: written down as it enters its first step.
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
    /// Tokens run: 1, or those of the prefill that no cache held.
    pub tokens: u32,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// One order that arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenOrder {
    /// The order.
    pub order: Order,
    /// Whether it was obeyed.
    pub obeyed: bool,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

impl Witness {
    /// An empty witness.
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

    /// All of it; nothing is left behind.
    pub(crate) fn take(&mut self) -> Self {
        let empty = Self::new(self.runner.clone());
        std::mem::replace(self, empty)
    }
}
