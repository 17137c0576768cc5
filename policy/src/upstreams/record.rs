//! What instances tell each other of an upstream, and how two records are merged.
//!
//! Several instances observe the same runner, and none of them owns its record. Each part of the
//! record is therefore joined on its own, so that all instances end with the same one in whatever
//! order records arrive: leaving is never taken back, the profile of the greatest report number
//! wins, and so does the greatest floor of a suspicion.

use crate::listed::{ListedInstance, ListedState};
use crate::load::{HeldLayers, LoadReport};
use crate::time::Name;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// What is known of one upstream and changes rarely.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Its listing; `state` is [`ListedState::Leaving`] once anything said that it leaves.
    pub listed: ListedInstance,
    /// What a runner can do; absent for plain services and before the first report.
    pub profile: Option<RunnerProfile>,
    /// Number of a report: of the one that brought the profile, or that ended a suspicion.
    pub number: u64,
    /// Number of the newest report when observers could not reach it any more: it is suspected as
    /// long as `number` isn't above this one.
    pub floor: Option<u64>,
}

/// What a runner can do: the part of its reports that changes rarely.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerProfile {
    /// Accelerator kind.
    pub accelerator: Name,
    /// Layers held.
    pub holds: Vec<HeldLayers>,
    /// Token-layers a second.
    pub token_layers_per_s: f64,
    /// Whether it refuses an old fencing number.
    pub checks_fencing: bool,
}

/// Change of the speed, as a share, below which a profile counts as unchanged: speeds are measured
/// by the runner and vary, and each change is told to the whole fleet.
const SPEED_TOLERANCE: f64 = 0.05;

impl RunnerProfile {
    /// The profile in a report.
    #[must_use]
    pub fn of(report: &LoadReport) -> RunnerProfile {
        RunnerProfile {
            accelerator: report.accelerator.clone(),
            holds: report.holds.clone(),
            token_layers_per_s: report.token_layers_per_s,
            checks_fencing: report.checks_fencing,
        }
    }

    /// Whether nothing changed that others have to know.
    #[must_use]
    pub fn same(&self, other: &RunnerProfile) -> bool {
        let (a, b) = (self.token_layers_per_s, other.token_layers_per_s);
        let close = (a - b).abs() <= SPEED_TOLERANCE * a.abs().max(b.abs());
        let kind = self.accelerator == other.accelerator;
        let fencing = self.checks_fencing == other.checks_fencing;
        close && kind && fencing && self.holds == other.holds
    }
}

impl UpstreamRecord {
    /// A record of a listing.
    #[must_use]
    pub fn new(listed: ListedInstance) -> UpstreamRecord {
        UpstreamRecord {
            listed,
            profile: None,
            number: 0,
            floor: None,
        }
    }

    /// Whether it leaves.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.listed.state == ListedState::Leaving
    }

    /// Whether observers could not reach it and no report came since.
    #[must_use]
    pub fn suspected(&self) -> bool {
        self.floor.is_some_and(|floor| self.number <= floor)
    }

    /// Merges another record of the same name; returns whether anything changed.
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
        if other.payload() > before.payload() {
            *self = other.clone();
        }
        self.floor = before.floor.max(other.floor);
        if before.leaving() || other.leaving() {
            self.listed.state = ListedState::Leaving;
        }
        *self != before
    }

    /// Everything but the joined parts, in a total order: the report number decides, and the text
    /// of the rest where two observers gave different contents for the same number.
    fn payload(&self) -> (u64, String) {
        let l = &self.listed;
        let place = (&l.group, l.address, &l.domain);
        let text = serde_json::to_string(&(&self.profile, place));
        (self.number, text.unwrap_or_default())
    }

    /// Hash of the whole record: the same on all instances that have the same record.
    #[must_use]
    pub fn hash(&self) -> u32 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        fnv(text.into_iter())
    }
}

/// FNV-1a: not for secrets, the same on every build and machine.
pub(crate) fn fnv(bytes: impl Iterator<Item = u8>) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.fold(OFFSET, |h, b| (h ^ u32::from(b)).wrapping_mul(PRIME))
}
