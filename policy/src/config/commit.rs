//! Committing a change: the decision before the head is written and the one after its answer
//! was lost.
//!
//! The head is written by compare-and-set on the version that was read, so of two operators who
//! planned against the same revision one commits and the other gets a conflict. A write whose
//! answer is lost may have taken effect or may still do so; the change id in the head's history
//! tells. Repeating the same compare-and-set is harmless: at most one of the copies can find the
//! version it expects.

use super::lineage::{MAX_HISTORY, commit_of};
use super::parts::content_of;
use crate::head::{Commit, Head, PartRef};
use crate::time::{Millis, Name};

/// The most lines of a commit's summary. The head carries the summaries of its whole history,
/// goes to every instance with every change, and has to fit the platform's megabyte.
pub const MAX_SUMMARY: usize = 5;

/// The longest line of a summary, in characters.
pub const MAX_SUMMARY_CHARS: usize = 120;

/// The longest change id or operator's name, in bytes.
pub const MAX_LABEL_BYTES: usize = 64;

/// What is wrong with a change id or an operator's name. Both stand in the head and are shown to
/// other operators, so a long one would make the head too large for the platform, and control
/// characters would change what a terminal shows of the history.
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
    /// Revision that the operator planned against; 0: none stands yet.
    pub base: u64,
    /// Change id.
    pub change: Name,
    /// Who.
    pub operator: Name,
    /// Unix time, in milliseconds.
    pub at_ms: Millis,
    /// Parts of the new schema.
    pub parts: Vec<PartRef>,
    /// One line a change.
    pub summary: Vec<String>,
}

/// What is to be done with a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write this head over the one that stands.
    Commit(Head),
    /// This change was committed before: asking again is idempotent.
    AlreadyCommitted {
        /// Revision that it made.
        revision: u64,
    },
    /// The standing schema is the proposed one already.
    Unchanged {
        /// Standing revision.
        revision: u64,
    },
    /// Another commit came first.
    Conflict {
        /// Standing revision.
        standing: u64,
    },
    /// The change id belongs to a commit of other content: saying "already committed" would be
    /// untrue.
    ChangeReused {
        /// Revision which that commit made.
        revision: u64,
    },
}

/// Decides on a proposal against the head that stands on the platform.
pub fn decide(standing: Option<&Head>, proposal: &Proposal) -> Decision {
    let content = content_of(&proposal.parts);
    let revision = standing.map_or(0, |head| head.revision);
    if let Some(commit) = standing.and_then(|head| commit_with(head, &proposal.change)) {
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

fn commit_with<'a>(head: &'a Head, change: &str) -> Option<&'a Commit> {
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
        summary: short(&proposal.summary),
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

fn short(summary: &[String]) -> Vec<String> {
    let mut lines: Vec<String> = summary
        .iter()
        .take(MAX_SUMMARY)
        .map(|l| short_line(l))
        .collect();
    let left = summary.len() - lines.len();
    if left > 0 {
        lines.push(format!("... and {left} more"));
    }
    lines
}

fn short_line(line: &str) -> String {
    match line.char_indices().nth(MAX_SUMMARY_CHARS) {
        Some((at, _)) => format!("{}...", &line[..at]),
        None => line.to_owned(),
    }
}

/// What reading the head back tells of a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// It took effect.
    Committed,
    /// The head stands as before, and the write may still land: repeat the same compare-and-set.
    Pending,
    /// Another commit stands in its place: it did not take effect and never can.
    Superseded {
        /// Standing revision.
        standing: u64,
    },
    /// The head no longer tells: it went back, or its history has grown past the commit.
    Indeterminate,
}

/// Reads a lost write back. `expected` is the version that its compare-and-set asked for (0:
/// absent), `standing` what stands now with its version.
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
    let there = commit_of(head, sent.revision).map(|commit| (&commit.change, &commit.content));
    match there {
        Some(there) if Some(there) == ours => ReadBack::Committed,
        Some(_) => ReadBack::Superseded {
            standing: head.revision,
        },
        None if version == expected => ReadBack::Pending,
        None => ReadBack::Indeterminate,
    }
}
