//! Convergence, suspicion and recovery of a fleet of memberships.

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
fn everyone_knows_everyone() {
    for (count, limit) in [(6, 10), (340, 24)] {
        let mut fleet = Fleet::new(count, 1, 7, &MembershipConfig::default());
        let rounds = rounds_until(&mut fleet, 100, |f| f.known() == count * count);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

// One instance dies without a word. Callers hold its address until their answer runs out, and
// must not be given it again: some peer's call fails first, it asks two others, and the suspicion
// spreads.
#[gtest]
fn a_dead_member_is_suspected_by_all() {
    for (count, limit) in [(6, 12), (340, 24)] {
        let mut fleet = Fleet::settled(count, 1, 7, 24);
        fleet.instances[3].run = ProcessState::Dead;
        let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(3) == count - 1);
        println!("{count} instances: {rounds} rounds");
        expect_that!(rounds, le(limit));
        expect_that!(fleet.wrongly_suspected(), eq(0));
    }
}

// Two of three instances die together, so that nobody is left to confirm. The last one must stop
// naming them all the same, once they are silent beyond the bound.
#[gtest]
fn the_last_instance_suspects_without_confirmation() {
    let mut fleet = Fleet::settled(3, 1, 7, 10);
    fleet.instances[1].run = ProcessState::Dead;
    fleet.instances[2].run = ProcessState::Dead;
    fleet.rounds(20);
    expect_that!(fleet.instances[0].membership.live().count(), eq(1));
}

// One message in twenty is lost for 200 rounds. A member that is suspected for it drops out of the
// entry answers and its share goes to the others; confirmation keeps that from happening, and
// whatever does happen is over a few rounds later.
#[gtest]
fn lost_messages_raise_few_alarms() {
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

// An instance is frozen for 60 rounds and woken. Its calls from before fail, and by its clocks
// nobody was heard of for a minute; if it suspected them it would name itself as the only address.
#[gtest]
fn a_woken_instance_suspects_nobody() {
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

// A timer catches up on 20 ticks at once after a stall. They must not count as rounds: within
// them no peer had the time to answer, and all would be silent beyond the bound.
#[gtest]
fn ticks_in_a_burst_count_once() {
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

// The machine is suspended: its monotonic clock stands still, and only the wall clock jumps. A
// call that was under way fails at the wake-up and must not count against its peer.
#[gtest]
fn a_jump_of_the_wall_clock_alone_is_noticed() {
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

// A region is cut off from all others for 120 rounds. Callers on each side must be sent to that
// side only; after the cut all instances are used again, and none was forgotten.
#[gtest]
fn a_region_is_cut_and_healed() {
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
fn a_restarted_instance_is_taken_in_again() {
    let mut fleet = Fleet::settled(6, 1, 7, 16);
    fleet.instances[4].run = ProcessState::Dead;
    fleet.rounds(10);
    fleet.restart(4, 1);
    fleet.rounds(8);
    expect_that!(fleet.suspecting(4), eq(0));
    expect_that!(fleet.known(), eq(36));
}

// The platform's list lags: it still calls a dead instance live. The list names an address to try
// and must not bring the instance back into the answers.
#[gtest]
fn the_list_revives_nobody() {
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

// A member dies, and heartbeats from before its death still come by way of slower peers. They must
// not end the suspicion; one from after the floor shows that it lives and ends it at once.
#[gtest]
fn a_late_heartbeat_ends_no_suspicion() {
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

// The list says that an instance leaves before the instance does. It is named to no caller, also
// when a later, stale list calls the same incarnation live again; its next incarnation is.
#[gtest]
fn listed_as_leaving_never_turns_back() {
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

/// Most messages of a large fleet go between its domains.
#[gtest]
fn few_messages_of_a_large_fleet_leave_their_domain() {
    let (count, domains, outward) = (300, 3, 8);
    let cfg = MembershipConfig {
        fanout: 2,
        outward,
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
    let most = observed * domains * outward * cfg.fanout;
    expect_that!(crossing.get(), le(most * 5 / 4));
    fleet.instances[3].run = ProcessState::Dead;
    let rounds = rounds_until(&mut fleet, 100, |f| f.suspecting(3) == count - 1);
    expect_that!(rounds, le(20));
    expect_that!(fleet.wrongly_suspected(), eq(0));
}
