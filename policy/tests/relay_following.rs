//! How closely instances follow the store, and what they hear of it from one another.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::following::{
    Behind, Step, Watchers, gather_ms, reluctant, runners_gather_ms, should_confirm, watch_ms,
};

/// A fleet grows from six instances to some hundred. Calls to the store must not grow with it, and
/// a watch must still end before the store cuts it.
#[gtest]
fn watches_wait_by_the_number_of_instances() {
    expect_that!(watch_ms(2_000, 1), eq(2_000));
    expect_that!(watch_ms(2_000, 6), eq(2_000));
    expect_that!(watch_ms(2_000, 60), eq(20_000));
    expect_that!(watch_ms(2_000, 600), le(30_000));
    expect_false!(should_confirm(None, 0.0, 6));
    expect_false!(should_confirm(Some(1_000), 0.0, 6));
    expect_true!(should_confirm(Some(2_000), 0.9, 6));
}

/// Sixty instances each read the configuration as soon as their confirmation is 1.4 s old, though one
/// reading reaches all others within two seconds. Where there are many they wait longer for another
/// one's, and still confirm well within the time for which keys may be served unconfirmed.
#[gtest]
fn confirmations_are_waited_for_longer_where_there_are_many_instances() {
    expect_true!(should_confirm(Some(1_700), 0.4, 6));
    expect_false!(should_confirm(Some(1_700), 0.4, 60));
    expect_true!(should_confirm(Some(3_300), 1.0, 600));
}

fn names(domains: &[&str], each: usize) -> Vec<Name> {
    let of = |d: &&str| {
        let d = (*d).to_owned();
        (0..each).map(move |i| Name::from(format!("front-{d}-{i}")))
    };
    domains.iter().flat_map(of).collect()
}

/// Each change of a runner's entry ended the watches of all sixty instances, and each asked the store
/// again. Six watch and tell the others. When these are lost together six others take their place,
/// and as long as one of two tellers lives everybody hears.
#[gtest]
fn a_few_instances_watch_the_runners_for_all() {
    let all = names(&["east", "north", "west"], 20);
    let watchers = Watchers::of(all.iter());
    let watching: Vec<&Name> = all.iter().filter(|n| watchers.has(n)).collect();
    expect_that!(watching.len(), eq(6));
    for listener in &all {
        let tellers = all.iter().filter(|n| watchers.tells(n, listener));
        expect_that!(tellers.count(), eq(2));
    }
    let left = all.iter().filter(|n| !watchers.has(n));
    let next = Watchers::of(left);
    expect_that!(all.iter().filter(|n| next.has(n)).count(), eq(6));
    expect_true!(watching.iter().all(|n| !next.has(n)));
    // A small fleet watches as before.
    let few = names(&["east", "west"], 3);
    let watchers = Watchers::of(few.iter());
    expect_true!(few.iter().all(|n| watchers.has(n)));
}

/// Watchers tell their steps at their own pace, and a word may be lost. What goes on from something
/// that this instance has not seen must not be taken over: the change between would stay unknown.
/// Nor must what it has already: an own watch's answer that another instance's word overtook would
/// bring back a runner that has left since.
#[gtest]
fn a_step_is_taken_over_only_if_nothing_is_missing_before_it() {
    let step = |since, until| Step {
        since,
        until,
        newest: until,
        changes: Vec::new(),
    };
    expect_true!(step(10, 14).follows(10));
    expect_true!(step(10, 14).follows(12));
    expect_false!(step(10, 14).follows(9));
    expect_false!(step(10, 14).follows(14));
}

/// A watch fell silent and hides a change that another instance tells of. The store is asked once
/// for it; what it does not show then was of an object that is gone, and is not asked for again.
#[gtest]
fn an_instance_that_is_behind_asks_once() {
    let mut behind = Behind::default();
    expect_false!(behind.is_behind(0));
    behind.heard(7);
    expect_true!(behind.is_behind(6));
    expect_false!(behind.is_behind(7));
    behind.asked();
    expect_false!(behind.is_behind(6));
    behind.heard(8);
    expect_true!(behind.is_behind(6));
}

/// A configuration of 0.7 MB was read again some eighteen times a second by 71 instances, nearly all of
/// them on links that it fills for a third of a second. Those for which it is quick read it first; if
/// they are lost, the others do so no later than before.
#[gtest]
fn instances_with_long_readings_leave_them_to_others() {
    let first_at = |reading_ms: u64| {
        let due = |age: &u64| should_confirm(Some(*age), reluctant(0.0, reading_ms), 71);
        (0..10_000).find(due).expect("at some age")
    };
    let last_at = |reading_ms: u64| {
        let due = |age: &u64| should_confirm(Some(*age), reluctant(1.0, reading_ms), 71);
        (0..10_000).find(due).expect("at some age")
    };
    expect_that!(first_at(4), le(first_at(0) + 100));
    expect_that!(first_at(300), ge(first_at(4) + 1_000));
    expect_that!(first_at(900), le(last_at(0)));
    expect_that!(last_at(900), eq(last_at(0)));
}

/// Fourteen configurations came within five seconds, and three hundred instances asked the store for
/// each: four thousand calls. A small fleet still follows each at once, a large one within a part of the
/// seconds that it has.
#[gtest]
fn configurations_in_quick_succession_are_read_together_in_a_large_fleet() {
    expect_that!(gather_ms(6), le(20));
    let gap_ms = 330;
    expect_that!(gather_ms(300), gt(gap_ms));
    expect_that!(gather_ms(3_000), le(1_000));
}

/// Three hundred instances start at once and none has heard of another: each watched the runners by
/// itself, and each of two hundred runners that registered ended all their watches. Who gives orders
/// still sees at once what comes of them.
#[gtest]
fn instances_that_have_just_started_do_not_read_each_runner_that_registers() {
    let (starting, later) = (300, 5_000);
    expect_that!(
        runners_gather_ms(starting, false),
        ge(5 * runners_gather_ms(later, false))
    );
    expect_that!(
        runners_gather_ms(starting, true),
        eq(runners_gather_ms(later, false))
    );
}
