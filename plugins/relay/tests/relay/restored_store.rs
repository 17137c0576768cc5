//! The store comes back from an older copy: what was written since is gone, and revisions are given out again.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::RelaySettings;
use tokio::time::{sleep, timeout};

use crate::standin::{
    LETHAL, LONG, Runner, Site, ask, configuration, on_one_thread, request, wait_for_chains,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Kind of the objects that say which requests are held.
const HELD: &str = "jacinthweir-quarantine";

/// A newer configuration has the revision of the one in force, which the store has lost.
#[gtest]
fn a_configuration_at_a_revision_that_was_seen_before_is_read() {
    on_one_thread(async {
        let site = Site::open().await;
        let copy = site.store.copy();
        site.store.put("config", "main", &configuration(2));
        let revision = site.store.revision();
        site.in_force(2).await;

        site.store.restore(&copy);
        site.store.advance_to(revision - 1);
        site.store.put("config", "main", &configuration(3));
        expect_that!(site.store.revision(), eq(revision));
        site.in_force(3).await;
    });
}

/// An instance that starts reads a configuration that is older than what the others have in force: keys that
/// were taken away since would be served there.
#[gtest]
fn an_instance_that_reads_an_older_configuration_than_others_have_serves_nobody() {
    on_one_thread(async {
        let site = Site::open().await;
        let copy = site.store.copy();
        site.store.put("config", "main", &configuration(2));
        site.in_force(2).await;
        site.store.restore(&copy);
        site.runners.iter().for_each(|r| r.register("ready"));

        let (new, _relay) = site.started("new").await;
        until_ready(&new, false).await;
        let got = request(new.listen.callers, LOOKUP, "", "").await;
        expect_that!(got.status, eq(503));
        site.store.put("config", "main", &configuration(2));
        until_ready(&new, true).await;
        let got = request(new.listen.callers, LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// Until an instance that knows another one is ready, or is not.
async fn until_ready(at: &RelaySettings, wanted: bool) {
    let found = async {
        loop {
            let dump = ask(at.listen.operators, "GET /dump HTTP/1.1").await;
            let ready = ask(at.listen.ready, "GET /api/ready HTTP/1.1").await;
            let knows = dump.body.contains("\"name\": \"one\"");
            if knows && (ready.status == 200) == wanted {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LONG, found).await.expect("it is so in the end");
}

/// A request is held, and the store loses that it is: all instances that start later would learn it anew.
#[gtest]
fn a_held_request_that_the_store_lost_is_written_again() {
    on_one_thread(async {
        let site = Site::open().await;
        let copy = site.store.copy();
        let held = async {
            while site.store.names(HELD).is_empty() {
                wait_for_chains(&site.settings, 1).await;
                request(site.callers(), NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(LONG, held).await.expect("it is written");
        let runs: usize = site.runners.iter().map(|r| r.lethal_runs()).sum();
        site.store.restore(&copy);
        site.runners.iter().for_each(|r| r.register("ready"));
        let written = async {
            while site.store.names(HELD).is_empty() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LONG, written).await.expect("it is written again");
        let after: usize = site.runners.iter().map(|r| r.lethal_runs()).sum();
        expect_that!(after, eq(runs));
    });
}

/// A runner registers after the restore at a revision up to which everything was known before it.
#[gtest]
fn a_runner_that_registers_after_a_restore_is_seen() {
    on_one_thread(async {
        let site = Site::open().await;
        let copy = site.store.copy();
        site.store.advance_to(copy.revision() + 20);
        let late = Runner::spawn(&site.store, "late", "pool", "a").await;
        site.shows("\"late\"").await;

        site.store.restore(&copy);
        let _new = Runner::spawn(&site.store, "new", "pool", "a").await;
        site.store.advance_to(copy.revision() + 40);
        late.register("ready");
        site.shows("\"new\"").await;
    });
}
