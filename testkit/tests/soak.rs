//! The fault soak: a short run, and for each of its checks a history that it must reject.

#[path = "soak/play.rs"]
mod play;
#[path = "soak/processes.rs"]
mod processes;
#[path = "soak/store.rs"]
mod store;

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_testkit::soak::check::{Violation, check};
use jacinthweir_testkit::soak::fault::{LethalKind, Plan};
use jacinthweir_testkit::soak::observed::{
    Arrival, End, LethalCrash, Observed, Rest, Sent, Target,
};
use jacinthweir_testkit::soak::site::Site;
use play::{LENGTH, play};

/// Seed of the short run.
const SEED: u64 = 2;

const SERVICE: &str = "pool";
const ROUTE: &str = "notes";
const DEADLINE_MS: u64 = 20_000;
const MAX_ATTEMPTS: u32 = 2;

/// Requests of a history.
const REQUESTS: u64 = 250;

/// Repeats that are allowed for them: the slack and a fifth of the requests.
const ALLOWED_REPEATS: u64 = 196 + REQUESTS / 5;

fn sent(at_ms: u64) -> Sent {
    Sent {
        at_ms,
        service: SERVICE,
        max_attempts: MAX_ATTEMPTS,
        deadline_ms: DEADLINE_MS,
        route: ROUTE,
        instance: Some(0),
        is_first: true,
        lethal_part: None,
        end: Some(End::Served),
    }
}

fn arrival(number: u64, at_ms: u64, runner: usize) -> Arrival {
    Arrival {
        at_ms,
        id: format!("r{number}"),
        runner,
        instance: 0,
        deadline_ms: Some(DEADLINE_MS),
        ran: true,
        crashes: false,
        limit_per_s: None,
    }
}

/// Returns a history of requests that each reach a runner once, ten milliseconds apart.
fn plain_history() -> Observed {
    let mut o = Observed::default();
    for number in 0..REQUESTS {
        o.sent.insert(format!("r{number}"), sent(number * 10));
        o.arrivals.push(arrival(number, number * 10, 0));
    }
    o
}

/// Adds a second arrival of the first `count` requests.
fn add_repeats(o: &mut Observed, count: u64, runner: usize, after_ms: u64) {
    let repeats = (0..count).map(|n| arrival(n, n * 10 + after_ms, runner));
    o.arrivals.extend(repeats);
}

#[gtest]
fn a_plain_history_breaks_no_rule() {
    expect_that!(check(&plain_history()), is_empty());
}

#[gtest]
fn repeats_above_the_budget_are_found() {
    let mut o = plain_history();
    add_repeats(&mut o, ALLOWED_REPEATS, 0, 5);
    expect_that!(check(&o), is_empty());
    o.arrivals.push(arrival(ALLOWED_REPEATS, 2_400, 0));
    let found = check(&o);
    expect_that!(
        found,
        elements_are![matches_pattern!(Violation::Repeats { .. })]
    );
}

#[gtest]
fn requests_on_too_many_runners_are_found() {
    let mut o = plain_history();
    add_repeats(&mut o, 4, 1, 5);
    expect_that!(check(&o), is_empty());
    add_repeats(&mut o, 4, 2, 6);
    let found = check(&o);
    expect_that!(
        found,
        elements_are![matches_pattern!(Violation::TooManyRunners(len(eq(4))))]
    );
    // A runner that ended meanwhile doesn't count.
    o.disturbed.push((Target::Runner(2), 0, 100));
    expect_that!(check(&o), is_empty());
}

#[gtest]
fn too_much_time_left_is_found() {
    let mut o = plain_history();
    for arrival in o.arrivals.iter_mut().take(21) {
        arrival.deadline_ms = Some(DEADLINE_MS + 600);
    }
    expect_that!(check(&o), elements_are![eq(&Violation::LateDeadlines(21))]);
    // An instance that stood still is excused.
    o.disturbed.push((Target::Instance(0), 0, 300));
    expect_that!(check(&o), is_empty());
}

#[gtest]
fn requests_to_a_resting_runner_are_found() {
    let mut o = plain_history();
    o.rests.push(Rest {
        at_ms: 100,
        runner: 0,
        instance: 0,
        for_ms: 520,
    });
    expect_that!(check(&o), is_empty());
    o.rests[0].for_ms = 530;
    expect_that!(check(&o), elements_are![eq(&Violation::AtRest(1))]);
    o.disturbed.push((Target::Instance(0), 0, 300));
    expect_that!(check(&o), is_empty());
}

/// Adds an arrival of a lethal request, which crashes the runner at once if `crashes` is set.
fn add_lethal(o: &mut Observed, at_ms: u64, part: Option<u32>, crashes: bool) {
    let number = 10_000 + at_ms;
    let lethal = Sent {
        lethal_part: part,
        is_first: false,
        ..sent(at_ms)
    };
    o.sent.insert(format!("r{number}"), lethal);
    o.arrivals.push(Arrival {
        crashes: true,
        ..arrival(number, at_ms, 0)
    });
    if crashes {
        o.lethal_crashes.push(LethalCrash { at_ms, part });
    }
}

