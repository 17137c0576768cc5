//! Calls to the store and to runners that are answered or refused at once, always the same.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, LETHAL, Runner, TEST_TIMEOUT, configuration, run_single_threaded, send_request,
    wait_for_chains,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Time for which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Kind of the objects of what is quarantined.
const QUARANTINE: &str = "jacinthweir-quarantine";

/// Reads of the configuration in [`WINDOW`]: twice as many as one in 1.4 s, which confirm it while all is well.
const MAX_CONFIGURATION_READS: usize = 6;

/// Guards against ten reads a second by each instance, of a megabyte each, beside a desired state that cannot be
/// decoded, or none.
#[gtest]
fn a_configuration_that_a_read_does_not_confirm_is_read_rarely() {
    run_single_threaded(async {
        for spec in [Some(json!({ "version": "two" })), None] {
            let cluster = Cluster::open().await;
            match &spec {
                Some(spec) => cluster.store.put("config", "main", spec),
                None => cluster.store.remove("config", "main"),
            }
            let before = cluster.store.reads("config");
            sleep(WINDOW).await;
            let reads = cluster.store.reads("config") - before;
            expect_that!(reads, le(MAX_CONFIGURATION_READS), "{spec:?}");

            cluster.store.put("config", "main", &configuration(3));
            cluster.wait_for_version(3).await;
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.status, eq(200), "{spec:?}");
        }
    });
}

/// Reports in [`WINDOW`] that a runner is asked for which takes no order: at most one in 1.6 s, after five faster
/// ones.
const MAX_REPORTS: usize = 8;

/// Guards against ten requests a second for the report of a runner that takes no order, and against one that gets
/// none once it takes them.
#[gtest]
fn a_runner_that_stays_busy_is_asked_rarely_and_gets_its_order_later() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let runner = &cluster.runners[0];
        runner.is_busy.set(true);
        runner.restart();
        while runner.layers().is_some() {
            sleep(Duration::from_millis(20)).await;
        }
        let before = runner.reports.get();
        sleep(WINDOW).await;
        expect_that!(runner.reports.get() - before, le(MAX_REPORTS));

        runner.is_busy.set(false);
        wait_until(|| runner.layers().is_some()).await;
    });
}

/// Guards against a fleet without orders, in which chains stay broken: the lease object is not a lease, since
/// another writer replaced it, and was taken for a missing one, whose creation the store refuses. Its term may be
/// one that no other follows, at which an instance ended.
#[gtest]
fn a_lease_that_another_writer_replaced_is_taken_over() {
    run_single_threaded(async {
        for lease in [
            json!({ "holder": 5 }),
            json!({ "holder": "x", "term": u64::MAX, "renewed": 1 }),
        ] {
            let cluster = Cluster::open().await;
            cluster.store.put("jacinthweir-leases", "orders", &lease);
            cluster.wait_for_dump("\"gives_orders\": null").await;
            let runner = Runner::spawn(&cluster.store, "a3", "pool", "a").await;
            wait_until(|| runner.layers().is_some()).await;
        }
    });
}

/// Guards against crashes that are not written, and not known to instances that start later, because the store
/// refuses to remove an object that is obsolete.
#[gtest]
fn a_removal_that_the_store_refuses_holds_up_no_other_write() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        let former = json!({ "request": vec![7; 16], "ends": [], "void": [], "age_ms": 0 });
        cluster.store.put(QUARANTINE, "former", &former);
        cluster.store.refuses_removals.set(true);
        drop(cluster.relay.take());
        let (new, _relay) = cluster.start_ready_instance("new").await;
        let written = async {
            while cluster.store.names(QUARANTINE).len() < 2 {
                wait_for_chains(&new, 1).await;
                send_request(new.listen.callers, NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(200)).await;
            }
        };
        timeout(TEST_TIMEOUT, written).await.expect("a crash");
    });
}

/// Guards against a quarantine that an instance never learns of, since the list that it read at its start ended
/// early.
#[gtest]
fn a_partial_list_of_what_is_quarantined_is_read_again() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        cluster.store.page.set(Some(1));
        let nameless = json!({ "metadata": null, "spec": null });
        cluster.store.put_unseen(QUARANTINE, "!", nameless);
        cluster.store.put(QUARANTINE, "x", &Value::Null);
        drop(cluster.relay.take());
        let before = cluster.store.lists(QUARANTINE);
        let (_settings, _relay) = cluster.start_ready_instance("new").await;
        let lists = || cluster.store.lists(QUARANTINE) - before;
        wait_until(|| lists() >= 2).await;
        cluster.store.remove_unseen(QUARANTINE, "!");
        // Whole: nothing is read again.
        let partial = lists();
        wait_until(|| lists() > partial).await;
        sleep(WINDOW).await;
        expect_that!(lists(), eq(partial + 1));
    });
}

async fn wait_until(condition: impl Fn() -> bool) {
    let fulfilled = async {
        while !condition() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, fulfilled).await.expect("fulfilled");
}
