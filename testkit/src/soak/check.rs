//! The rules named BUDGET, LOST beside lethal parts, FAULT, and that of announced limits, counted from what
//! callers and runners saw and from the processes of the instances.
//!
//! Each rule is counted as the users' pages word it. Where a rule holds for machines in touch only, a
//! disturbance of the instance or of the store within the window before excuses it.

pub mod lethal;
pub mod process;
mod store_reads;
mod violation;

use std::collections::{BTreeMap, BTreeSet};

pub use self::violation::Violation;
use super::observed::{Arrival, End, Millis, Observed, Rest, Sent, Target};
use super::site::{BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_MS, STABLE_WINDOW_MS};

/// Requests that may run on more runners than their route allows.
const MAX_TOO_MANY_RUNNERS: usize = 3;

/// Time by which a runner may be left more time than the caller has, in milliseconds.
const DEADLINE_SLACK_MS: u64 = 500;

/// Requests that may leave a runner too much time, in any case and as a share.
const MAX_LATE_DEADLINES: usize = 20;
const MAX_LATE_DEADLINE_SHARE: f64 = 0.2;

/// Requests that may reach a runner that rests, and the time in which they may.
const MAX_AT_REST: usize = 2;
const REST_SLACK_MS: Millis = 500;

/// Step at which windows of the retry budget begin, in milliseconds.
const STEP_MS: Millis = 100;

/// Returns the broken rules.
#[must_use]
pub fn check(o: &Observed) -> Vec<Violation> {
    let mut violations: Vec<Violation> = densest_windows(o)
        .into_iter()
        .filter(|w| w.excess() > 0.0)
        .map(Window::into_violation)
        .collect();
    violations.extend(too_many_runners(o));
    violations.extend(late_deadlines(o));
    violations.extend(at_rest(o));
    violations.extend(lethal::known_requests(o));
    violations.extend(lethal::lost(o));
    violations.extend(above_limits(o));
    violations.extend(process::faults(o));
    violations.extend(store_reads::above_rate(o));
    let ended = |end| o.sent.values().filter(|s| s.end == Some(end)).count();
    let (garbled, denied) = (ended(End::Garbled), ended(End::Denied));
    violations.extend((garbled > 0).then_some(Violation::Garbled(garbled)));
    violations.extend((denied > 0).then_some(Violation::Denied(denied)));
    violations
}

/// The window of a service that comes nearest to the bound, or exceeds it most.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Service.
    pub service: &'static str,
    /// Beginning.
    pub from_ms: Millis,
    /// Arrivals beyond the first of each request.
    pub repeats: usize,
    /// Repeats that are allowed.
    pub allowed: f64,
}

impl Window {
    /// Returns the repeats beyond the bound; negative below it.
    #[must_use]
    pub fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }

    fn into_violation(self) -> Violation {
        Violation::Repeats {
            service: self.service,
            from_ms: self.from_ms,
            repeats: self.repeats,
            allowed: self.allowed,
        }
    }
}

/// Returns the worst window of each service.
#[must_use]
pub fn densest_windows(o: &Observed) -> Vec<Window> {
    let mut repeats: BTreeMap<&'static str, Vec<Millis>> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for arrival in &o.arrivals {
        if !seen.insert(&arrival.id)
            && let Some(sent) = o.sent.get(&arrival.id)
        {
            repeats.entry(sent.service).or_default().push(arrival.at_ms);
        }
    }
    let worst = repeats.into_iter().filter_map(|(service, times)| {
        let mut requests: Vec<Millis> = of_service(o, service).map(|s| s.at_ms).collect();
        requests.sort_unstable();
        let begins = (0..=times.iter().max()? / STEP_MS).map(|step| step * STEP_MS);
        let windows = begins.map(|from_ms| Window {
            service,
            from_ms,
            repeats: count(&times, from_ms),
            allowed: allowed(&requests, from_ms),
        });
        windows.max_by(|a, b| a.excess().total_cmp(&b.excess()))
    });
    worst.collect()
}

fn of_service<'a>(o: &'a Observed, service: &'a str) -> impl Iterator<Item = &'a Sent> {
    o.sent.values().filter(move |s| s.service == service)
}

/// Returns how many of the sorted `times` a window holds.
fn count(times: &[Millis], from_ms: Millis) -> usize {
    let before = |ms: Millis| times.partition_point(|t| *t < ms);
    before(from_ms + BUDGET_WINDOW_MS) - before(from_ms)
}

/// Returns the repeats that are allowed in a window, by the requests in it, in the one before it or in the
/// one half a window before it.
fn allowed(requests: &[Millis], from_ms: Millis) -> f64 {
    let half = BUDGET_WINDOW_MS / 2;
    let begins = [
        from_ms,
        from_ms.saturating_sub(half),
        from_ms.saturating_sub(2 * half),
    ];
    let most = begins.map(|from| count(requests, from)).into_iter().max();
    BUDGET_RATIO * most.unwrap_or(0) as f64 + BUDGET_SLACK
}

/// Returns whether an instance is in touch at a moment.
fn is_in_touch(o: &Observed, instance: usize, at_ms: Millis) -> bool {
    let from = at_ms.saturating_sub(STABLE_WINDOW_MS);
    let targets = [Target::Instance(instance), Target::Store];
    !targets
        .into_iter()
        .any(|target| o.is_disturbed(target, from, at_ms))
}

