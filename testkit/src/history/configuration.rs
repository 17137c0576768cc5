//! Checks that an accepted configuration is in force everywhere within the limit and never reverts.

use std::collections::BTreeMap;

use jacinthweir_policy::prelude::*;

use super::Limits;
use super::record::{CommitSeen, History, InForceSeen};
use super::violation::Violation;

pub(super) fn check(history: &History, limits: &Limits, found: &mut Vec<Violation>) {
    check_commits(history, found);
    let mut newest = BTreeMap::<(&Name, u64), u64>::new();
    for seen in &history.in_force {
        let known = newest
            .entry((&seen.instance, seen.incarnation))
            .or_default();
        if seen.revision < *known {
            found.push(Violation::RevisionDecreased {
                instance: seen.instance.clone(),
                from: *known,
                to: seen.revision,
            });
        }
        *known = seen.revision.max(*known);
        if let Some(commit) = overdue_commit(history, limits, seen) {
            found.push(Violation::NotInForce {
                instance: seen.instance.clone(),
                revision: commit.revision,
                late_ms: seen.at_ms - commit.at_ms,
            });
        }
    }
}

fn check_commits(history: &History, found: &mut Vec<Violation>) {
    let mut by_revision = BTreeMap::<u64, &CommitSeen>::new();
    for commit in &history.commits {
        match by_revision.get(&commit.revision) {
            Some(other) if other.change != commit.change => {
                found.push(Violation::DuplicateRevision {
                    revision: commit.revision,
                    one: other.change.clone(),
                    other: commit.change.clone(),
                });
            }
            _ => {
                by_revision.insert(commit.revision, commit);
            }
        }
    }
}

/// Returns a commit that should have been in force on the instance when `seen` was observed. For
/// an instance that was frozen, the limit restarts when it resumes.
fn overdue_commit<'a>(
    history: &'a History,
    limits: &Limits,
    seen: &InForceSeen,
) -> Option<&'a CommitSeen> {
    if !seen.serving {
        return None;
    }
    let resumed = history
        .frozen
        .iter()
        .filter(|f| f.instance == seen.instance);
    let resumed = resumed
        .map(|f| f.woken_ms)
        .filter(|at| *at <= seen.at_ms)
        .max()
        .unwrap_or(0);
    let due = |c: &&CommitSeen| {
        let from = c.at_ms.max(resumed).max(seen.incarnation);
        seen.at_ms > from.saturating_add(limits.in_force_ms) && c.revision > seen.revision
    };
    history.commits.iter().find(due)
}
