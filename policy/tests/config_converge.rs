//! Convergence of one instance: hand-written single-fault scenarios.

#[path = "support/convergence.rs"]
#[allow(
    dead_code,
    reason = "the other tests of the configuration use the rest"
)]
mod convergence;

use convergence::*;

use googletest::prelude::*;
use jacinthweir_policy::config::check::{
    AcceptedRecord, ApplyRecord, InForceRecord, ReportedOutcome, Violation, check_in_force_within,
    check_never_reverts, check_reported_outcomes,
};
use jacinthweir_policy::config::converge::{Alarm, Event, PeerView, Source};

#[gtest]
fn a_joining_instance_serves_nothing_before_it_has_a_head() {
    // An instance that starts while the platform is unavailable must refuse requests. It serves
    // once a peer has announced its head and the parts have been fetched.
    let heads = lineage(3);
    let mut instance = Instance::start();
    instance.event(Event::PlatformFailed);
    instance.advance(60_000);
    expect_that!(instance.serves(), eq(false));
    instance.members(3);
    instance.peer(&heads[2]);
    expect_that!(instance.serves(), eq(false));
    instance.fetch(Fetching::Good);
    expect_that!(instance.serves(), eq(true));
    expect_that!(instance.revision(), eq(3));
}

#[gtest]
fn joining_after_a_platform_rollback_does_not_start_from_the_older_copy() {
    // The platform was restored to revision 1 while peers have revision 3 in force. A joining
    // instance reads the platform first. Serving revision 1 would revert an accepted change for its
    // callers.
    let heads = lineage(3);
    let mut instance = Instance::start();
    instance.members(3);
    instance.platform(Some(&heads[0]), 9);
    instance.fetch(Fetching::Good);
    instance.advance(GRACE_MS);
    expect_that!(instance.revision(), eq(0));
    instance.peer(&heads[2]);
    instance.fetch(Fetching::Good);
    expect_that!(
        instance
            .records
            .iter()
            .map(|r| r.revision)
            .collect::<Vec<_>>(),
        eq(&vec![3])
    );
}

#[gtest]
fn stale_heads_and_late_watch_events_are_ignored_and_counted() {
    let heads = lineage(3);
    let mut instance = Instance::serving(&heads);
    instance.platform(Some(&heads[1]), 2);
    instance.peer(&heads[0]);
    instance.fetch(Fetching::Good);
    expect_that!(instance.revision(), eq(3));
    expect_that!(instance.machine.counters().heads_stale, eq(2));
    expect_that!(instance.alarms, is_empty());
}

#[gtest]
fn the_accepted_head_is_written_back_to_a_restored_platform() {
    // The platform is restored from a backup and shows revision 1 again. Instances must keep
    // serving revision 3, raise one alarm, and write revision 3 back over exactly that version.
    let heads = lineage(3);
    let mut instance = Instance::serving(&heads);
    for _ in 0..3 {
        instance.platform(Some(&heads[0]), 20);
        instance.advance(ROLLBACK_CONFIRM_MS);
    }
    expect_that!(instance.revision(), eq(3));
    expect_that!(
        instance.alarms,
        eq(&vec![Alarm::HeadRolledBack { in_force: 3 }])
    );
    let (head, over) = instance.republish.clone().unwrap();
    expect_that!((head.revision, over), eq((3, 20)));
    for part in &head.parts {
        expect_that!(instance.machine.part_text(&part.hash), some(anything()));
    }
}

#[gtest]
fn a_head_of_the_same_revision_with_other_content_is_refused() {
    // After a restore to revision 1, different revisions 2 and 3 are committed. Their numbers match
    // but their history does not; adopting them would silently revert the accepted revision 2.
    let heads = lineage(2);
    let mut instance = Instance::serving(&heads);
    let fork = commit(Some(&heads[0]), 7);
    let fork_on = commit(Some(&fork), 8);
    for head in [&fork, &fork_on, &fork_on] {
        instance.platform(Some(head), 30);
        instance.fetch(Fetching::Good);
    }
    expect_that!(instance.revision(), eq(2));
    expect_that!(instance.machine.counters().heads_foreign, eq(3));
    expect_that!(instance.alarms, len(eq(2)));
    expect_that!(instance.republish, none());
}

#[gtest]
fn a_lagging_instance_does_not_adopt_a_fork_from_the_platform() {
    // Peers have revision 2 in force and this instance still has 1. The platform was restored to 1
    // and then received a different revision 2, which descends from revision 1. Adopting it would
    // put two contents in force under one revision number.
    let heads = lineage(2);
    let mut instance = Instance::serving(&heads[..1]);
    instance.members(2);
    instance.platform(Some(&commit(Some(&heads[0]), 7)), 30);
    instance.fetch(Fetching::Good);
    expect_that!(instance.revision(), eq(1));
    instance.peer(&heads[1]);
    instance.fetch(Fetching::Good);
    expect_that!(instance.machine.in_force().unwrap().head, eq(&heads[1]));
}

#[gtest]
fn a_partitioned_instance_stops_serving_until_confirmed() {
    // An instance is partitioned from the platform and its peers. After the configured time it must
    // refuse requests, because a newer revision may be in force elsewhere.
    let heads = lineage(1);
    let mut instance = Instance::serving(&heads);
    instance.event(Event::PlatformFailed);
    instance.advance(UNCONFIRMED_MS - 1);
    expect_that!(instance.serves(), eq(true));
    instance.advance(1);
    expect_that!(instance.serves(), eq(false));
    instance.members(1);
    expect_that!(instance.serves(), eq(true));
}

