//! Relay rules: configuration, vouching, chain selection, attempts and the retry budget.

#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::attempts::Attempts;
use jacinthweir_policy::relay::chain_selection::{
    ChainCandidate, MAX_FILL, RefusalBackoff, demand, select,
};
use jacinthweir_policy::relay::confirmation::ConfigConfirmation;
use jacinthweir_policy::relay::intent::{
    CallClass, Intent, Organisation, Route, UnknownKey, VersionOrder, compare_versions,
};
use jacinthweir_policy::relay::runners::Runners;
use jacinthweir_policy::relay::shared_retry_budget::{
    RetryCounts, SharedRetryBudget, SharedRetryBudgetConfig,
};
use jacinthweir_policy::retry_priority::RetryPriority;
use support::runner;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: Name::from(name),
        prefix: Name::from(prefix),
        class: CallClass::Idempotent,
        timeout_ms: 800,
        objective_ms: 300,
        pause_ms: None,
        priority: 1,
        split: vec![(Name::from("a"), 1)],
        max_attempts: 2,
        public: false,
    }
}

fn intent() -> Intent {
    let mut intent = Intent {
        version: 3,
        ..Intent::default()
    };
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("other", "/c/"),
    ];
    intent.routes.insert(Name::from("host"), routes);
    let org = Organisation {
        name: Name::from("org"),
        priority: None,
    };
    intent.keys = Some([(Name::from("key"), org)].into());
    intent.sort_routes();
    intent
}

#[gtest]
fn the_longest_matching_prefix_of_the_host_wins() {
    let intent = intent();
    let name = |host, path| intent.route(host, path).map(|r| r.name.to_string());
    expect_that!(name("host", "/a/b/c"), some(eq("long")));
    expect_that!(name("host", "/a/x"), some(eq("short")));
    expect_that!(name("host", "/a"), none());
    expect_that!(name("host", "/ab/"), none());
    expect_that!(name("elsewhere", "/a/b/"), none());
}

#[gtest]
fn keys_are_required_unless_the_route_is_public() {
    let intent = intent();
    let mut route = route("r", "/a/");
    expect_that!(intent.organisation(&route, None), err(eq(UnknownKey)));
    expect_that!(
        intent.organisation(&route, Some("nobody's")),
        err(eq(UnknownKey))
    );
    expect_that!(
        intent.organisation(&route, Some("key")),
        ok(some(anything()))
    );
    route.public = true;
    expect_that!(intent.organisation(&route, None), ok(none()));
}

#[gtest]
fn requests_are_split_by_weight() {
    let mut route = route("r", "/a/");
    route.split = vec![(Name::from("a"), 900), (Name::from("b"), 100)];
    expect_that!(route.service(0.0).map(|s| &**s), some(eq("a")));
    expect_that!(route.service(0.89).map(|s| &**s), some(eq("a")));
    expect_that!(route.service(0.91).map(|s| &**s), some(eq("b")));
    route.split = vec![(Name::from("a"), 0), (Name::from("b"), 1)];
    expect_that!(route.service(0.0).map(|s| &**s), some(eq("b")));
}

/// A watch delivers an old version after a newer one, or the store is restored from an older copy. If the
/// old version came into force, a caller with a new key would be refused after it was served.
#[gtest]
fn an_older_version_never_replaces_a_newer_one() {
    expect_that!(compare_versions(None, 3), eq(VersionOrder::Newer));
    expect_that!(compare_versions(Some(3), 7), eq(VersionOrder::Newer));
    expect_that!(compare_versions(Some(7), 7), eq(VersionOrder::Same));
    expect_that!(
        compare_versions(Some(7), 3),
        eq(VersionOrder::Older { in_force: 7 })
    );
}

