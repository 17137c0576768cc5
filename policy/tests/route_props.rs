//! Property tests of plans and routes over random fleets.

use googletest::prelude::*;
use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{
    CloseReason, Hop, LinkEnds, LinkObservation, RouteFault, RouteStage, Router, RunnerReport,
    verify_route,
};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

#[path = "support/route.rs"]
mod support;
use support::{model, model_id, report, request};

const LAYERS: u32 = 24;

#[derive(Clone, Debug)]
struct Case {
    runners: Vec<(RunnerReport, bool)>,
    links: Vec<LinkObservation>,
    seed: u64,
}

fn case() -> impl Strategy<Value = Case> {
    let runner = (
        0..LAYERS,
        1..=LAYERS,
        1..500_u32,
        0..3_u32,
        prop::bool::weighted(0.1),
    );
    let runners = prop::collection::vec(runner, 1..24).prop_map(|all| {
        let make =
            |(i, (start, count, speed, domain, closed)): (usize, (u32, u32, u32, u32, bool))| {
                let name: String = format!("r{i:02}");
                let report = RunnerReport {
                    token_layers_per_s: f64::from(speed),
                    domain: format!("d{domain}").into(),
                    ..report(&name, start, (start + count).min(LAYERS))
                };
                (report, closed)
            };
        all.into_iter().enumerate().map(make).collect::<Vec<_>>()
    });
    let link = (0..3_u32, 0..3_u32, 1..100_u32).prop_map(|(a, b, tokens)| LinkObservation {
        ends: LinkEnds::Domains(format!("d{a}").into(), format!("d{b}").into()),
        latency_us: 300,
        bytes_per_s: f64::from(tokens) * 1_000.0,
    });
    let links = prop::collection::vec(link, 0..4);
    (runners, links, any::<u64>()).prop_map(|(runners, links, seed)| Case {
        runners,
        links,
        seed,
    })
}

fn planned(case: &Case) -> Router {
    let mut router = Router::new(Default::default());
    router.set_models(&[model(LAYERS)]);
    for (report, _) in &case.runners {
        router.observe(0, report);
    }
    for link in &case.links {
        router.observe_link(0, link);
    }
    for (report, closed) in &case.runners {
        if *closed {
            router.close(0, &report.name, CloseReason::Leaving);
        }
    }
    router.replan(0);
    router
}

fn check(test: impl Fn(&Case)) {
    let cfg = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    };
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..cfg
    });
    let result = runner.run(&case(), |case| {
        test(&case);
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

fn holds(router: &Router, id: RunnerId, layers: LayerRange) -> bool {
    router.fleet().runners[id].holds(model_id(), layers)
}

#[gtest]
fn every_route_is_valid_and_skips_closed_and_excluded_runners() {
    check(|case| {
        let mut router = planned(case);
        let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
        let avoid = [RunnerId::from_u32(
            (case.seed % case.runners.len() as u64) as u32,
        )];
        for now in 0..20 {
            let Ok(route) = router.pick(now, &request(&avoid), &mut rng) else {
                continue;
            };
            let verdict = verify_route(LAYERS, &route.stages, |r, l| holds(&router, r, l));
            assert_eq!(verdict, Ok(()));
            for stage in &route.stages {
                assert!(router.fleet().runners[stage.runner].is_open());
                assert!(!avoid.contains(&stage.runner));
            }
            assert!(route.first_token_ms.is_finite() && route.per_token_ms > 0.0);
            router.record_sent(now, &route);
            if now % 3 == 0 {
                router.record_failure(now, &route, Some(route.stages[0].runner));
            }
        }
    });
}

#[gtest]
fn plans_respect_the_limits_of_runners_and_links_and_the_bound() {
    check(|case| {
        let router = planned(case);
        let plan = router.plan(model_id()).unwrap();
        assert!(plan.planned <= plan.bound * 1.000_1 + 1e-3, "{plan:?}");
        let mut work: BTreeMap<RunnerId, f64> = BTreeMap::new();
        let mut crossings: BTreeMap<Hop, f64> = BTreeMap::new();
        let domain = |id: RunnerId| router.fleet().runners[id].domain;
        for chain in &plan.chains {
            for &(id, layers) in &chain.stages {
                *work.entry(id).or_default() += chain.tokens_per_s * f64::from(layers.count());
            }
            for pair in chain.stages.windows(2) {
                let hop = Hop::new(domain(pair[0].0), domain(pair[1].0));
                *crossings.entry(hop).or_default() += chain.tokens_per_s;
            }
        }
        for (id, work) in work {
            assert!(
                work <= router.fleet().runners[id].speed * 1.000_1,
                "{id} {work}"
            );
        }
        for (a, b) in [(0, 0), (0, 1), (0, 2), (1, 1), (1, 2), (2, 2)] {
            let (a, b) = (DomainId::from_u32(a), DomainId::from_u32(b));
            let used = crossings.get(&Hop::new(a, b)).copied().unwrap_or(0.0);
            assert!(used <= router.link(a, b).tokens_per_s(1_000) * 1.000_1);
        }
    });
}

/// Counterpart of the first property: a valid route altered in one place is rejected.
#[gtest]
fn a_route_with_a_gap_or_an_overlap_is_rejected() {
    check(|case| {
        let router = planned(case);
        let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
        let Ok(route) = router.pick(0, &request(&[]), &mut rng) else {
            return;
        };
        for i in 0..route.stages.len() {
            let verify = |stages: &[RouteStage]| verify_route(LAYERS, stages, |_, _| true);
            let mut missing = route.stages.clone();
            missing.remove(i);
            assert!(verify(&missing).is_err());
            let mut doubled = route.stages.clone();
            doubled.insert(i, route.stages[i].clone());
            assert!(verify(&doubled).is_err());
            let mut shorter = route.stages.clone();
            shorter[i].layers.end -= 1;
            assert!(verify(&shorter).is_err());
            if i > 0 {
                let mut longer = route.stages.clone();
                longer[i].layers.start -= 1;
                assert!(
                    matches!(verify(&longer), Err(RouteFault::Overlap { stage, .. }) if stage == i)
                );
            }
        }
    });
}
