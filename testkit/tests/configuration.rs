//! Tests of the configuration with real processes that are frozen, cut off or restarted, and with a
//! platform that is restored to an older state. The revisions that came into force are read from
//! the logs of the instances and checked by the policy.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_policy::config::check::{InForceRecord, check_never_reverts};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::relay::Link;
use jacinthweir_testkit::{Fleet, FleetCfg};
use jacinthweir_wire::peer::Head;

/// Maximum wait for a condition before the test fails; no assertion depends on a shorter wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Index of the last instance, which the tests freeze, cut off or restart.
const LAST: usize = 3;

async fn start_fleet() -> Fleet {
    let mut cfg = FleetCfg::small(Deployment::Associacao);
    cfg.instances = LAST + 1;
    cfg.runners = 1;
    cfg.services = 1;
    cfg.timing.unconfirmed_ms = 3_000;
    let fleet = Fleet::start(cfg).await.expect("the fleet starts");
    fleet.apply().await.expect("the schema is applied");
    fleet
}

/// Applies the sample with another token limit through an instance and returns the revision.
async fn apply(fleet: &Fleet, at: usize, max_tokens: u32) -> u64 {
    let text = std::fs::read_to_string(fleet.deployment.schema()).unwrap();
    let changed = text.replacen(
        "\"max_tokens\": 512",
        &format!("\"max_tokens\": {max_tokens}"),
        1,
    );
    let path = fleet.folder().join(format!("{max_tokens}.jsonc"));
    std::fs::write(&path, changed).unwrap();
    let out = fleet
        .jwctl(at, &["--json", "apply", &path.display().to_string()])
        .await
        .unwrap();
    let reply: serde_json::Value = serde_json::from_str(&out.out).expect(&out.err);
    reply["revision"].as_u64().unwrap()
}

/// Waits until a condition holds; fails with `what` after [`WAIT_TIMEOUT`].
async fn wait_until<F: Future<Output = bool>>(what: &str, done: impl Fn() -> F) {
    let wait = async {
        while !done().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect(what);
}

/// Returns whether an instance has a revision in force and confirms it as current.
async fn serves_revision(fleet: &Fleet, at: usize, revision: u64) -> bool {
    let instance = &fleet.instances[at];
    let status = instance.operator().unwrap().status().await;
    status.is_ok_and(|status| {
        let own = status
            .instances
            .iter()
            .find(|i| i.member.name == instance.name);
        status.confirmed && own.is_some_and(|own| own.member.revision == revision)
    })
}

/// Returns the revisions that an instance put in force, in the order of its log. Each start begins a
/// new incarnation.
fn in_force_records(fleet: &Fleet, at: usize) -> Vec<InForceRecord> {
    let instance = &fleet.instances[at];
    let mut incarnation = 0;
    let mut records = Vec::new();
    for line in instance.process.log().lines() {
        incarnation += u64::from(line.contains(" started, incarnation "));
        let revision = line.split("revision ").nth(1);
        let revision = revision.and_then(|rest| rest.split_once(" is in force"));
        if let Some(revision) = revision.and_then(|(number, _)| number.parse().ok()) {
            let (instance, content) = (instance.name.clone(), format!("{revision}").into());
            records.push(InForceRecord {
                instance,
                incarnation,
                at_ms: 0,
                revision,
                content,
            });
        }
    }
    records
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_frozen_over_several_revisions_reaches_the_newest() {
    // One instance is frozen while three schemas are applied. When it resumes, old answers and
    // watch events are waiting in its sockets. It must reach the newest revision and never revert.
    let fleet = start_fleet().await;
    fleet.instances[LAST].process.freeze().await.unwrap();
    let mut newest = 1;
    for n in 0..3 {
        // A plan at an instance that has not yet received the last commit correctly results in a
        // conflict.
        wait_until("the last is in force", || {
            serves_revision(&fleet, n, newest)
        })
        .await;
        newest = apply(&fleet, n, 600 + n as u32).await;
    }
    fleet.instances[LAST].process.wake().unwrap();
    for at in 0..=LAST {
        wait_until("the newest is in force", || {
            serves_revision(&fleet, at, newest)
        })
        .await;
        let records = in_force_records(&fleet, at);
        expect_that!(
            records.last().map(|record| record.revision),
            some(eq(newest))
        );
        expect_that!(check_never_reverts(&[], &records), ok(eq(&())));
    }
    fleet.stop().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_cut_off_from_everything_refuses_until_it_is_back() {
    // The link of one instance to the platform is cut and all others are frozen. It refuses its
    // callers, since newer revisions may be in force elsewhere, until the others resume.
    let fleet = start_fleet().await;
    fleet.platform_links[LAST].set(Link::Cut);
    for instance in &fleet.instances[..LAST] {
        instance.process.freeze().await.unwrap();
    }
    wait_until("it refuses", async || {
        !serves_revision(&fleet, LAST, 1).await
    })
    .await;
    for instance in &fleet.instances[..LAST] {
        instance.process.wake().unwrap();
    }
    wait_until("it serves again", || serves_revision(&fleet, LAST, 1)).await;
    let newest = apply(&fleet, 0, 600).await;
    wait_until("it follows its peers", || {
        serves_revision(&fleet, LAST, newest)
    })
    .await;
    fleet.stop().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_restarts_after_a_platform_restore_keeps_the_accepted_revision() {
    // The platform is restored to revision 1 after revision 2 was accepted, and an instance
    // restarts at that moment. It reads revision 1 from the platform and must not serve with it.
    // The other instances write revision 2 back.
    let mut fleet = start_fleet().await;
    let admin = fleet.platform_admin();
    admin.snapshot().await.unwrap();
    let accepted = apply(&fleet, 0, 600).await;
    for at in 0..=LAST {
        wait_until("in force everywhere", || {
            serves_revision(&fleet, at, accepted)
        })
        .await;
    }
    admin.restore().await.unwrap();
    fleet.restart_instance(LAST).await.unwrap();
    wait_until("the restarted instance serves", || {
        serves_revision(&fleet, LAST, accepted)
    })
    .await;
    wait_until("the head is written back", async || {
        let objects = admin.objects().await.unwrap();
        let head = objects
            .iter()
            .find(|object| object.key == "config/head")
            .unwrap();
        let head: Head = serde_json::from_str(&head.value).unwrap();
        head.revision == accepted
    })
    .await;
    for at in 0..=LAST {
        let last_incarnation = in_force_records(&fleet, at)
            .iter()
            .map(|r| r.incarnation)
            .max();
        let mut records = in_force_records(&fleet, at);
        records.retain(|record| at != LAST || Some(record.incarnation) == last_incarnation);
        expect_that!(check_never_reverts(&[], &records), ok(eq(&())));
        if at == LAST {
            expect_that!(
                records.iter().all(|record| record.revision == accepted),
                eq(true)
            );
        }
    }
    fleet.stop().await.unwrap();
}
