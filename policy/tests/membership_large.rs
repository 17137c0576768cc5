//! Membership of fleets whose digests list a part of the members: cost, convergence and failures.

#[path = "support/fleet.rs"]
#[allow(
    dead_code,
    reason = "each test target and the measurement use a part of it"
)]
mod fleet;

use fleet::{Fleet, ProcessState};
use googletest::prelude::*;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::MembershipConfig;

/// Rounds of 300 ms in three seconds, within which callers have to stop being sent to a lost instance.
const LOST_ROUNDS: usize = 10;

fn config() -> MembershipConfig {
    MembershipConfig {
        round_ms: 300,
        fanout: 2,
        cross_domain_senders: 8,
        max_beats: 32,
        ..MembershipConfig::default()
    }
}

/// A fleet in three failure domains whose instances know each other.
fn settled(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 1, 7, &config());
    let rounds = rounds_until(&mut fleet, 200, |f| f.known() == count * count);
    expect_that!(rounds, lt(200), "{count} instances know each other");
    fleet.rounds(40);
    fleet
}

/// Returns the number of rounds until `done` holds, at most `limit`.
fn rounds_until(fleet: &mut Fleet, limit: usize, done: impl Fn(&Fleet) -> bool) -> usize {
    for round in 0..limit {
        if done(fleet) {
            return round;
        }
        fleet.round();
    }
    limit
}

/// Returns the entries written and read by an instance in a round, on average.
fn entries_a_round(fleet: &mut Fleet) -> f64 {
    let entries = |f: &Fleet| -> u64 {
        let all = f.instances.iter();
        all.map(|i| i.membership.entries_exchanged()).sum()
    };
    let before = entries(fleet);
    let rounds = 20;
    fleet.rounds(rounds);
    (entries(fleet) - before) as f64 / (rounds * fleet.instances.len()) as f64
}

// Guards against exchanges whose size grows with the fleet.
#[gtest]
fn an_exchange_costs_the_same_in_a_larger_fleet() {
    let small = entries_a_round(&mut settled(100));
    let large = entries_a_round(&mut settled(400));
    println!("{small:.0} and {large:.0} entries a round");
    expect_that!(large, le(small * 1.3));
}

#[gtest]
fn every_instance_discovers_all_others() {
    for (count, limit) in [(100, 20), (400, 24)] {
        let mut fleet = Fleet::new(count, 1, 7, &config());
        let rounds = rounds_until(&mut fleet, 100, |f| f.known() == count * count);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

// Guards against callers that are sent to an instance that was lost.
#[gtest]
fn a_lost_instance_is_suspected_by_all() {
    for count in [100, 400] {
        let mut fleet = settled(count);
        fleet.instances[3].run = ProcessState::Dead;
        let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(3) == count - 1);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(LOST_ROUNDS));
        expect_that!(fleet.wrongly_suspected(), eq(0));
        fleet.rounds(60);
        expect_that!(fleet.suspecting(3), eq(count - 1));
    }
}

// Guards against a failure domain that stays in entry answers since no instance of it is left to miss
// the others.
#[gtest]
fn a_lost_domain_is_suspected_by_all() {
    for count in [99, 300] {
        let mut fleet = settled(count);
        for i in (0..count).step_by(3) {
            fleet.instances[i].run = ProcessState::Dead;
        }
        let left = count - count / 3;
        let suspected = |f: &Fleet| (0..count).step_by(3).all(|i| f.suspecting(i) == left);
        let rounds = rounds_until(&mut fleet, 100, suspected);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(2 * LOST_ROUNDS));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

// Guards against half of the fleet that stays out of entry answers after it lost power for a while.
#[gtest]
fn half_of_the_fleet_restarts_and_is_live_again() {
    let count = 200;
    let mut fleet = settled(count);
    for i in (0..count).step_by(2) {
        fleet.instances[i].run = ProcessState::Dead;
    }
    fleet.rounds(7);
    for i in (0..count).step_by(2) {
        fleet.restart(i, 1);
    }
    let live = |f: &Fleet| {
        f.instances
            .iter()
            .all(|i| i.membership.live().count() == count)
    };
    let rounds = rounds_until(&mut fleet, 100, live);
    println!("live again after {rounds} rounds");
    expect_that!(rounds, le(30));
}

// Guards against callers that are sent to an instance that shuts down.
#[gtest]
fn a_departure_is_known_to_all() {
    for count in [100, 400] {
        let mut fleet = settled(count);
        fleet.instances[5].membership.set_phase(Phase::Draining);
        let known = |f: &Fleet| {
            f.instances
                .iter()
                .all(|i| i.membership.live().count() < count)
        };
        let rounds = rounds_until(&mut fleet, 100, known);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(LOST_ROUNDS));
    }
}

// Guards against false suspicions that last: 5% of the messages are lost for a minute.
#[gtest]
fn message_loss_causes_few_false_suspicions() {
    let count = 120;
    let mut fleet = settled(count);
    fleet.loss = 0.05;
    let mut wrong = 0;
    for _ in 0..200 {
        fleet.round();
        wrong += fleet.wrongly_suspected();
    }
    println!("{wrong} of {} pairs and rounds", 200 * count * (count - 1));
    expect_that!(wrong, le(200 * count * (count - 1) / 1000));
    fleet.loss = 0.0;
    fleet.rounds(12);
    expect_that!(fleet.wrongly_suspected(), eq(0));
}

// Guards against an instance that is cut off from all others for a while and stays suspected, or keeps
// suspecting them.
#[gtest]
fn an_instance_that_was_cut_off_returns() {
    let count = 100;
    let mut fleet = settled(count);
    fleet.isolated = Some(7);
    let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(7) >= count - 1);
    expect_that!(rounds, le(LOST_ROUNDS));
    fleet.rounds(10);
    fleet.isolated = None;
    let rounds = rounds_until(&mut fleet, 100, |f| f.wrongly_suspected() == 0);
    println!("returned after {rounds} rounds");
    expect_that!(rounds, le(16));
}
