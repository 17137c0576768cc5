//! The fault soak: a short run, and for each of its checks a history that it must reject.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_testkit::fleet::process::program;
use jacinthweir_testkit::soak::check::{Violation, check};
use jacinthweir_testkit::soak::fault::Plan;
use jacinthweir_testkit::soak::observed::{Arrival, End, Observed, Rest, Sent, Target};
use jacinthweir_testkit::soak::site::Site;
use jacinthweir_testkit::soak::{self, SoakCfg};

const SERVICE: &str = "pool";
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

#[gtest]
fn lethal_requests_are_found() {
    let mut o = plain_history();
    let at = [0, 100, 200, 3_300, 3_400, 3_500, 3_600];
    let lethal = at.map(|at_ms| Arrival {
        crashes: true,
        ..arrival(0, at_ms, 0)
    });
    o.arrivals.extend(lethal);
    expect_that!(check(&o), elements_are![eq(&Violation::Lethal(4))]);
    // A part is known after five crashes only.
    o.lethal_is_part = true;
    expect_that!(check(&o), is_empty());
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
    expect_that!(Plan::draw(7, length), eq(&Plan::draw(7, length)));
    expect_that!(Plan::draw(7, length), not(eq(&Plan::draw(8, length))));
}

/// Guards against retries that pile up in series of faults, as real processes show them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_breaks_no_rule() {
    let folder = tempfile::tempdir().expect("a folder");
    let length = Duration::from_secs(30);
    let cfg = SoakCfg {
        program: program("jacinthweir").expect("the program"),
        knows_first_start: true,
        site: Site::TltRoster,
        seed: 2,
        length,
        plan: Plan::draw(2, length),
        folder: folder.path().to_owned(),
    };
    let result = soak::run(cfg).await.expect("it is played");
    expect_that!(result.violations, is_empty());
    expect_that!(result.ends.get(&End::Served), some(gt(&0)));
}
