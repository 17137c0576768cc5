//! What goes round of the loads of a fleet, and what each instance makes of it.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::loads::{HeadUse, Known, Load, Loads, ServiceCounts, Told};
use jacinthweir_policy::relay::spending::Counts;

const SERVICE: &str = "pool";
const DOMAINS: usize = 5;

/// First runners that a busy instance has requests at.
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

/// A load of `tokens` tokens at each of [`HEADS`] first runners.
fn load(written_ms: u64, tokens: u32) -> Load {
    let used = (0..HEADS).map(|i| HeadUse {
        service: SERVICE.into(),
        head: head(i),
        tokens,
    });
    let counts = Counts {
        requests: 10,
        repeats: 1,
        ..Counts::default()
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
    }
}

/// Instances of one domain that have exchanged with each other.
fn settled(d: usize, count: usize, now: Millis) -> Vec<Loads> {
    let new = |i| {
        let mut loads = Loads::new(name(d, i), domain(d));
        loads.set_own(load(now, 100), now);
        loads
    };
    let mut all: Vec<Loads> = (0..count).map(new).collect();
    for i in 0..count {
        for j in 0..count {
            let told = all[i].unasked(true, count - 1, now);
            all[j].take(&domain(d), told, now);
        }
    }
    all
}

fn bytes(told: &Told) -> usize {
    rmp_serde::to_vec(told).expect("a message").len()
}

/// Asked by `asker`, `teller` of domain `d` tells what it lacks.
fn exchange(asker: &mut Loads, teller: &Loads, d: usize, neighbours: usize, now: Millis) -> Told {
    let told = teller.lacking(&asker.known(false, now), false, neighbours, now);
    asker.take(&domain(d), told.clone(), now);
    told
}

/// What goes between domains grows with the square of the fleet.
#[gtest]
fn a_tenth_of_the_bytes_of_all_loads_goes_between_domains() {
    let count = 60;
    let domains: Vec<Vec<Loads>> = (0..DOMAINS).map(|d| settled(d, count, 1_000)).collect();
    let mut teller = domains[1][0].clone();
    for (d, instances) in domains.iter().enumerate().skip(2) {
        exchange(&mut teller, &instances[0], d, count - 1, 1_000);
    }
    let mut asker = domains[0][0].clone();
    let told = exchange(&mut asker, &teller, 1, count - 1, 1_000);
    expect_that!(told.members.len(), eq(0));
    expect_that!(told.domains.len(), eq(DOMAINS - 1));
    let one = Told {
        members: domains[0][1].unasked(true, count - 1, 1_000).members,
        domains: Vec::new(),
    };
    expect_that!(bytes(&told) * 10, le(bytes(&one) * DOMAINS * count));
}

/// A neighbour that is counted in a sum as well makes half empty chains look full.
#[gtest]
fn each_load_counts_once() {
    let (count, now) = (4, 1_000);
    let domains: Vec<Vec<Loads>> = (0..DOMAINS).map(|d| settled(d, count, now)).collect();
    let mut loads = domains[0][0].clone();
    for (d, instances) in domains.iter().enumerate() {
        exchange(&mut loads, &instances[1], d, count - 1, now);
        exchange(&mut loads, &instances[2], d, count - 1, now);
    }
    let others = (DOMAINS * count - 1) as u32;
    expect_that!(
        loads.used(SERVICE, &head(0)),
        approx_eq(f64::from(100 * others))
    );
    expect_that!(loads.spent(SERVICE).requests, eq(10 * others));
    expect_that!(loads.spent(SERVICE).repeats, eq(others));
    expect_that!(loads.used(SERVICE, "elsewhere"), approx_eq(0.0));
}

/// A sum that came on a long way takes the place of a younger one.
#[gtest]
fn the_younger_sum_counts_whichever_comes_last() {
    let old = settled(1, 4, 1_000);
    let mut between = Loads::new(name(2, 0), domain(2));
    exchange(&mut between, &old[0], 1, 3, 1_000);
    let mut young = old.clone();
    for i in 0..4 {
        young[i].set_own(load(2_400, 300), 2_400);
        let told = young[i].unasked(true, 3, 2_400);
        for other in &mut young {
            other.take(&domain(1), told.clone(), 2_400);
        }
    }
    let mut loads = Loads::new(name(0, 0), domain(0));
    exchange(&mut loads, &young[0], 1, 3, 2_400);
    exchange(&mut loads, &between, 2, 0, 2_500);
    expect_that!(loads.used(SERVICE, &head(0)), approx_eq(1_200.0));
    let again = between.lacking(&loads.known(false, 2_500), false, 0, 2_500);
    expect_that!(
        again
            .domains
            .iter()
            .filter(|s| *s.domain == *domain(1))
            .count(),
        eq(0)
    );
    // Without anything new the sum grows old and counts no more.
    loads.count(2_400 + 6_100);
    expect_that!(loads.used(SERVICE, &head(0)), approx_eq(0.0));
}