/// A key is revoked while an instance is disconnected from the store. The instance cannot learn of it, and
/// has to stop serving within the revocation bound, counted from when its last confirmed read was sent.
#[gtest]
fn a_disconnected_instance_stops_serving_within_the_bound() {
    let mut vouch = ConfigConfirmation::new(5_000);
    expect_false!(vouch.may_serve(0));
    vouch.confirm(1_000);
    expect_true!(vouch.may_serve(1_000));
    expect_true!(vouch.may_serve(5_400));
    expect_false!(vouch.may_serve(5_900));
    vouch.confirm(500);
    expect_that!(vouch.age_ms(2_000), some(eq(1_000)));
}

#[gtest]
fn only_an_instance_that_has_just_started_queues_requests() {
    let mut vouch = ConfigConfirmation::new(5_000);
    expect_true!(vouch.is_starting(100));
    expect_false!(vouch.is_starting(4_000));
    vouch.confirm(150);
    expect_false!(vouch.is_starting(200));
}

/// A later stage dies twice during one request, on a route that allows two runners. The first runners of
/// both chains are alive, so a third one must not run the request, but the second may run it again.
#[gtest]
fn a_request_runs_on_no_more_living_runners_than_its_route_allows() {
    let [a, b, c] = ["a", "b", "c"].map(Name::from);
    let nobody = |_: &Name, _: u64| false;
    let mut attempts = Attempts::default();
    expect_true!(attempts.allows(&a, 1, 2, nobody));
    attempts.record_sent(&a, 1);
    attempts.record_sent(&b, 1);
    expect_false!(attempts.allows(&c, 1, 2, nobody));
    expect_true!(attempts.allows(&b, 1, 2, nobody));
    expect_false!(attempts.allows(&b, 2, 2, nobody));
    // The lifetime of the first runner has ended.
    expect_true!(attempts.allows(&c, 1, 2, |id, _| *id == a));
    // A runner that refused no longer counts, unless an earlier send may have run there.
    attempts.record_not_run(&b, 1, true);
    expect_false!(attempts.allows(&c, 1, 2, nobody));
    attempts.record_not_run(&b, 1, false);
    expect_true!(attempts.allows(&c, 1, 2, nobody));
    // The number of sends is bounded even if all runners end.
    attempts.record_sent(&b, 1);
    attempts.record_sent(&c, 1);
    expect_false!(attempts.allows(&c, 1, 2, |_, _| true));
}

/// A runner that leaves may remove its entry and go on with what it runs. Guards against taking it for ended:
/// only another lifetime, or its death, shows that.
#[gtest]
fn a_missing_entry_does_not_end_a_lifetime() {
    let entry = runner("a", "one", "card");
    let born_ms = entry.born_ms;
    let mut runners = Runners::default();
    expect_true!(runners.has_ended("a", born_ms));
    runners.put(&entry);
    expect_false!(runners.has_ended("a", born_ms));
    expect_true!(runners.has_ended("a", born_ms + 1));
    runners.remove(&entry.id, 100_000);
    expect_false!(runners.has_ended("a", born_ms));
    runners.health_mut(&entry.id).expect("its health").dead = true;
    expect_true!(runners.has_ended("a", born_ms));
}

/// The chain of a stream breaks, and another run may resume the stream until its caller abandons it. That
/// time depends on the route: with a large gap objective the caller waits twice as long, and a fixed time
/// would cut streams that are still awaited.
#[gtest]
fn the_abandon_time_depends_on_the_route() {
    let route = |objective_ms, pause_ms| Route {
        name: "r".into(),
        prefix: "/".into(),
        class: CallClass::Stream { resumable: true },
        timeout_ms: 20_000,
        objective_ms,
        pause_ms,
        priority: 1,
        split: Vec::new(),
        max_attempts: 2,
        public: false,
    };
    expect_that!(route(500, Some(200)).abandon_after_ms(), eq(2_000));
    expect_that!(route(500, Some(500)).abandon_after_ms(), eq(4_000));
    expect_that!(route(1_000, Some(100)).abandon_after_ms(), eq(4_000));
    expect_that!(route(600, None).max_gap_ms(), eq(600));
    expect_that!(route(600, None).abandon_after_ms(), eq(4_800));
}

