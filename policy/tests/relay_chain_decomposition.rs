//! The choice of the set of chains of a failure domain by total throughput.

#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other test targets use the rest")]
mod support;

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain::{
    Chain, Holder, ServiceChains, chain_set, chains, disjoint_chains, domain_holders, throughput,
};
use jacinthweir_policy::relay::contention::{Mode, scope};
use jacinthweir_policy::relay::held_range::HeldRange;
use jacinthweir_policy::relay::intent::{
    Accelerator, CallClass, ChainObjective, Engine, Intent, Route, Service,
};
use jacinthweir_policy::relay::placement::plan;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, proptest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{SERVICE, add_domain, apply_moves, engine, held, runner};

const DOMAIN: &str = "east";

/// Layers of the model of most tests.
const LAYERS: u32 = 12;

/// Returns a model with few layers, on kinds whose speeds differ by a factor of seven.
fn small_engine(chain_objective: ChainObjective) -> Engine {
    let kind = |memory_mb, pace| Accelerator { memory_mb, pace };
    let kinds = [
        ("fast", kind(25_000.0, 2.4)),
        ("middle", kind(30_000.0, 5.3)),
        ("slow", kind(30_000.0, 16.0)),
    ];
    Engine {
        layers: LAYERS,
        kinds: kinds.into_iter().map(|(n, k)| (Name::from(n), k)).collect(),
        room_tokens: 20_000.0,
        chain_objective,
        ..engine()
    }
}

fn holder_entry(id: &str, kind: &str, layers: (u32, u32)) -> RunnerEntry {
    RunnerEntry {
        layers: held(layers),
        ..runner(id, DOMAIN, kind)
    }
}

fn with_entries(entries: &[RunnerEntry]) -> Runners {
    let mut runners = Runners::default();
    for entry in entries {
        runners.put(entry);
    }
    runners
}

/// Checks that chains run every layer once and in order, on runners that hold them and are in no other.
fn check_set(chains: &[Chain], layers: u32) -> std::result::Result<(), String> {
    let mut seen = BTreeSet::new();
    for chain in chains {
        let mut next = 0;
        for stage in &chain.stages {
            let id = &stage.runner.id;
            let (from, to) = stage.layers;
            let held = stage.runner.layers.map_or((0, 0), HeldRange::bounds);
            if from != next || to <= from {
                return Err(format!("{id}: {from}..{to} follows {next}"));
            }
            if from < held.0 || to > held.1 {
                return Err(format!("{id}: {from}..{to} is not held"));
            }
            if !seen.insert(id.clone()) {
                return Err(format!("{id} appears twice"));
            }
            next = to;
        }
        if next != layers {
            return Err(format!("a chain ends at {next}"));
        }
    }
    Ok(())
}

