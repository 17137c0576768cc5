//! Tests of `StallSuspects`, which suspects runners after a stream stalls.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::retry::StallSuspects;

fn id(n: u32) -> RunnerId {
    RunnerId::from_u32(n)
}

fn runners(ids: &[u32]) -> Vec<(RunnerId, Name)> {
    let named = |n: &u32| (id(*n), Name::from(format!("runner-{n}")));
    ids.iter().map(named).collect()
}

const NO_REPORT: fn(&Name) -> Option<Millis> = |_| None;

// Runner 1 stops while runner 0 continues with another stream, so only runner 1 may be suspected.
// A token of another stream through runner 1 right after the last token of the stalled one does not
// refute the suspicion, since the runner may have stopped after it.
#[gtest]
fn a_runner_that_continued_other_streams_is_not_suspected() {
    let mut suspects = StallSuspects::default();
    suspects.record_token(1_000, [id(0), id(1)].into_iter());
    suspects.record_token(1_010, [id(1), id(2)].into_iter());
    suspects.record_token(1_390, [id(0), id(2)].into_iter());
    let new_suspects = suspects.record_stall(1_400, 1_000, runners(&[0, 1]).into_iter());
    expect_that!(new_suspects, elements_are![eq(&id(1))]);
    expect_that!(
        suspects.suspects(1_401, NO_REPORT),
        elements_are![eq(&id(1))]
    );
}

// No other stream ran, so both runners are suspected. The suspicion of runner 0 is refuted by a
// report from after the middle of the stall, but not by an older one; that of runner 1 is refuted
// by a token.
#[gtest]
fn a_report_or_a_token_refutes_suspicion() {
    let mut suspects = StallSuspects::default();
    let new_suspects = suspects.record_stall(1_400, 1_000, runners(&[0, 1]).into_iter());
    expect_that!(new_suspects, elements_are![eq(&id(0)), eq(&id(1))]);
    let old_report = |_: &Name| Some(1_150);
    expect_that!(suspects.suspects(1_500, old_report).len(), eq(2));
    let report_of_runner_0 = |name: &Name| (**name == *"runner-0").then_some(1_300);
    expect_that!(
        suspects.suspects(1_600, report_of_runner_0),
        elements_are![eq(&id(1))]
    );
    suspects.record_token(1_700, [id(1)].into_iter());
    expect_that!(suspects.suspects(1_700, NO_REPORT).len(), eq(0));
}

// The suspicion of a runner without any report expires, since its observers may be partitioned
// from it.
#[gtest]
fn suspicion_expires() {
    let mut suspects = StallSuspects::default();
    let _ = suspects.record_stall(1_400, 1_000, runners(&[0]).into_iter());
    expect_that!(suspects.suspects(7_399, NO_REPORT).len(), eq(1));
    expect_that!(suspects.suspects(7_400, NO_REPORT).len(), eq(0));
}
