//! Judges a recorded history of what was in force where.
//!
//! The promise: a configuration, once accepted, is in force everywhere within seconds and never
//! reverts. The functions are pure and take records in the order in which each instance made
//! them, so any run, simulated or of real processes, can be judged.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::head::Commit;
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

/// What an operator was told of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyRecord {
    /// Change id; an apply asked again is another record with the same id.
    pub change: Name,
    /// What was said.
    pub outcome: ReportedOutcome,
}

/// What was said of an apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// Committed as this revision.
    Committed(u64),
    /// Nothing was committed.
    Refused,
    /// Not known.
    Unknown,
}

/// A broken promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A revision came into force after a greater one.
    #[display("{instance}: revision {after} came into force after {before}")]
    Reverted {
        /// Instance.
        instance: Name,
        /// Revision in force before.
        before: u64,
        /// Revision put in force over it.
        after: u64,
    },
    /// One revision number stood for two contents.
    #[display("{instance}: revision {revision} has other content here than elsewhere")]
    ConflictingContent {
        /// Instance.
        instance: Name,
        /// Revision.
        revision: u64,
    },
    /// An operator was told of a commit that does not stand.
    #[display("change {change} was said to be revision {revision}, and is not")]
    LostCommit {
        /// Change.
        change: Name,
        /// Revision that was said.
        revision: u64,
    },
    /// An operator was told that nothing was committed, and it was.
    #[display("change {change} was refused, and stands as revision {revision}")]
    RefusedButCommitted {
        /// Change.
        change: Name,
        /// Its revision.
        revision: u64,
    },
    /// A change stands twice.
    #[display("change {change} stands twice")]
    CommittedTwice {
        /// Change.
        change: Name,
    },
    /// An accepted revision was not in force in time.
    #[display("{instance}: nothing from revision {revision} on in force {within_ms} ms after")]
    NotInForceInTime {
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
pub fn check_never_reverts(
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
            return Err(Violation::Reverted {
                instance,
                before,
                after: *revision,
            });
        }
        *before = *revision;
        if *contents.entry(*revision).or_insert(&record.content) != &record.content {
            let instance = instance.clone();
            return Err(Violation::ConflictingContent {
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
pub fn check_in_force_within(
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
                return Err(Violation::NotInForceInTime {
                    instance,
                    revision,
                    within_ms,
                });
            }
        }
    }
    Ok(())
}

/// Checks what operators were told against the commits that stand, oldest or newest first. A
/// change that was refused at one time may have been committed by another ask of the same id.
///
/// # Errors
///
/// The first violation.
pub fn check_reported_outcomes(
    applies: &[ApplyRecord],
    commits: &[Commit],
) -> Result<(), Violation> {
    let mut stands: BTreeMap<&Name, u64> = BTreeMap::new();
    for commit in commits {
        if stands.insert(&commit.change, commit.revision).is_some() {
            let change = commit.change.clone();
            return Err(Violation::CommittedTwice { change });
        }
    }
    for apply in applies {
        let change = apply.change.clone();
        match (apply.outcome, stands.get(&change).copied()) {
            (ReportedOutcome::Committed(revision), found) if found != Some(revision) => {
                return Err(Violation::LostCommit { change, revision });
            }
            (ReportedOutcome::Refused, Some(revision)) if asked_once(applies, &change) => {
                return Err(Violation::RefusedButCommitted { change, revision });
            }
            _ => {}
        }
    }
    Ok(())
}

fn asked_once(applies: &[ApplyRecord], change: &Name) -> bool {
    applies
        .iter()
        .filter(|apply| apply.change == *change)
        .count()
        == 1
}
