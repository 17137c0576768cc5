//! The small rules of the relay: configuration, vouching, rooms, repeats.

#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use googletest::prelude::*;
use jacinthweir_policy::need::Need;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::attempts::Attempts;
use jacinthweir_policy::relay::confirmation::ConfigConfirmation;
use jacinthweir_policy::relay::intent::{
    CallClass, Intent, Offered, Organisation, Route, UnknownKey, compare,
};
use jacinthweir_policy::relay::rooms::{FILL, Refusals, Room, choose, demand};
use jacinthweir_policy::relay::runners::Runners;
use jacinthweir_policy::relay::spending::{Counts, Spending, SpendingConfig};
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
fn the_longest_prefix_of_the_host_takes_a_path() {
    let intent = intent();
    let name = |host, path| intent.route(host, path).map(|r| r.name.to_string());
    expect_that!(name("host", "/a/b/c"), some(eq("long")));
    expect_that!(name("host", "/a/x"), some(eq("short")));
    expect_that!(name("host", "/a"), none());
    expect_that!(name("host", "/ab/"), none());
    expect_that!(name("elsewhere", "/a/b/"), none());
}

#[gtest]
fn keys_are_asked_for_unless_the_route_is_public() {
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

/// The caller with a new key is refused again after it was served: a watch brings an old version
/// after a newer one, or the store was restored from a copy. The version in force only grows.
#[gtest]
fn an_older_version_never_replaces_a_newer_one() {
    expect_that!(compare(None, 3), eq(Offered::Taken));
    expect_that!(compare(Some(3), 7), eq(Offered::Taken));
    expect_that!(compare(Some(7), 7), eq(Offered::Same));
    expect_that!(compare(Some(7), 3), eq(Offered::Older { in_force: 7 }));
}

/// The caller's key is taken away while its instance is cut off from the store: the instance
/// cannot hear of it, and must stop serving keys before the bound is over, counted from when its
/// last confirmed read was sent.
#[gtest]
fn an_instance_that_is_cut_off_stops_serving_before_the_bound() {
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
fn only_an_instance_that_has_just_started_lets_requests_wait() {
    let mut vouch = ConfigConfirmation::new(5_000);
    expect_true!(vouch.is_starting(100));
    expect_false!(vouch.is_starting(4_000));
    vouch.confirm(150);
    expect_false!(vouch.is_starting(200));
}

/// A part behind the first runner dies twice under one request. The route allows two runners; the
/// first ones of both chains live, so a third one must not run it, but the second may again.
#[gtest]
fn a_request_runs_on_no_more_living_runners_than_its_route_allows() {
    let [a, b, c] = ["a", "b", "c"].map(Name::from);
    let nobody = |_: &Name, _: u64| false;
    let mut attempts = Attempts::default();
    expect_true!(attempts.allows(&a, 1, 2, nobody));
    attempts.sent(&a, 1);
    attempts.sent(&b, 1);
    expect_false!(attempts.allows(&c, 1, 2, nobody));
    expect_true!(attempts.allows(&b, 1, 2, nobody));
    expect_false!(attempts.allows(&b, 2, 2, nobody));
    // The first one has ended.
    expect_true!(attempts.allows(&c, 1, 2, |id, _| *id == a));
    // A refusal takes a runner off the count, unless an earlier send may have run there.
    attempts.not_run(&b, 1, true);
    expect_false!(attempts.allows(&c, 1, 2, nobody));
    attempts.not_run(&b, 1, false);
    expect_true!(attempts.allows(&c, 1, 2, nobody));
    // However many end, there is an end.
    attempts.sent(&b, 1);
    attempts.sent(&c, 1);
    expect_false!(attempts.allows(&c, 1, 2, |_, _| true));
}

/// A stream's chain breaks. For how long another run may still go on with it is told by its route: on
/// one with long pauses the caller waits twice as long, and giving up after the usual time cut streams
/// that were still awaited.
#[gtest]
fn callers_patience_follows_from_the_route() {
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
    expect_that!(route(500, Some(200)).patience_ms(), eq(2_000));
    expect_that!(route(500, Some(500)).patience_ms(), eq(4_000));
    expect_that!(route(1_000, Some(100)).patience_ms(), eq(4_000));
    expect_that!(route(600, None).timely_pause_ms(), eq(600));
    expect_that!(route(600, None).patience_ms(), eq(4_800));
}

fn room(chain: usize, used_tokens: f64) -> Room {
    Room {
        chain,
        near: false,
        room_tokens: 100_000.0,
        used_tokens,
        silent_ms: 0,
        refusing: false,
        pause_share: 0.0,
    }
}

#[gtest]
fn the_emptier_chain_is_chosen_and_the_near_one_preferred() {
    let rooms = [room(0, 50_000.0), room(1, 30_000.0)];
    expect_that!(choose(&rooms, 1_000.0, FILL), some(eq(1)));
    let near = Room {
        near: true,
        ..room(0, 40_000.0)
    };
    expect_that!(
        choose(&[near, room(1, 30_000.0)], 1_000.0, FILL),
        some(eq(0))
    );
}

/// The load of a lost domain comes to the two that are left. What does not fit is turned away:
/// a chain that takes more than it has room for takes requests back in the middle of their
/// streams, and everybody is late.
#[gtest]
fn a_full_chain_takes_nothing_more() {
    let mut used = 0.0;
    let mut taken = 0;
    while let Some(0) = choose(&[room(0, used)], demand(800, 200), FILL) {
        used += demand(800, 200);
        taken += 1;
    }
    expect_that!(used, le(100_000.0 * FILL));
    expect_that!(taken, ge(100));
}

#[gtest]
fn a_silent_chain_gets_new_work_only_where_no_other_has_room() {
    let silent = Room {
        silent_ms: 400,
        ..room(0, 0.0)
    };
    expect_that!(
        choose(&[silent, room(1, 90_000.0)], 1_000.0, FILL),
        some(eq(1))
    );
    expect_that!(
        choose(&[silent, room(1, 100_000.0)], 1_000.0, FILL),
        some(eq(0))
    );
}

/// A runner whose memory is full refuses sixty requests a second, each of which costs a repeat.
/// Its chain is left alone for a time that doubles, and its room is taken for smaller.
#[gtest]
fn a_chain_that_refuses_is_left_alone_for_longer_each_time() {
    let mut refusals = Refusals::default();
    let mut sent = 0;
    for now in 0..10_000 {
        if !refusals.refusing(now) {
            refusals.refused(now);
            sent += 1;
        }
    }
    expect_that!(sent, le(12));
    expect_that!(refusals.scale(), lt(1.0));
    for now in 20_000..21_000 {
        refusals.taken(now);
    }
    expect_that!(refusals.scale(), eq(1.0));
    let refusing = Room {
        refusing: true,
        pause_share: 0.0,
        ..room(0, 0.0)
    };
    expect_that!(choose(&[refusing], 1.0, FILL), none());
}

/// A failure domain dies and every request fails. All instances together must stay below the
/// bound on further sends, though none knows what the others spend.
#[gtest]
fn further_sends_of_all_instances_stay_below_the_bound() {
    let cfg = SpendingConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut instances = vec![Spending::default(); 6];
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for now in (0..60_000u64).step_by(10) {
        let one = &mut instances[(now / 10 % 6) as usize];
        one.request(now, &cfg);
        requests.push(now);
        if one.take(now, &cfg, 6, Need::Owed) {
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

/// Two of six instances carry all callers when a chain breaks, twice in ten seconds. Their streams
/// are cut although the bound over all has room, unless they may use the others' parts. Counts of
/// the others come 300 ms late.
#[gtest]
fn instances_that_carry_all_callers_may_use_the_others_parts() {
    let cfg = SpendingConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut two = vec![Spending::default(); 2];
    let mut taken = [0, 0];
    for now in (0..10_000u64).step_by(10) {
        two[(now / 10 % 2) as usize].request(now, &cfg);
        if now % 300 == 0 {
            let counts: Vec<Counts> = two.iter_mut().map(|s| s.counts(now, &cfg)).collect();
            two[0].lend(now, &cfg, counts[1], 6);
            two[1].lend(now, &cfg, counts[0], 6);
        }
        for (at, burst) in [(5_000, 0), (9_000, 1)] {
            // Sixty streams of each broke, and are resumed within 100 ms.
            if (at..at + 100).contains(&now) {
                let wanted = two
                    .iter_mut()
                    .map(|s| (0..6).filter(|_| s.take(now, &cfg, 6, Need::Owed)).count());
                taken[burst] += wanted.sum::<usize>();
            }
        }
    }
    expect_that!(taken[0], eq(120));
    expect_that!(taken[1], ge(60));
    expect_that!(taken[0] + taken[1], le(396));
}

/// Seventy instances each have some streams through a runner that dies, and all send as often once
/// more as they may before an exchange tells them what the others did. Together they must stay
/// within the bound; when each was lent a fourth of what all had left, they sent 983 of 962.
#[gtest]
fn seventy_instances_that_break_at_once_stay_within_the_bound() {
    let cfg = SpendingConfig {
        ratio: 0.2,
        slack: 326.0,
        window_ms: 10_000,
    };
    let mut all = vec![Spending::default(); 70];
    for now in (0..10_000).step_by(220) {
        all.iter_mut().for_each(|s| s.request(now, &cfg));
    }
    let own = all[0].counts(10_000, &cfg);
    let others = Counts {
        requests: own.requests * 69,
        repeats: 0,
        ..Counts::default()
    };
    let mut sent = 0;
    for s in &mut all {
        s.lend(10_000, &cfg, others, 70);
        sent += (0..100)
            .filter(|_| s.take(10_000, &cfg, 70, Need::Owed))
            .count();
    }
    let bound = 0.2 * f64::from(own.requests * 70) + 326.0;
    expect_that!(sent as f64, le(bound));
    expect_that!(sent as f64, ge(bound * 0.7));
}

/// What an instance was lent of the others' parts is spent once more by those.
#[gtest]
fn what_was_lent_is_not_spent_twice() {
    const INSTANCES: usize = 6;
    let cfg = SpendingConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut all = vec![Spending::default(); INSTANCES];
    let mut told = vec![Counts::default(); INSTANCES];
    let (mut requests, mut repeats) = (0, 0);
    for now in (0..10_000u64).step_by(10) {
        if now % 300 == 0 {
            for (i, one) in all.iter_mut().enumerate() {
                let mut others = Counts::default();
                let told = told.iter().enumerate().filter(|(j, _)| *j != i);
                told.for_each(|(_, counts)| others += *counts);
                one.lend(now, &cfg, others, INSTANCES);
            }
            told = all.iter_mut().map(|s| s.counts(now, &cfg)).collect();
        }
        // Two lose their chains from the third second on, the others a second before the end.
        for (i, one) in all.iter_mut().enumerate() {
            if now % 50 == 0 {
                one.request(now, &cfg);
                requests += 1;
            }
            let breaks = now >= if i < 2 { 3_000 } else { 9_000 };
            let sent = breaks && one.take(now, &cfg, INSTANCES, Need::Owed);
            repeats += u32::from(sent);
        }
    }
    let bound = 0.2 * f64::from(requests) + 196.0;
    expect_that!(f64::from(repeats), le(bound));
    expect_that!(f64::from(repeats), ge(bound * 0.7));
}

#[gtest]
fn nothing_is_lent_once_most_is_spent() {
    let cfg = SpendingConfig {
        ratio: 0.2,
        slack: 60.0,
        window_ms: 10_000,
    };
    let mut one = Spending::default();
    let spent = Counts {
        requests: 0,
        repeats: 40,
        ..Counts::default()
    };
    one.lend(0, &cfg, spent, 6);
    let taken = (0..100)
        .filter(|_| one.take(0, &cfg, 6, Need::Owed))
        .count();
    // Its own part of the fixed number, and no more.
    expect_that!(taken, eq(8));
}

#[gtest]
fn a_new_lifetime_of_a_runner_is_not_held_against_it() {
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
fn plain_runners_that_fail_come_last() {
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
    // Nothing is sent there any more, so time alone brings it back.
    expect_that!(first(20_000), eq("a"));
}

/// A runner that leaves is named by another instance while this one's watch is silent. It gets no
/// new work from then on; a later lifetime of the same name does.
#[gtest]
fn a_runner_that_leaves_is_heard_of_from_others() {
    let mut runners = Runners::default();
    let entry = runner("a", "d", "a100");
    runners.put(&entry);
    expect_false!(runners.mark_draining("a", entry.born_ms + 1));
    expect_true!(runners.mark_draining("a", entry.born_ms));
    expect_false!(runners.mark_draining("a", entry.born_ms));
    let known = runners.entry("a").expect("known").clone();
    expect_false!(runners.usable(&known, 0));
}

/// Full runners refuse many new requests, and a chain breaks a moment later. What the new ones may
/// not take is there for the streams; those may take all.
#[gtest]
fn requests_that_can_be_refused_leave_some_repeats_to_those_that_cannot() {
    let cfg = SpendingConfig {
        ratio: 0.2,
        slack: 196.0,
        window_ms: 10_000,
    };
    let mut one = Spending::default();
    (0..100).for_each(|_| one.request(0, &cfg));
    let refusable = (0..1_000).filter(|_| one.take(0, &cfg, 6, Need::Refusable));
    let refusable = refusable.count();
    let owed = (0..1_000).filter(|_| one.take(0, &cfg, 6, Need::Owed));
    let owed = owed.count();
    let mut other = Spending::default();
    (0..100).for_each(|_| other.request(0, &cfg));
    let all = (0..1_000).filter(|_| other.take(0, &cfg, 6, Need::Owed));
    expect_that!(refusable + owed, eq(all.count()));
    expect_that!(owed, ge(10));
    expect_that!(refusable, ge(owed));

    // What others have left is for both as well, down to what is kept.
    other.lend(0, &cfg, Counts::default(), 6);
    let refusable = (0..1_000).filter(|_| other.take(0, &cfg, 6, Need::Refusable));
    expect_that!(refusable.count(), gt(0));
    let owed = (0..1_000).filter(|_| other.take(0, &cfg, 6, Need::Owed));
    expect_that!(owed.count(), gt(0));
}
