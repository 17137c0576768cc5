//! Routes while runners fail, leave, come back and report late.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{
    CacheSeen, CloseReason, LinkEnds, LinkSeen, NoRoute, Pick, Route, Router, RouterConfig,
    RunnerSeen,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[path = "support/route.rs"]
mod support;
use support::{model, model_id, seen, want};

/// A planned router of a model with 8 layers, among `instances`.
fn router(instances: u32, runners: &[RunnerSeen]) -> Router {
    let mut router = Router::new(RouterConfig {
        instances,
        ..RouterConfig::default()
    });
    router.set_models(&[model(8)]);
    for seen in runners {
        router.observe(0, seen);
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

/// Names of the runners that `picks` routes went through.
fn used(router: &Router, now: Millis, picks: usize, avoid: &[RunnerId]) -> Vec<String> {
    let mut rng = rng();
    let mut all: Vec<String> = Vec::new();
    for _ in 0..picks {
        let route = router.pick(now, &want(avoid), &mut rng).unwrap();
        all.extend(names(&route).iter().map(ToString::to_string));
    }
    all.sort();
    all.dedup();
    all
}

#[gtest]
fn leaving_never_turns_back_in_one_incarnation() {
    // The caller must see no request cut by a runner that is going down. The runner says that it
    // leaves; then a report it made earlier arrives, and a later one that no longer says so. Both
    // would reopen it if the newest report simply won.
    let mut router = router(1, &[seen("a", 0, 8), seen("b", 0, 8)]);
    router.observe(
        1,
        &RunnerSeen {
            number: 5,
            leaving: true,
            ..seen("a", 0, 8)
        },
    );
    for number in [4, 6] {
        router.observe(
            2,
            &RunnerSeen {
                number,
                ..seen("a", 0, 8)
            },
        );
        expect_that!(used(&router, 2, 50, &[]), elements_are![eq("b")]);
        router.replan(3);
        expect_that!(used(&router, 3, 50, &[]), elements_are![eq("b")]);
    }
    router.close(4, "a", CloseReason::Suspected);
    router.observe(
        5,
        &RunnerSeen {
            number: 7,
            ..seen("a", 0, 8)
        },
    );
    expect_that!(used(&router, 5, 50, &[]), elements_are![eq("b")]);
    router.observe(
        6,
        &RunnerSeen {
            incarnation: 2,
            ..seen("a", 0, 8)
        },
    );
    router.replan(6);
    expect_that!(used(&router, 6, 50, &[]), elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn an_old_incarnation_does_not_come_back() {
    // A runner restarts and now holds other layers. A report of its earlier life arrives late; a
    // route made from it would be refused by the runner.
    let mut router = router(1, &[seen("a", 0, 8), seen("b", 0, 8)]);
    router.observe(
        1,
        &RunnerSeen {
            incarnation: 2,
            ..seen("a", 0, 4)
        },
    );
    router.observe(
        2,
        &RunnerSeen {
            number: 99,
            ..seen("a", 0, 8)
        },
    );
    router.replan(3);
    let a = router.runner("a").unwrap();
    expect_that!(router.fleet().runners[a].incarnation, eq(2));
    let mut rng = rng();
    for _ in 0..50 {
        let route = router.pick(3, &want(&[]), &mut rng).unwrap();
        let on_a = route.stages.iter().find(|s| s.runner == a);
        expect_that!(on_a.is_none_or(|s| s.layers.end <= 4), eq(true));
    }
}

#[gtest]
fn a_dead_runner_is_avoided_before_and_after_the_next_plan() {
    // A runner dies; new requests must not go to it, although the plan still has chains through it.
    let mut router = router(1, &[seen("a", 0, 4), seen("b", 0, 4), seen("c", 4, 8)]);
    router.close(1, "a", CloseReason::Gone);
    expect_that!(router.is_dirty(), eq(true));
    expect_that!(used(&router, 1, 50, &[]), elements_are![eq("b"), eq("c")]);
    router.replan(2);
    expect_that!(router.is_dirty(), eq(false));
    expect_that!(used(&router, 2, 50, &[]), elements_are![eq("b"), eq("c")]);
}

#[gtest]
fn the_last_holder_is_used_even_soon_after_a_failure() {
    // Of two holders one is gone and the other just failed an attempt. Refusing all work until the
    // pause is over would turn one failure into an outage, so the last holder is tried again.
    let mut router = router(1, &[seen("a", 0, 4), seen("b", 0, 4), seen("c", 4, 8)]);
    router.close(1, "a", CloseReason::Gone);
    router.replan(1);
    let route = router.pick(1, &want(&[]), &mut rng()).unwrap();
    router.sent(1, &route);
    router.failed(2, &route, router.runner("b"));
    expect_that!(used(&router, 3, 20, &[]), elements_are![eq("b"), eq("c")]);
    let avoid = [router.runner("b").unwrap()];
    let refused = router.pick(3, &want(&avoid), &mut rng());
    expect_that!(refused, err(matches_pattern!(NoRoute::Uncovered { .. })));
}

#[gtest]
fn a_failed_runner_rests_and_comes_back() {
    let mut router = router(1, &[seen("a", 0, 8), seen("b", 0, 8)]);
    let mut rng = rng();
    let route = router.pick(0, &want(&[]), &mut rng).unwrap();
    let failed = route.stages[0].runner;
    let other = if names(&route) == ["a"] { "b" } else { "a" };
    router.sent(0, &route);
    router.failed(10, &route, Some(failed));
    expect_that!(used(&router, 11, 50, &[]), elements_are![eq(other)]);
    expect_that!(
        used(&router, 10_000, 50, &[]),
        elements_are![eq("a"), eq("b")]
    );
}

#[gtest]
fn uncovered_layers_are_named() {
    let mut router = router(1, &[seen("a", 0, 4), seen("b", 4, 8)]);
    router.close(1, "b", CloseReason::Gone);
    router.replan(1);
    let error = router.pick(1, &want(&[]), &mut rng()).unwrap_err();
    expect_that!(
        error.to_string(),
        eq("no open runner holds layers 4..8 of model0")
    );
    expect_that!(router.bound(model_id()), eq(0.0));
}

#[gtest]
fn own_sends_count_until_a_report_covers_them() {
    // Figures of time 100 come at time 300. What was sent at 50 is in them, what was sent at 200 is
    // not; the other two instances are taken to have sent as much.
    let mut router = router(3, &[seen("a", 0, 8)]);
    let route = router.pick(0, &want(&[]), &mut rng()).unwrap();
    let a = router.runner("a").unwrap();
    router.sent(50, &route);
    router.sent(200, &route);
    expect_that!(router.fleet().runners[a].load(3.0), eq(6.0));
    let report = RunnerSeen {
        number: 2,
        running: 4,
        age_ms: 200,
        ..seen("a", 0, 8)
    };
    router.observe(300, &report);
    expect_that!(router.fleet().runners[a].load(3.0), eq(7.0));
    router.finished(310, &route);
    expect_that!(router.fleet().runners[a].load(3.0), eq(4.0));
    router.finished(311, &route);
    expect_that!(router.fleet().runners[a].load(3.0), eq(1.0));
}

#[gtest]
fn a_report_that_was_overtaken_changes_nothing() {
    // Report 3 comes before report 2. Taking the older one in would bring back the load and the
    // layers of before, and routes through layers that the runner dropped.
    let mut router = router(1, &[seen("a", 0, 8), seen("b", 0, 8)]);
    let a = router.runner("a").unwrap();
    router.observe(
        1,
        &RunnerSeen {
            number: 3,
            running: 9,
            ..seen("a", 0, 4)
        },
    );
    router.observe(
        2,
        &RunnerSeen {
            number: 2,
            running: 1,
            ..seen("a", 0, 8)
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
fn a_suspected_runner_comes_back_with_a_newer_report_only() {
    let mut router = router(1, &[seen("a", 0, 8), seen("b", 0, 8)]);
    router.close(1, "a", CloseReason::Suspected);
    router.observe(2, &seen("a", 0, 8));
    expect_that!(used(&router, 2, 50, &[]), elements_are![eq("b")]);
    router.observe(
        3,
        &RunnerSeen {
            number: 2,
            ..seen("a", 0, 8)
        },
    );
    router.replan(3);
    expect_that!(used(&router, 3, 50, &[]), elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn no_herd_on_the_runner_that_looked_idle() {
    // Callers see long delays when all instances, on the same late report, send to the one runner
    // that looked idle: by the time the next report comes it has a queue and the others stand
    // idle. Eight equal runners, one reported idle and the others with 12 requests; six instances
    // send 10 requests each before any further report.
    let runners: Vec<RunnerSeen> = (0..8)
        .map(|i| RunnerSeen {
            running: if i == 0 { 0 } else { 12 },
            ..seen(&format!("r{i}"), 0, 8)
        })
        .collect();
    let mut rng = rng();
    let mut on_idle = 0;
    for _ in 0..6 {
        let mut router = router(6, &runners);
        for _ in 0..10 {
            let route = router.pick(1, &want(&[]), &mut rng).unwrap();
            on_idle += usize::from(names(&route) == ["r0"]);
            router.sent(1, &route);
        }
    }
    expect_that!(on_idle, all!(ge(8), le(24)));
}

#[gtest]
fn a_link_that_slows_loses_its_work_at_once_and_wins_it_back_by_steps() {
    // Streams over a link between two domains stall when it slows a hundredfold. One observation
    // has to be enough to plan round it; one good observation later must not bring all back, for
    // the link may come and go.
    let there = RunnerSeen {
        domain: "e".into(),
        ..seen("b", 4, 8)
    };
    let slow = RunnerSeen {
        token_layers_per_s: 400.0,
        ..seen("c", 4, 8)
    };
    let mut router = router(1, &[seen("a", 0, 4), there, slow]);
    let mut planned = |bytes_per_s: f64| {
        let ends = LinkEnds::Domains("d".into(), "e".into());
        router.observe_link(
            0,
            &LinkSeen {
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

fn cached(number: u64, prefix: u64, cached: bool) -> CacheSeen {
    CacheSeen {
        runner: "a".into(),
        incarnation: 1,
        number,
        prefix,
        cached,
    }
}

#[gtest]
fn a_gap_in_cache_events_drops_the_hints() {
    // Events 3 and 4 are lost; one of them may have been the eviction of prefix 11. Holding on to
    // the hint would go on drawing requests to a runner that has to prefill them.
    let mut router = router(1, &[seen("a", 0, 8)]);
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
fn affinity_is_used_but_does_not_pile_up() {
    // Every request has the prefix that one of four equal runners has cached. It should get more
    // than its part, but not so much that its queue costs more than the prefill saves.
    let runners: Vec<RunnerSeen> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| seen(name, 0, 8))
        .collect();
    let mut router = router(1, &runners);
    router.observe_cache(0, &cached(1, 11, true));
    let mut rng = rng();
    let mut on_holder = 0;
    for _ in 0..200 {
        let pick = Pick {
            prefix_hash: Some(11),
            ..want(&[])
        };
        let route = router.pick(1, &pick, &mut rng).unwrap();
        on_holder += usize::from(names(&route) == ["a"]);
        router.sent(1, &route);
    }
    expect_that!(on_holder, all!(ge(55), le(65)));
}

#[gtest]
fn instances_reach_the_same_plan_from_the_same_runners() {
    let runners: Vec<RunnerSeen> = (0..12)
        .map(|i| {
            let start = i % 4 * 2;
            let speed = 100.0 + f64::from(i * 37 % 11) * 10.0;
            RunnerSeen {
                token_layers_per_s: speed,
                ..seen(&format!("r{i:02}"), start, (start + 4).min(8))
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
    let mut turned = runners.clone();
    turned.reverse();
    turned.swap(2, 7);
    let backward = router(1, &turned);
    expect_that!(chains(&forward).len(), ge(2));
    expect_that!(chains(&backward), eq(&chains(&forward)));
}

#[gtest]
fn the_dump_tells_bound_and_runners() {
    let mut router = router(1, &[seen("a", 0, 4), seen("b", 4, 8)]);
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
