//! The load driver: seeded arrivals, and a checker that rejects wrong answers.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::Seen;
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::load::arrivals::{Arrival, ArrivalsCfg, Ask, arrivals};
use jacinthweir_testkit::load::result::{Collector, LoadResult};
use jacinthweir_testkit::text;

fn drawn(seed: u64) -> Vec<Arrival> {
    let cfg = ArrivalsCfg {
        seed,
        ..ArrivalsCfg::default()
    };
    arrivals(Deployment::Tallinna, &cfg)
}

#[gtest]
fn the_same_seed_draws_the_same_arrivals() {
    let shown = |seed| format!("{:?}", drawn(seed));
    expect_that!(shown(1), eq(&shown(1)));
    expect_that!(shown(1), not(eq(&shown(2))));
    let cfg = ArrivalsCfg::default();
    let expected = cfg.rate_per_s * cfg.duration_ms as f64 / 1e3;
    expect_that!(drawn(1).len() as f64, near(expected, expected / 3.0));
}

fn judged(seen: impl Fn(&str) -> Seen) -> LoadResult {
    let model = |a: &Arrival| matches!(a.ask, Ask::Model(_));
    let arrival = drawn(1).into_iter().find(model).expect("a model's request");
    let Ask::Model(call) = &arrival.ask else {
        unreachable!("it was picked as one");
    };
    let right = text::answer(&call.prompt, call.max_tokens);
    let mut collector = Collector::default();
    collector.take(&arrival, &seen(&right));
    collector.finish()
}

fn seen(outcome: Option<Outcome>, text: &str) -> Seen {
    Seen {
        status: Some(200),
        outcome,
        text: text.to_owned(),
        ..Seen::default()
    }
}

#[gtest]
fn a_right_answer_and_a_beginning_with_an_error_pass() {
    let whole = judged(|right| seen(Some(Outcome::Answered), right));
    expect_that!((whole.answered(), whole.violation_count), eq((1, 0)));
    let part = judged(|right| seen(Some(Outcome::Failed), &right[..9]));
    expect_that!((part.answered(), part.violation_count), eq((0, 0)));
}

#[gtest]
fn a_part_told_as_whole_and_a_foreign_token_are_violations() {
    let part = judged(|right| seen(Some(Outcome::Answered), &right[..9]));
    expect_that!(part.violation_count, eq(1));
    let foreign = judged(|right| seen(None, &format!("{right} foreign")));
    expect_that!(foreign.violation_count, eq(1));
}
