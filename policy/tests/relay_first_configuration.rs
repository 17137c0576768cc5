//! When an instance that has just started acts on the first configuration that it read.

use googletest::prelude::*;
use jacinthweir_policy::relay::first_configuration::{
    FirstConfiguration, PEERS_STARTING, START_WAIT_MS,
};

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

/// Guards against two instances that start together and take each other's word for an old copy, and against
/// their waiting for ever.
#[gtest]
fn one_peer_that_has_only_started_confirms_nothing() {
    let mut first = FirstConfiguration::default();
    first.in_force(7);
    first.record_peer(7, false, Some(7));
    expect_false!(first.is_confirmed(7, START_WAIT_MS - 1));
    expect_true!(first.is_confirmed(7, START_WAIT_MS));
    first.record_version(8, Some(7));
    expect_false!(first.is_confirmed(7, START_WAIT_MS));
}

/// Guards against refusing all callers while instances that all started at the same time wait for one that
/// did not; and against keeping to that once one is heard.
#[gtest]
fn instances_do_not_wait_if_all_others_start_as_well() {
    let mut first = FirstConfiguration::default();
    first.in_force(7);
    (0..PEERS_STARTING).for_each(|_| first.record_peer(7, false, Some(7)));
    expect_true!(first.is_confirmed(7, 100));
    first.record_peer(8, true, Some(7));
    expect_false!(first.is_confirmed(7, 200));
    expect_false!(first.is_confirmed(7, 2 * START_WAIT_MS));
}

#[gtest]
fn nobody_is_asked_when_the_system_starts_for_the_first_time() {
    expect_true!(FirstConfiguration::of_first_start().is_confirmed(1, 0));
}
