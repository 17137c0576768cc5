//! Evidence of crashes, as sent between instances and stored. Times are given as ages, since
//! the clocks of instances differ.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};

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

/// A crash, with the runs that it is known to have interrupted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Lifetime that ended.
    pub lifetime: Lifetime,
    /// Interrupted runs, by the instance that sent them.
    pub runs: BTreeMap<Name, Vec<RunReport>>,
    /// Suspects that did not cause it, since they have survived later, or a moment before.
    pub cleared: BTreeSet<Suspect>,
    /// Whether the runner has answered again in that lifetime.
    pub is_refuted: bool,
    /// Newest era of the store in which the crash was written there.
    pub stored_era: Option<u64>,
    /// Time from the last news of the crash, or the last request refused for it, to serialisation, in
    /// milliseconds.
    pub age_ms: Millis,
}

/// A run that a crash interrupted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Request.
    pub request: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Time for which it had produced output, in milliseconds; `None` if it is not known to have begun.
    pub ran_ms: Option<Millis>,
    /// Time from its sending to serialisation, in milliseconds.
    pub sent_age_ms: Millis,
    /// Time from its failure to serialisation, in milliseconds.
    pub broke_age_ms: Millis,
}

/// Crashes that former releases stored for one quarantined suspect.
#[derive(Clone, Debug, Deserialize)]
pub struct FormerRecord {
    #[serde(rename = "request")]
    suspect: Suspect,
    #[serde(rename = "ends")]
    crashes: Vec<FormerCrash>,
    #[serde(rename = "void")]
    cleared: BTreeSet<Lifetime>,
    age_ms: Millis,
}

#[derive(Clone, Debug, Deserialize)]
struct FormerCrash {
    lifetime: Lifetime,
    seen_by: Name,
    sent_age_ms: Millis,
    broke_age_ms: Millis,
    #[serde(default)]
    request: Option<Fingerprint>,
    #[serde(default)]
    longest_ms: Millis,
}

impl From<FormerRecord> for Vec<CrashReport> {
    fn from(record: FormerRecord) -> Vec<CrashReport> {
        let cleared = &record.cleared;
        let counted = record.crashes.into_iter();
        let counted = counted.filter(|c| !cleared.contains(&c.lifetime));
        let reports = counted.map(|c| {
            // A record without a request tells crashes apart by the runner only.
            let by_runner = || Fingerprint::of(None, &c.lifetime.runner, "", b"");
            let (request, parts) = match record.suspect {
                Suspect::Request(request) => (request, Vec::new()),
                Suspect::Part(part) => (c.request.unwrap_or_else(by_runner), vec![part]),
            };
            let run = RunReport {
                request,
                parts,
                ran_ms: Some(c.longest_ms),
                sent_age_ms: c.sent_age_ms,
                broke_age_ms: c.broke_age_ms,
            };
            CrashReport {
                runs: BTreeMap::from([(c.seen_by, vec![run])]),
                lifetime: c.lifetime,
                cleared: BTreeSet::new(),
                is_refuted: false,
                stored_era: None,
                age_ms: record.age_ms,
            }
        });
        reports.collect()
    }
}
