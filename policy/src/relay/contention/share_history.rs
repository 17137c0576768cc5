//! Since when shares are reduced, and changes that operators are told of.
//!
//! Load pattern: an organisation sends ten times its usual traffic for some seconds, and its share
//! crosses that of its level several times at the beginning and the end. A change back is therefore
//! reported only after it has lasted, and only for a few organisations at a time, so that an instance
//! writes a bounded number of log lines per second whatever its figures do.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Share above which all demand counts as admitted; below 1 by what rounding may cause.
const FULL_SHARE: f64 = 0.999;

/// Difference below which two shares count as the same.
const SHARE_TOLERANCE: f64 = 1e-3;

/// Organisations whose changes are reported at a time, those with the highest demand.
const MAX_REPORTED: usize = 8;

/// Time for which an organisation's share has to equal that of its level before the change back is
/// reported, in milliseconds.
const BACK_AFTER_MS: Millis = 1_000;

/// Demand and share of each listed organisation, by level.
pub type OrganisationShares = BTreeMap<(u8, Name), (f64, f64)>;

/// Direction of a reported change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// The organisation's share fell below that of its level.
    Fell,
    /// It is that of its level again, after the given time in milliseconds.
    Back(Millis),
}

/// Change of an organisation's share relative to that of its level.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Organisation.
    pub organisation: Name,
    /// Urgency level; 0 is the most urgent.
    pub level: u8,
    /// Demand of the organisation in tokens per second; 0 if it is no longer listed.
    pub demand_tokens_per_s: f64,
    /// Share of the organisation; that of the level if it is no longer listed.
    pub share: f64,
    /// Share of the level.
    pub level_share: f64,
    /// Direction.
    pub direction: Direction,
}

/// An organisation whose share is below that of its level.
#[derive(Clone, Copy, Debug)]
struct Below {
    since_ms: Millis,
    /// Since when the share has been that of the level, in milliseconds.
    back_since_ms: Option<Millis>,
}

/// Since when the shares of a service are reduced.
#[derive(Clone, Debug, Default)]
pub struct ShareHistory {
    /// Levels with demand so far, and since when their share is below 1, in milliseconds.
    levels: BTreeMap<u8, Option<Millis>>,
    /// Listed organisations whose share is below 1, and since when, in milliseconds.
    organisations: BTreeMap<(u8, Name), Millis>,
    below: BTreeMap<(u8, Name), Below>,
}

impl ShareHistory {
    /// Records the shares of a computation at `now`, all empty if there was none. `arriving` is the
    /// demand of each level in tokens per second. Returns the changes to report.
    pub fn record(
        &mut self,
        now: Millis,
        arriving: &[f64],
        levels: &[f64],
        organisations: &OrganisationShares,
    ) -> Vec<ShareChange> {
        self.record_levels(now, arriving, levels);
        let is_reduced = |key: &(u8, Name)| {
            let listed = organisations.get(key);
            listed.is_some_and(|(_, share)| *share < FULL_SHARE)
        };
        self.organisations.retain(|key, _| is_reduced(key));
        for key in organisations.keys().filter(|key| is_reduced(key)) {
            if !self.organisations.contains_key(key) {
                self.organisations.insert(key.clone(), now);
            }
        }
        let mut changes = self.record_back(now, levels, organisations);
        changes.extend(self.record_fallen(now, levels, organisations));
        changes
    }

    fn record_levels(&mut self, now: Millis, arriving: &[f64], levels: &[f64]) {
        for (level, tokens) in (0..).zip(arriving) {
            if *tokens > 0.0 {
                self.levels.entry(level).or_default();
            }
        }
        for (level, since_ms) in &mut self.levels {
            *since_ms = match share_of(levels, *level) < FULL_SHARE {
                true => since_ms.or(Some(now)),
                false => None,
            };
        }
    }

    /// Returns the organisations whose share has been that of their level for long enough.
    fn record_back(
        &mut self,
        now: Millis,
        levels: &[f64],
        organisations: &OrganisationShares,
    ) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        self.below.retain(|key, below| {
            let level_share = share_of(levels, key.0);
            let listed = organisations.get(key).copied();
            let (demand_tokens_per_s, share) = listed.unwrap_or((0.0, level_share));
            if share < level_share - SHARE_TOLERANCE {
                below.back_since_ms = None;
                return true;
            }
            let back_since_ms = *below.back_since_ms.get_or_insert(now);
            if now < back_since_ms + BACK_AFTER_MS {
                return true;
            }
            changes.push(ShareChange {
                organisation: key.1.clone(),
                level: key.0,
                demand_tokens_per_s,
                share,
                level_share,
                direction: Direction::Back(back_since_ms.saturating_sub(below.since_ms)),
            });
            false
        });
        changes
    }

    /// Returns the organisations whose share is newly below that of their level.
    fn record_fallen(
        &mut self,
        now: Millis,
        levels: &[f64],
        organisations: &OrganisationShares,
    ) -> Vec<ShareChange> {
        let mut largest: Vec<_> = organisations.iter().collect();
        largest.sort_by(|(a_key, (a, _)), (b_key, (b, _))| {
            b.total_cmp(a).then_with(|| a_key.cmp(b_key))
        });
        let mut changes = Vec::new();
        for (key, (demand, share)) in largest.into_iter().take(MAX_REPORTED) {
            let level_share = share_of(levels, key.0);
            let is_below = *share < level_share - SHARE_TOLERANCE;
            let is_known = self.below.contains_key(key);
            if !is_below || is_known || self.below.len() >= MAX_REPORTED {
                continue;
            }
            let below = Below {
                since_ms: now,
                back_since_ms: None,
            };
            self.below.insert(key.clone(), below);
            changes.push(ShareChange {
                organisation: key.1.clone(),
                level: key.0,
                demand_tokens_per_s: *demand,
                share: *share,
                level_share,
                direction: Direction::Fell,
            });
        }
        changes
    }

    /// Returns the levels with demand so far, and for how long at `now` their share has been below
    /// 1, in milliseconds.
    pub fn levels(&self, now: Millis) -> impl Iterator<Item = (u8, Option<Millis>)> {
        let all = self.levels.iter();
        all.map(move |(level, since)| (*level, since.map(|at| now.saturating_sub(at))))
    }

    /// Returns for how long at `now` an organisation's share has been below 1, in milliseconds.
    #[must_use]
    pub fn below_one_ms(&self, now: Millis, key: &(u8, Name)) -> Option<Millis> {
        let since_ms = self.organisations.get(key)?;
        Some(now.saturating_sub(*since_ms))
    }

    /// Returns for how long at `now` an organisation's share has been below that of its level, in
    /// milliseconds.
    #[must_use]
    pub fn below_level_ms(&self, now: Millis, key: &(u8, Name)) -> Option<Millis> {
        let below = self.below.get(key)?;
        Some(now.saturating_sub(below.since_ms))
    }
}

fn share_of(levels: &[f64], level: u8) -> f64 {
    let share = levels.get(usize::from(level));
    share.copied().unwrap_or(1.0)
}
