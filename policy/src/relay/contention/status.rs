//! State of contention control of a service, for operators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Whether contention control is in force for a service, and if it is not, why.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlState {
    /// It decides on requests.
    #[display("in force")]
    InForce,
    /// The setting `contention.mode` is `off`.
    #[display("contention.mode is off")]
    Off,
    /// The service's streaming routes have fewer than two priorities, and `contention.mode` is `auto`.
    #[display("its streaming routes have fewer than two priorities")]
    OnePriority,
    /// The figures of other instances are too old.
    #[display("the figures of other instances are too old")]
    FiguresTooOld,
    /// The figures of too few instances of the own failure domain are known.
    #[default]
    #[display("the figures of too few instances of the failure domain are known")]
    TooFewFigures,
}

impl ControlState {
    /// Returns whether contention control applies to the service under the settings and the
    /// configuration, even if the figures do not allow it to decide at the moment.
    #[must_use]
    pub fn applies(self) -> bool {
        !matches!(self, ControlState::Off | ControlState::OnePriority)
    }
}

/// State of contention control of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Whether it is in force.
    pub state: ControlState,
    /// Demand that the chains can take, in tokens per second; absent without a flow plan.
    pub supply_tokens_per_s: Option<f64>,
    /// Demand of all failure domains, in tokens per second.
    pub demand_tokens_per_s: f64,
    /// Mean age of the figures of other instances, in milliseconds.
    pub age_ms: Millis,
    /// Fraction of the live instances of the own failure domain whose figures are known, from 0 to 1.
    pub known_share: f64,
    /// Overload state; absent if the service is not overloaded.
    pub overload: Option<OverloadStatus>,
    /// Levels with demand since the start of the process, the most urgent first.
    pub levels: Vec<LevelStatus>,
    /// Organisations listed by name, by level and name.
    pub organisations: Vec<OrganisationStatus>,
    /// Chains of the flow plan, by first runner.
    pub chains: Vec<ChainStatus>,
    /// Failure domains, by name.
    pub domains: Vec<DomainStatus>,
}

impl ControlStatus {
    /// Returns the status of a service that contention control does not apply to.
    #[must_use]
    pub fn not_applied(state: ControlState) -> ControlStatus {
        ControlStatus {
            state,
            ..ControlStatus::default()
        }
    }

    /// Returns the fraction of all demand that the chains can take, if there is a flow plan.
    #[must_use]
    pub fn share_of_all(&self) -> Option<f64> {
        let supply = self.supply_tokens_per_s?;
        match self.demand_tokens_per_s > 0.0 {
            true => Some((supply / self.demand_tokens_per_s).min(1.0)),
            false => Some(1.0),
        }
    }
}

/// Overload of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverloadStatus {
    /// Time since it began, in milliseconds.
    pub lasted_ms: Millis,
    /// Fraction of the demand that the chains could take when it began, from 0 to 1.
    pub began_share: f64,
}

/// Rates of this instance's decisions on new requests, as averages of the last 10 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionRates {
    /// Admitted requests per second.
    pub admitted_per_s: f64,
    /// Refused requests per second.
    pub refused_per_s: f64,
}

/// Demand and share of a level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelStatus {
    /// Urgency level; 0 is the most urgent.
    pub level: u8,
    /// Demand of all failure domains, in tokens per second.
    pub demand_tokens_per_s: f64,
    /// Fraction of the demand that is admitted, from 0 to 1.
    pub share: f64,
    /// Time for which the share has been below 1, in milliseconds; absent if it is 1.
    pub below_one_ms: Option<Millis>,
    /// Decisions of this instance.
    pub decisions: DecisionRates,
}

/// Demand and share of an organisation at one level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Organisation.
    pub organisation: Name,
    /// Urgency level; 0 is the most urgent.
    pub level: u8,
    /// Demand of all failure domains, in tokens per second.
    pub demand_tokens_per_s: f64,
    /// Fraction of the demand that is admitted, from 0 to 1.
    pub share: f64,
    /// Time for which the share has been below 1, in milliseconds; absent if it is 1.
    pub below_one_ms: Option<Millis>,
    /// Time for which the share has been below that of the level, in milliseconds; absent if it is
    /// not, or if the organisation is not one of the eight with the highest demand.
    pub below_level_ms: Option<Millis>,
    /// Decisions of this instance.
    pub decisions: DecisionRates,
}

/// Chain in the flow plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChainStatus {
    /// First runner.
    pub head: Name,
    /// Failure domain; absent if the chain spans several.
    pub domain: Option<Name>,
    /// Room, in tokens.
    pub room_tokens: f64,
    /// Room that requests of all instances use, in tokens.
    pub used_tokens: f64,
    /// Allowed inflow from all instances, in tokens per second.
    pub inflow_tokens_per_s: f64,
    /// Factor from 0 to 1 that refusals of its runners apply to the target occupancy.
    pub refusal_factor: f64,
    /// Factor from 0 to 1 that gaps between events apply to the target occupancy.
    pub timeliness: f64,
    /// Fraction of the own failure domain's flow that goes to the chain, from 0 to 1.
    pub flow_share: f64,
}

/// Demand of a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Failure domain.
    pub domain: Name,
    /// Demand, in tokens per second.
    pub demand_tokens_per_s: f64,
}
