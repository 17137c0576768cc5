//! When an instance that has just started acts on the first configuration that it read.

use googletest::prelude::*;
use jacinthweir_policy::relay::first_configuration::{FirstConfiguration, START_WAIT_MS};

/// Guards against an instance that serves by the older copy of a store which a drill brought back, as long
/// as its watch may still deliver the newer one.
#[gtest]
fn a_configuration_older_than_that_of_a_peer_is_not_acted_on() {
    let mut first = FirstConfiguration::default();
    first.in_force(7);
    expect_false!(first.is_confirmed(7, 0));
    first.record_peer(8, true, Some(7));
    expect_false!(first.is_confirmed(7, START_WAIT_MS - 1));
    expect_false!(first.is_confirmed(7, 100 * START_WAIT_MS));
    first.in_force(8);
    expect_true!(first.is_confirmed(8, 100));
}

#[gtest]
fn a_peer_that_ran_before_confirms_the_same_version_at_once() {
    let mut first = FirstConfiguration::default();
    first.record_peer(7, true, None);
    expect_false!(first.is_confirmed(6, 10));
    first.in_force(7);
    expect_true!(first.is_confirmed(7, 10));
    // Later versions are up to the watch, which an instance that runs is given time for.
    first.record_peer(9, true, Some(7));
    expect_true!(first.is_confirmed(7, 20));
}

/// Guards against instances that start together and take each other's word for an old copy, and against their
/// waiting for ever.
#[gtest]
fn peers_that_only_started_themselves_confirm_nothing() {
    let mut first = FirstConfiguration::default();
    first.in_force(7);
    first.record_peer(7, false, Some(7));
    expect_false!(first.is_confirmed(7, START_WAIT_MS - 1));
    expect_true!(first.is_confirmed(7, START_WAIT_MS));
    first.record_peer(8, false, Some(7));
    expect_false!(first.is_confirmed(7, START_WAIT_MS));
}

#[gtest]
fn nobody_is_asked_when_the_system_starts_for_the_first_time() {
    expect_true!(FirstConfiguration::of_first_start().is_confirmed(1, 0));
}
