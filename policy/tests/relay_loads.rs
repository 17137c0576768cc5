//! Gossip of loads within and between failure domains, and the totals that each instance computes.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::flow_meter::ServiceFlow;
use jacinthweir_policy::relay::loads::{
    DomainLoad, HeadUse, Load, LoadDigest, LoadTable, LoadUpdate, MAX_DOMAINS, MAX_MEMBERS,
    MemberLoad, ServiceCounts,
};
use jacinthweir_policy::relay::shared_retry_budget::RetryCounts;

const SERVICE: &str = "pool";
const DOMAINS: usize = 5;

/// Number of first runners at which an instance has requests.
const HEADS: u32 = 6;

fn name(domain: usize, i: usize) -> Name {
    format!("front-{domain}-{i:02}").into()
}

fn domain(domain: usize) -> Name {
    format!("domain-{domain}").into()
}

fn head(i: u32) -> Name {
    format!("i-{i:08x}").into()
}

/// Returns a load of `tokens` tokens at each of [`HEADS`] first runners.
fn load(written_ms: u64, tokens: u32) -> Load {
    let used = (0..HEADS).map(|i| HeadUse {
        service: SERVICE.into(),
        head: head(i),
        tokens,
    });
    let counts = RetryCounts {
        requests: 10,
        repeats: 1,
        ..RetryCounts::default()
    };
    Load {
        written_ms,
        hears_store: true,
        serves: true,
        used: used.collect(),
        spent: vec![ServiceCounts {
            service: SERVICE.into(),
            counts,
        }],
        ..Load::default()
    }
}

/// Returns `count` instances of one domain that have exchanged their loads.
fn exchanged(d: usize, count: usize, now: Millis) -> Vec<LoadTable> {
    let new = |i| {
        let mut loads = LoadTable::new(name(d, i), domain(d));
        loads.set_own(load(now, 100), now);
        loads
    };
    let mut all: Vec<LoadTable> = (0..count).map(new).collect();
    for i in 0..count {
        for j in 0..count {
            let update = all[i].push_update(true, count - 1, now);
            all[j].apply(&domain(d), update, now);
        }
    }
    all
}

fn bytes(update: &LoadUpdate) -> usize {
    rmp_serde::to_vec(update).expect("a message").len()
}

/// Sends what `receiver` lacks from `sender` of domain `d`, and applies it.
fn exchange(
    receiver: &mut LoadTable,
    sender: &LoadTable,
    d: usize,
    neighbours: usize,
    now: Millis,
) -> LoadUpdate {
    let update = sender.update_for(&receiver.digest(false, now), false, neighbours, now);
    receiver.apply(&domain(d), update.clone(), now);
    update
}

/// Without sums, the traffic between domains would grow with the square of the fleet.
#[gtest]
fn sums_take_a_tenth_of_the_bytes_of_all_loads() {
    let count = 60;
    let domains: Vec<Vec<LoadTable>> = (0..DOMAINS).map(|d| exchanged(d, count, 1_000)).collect();
    let mut sender = domains[1][0].clone();
    for (d, instances) in domains.iter().enumerate().skip(2) {
        exchange(&mut sender, &instances[0], d, count - 1, 1_000);
    }
    let mut receiver = domains[0][0].clone();
    let update = exchange(&mut receiver, &sender, 1, count - 1, 1_000);
    expect_that!(update.members.len(), eq(0));
    expect_that!(update.domains.len(), eq(DOMAINS - 1));
    let one = LoadUpdate {
        members: domains[0][1].push_update(true, count - 1, 1_000).members,
        domains: Vec::new(),
    };
    expect_that!(bytes(&update) * 10, le(bytes(&one) * DOMAINS * count));
}

/// If a neighbour were also counted in a sum, half-empty chains would look full.
#[gtest]
fn each_load_counts_once() {
    let (count, now) = (4, 1_000);
    let domains: Vec<Vec<LoadTable>> = (0..DOMAINS).map(|d| exchanged(d, count, now)).collect();
    let mut loads = domains[0][0].clone();
    for (d, instances) in domains.iter().enumerate() {
        exchange(&mut loads, &instances[1], d, count - 1, now);
        exchange(&mut loads, &instances[2], d, count - 1, now);
    }
    let others = (DOMAINS * count - 1) as u32;
    expect_that!(
        loads.used_tokens(SERVICE, &head(0)),
        approx_eq(f64::from(100 * others))
    );
    expect_that!(loads.retry_counts(SERVICE, now).requests, eq(10 * others));
    expect_that!(loads.retry_counts(SERVICE, now).repeats, eq(others));
    expect_that!(loads.used_tokens(SERVICE, "elsewhere"), approx_eq(0.0));
}

