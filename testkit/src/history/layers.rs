//! Checks that every layer of the model runs exactly once for each token, in order.

use std::collections::{BTreeMap, BTreeSet};

use jacinthweir_policy::prelude::*;

use super::record::{ExecutedRange, History, Work};
use super::violation::Violation;

/// One token of one attempt.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Token {
    request: Name,
    index: u32,
    attempt: u32,
}

pub(super) fn check(history: &History, found: &mut Vec<Violation>) {
    let mut parts = BTreeMap::<Token, Vec<&ExecutedRange>>::new();
    for ran in &history.ran {
        let token = Token {
            request: ran.request.clone(),
            index: ran.index,
            attempt: ran.attempt,
        };
        parts.entry(token).or_default().push(ran);
    }
    let lost = lost_requests(history);
    let mut covered = BTreeSet::<(&Name, u32)>::new();
    for (token, parts) in &mut parts {
        if lost.contains(&token.request) {
            check_disjoint(token, parts, found);
            continue;
        }
        // Timestamps have millisecond resolution; equal ones are ordered by layers.
        parts.sort_by_key(|r| (r.at_ms, r.layers));
        match check_contiguous(token, parts) {
            Ok(end) if end == history.layers => {
                covered.insert((&token.request, token.index));
            }
            Ok(_) => {}
            Err(violation) => found.push(violation),
        }
    }
    check_delivered(history, &covered, &lost, found);
}

/// Checks that the ranges of one token are contiguous in time order; returns the last layer's end.
fn check_contiguous(token: &Token, parts: &[&ExecutedRange]) -> Result<u32, Violation> {
    let mut next = 0;
    for part in parts {
        if part.layers.start != next {
            return Err(Violation::LayersOverlap {
                request: token.request.clone(),
                attempt: token.attempt,
                index: token.index,
                layers: part.layers,
            });
        }
        next = part.layers.end;
    }
    Ok(next)
}

/// Returns the requests that reached a killed runner, whose last log entries are lost.
fn lost_requests(history: &History) -> BTreeSet<&Name> {
    let lost = history.arrived.iter();
    let lost = lost.filter(|a| history.killed_runners.contains(&a.upstream));
    lost.map(|a| &a.request).collect()
}

/// Checks a token whose log may have gaps: only that no layer ran twice.
fn check_disjoint(token: &Token, parts: &mut [&ExecutedRange], found: &mut Vec<Violation>) {
    parts.sort_by_key(|r| r.layers);
    for pair in parts.windows(2) {
        if pair[1].layers.start < pair[0].layers.end {
            found.push(Violation::LayersOverlap {
                request: token.request.clone(),
                attempt: token.attempt,
                index: token.index,
                layers: pair[1].layers,
            });
        }
    }
}

/// Checks that every token delivered to a caller ran through all layers in some attempt.
fn check_delivered(
    history: &History,
    covered: &BTreeSet<(&Name, u32)>,
    lost: &BTreeSet<&Name>,
    found: &mut Vec<Violation>,
) {
    for s in &history.submissions {
        let (Work::Model { .. }, Some(request)) = (&s.work, &s.seen.request) else {
            continue;
        };
        if lost.contains(request) {
            continue;
        }
        for index in 0..u32::try_from(s.seen.token_us.len()).unwrap_or(u32::MAX) {
            if !covered.contains(&(request, index)) {
                found.push(Violation::TokenNotCovered {
                    request: request.clone(),
                    index,
                });
            }
        }
    }
}
