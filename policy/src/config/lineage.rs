//! The relation between two heads.
//!
//! Revisions are numbers, and a platform restored from an older copy can assign the same number to
//! a different change. The commits in a head's history distinguish such heads: a head may only be
//! succeeded by one whose history contains it.

use derive_more::Display;

use super::parts::{MAX_PART_BYTES, SLICES};
use crate::head::{Commit, Head};

/// Maximum number of commits kept in a head's history.
pub const MAX_HISTORY: usize = 64;

/// The relation of another head to ours.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Relation {
    /// The same commit.
    Same,
    /// An earlier commit in our history, or one older than our history reaches.
    Ancestor,
    /// A later commit whose history contains ours or no longer reaches back to it.
    Descendant,
    /// A commit of a diverged history: at the older of the two revisions the histories disagree.
    Foreign,
}

/// Returns the relation of `other` to `ours`.
pub fn relation(ours: &Head, other: &Head) -> Relation {
    if other.revision == ours.revision {
        let same = same_commit(ours.history.first(), other.history.first());
        return if same && ours.parts == other.parts {
            Relation::Same
        } else {
            Relation::Foreign
        };
    }
    let (older, newer, expected) = if other.revision < ours.revision {
        (other, ours, Relation::Ancestor)
    } else {
        (ours, other, Relation::Descendant)
    };
    match commit_of(newer, older.revision) {
        // The history is bounded: an instance that missed more commits than it holds cannot verify
        // the lineage and goes by the revision number.
        None => expected,
        Some(commit) if same_commit(Some(commit), older.history.first()) => expected,
        Some(_) => Relation::Foreign,
    }
}

/// Returns the commit of a revision from a head's history.
pub fn commit_of(head: &Head, revision: u64) -> Option<&Commit> {
    head.history
        .iter()
        .find(|commit| commit.revision == revision)
}

fn same_commit(a: Option<&Commit>, b: Option<&Commit>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => a.change == b.change && a.content == b.content,
        _ => false,
    }
}

/// An inconsistency in a head.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HeadError {
    /// The newest commit does not match the head's revision.
    #[display("the newest commit is not that of the revision")]
    Revision,
    /// Commits are not in descending order, or there are too many.
    #[display("the history is out of order or too long")]
    History,
    /// There are no parts, too many parts or an oversized part, or their hash does not match the
    /// commit.
    #[display("the parts are not those of the commit")]
    Parts,
}

/// Validates a head received from the platform or a peer.
///
/// # Errors
///
/// Returns the first inconsistency found.
pub fn validate_head(head: &Head) -> Result<(), HeadError> {
    let newest = head.history.first().ok_or(HeadError::Revision)?;
    if head.revision == 0 || newest.revision != head.revision {
        return Err(HeadError::Revision);
    }
    let descending = head
        .history
        .windows(2)
        .all(|two| two[0].revision > two[1].revision);
    if !descending || head.history.len() > MAX_HISTORY {
        return Err(HeadError::History);
    }
    let max_parts = SLICES as usize + 1;
    let sizes_valid = head
        .parts
        .iter()
        .all(|part| part.bytes <= MAX_PART_BYTES as u64);
    if head.parts.is_empty() || head.parts.len() > max_parts || !sizes_valid {
        return Err(HeadError::Parts);
    }
    if newest.content != super::parts::content_of(&head.parts) {
        return Err(HeadError::Parts);
    }
    Ok(())
}
