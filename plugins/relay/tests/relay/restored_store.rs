//! The store comes back from an older copy: what was written since is gone, and revisions are given out again.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::RelaySettings;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, LETHAL, Runner, TEST_TIMEOUT, configuration, get, run_single_threaded, send_request,
    wait_for_chains,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Kind of the objects that say which requests are held.
const HELD: &str = "jacinthweir-quarantine";

/// A newer configuration has the revision of the one in force, which the store has lost.
#[gtest]
fn a_configuration_at_a_revision_that_was_seen_before_is_read() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let snapshot = cluster.store.snapshot();
        cluster.store.put("config", "main", &configuration(2));
        let revision = cluster.store.revision();
        cluster.wait_for_version(2).await;

        cluster.store.restore(&snapshot);
        cluster.store.advance_revision(revision - 1);
        cluster.store.put("config", "main", &configuration(3));
        expect_that!(cluster.store.revision(), eq(revision));
        cluster.wait_for_version(3).await;
    });
}

/// An instance that starts reads a configuration that is older than what the others have in force: keys that
/// were taken away since would be served there.
#[gtest]
fn an_instance_that_reads_an_older_configuration_than_others_have_serves_nobody() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let snapshot = cluster.store.snapshot();
        cluster.store.put("config", "main", &configuration(2));
        cluster.wait_for_version(2).await;
        cluster.store.restore(&snapshot);
        cluster.runners.iter().for_each(|r| r.register("ready"));

        let (new, _relay) = cluster.start_unready_instance("new").await;
        until_ready(&new, false).await;
        let got = send_request(new.listen.callers, LOOKUP, "", "").await;
        expect_that!(got.status, eq(503));
        cluster.store.put("config", "main", &configuration(2));
        until_ready(&new, true).await;
        let got = send_request(new.listen.callers, LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// Until an instance that knows another one is ready, or is not.
async fn until_ready(at: &RelaySettings, wanted: bool) {
    let found = async {
        loop {
            let dump = get(at.listen.operators, "GET /dump HTTP/1.1").await;
            let ready = get(at.listen.ready, "GET /api/ready HTTP/1.1").await;
            let knows = dump.body.contains("\"name\": \"one\"");
            if knows && (ready.status == 200) == wanted {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, found)
        .await
        .expect("it is so in the end");
}

/// A request is held, and the store loses that it is: all instances that start later would learn it anew.
#[gtest]
fn a_held_request_that_the_store_lost_is_written_again() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let snapshot = cluster.store.snapshot();
        let held = async {
            while cluster.store.names(HELD).is_empty() {
                wait_for_chains(&cluster.settings, 1).await;
                send_request(cluster.callers(), NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(TEST_TIMEOUT, held).await.expect("it is written");
        let runs: usize = cluster.runners.iter().map(|r| r.lethal_run_count()).sum();
        cluster.store.restore(&snapshot);
        cluster.runners.iter().for_each(|r| r.register("ready"));
        let written = async {
            while cluster.store.names(HELD).is_empty() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, written)
            .await
            .expect("it is written again");
        let after: usize = cluster.runners.iter().map(|r| r.lethal_run_count()).sum();
        expect_that!(after, eq(runs));
    });
}

/// A runner registers after the restore at a revision up to which everything was known before it.
#[gtest]
fn a_runner_that_registers_after_a_restore_is_seen() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let snapshot = cluster.store.snapshot();
        cluster.store.advance_revision(snapshot.revision() + 20);
        let late = Runner::spawn(&cluster.store, "late", "pool", "a").await;
        cluster.wait_for_dump("\"late\"").await;

        cluster.store.restore(&snapshot);
        let _new = Runner::spawn(&cluster.store, "new", "pool", "a").await;
        cluster.store.advance_revision(snapshot.revision() + 40);
        late.register("ready");
        cluster.wait_for_dump("\"new\"").await;
    });
}
