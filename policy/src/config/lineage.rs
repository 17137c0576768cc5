//! How two heads stand to one another.
//!
//! Revisions are numbers, and a platform restored from an older copy can give the same number to
//! another change. The commits in a head's history tell such heads apart: a head may only be
//! followed by one whose history contains it.

use derive_more::Display;

use super::parts::{MAX_PART_BYTES, SLICES};
use crate::head::{Commit, Head};

/// The most commits kept in a head.
pub const MAX_HISTORY: usize = 64;

/// How another head stands to ours.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Relation {
    /// The same commit.
    Same,
    /// An earlier commit of our history, or one older than it reaches.
    Ancestor,
    /// A later commit whose history contains ours, or has grown past it.
    Descendant,
    /// A commit of another history: its revision, or ours in its history, names another change.
    Foreign,
}

/// How `other` stands to `ours`.
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
        // The history is bounded: an instance that slept through more commits than it holds
        // cannot prove the lineage and follows the number.
        None => expected,
        Some(commit) if same_commit(Some(commit), older.history.first()) => expected,
        Some(_) => Relation::Foreign,
    }
}

/// The commit of a revision in a head's history.
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

/// What is wrong with a head.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HeadError {
    /// The newest commit is not that of the head's revision.
    #[display("the newest commit is not that of the revision")]
    Revision,
    /// Commits are not in falling order, or there are too many.
    #[display("the history is out of order or too long")]
    History,
    /// No part, too many, a part too large, or their hash is not that of the commit.
    #[display("the parts are not those of the commit")]
    Parts,
}

/// Checks a head that came from outside before anything is decided by it.
///
/// # Errors
///
/// What is wrong with it.
pub fn validate_head(head: &Head) -> Result<(), HeadError> {
    let newest = head.history.first().ok_or(HeadError::Revision)?;
    if head.revision == 0 || newest.revision != head.revision {
        return Err(HeadError::Revision);
    }
    let falling = head
        .history
        .windows(2)
        .all(|two| two[0].revision > two[1].revision);
    if !falling || head.history.len() > MAX_HISTORY {
        return Err(HeadError::History);
    }
    let most = SLICES as usize + 1;
    let small = head
        .parts
        .iter()
        .all(|part| part.bytes <= MAX_PART_BYTES as u64);
    if head.parts.is_empty() || head.parts.len() > most || !small {
        return Err(HeadError::Parts);
    }
    if newest.content != super::parts::content_of(&head.parts) {
        return Err(HeadError::Parts);
    }
    Ok(())
}
