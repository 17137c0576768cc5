//! Work of plans over runners whose number and ranges come from outside.

#[path = "support/relay.rs"]
mod support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::relay::chain::{MAX_STEPS, ServiceChains};
use jacinthweir_policy::relay::intent::Engine;
use jacinthweir_policy::relay::placement::Planner;
use jacinthweir_policy::relay::runners::Runners;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{SERVICE, add_domain, apply_moves, engine, held, runner, settle};

fn plan(planner: &mut Planner, runners: &Runners, engine: &Engine) -> usize {
    let moves = planner.plan(runners, SERVICE, engine, &BTreeMap::new(), 0);
    moves.len()
}

/// Guards against an instance that hangs in a plan: two entries that listed layers far beyond the model's,
/// each a copy of the other, were walked through to their end.
#[gtest]
fn ranges_beyond_the_model_take_no_work() {
    let mut runners = Runners::default();
    add_domain(&mut runners, "east", &[("a100", 2), ("v100", 4), ("l4", 4)]);
    settle(&mut runners);
    let mut planner = Planner::default();
    let moves = plan(&mut planner, &runners, &engine());
    let work = planner.most_work();
    for id in ["other-0", "other-1"] {
        let mut entry = runner(id, "east", "a100");
        entry.layers = held((0, 10_000));
        runners.put(&entry);
    }
    let mut planner = Planner::default();
    expect_that!(plan(&mut planner, &runners, &engine()), eq(moves));
    expect_that!(planner.most_work(), eq(work));
}

/// Guards against a plan whose work has no bound: models that no real deployment has.
#[gtest]
fn a_plan_that_takes_too_much_work_is_given_up_once() {
    let mut runners = Runners::default();
    add_domain(&mut runners, "east", &[("a100", 1), ("v100", 3)]);
    let mut whole = runner("east-a100-0", "east", "a100");
    whole.layers = held((0, 10_000));
    runners.put(&whole);
    for layers in [10_000, u32::MAX] {
        let large = Engine {
            layers,
            layer_mb: 7.0,
            token_bytes: 1.0,
            ..engine()
        };
        let mut planner = Planner::default();
        expect_that!(plan(&mut planner, &runners, &large), eq(0), "{layers}");
        expect_that!(planner.given_up(), eq(1), "{layers}");
        plan(&mut planner, &runners, &large);
        expect_that!(planner.domains_planned(), eq(1), "{layers}");
    }
}

/// Guards against a search for chains whose work and memory have no bound: entries of another writer that
/// all differ, for a model that has as many layers.
#[gtest]
fn a_search_over_entries_that_all_differ_ends_with_the_chains_it_has() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for (layers, entries) in [(80, 6_000), (10_000, 3_000)] {
        let mut runners = Runners::default();
        for i in 0..entries {
            let mut entry = runner(&format!("runner-{i:05}"), "east", "v100");
            let from = rng.random_range(0..layers - 1);
            entry.layers = held((from, rng.random_range(from + 1..=layers)));
            runners.put(&entry);
            let health = runners.health_mut(&entry.id).expect("a known runner");
            health.set_pace(rng.random_range(1.0..1e6), 1);
        }
        let model = Engine {
            layers,
            layer_mb: 1.0,
            ..engine()
        };
        let mut chains = ServiceChains::default();
        let update = chains.update(&runners, SERVICE, &model, 1);
        // One search of a failure domain and one across all.
        let most = 2 * (MAX_STEPS + MAX_STEPS / 4);
        expect_that!(update.search_steps, le(most), "{layers}");
        expect_that!(chains.chains().count() > 0, eq(layers == 80), "{layers}");
    }
}

/// Guards against a bound that a real fleet reaches: its domains would get no orders.
#[gtest]
fn a_domain_of_a_thousand_runners_is_planned_within_the_bound() {
    let mut runners = Runners::default();
    let counts = [("a100", 100), ("v100", 500), ("l4", 400)];
    add_domain(&mut runners, "east", &counts);
    let mut planner = Planner::default();
    for _ in 0..20 {
        let moves = planner.plan(&runners, SERVICE, &engine(), &BTreeMap::new(), 0);
        if moves.is_empty() {
            break;
        }
        apply_moves(&mut runners, &moves);
        let lost: Vec<_> = runners
            .entries()
            .step_by(17)
            .map(|e| e.id.clone())
            .collect();
        for id in lost {
            runners.remove(&id, 10_000);
        }
    }
    expect_that!(planner.given_up(), eq(0));
}
