//! The journal's outcomes, from the text cases in `cases/journal`.

use googletest::prelude::*;
use jacinthweir_policy::journal::*;
use jacinthweir_policy::prelude::*;

#[gtest]
fn nothing_handed_is_not_run_and_stays_so() {
    let mut journal = Journal::open("r1".into(), Repeat::NonIdempotent, 0);
    expect_that!(journal.close(1, End::GivenUp), eq(Outcome::NotRun));
    let handed = Event::Handed {
        attempt: 1,
        upstream: "u".into(),
    };
    expect_that!(journal.record(2, handed), err(eq(Fault::AfterClose)));
}
