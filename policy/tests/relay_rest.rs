//! Rests that runners ask for, replayed against a load on a plain service over many seeds.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 100;
const RUNNERS: u64 = 3;
const RUN_MS: Millis = 20_000;

/// Mean time between two requests, in milliseconds.
const MEAN_GAP_MS: u64 = 40;

/// Time for which the runners ask for rest, in milliseconds.
const REST_MS: Millis = 3_000;

/// Time that a refusal takes, in milliseconds.
const ANSWER_MS: Millis = 5;

fn entry(i: u64, born_ms: u64) -> RunnerEntry {
    RunnerEntry {
        id: format!("p{i}").into(),
        service: "orders".into(),
        address: ([127, 0, 0, 1], 9_000 + i as u16).into(),
        domain: "a".into(),
        draining: false,
        born_ms,
        kind: None,
        layers: None,
    }
}

/// Guards against requests to runners that have asked for none, and against runners that are not used
/// again when their rest is over or when they have restarted.
#[gtest]
fn runners_get_no_requests_while_they_rest() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut runners = Runners::default();
        let mut born = [1; RUNNERS as usize];
        (0..RUNNERS).for_each(|i| {
            runners.put(&entry(i, 1));
        });
        let mut rest_until = [0; RUNNERS as usize];
        let mut sent_after_rest = 0;
        let mut now = 0;
        while now < RUN_MS {
            now += rng.random_range(1..=2 * MEAN_GAP_MS);
            if rng.random_bool(0.01) {
                let i = rng.random_range(0..RUNNERS);
                born[i as usize] += 1;
                rest_until[i as usize] = 0;
                runners.put(&entry(i, born[i as usize]));
            }
            let draw = || rng.random();
            let candidates = runners.service_candidates("orders", "a", now, draw);
            let Some(chosen) = candidates.first().map(|e| e.id.clone()) else {
                let all_rest = rest_until.iter().all(|until| now < *until);
                expect_true!(all_rest, "seed {seed}: a runner is idle at {now}");
                continue;
            };
            let i: usize = chosen[1..].parse().expect("a number");
            expect_that!(now, ge(rest_until[i]), "seed {seed}");
            sent_after_rest += u32::from(rest_until[i] > 0);
            if rng.random_bool(0.3) {
                let health = runners.health_mut(&chosen).expect("it is known");
                health.rest_for(REST_MS, now + ANSWER_MS);
                rest_until[i] = now + ANSWER_MS + REST_MS;
            }
        }
        expect_that!(sent_after_rest, gt(0), "seed {seed}");
    }
}

#[gtest]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut runners = Runners::default();
    runners.put(&entry(0, 1));
    let id: Name = "p0".into();
    let health = runners.health_mut(&id).expect("it is known");
    health.rest_for(3_000, 1_000);
    health.rest_for(100, 1_500);
    expect_that!(runners.rest_ms("p0", 3_999), some(eq(1)));
    expect_that!(runners.rest_ms("p0", 4_000), none());
}