/// Returns the number of holders of the layer that has the fewest.
fn least_holders(holders: &[Holder<'_>], layers: u32) -> usize {
    let of_layer = |layer: u32| {
        let held = holders
            .iter()
            .filter(|h| (h.layers.0..h.layers.1).contains(&layer));
        held.count()
    };
    (0..layers).map(of_layer).min().unwrap_or(0)
}

/// Three pairs of runners. The two middle ones together are the cheapest chain after the fast ones, but
/// each of them completes a chain with one of the slower ones, which alone do not.
fn pairs() -> Runners {
    let entry = holder_entry;
    with_entries(&[
        entry("fast-0", "fast", (0, 7)),
        entry("fast-1", "fast", (5, 12)),
        entry("middle-0", "middle", (0, 8)),
        entry("middle-1", "middle", (4, 12)),
        entry("short-0", "middle", (0, 4)),
        entry("short-1", "middle", (8, 12)),
    ])
}

/// Lets the runners of the two short ranges be slower than the other middle ones.
fn slow_short_ranges(runners: &mut Runners) {
    for id in ["short-0", "short-1"] {
        let health = runners.health_mut(&Name::from(id)).expect("a runner");
        health.set_pace(1.2, 1);
    }
}

// Guards against a cheapest chain that takes single runners out of further complete chains: after losses
// a domain of 33 runners was left with two chains of 5 and 8 runners, although it had three.
#[gtest]
fn more_chains_are_chosen_if_their_throughput_is_higher() {
    let mut runners = pairs();
    slow_short_ranges(&mut runners);
    let set = |objective| chains(&runners, SERVICE, &small_engine(objective), 1);
    let fastest = set(ChainObjective::Fastest);
    let most = set(ChainObjective::Throughput);
    expect_that!(fastest.len(), eq(2));
    expect_that!(most.len(), eq(3));
    expect_that!(check_set(&most, LAYERS), ok(anything()));
    let engine = small_engine(ChainObjective::Throughput);
    let ratio = throughput(&most, &engine) / throughput(&fastest, &engine);
    expect_that!(ratio, gt(1.1));
    expect_that!(most[0], eq(&fastest[0]));
    let steps: Vec<f64> = most.iter().map(|c| c.step_ms).collect();
    expect_that!(steps.is_sorted(), eq(true));
}

// Guards against chains that are replaced for a small gain: a further chain of very slow runners is not
// worth a different set.
#[gtest]
fn a_set_with_little_more_throughput_is_not_chosen() {
    let mut runners = pairs();
    for id in ["short-0", "short-1"] {
        let health = runners.health_mut(&Name::from(id)).expect("a runner");
        health.set_pace(20.0, 1);
    }
    let set = |objective| chains(&runners, SERVICE, &small_engine(objective), 1);
    let fastest = set(ChainObjective::Fastest);
    expect_that!(fastest.len(), eq(2));
    expect_that!(set(ChainObjective::Throughput), eq(&fastest));
}

// Guards against a different result for services without contention control.
#[gtest]
fn the_objective_is_the_fastest_chain_by_default() {
    let mut runners = pairs();
    slow_short_ranges(&mut runners);
    let engine = small_engine(ChainObjective::default());
    let holders = domain_holders(&runners, DOMAIN, SERVICE, &engine, 1);
    let set = chain_set(&holders, &engine);
    expect_that!(set.chains, eq(&disjoint_chains(&holders, LAYERS)));
    expect_that!(set.chains.len(), eq(2));
}

// Guards against placement that takes the runners of a chain in use for spare ones and moves them.
#[gtest]
fn placement_leaves_the_runners_of_chains_by_throughput() {
    let mut runners = pairs();
    slow_short_ranges(&mut runners);
    let moves = |objective| {
        let engine = small_engine(objective);
        plan(&runners, SERVICE, &engine, &BTreeMap::new(), 1)
    };
    expect_that!(moves(ChainObjective::Fastest), not(is_empty()));
    expect_that!(moves(ChainObjective::Throughput), is_empty());
}

// Guards against limited runners at the head of chains, which receive all requests of their chain,
// while others could be there.
#[gtest]
fn limited_runners_are_not_the_first_of_chains_if_others_can_be() {
    let mut runners = pairs();
    slow_short_ranges(&mut runners);
    let entry = holder_entry("limited", "fast", (0, 4));
    runners.put(&entry);
    runners.health_mut(&entry.id).expect("known").limited = true;
    let engine = small_engine(ChainObjective::Throughput);
    let set = chains(&runners, SERVICE, &engine, 1);
    expect_that!(set.len(), eq(3));
    expect_that!(set.iter().any(|c| c.head().id == entry.id), eq(false));
}

// Guards against a change of the objective that leaves the chains as they were.
#[gtest]
fn kept_chains_follow_a_change_of_the_objective() {
    let mut runners = pairs();
    slow_short_ranges(&mut runners);
    let mut kept = ServiceChains::default();
    let fastest = small_engine(ChainObjective::Fastest);
    kept.update(&runners, SERVICE, &fastest, 1);
    expect_that!(kept.chains().count(), eq(2));
    let throughput = small_engine(ChainObjective::Throughput);
    kept.update(&runners, SERVICE, &throughput, 1);
    expect_that!(kept.chains().count(), eq(3));
}

fn route(name: &str, service: &str, priority: u32) -> Route {
    Route {
        name: Name::from(name),
        prefix: Name::from(format!("/{name}/")),
        class: CallClass::Stream { resumable: true },
        timeout_ms: 20_000,
        objective_ms: 1_000,
        pause_ms: Some(200),
        priority,
        split: vec![(Name::from(service), 1_000)],
        max_attempts: 3,
        public: false,
    }
}

// Guards against another choice of chains for services to which contention control does not apply.
#[gtest]
fn the_objective_is_set_for_services_with_contention_control() {
    let mut intent = Intent::default();
    for service in ["contended", "other"] {
        let engine = Some(engine());
        intent
            .services
            .insert(Name::from(service), Service { engine });
    }
    let routes = vec![
        route("urgent", "contended", 0),
        route("batch", "contended", 2),
        route("plain", "other", 0),
    ];
    intent.routes.insert(Name::from("host"), routes);
    let scopes = scope::services(Mode::Auto, &intent);
    scope::set_chain_objective(&mut intent, &scopes, ChainObjective::Throughput);
    let objective = |service: &str| {
        let engine = intent.services[service].engine.as_ref();
        engine.expect("a model").chain_objective
    };
    expect_that!(objective("contended"), eq(ChainObjective::Throughput));
    expect_that!(objective("other"), eq(ChainObjective::Fastest));
}

/// Kind, first layer, number of layers, pace relative to the declared one, and whether it is limited.
type Holding = (usize, u32, u32, f64, bool);

fn holdings() -> impl Strategy<Value = Vec<Holding>> {
    let pace = proptest::sample::select(vec![1.0, 1.0, 1.5, 3.0]);
    let limited = proptest::bool::weighted(0.1);
    let holding = (0usize..3, 0..LAYERS, 1..LAYERS, pace, limited);
    proptest::collection::vec(holding, 1..40)
}

/// Returns the runners, put in the order of `order`.
fn with_holdings(holdings: &[Holding], order: &[usize]) -> Runners {
    let mut runners = Runners::default();
    for i in order {
        let (kind, from, count, pace, limited) = holdings[*i];
        let kind = ["fast", "middle", "slow"][kind];
        let layers = (from, (from + count).min(LAYERS));
        let entry = holder_entry(&format!("r{i:02}"), kind, layers);
        runners.put(&entry);
        let health = runners.health_mut(&entry.id).expect("a runner");
        health.set_pace(pace, 1);
        health.limited = limited;
    }
    runners
}

fn shuffled(holdings: Vec<Holding>) -> impl Strategy<Value = (Vec<Holding>, Vec<usize>)> {
    let order: Vec<usize> = (0..holdings.len()).collect();
    (Just(holdings), Just(order).prop_shuffle())
}

proptest! {
    /// Guards against chains that runners refuse, sets with less throughput than the cheapest chains first,
    /// and instances that compute different chains from the same entries.
    #[test]
    fn sets_over_arbitrary_holdings_are_valid((holdings, order) in holdings().prop_flat_map(shuffled)) {
        let engine = small_engine(ChainObjective::Throughput);
        let in_order: Vec<usize> = (0..holdings.len()).collect();
        let runners = with_holdings(&holdings, &in_order);
        let holders = domain_holders(&runners, DOMAIN, SERVICE, &engine, 1);
        let set = chain_set(&holders, &engine).chains;
        prop_assert_eq!(check_set(&set, LAYERS), Ok(()));
        prop_assert!(set.len() <= least_holders(&holders, LAYERS));

        let fastest = disjoint_chains(&holders, LAYERS);
        let (new, old) = (throughput(&set, &engine), throughput(&fastest, &engine));
        prop_assert!(new >= old, "{} instead of {}", new, old);
        prop_assert!(set.len() >= fastest.len() || new > old);
        prop_assert_eq!(set.is_empty(), least_holders(&holders, LAYERS) == 0);

        let other = with_holdings(&holdings, &order);
        let of_other = domain_holders(&other, DOMAIN, SERVICE, &engine, 1);
        prop_assert_eq!(chain_set(&of_other, &engine).chains, set);
    }

    /// Guards against a sweep that finds fewer chains than the holders allow. With alike holders, a
    /// further chain has more throughput; up to the fifth, it has over a tenth more.
    #[test]
    fn alike_holders_form_as_many_chains_as_possible(
        starts in proptest::collection::vec((0..LAYERS, any::<bool>()), 1..30)
    ) {
        let engine = Engine { room_tokens: 1.0, ..small_engine(ChainObjective::Throughput) };
        let mut runners = Runners::default();
        for (i, (from, long)) in starts.into_iter().enumerate() {
            let count = if long { 5 } else { 4 };
            let layers = (from, (from + count).min(LAYERS));
            runners.put(&holder_entry(&format!("r{i:02}"), "fast", layers));
        }
        let holders = domain_holders(&runners, DOMAIN, SERVICE, &engine, 1);
        let set = chain_set(&holders, &engine).chains;
        let possible = least_holders(&holders, LAYERS);
        prop_assert!(set.len() == possible || set.len() >= 5, "{} of {}", set.len(), possible);
    }
}

/// Plans and applies moves until none are left; returns whether that ended.
fn settle(runners: &mut Runners, engine: &Engine) -> bool {
    for _ in 0..20 {
        let moves = plan(runners, SERVICE, engine, &BTreeMap::new(), 0);
        if moves.is_empty() {
            return true;
        }
        apply_moves(runners, &moves);
    }
    false
}

// Guards against placement and chains that undo each other's choices, so that runners load layers
// without end.
#[gtest]
fn placement_ends_after_losses_and_returns() {
    let engine = Engine {
        chain_objective: ChainObjective::Throughput,
        ..engine()
    };
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut runners = Runners::default();
        add_domain(
            &mut runners,
            DOMAIN,
            &[("a100", 4), ("v100", 14), ("l4", 15)],
        );
        assert_that!(settle(&mut runners, &engine), eq(true));
        for _ in 0..6 {
            let ids: Vec<Name> = runners.entries().map(|e| e.id.clone()).collect();
            for _ in 0..3 {
                let id = &ids[rng.random_range(0..ids.len())];
                let Some(entry) = runners.entry(id).cloned() else {
                    continue;
                };
                runners.remove(id, 0);
                if rng.random() {
                    let born_ms = entry.born_ms + 1;
                    runners.put(&RunnerEntry {
                        layers: None,
                        born_ms,
                        ..entry
                    });
                }
            }
            expect_that!(settle(&mut runners, &engine), eq(true), "seed {seed}");
            let set = chains(&runners, SERVICE, &engine, 0);
            expect_that!(check_set(&set, engine.layers), ok(anything()));
        }
    }
}