fn room(chain: usize, used_tokens: f64) -> ChainCandidate {
    ChainCandidate {
        chain,
        near: false,
        room_tokens: 100_000.0,
        used_tokens,
        silent_ms: 0,
        backing_off: false,
        gap_share: 0.0,
        event_ms: 50.0,
    }
}

#[gtest]
fn the_least_loaded_chain_is_selected_with_preference_for_the_own_domain() {
    let candidates = [room(0, 50_000.0), room(1, 30_000.0)];
    expect_that!(select(&candidates, 1_000.0, MAX_FILL), some(eq(1)));
    let near = ChainCandidate {
        near: true,
        ..room(0, 40_000.0)
    };
    expect_that!(
        select(&[near, room(1, 30_000.0)], 1_000.0, MAX_FILL),
        some(eq(0))
    );
}

/// The load of a lost domain moves to the two remaining ones. Requests that do not fit are refused: a chain
/// that is admitted more than it has room for preempts requests in the middle of their streams, and all
/// become late.
#[gtest]
fn a_full_chain_gets_no_requests() {
    let mut used = 0.0;
    let mut taken = 0;
    while let Some(0) = select(&[room(0, used)], demand(800, 200), MAX_FILL) {
        used += demand(800, 200);
        taken += 1;
    }
    expect_that!(used, le(100_000.0 * MAX_FILL));
    expect_that!(taken, ge(100));
}

#[gtest]
fn a_silent_chain_gets_requests_only_if_no_other_has_room() {
    let silent = ChainCandidate {
        silent_ms: 400,
        ..room(0, 0.0)
    };
    expect_that!(
        select(&[silent, room(1, 90_000.0)], 1_000.0, MAX_FILL),
        some(eq(1))
    );
    expect_that!(
        select(&[silent, room(1, 100_000.0)], 1_000.0, MAX_FILL),
        some(eq(0))
    );
}

/// A runner whose memory is full would refuse sixty requests per second, each of which costs a retry. Its
/// chain gets no requests during an exponential backoff, and its usable room is reduced.
#[gtest]
fn a_refusing_chain_gets_an_exponential_backoff() {
    let mut refusals = RefusalBackoff::default();
    let mut sent = 0;
    for now in 0..10_000 {
        if !refusals.is_backing_off(now) {
            refusals.record_refused(now);
            sent += 1;
        }
    }
    expect_that!(sent, le(12));
    expect_that!(refusals.room_scale(), lt(1.0));
    for now in 20_000..21_000 {
        refusals.record_accepted(now);
    }
    expect_that!(refusals.room_scale(), eq(1.0));
    let refusing = ChainCandidate {
        backing_off: true,
        gap_share: 0.0,
        event_ms: 50.0,
        ..room(0, 0.0)
    };
    expect_that!(select(&[refusing], 1.0, MAX_FILL), none());
}

/// A failure domain dies and every request fails. All instances together have to stay within the bound on
/// retries, although none knows what the others spend.
#[gtest]
fn retries_of_all_instances_stay_within_the_bound() {
    let cfg = SharedRetryBudgetConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut instances = vec![SharedRetryBudget::default(); 6];
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for now in (0..60_000u64).step_by(10) {
        let one = &mut instances[(now / 10 % 6) as usize];
        one.record_request(now, &cfg);
        requests.push(now);
        if one.take_retry(now, &cfg, 6, RetryPriority::Committed) {
            repeats.push(now);
        }
    }
    let within = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|t| (from..from + 10_000).contains(*t))
            .count() as f64
    };
    for from in (0..50_000).step_by(500) {
        let bound = 0.2 * within(&requests, from) + 196.0;
        expect_that!(within(&repeats, from), le(bound));
    }
    expect_that!(repeats.len(), ge(500));
}

