//! Tests of routing while runners fail, leave, restart and report late.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{
    CloseReason, LinkEnds, LinkObservation, NoRoute, PrefixCacheEvent, Route, RouteRequest, Router,
    RouterConfig, RunnerReport,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[path = "support/route.rs"]
mod support;
use support::{model, model_id, report, request};

/// Creates a router for a model with 8 layers, configured for `instances`, and makes its plan.
fn router(instances: u32, runners: &[RunnerReport]) -> Router {
    let mut router = Router::new(RouterConfig {
        instances,
        ..RouterConfig::default()
    });
    router.set_models(&[model(8)]);
    for report in runners {
        router.observe(0, report);
    }
    router.replan(0);
    router
}

fn names(route: &Route) -> Vec<&str> {
    route.stages.iter().map(|stage| &*stage.name).collect()
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

/// Returns the names of the runners used by `picks` picked routes, sorted and without duplicates.
fn used(router: &Router, now: Millis, picks: usize, avoid: &[RunnerId]) -> Vec<String> {
    let mut rng = rng();
    let mut all: Vec<String> = Vec::new();
    for _ in 0..picks {
        let route = router.pick(now, &request(avoid), &mut rng).unwrap();
        all.extend(names(&route).iter().map(ToString::to_string));
    }
    all.sort();
    all.dedup();
    all
}

#[gtest]
fn leaving_is_final_within_an_incarnation() {
    // Guards against requests being cut by a runner that shuts down. After the runner announced
    // that it leaves, an earlier report arrives, and then a later one without the announcement.
    // Either would reopen the runner if the latest arrival simply won.
    let mut router = router(1, &[report("a", 0, 8), report("b", 0, 8)]);
    router.observe(
        1,
        &RunnerReport {
            number: 5,
            leaving: true,
            ..report("a", 0, 8)
        },
    );
    for number in [4, 6] {
        router.observe(
            2,
            &RunnerReport {
                number,
                ..report("a", 0, 8)
            },
        );
        expect_that!(used(&router, 2, 50, &[]), elements_are![eq("b")]);
        router.replan(3);
        expect_that!(used(&router, 3, 50, &[]), elements_are![eq("b")]);
    }
    router.close(4, "a", CloseReason::Suspected);
    router.observe(
        5,
        &RunnerReport {
            number: 7,
            ..report("a", 0, 8)
        },
    );
    expect_that!(used(&router, 5, 50, &[]), elements_are![eq("b")]);
    router.observe(
        6,
        &RunnerReport {
            incarnation: 2,
            ..report("a", 0, 8)
        },
    );
    router.replan(6);
    expect_that!(used(&router, 6, 50, &[]), elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn reports_of_an_old_incarnation_are_ignored() {
    // A runner restarts with other layers, and a report of its earlier incarnation arrives late.
    // The runner would refuse a route based on that report.
    let mut router = router(1, &[report("a", 0, 8), report("b", 0, 8)]);
    router.observe(
        1,
        &RunnerReport {
            incarnation: 2,
            ..report("a", 0, 4)
        },
    );
    router.observe(
        2,
        &RunnerReport {
            number: 99,
            ..report("a", 0, 8)
        },
    );
    router.replan(3);
    let a = router.runner("a").unwrap();
    expect_that!(router.fleet().runners[a].incarnation, eq(2));
    let mut rng = rng();
    for _ in 0..50 {
        let route = router.pick(3, &request(&[]), &mut rng).unwrap();
        let on_a = route.stages.iter().find(|s| s.runner == a);
        expect_that!(on_a.is_none_or(|s| s.layers.end <= 4), eq(true));
    }
}

#[gtest]
fn a_dead_runner_is_avoided_before_and_after_the_next_plan() {
    // New requests must not be routed to a dead runner while the plan still has chains through it.
    let mut router = router(
        1,
        &[report("a", 0, 4), report("b", 0, 4), report("c", 4, 8)],
    );
    router.close(1, "a", CloseReason::Gone);
    expect_that!(router.is_dirty(), eq(true));
    expect_that!(used(&router, 1, 50, &[]), elements_are![eq("b"), eq("c")]);
    router.replan(2);
    expect_that!(router.is_dirty(), eq(false));
    expect_that!(used(&router, 2, 50, &[]), elements_are![eq("b"), eq("c")]);
}

#[gtest]
fn the_last_holder_is_used_during_its_cooldown() {
    // One of two holders is gone and the other has just failed an attempt. Refusing all requests
    // during its cooldown would turn one failure into an outage, so the last holder is still used.
    let mut router = router(
        1,
        &[report("a", 0, 4), report("b", 0, 4), report("c", 4, 8)],
    );
    router.close(1, "a", CloseReason::Gone);
    router.replan(1);
    let route = router.pick(1, &request(&[]), &mut rng()).unwrap();
    router.record_sent(1, &route);
    router.record_failure(2, &route, router.runner("b"));
    expect_that!(used(&router, 3, 20, &[]), elements_are![eq("b"), eq("c")]);
    let avoid = [router.runner("b").unwrap()];
    let refused = router.pick(3, &request(&avoid), &mut rng());
    expect_that!(refused, err(matches_pattern!(NoRoute::Uncovered { .. })));
}

#[gtest]
fn a_failed_runner_is_used_again_after_its_cooldown() {
    let mut router = router(1, &[report("a", 0, 8), report("b", 0, 8)]);
    let mut rng = rng();
    let route = router.pick(0, &request(&[]), &mut rng).unwrap();
    let failed = route.stages[0].runner;
    let other = if names(&route) == ["a"] { "b" } else { "a" };
    router.record_sent(0, &route);
    router.record_failure(10, &route, Some(failed));
    expect_that!(used(&router, 11, 50, &[]), elements_are![eq(other)]);
    expect_that!(
        used(&router, 10_000, 50, &[]),
        elements_are![eq("a"), eq("b")]
    );
}

#[gtest]
fn a_failure_of_an_earlier_incarnation_does_not_count() {
    // A runner restarts while a request runs on it, and the new incarnation reports before the
    // failure of the request is detected. A cooldown would reduce the capacity without reason.
    let mut router = router(1, &[report("a", 0, 4), report("b", 4, 8)]);
    let route = router.pick(0, &request(&[]), &mut rng()).unwrap();
    let a = router.runner("a").unwrap();
    router.record_sent(0, &route);
    router.observe(
        5,
        &RunnerReport {
            incarnation: 2,
            ..report("a", 0, 4)
        },
    );
    router.record_failure(6, &route, Some(a));
    let runner = &router.fleet().runners[a];
    expect_that!(
        (runner.failures, runner.avoid_until, runner.own),
        eq((0, 0, 0))
    );
}

#[gtest]
fn own_requests_without_reports_use_bounded_memory_and_are_not_lost() {
    let mut router = router(1, &[report("a", 0, 8)]);
    let route = router.pick(0, &request(&[]), &mut rng()).unwrap();
    let a = router.runner("a").unwrap();
    for now in 1..=5_000 {
        router.record_sent(now, &route);
    }
    expect_that!(router.fleet().runners[a].load(1.0), eq(5_000.0));
    router.observe(
        6_000,
        &RunnerReport {
            number: 2,
            running: 5_000,
            ..report("a", 0, 8)
        },
    );
    expect_that!(router.fleet().runners[a].load(1.0), eq(5_000.0));
}

#[gtest]
fn the_error_states_the_uncovered_layers() {
    let mut router = router(1, &[report("a", 0, 4), report("b", 4, 8)]);
    router.close(1, "b", CloseReason::Gone);
    router.replan(1);
    let error = router.pick(1, &request(&[]), &mut rng()).unwrap_err();
    expect_that!(
        error.to_string(),
        eq("no open runner holds layers 4..8 of model0")
    );
    expect_that!(router.bound(model_id()), eq(0.0));
}

#[gtest]
fn own_requests_count_until_a_report_includes_them() {
    // A report sampled at 100 arrives at 300. It includes the request sent at 50 but not the one
    // sent at 200. The other two instances are assumed to have sent as many.
    let mut router = router(3, &[report("a", 0, 8)]);
    let route = router.pick(0, &request(&[]), &mut rng()).unwrap();
    let a = router.runner("a").unwrap();
    router.record_sent(50, &route);
    router.record_sent(200, &route);
    expect_that!(router.fleet().runners[a].load(3.0), eq(6.0));
    let report = RunnerReport {
        number: 2,
        running: 4,
        age_ms: 200,
        ..report("a", 0, 8)
    };
    router.observe(300, &report);
    expect_that!(router.fleet().runners[a].load(3.0), eq(7.0));
    router.record_finished(310, &route);
    expect_that!(router.fleet().runners[a].load(3.0), eq(4.0));
    router.record_finished(311, &route);
    expect_that!(router.fleet().runners[a].load(3.0), eq(1.0));
}

#[gtest]
fn an_outdated_report_has_no_effect() {
    // Report 3 arrives before report 2. Applying the older one would restore outdated load and
    // layers, and produce routes through layers that the runner has dropped.
    let mut router = router(1, &[report("a", 0, 8), report("b", 0, 8)]);
    let a = router.runner("a").unwrap();
    router.observe(
        1,
        &RunnerReport {
            number: 3,
            running: 9,
            ..report("a", 0, 4)
        },
    );
    router.observe(
        2,
        &RunnerReport {
            number: 2,
            running: 1,
            ..report("a", 0, 8)
        },
    );
    expect_that!(router.fleet().runners[a].reported, eq(9));
    let ranges: Vec<String> = router.fleet().runners[a]
        .ranges(model_id())
        .map(|r| r.to_string())
        .collect();
    expect_that!(ranges, elements_are![eq("0..4")]);
}

#[gtest]
fn a_suspected_runner_is_reopened_only_by_a_newer_report() {
    let mut router = router(1, &[report("a", 0, 8), report("b", 0, 8)]);
    router.close(1, "a", CloseReason::Suspected);
    router.observe(2, &report("a", 0, 8));
    expect_that!(used(&router, 2, 50, &[]), elements_are![eq("b")]);
    router.observe(
        3,
        &RunnerReport {
            number: 2,
            ..report("a", 0, 8)
        },
    );
    router.replan(3);
    expect_that!(used(&router, 3, 50, &[]), elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn instances_do_not_herd_on_a_runner_reported_idle() {
    // Guards against herd behaviour: if all instances act on the same late report and send to the
    // one runner that looked idle, it has a long queue by the next report while the others are
    // idle. Of eight equal runners one is reported idle and the others with 12 requests; six
    // instances send 10 requests each before the next report.
    let runners: Vec<RunnerReport> = (0..8)
        .map(|i| RunnerReport {
            running: if i == 0 { 0 } else { 12 },
            ..report(&format!("r{i}"), 0, 8)
        })
        .collect();
    let mut rng = rng();
    let mut on_idle = 0;
    for _ in 0..6 {
        let mut router = router(6, &runners);
        for _ in 0..10 {
            let route = router.pick(1, &request(&[]), &mut rng).unwrap();
            on_idle += usize::from(names(&route) == ["r0"]);
            router.record_sent(1, &route);
        }
    }
    expect_that!(on_idle, all!(ge(8), le(24)));
}

#[gtest]
fn a_slow_link_loses_traffic_at_once_and_regains_it_gradually() {
    // Streams over a link between two domains stall when it slows down a hundredfold, so a single
    // observation has to be enough to plan around it. A single good observation afterwards must not
    // restore all traffic, since the link may be unstable.
    let remote = RunnerReport {
        domain: "e".into(),
        ..report("b", 4, 8)
    };
    let slow = RunnerReport {
        token_layers_per_s: 400.0,
        ..report("c", 4, 8)
    };
    let mut router = router(1, &[report("a", 0, 4), remote, slow]);
    let mut planned = |bytes_per_s: f64| {
        let ends = LinkEnds::Domains("d".into(), "e".into());
        router.observe_link(
            0,
            &LinkObservation {
                ends,
                latency_us: 300,
                bytes_per_s,
            },
        );
        router.replan(0);
        router.plan(model_id()).unwrap().planned
    };
    expect_that!(planned(200_000.0), near(250.0, 0.1));
    expect_that!(planned(2_000.0), near(102.0, 0.1));
    expect_that!(planned(200_000.0), near(201.0, 0.1));
}

fn cached(number: u64, prefix: u64, cached: bool) -> PrefixCacheEvent {
    PrefixCacheEvent {
        runner: "a".into(),
        incarnation: 1,
        number,
        prefix,
        cached,
    }
}

#[gtest]
fn a_gap_in_cache_events_invalidates_the_hints() {
    // Events 3 and 4 are lost, and one of them may be the eviction of prefix 11. A kept hint would
    // continue to attract requests to a runner that has to prefill them.
    let mut router = router(1, &[report("a", 0, 8)]);
    let a = router.runner("a").unwrap();
    router.observe_cache(0, &cached(1, 11, true));
    router.observe_cache(0, &cached(2, 12, true));
    expect_that!(router.fleet().cache.has(a, 11), eq(true));
    router.observe_cache(0, &cached(5, 13, true));
    expect_that!(router.fleet().cache.has(a, 11), eq(false));
    expect_that!(router.fleet().cache.has(a, 13), eq(true));
    expect_that!(router.fleet().cache.gaps(a), eq(1));
    router.observe_cache(0, &cached(4, 11, true));
    expect_that!(router.fleet().cache.has(a, 11), eq(false));
    router.observe_cache(0, &cached(6, 13, false));
    expect_that!(router.fleet().cache.has(a, 13), eq(false));
}

#[gtest]
fn cache_affinity_does_not_overload_a_runner() {
    // All requests have a prefix that one of four equal runners has cached. That runner should
    // receive more than a quarter of them, but not so many that its queue costs more than the saved
    // prefill.
    let runners: Vec<RunnerReport> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| report(name, 0, 8))
        .collect();
    let mut router = router(1, &runners);
    router.observe_cache(0, &cached(1, 11, true));
    let mut rng = rng();
    let mut on_holder = 0;
    for _ in 0..200 {
        let pick = RouteRequest {
            prefix_hash: Some(11),
            ..request(&[])
        };
        let route = router.pick(1, &pick, &mut rng).unwrap();
        on_holder += usize::from(names(&route) == ["a"]);
        router.record_sent(1, &route);
    }
    expect_that!(on_holder, all!(ge(55), le(65)));
}

#[gtest]
fn the_plan_does_not_depend_on_the_order_of_arrival() {
    let runners: Vec<RunnerReport> = (0..12)
        .map(|i| {
            let start = i % 4 * 2;
            let speed = 100.0 + f64::from(i * 37 % 11) * 10.0;
            RunnerReport {
                token_layers_per_s: speed,
                ..report(&format!("r{i:02}"), start, (start + 4).min(8))
            }
        })
        .collect();
    let chains = |router: &Router| -> Vec<String> {
        let name = |id: RunnerId| router.fleet().runners[id].name.clone();
        let chains = &router.plan(model_id()).unwrap().chains;
        let stages = |c: &jacinthweir_policy::route::Chain| {
            c.stages
                .iter()
                .map(|(r, l)| format!("{} {l},", name(*r)))
                .collect::<String>()
        };
        chains
            .iter()
            .map(|c| format!("{:.3} {}", c.tokens_per_s, stages(c)))
            .collect()
    };
    let forward = router(1, &runners);
    let mut reordered = runners.clone();
    reordered.reverse();
    reordered.swap(2, 7);
    let backward = router(1, &reordered);
    expect_that!(chains(&forward).len(), ge(2));
    expect_that!(chains(&backward), eq(&chains(&forward)));
}

#[gtest]
fn the_dump_contains_the_bound_and_the_runners() {
    let mut router = router(1, &[report("a", 0, 4), report("b", 4, 8)]);
    router.close(1, "b", CloseReason::Leaving);
    let dump = router.state().to_string();
    expect_that!(
        dump,
        contains_substring("model m: bound 250.0 tokens/s, planned 250.0")
    );
    expect_that!(
        dump,
        contains_substring("runner b incarnation 1 in d on kind: closed: leaving")
    );
    expect_that!(dump, contains_substring("holds [m 4..8]"));
}