/// The sum of an instance that has just started makes full chains look empty to other domains.
#[gtest]
fn who_has_heard_few_of_its_domain_makes_no_sum() {
    let mut started = Loads::new(name(0, 0), domain(0));
    started.set_own(load(1_000, 100), 1_000);
    expect_that!(started.unasked(false, 59, 1_000).domains.len(), eq(0));
    let whole = settled(0, 60, 1_000);
    expect_that!(whole[0].unasked(false, 59, 1_000).domains.len(), eq(1));
    // Those that it heard long ago are no better.
    expect_that!(whole[0].unasked(false, 59, 4_100).domains.len(), eq(0));
}

/// Loads that a neighbour has go to it again.
#[gtest]
fn a_neighbour_is_told_what_it_lacks() {
    let mut all = settled(0, 60, 1_000);
    all[7].set_own(load(1_200, 500), 1_200);
    let told = all[7].unasked(true, 59, 1_200);
    all[1].take(&domain(0), told, 1_200);
    let told = all[1].lacking(&all[2].known(true, 1_300), true, 59, 1_300);
    let told: Vec<&str> = told.members.iter().map(|m| &*m.name).collect();
    expect_that!(
        told,
        unordered_elements_are![eq(&"front-0-01"), eq(&"front-0-07")]
    );
    // Who knows nothing is told all.
    let told = all[1].lacking(&Known::default(), true, 59, 1_300);
    expect_that!(told.members.len(), eq(60));
}

/// An idle instance is taken for gone, or sends the same load again.
#[gtest]
fn an_unchanged_load_is_written_anew_before_it_is_too_old() {
    let mut loads = Loads::new(name(0, 0), domain(0));
    let written = |l: &Loads, now| l.unasked(true, 0, now).members[0].load.written_ms;
    loads.set_own(load(1_000, 100), 1_000);
    loads.set_own(load(1_300, 100), 1_300);
    expect_that!(written(&loads, 1_300), eq(1_000));
    loads.set_own(load(2_000, 100), 2_000);
    expect_that!(written(&loads, 2_000), eq(2_000));
    loads.set_own(load(2_100, 101), 2_100);
    expect_that!(written(&loads, 2_100), eq(2_100));
}

/// An instance that starts anew with its time of day set back is never heard again.
#[gtest]
fn one_whose_clock_was_set_back_is_heard_again() {
    let mut loads = Loads::new(name(0, 0), domain(0));
    let mut other = Loads::new(name(0, 1), domain(0));
    other.set_own(load(4_000_000, 100), 1_000);
    loads.take(&domain(0), other.unasked(true, 1, 1_000), 1_000);
    let mut back = Loads::new(name(0, 1), domain(0));
    back.set_own(load(400_000, 700), 1_500);
    loads.take(&domain(0), back.unasked(true, 1, 1_500), 1_500);
    expect_that!(loads.used(SERVICE, &head(0)), approx_eq(100.0));
    loads.take(&domain(0), back.unasked(true, 1, 4_100), 4_100);
    expect_that!(loads.used(SERVICE, &head(0)), approx_eq(700.0));
}

/// Callers are sent to instances of another domain that the store turns away.
#[gtest]
fn who_refuses_and_who_has_no_store_is_known_in_other_domains() {
    let now = 1_000;
    let mut all = settled(1, 6, now);
    let mut turned_away = load(1_100, 0);
    turned_away.hears_store = false;
    turned_away.serves = false;
    all[4].set_own(turned_away, 1_100);
    let told = all[4].unasked(true, 5, 1_100);
    all[0].take(&domain(1), told, 1_100);
    let mut loads = Loads::new(name(0, 0), domain(0));
    expect_false!(loads.hears_store(&name(1, 0), &domain(1), 1_100));
    exchange(&mut loads, &all[0], 1, 5, 1_100);
    expect_true!(loads.hears_store(&name(1, 0), &domain(1), 1_100));
    expect_false!(loads.hears_store(&name(1, 4), &domain(1), 1_100));
    expect_true!(loads.refuses(&name(1, 4), &domain(1), 1_100));
    expect_false!(loads.refuses(&name(1, 0), &domain(1), 1_100));
    // Its neighbours know it by itself.
    expect_true!(all[0].refuses(&name(1, 4), &domain(1), 1_100));
    expect_true!(all[0].hears_store(&name(1, 1), &domain(1), 1_100));
}

/// Loads of another domain are counted beside its sum.
#[gtest]
fn loads_of_another_domain_are_not_taken_one_by_one() {
    let mut loads = Loads::new(name(0, 0), domain(0));
    let other = &settled(1, 2, 1_000)[0];
    loads.take(&domain(1), other.unasked(true, 1, 1_000), 1_000);
    expect_that!(loads.used(SERVICE, &head(0)), approx_eq(0.0));
}
