//! Committing a change: the decision before the head is written, and the resolution of a write
//! whose answer was lost.
//!
//! The head is written by compare-and-set on the version that was read, so of two operators who
//! planned against the same revision, one commits and the other gets a conflict. A write whose
//! answer was lost may have taken effect or may still do so; the change id in the head's history
//! resolves this. Repeating the same compare-and-set is safe, because at most one of the copies can
//! match the expected version.

use super::lineage::{MAX_HISTORY, commit_of};
use super::parts::content_of;
use crate::head::{Commit, Head, PartRef};
use crate::time::{Millis, Name};

/// Maximum number of lines in a commit's summary. The head contains the summaries of its whole
/// history, is sent to every instance on every change, and must fit the platform's limit of 1 MB.
pub const MAX_SUMMARY: usize = 5;

/// Maximum length of a summary line, in characters.
pub const MAX_SUMMARY_CHARS: usize = 120;

/// Maximum length of a change id or an operator's name, in bytes.
pub const MAX_LABEL_BYTES: usize = 64;

/// Validates a change id or an operator's name and returns the error, if any.
///
/// Both are stored in the head and shown to other operators: long ones would make the head too
/// large for the platform, and control characters could corrupt the history shown on a terminal.
pub fn label_error(label: &str) -> Option<&'static str> {
    if label.is_empty() {
        return Some("must not be empty");
    }
    if label.len() > MAX_LABEL_BYTES {
        return Some("is longer than 64 bytes");
    }
    label
        .chars()
        .any(char::is_control)
        .then_some("has control characters")
}

/// A change that an operator wants committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Revision that the operator planned against; 0 if there is none yet.
    pub base: u64,
    /// Change id.
    pub change: Name,
    /// Name of the operator.
    pub operator: Name,
    /// Unix time in milliseconds.
    pub at_ms: Millis,
    /// Parts of the new schema.
    pub parts: Vec<PartRef>,
    /// Summary of the difference, one line per changed item.
    pub summary: Vec<String>,
}

/// The decision on a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Replace the current head with this one.
    Commit(Head),
    /// The change was committed before; the retry is idempotent.
    AlreadyCommitted {
        /// Revision that it created.
        revision: u64,
    },
    /// The current schema already equals the proposed one.
    Unchanged {
        /// Current revision.
        revision: u64,
    },
    /// Another commit came first.
    Conflict {
        /// Current revision.
        standing: u64,
    },
    /// The change id belongs to a commit with different content, so the proposal must not be
    /// reported as already committed.
    ChangeReused {
        /// Revision created by that commit.
        revision: u64,
    },
}

/// Decides on a proposal, given the head currently on the platform.
pub fn decide(standing: Option<&Head>, proposal: &Proposal) -> Decision {
    let content = content_of(&proposal.parts);
    let revision = standing.map_or(0, |head| head.revision);
    if let Some(commit) = standing.and_then(|head| commit_with_change(head, &proposal.change)) {
        let revision = commit.revision;
        let same = commit.content == content;
        return if same {
            Decision::AlreadyCommitted { revision }
        } else {
            Decision::ChangeReused { revision }
        };
    }
    let newest = standing.and_then(|head| head.history.first());
    if newest.is_some_and(|commit| commit.content == content) {
        return Decision::Unchanged { revision };
    }
    if proposal.base != revision {
        return Decision::Conflict { standing: revision };
    }
    Decision::Commit(next_head(standing, proposal, content))
}

fn commit_with_change<'a>(head: &'a Head, change: &str) -> Option<&'a Commit> {
    head.history.iter().find(|commit| &*commit.change == change)
}

fn next_head(standing: Option<&Head>, proposal: &Proposal, content: Name) -> Head {
    let revision = proposal.base + 1;
    let commit = Commit {
        revision,
        change: proposal.change.clone(),
        operator: proposal.operator.clone(),
        at_ms: proposal.at_ms,
        content,
        summary: truncate_summary(&proposal.summary),
    };
    let earlier = standing.map_or(&[][..], |head| &head.history);
    let history = std::iter::once(commit)
        .chain(earlier.iter().cloned())
        .take(MAX_HISTORY);
    Head {
        revision,
        history: history.collect(),
        parts: proposal.parts.clone(),
    }
}

fn truncate_summary(summary: &[String]) -> Vec<String> {
    let mut lines: Vec<String> = summary
        .iter()
        .take(MAX_SUMMARY)
        .map(|l| truncate_line(l))
        .collect();
    let omitted = summary.len() - lines.len();
    if omitted > 0 {
        lines.push(format!("... and {omitted} more"));
    }
    lines
}

fn truncate_line(line: &str) -> String {
    match line.char_indices().nth(MAX_SUMMARY_CHARS) {
        Some((at, _)) => format!("{}...", &line[..at]),
        None => line.to_owned(),
    }
}

/// The state of a head write whose answer was lost, as determined by reading the head back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// The write took effect.
    Committed,
    /// The head is unchanged and the write may still take effect; the same compare-and-set can be
    /// repeated.
    Pending,
    /// Another commit has taken its revision, so the write did not and cannot take effect.
    Superseded {
        /// Current revision.
        standing: u64,
    },
    /// The head does not tell: it was rolled back, or its bounded history no longer includes the
    /// commit.
    Indeterminate,
}

/// Determines the state of a write whose answer was lost.
///
/// `expected` is the version that its compare-and-set required (0 if absent), and `standing` is the
/// current head with its version.
pub fn read_back(sent: &Head, expected: u64, standing: Option<(&Head, u64)>) -> ReadBack {
    let Some((head, version)) = standing else {
        return if expected == 0 {
            ReadBack::Pending
        } else {
            ReadBack::Indeterminate
        };
    };
    let ours = sent
        .history
        .first()
        .map(|commit| (&commit.change, &commit.content));
    let found = commit_of(head, sent.revision).map(|commit| (&commit.change, &commit.content));
    match found {
        Some(found) if Some(found) == ours => ReadBack::Committed,
        Some(_) => ReadBack::Superseded {
            standing: head.revision,
        },
        None if version == expected => ReadBack::Pending,
        None => ReadBack::Indeterminate,
    }
}
