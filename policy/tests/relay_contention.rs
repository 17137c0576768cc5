//! Simulations of contention: a fleet that lacks room admits by priority and organisation, and fills its
//! chains evenly although figures of other instances are late.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::flow_meter::ServiceFlow;
use jacinthweir_policy::relay::contention::{
    ChainLoad, ContentionConfig, Decision, FleetFlow, ServiceControl,
};

#[path = "support/contention.rs"]
mod support;
use support::{CHAINS, Callers, DOMAINS, Fleet, domain_of, supply};

/// Instances of most simulations, and of the largest deployment.
const INSTANCES: usize = 24;
const MANY_INSTANCES: usize = 91;

/// Time until a fleet that starts without load is in a steady state, time for which bursts last, and time
/// after which requests are in time again, in milliseconds.
const SETTLE_MS: Millis = 6_000;
const BURST_MS: Millis = 5_000;
const RECOVERY_MS: Millis = 2_000;

/// Tolerance for noise in arrivals where a share is compared with the one that the supply gives.
const NOISE: f64 = 0.05;

/// Returns callers of all instances who ask for `part` of the supply, and `times` as much in a burst.
fn callers(priority: u32, organisation: &str, part: f64, times: f64) -> Callers {
    let burst = SETTLE_MS..SETTLE_MS + BURST_MS;
    let times = move |now: Millis| if burst.contains(&now) { times } else { 1.0 };
    Callers {
        priority,
        organisation: organisation.into(),
        at: 0..INSTANCES,
        rate: Box::new(move |now| supply(0..DOMAINS) * part * times(now)),
    }
}

/// Returns callers in domain `d` who ask for `part` of the supply.
fn callers_in(d: usize, part: f64) -> Callers {
    let at = d * INSTANCES / DOMAINS..(d + 1) * INSTANCES / DOMAINS;
    Callers {
        at,
        ..callers(1, "sole", part, 1.0)
    }
}

fn fleet(callers: Vec<Callers>) -> Fleet {
    Fleet::new(7, INSTANCES, callers)
}

/// Returns a fleet of `instances` with a steady demand of `part` of the supply in three priorities.
fn steady(instances: usize, part: f64) -> Fleet {
    let of_priority = |p| Callers {
        at: 0..instances,
        ..callers(p, "sole", part / 3.0, 1.0)
    };
    Fleet::new(7, instances, (0..3).map(of_priority).collect())
}

/// Expects that the chains of `domains` were neither overfull nor left empty in the last run.
fn expect_even_fill(fleet: &Fleet, domains: std::ops::Range<usize>) {
    for chain in (0..CHAINS).filter(|c| domains.contains(&domain_of(*c))) {
        let fill = fleet.counts.fill[chain];
        expect_that!(fill, some((ge(0.6), le(1.15))), "chain {chain}");
    }
}

/// Guards against a burst of the least urgent streams that takes the room of the most urgent ones, and
/// against refusing all of the burst.
#[gtest]
fn a_burst_of_the_least_urgent_leaves_room_to_the_most_urgent() {
    let mut fleet = fleet(vec![callers(0, "a", 0.5, 1.0), callers(2, "b", 0.4, 2.3)]);
    fleet.run(SETTLE_MS);
    fleet.run(BURST_MS);
    let (most, least) = (fleet.counts.share(0..1), fleet.counts.share(1..2));
    expect_that!(most, ge(least + 0.15));
    expect_that!(least, ge(fleet.counts.all() / 2.0));
}

/// Lets one of 24 organisations send ten times its share from the first `sources` instances.
fn one_sends_ten_times_its_share(sources: usize) {
    let (asked, part) = (0.9, 0.9 / 24.0);
    let times = |i| if i == 0 { 10.0 } else { 1.0 };
    let of = |i| callers(1, &format!("org-{i:02}"), part, times(i));
    let mut all: Vec<Callers> = (0..24).map(of).collect();
    all[0].at = 0..sources;
    let mut fleet = fleet(all);
    fleet.run(SETTLE_MS + RECOVERY_MS);
    fleet.run(BURST_MS - RECOVERY_MS);
    let together = fleet.counts.all();
    // The large one gets half of the share of all, and the others what is left.
    let large = 10.0 * part;
    let left = 1.0 - 0.5 / (asked - part + large) * large;
    let expected = (left / (asked - part)).min(1.0);
    expect_that!(fleet.counts.share(1..24), ge(expected - NOISE));
    for i in 0..24 {
        let share = fleet.counts.share(i..i + 1);
        expect_that!(share, ge(together / 2.0 - NOISE), "organisation {i}");
    }
}

