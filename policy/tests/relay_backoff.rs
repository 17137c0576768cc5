//! Pauses between calls that bring nothing.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::backoff::Backoff;

/// Guards against calls at a constant rate to a process that refuses them for good, and against a pause after a
/// call that brought something.
#[gtest]
fn pauses_double_up_to_the_maximum_until_a_call_brings_something() {
    let mut backoff = Backoff::new(100, 500);
    expect_true!(backoff.is_over(0));
    let pauses: Vec<Millis> = (0..5).map(|_| backoff.record_failure(1_000)).collect();
    expect_that!(pauses, eq(&[100, 200, 400, 500, 500]));
    expect_false!(backoff.is_over(1_499));
    expect_true!(backoff.is_over(1_500));
    backoff.reset();
    expect_true!(backoff.is_over(1_000));
    expect_that!(backoff.record_failure(1_000), eq(100));
}
