//! Judges a recorded history of what was in force where.
//!
//! The promise: a configuration, once accepted, is in force everywhere within seconds and never
//! reverts. The functions are pure and take records in the order in which each instance made
//! them, so any run, simulated or of real processes, can be judged.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::time::{Millis, Name};

/// An instance put a revision in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForceRecord {
    /// Instance.
    pub instance: Name,
    /// Its incarnation: a restarted instance starts anew.
    pub incarnation: u64,
    /// Time, in milliseconds of a clock common to the records.
    pub at_ms: Millis,
    /// Revision.
    pub revision: u64,
    /// Hash of the content.
    pub content: Name,
}

/// An operator was told that a change is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedRecord {
    /// Time, in milliseconds of the same clock.
    pub at_ms: Millis,
    /// Revision.
    pub revision: u64,
    /// Hash of the content.
    pub content: Name,
}

/// A broken promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A revision came into force after a greater one.
    #[display("{instance}: revision {after} came into force after {before}")]
    WentBack {
        /// Instance.
        instance: Name,
        /// Revision in force before.
        before: u64,
        /// Revision put in force over it.
        after: u64,
    },
    /// One revision number stood for two contents.
    #[display("{instance}: revision {revision} has other content here than elsewhere")]
    TwoContents {
        /// Instance.
        instance: Name,
        /// Revision.
        revision: u64,
    },
    /// An accepted revision was not in force in time.
    #[display("{instance}: nothing from revision {revision} on in force {within_ms} ms after")]
    Late {
        /// Instance.
        instance: Name,
        /// Accepted revision.
        revision: u64,
        /// Time allowed, in milliseconds.
        within_ms: Millis,
    },
}

/// Checks that no instance went back and that a revision means the same everywhere.
///
/// # Errors
///
/// The first violation.
pub fn never_reverts(
    accepted: &[AcceptedRecord],
    in_force: &[InForceRecord],
) -> Result<(), Violation> {
    let mut contents: BTreeMap<u64, &Name> = accepted
        .iter()
        .map(|record| (record.revision, &record.content))
        .collect();
    let mut newest: BTreeMap<(&Name, u64), u64> = BTreeMap::new();
    for record in in_force {
        let InForceRecord {
            instance, revision, ..
        } = record;
        let before = newest.entry((instance, record.incarnation)).or_default();
        if *revision < *before {
            let (instance, before) = (instance.clone(), *before);
            return Err(Violation::WentBack {
                instance,
                before,
                after: *revision,
            });
        }
        *before = *revision;
        if *contents.entry(*revision).or_insert(&record.content) != &record.content {
            let instance = instance.clone();
            return Err(Violation::TwoContents {
                instance,
                revision: *revision,
            });
        }
    }
    Ok(())
}

/// Checks that each of `instances`, up all the time, had each accepted revision or a later one in
/// force within `within_ms`.
///
/// # Errors
///
/// The first violation.
pub fn in_force_within(
    instances: &[Name],
    accepted: &[AcceptedRecord],
    in_force: &[InForceRecord],
    within_ms: Millis,
) -> Result<(), Violation> {
    for change in accepted {
        let until = change.at_ms + within_ms;
        for instance in instances {
            let reached = in_force.iter().any(|record| {
                record.instance == *instance
                    && record.revision >= change.revision
                    && record.at_ms <= until
            });
            if !reached {
                let (instance, revision) = (instance.clone(), change.revision);
                return Err(Violation::Late {
                    instance,
                    revision,
                    within_ms,
                });
            }
        }
    }
    Ok(())
}