/// Guards against an organisation that takes the room of the others by its number of requests.
#[gtest]
fn ten_times_the_share_of_an_organisation_at_all_instances_takes_no_room_of_others() {
    one_sends_ten_times_its_share(INSTANCES);
}

/// Guards against shares that follow the demand at a single instance.
#[gtest]
fn ten_times_the_share_of_an_organisation_at_one_instance_takes_no_room_of_others() {
    one_sends_ten_times_its_share(1);
}

/// Guards against room that stays empty while one organisation asks for it, or while many do that are too
/// small for the exchanged lists.
#[gtest]
fn one_organisation_or_many_small_ones_use_all_room() {
    for count in [1, 200] {
        let of = |i| callers(1, &format!("org-{i:03}"), 1.5 / f64::from(count), 1.0);
        let mut fleet = fleet((0..count).map(of).collect());
        fleet.run(SETTLE_MS);
        fleet.run(SETTLE_MS);
        let share = fleet.counts.all();
        expect_that!(share, ge((1.0 - NOISE) / 1.5), "{count} organisations");
    }
}

/// Guards against callers that return together, or while there is no room yet.
#[gtest]
fn refused_callers_return_spread_and_few_are_refused_again() {
    let mut fleet = fleet(vec![callers(0, "a", 0.4, 1.0), callers(2, "b", 0.35, 2.3)]);
    fleet.callers_return = true;
    fleet.run(SETTLE_MS);
    fleet.run(BURST_MS + 8_000);
    expect_that!(fleet.counts.delays, each(all!(ge(&1_500), le(&6_000))));
    fleet.counts.delays.sort_unstable();
    let (delays, quarter) = (&fleet.counts.delays, fleet.counts.delays.len() / 4);
    for (i, delay) in delays.iter().enumerate().skip(quarter) {
        // A delay that depends on nothing but the load would be the same for most.
        expect_that!(delay - delays[i - quarter], ge(100));
    }
    expect_that!(fleet.counts.refused_twice * 10, le(fleet.counts.returned));
}

/// Guards against shares that stay low, and chains that stay overfull, when a burst is over.
#[gtest]
fn two_seconds_after_a_burst_nothing_is_refused() {
    let mut fleet = fleet(vec![callers(0, "a", 0.4, 1.0), callers(2, "b", 0.4, 2.3)]);
    fleet.run(SETTLE_MS + BURST_MS + RECOVERY_MS);
    fleet.run(SETTLE_MS);
    expect_that!(fleet.counts.all(), eq(1.0));
    let target = ContentionConfig::default().target_fill;
    let most = fleet.counts.fill.map(|fill| fill.map(|(_, most)| most));
    expect_that!(most, each(some(le(target + 0.1))));
}

/// Guards against a fleet that fills its chains by turns, since all instances send to those that looked
/// empty a second ago. Selection by free room does.
#[gtest]
fn occupancy_does_not_oscillate_under_steady_overload() {
    let run = |controlled: bool| {
        let mut fleet = steady(MANY_INSTANCES, 1.2);
        fleet.controlled = controlled;
        fleet.run(SETTLE_MS);
        fleet.run(12_000);
        fleet
    };
    expect_even_fill(&run(true), 0..DOMAINS);
    let by_room = run(false).counts.fill;
    expect_that!(by_room, contains(some((anything(), gt(1.5)))));
}

/// Guards against callers who are refused since the chains of their own failure domain are lost.
#[gtest]
fn chains_of_the_domain_with_most_demand_are_lost() {
    let parts = [0.6, 0.15, 0.15];
    let mut fleet = fleet((0..DOMAINS).map(|d| callers_in(d, parts[d])).collect());
    fleet.run(SETTLE_MS);
    fleet.lose(0);
    fleet.run(SETTLE_MS);
    fleet.run(SETTLE_MS);
    let all = fleet.counts.all();
    let expected = supply(1..DOMAINS) / supply(0..DOMAINS) / parts.iter().sum::<f64>();
    expect_that!(all, ge(expected - NOISE));
    for domain in 0..DOMAINS {
        let share = fleet.counts.share(domain..domain + 1);
        expect_that!(share, ge(all / 2.0), "domain {domain}");
    }
    expect_even_fill(&fleet, 1..DOMAINS);
}

