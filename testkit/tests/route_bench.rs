//! The measurement of routes itself: reproducible, and able to tell policies apart.

use googletest::prelude::*;
use jacinthweir_testkit::bench::baseline::Choice;
use jacinthweir_testkit::bench::fleet::{Fleet, FleetSize};
use jacinthweir_testkit::bench::route_run::{RunConfig, RunResult, run};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn short_run(choice: Choice) -> RunResult {
    let fleet = Fleet::generate(FleetSize::TODAY, &mut ChaCha8Rng::seed_from_u64(3));
    let cfg = RunConfig {
        choice,
        instances: 3,
        load: 0.9,
        seed: 3,
        run_ms: 3_000,
        warmup_ms: 1_000,
        report_every_ms: 500,
        report_delay_ms: 700,
        window_ms: 30.0,
        slowed: 0.0,
    };
    run(&fleet, cfg)
}

#[gtest]
fn the_same_seed_gives_the_same_run() {
    let (a, b) = (short_run(Choice::Flow(4)), short_run(Choice::Flow(4)));
    expect_that!(a.events, eq(b.events));
    expect_that!(a.held.to_bits(), eq(b.held.to_bits()));
    expect_that!(a.between_us.max(), eq(b.between_us.max()));
}

#[gtest]
fn the_plan_holds_more_of_the_bound_than_a_random_choice() {
    let (flow, random) = (short_run(Choice::Flow(4)), short_run(Choice::Random));
    expect_that!(flow.held, gt(2.0 * random.held));
    expect_that!(flow.held, le(1.0));
}
