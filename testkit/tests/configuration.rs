//! The configuration on real processes that freeze, are cut off or restart, and on a platform
//! that goes back. What came into force is read from the instances' logs and judged by the
//! policy's check.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_policy::config::check::{InForceRecord, check_never_reverts};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::relay::Link;
use jacinthweir_testkit::{Fleet, FleetCfg};
use jacinthweir_wire::peer::Head;

/// How long something is waited for before the test gives up; no verdict hangs on less.
const PATIENCE: Duration = Duration::from_secs(60);
const LAST: usize = 3;

async fn fleet() -> Fleet {
    let mut cfg = FleetCfg::small(Deployment::Associacao);
    cfg.instances = LAST + 1;
    cfg.runners = 1;
    cfg.services = 1;
    cfg.timing.unconfirmed_ms = 3_000;
    let fleet = Fleet::start(cfg).await.expect("the fleet starts");
    fleet.apply().await.expect("the schema is applied");
    fleet
}

/// Applies the sample with another number of tokens, at an instance, and gives the revision.
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

async fn until<F: Future<Output = bool>>(what: &str, done: impl Fn() -> F) {
    let wait = async {
        while !done().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.expect(what);
}

/// Whether an instance has a revision in force and vouches for it.
async fn serves(fleet: &Fleet, at: usize, revision: u64) -> bool {
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

/// What an instance put in force, in the order of its log; a start begins a new incarnation.
fn in_force(fleet: &Fleet, at: usize) -> Vec<InForceRecord> {
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
async fn an_instance_frozen_over_several_revisions_goes_to_the_newest() {
    // One instance stands still while three schemas are applied. When it wakes, old answers and
    // watch events lie in its sockets. It ends at the newest revision and never goes back.
    let fleet = fleet().await;
    fleet.instances[LAST].process.freeze().unwrap();
    let mut newest = 1;
    for n in 0..3 {
        // An operator who plans at an instance that has not heard of the last commit is told of a
        // conflict, truthfully.
        until("the last is in force", || serves(&fleet, n, newest)).await;
        newest = apply(&fleet, n, 600 + n as u32).await;
    }
    fleet.instances[LAST].process.wake().unwrap();
    for at in 0..=LAST {
        until("the newest is in force", || serves(&fleet, at, newest)).await;
        let records = in_force(&fleet, at);
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
    // Its link to the platform is cut and all other instances stand still. Its callers are
    // refused, since newer revisions may be in force elsewhere; then the others wake.
    let fleet = fleet().await;
    fleet.platform_links[LAST].set(Link::Cut);
    for instance in &fleet.instances[..LAST] {
        instance.process.freeze().unwrap();
    }
    until("it refuses", async || !serves(&fleet, LAST, 1).await).await;
    for instance in &fleet.instances[..LAST] {
        instance.process.wake().unwrap();
    }
    until("it serves again", || serves(&fleet, LAST, 1)).await;
    let newest = apply(&fleet, 0, 600).await;
    until("it follows its peers", || serves(&fleet, LAST, newest)).await;
    fleet.stop().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_restarts_after_the_platform_went_back_keeps_the_accepted_revision() {
    // The platform is restored to revision 1 after 2 was accepted, and an instance restarts at
    // that moment. It reads revision 1 from the platform and must not serve by it. The others
    // write revision 2 back.
    let mut fleet = fleet().await;
    let admin = fleet.platform_admin();
    admin.snapshot().await.unwrap();
    let accepted = apply(&fleet, 0, 600).await;
    for at in 0..=LAST {
        until("in force everywhere", || serves(&fleet, at, accepted)).await;
    }
    admin.restore().await.unwrap();
    fleet.restart_instance(LAST).await.unwrap();
    until("the restarted instance serves", || {
        serves(&fleet, LAST, accepted)
    })
    .await;
    until("the head is written back", async || {
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
        let last_life = in_force(&fleet, at).iter().map(|r| r.incarnation).max();
        let mut records = in_force(&fleet, at);
        records.retain(|record| at != LAST || Some(record.incarnation) == last_life);
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
