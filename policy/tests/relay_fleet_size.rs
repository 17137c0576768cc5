//! Work of an instance's decisions at two sizes of the fleet.

#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other test targets use the rest")]
mod support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain::{Chain, ChainUpdate, ServiceChains, chains};
use jacinthweir_policy::relay::placement::Planner;
use jacinthweir_policy::relay::runners::Runners;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{SERVICE, apply_moves, engine, held, runner};

/// Accelerator kinds of ten runners of a failure domain.
const KINDS: [&str; 10] = [
    "a100", "v100", "v100", "v100", "v100", "v100", "l4", "l4", "l4", "l4",
];

/// A fleet with `in_domain` runners in each of `domains` failure domains, laid out.
fn laid_out(in_domain: usize, domains: usize) -> Runners {
    let mut runners = Runners::default();
    for i in 0..in_domain * domains {
        let (id, domain) = (format!("runner-{i:05}"), format!("domain-{}", i % domains));
        runners.put(&runner(&id, &domain, KINDS[i / domains % KINDS.len()]));
    }
    let mut planner = Planner::default();
    loop {
        let moves = planner.plan(&runners, SERVICE, &engine(), &BTreeMap::new(), 0);
        if moves.is_empty() {
            return runners;
        }
        apply_moves(&mut runners, &moves);
    }
}

fn up_to_date(runners: &Runners) -> ServiceChains {
    let mut kept = ServiceChains::default();
    kept.update(runners, SERVICE, &engine(), 0);
    kept
}

/// The work of an update of the chains after the first runner turned five times slower.
fn update_after_change(in_domain: usize, domains: usize) -> ChainUpdate {
    let mut runners = laid_out(in_domain, domains);
    let mut kept = up_to_date(&runners);
    let health = runners.health_mut(&"runner-00000".into());
    health.expect("a runner").set_pace(5.0, 1);
    kept.update(&runners, SERVICE, &engine(), 1)
}

// Guards against work for one changed runner that grows with the number of failure domains.
#[gtest]
fn a_change_costs_the_domain_of_the_runner_only() {
    let (few, many) = (update_after_change(60, 3), update_after_change(60, 12));
    expect_that!(few.changed.len(), eq(1));
    expect_that!(many.changed, eq(&few.changed));
    expect_that!(many.runners_examined, eq(few.runners_examined));
    expect_that!(many.search_steps, eq(few.search_steps));
}

// Guards against a search of chains whose work grows faster than the failure domain.
#[gtest]
fn a_search_of_chains_grows_no_faster_than_the_domain() {
    let (small, large) = (update_after_change(100, 2), update_after_change(400, 2));
    expect_that!(large.runners_examined, eq(4 * small.runners_examined));
    expect_that!(large.search_steps, le(4 * small.search_steps));
}

// Guards against plans that are computed ten times a second although nothing changed.
#[gtest]
fn placement_is_planned_on_change_only() {
    for domains in [3, 12] {
        let mut runners = laid_out(40, domains);
        let mut planner = Planner::default();
        let none = BTreeMap::new();
        planner.plan(&runners, SERVICE, &engine(), &none, 0);
        let before = planner.domains_planned();
        planner.plan(&runners, SERVICE, &engine(), &none, 100);
        expect_that!(planner.domains_planned(), eq(before));
        runners.remove(&"runner-00000".into(), 100);
        planner.plan(&runners, SERVICE, &engine(), &none, 200);
        expect_that!(planner.domains_planned(), eq(before + 1));
    }
}

// Guards against a domain that is passed over for good because it was planned before the store's
// entries were complete, or within the time in which a loss is confirmed.
#[gtest]
fn a_domain_planned_too_early_is_planned_again_once_it_is_settled() {
    let mut runners = laid_out(40, 3);
    runners.store_recovered(0);
    let complete_ms = runners.complete_from_ms();
    let mut planner = Planner::default();
    let none = BTreeMap::new();
    planner.plan(&runners, SERVICE, &engine(), &none, 0);
    planner.plan(&runners, SERVICE, &engine(), &none, complete_ms - 1);
    expect_that!(planner.domains_planned(), eq(3));
    planner.plan(&runners, SERVICE, &engine(), &none, complete_ms);
    expect_that!(planner.domains_planned(), eq(6));
}

// Guards against chains kept by domain that differ from those of a search over all runners.
#[gtest]
fn kept_chains_are_those_of_a_search_over_all_runners() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut runners = laid_out(30, 3);
    let mut kept = up_to_date(&runners);
    for now in 1..400 {
        change_at_random(&mut runners, now, &mut rng);
        kept.update(&runners, SERVICE, &engine(), now);
        let kept: Vec<Chain> = kept.chains().cloned().collect();
        expect_that!(kept, eq(&chains(&runners, SERVICE, &engine(), now)));
    }
}

fn change_at_random(runners: &mut Runners, now: Millis, rng: &mut ChaCha8Rng) {
    let i = rng.random_range(0..90);
    let id: Name = format!("runner-{i:05}").into();
    match rng.random_range(0..6) {
        0 => {
            runners.remove(&id, now);
        }
        1 => {
            let domain = format!("domain-{}", rng.random_range(0..4));
            let mut entry = runner(&id, &domain, KINDS[i / 3 % KINDS.len()]);
            let from = rng.random_range(0..60);
            entry.layers = held((from, from + rng.random_range(1..20)));
            runners.put(&entry);
        }
        2 => {
            runners.mark_draining(&id, 0);
        }
        change => {
            let Some(health) = runners.health_mut(&id) else {
                return;
            };
            match change {
                3 => health.dead = !health.dead,
                4 => health.avoid_until_ms = now + 3,
                _ => {
                    health.set_pace(rng.random_range(1.0..8.0), now);
                }
            }
        }
    }
}

/// Guards against memory and work for each round that grow with an entry of another writer, which names another
/// failure domain each time it is written.
#[gtest]
fn failure_domains_without_runners_are_forgotten() {
    let mut runners = Runners::default();
    runners.put(&runner("i-1", "east", "a100"));
    for n in 0..100 {
        runners.put(&runner("a00", &format!("zone-{n}"), "a100"));
    }
    runners.remove(&"a00".into(), 0);
    let domains: Vec<&str> = runners.domains().map(AsRef::as_ref).collect();
    expect_that!(domains, eq(&vec!["east"]));
}

/// Guards against chains of runners that are gone, which a forgotten failure domain would keep.
#[gtest]
fn the_chains_of_a_forgotten_failure_domain_end() {
    let mut runners = Runners::default();
    let mut entry = runner("i-1", "east", "a100");
    entry.layers = held((0, 80));
    runners.put(&entry);
    let mut chains = ServiceChains::default();
    chains.update(&runners, SERVICE, &engine(), 0);
    expect_that!(chains.chains().count(), eq(1));
    runners.remove(&entry.id, 1);
    let update = chains.update(&runners, SERVICE, &engine(), 1);
    expect_that!(update.changed, contains(eq(&Some("east".into()))));
    expect_that!(chains.chains().count(), eq(0));
}