/// A sum that was relayed slowly must not replace a younger one.
#[gtest]
fn the_younger_sum_counts_in_any_order_of_arrival() {
    let old = exchanged(1, 4, 1_000);
    let mut between = LoadTable::new(name(2, 0), domain(2));
    exchange(&mut between, &old[0], 1, 3, 1_000);
    let mut young = old.clone();
    for i in 0..4 {
        young[i].set_own(load(2_400, 300), 2_400);
        let update = young[i].push_update(true, 3, 2_400);
        for other in &mut young {
            other.apply(&domain(1), update.clone(), 2_400);
        }
    }
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    exchange(&mut loads, &young[0], 1, 3, 2_400);
    exchange(&mut loads, &between, 2, 0, 2_500);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(1_200.0));
    let again = between.update_for(&loads.digest(false, 2_500), false, 0, 2_500);
    expect_that!(
        again
            .domains
            .iter()
            .filter(|s| *s.domain == *domain(1))
            .count(),
        eq(0)
    );
    // Without updates the sum expires.
    loads.expire(2_400 + 6_100);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(0.0));
}

/// A sum by an instance that has just started would make full chains look empty to other domains.
#[gtest]
fn an_instance_with_few_loads_of_its_domain_sends_no_sum() {
    let mut started = LoadTable::new(name(0, 0), domain(0));
    started.set_own(load(1_000, 100), 1_000);
    expect_that!(started.push_update(false, 59, 1_000).domains.len(), eq(0));
    let whole = exchanged(0, 60, 1_000);
    expect_that!(whole[0].push_update(false, 59, 1_000).domains.len(), eq(1));
    // Loads that were received long ago do not count.
    expect_that!(whole[0].push_update(false, 59, 4_100).domains.len(), eq(0));
}

/// A neighbour must not be sent loads that it already has.
#[gtest]
fn a_neighbour_is_sent_only_what_it_lacks() {
    let mut all = exchanged(0, 60, 1_000);
    all[7].set_own(load(1_200, 500), 1_200);
    let update = all[7].push_update(true, 59, 1_200);
    all[1].apply(&domain(0), update, 1_200);
    let update = all[1].update_for(&all[2].digest(true, 1_300), true, 59, 1_300);
    let update: Vec<&str> = update.members.iter().map(|m| &*m.name).collect();
    expect_that!(
        update,
        unordered_elements_are![eq(&"front-0-01"), eq(&"front-0-07")]
    );
    // An empty digest gets all loads.
    let update = all[1].update_for(&LoadDigest::default(), true, 59, 1_300);
    expect_that!(update.members.len(), eq(60));
}

/// An idle instance has to refresh its load before it expires, but not at each round.
#[gtest]
fn an_unchanged_load_is_refreshed_before_it_expires() {
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    let written = |l: &LoadTable, now| l.push_update(true, 0, now).members[0].load.written_ms;
    loads.set_own(load(1_000, 100), 1_000);
    loads.set_own(load(1_300, 100), 1_300);
    expect_that!(written(&loads, 1_300), eq(1_000));
    loads.set_own(load(2_000, 100), 2_000);
    expect_that!(written(&loads, 2_000), eq(2_000));
    loads.set_own(load(2_100, 101), 2_100);
    expect_that!(written(&loads, 2_100), eq(2_100));
}

/// Loads of an instance that restarts with its clock set back must not be ignored for good.
#[gtest]
fn an_instance_whose_clock_was_set_back_is_received_again() {
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    let mut other = LoadTable::new(name(0, 1), domain(0));
    other.set_own(load(4_000_000, 100), 1_000);
    loads.apply(&domain(0), other.push_update(true, 1, 1_000), 1_000);
    let mut back = LoadTable::new(name(0, 1), domain(0));
    back.set_own(load(400_000, 700), 1_500);
    loads.apply(&domain(0), back.push_update(true, 1, 1_500), 1_500);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(100.0));
    loads.apply(&domain(0), back.push_update(true, 1, 4_100), 4_100);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(700.0));
}

/// Without these flags, callers would be referred to instances of other domains that refuse them.
#[gtest]
fn refusing_instances_and_those_without_store_are_known_in_other_domains() {
    let now = 1_000;
    let mut all = exchanged(1, 6, now);
    let mut refusing = load(1_100, 0);
    refusing.hears_store = false;
    refusing.serves = false;
    all[4].set_own(refusing, 1_100);
    let update = all[4].push_update(true, 5, 1_100);
    all[0].apply(&domain(1), update, 1_100);
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    expect_false!(loads.hears_store(&name(1, 0), &domain(1), 1_100));
    exchange(&mut loads, &all[0], 1, 5, 1_100);
    expect_true!(loads.hears_store(&name(1, 0), &domain(1), 1_100));
    expect_false!(loads.hears_store(&name(1, 4), &domain(1), 1_100));
    expect_true!(loads.refuses(&name(1, 4), &domain(1), 1_100));
    expect_false!(loads.refuses(&name(1, 0), &domain(1), 1_100));
    // Neighbours know it from the single loads.
    expect_true!(all[0].refuses(&name(1, 4), &domain(1), 1_100));
    expect_true!(all[0].hears_store(&name(1, 1), &domain(1), 1_100));
}

