//! How closely instances follow the store, and what they hear of it from one another.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::following::{
    ChangeBatch, ConfirmScope, Outdated, PeerProgress, Watchers, catch_up_ms, debounce_ms,
    runners_debounce_ms, scaled_interval_ms, should_confirm,
};
use jacinthweir_policy::relay::revision::Revision;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A fleet grows from six instances to some hundred. Calls to the store must not grow with it, and
/// a watch must still end before the store cuts it.
#[gtest]
fn watches_wait_by_the_number_of_instances() {
    expect_that!(scaled_interval_ms(2_000, 1), eq(2_000));
    expect_that!(scaled_interval_ms(2_000, 6), eq(2_000));
    expect_that!(scaled_interval_ms(2_000, 60), eq(20_000));
    expect_that!(scaled_interval_ms(2_000, 600), le(30_000));
}

/// The instances of a domain, each of which exchanges with two others in each round.
struct Domain {
    names: Vec<Name>,
    /// When the configuration was read that each knows to be confirmed.
    confirmed_ms: Vec<u64>,
    rng: ChaCha8Rng,
}

const ROUND_MS: u64 = 300;
const LOOK_MS: u64 = 100;

impl Domain {
    fn new(count: usize) -> Domain {
        Domain {
            names: names(&["east"], count),
            confirmed_ms: vec![0; count],
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Readings in a minute, and the oldest confirmation that anybody had.
    fn minute(&mut self) -> (usize, u64) {
        let (mut readings, mut oldest_ms) = (0, 0);
        for now in (0..60_000).step_by(LOOK_MS as usize) {
            for i in 0..self.names.len() {
                readings += usize::from(self.look(i, now));
                oldest_ms = oldest_ms.max(now - self.confirmed_ms[i]);
                if (now + LOOK_MS * i as u64).is_multiple_of(ROUND_MS) {
                    self.exchange(i);
                }
            }
        }
        (readings, oldest_ms)
    }

    fn look(&mut self, i: usize, now: u64) -> bool {
        let age = now - self.confirmed_ms[i];
        let confirming = ConfirmScope::of(&self.names[i], self.names.iter());
        let reads = should_confirm(Some(age), self.rng.random(), 4, confirming);
        if reads {
            self.confirmed_ms[i] = now;
        }
        reads
    }

    fn exchange(&mut self, i: usize) {
        for _ in 0..2 {
            let peer = self.rng.random_range(0..self.names.len());
            self.confirmed_ms[i] = self.confirmed_ms[i].max(self.confirmed_ms[peer]);
        }
    }
}

/// Every instance reads the configuration though one reading reaches all.
#[gtest]
fn a_few_instances_of_each_domain_confirm_the_configuration_for_all() {
    let (few, few_ms) = Domain::new(6).minute();
    let (many, many_ms) = Domain::new(60).minute();
    expect_that!(many, le(few * 10 / 2));
    expect_that!(few_ms, le(4_000));
    expect_that!(many_ms, le(4_000));
}

/// Those that read for a domain are lost, and the others refuse their callers.
#[gtest]
fn an_instance_that_hears_of_no_reading_reads_by_itself() {
    let all = names(&["east"], 60);
    let for_all = |n: &&Name| ConfirmScope::of(n, all.iter()) == ConfirmScope::Domain;
    expect_that!(all.iter().filter(for_all).count(), eq(2));
    expect_that!(
        ConfirmScope::of(&all[0], all[..2].iter()),
        eq(ConfirmScope::Domain)
    );
    expect_false!(should_confirm(None, 0.0, 4, ConfirmScope::Domain));
    expect_false!(should_confirm(Some(1_000), 0.0, 4, ConfirmScope::Domain));
    expect_true!(should_confirm(Some(2_100), 0.9, 4, ConfirmScope::Domain));
    expect_false!(should_confirm(Some(2_100), 0.0, 4, ConfirmScope::Own));
    expect_true!(should_confirm(Some(3_300), 1.0, 4, ConfirmScope::Own));
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
    let watching: Vec<&Name> = all.iter().filter(|n| watchers.contains(n)).collect();
    expect_that!(watching.len(), eq(6));
    for listener in &all {
        let tellers = all.iter().filter(|n| watchers.notifies(n, listener));
        expect_that!(tellers.count(), eq(2));
    }
    let left = all.iter().filter(|n| !watchers.contains(n));
    let next = Watchers::of(left);
    expect_that!(all.iter().filter(|n| next.contains(n)).count(), eq(6));
    expect_true!(watching.iter().all(|n| !next.contains(n)));
    // A small fleet watches as before.
    let few = names(&["east", "west"], 3);
    let watchers = Watchers::of(few.iter());
    expect_true!(few.iter().all(|n| watchers.contains(n)));
}

/// Watchers tell their steps at their own pace, and a word may be lost. What goes on from something
/// that this instance has not seen must not be taken over: the change between would stay unknown.
/// Nor must what it has already: an own watch's answer that another instance's word overtook would
/// bring back a runner that has left since.
#[gtest]
fn a_step_is_taken_over_only_if_nothing_is_missing_before_it() {
    expect_true!(step(0, (10, 14)).applies_to(at(0, 10)));
    expect_true!(step(0, (10, 14)).applies_to(at(0, 12)));
    expect_false!(step(0, (10, 14)).applies_to(at(0, 9)));
    expect_false!(step(0, (10, 14)).applies_to(at(0, 14)));
}

fn at(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn step(era: u64, (since, until): (u64, u64)) -> ChangeBatch {
    ChangeBatch {
        since: at(era, since),
        until: at(era, until),
        newest: at(era, until),
        changes: Vec::new(),
    }
}

/// The store came back from an older copy: the same numbers name other changes.
#[gtest]
fn a_step_is_taken_over_within_its_era_only() {
    expect_false!(step(1, (10, 14)).applies_to(at(0, 12)));
    expect_false!(step(0, (10, 14)).applies_to(at(1, 12)));
    expect_true!(step(1, (10, 14)).applies_to(at(1, 12)));
}

/// What the watchers see after a restore has smaller numbers than what all saw before it.
#[gtest]
fn what_others_saw_in_a_later_era_is_more() {
    let mut behind = PeerProgress::default();
    behind.record_peer(at(0, 500));
    expect_false!(behind.is_behind(at(0, 500)));
    behind.record_peer(at(1, 480));
    expect_true!(behind.is_behind(at(0, 500)));
    behind.mark_checked();
    expect_false!(behind.is_behind(at(1, 470)));
    behind.record_peer(at(1, 490));
    expect_true!(behind.is_behind(at(1, 480)));
}

/// A watch fell silent and hides a change that another instance tells of. The store is asked once
/// for it; what it does not show then was of an object that is gone, and is not asked for again.
#[gtest]
fn an_instance_that_is_behind_asks_once() {
    let mut behind = PeerProgress::default();
    expect_false!(behind.is_behind(0));
    behind.record_peer(7);
    expect_true!(behind.is_behind(6));
    expect_false!(behind.is_behind(7));
    behind.mark_checked();
    expect_false!(behind.is_behind(6));
    behind.record_peer(8);
    expect_true!(behind.is_behind(6));
}

/// A configuration of 0.7 MB was read again some eighteen times a second by 71 instances, nearly all of
/// them on links that it fills for a third of a second. Those for which it is quick read it first; if
/// they are lost, the others do so no later than before.
#[gtest]
fn instances_with_long_readings_leave_them_to_others() {
    let read_at = |draw: f64, reading_ms: u64, confirming: ConfirmScope| {
        let due = |age: &u64| should_confirm(Some(*age), draw, reading_ms, confirming);
        (0..10_000).find(due).expect("at some age")
    };
    let first_at = |reading_ms: u64| read_at(0.0, reading_ms, ConfirmScope::Domain);
    expect_that!(first_at(4), le(first_at(0) + 100));
    expect_that!(first_at(300), ge(first_at(4) + 1_000));
    for reading_ms in [0, 4, 300, 900] {
        for confirming in [ConfirmScope::Domain, ConfirmScope::Own] {
            expect_that!(read_at(1.0, reading_ms, confirming), le(3_200));
        }
    }
}

/// Every instance reads every configuration of a quick succession.
#[gtest]
fn configurations_in_quick_succession_are_read_together_in_a_large_fleet() {
    expect_that!(debounce_ms(6), le(20));
    let gap_ms = 330;
    expect_that!(debounce_ms(300), gt(gap_ms));
    expect_that!(debounce_ms(3_000), le(1_000));
}

/// A fleet that starts reads the runners once for each of them and each instance.
#[gtest]
fn instances_that_have_just_started_do_not_read_each_runner_that_registers() {
    let (starting, later) = (300, 5_000);
    expect_that!(
        runners_debounce_ms(starting, false),
        ge(5 * runners_debounce_ms(later, false))
    );
    expect_that!(
        runners_debounce_ms(starting, true),
        eq(runners_debounce_ms(later, false))
    );
}

/// A watch is broken off while it brings a large configuration.
#[gtest]
fn a_watch_that_brings_a_large_configuration_is_given_its_time() {
    expect_that!(catch_up_ms(6), le(150));
    expect_that!(catch_up_ms(300), ge(900));
    expect_that!(catch_up_ms(3_000), le(1_500));
}

/// The version that others have does not come, as where the store has lost it.
#[gtest]
fn an_instance_acts_on_no_configuration_that_others_have_replaced_for_long() {
    let mut outdated = Outdated::default();
    outdated.record_peer(7, 7, 0);
    expect_false!(outdated.is_outdated(10_000));
    outdated.record_peer(8, 7, 10_000);
    outdated.record_peer(9, 7, 10_400);
    expect_false!(outdated.is_outdated(10_500));
    expect_true!(outdated.is_outdated(11_900));
    // One of those that it lacked: it follows, if behind the newest.
    outdated.in_force(8, 12_000);
    expect_false!(outdated.is_outdated(12_100));
    expect_true!(outdated.is_outdated(13_900));
    outdated.in_force(9, 14_000);
    expect_false!(outdated.is_outdated(20_000));
}
