//! Convergence, failure detection and recovery in a simulated fleet of memberships.

#[path = "support/fleet.rs"]
#[allow(
    dead_code,
    reason = "each test target and the measurement use a part of it"
)]
mod fleet;

use std::cell::Cell;
use std::rc::Rc;

use fleet::{Fleet, ProcessState};
use googletest::prelude::*;
use jacinthweir_policy::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::{MemberDelta, MembershipConfig, Verdict};

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

fn listed(i: usize, incarnation: u64, state: ListedState) -> ListedInstance {
    ListedInstance {
        name: fleet::name(i).into(),
        incarnation,
        group: ENTRY_GROUP.into(),
        address: fleet::address(i),
        domain: "region-0.domain-0".into(),
        state,
    }
}

#[gtest]
fn every_instance_discovers_all_others() {
    for (count, limit) in [(6, 10), (340, 24)] {
        let mut fleet = Fleet::new(count, 1, 7, &MembershipConfig::default());
        let rounds = rounds_until(&mut fleet, 100, |f| f.known() == count * count);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

// Guards against naming a crashed instance in new entry answers: a peer's call to it fails, two
// other peers confirm the failure, and the suspicion spreads to all instances.
#[gtest]
fn a_crashed_member_is_suspected_by_all() {
    for (count, limit) in [(6, 12), (340, 24)] {
        let mut fleet = Fleet::settled(count, 1, 7, 24);
        fleet.instances[3].run = ProcessState::Dead;
        let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(3) == count - 1);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

// Two of three instances crash together, so no peer is left to confirm the failure. The last one
// must still suspect both once their silence exceeds the bound.
#[gtest]
fn the_last_instance_suspects_without_confirmation() {
    let mut fleet = Fleet::settled(3, 1, 7, 10);
    fleet.instances[1].run = ProcessState::Dead;
    fleet.instances[2].run = ProcessState::Dead;
    fleet.rounds(20);
    expect_that!(fleet.instances[0].membership.live().count(), eq(1));
}

// 5% of the messages are lost for 200 rounds. A falsely suspected member is removed from the entry
// answers and its load moves to the others. Confirmation must keep false suspicions rare, and they
// must be cleared within a few rounds after the loss ends.
#[gtest]
fn message_loss_causes_few_false_suspicions() {
    let mut fleet = Fleet::settled(24, 1, 7, 16);
    fleet.loss = 0.05;
    let mut wrong = 0;
    for _ in 0..200 {
        fleet.round();
        wrong += fleet.wrongly_suspected();
    }
    println!(
        "{wrong} of {} pairs and rounds, {} alarms",
        200 * 24 * 23,
        fleet.false_alarms()
    );
    expect_that!(wrong, le(200 * 24 * 23 / 1000));
    fleet.loss = 0.0;
    fleet.rounds(10);
    expect_that!(fleet.wrongly_suspected(), eq(0));
}

// An instance is suspended for 60 rounds and resumed. Its earlier calls fail, and by its clocks it
// heard from no peer for a minute. If it suspected them, its entry answers would contain only
// itself.
#[gtest]
fn a_resumed_instance_suspects_nobody() {
    let mut fleet = Fleet::settled(6, 1, 7, 16);
    fleet.instances[2].run = ProcessState::Frozen;
    fleet.rounds(60);
    expect_that!(fleet.suspecting(2), eq(5));
    fleet.instances[2].run = ProcessState::Up;
    for _ in 0..12 {
        fleet.round();
        let suspects = (0..6).filter(|j| fleet.suspects(2, *j)).count();
        expect_that!(suspects, eq(0));
    }
    expect_that!(fleet.suspecting(2), eq(0));
    expect_that!(fleet.instances[2].membership.counts().woken, eq(1));
}

// After a stall, a timer fires 20 ticks at once. They must not count as rounds: no peer has time to
// answer within them, and the silence of every peer would exceed the bound.
#[gtest]
fn a_burst_of_ticks_counts_as_one_round() {
    let mut fleet = Fleet::settled(3, 1, 7, 10);
    let mut now = fleet.now;
    now.mono_ms += fleet.cfg.round_ms;
    let membership = &mut fleet.instances[0].membership;
    let round = membership.round();
    let mut rng: rand_chacha::ChaCha8Rng = rand::SeedableRng::seed_from_u64(1);
    for _ in 0..20 {
        membership.tick(now, &mut rng);
    }
    expect_that!(membership.round(), eq(round + 1));
}

// The machine is suspended: its monotonic clock stops and only the wall clock jumps. A call in
// flight fails on resume and must not count as evidence against the peer.
#[gtest]
fn a_wall_clock_jump_alone_is_detected() {
    let mut fleet = Fleet::settled(3, 1, 7, 10);
    let mut now = fleet.now;
    now.unix_ms += 60_000;
    let membership = &mut fleet.instances[0].membership;
    let round = membership.round();
    let state = membership.members().nth(1).unwrap().clone();
    let peer = jacinthweir_policy::membership::Peer {
        name: Some(state.name.clone()),
        address: state.peers,
    };
    let mut rng: rand_chacha::ChaCha8Rng = rand::SeedableRng::seed_from_u64(1);
    let actions = membership.exchange_failed(now, &peer, round, &mut rng);
    expect_that!(actions.len(), eq(0));
    expect_that!(membership.counts().woken, eq(1));
    expect_that!(membership.counts().doubts, eq(0));
}

// A region is partitioned from all others for 120 rounds. Callers on each side must be sent to
// instances on that side only. After the partition heals, all instances must be live again and none
// may have been removed.
#[gtest]
fn a_partitioned_region_recovers() {
    let mut fleet = Fleet::settled(24, 3, 7, 16);
    fleet.partitioned_region = Some(1);
    fleet.rounds(40);
    for (i, node) in fleet.instances.iter().enumerate() {
        let side = if i % 3 == 1 { 8 } else { 16 };
        expect_that!(node.membership.live().count(), eq(side), "instance {i}");
    }
    fleet.rounds(80);
    fleet.partitioned_region = None;
    let rounds = rounds_until(&mut fleet, 60, |f| f.wrongly_suspected() == 0);
    println!("healed after {rounds} rounds");
    expect_that!(rounds, le(20));
    expect_that!(fleet.known(), eq(24 * 24));
}

#[gtest]
fn a_restarted_instance_becomes_live_again() {
    let mut fleet = Fleet::settled(6, 1, 7, 16);
    fleet.instances[4].run = ProcessState::Dead;
    fleet.rounds(10);
    fleet.restart(4, 1);
    fleet.rounds(8);
    expect_that!(fleet.suspecting(4), eq(0));
    expect_that!(fleet.known(), eq(36));
}

// The platform's list is stale and shows a crashed instance as live. The list only supplies an
// address to try and must not clear the suspicion.
#[gtest]
fn the_platform_list_clears_no_suspicion() {
    let mut fleet = Fleet::settled(6, 1, 7, 16);
    let incarnation = fleet.instances[3].membership.own().state.incarnation;
    fleet.instances[3].run = ProcessState::Dead;
    fleet.rounds(12);
    let list = [listed(3, incarnation, ListedState::Live)];
    for _ in 0..10 {
        let now = fleet.now;
        fleet.instances[0].membership.listed(now, &list);
        expect_that!(fleet.suspects(0, 3), eq(true));
        fleet.round();
        expect_that!(fleet.suspects(0, 3), eq(true));
    }
}

// Heartbeats that a member sent before its crash still arrive through slower peers. They must not
// clear the suspicion; a heartbeat above the floor proves that it is alive and clears it at once.
#[gtest]
fn a_delayed_heartbeat_clears_no_suspicion() {
    let mut fleet = Fleet::settled(6, 1, 7, 16);
    fleet.instances[3].run = ProcessState::Dead;
    fleet.rounds(12);
    let now = fleet.now;
    let membership = &mut fleet.instances[0].membership;
    let member = membership.member(&fleet::name(3)).unwrap();
    let Verdict::Suspected { floor, .. } = member.verdict else {
        panic!("{} is {}", member.state().name, member.verdict);
    };
    let mut record = member.record.clone();
    let from = fleet::name(1).into();
    for (heartbeat, suspected) in [(floor, true), (floor + 1, false)] {
        record.state.heartbeat = heartbeat;
        let records = vec![record.clone()];
        let delta = MemberDelta {
            records,
            ..MemberDelta::default()
        };
        membership.receive_push(now, &from, &delta);
        let member = membership.member(&fleet::name(3)).unwrap();
        expect_that!(member.suspected(), eq(suspected));
    }
    expect_that!(membership.counts().false_alarms, eq(1));
}

// The platform lists an instance as leaving before the instance announces it. Callers must not be
// sent to it, even if a later, stale list shows the same incarnation as live again. The next
// incarnation must become live.
#[gtest]
fn listed_as_leaving_is_final_for_the_incarnation() {
    let mut fleet = Fleet::settled(3, 1, 7, 10);
    let incarnation = fleet.instances[1].membership.own().state.incarnation;
    for state in [ListedState::Leaving, ListedState::Live] {
        let now = fleet.now;
        let list = [listed(1, incarnation, state)];
        fleet.instances[0].membership.listed(now, &list);
        fleet.rounds(3);
        expect_that!(fleet.instances[0].membership.live().count(), eq(2));
    }
    fleet.restart(1, 0);
    fleet.rounds(6);
    expect_that!(fleet.instances[0].membership.live().count(), eq(3));
}

#[gtest]
fn a_phase_never_goes_back() {
    let mut fleet = Fleet::settled(3, 1, 7, 10);
    let membership = &mut fleet.instances[1].membership;
    membership.set_phase(Phase::Draining);
    membership.set_phase(Phase::Serving);
    fleet.rounds(6);
    for node in &fleet.instances {
        expect_that!(node.membership.live().count(), eq(2));
    }
}

/// Bounds the number of digests sent between failure domains, while convergence and failure
/// detection stay as fast as without the bound.
#[gtest]
fn cross_domain_digests_are_bounded_in_a_large_fleet() {
    let (count, domains, cross_domain_senders) = (300, 3, 8);
    let cfg = MembershipConfig {
        fanout: 2,
        cross_domain_senders,
        ..MembershipConfig::default()
    };
    let mut fleet = Fleet::new(count, 1, 7, &cfg);
    let rounds = rounds_until(&mut fleet, 100, |f| f.known() == count * count);
    expect_that!(rounds, le(20));
    fleet.rounds(10);
    expect_that!(fleet.wrongly_suspected(), eq(0));
    let crossing = Rc::new(Cell::new(0));
    let counted = Rc::clone(&crossing);
    fleet.meter = Some(Box::new(move |from, to, message| {
        let digest = matches!(message, fleet::Message::Digest(_));
        if digest && from % domains != to % domains {
            counted.set(counted.get() + 1);
        }
    }));
    let observed = 20;
    fleet.rounds(observed);
    fleet.meter = None;
    let most = observed * domains * cross_domain_senders * cfg.fanout;
    expect_that!(crossing.get(), le(most * 5 / 4));
    fleet.instances[3].run = ProcessState::Dead;
    let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(3) == count - 1);
    expect_that!(rounds, le(20));
    expect_that!(fleet.wrongly_suspected(), eq(0));
}
