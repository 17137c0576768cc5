//! Blame of runners for stalled streams.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::retry::StallSuspects;

fn id(n: u32) -> RunnerId {
    RunnerId::from_u32(n)
}

fn route(ids: &[u32]) -> Vec<(RunnerId, Name)> {
    let named = |n: &u32| (id(*n), Name::from(format!("runner-{n}")));
    ids.iter().map(named).collect()
}

const NO_REPORT: fn(&Name) -> Option<Millis> = |_| None;

// Runner 1 stops while runner 0 continues with another stream, so only runner 1 may be blamed; the
// stalled stream is resumed elsewhere. A token of another stream from runner 1 right after the last
// token of the stalled one proves nothing, since the runner stopped after it.
#[gtest]
fn a_runner_that_continued_other_streams_is_not_blamed() {
    let mut silences = StallSuspects::default();
    silences.record_token(1_000, [id(0), id(1)].into_iter());
    silences.record_token(1_010, [id(1), id(2)].into_iter());
    silences.record_token(1_390, [id(0), id(2)].into_iter());
    let blamed = silences.record_stall(1_400, 1_000, route(&[0, 1]).into_iter());
    expect_that!(blamed, elements_are![eq(&id(1))]);
    expect_that!(
        silences.suspects(1_401, NO_REPORT),
        elements_are![eq(&id(1))]
    );
}

// No other stream ran, so both runners are blamed. Runner 0 is cleared by a report from after the
// middle of the silence, but not by an older one; runner 1 is cleared by a token.
#[gtest]
fn a_report_or_a_token_ends_blame() {
    let mut silences = StallSuspects::default();
    let blamed = silences.record_stall(1_400, 1_000, route(&[0, 1]).into_iter());
    expect_that!(blamed, elements_are![eq(&id(0)), eq(&id(1))]);
    let old_report = |_: &Name| Some(1_150);
    expect_that!(silences.suspects(1_500, old_report).len(), eq(2));
    let of_runner_0 = |name: &Name| (**name == *"runner-0").then_some(1_300);
    expect_that!(
        silences.suspects(1_600, of_runner_0),
        elements_are![eq(&id(1))]
    );
    silences.record_token(1_700, [id(1)].into_iter());
    expect_that!(silences.suspects(1_700, NO_REPORT).len(), eq(0));
}

// A blamed runner without any report is tried again after a while, since its observers may be
// partitioned from it.
#[gtest]
fn blame_expires() {
    let mut silences = StallSuspects::default();
    let _ = silences.record_stall(1_400, 1_000, route(&[0]).into_iter());
    expect_that!(silences.suspects(7_399, NO_REPORT).len(), eq(1));
    expect_that!(silences.suspects(7_400, NO_REPORT).len(), eq(0));
}