/// Guards against demand that counts in two failure domains, or in none, while callers move.
#[gtest]
fn callers_who_move_to_another_domain_are_admitted() {
    let moving = |d: usize, sign: f64| {
        let moved = |now: Millis| now.saturating_sub(SETTLE_MS).min(1_000) as f64 / 1e3;
        let mut callers = callers_in(d, 0.25);
        let rate = callers.rate;
        callers.rate = Box::new(move |now| rate(now) * (1.0 + sign * moved(now)));
        callers
    };
    let mut fleet = fleet(vec![moving(0, -1.0), moving(1, 1.0), moving(2, 0.0)]);
    fleet.run(SETTLE_MS);
    fleet.run(RECOVERY_MS);
    expect_that!(fleet.counts.all(), ge(0.95));
    fleet.run(SETTLE_MS);
    expect_that!(fleet.counts.all(), eq(1.0));
}

/// Guards against decisions by figures that are too old or of too few instances.
#[gtest]
fn without_recent_figures_of_most_instances_everything_is_admitted() {
    let decide = |age_ms: Millis, known_share: f64| {
        let chain = ChainLoad {
            head: "head".into(),
            domain: None,
            room_tokens: 1_000.0,
            used_tokens: 2_000.0,
            weights: (1.0, 1.0),
        };
        let flow = ServiceFlow {
            arriving: vec![1_000],
            ..ServiceFlow::default()
        };
        let fleet = FleetFlow {
            own_domain: "domain".into(),
            domains: [("domain".into(), flow)].into(),
            age_ms,
            known_share,
        };
        let (mut control, cfg) = (ServiceControl::default(), ContentionConfig::default());
        control.compute(0, &cfg, vec![chain], &fleet, 300);
        let is_planned = control.weight(&"head".into()).is_some();
        (control.decide(0, None, false, 0.5), is_planned)
    };
    expect_that!(decide(3_000, 0.75), eq((Decision::NoRoomForPriority, true)));
    expect_that!(decide(3_001, 1.0), eq((Decision::Admitted, false)));
    expect_that!(decide(500, 0.74), eq((Decision::Admitted, false)));
}

/// Guards against instances that fill chains by turns since each assumes another room.
#[gtest]
fn instances_that_disagree_by_a_fifth_fill_chains_evenly() {
    let mut fleet = steady(INSTANCES, 1.2);
    fleet.disagreement = 0.2;
    fleet.run(SETTLE_MS);
    fleet.run(12_000);
    expect_even_fill(&fleet, 0..DOMAINS);
}

/// Guards against refusals that follow the noise of arrivals.
#[gtest]
fn noise_below_the_supply_refuses_nothing() {
    let mut fleet = steady(INSTANCES, 0.85);
    fleet.run(30_000);
    expect_that!(fleet.counts.all(), eq(1.0));
}

/// Guards against instances without figures that fill chains beyond the plan of the others.
#[gtest]
fn half_of_the_instances_restart_with_empty_state() {
    let mut fleet = steady(INSTANCES, 1.2);
    fleet.run(SETTLE_MS);
    fleet.restart_half();
    fleet.run(RECOVERY_MS);
    fleet.run(SETTLE_MS);
    expect_that!(fleet.counts.all(), ge((1.0 - NOISE) / 1.2));
    let (most, least) = (fleet.counts.share(0..1), fleet.counts.share(2..3));
    expect_that!(most, ge(least + 0.15));
    fleet.run(SETTLE_MS);
    expect_even_fill(&fleet, 0..DOMAINS);
}

/// Guards against a plan that spreads a small demand over far and slow chains.
#[gtest]
fn below_the_supply_near_and_fast_chains_get_most() {
    let mut fleet = steady(INSTANCES, 0.4);
    fleet.run(SETTLE_MS);
    fleet.run(SETTLE_MS);
    expect_that!(fleet.counts.all(), eq(1.0));
    let taken = fleet.counts.taken;
    expect_that!(fleet.counts.taken_near * 2, gt(taken.iter().sum::<u32>()));
    for c in (1..CHAINS).filter(|c| domain_of(*c) == domain_of(c - 1)) {
        expect_that!(taken[c], le(taken[c - 1]), "chain {c}");
    }
}
