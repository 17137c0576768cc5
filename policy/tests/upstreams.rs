//! Observation of upstreams by a fleet: who polls, who hears, what is open for new work.

#[path = "support/fleet.rs"]
#[allow(
    dead_code,
    reason = "each test target and the measurement use a part of it"
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
fn three_instances_poll_each_runner_and_all_know_it() {
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

// A runner is told to leave and says so in its own report only; the platform's list lags and
// calls it live throughout. Callers' new work must not reach it after a few seconds: its
// observers hear it with their next poll, and the others in the exchanges.
#[gtest]
fn leaving_never_turns_back() {
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

// A runner dies without a word. Its observers' polls fail, each asks another observer, and all
// instances stop sending to it. It starts again with a higher incarnation and is used again.
#[gtest]
fn a_dead_runner_is_suspected_and_comes_back() {
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

// The link between one instance and a runner breaks, and the runner serves all others. That
// instance asks another observer, which reaches it: nobody may stop using the runner for it.
#[gtest]
fn a_broken_link_of_one_instance_closes_nothing() {
    let mut fleet = fleet_of(6, 1, 8);
    let row = fleet.instances[0].upstreams.dump(0).rows[5].clone();
    let observer = (0..6).find(|i| *fleet::name(*i) == *row.observers[0]);
    fleet.runners[5].hidden_from = vec![observer.unwrap()];
    fleet.rounds(30);
    expect_that!(fleet.seeing(5, Availability::Open), eq(6));
}

// The same with a plain service, which takes connections and reports no load. The instance's peers
// reach it each time that they are asked, and it must not be closed for anybody: before, enough misses
// of the one instance closed it for all, and its callers were refused for want of capacity.
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

// One instance is cut off from its peers and from all runners for 30 rounds; it suspects every
// runner that it observes, as nobody can be asked. When it is back, its suspicions spread with the
// exchanges: callers of the other instances would be refused for want of capacity, although the
// runners reported to them all the time.
#[gtest]
fn an_instance_that_was_cut_off_closes_nothing_for_others() {
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

// An instance is frozen while a runner says that it leaves, and woken later. Before it has heard
// of the runners again it must not send new work to any: it can't tell which of them left.
#[gtest]
fn a_woken_instance_uses_no_runner_before_it_heard_of_it() {
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
