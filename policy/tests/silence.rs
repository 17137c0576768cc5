//! Which runners a stall speaks against.

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

// The caller sees nothing: its stream is resumed. Runner 1 stops; runner 0 goes on with another
// stream, so only runner 1 is blamed. A token that another stream had from runner 1 right after
// this one's last proves nothing, since the runner stopped after it.
#[gtest]
fn a_runner_that_went_on_meanwhile_is_not_blamed() {
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

// Nothing else ran, so both are blamed. A report of runner 0 from after the silence's middle
// clears it, an older one does not; a token clears runner 1.
#[gtest]
fn blame_ends_by_a_report_or_a_token() {
    let mut silences = StallSuspects::default();
    let blamed = silences.record_stall(1_400, 1_000, route(&[0, 1]).into_iter());
    expect_that!(blamed, elements_are![eq(&id(0)), eq(&id(1))]);
    let old = |_: &Name| Some(1_150);
    expect_that!(silences.suspects(1_500, old).len(), eq(2));
    let of_0 = |name: &Name| (**name == *"runner-0").then_some(1_300);
    expect_that!(silences.suspects(1_600, of_0), elements_are![eq(&id(1))]);
    silences.record_token(1_700, [id(1)].into_iter());
    expect_that!(silences.suspects(1_700, NO_REPORT).len(), eq(0));
}

// A runner that nobody hears of is tried again after a while: its observers may be cut off.
#[gtest]
fn blame_ends_by_itself() {
    let mut silences = StallSuspects::default();
    let _ = silences.record_stall(1_400, 1_000, route(&[0]).into_iter());
    expect_that!(silences.suspects(7_399, NO_REPORT).len(), eq(1));
    expect_that!(silences.suspects(7_400, NO_REPORT).len(), eq(0));
}
