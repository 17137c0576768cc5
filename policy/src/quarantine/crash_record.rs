//! Crash records, as sent between instances and stored. Times are given as ages, since the clocks of
//! instances differ.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::crashes::{CrashedRun, MAX_LIFETIMES, suffices};
use crate::fingerprint::Fingerprint;
use crate::lifetime::Lifetime;
use crate::prelude::*;
use crate::prompt_part::PromptPart;

/// What may crash the runners that run it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Suspect {
    /// One request, in all of its attempts.
    #[display("{_0}")]
    Request(Fingerprint),
    /// All requests with a part of their prompts.
    #[display("part-{_0}")]
    Part(PromptPart),
}

/// Crashes counted against a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Suspect.
    #[serde(rename = "request")]
    pub suspect: Suspect,
    /// Crashes of runners while they ran it.
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
    /// Lifetimes whose crashes do not count against it.
    #[serde(rename = "void")]
    pub cleared: BTreeSet<Lifetime>,
    /// Newest era of the store in which the record was written there.
    pub stored_era: Option<u64>,
    /// Time from the last change of the record to its serialisation, in milliseconds.
    pub age_ms: Millis,
}

impl CrashRecord {
    /// Returns whether this record alone suffices to quarantine the suspect.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        let counted = self
            .crashes
            .iter()
            .filter(|c| !self.cleared.contains(&c.lifetime));
        let runs: Vec<CrashedRun> = counted.map(|c| CrashedRun::of(c, 0)).collect();
        suffices(self.suspect, &runs.iter().collect::<Vec<_>>())
    }

    /// Returns whether the record is longer than any that an instance sends.
    pub(super) fn is_long(&self) -> bool {
        self.crashes.len() + self.cleared.len() > 2 * MAX_LIFETIMES
    }
}

/// Crash of a runner while it ran a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Lifetime that ended.
    pub lifetime: Lifetime,
    /// Instance whose run broke off.
    pub seen_by: Name,
    /// Time from the sending of that run to serialisation, in milliseconds.
    pub sent_age_ms: Millis,
    /// Time from the failure of that run to serialisation, in milliseconds.
    pub broke_age_ms: Millis,
    /// Request of that run; absent in records written before parts of prompts were suspects.
    #[serde(default)]
    pub request: Option<Fingerprint>,
    /// Longest time for which a run of the suspect had produced output on that runner, in milliseconds.
    #[serde(default)]
    pub longest_ms: Millis,
}
