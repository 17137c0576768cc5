//! Load generator: seeded arrivals, and a checker that rejects incorrect answers.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::Observation;
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::load::arrivals::{Arrival, ArrivalsCfg, Ask, arrivals};
use jacinthweir_testkit::load::result::{Collector, LoadResult};
use jacinthweir_testkit::text;

fn arrivals_for(seed: u64) -> Vec<Arrival> {
    let cfg = ArrivalsCfg {
        seed,
        ..ArrivalsCfg::default()
    };
    arrivals(Deployment::Tallinna, &cfg)
}

#[gtest]
fn the_same_seed_gives_the_same_arrivals() {
    let debug = |seed| format!("{:?}", arrivals_for(seed));
    expect_that!(debug(1), eq(&debug(1)));
    expect_that!(debug(1), not(eq(&debug(2))));
    let cfg = ArrivalsCfg::default();
    let expected = cfg.rate_per_s * cfg.duration_ms as f64 / 1e3;
    expect_that!(arrivals_for(1).len() as f64, near(expected, expected / 3.0));
}

fn check(seen: impl Fn(&str) -> Observation) -> LoadResult {
    let model = |a: &Arrival| matches!(a.ask, Ask::Model(_));
    let arrival = arrivals_for(1)
        .into_iter()
        .find(model)
        .expect("a model request");
    let Ask::Model(call) = &arrival.ask else {
        unreachable!("the arrival was selected as a model request");
    };
    let expected = text::answer(&call.prompt, call.max_tokens);
    let mut collector = Collector::default();
    collector.take(&arrival, &seen(&expected));
    collector.finish()
}

fn seen(outcome: Option<Outcome>, text: &str) -> Observation {
    Observation {
        status: Some(200),
        outcome,
        text: text.to_owned(),
        ..Observation::default()
    }
}

#[gtest]
fn a_complete_answer_and_a_prefix_with_an_error_are_valid() {
    let complete = check(|expected| seen(Some(Outcome::Answered), expected));
    expect_that!((complete.answered(), complete.violation_count), eq((1, 0)));
    let prefix = check(|expected| seen(Some(Outcome::Failed), &expected[..9]));
    expect_that!((prefix.answered(), prefix.violation_count), eq((0, 0)));
}

#[gtest]
fn a_prefix_reported_as_complete_and_a_foreign_token_are_violations() {
    let prefix = check(|expected| seen(Some(Outcome::Answered), &expected[..9]));
    expect_that!(prefix.violation_count, eq(1));
    let foreign = check(|expected| seen(None, &format!("{expected} foreign")));
    expect_that!(foreign.violation_count, eq(1));
}