/// Returns holders of random ranges of a model of 80 layers; their paces differ if `distinct`.
fn random_domain(count: usize, distinct: bool) -> Runners {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut runners = Runners::default();
    for i in 0..count {
        let from = rng.random_range(0..8) * 8;
        let kind = ["a100", "v100", "l4"][i % 3];
        let layers = (from, (from + rng.random_range(1..4) * 8).min(80));
        let id = format!("runner-{i:05}");
        runners.put(&holder_entry(&id, kind, layers));
        if distinct {
            let health = runners.health_mut(&Name::from(id.as_str()));
            health.expect("a runner").set_pace(1.0 + i as f64 / 1e3, 1);
        }
    }
    runners
}

/// Returns the steps of a search for each objective.
fn steps(runners: &Runners) -> (u64, u64) {
    let of = |chain_objective| {
        let engine = Engine {
            chain_objective,
            ..engine()
        };
        let holders = domain_holders(runners, DOMAIN, SERVICE, &engine, 1);
        chain_set(&holders, &engine).steps
    };
    (of(ChainObjective::Fastest), of(ChainObjective::Throughput))
}

// Guards against a choice of chains that costs much more than a search for the fastest ones, or grows
// faster with the failure domain.
#[gtest]
fn the_choice_costs_a_few_searches() {
    for distinct in [false, true] {
        for count in [150, 600] {
            let (fastest, throughput) = steps(&random_domain(count, distinct));
            expect_that!(throughput, le(fastest * 4), "{count} holders");
        }
    }
}

/// Returns the room and the number of the chains that placement makes of three runners, each of which can
/// hold more than a third of the
/// layers.
fn placed_room(objective: ChainObjective) -> (f64, usize) {
    let engine = Engine {
        chain_objective: objective,
        ..engine()
    };
    let mut runners = Runners::default();
    add_domain(&mut runners, "east", &[("a100", 3)]);
    settle(&mut runners, &engine);
    let chains = chains(&runners, SERVICE, &engine, 0);
    let least = chains.iter().map(|c| c.room_tokens);
    (least.fold(f64::INFINITY, f64::min), chains.len())
}

/// Guards against chains whose last runner holds few layers while the others have the least room: equal
/// parts give the same runners more room, and never fewer chains.
#[gtest]
fn equal_parts_give_a_chain_more_room() {
    let (filled, chains) = placed_room(ChainObjective::Fastest);
    let (equal, as_many) = placed_room(ChainObjective::Throughput);
    expect_that!(as_many, ge(chains));
    expect_that!(equal, gt(filled));
}
