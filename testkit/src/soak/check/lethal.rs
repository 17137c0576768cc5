//! Rules about requests that crash runners, and about what becomes of sound ones beside them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Violation, is_in_touch};
use crate::soak::observed::{Arrival, Millis, Observed, Sent};
use crate::soak::site::STABLE_WINDOW_MS;

/// Crashes after which a request is known, arrivals that it may have later.
const KNOWN_REQUEST_CRASHES: usize = 3;
const MAX_LETHAL: usize = 3;

/// Crashes after which a part of prompts is known.
const KNOWN_PART_CRASHES: usize = 5;

/// Counts arrivals of lethal requests that are known by then, by lethal part or for the lethal request.
pub(super) fn known_requests(o: &Observed) -> Vec<Violation> {
    let crashes = crashes_by_part(o);
    let found = crashes.iter().filter_map(|(part, crashes)| {
        let known = match part {
            Some(_) => KNOWN_PART_CRASHES,
            None => KNOWN_REQUEST_CRASHES,
        };
        let known_at = crashes.get(known - 1)? + STABLE_WINDOW_MS;
        let is_of = |a: &&Arrival| {
            let sent = o.sent.get(&a.id);
            a.crashes && sent.and_then(|s| s.lethal_part) == *part
        };
        let later = o.arrivals.iter().filter(is_of);
        let later = later.filter(|a| a.at_ms > known_at && is_in_touch(o, a.instance, a.at_ms));
        let requests = later.count();
        (requests > MAX_LETHAL).then_some(Violation::Lethal {
            part: *part,
            requests,
        })
    });
    found.collect()
}

/// Returns when runners crashed under each lethal part, and under the lethal request.
fn crashes_by_part(o: &Observed) -> BTreeMap<Option<u32>, Vec<Millis>> {
    let mut by_part: BTreeMap<Option<u32>, Vec<Millis>> = BTreeMap::new();
    for crash in &o.lethal_crashes {
        by_part.entry(crash.part).or_default().push(crash.at_ms);
    }
    by_part
}

/// Requests below which a share of them says nothing.
const MIN_REQUESTS: usize = 20;

/// Share of what begins in calm times at the first attempt that has to begin beside lethal requests.
const BEGUN_SHARE: f64 = 0.5;

/// Sound requests of a route, and those that began to run at the first attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Begun {
    /// Requests.
    pub sent: usize,
    /// Those that began.
    pub begun: usize,
}

impl Begun {
    fn share(self) -> f64 {
        self.begun as f64 / self.sent as f64
    }
}

/// What became of sound requests beside one lethal part, from when it is known, and in calm times.
#[derive(Clone, Copy, Debug)]
pub struct Beside {
    /// Number of the part.
    pub part: u32,
    /// Sound requests of its route while requests with it come.
    pub beside: Begun,
    /// Sound requests of its route in calm times.
    pub calm: Begun,
}

impl Beside {
    /// Returns whether too few requests began. Without enough requests of calm times all are expected to.
    fn is_broken(&self) -> bool {
        let expected = match self.calm.sent >= MIN_REQUESTS {
            true => self.calm.share(),
            false => 1.0,
        };
        self.beside.sent >= MIN_REQUESTS && self.beside.share() < BEGUN_SHARE * expected
    }
}

/// Returns what became of sound requests beside each lethal part.
#[must_use]
pub fn beside_lethal_parts(o: &Observed) -> Vec<Beside> {
    let began: BTreeSet<&str> = o
        .arrivals
        .iter()
        .filter(|a| a.ran)
        .map(|a| a.id.as_str())
        .collect();
    let count = |route: &str, counts: &dyn Fn(Millis) -> bool| {
        let mut found = Begun::default();
        for (id, sent) in &o.sent {
            let is_in_touch = sent.instance.is_some_and(|i| is_in_touch(o, i, sent.at_ms));
            let is_sound = sent.lethal_part.is_none() && sent.is_first && sent.route == route;
            if is_sound && is_in_touch && counts(sent.at_ms) {
                found.sent += 1;
                found.begun += usize::from(began.contains(id.as_str()));
            }
        }
        found
    };
    // What follows the first crash may be a consequence of it.
    let first_crash = o.lethal_crashes.first().map_or(Millis::MAX, |c| c.at_ms);
    let is_calm = |at_ms: Millis| {
        let from = at_ms.saturating_sub(STABLE_WINDOW_MS);
        let overlaps = |begin: Millis, end: Millis| begin <= at_ms && from <= end;
        let mut disturbed = o.disturbed.iter();
        at_ms < first_crash && !disturbed.any(|(_, begin, end)| overlaps(*begin, *end))
    };
    let crashes = crashes_by_part(o);
    // Until another part is known for long enough, its crashes are unplanned disruption of their own.
    let becomes_known: Vec<(u32, Millis, Millis)> = crashes
        .iter()
        .filter_map(|(part, crashes)| Some(((*part)?, *crashes.first()?, counts_from(crashes)?)))
        .collect();
    let is_disrupted_by_another = |part: u32, at_ms: Millis| {
        let mut others = becomes_known.iter().filter(|(other, _, _)| *other != part);
        others.any(|(_, first, known)| (*first..*known).contains(&at_ms))
    };
    let parts = crashes.iter().filter_map(|(part, crashes)| {
        let part = (*part)?;
        let from_ms = counts_from(crashes)?;
        let lethal: Vec<&Sent> = o
            .sent
            .values()
            .filter(|s| s.lethal_part == Some(part))
            .collect();
        let comes_at = |at_ms: Millis| {
            let is_near = |s: &&Sent| s.at_ms.abs_diff(at_ms) <= COMES_WITHIN_MS;
            lethal.iter().any(is_near)
        };
        let route = lethal.first()?.route;
        Some(Beside {
            part,
            beside: count(route, &|at_ms| {
                at_ms >= from_ms && comes_at(at_ms) && !is_disrupted_by_another(part, at_ms)
            }),
            calm: count(route, &is_calm),
        })
    });
    parts.collect()
}

/// Returns from when on sound requests beside a part count, given the crashes under it, in milliseconds.
fn counts_from(crashes: &[Millis]) -> Option<Millis> {
    let known = crashes.get(KNOWN_PART_CRASHES - 1).or(crashes.last())?;
    Some(known + 2 * STABLE_WINDOW_MS)
}

/// Time within which another lethal request comes while they come, in milliseconds.
const COMES_WITHIN_MS: Millis = 1_000;

/// Returns the lethal parts beside which too few sound requests began.
pub(super) fn lost(o: &Observed) -> Vec<Violation> {
    let broken = beside_lethal_parts(o).into_iter().filter(Beside::is_broken);
    broken
        .map(|b| Violation::Lost {
            part: b.part,
            begun: b.beside.begun,
            sent: b.beside.sent,
        })
        .collect()
}
