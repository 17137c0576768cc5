//! Entries of other writers that name no runner, more than are remembered.

use googletest::prelude::*;
use jacinthweir_policy::relay::rejected_entries::{MAX_REJECTED, RejectedEntries, Rejection};

fn name(n: usize) -> String {
    format!("a{n}")
}

/// Guards against a log line for each of them at each list, once more of them exist than are remembered.
#[gtest]
fn each_rejected_entry_is_logged_once_for_a_cause_and_so_is_that_there_are_too_many() {
    let mut rejected = RejectedEntries::default();
    for n in 0..MAX_REJECTED {
        expect_that!(rejected.record(&name(n), "cause"), eq(Rejection::New));
    }
    expect_that!(rejected.record(&name(0), "cause"), eq(Rejection::Known));
    expect_that!(rejected.record(&name(0), "other"), eq(Rejection::New));
    expect_that!(rejected.record("more", "cause"), eq(Rejection::TooMany));
    expect_that!(rejected.record("more", "cause"), eq(Rejection::Unlogged));
    rejected.forget("more");
    expect_that!(rejected.record("more", "cause"), eq(Rejection::Unlogged));
    rejected.forget(&name(1));
    expect_that!(rejected.record("more", "cause"), eq(Rejection::New));
    expect_that!(rejected.record(&name(1), "cause"), eq(Rejection::TooMany));
}