fn too_many_runners(o: &Observed) -> Option<Violation> {
    let mut runners: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
    for a in o.arrivals.iter().filter(|a| a.ran) {
        let until = o
            .sent
            .get(&a.id)
            .map_or(a.at_ms, |s| s.at_ms + s.deadline_ms);
        let targets = [Target::Runner(a.runner), Target::Paths(a.instance)];
        if !targets
            .into_iter()
            .any(|target| o.is_disturbed(target, a.at_ms, until))
        {
            runners.entry(&a.id).or_default().insert(a.runner);
        }
    }
    let exceeds = |id: &str, count: usize| {
        let sent = o.sent.get(id);
        sent.is_some_and(|s| count > s.max_attempts as usize)
    };
    let found = runners.iter().filter(|(id, r)| exceeds(id, r.len()));
    let found: Vec<String> = found.map(|(id, _)| (*id).to_owned()).collect();
    (found.len() > MAX_TOO_MANY_RUNNERS).then_some(Violation::TooManyRunners(found))
}

fn late_deadlines(o: &Observed) -> Option<Violation> {
    let mut first: BTreeMap<&str, &Arrival> = BTreeMap::new();
    let (mut late, mut late_resends) = (0, 0);
    for a in &o.arrivals {
        let Some(sent) = o.sent.get(&a.id) else {
            continue;
        };
        let before = first.get(a.id.as_str()).copied();
        first.entry(&a.id).or_insert(a);
        let since = a.at_ms.saturating_sub(STABLE_WINDOW_MS);
        let is_held_up = o.is_disturbed(Target::Paths(a.instance), since, a.at_ms);
        if is_held_up || !is_in_touch(o, a.instance, a.at_ms) {
            continue;
        }
        let Some(left) = a.deadline_ms else {
            late += 1;
            continue;
        };
        let is_late_resend = before.is_some_and(|b| a.at_ms > b.at_ms + DEADLINE_SLACK_MS);
        late_resends += usize::from(is_late_resend);
        let ends = a.at_ms + left;
        let allowed = before
            .filter(|_| is_late_resend)
            .map_or(0, |b| b.at_ms + b.deadline_ms.unwrap_or(0));
        let own = sent.at_ms + sent.deadline_ms;
        let exceeds_both = is_late_resend && ends > allowed.max(own) + DEADLINE_SLACK_MS;
        if left > sent.deadline_ms + DEADLINE_SLACK_MS || exceeds_both {
            late += 1;
        }
    }
    let most = MAX_LATE_DEADLINES.max((MAX_LATE_DEADLINE_SHARE * late_resends as f64) as usize);
    (late > most).then_some(Violation::LateDeadlines(late))
}

fn at_rest(o: &Observed) -> Option<Violation> {
    let reached = |rest: &&Rest| {
        let (from, to) = (rest.at_ms + REST_SLACK_MS, rest.at_ms + rest.for_ms);
        let is_of = |a: &&Arrival| a.runner == rest.runner && a.instance == rest.instance;
        let arrivals = o.arrivals.iter().filter(is_of);
        let count = arrivals.filter(|a| (from..to).contains(&a.at_ms)).count();
        let instance = Target::Instance(rest.instance);
        count > MAX_AT_REST && !o.is_disturbed(instance, rest.at_ms, to)
    };
    let found = o.rests.iter().filter(reached).count();
    (found > 0).then_some(Violation::AtRest(found))
}

/// Window of an announced limit, in milliseconds, and what it allows: a multiple, and some requests more.
const LIMIT_WINDOW_MS: Millis = 4_000;
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time after which an instance knows a limit that it has passed on, in milliseconds.
const LIMIT_KNOWN_MS: Millis = 500;

/// Returns the first window of each runner in which it got more than it said it takes, from instances that
/// had passed its answer on. The limits of a soak don't change while they are named.
fn above_limits(o: &Observed) -> Vec<Violation> {
    let mut by_runner: BTreeMap<usize, Vec<&Arrival>> = BTreeMap::new();
    for a in &o.arrivals {
        by_runner.entry(a.runner).or_default().push(a);
    }
    let found = by_runner
        .into_iter()
        .filter_map(|(runner, arrivals)| above_limit(o, runner, &arrivals));
    found.collect()
}

fn above_limit(o: &Observed, runner: usize, arrivals: &[&Arrival]) -> Option<Violation> {
    let named: Vec<&&Arrival> = arrivals
        .iter()
        .filter(|a| a.limit_per_s.is_some())
        .collect();
    let (first, last) = (named.first()?, named.last()?);
    let per_s = first.limit_per_s?;
    let allowed = LIMIT_FACTOR * per_s * LIMIT_WINDOW_MS as f64 / 1e3 + LIMIT_SLACK;
    let knows = |a: &Arrival| {
        let before = |n: &&&&Arrival| n.at_ms + LIMIT_KNOWN_MS <= a.at_ms;
        let mut told = named.iter().filter(before);
        told.any(|n| n.instance == a.instance)
    };
    let mut from_ms = first.at_ms + STABLE_WINDOW_MS;
    while from_ms + LIMIT_WINDOW_MS <= last.at_ms {
        let window = from_ms..from_ms + LIMIT_WINDOW_MS;
        let counts = |a: &&&Arrival| {
            let targets = [Target::Instance(a.instance), Target::Paths(a.instance)];
            let mut targets = targets.into_iter();
            let is_excused = targets.any(|t| o.is_disturbed(t, first.at_ms, window.end));
            window.contains(&a.at_ms) && !is_excused && knows(a)
        };
        let requests = arrivals.iter().filter(counts).count();
        if requests as f64 > allowed {
            return Some(Violation::Limit {
                runner,
                from_ms,
                requests,
                allowed,
            });
        }
        from_ms += STEP_MS;
    }
    None
}
