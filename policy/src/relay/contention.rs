//! Contention control: which requests a service takes while its chains lack room for all, and which
//! chain each of them is sent to.
//!
//! Load pattern: a hundred instances compete for the room of a dozen chains and learn each other's load
//! a second late. If each sends to the chains that look empty, chains are filled in turns between a
//! tenth and twice their room: the fuller ones make first events late, refuse requests or preempt them.
//!
//! Algorithm: every instance measures its part of the demand and of the flow through each chain
//! ([`flow_meter`]) and exchanges it with the others. From the sums each computes what a chain may take
//! ([`inflow`]), how the demand of all failure domains is divided among the chains ([`flow_plan`]), and
//! which shares of its priorities and organisations are admitted ([`shares`]). [`ServiceControl`] holds
//! the state of a service between the computations.
//!
//! Invariants:
//! - The flow into a chain follows what it releases, so occupancy that is known late cannot make the
//!   fleet send more than the chain ends.
//! - Nothing is refused while the supply covers the demand.
//! - No priority and no organisation is admitted less than the least share of what all are.

pub mod decision_meter;
pub mod even_draws;
pub mod flow_meter;
pub mod flow_plan;
pub mod inflow;
pub mod overload;
pub mod rate;
pub mod return_delay;
pub mod scope;
mod service_control;
pub mod share_history;
pub mod shares;
pub mod status;
pub mod urgency;

pub use service_control::{ChainLoad, Decision, FleetFlow, ServiceControl};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// When contention control applies to a service whose runners hold layers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// If the service's streaming routes declare at least two priorities.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// Settings of contention control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContentionConfig {
    /// When it applies.
    pub mode: Mode,
    /// Whether chains are chosen by the flow plan, rather than by free room.
    pub flow: bool,
    /// Whether the chains of a failure domain are chosen for their total throughput, rather than the
    /// cheapest first. Instances with different values use different chains.
    pub chains: bool,
    /// Whether more urgent priorities are admitted first.
    pub urgency: bool,
    /// Whether organisations get max-min fair shares of their priority.
    pub fair_share: bool,
    /// Whether overload changes failure detection and retry delays.
    pub overload: bool,
    /// Share of a chain's room that new requests fill, above 0 and at most 1.
    pub target_fill: f64,
    /// Least share of a priority or organisation, as a part of the share of all, from 0 to 1.
    pub least_share: f64,
    /// Weights of organisations in the fair share, above 0; 1 for those that are not listed.
    pub weights: BTreeMap<Name, f64>,
}

impl Default for ContentionConfig {
    fn default() -> Self {
        ContentionConfig {
            mode: Mode::Auto,
            flow: true,
            chains: true,
            urgency: true,
            fair_share: true,
            overload: true,
            target_fill: 0.92,
            least_share: 0.5,
            weights: BTreeMap::new(),
        }
    }
}
