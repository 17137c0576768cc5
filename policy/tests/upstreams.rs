//! Tests of upstream monitoring by a fleet: polling, gossip and availability for new work.

#[path = "support/fleet.rs"]
#[allow(
    dead_code,
    reason = "each test target and the benchmark use a part of it"
)]
mod fleet;

use fleet::runners::runner_name;
use fleet::{Fleet, ProcessState};
use googletest::prelude::*;
use jacinthweir_policy::membership::MembershipConfig;
use jacinthweir_policy::upstreams::Availability;

fn fleet_of(instances: usize, regions: usize, runners: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, regions, 11, &MembershipConfig::default());
    fleet.add_runners(runners);
    fleet.rounds(16);
    fleet
}

/// Runs rounds until `done`, at most `limit`; returns their number.
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
fn three_instances_poll_each_runner_and_all_learn_its_state() {
    let mut fleet = fleet_of(6, 1, 43);
    fleet.polls = 0;
    fleet.rounds(10);
    expect_that!(fleet.polls, eq(10 * 43 * 3));
    for r in 0..43 {
        expect_that!(fleet.seeing(r, Availability::Open), eq(6));
        for node in &fleet.instances {
            let upstream = node.upstreams.get(&runner_name(r)).unwrap();
            expect_that!(upstream.record.profile, some(anything()));
            expect_that!(upstream.load, some(anything()));
        }
    }
}

// A runner announces that it is leaving only in its own report; the platform's list is stale and
// shows it as live throughout. It must not receive new work after a few rounds: its observers learn
// it from their next poll, and the other instances by gossip.
#[gtest]
fn leaving_is_irrevocable() {
    let mut fleet = fleet_of(6, 1, 8);
    fleet.runners[3].leaving = true;
    let rounds = rounds_until(&mut fleet, 20, |f| f.seeing(3, Availability::Leaving) == 6);
    println!("leaving known by all after {rounds} rounds");
    expect_that!(rounds, le(6));
    fleet.runners[3].leaving = false;
    for _ in 0..10 {
        fleet.round();
        (0..6).for_each(|i| fleet.read_list(i));
        expect_that!(fleet.seeing(3, Availability::Leaving), eq(6));
    }
    fleet.runners[3].incarnation += 1;
    let rounds = rounds_until(&mut fleet, 20, |f| f.seeing(3, Availability::Open) == 6);
    expect_that!(rounds, le(6));
}

// A runner crashes. Its observers' polls fail, each asks another observer, and all instances stop
// sending to it. It restarts with a higher incarnation and is used again.
#[gtest]
fn a_dead_runner_is_suspected_and_open_after_its_restart() {
    let mut fleet = fleet_of(6, 1, 8);
    fleet.runners[2].run = ProcessState::Dead;
    let rounds = rounds_until(&mut fleet, 20, |f| {
        f.seeing(2, Availability::Suspected) == 6
    });
    println!("dead runner suspected by all after {rounds} rounds");
    expect_that!(rounds, le(8));
    fleet.runners[2].run = ProcessState::Up;
    fleet.runners[2].incarnation += 1;
    let rounds = rounds_until(&mut fleet, 20, |f| f.seeing(2, Availability::Open) == 6);
    expect_that!(rounds, le(8));
}

// The link between one instance and a runner breaks, while all others reach the runner. The
// instance asks another observer, which reaches it: no instance may stop using the runner.
#[gtest]
fn a_broken_link_of_one_instance_closes_no_runner() {
    let mut fleet = fleet_of(6, 1, 8);
    let row = fleet.instances[0].upstreams.dump(0).rows[5].clone();
    let observer = (0..6).find(|i| *fleet::name(*i) == *row.observers[0]);
    fleet.runners[5].hidden_from = vec![observer.unwrap()];
    fleet.rounds(30);
    expect_that!(fleet.seeing(5, Availability::Open), eq(6));
}

// The same with a plain service, which accepts connections and reports no load. The instance's
// peers reach it whenever they are asked, so it must stay open for all. Guards against a fault in
// which enough failures of one instance closed the service for the whole fleet, and calls were
// refused for lack of capacity.
#[gtest]
fn a_broken_link_of_one_instance_closes_no_plain_service() {
    let mut fleet = fleet_of(6, 1, 8);
    fleet.runners.iter_mut().for_each(|r| r.plain = true);
    (0..6).for_each(|i| fleet.read_list(i));
    fleet.rounds(8);
    expect_that!(fleet.seeing(5, Availability::Open), eq(6));
    let row = fleet.instances[0].upstreams.dump(0).rows[5].clone();
    let observer = (0..6).find(|i| *fleet::name(*i) == *row.observers[0]);
    fleet.runners[5].hidden_from = vec![observer.unwrap()];
    for _ in 0..30 {
        fleet.round();
        expect_that!(fleet.seeing(5, Availability::Suspected), eq(0));
    }
    fleet.runners[5].run = ProcessState::Dead;
    let rounds = rounds_until(&mut fleet, 20, |f| {
        f.seeing(5, Availability::Suspected) == 6
    });
    expect_that!(rounds, le(8));
}

// One instance is partitioned from its peers and from all runners for 30 rounds. It suspects every
// runner that it observes, as no peer can be asked. After the partition heals, its suspicions
// spread by gossip; if they took effect, other instances would refuse callers for lack of
// capacity, although the runners reported to them throughout.
#[gtest]
fn a_healed_partition_closes_no_runner_for_other_instances() {
    let mut fleet = fleet_of(6, 1, 8);
    fleet.isolated = Some(2);
    fleet.rounds(30);
    let closed = |f: &Fleet| {
        (0..8)
            .map(|r| f.seeing(r, Availability::Suspected))
            .sum::<usize>()
    };
    expect_that!(closed(&fleet), ge(1));
    fleet.isolated = None;
    for _ in 0..12 {
        fleet.round();
        expect_that!(closed(&fleet), le(8), "only the instance itself");
        for r in 0..8 {
            expect_that!(fleet.seeing(r, Availability::Open), ge(5));
        }
    }
    expect_that!(closed(&fleet), eq(0));
}

// An instance is suspended while a runner announces that it is leaving, and resumed later. Until it
// receives news of a runner it must not send new work to it, as any of them may have left.
#[gtest]
fn a_resumed_instance_uses_no_runner_without_news_of_it() {
    let mut fleet = fleet_of(6, 1, 8);
    fleet.instances[1].run = ProcessState::Frozen;
    fleet.runners[3].leaving = true;
    fleet.rounds(20);
    let now = fleet.now;
    let node = &mut fleet.instances[1];
    node.run = ProcessState::Up;
    node.upstreams.to_poll(now);
    for upstream in node.upstreams.all() {
        expect_that!(
            node.upstreams.availability(upstream),
            not(eq(Availability::Open))
        );
    }
    fleet.rounds(6);
    expect_that!(fleet.seeing(3, Availability::Leaving), eq(6));
    expect_that!(fleet.seeing(4, Availability::Open), eq(6));
}

#[gtest]
fn an_unlisted_runner_that_answers_stays_open() {
    let mut fleet = fleet_of(1, 1, 2);
    let now = fleet.now;
    for _ in 0..3 {
        fleet.instances[0].upstreams.listed(now, &[]);
    }
    expect_that!(fleet.seeing(0, Availability::Open), eq(1));
    fleet.runners[0].run = ProcessState::Dead;
    fleet.round();
    expect_that!(fleet.seeing(0, Availability::Unlisted), eq(1));
}
