//! Measurement of one instance's decisions on new requests, for operators.

use std::collections::BTreeMap;

use super::Decision;
use super::flow_meter::level_index;
use super::rate::Rate;
use super::status::DecisionRates;
use super::urgency::LEVELS;
use crate::prelude::*;

/// Time constant of the rates, in milliseconds. An instance decides on a few requests per second, so
/// that rates over a second say little about a single organisation.
const TIME_CONSTANT_MS: Millis = 10_000;

/// Interval at which organisations without recent requests are forgotten, in milliseconds.
const PRUNE_INTERVAL_MS: Millis = 1_000;

/// Rate of decisions per second below which an organisation is forgotten.
const MIN_RATE: f64 = 0.01;

#[derive(Clone, Copy, Debug, Default)]
struct Decisions {
    admitted: Rate<TIME_CONSTANT_MS>,
    refused: Rate<TIME_CONSTANT_MS>,
}

impl Decisions {
    fn record(&mut self, now: Millis, decision: Decision) {
        match decision {
            Decision::Admitted => self.admitted.record(now, 1.0),
            Decision::NoRoomForPriority | Decision::OrganisationAboveShare => {
                self.refused.record(now, 1.0);
            }
        }
    }

    fn at(&self, now: Millis) -> DecisionRates {
        DecisionRates {
            admitted_per_s: self.admitted.at(now),
            refused_per_s: self.refused.at(now),
        }
    }
}

/// Rates of an instance's decisions by level and organisation.
#[derive(Clone, Debug)]
pub struct DecisionMeter {
    levels: [Decisions; LEVELS],
    organisations: BTreeMap<(u8, Name), Decisions>,
    pruned_ms: Millis,
}

impl Default for DecisionMeter {
    fn default() -> Self {
        DecisionMeter {
            levels: [Decisions::default(); LEVELS],
            organisations: BTreeMap::new(),
            pruned_ms: 0,
        }
    }
}

impl DecisionMeter {
    /// Records a decision on a new request.
    pub fn record(
        &mut self,
        now: Millis,
        level: u32,
        organisation: Option<&Name>,
        decision: Decision,
    ) {
        let level = level_index(level);
        self.levels[usize::from(level)].record(now, decision);
        if let Some(organisation) = organisation {
            let key = (level, organisation.clone());
            let decisions = self.organisations.entry(key).or_default();
            decisions.record(now, decision);
        }
        if now >= self.pruned_ms + PRUNE_INTERVAL_MS {
            self.pruned_ms = now;
            self.organisations.retain(|_, decisions| {
                let rates = decisions.at(now);
                rates.admitted_per_s + rates.refused_per_s >= MIN_RATE
            });
        }
    }

    /// Returns the rates of a level at `now`.
    #[must_use]
    pub fn of_level(&self, now: Millis, level: u8) -> DecisionRates {
        let decisions = self.levels.get(usize::from(level));
        decisions.map_or_else(DecisionRates::default, |d| d.at(now))
    }

    /// Returns the rates of an organisation at a level at `now`; `key` holds both.
    #[must_use]
    pub fn of_organisation(&self, now: Millis, key: &(u8, Name)) -> DecisionRates {
        let decisions = self.organisations.get(key);
        decisions.map_or_else(DecisionRates::default, |d| d.at(now))
    }
}