/// Single loads of another domain would be counted in addition to its sum.
#[gtest]
fn single_loads_of_another_domain_are_ignored() {
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    let other = &exchanged(1, 2, 1_000)[0];
    loads.apply(&domain(1), other.push_update(true, 1, 1_000), 1_000);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(0.0));
}

/// Totals that are kept with each change must not drift from what the instances last reported.
#[gtest]
fn totals_follow_changed_and_expired_loads() {
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    let tell = |loads: &mut LoadTable, i: usize, tokens: u32, now: Millis| {
        let mut other = LoadTable::new(name(0, i), domain(0));
        other.set_own(load(now, tokens), now);
        loads.apply(&domain(0), other.push_update(true, 2, now), now);
    };
    tell(&mut loads, 1, 100, 1_000);
    tell(&mut loads, 2, 50, 1_000);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(150.0));
    tell(&mut loads, 1, 30, 2_500);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(80.0));
    expect_that!(loads.retry_counts(SERVICE, 2_500).requests, eq(20));
    loads.expire(4_100);
    expect_that!(loads.used_tokens(SERVICE, &head(0)), approx_eq(30.0));
    expect_that!(loads.retry_counts(SERVICE, 4_100).requests, eq(10));
}

/// The control of flow has to act more slowly the older its figures are. If the age of a load began anew at
/// each instance that relays it, figures of a second would count as half as old.
#[gtest]
fn a_relayed_load_keeps_its_age() {
    let count = 3;
    let mut all = exchanged(0, count, 1_000);
    all[0].set_own(load(1_000, 200), 1_000);
    let update = all[0].push_update(true, count - 1, 1_000);
    all[1].apply(&domain(0), update, 1_000);
    let mut receiver = LoadTable::new(name(0, 9), domain(0));
    let update = all[1].update_for(&receiver.digest(true, 1_800), true, count - 1, 1_800);
    let known: LoadUpdate = rmp_serde::from_slice(&rmp_serde::to_vec(&update).expect("a message"))
        .expect("the same message");
    receiver.apply(&domain(0), known, 1_800);
    // Two loads are 800 ms old and that of the sender is new.
    let flow = receiver.fleet_flow(ServiceFlow::default(), count, 2_000);
    expect_that!(flow.age_ms, eq((2 * 1_000 + 200) / 3));
    let used = receiver.used_tokens(SERVICE, &head(0));
    expect_that!(used, gt(0.0));
    // It counts for as long after it was received as a load that was not relayed.
    receiver.expire(4_700);
    expect_that!(receiver.used_tokens(SERVICE, &head(0)), approx_eq(used));
    receiver.expire(4_900);
    expect_that!(receiver.used_tokens(SERVICE, &head(0)), approx_eq(0.0));
}

/// Guards against memory that grows with the instances and failure domains that other instances name.
#[gtest]
fn loads_of_more_instances_and_domains_than_a_fleet_has_are_dropped() {
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    loads.set_own(load(1, 100), 1);
    let sum = loads.push_update(false, 0, 1).domains.remove(0);
    let members = (0..2 * MAX_MEMBERS).map(|i| MemberLoad {
        name: name(1, i),
        load: load(1, 100),
        age_ms: 0,
    });
    let domains = (1..2 * MAX_DOMAINS).map(|d| DomainLoad {
        domain: domain(d),
        ..sum.clone()
    });
    let update = LoadUpdate {
        members: members.collect(),
        domains: domains.collect(),
    };
    loads.apply(&domain(0), update, 1);
    let digest = loads.digest(true, 1);
    expect_that!(digest.members.len(), eq(MAX_MEMBERS + 1));
    expect_that!(digest.domains.len(), eq(MAX_DOMAINS));
}

/// Guards against counts of services that were renamed long ago.
#[gtest]
fn counts_of_a_service_go_with_the_last_load_that_has_them() {
    let mut loads = LoadTable::new(name(0, 0), domain(0));
    let mut member = load(1, 100);
    member.spent[0].service = "renamed".into();
    let told = |load: Load| LoadUpdate {
        members: vec![MemberLoad {
            name: name(0, 1),
            load,
            age_ms: 0,
        }],
        ..LoadUpdate::default()
    };
    loads.apply(&domain(0), told(member), 1);
    loads.apply(&domain(0), told(load(2, 100)), 2);
    expect_that!(loads.retry_counts(SERVICE, 2).requests, eq(10));
    expect_false!(format!("{loads:?}").contains("renamed"));
}
