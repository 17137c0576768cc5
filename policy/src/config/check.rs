//! Verifies a recorded history of configuration changes.
//!
//! The guarantee: an accepted configuration comes into force on every instance within seconds and
//! never reverts. The functions are pure and take the records in the order in which each instance
//! made them, so they apply to simulated runs and to runs of real processes alike.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::head::Commit;
use crate::time::{Millis, Name};

/// Records that an instance put a revision in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForceRecord {
    /// Instance.
    pub instance: Name,
    /// Its incarnation; a restart begins a new sequence of revisions.
    pub incarnation: u64,
    /// Time in milliseconds, on a clock shared by all records.
    pub at_ms: Millis,
    /// Revision.
    pub revision: u64,
    /// Hash of the content.
    pub content: Name,
}

/// Records that a change was reported to an operator as committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedRecord {
    /// Time in milliseconds, on the same clock.
    pub at_ms: Millis,
    /// Revision.
    pub revision: u64,
    /// Hash of the content.
    pub content: Name,
}

/// Records the outcome of an apply as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyRecord {
    /// Change id; a retried apply adds another record with the same id.
    pub change: Name,
    /// Reported outcome.
    pub outcome: ReportedOutcome,
}

/// The outcome of an apply as reported to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// Committed as this revision.
    Committed(u64),
    /// Refused: nothing was committed.
    Refused,
    /// The outcome is unknown.
    Unknown,
}

/// A violation of the guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// An instance put a lower revision in force after a higher one.
    #[display("{instance}: revision {after} came into force after {before}")]
    Reverted {
        /// Instance.
        instance: Name,
        /// Revision in force before.
        before: u64,
        /// Lower revision put in force afterwards.
        after: u64,
    },
    /// The same revision number was in force with different contents.
    #[display("{instance}: revision {revision} has other content here than elsewhere")]
    ConflictingContent {
        /// Instance.
        instance: Name,
        /// Revision.
        revision: u64,
    },
    /// A change was reported as committed, but that commit is not in the history.
    #[display("change {change} was said to be revision {revision}, and is not")]
    LostCommit {
        /// Change.
        change: Name,
        /// Reported revision.
        revision: u64,
    },
    /// A change was reported as refused, but is in the history.
    #[display("change {change} was refused, and stands as revision {revision}")]
    RefusedButCommitted {
        /// Change.
        change: Name,
        /// Its revision.
        revision: u64,
    },
    /// A change is in the history twice.
    #[display("change {change} stands twice")]
    CommittedTwice {
        /// Change.
        change: Name,
    },
    /// An accepted revision did not come into force in time.
    #[display("{instance}: nothing from revision {revision} on in force {within_ms} ms after")]
    NotInForceInTime {
        /// Instance.
        instance: Name,
        /// Accepted revision.
        revision: u64,
        /// Time limit in milliseconds.
        within_ms: Millis,
    },
}

/// Checks that no instance reverts to a lower revision and that each revision has the same content
/// on every instance.
///
/// # Errors
///
/// Returns the first violation.
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

/// Checks that each of `instances`, all up throughout the run, put each accepted revision or a
/// later one in force within `within_ms`.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_in_force_within(
    instances: &[Name],
    accepted: &[AcceptedRecord],
    in_force: &[InForceRecord],
    within_ms: Millis,
) -> Result<(), Violation> {
    for change in accepted {
        let deadline = change.at_ms + within_ms;
        for instance in instances {
            let reached = in_force.iter().any(|record| {
                record.instance == *instance
                    && record.revision >= change.revision
                    && record.at_ms <= deadline
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

/// Checks the outcomes reported to operators against the committed history, in either order. A
/// change that was refused once may have been committed by a retry with the same id.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_reported_outcomes(
    applies: &[ApplyRecord],
    commits: &[Commit],
) -> Result<(), Violation> {
    let mut committed: BTreeMap<&Name, u64> = BTreeMap::new();
    for commit in commits {
        if committed.insert(&commit.change, commit.revision).is_some() {
            let change = commit.change.clone();
            return Err(Violation::CommittedTwice { change });
        }
    }
    for apply in applies {
        let change = apply.change.clone();
        match (apply.outcome, committed.get(&change).copied()) {
            (ReportedOutcome::Committed(revision), found) if found != Some(revision) => {
                return Err(Violation::LostCommit { change, revision });
            }
            (ReportedOutcome::Refused, Some(revision)) if applied_once(applies, &change) => {
                return Err(Violation::RefusedButCommitted { change, revision });
            }
            _ => {}
        }
    }
    Ok(())
}

fn applied_once(applies: &[ApplyRecord], change: &Name) -> bool {
    applies
        .iter()
        .filter(|apply| apply.change == *change)
        .count()
        == 1
}