/// Two of six instances serve all callers when a chain breaks, twice in 10 s. Unless they may borrow from
/// the parts of the others, their streams are cut although the total bound is not reached. Counts are
/// exchanged every 300 ms.
#[gtest]
fn instances_that_serve_all_callers_may_borrow_retries() {
    let cfg = SharedRetryBudgetConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut two = vec![SharedRetryBudget::default(); 2];
    let mut taken = [0, 0];
    for now in (0..10_000u64).step_by(10) {
        two[(now / 10 % 2) as usize].record_request(now, &cfg);
        if now % 300 == 0 {
            let counts: Vec<RetryCounts> = two.iter_mut().map(|s| s.counts(now, &cfg)).collect();
            two[0].update_loan(now, &cfg, counts[1], 6);
            two[1].update_loan(now, &cfg, counts[0], 6);
        }
        for (at, burst) in [(5_000, 0), (9_000, 1)] {
            // Sixty streams of each instance broke, and are resumed within 100 ms.
            if (at..at + 100).contains(&now) {
                let wanted = two.iter_mut().map(|s| {
                    (0..6)
                        .filter(|_| s.take_retry(now, &cfg, 6, RetryPriority::Committed))
                        .count()
                });
                taken[burst] += wanted.sum::<usize>();
            }
        }
    }
    expect_that!(taken[0], eq(120));
    expect_that!(taken[1], ge(60));
    expect_that!(taken[0] + taken[1], le(396));
}

/// Seventy instances have streams through a runner that dies, and all retry as often as they may before the
/// next exchange. Together they have to stay within the bound; with a loan of a quarter of the remaining
/// budget for each they sent 983 retries of 962 allowed.
#[gtest]
fn seventy_instances_that_retry_at_once_stay_within_the_bound() {
    let cfg = SharedRetryBudgetConfig {
        ratio: 0.2,
        slack: 326.0,
        window_ms: 10_000,
    };
    let mut all = vec![SharedRetryBudget::default(); 70];
    for now in (0..10_000).step_by(220) {
        all.iter_mut().for_each(|s| s.record_request(now, &cfg));
    }
    let own = all[0].counts(10_000, &cfg);
    let others = RetryCounts {
        requests: own.requests * 69,
        repeats: 0,
        ..RetryCounts::default()
    };
    let mut sent = 0;
    for s in &mut all {
        s.update_loan(10_000, &cfg, others, 70);
        sent += (0..100)
            .filter(|_| s.take_retry(10_000, &cfg, 70, RetryPriority::Committed))
            .count();
    }
    let bound = 0.2 * f64::from(own.requests * 70) + 326.0;
    expect_that!(sent as f64, le(bound));
    expect_that!(sent as f64, ge(bound * 0.7));
}

/// What an instance borrowed has to be subtracted from the parts of the others, which would spend it again.
#[gtest]
fn borrowed_retries_are_not_spent_twice() {
    const INSTANCES: usize = 6;
    let cfg = SharedRetryBudgetConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut all = vec![SharedRetryBudget::default(); INSTANCES];
    let mut exchanged = vec![RetryCounts::default(); INSTANCES];
    let (mut requests, mut repeats) = (0, 0);
    for now in (0..10_000u64).step_by(10) {
        if now % 300 == 0 {
            for (i, one) in all.iter_mut().enumerate() {
                let mut others = RetryCounts::default();
                let exchanged = exchanged.iter().enumerate().filter(|(j, _)| *j != i);
                exchanged.for_each(|(_, counts)| others += *counts);
                one.update_loan(now, &cfg, others, INSTANCES);
            }
            exchanged = all.iter_mut().map(|s| s.counts(now, &cfg)).collect();
        }
        // Two instances lose their chains from 3 s on, the others 1 s before the end.
        for (i, one) in all.iter_mut().enumerate() {
            if now % 50 == 0 {
                one.record_request(now, &cfg);
                requests += 1;
            }
            let breaks = now >= if i < 2 { 3_000 } else { 9_000 };
            let sent = breaks && one.take_retry(now, &cfg, INSTANCES, RetryPriority::Committed);
            repeats += u32::from(sent);
        }
    }
    let bound = 0.2 * f64::from(requests) + 196.0;
    expect_that!(f64::from(repeats), le(bound));
    expect_that!(f64::from(repeats), ge(bound * 0.7));
}

