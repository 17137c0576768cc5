//! The rules named BUDGET, LOST beside lethal parts, and that of announced limits, counted from what callers
//! and runners saw.
//!
//! Each rule is counted as the users' pages word it. Where a rule holds for machines in touch only, a
//! disturbance of the instance or of the store within the window before excuses it.

use std::collections::{BTreeMap, BTreeSet};

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

/// Crashes after which a request is known, arrivals that it may have later.
const KNOWN_REQUEST_CRASHES: usize = 3;
const MAX_LETHAL: usize = 3;

/// Crashes after which a part of prompts is known.
const KNOWN_PART_CRASHES: usize = 5;

/// Step at which windows of the retry budget begin, in milliseconds.
const STEP_MS: Millis = 100;

/// A broken rule.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Violation {
    /// A service got more repeats in a window than the budget allows.
    #[display("{service}: {repeats} repeats from {from_ms} ms on, {allowed:.0} allowed")]
    Repeats {
        /// Service.
        service: &'static str,
        /// Beginning of the window.
        from_ms: Millis,
        /// Arrivals beyond the first of each request.
        repeats: usize,
        /// Repeats that are allowed.
        allowed: f64,
    },
    /// Requests ran on more runners than their route allows.
    #[display("{} requests ran on too many runners: {}", _0.len(), _0.join(" "))]
    TooManyRunners(Vec<String>),
    /// Runners were left more time than there was.
    #[display("{_0} requests left too much time")]
    LateDeadlines(usize),
    /// Requests reached a runner that wanted nothing from their instance.
    #[display("{_0} requests reached a resting runner")]
    AtRest(usize),
    /// Lethal requests reached runners after they were known.
    #[display("{requests} lethal requests reached runners{}", of_part(*part))]
    Lethal {
        /// Number of their lethal part; none for a request that is lethal itself.
        part: Option<u32>,
        /// How many.
        requests: usize,
    },
    /// Sound requests did not begin at the first attempt beside those with a lethal part.
    #[display("{begun} of {sent} sound requests began beside lethal part {part}")]
    Lost {
        /// Number of the part.
        part: u32,
        /// Requests that began.
        begun: usize,
        /// Requests.
        sent: usize,
    },
    /// A runner got more requests than it said it takes.
    #[display("runner {runner}: {requests} requests from {from_ms} ms on, {allowed:.1} allowed")]
    Limit {
        /// Index of the runner.
        runner: usize,
        /// Beginning of the window.
        from_ms: Millis,
        /// Requests in it.
        requests: usize,
        /// Requests that are allowed.
        allowed: f64,
    },
    /// Successes that are not a runner's whole answer.
    #[display("{_0} successes are no whole answer")]
    Garbled(usize),
}

fn of_part(part: Option<u32>) -> String {
    part.map_or_else(String::new, |number| format!(", lethal part {number}"))
}

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
    violations.extend(lethal(o));
    violations.extend(lost(o));
    violations.extend(above_limits(o));
    let garbled = o
        .sent
        .values()
        .filter(|s| s.end == Some(End::Garbled))
        .count();
    violations.extend((garbled > 0).then_some(Violation::Garbled(garbled)));
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

/// Counts arrivals of lethal requests that are known by then, by lethal part or for the lethal request.
fn lethal(o: &Observed) -> Vec<Violation> {
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

fn lost(o: &Observed) -> Vec<Violation> {
    let broken = beside_lethal_parts(o).into_iter().filter(Beside::is_broken);
    broken
        .map(|b| Violation::Lost {
            part: b.part,
            begun: b.beside.begun,
            sent: b.beside.sent,
        })
        .collect()
}
