//! Replicated record of an upstream and its merge.
//!
//! Several instances observe the same runner, and none of them owns its record. Each part is
//! therefore merged by a join of its own, so that all instances converge whatever the order in
//! which records arrive: leaving is irrevocable, the profile with the greatest report number wins,
//! and so do the greatest floors of suspicion and of refusal.

use crate::listed::{ListedInstance, ListedState};
use crate::load::{HeldLayers, LoadReport};
use crate::time::Name;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// The state of one upstream that changes rarely.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Its entry in the list; `state` is [`ListedState::Leaving`] once any source reported that it
    /// is leaving.
    pub listed: ListedInstance,
    /// Capabilities of a runner; absent for plain services and before the first report.
    pub profile: Option<RunnerProfile>,
    /// Sequence number of the report that contained the profile or refuted a suspicion.
    pub number: u64,
    /// Sequence number of the newest report at the time of the last suspicion: the upstream is
    /// suspected until `number` exceeds it.
    pub floor: Option<u64>,
    /// Sequence number of the newest report at the time of the last suspicion of an upstream whose
    /// host refused connections: the upstream has ended unless `number` exceeds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<u64>,
}

/// Capabilities of a runner: the part of its reports that changes rarely.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerProfile {
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers that it holds.
    pub holds: Vec<HeldLayers>,
    /// Speed in token-layers per second.
    pub token_layers_per_s: f64,
    /// Whether it refuses outdated fencing tokens.
    pub checks_fencing: bool,
}

/// Relative change of the speed up to which a profile counts as unchanged: the runner's speed
/// measurements fluctuate, and each change is gossiped to the whole fleet.
const SPEED_TOLERANCE: f64 = 0.05;

impl RunnerProfile {
    /// Extracts the profile from a report.
    #[must_use]
    pub fn of(report: &LoadReport) -> RunnerProfile {
        RunnerProfile {
            accelerator: report.accelerator.clone(),
            holds: report.holds.clone(),
            token_layers_per_s: report.token_layers_per_s,
            checks_fencing: report.checks_fencing,
        }
    }

    /// Whether the profiles are equal but for small changes of the speed, which are not gossiped.
    #[must_use]
    pub fn is_equivalent(&self, other: &RunnerProfile) -> bool {
        let (a, b) = (self.token_layers_per_s, other.token_layers_per_s);
        let similar_speed = (a - b).abs() <= SPEED_TOLERANCE * a.abs().max(b.abs());
        let same_accelerator = self.accelerator == other.accelerator;
        let same_fencing = self.checks_fencing == other.checks_fencing;
        similar_speed && same_accelerator && same_fencing && self.holds == other.holds
    }
}

impl UpstreamRecord {
    /// Creates a record for an entry of the list.
    #[must_use]
    pub fn new(listed: ListedInstance) -> UpstreamRecord {
        UpstreamRecord {
            listed,
            profile: None,
            number: 0,
            floor: None,
            refused: None,
        }
    }

    /// Whether the upstream is leaving.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.listed.state == ListedState::Leaving
    }

    /// Whether observers could not reach it and no report arrived since.
    #[must_use]
    pub fn suspected(&self) -> bool {
        self.floor.is_some_and(|floor| self.number <= floor)
    }

    /// Whether the upstream is suspected and its host refused connections: its process has ended.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.refused.is_some_and(|floor| self.number <= floor)
    }

    /// Merges another record with the same name; returns whether this one changed.
    pub fn merge(&mut self, other: &UpstreamRecord) -> bool {
        match other.listed.incarnation.cmp(&self.listed.incarnation) {
            Ordering::Less => false,
            Ordering::Greater => {
                *self = other.clone();
                true
            }
            Ordering::Equal => self.join(other),
        }
    }

    fn join(&mut self, other: &UpstreamRecord) -> bool {
        let before = self.clone();
        if other.merge_key() > before.merge_key() {
            *self = other.clone();
        }
        self.floor = before.floor.max(other.floor);
        self.refused = before.refused.max(other.refused);
        if before.leaving() || other.leaving() {
            self.listed.state = ListedState::Leaving;
        }
        *self != before
    }

    /// Returns a sort key that totally orders the parts without a join of their own: by report
    /// number, then by the serialised content, in case two observers have different content for the
    /// same number.
    fn merge_key(&self) -> (u64, String) {
        let l = &self.listed;
        let location = (&l.group, l.address, &l.domain);
        let text = serde_json::to_string(&(&self.profile, location));
        (self.number, text.unwrap_or_default())
    }

    /// Returns the hash of the whole record, equal on all instances that have the same record.
    #[must_use]
    pub fn hash(&self) -> u32 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        fnv1a(text.into_iter())
    }
}

/// FNV-1a hash: not cryptographic, identical on every build and machine.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.fold(OFFSET, |h, b| (h ^ u32::from(b)).wrapping_mul(PRIME))
}