#[gtest]
fn nothing_is_lent_once_most_of_the_budget_is_spent() {
    let cfg = SharedRetryBudgetConfig {
        ratio: 0.2,
        slack: 60.0,
        window_ms: 10_000,
    };
    let mut one = SharedRetryBudget::default();
    let spent = RetryCounts {
        requests: 0,
        repeats: 40,
        ..RetryCounts::default()
    };
    one.update_loan(0, &cfg, spent, 6);
    let taken = (0..100)
        .filter(|_| one.take_retry(0, &cfg, 6, RetryPriority::Committed))
        .count();
    // Its own part of the slack, and no more.
    expect_that!(taken, eq(8));
}

#[gtest]
fn a_new_lifetime_of_a_runner_clears_its_state() {
    let mut runners = Runners::default();
    let mut entry = runner("a", "east", "a100");
    runners.put(&entry);
    runners.health_mut(&entry.id).expect("known").dead = true;
    runners.put(&entry);
    expect_true!(runners.health("a").dead);
    entry.born_ms = 2;
    runners.put(&entry);
    expect_false!(runners.health("a").dead);
    runners.replace(Vec::new(), 0);
    expect_that!(runners.entry("a"), none());
}

#[gtest]
fn failing_plain_runners_rank_last() {
    let mut runners = Runners::default();
    for id in ["a", "b"] {
        runners.put(&runner(id, "east", "l4"));
    }
    for _ in 0..10 {
        runners.record_outcome("a", true, 0);
    }
    let first = |now| {
        let ranked = runners.service_candidates(support::SERVICE, "east", now, || 0);
        assert_eq!(ranked.len(), 2);
        ranked[0].id.to_string()
    };
    expect_that!(first(0), eq("b"));
    // No requests are sent there any more, so the failures have to expire with time.
    expect_that!(first(20_000), eq("a"));
}

/// Another instance reports a leaving runner while the watch of this one is silent. The runner gets no new
/// requests from then on; a report for another lifetime has no effect.
#[gtest]
fn a_leaving_runner_is_reported_by_other_instances() {
    let mut runners = Runners::default();
    let entry = runner("a", "d", "a100");
    runners.put(&entry);
    expect_false!(runners.mark_draining("a", entry.born_ms + 1));
    expect_true!(runners.mark_draining("a", entry.born_ms));
    expect_false!(runners.mark_draining("a", entry.born_ms));
    let known = runners.entry("a").expect("known").clone();
    expect_false!(runners.usable(&known, 0));
}

/// Full runners refuse many new requests, and a chain breaks shortly afterwards. Retries that new requests
/// may not take are left for broken streams, which may take all.
#[gtest]
fn refusable_requests_leave_some_retries_to_others() {
    let cfg = SharedRetryBudgetConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut one = SharedRetryBudget::default();
    (0..100).for_each(|_| one.record_request(0, &cfg));
    let refusable = (0..1_000).filter(|_| one.take_retry(0, &cfg, 6, RetryPriority::Refusable));
    let refusable = refusable.count();
    let owed = (0..1_000).filter(|_| one.take_retry(0, &cfg, 6, RetryPriority::Committed));
    let owed = owed.count();
    let mut other = SharedRetryBudget::default();
    (0..100).for_each(|_| other.record_request(0, &cfg));
    let all = (0..1_000).filter(|_| other.take_retry(0, &cfg, 6, RetryPriority::Committed));
    expect_that!(refusable + owed, eq(all.count()));
    expect_that!(owed, ge(10));
    expect_that!(refusable, ge(owed));

    // A loan is available to both as well, except for the reserved part. The five others are heard and have
    // spent nothing.
    let others = RetryCounts {
        established: 5,
        ..RetryCounts::default()
    };
    other.update_loan(0, &cfg, others, 6);
    let refusable = (0..1_000).filter(|_| other.take_retry(0, &cfg, 6, RetryPriority::Refusable));
    expect_that!(refusable.count(), gt(0));
    let owed = (0..1_000).filter(|_| other.take_retry(0, &cfg, 6, RetryPriority::Committed));
    expect_that!(owed.count(), gt(0));
}
