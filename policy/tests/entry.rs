//! Entry answers: selected instances and even distribution of callers.

#[path = "support/fleet.rs"]
#[allow(
    dead_code,
    reason = "each test target and the measurement use a part of it"
)]
mod fleet;

use fleet::{Fleet, ProcessState, address, state};
use googletest::prelude::*;
use jacinthweir_policy::entry::{EntryAnswer, EntryConfig, entry_answer};
use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::region::region_of;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

fn instances(count: usize, regions: usize) -> Vec<MemberState> {
    (0..count).map(|i| state(i, regions, 1)).collect()
}

fn answer(live: &[MemberState], domain: Option<&str>, rng: &mut ChaCha8Rng) -> EntryAnswer {
    entry_answer(live.iter(), domain, &EntryConfig::default(), rng)
}

fn index(live: &[MemberState], answer: &EntryAnswer, place: usize) -> usize {
    let wanted = answer.addresses[place].address;
    live.iter()
        .position(|s| s.callers == wanted)
        .expect("a live instance")
}

/// Returns whether counts are consistent with independent uniform draws: the chi-square statistic
/// is at most five standard deviations above its mean.
fn is_even(counts: &[u32]) -> bool {
    let degrees = (counts.len() - 1) as f64;
    let mean = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
    let square = |c: &u32| (f64::from(*c) - mean).powi(2) / mean;
    let statistic: f64 = counts.iter().map(square).sum();
    statistic < degrees + 5.0 * (2.0 * degrees).sqrt()
}

#[gtest]
fn callers_spread_evenly() {
    for count in [6, 340] {
        let live = instances(count, 1);
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut counts = vec![0; count];
        for _ in 0..count * 100 {
            let answer = answer(&live, None, &mut rng);
            counts[index(&live, &answer, 0)] += 1;
        }
        expect_that!(is_even(&counts), eq(true), "{counts:?}");
    }
}

#[gtest]
fn the_check_rejects_an_uneven_spread() {
    let mut counts = vec![100; 6];
    expect_that!(is_even(&counts), eq(true));
    counts[0] = 160;
    expect_that!(is_even(&counts), eq(false));
}

// When an instance fails, its callers use the second address of their answers. If that were the
// same for all of them, that instance would carry double load and might fail next.
#[gtest]
fn callers_of_a_failed_instance_spread_over_the_others() {
    let live = instances(6, 1);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut counts = vec![0; 6];
    for _ in 0..6_000 {
        let answer = answer(&live, None, &mut rng);
        if index(&live, &answer, 0) == 2 {
            counts[index(&live, &answer, 1)] += 1;
        }
    }
    counts.remove(2);
    expect_that!(is_even(&counts), eq(true), "{counts:?}");
}

/// Returns the peak ratio of load to mean load while callers come and go. A share `local` of them
/// is in one failure domain, and loads are updated only every `lag` callers.
fn peak(count: usize, local: f64, lag: usize) -> f64 {
    let mut live = instances(count, 1);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let callers = count * 60;
    let mut at: Vec<usize> = (0..callers).map(|c| c % count).collect();
    let mut peak: f64 = 0.0;
    for step in 0..callers * 6 {
        if step % lag == 0 {
            for (i, s) in live.iter_mut().enumerate() {
                s.in_flight = at.iter().filter(|a| **a == i).count() as u32;
            }
        }
        let domain = (rng.random::<f64>() < local).then(|| live[0].domain.clone());
        let answer = answer(&live, domain.as_deref(), &mut rng);
        at[step % callers] = index(&live, &answer, 0);
        let counts = (0..count).map(|i| at.iter().filter(|a| **a == i).count());
        if step > callers * 3 && step % lag == 0 {
            peak = peak.max(counts.max().unwrap_or(0) as f64 / 60.0);
        }
    }
    peak
}

// All callers are in one failure domain and prefer its instances, which must not carry the load of
// the whole deployment while the others are idle.
#[gtest]
fn callers_of_one_domain_do_not_overload_it() {
    let one_domain = peak(6, 1.0, 20);
    let mixed = peak(6, 0.33, 20);
    println!("peak load against the mean: one domain {one_domain:.2}, mixed {mixed:.2}");
    expect_that!(one_domain, le(1.6));
    expect_that!(mixed, le(1.6));
}

#[gtest]
fn a_caller_prefers_its_own_failure_domain() {
    let live = instances(6, 1);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut own = 0;
    for _ in 0..1_000 {
        let answer = answer(&live, Some(&live[0].domain), &mut rng);
        own += u32::from(answer.addresses[0].domain == live[0].domain);
    }
    println!("{own} of 1000 in the own domain, 333 by chance");
    expect_that!(own, ge(600));
}

#[gtest]
fn an_answer_spans_failure_domains_and_regions() {
    let live = instances(340, 7);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for i in 0..200 {
        let caller = &live[i % 340].domain;
        let answer = answer(&live, Some(caller), &mut rng);
        let addresses: BTreeSet<_> = answer.addresses.iter().map(|a| a.address).collect();
        expect_that!(addresses.len(), eq(8));
        let near = |d: &str| region_of(d) == region_of(caller);
        let in_region = answer.addresses.iter().filter(|a| near(&a.domain)).count();
        expect_that!(in_region, eq(7));
        expect_that!(near(&answer.addresses[0].domain), eq(true));
        for a in &answer.addresses {
            let same = answer.addresses.iter().filter(|b| b.domain == a.domain);
            expect_that!(same.count(), le(4));
        }
    }
}

#[gtest]
fn only_serving_instances_are_included() {
    let mut fleet = Fleet::new(6, 1, 3, &Default::default());
    fleet.rounds(10);
    fleet.instances[1].membership.set_phase(Phase::Draining);
    fleet.instances[2].membership.set_phase(Phase::Gone);
    fleet.instances[3].run = ProcessState::Dead;
    fleet.rounds(16);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for i in [0, 1, 4, 5] {
        let live = fleet.instances[i].membership.live();
        let answer = entry_answer(live, None, &EntryConfig::default(), &mut rng);
        let mut named: Vec<_> = answer.addresses.iter().map(|a| a.address).collect();
        named.sort();
        expect_that!(named, elements_are![&address(0), &address(4), &address(5)]);
    }
}