#[gtest]
fn a_partitioned_instance_that_removed_its_peers_does_not_serve_alone() {
    // A fully partitioned instance has removed its silent peers after half an hour. On its own it
    // would form a majority of one and serve its old revision again.
    let heads = lineage(1);
    let mut instance = Instance::serving(&heads);
    instance.advance(UNCONFIRMED_MS);
    expect_that!(instance.serves(), eq(false));
    instance.advance(1_800_000);
    instance.event(Event::Members(vec![]));
    expect_that!(instance.serves(), eq(false));
    instance.platform(Some(&heads[0]), 1);
    expect_that!(instance.serves(), eq(true));
    // Once the platform has confirmed the revision, the removal of the others takes effect.
    instance.event(Event::Members(vec![]));
    instance.event(Event::PlatformFailed);
    instance.advance(UNCONFIRMED_MS);
    expect_that!(instance.serves(), eq(true));
}

#[gtest]
fn a_minority_of_peers_or_a_stale_answer_confirms_nothing() {
    let heads = lineage(1);
    let mut instance = Instance::serving(&heads);
    let started = instance.now;
    instance.advance(UNCONFIRMED_MS);
    let view = |name: &str, heard_at| PeerView {
        name: name.into(),
        revision: 1,
        heard_at,
    };
    let one = vec![
        view("a", Some(instance.now)),
        view("b", None),
        view("c", None),
    ];
    let ahead = PeerView {
        revision: 2,
        ..view("d", Some(instance.now))
    };
    instance.event(Event::Members([one, vec![ahead]].concat()));
    expect_that!(instance.serves(), eq(false));
    // The instance was suspended between sending the request and reading the answer.
    let head = Some(heads[0].clone());
    instance.event(Event::PlatformHead {
        head,
        version: 1,
        asked_at: started,
    });
    expect_that!(instance.serves(), eq(false));
}

#[gtest]
fn altered_parts_are_rejected_and_fetched_elsewhere() {
    let heads = lineage(1);
    let mut instance = Instance::start();
    instance.members(1);
    instance.peer(&heads[0]);
    let first = instance.fetches[0].1.clone();
    instance.fetch(Fetching::Altered);
    let second = instance.fetches[0].1.clone();
    instance.fetch(Fetching::Fails);
    expect_that!(first, eq(&Source::Peer("patos-1".into())));
    expect_that!(second, eq(&Source::Peer("olinda-1".into())));
    expect_that!(instance.fetches[0].1, eq(&Source::Platform));
    expect_that!(instance.machine.counters().parts_refused, eq(2));
    instance.fetch(Fetching::Good);
    expect_that!(instance.revision(), eq(1));
}

#[gtest]
fn the_check_rejects_invalid_histories() {
    let record = |revision, content: &str, at_ms| InForceRecord {
        instance: "a".into(),
        incarnation: 1,
        at_ms,
        revision,
        content: content.into(),
    };
    let accepted = [AcceptedRecord {
        at_ms: 10,
        revision: 2,
        content: "y".into(),
    }];
    let good = [record(1, "x", 5), record(2, "y", 20)];
    expect_that!(check_never_reverts(&accepted, &good), ok(eq(&())));
    let back = [record(2, "y", 5), record(1, "x", 20)];
    let wanted = Violation::Reverted {
        instance: "a".into(),
        before: 2,
        after: 1,
    };
    expect_that!(check_never_reverts(&accepted, &back), err(eq(&wanted)));
    let other = [record(2, "z", 5)];
    let wanted = Violation::ConflictingContent {
        instance: "a".into(),
        revision: 2,
    };
    expect_that!(check_never_reverts(&accepted, &other), err(eq(&wanted)));
    let names = ["a".into()];
    expect_that!(
        check_in_force_within(&names, &accepted, &good, 10),
        ok(eq(&()))
    );
    expect_that!(
        check_in_force_within(&names, &accepted, &good, 9),
        err(anything())
    );
}

#[gtest]
fn the_check_rejects_false_reports_to_operators() {
    let heads = lineage(2);
    let commits = &heads[1].history;
    let record = |change: &str, outcome| ApplyRecord {
        change: change.into(),
        outcome,
    };
    let good = [
        record("c0", ReportedOutcome::Committed(1)),
        record("x", ReportedOutcome::Refused),
    ];
    expect_that!(check_reported_outcomes(&good, commits), ok(eq(&())));
    let lost = [record("x", ReportedOutcome::Committed(2))];
    let wanted = Violation::LostCommit {
        change: "x".into(),
        revision: 2,
    };
    expect_that!(check_reported_outcomes(&lost, commits), err(eq(&wanted)));
    let refused = [record("c1", ReportedOutcome::Refused)];
    let wanted = Violation::RefusedButCommitted {
        change: "c1".into(),
        revision: 2,
    };
    expect_that!(check_reported_outcomes(&refused, commits), err(eq(&wanted)));
    let twice = [commits.clone(), commits.clone()].concat();
    expect_that!(
        check_reported_outcomes(&[], &twice),
        err(eq(&Violation::CommittedTwice {
            change: "c1".into()
        }))
    );
}