#[gtest]
fn lethal_requests_are_found() {
    let history = |part| {
        let mut o = plain_history();
        for at_ms in [0, 100, 200, 3_300, 3_400, 3_500, 3_600] {
            add_lethal(&mut o, at_ms, part, true);
        }
        o
    };
    let found = Violation::Lethal {
        part: None,
        requests: 4,
    };
    expect_that!(check(&history(None)), elements_are![eq(&found)]);
    // A part is known after five crashes only.
    let mut o = history(Some(0));
    expect_that!(check(&o), is_empty());
    for at_ms in [6_500, 6_600, 6_700] {
        add_lethal(&mut o, at_ms, Some(0), false);
    }
    // Another part has crashes of its own.
    add_lethal(&mut o, 6_800, Some(1), true);
    expect_that!(check(&o), is_empty());
    add_lethal(&mut o, 6_900, Some(0), false);
    let found = Violation::Lethal {
        part: Some(0),
        requests: 4,
    };
    expect_that!(check(&o), elements_are![eq(&found)]);
}

#[gtest]
fn sound_requests_that_do_not_begin_beside_a_lethal_part_are_found() {
    // Every second request of the calm time begins. The part is known from 10 s, and counts from 16 s on.
    let history = |beside: usize| {
        let mut o = Observed::default();
        let mut add = |number: u64, at_ms, begins: bool| {
            o.sent.insert(format!("r{number}"), sent(at_ms));
            if begins {
                o.arrivals.push(arrival(number, at_ms, 0));
            }
        };
        for n in 0..40 {
            add(n, n * 100, n % 2 == 0);
        }
        for n in 0..40 {
            add(100 + n, 16_500 + n * 50, (n as usize) < beside);
        }
        for n in 0..5 {
            add_lethal(&mut o, 9_996 + n, Some(0), true);
        }
        o.sent.extend((0..20).map(|n| {
            let lethal = Sent {
                lethal_part: Some(0),
                is_first: false,
                ..sent(15_000 + n * 200)
            };
            (format!("r{}", 1_000 + n), lethal)
        }));
        o
    };
    expect_that!(check(&history(10)), is_empty());
    let lost = Violation::Lost {
        part: 0,
        begun: 9,
        sent: 40,
    };
    expect_that!(check(&history(9)), elements_are![eq(&lost)]);
    // Another part that is not known yet is a disruption of its own.
    let mut beside_another = history(9);
    add_lethal(&mut beside_another, 14_000, Some(1), true);
    expect_that!(check(&beside_another), is_empty());
    let mut beside_a_known_one = history(9);
    add_lethal(&mut beside_a_known_one, 9_000, Some(1), true);
    expect_that!(check(&beside_a_known_one), elements_are![eq(&lost)]);
    let mut excused = history(9);
    excused
        .disturbed
        .push((Target::Instance(0), 14_000, 18_000));
    expect_that!(check(&excused), is_empty());
}

#[gtest]
fn requests_above_an_announced_limit_are_found() {
    // One request in 100 ms is 40 in a window, where 1.5 times four seconds of six are 36, and five more.
    let mut o = Observed::default();
    for number in 0..100 {
        let limit_per_s = Some(6.0);
        o.arrivals.push(Arrival {
            limit_per_s,
            ..arrival(number, number * 100, 0)
        });
    }
    expect_that!(check(&o), is_empty());
    o.arrivals.extend((0..2).map(|n| arrival(n, 6_001 + n, 0)));
    let found = check(&o);
    expect_that!(
        found,
        elements_are![matches_pattern!(Violation::Limit { .. })]
    );
    o.disturbed.push((Target::Paths(0), 3_000, 3_001));
    expect_that!(check(&o), is_empty());
}

#[gtest]
fn a_success_that_is_no_whole_answer_is_found() {
    let mut o = plain_history();
    o.sent.get_mut("r0").expect("a request").end = Some(End::Garbled);
    expect_that!(check(&o), elements_are![eq(&Violation::Garbled(1))]);
}

#[gtest]
fn the_same_seed_draws_the_same_faults() {
    let length = Duration::from_secs(40);
    for kind in [LethalKind::Drawn, LethalKind::Part] {
        let draw = |seed| Plan::draw(seed, length, kind);
        expect_that!(draw(7), eq(&draw(7)));
        expect_that!(draw(7), not(eq(&draw(8))));
    }
}

/// Guards against a key that is compared as text, so that its callers are refused.
#[gtest]
fn a_known_key_that_gets_401_is_found() {
    let mut o = plain_history();
    o.sent.get_mut("r0").expect("a request").end = Some(End::Denied);
    expect_that!(check(&o), elements_are![eq(&Violation::Denied(1))]);
}

/// Guards against plays of former seeds that can't be repeated.
#[gtest]
fn faults_around_starts_leave_the_others_of_a_seed_as_they_are() {
    let length = Duration::from_secs(40);
    let plan = Plan::draw(7, length, LethalKind::Drawn);
    let with_starts = plan.clone().with_starts(7, length);
    expect_that!(with_starts.starts, not(is_empty()));
    let without = Plan {
        starts: Vec::new(),
        ..with_starts.clone()
    };
    expect_that!(without, eq(&plan));
    expect_that!(plan.with_starts(7, length), eq(&with_starts));
}

/// Guards against plays of former seeds that can't be repeated.
#[gtest]
fn faults_of_the_stores_contents_leave_the_others_of_a_seed_as_they_are() {
    let length = Duration::from_secs(40);
    let plan = Plan::draw(7, length, LethalKind::Drawn).with_starts(7, length);
    let with_names = plan.clone().with_names(7, length);
    expect_that!(plan.clone().with_names(7, length), eq(&with_names));
    expect_that!(plan.clone().with_names(8, length), not(eq(&with_names)));
    let without = Plan {
        names: None,
        ..with_names
    };
    expect_that!(without, eq(&plan));
}

/// Guards against retries that pile up in series of faults, as real processes show them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_breaks_no_rule() {
    let plan = Plan::draw(SEED, LENGTH, LethalKind::Drawn);
    play(Site::TltRoster, SEED, plan).await;
}
