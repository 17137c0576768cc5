//! Convergence, suspicion and recovery of a fleet of memberships.

#[path = "support/fleet.rs"]
#[allow(
    dead_code,
    reason = "each test target and the measurement use a part of it"
)]
mod fleet;

use fleet::{Fleet, Run};
use googletest::prelude::*;
use jacinthweir_policy::membership::MembershipConfig;

/// Rounds until `done`, at most `limit`.
fn rounds_until(fleet: &mut Fleet, limit: usize, done: impl Fn(&Fleet) -> bool) -> usize {
    for round in 0..limit {
        if done(fleet) {
            return round;
        }
        fleet.round();
    }
    limit
}

#[gtest]
fn everyone_knows_everyone() {
    for (count, limit) in [(6, 10), (340, 24)] {
        let mut fleet = Fleet::new(count, 1, 7, &MembershipConfig::default());
        let rounds = rounds_until(&mut fleet, 100, |f| f.known() == count * count);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

#[gtest]
fn a_dead_member_is_suspected_by_all() {
    for (count, limit) in [(6, 12), (340, 24)] {
        let mut fleet = Fleet::settled(count, 1, 7, 30);
        fleet.nodes[3].run = Run::Dead;
        let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(3) == count - 1);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}
