//! Tests of the route benchmark: it is reproducible and distinguishes policies.

use googletest::prelude::*;
use jacinthweir_testkit::bench::baseline::RoutePolicy;
use jacinthweir_testkit::bench::fleet::{Fleet, FleetSize};
use jacinthweir_testkit::bench::route_run::{RunConfig, RunResult, run};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn short_run(policy: RoutePolicy) -> RunResult {
    let fleet = Fleet::generate(FleetSize::CURRENT, &mut ChaCha8Rng::seed_from_u64(3));
    let cfg = RunConfig {
        policy,
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
    let (a, b) = (
        short_run(RoutePolicy::Flow(4)),
        short_run(RoutePolicy::Flow(4)),
    );
    expect_that!(a.events, eq(b.events));
    expect_that!(a.throughput.to_bits(), eq(b.throughput.to_bits()));
    expect_that!(a.inter_token_us.max(), eq(b.inter_token_us.max()));
}

#[gtest]
fn the_router_achieves_more_of_the_bound_than_random_choice() {
    let (flow, random) = (
        short_run(RoutePolicy::Flow(4)),
        short_run(RoutePolicy::Random),
    );
    expect_that!(flow.throughput, gt(2.0 * random.throughput));
    expect_that!(flow.throughput, le(1.0));
}
