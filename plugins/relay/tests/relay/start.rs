//! Start of an instance beside others that run.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::RelaySettings;
use tokio::time::{sleep, timeout};

use crate::standin::{Cluster, TEST_TIMEOUT, get, run_single_threaded};

/// Kind of the runners' entries.
const ENTRIES: &str = "servers";

/// Guards against a list of all runners for each instance that starts: the store's link would be
/// occupied for as many times the list as there are instances.
#[gtest]
fn starting_instances_take_the_runners_over_from_others() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let before = cluster.store.lists(ENTRIES);
        let mut started = Vec::new();
        for name in ["two", "three", "four", "five"] {
            started.push(cluster.start_instance(name).await);
        }
        expect_that!(cluster.store.lists(ENTRIES), eq(before));
    });
}

/// Guards against an instance that took the runners over and does not follow them.
#[gtest]
fn an_instance_that_took_the_runners_over_follows_their_changes() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (two, _relay) = cluster.start_instance("two").await;
        cluster.store.remove(ENTRIES, "a1");
        let forgotten = async {
            while dump(&two).await.contains("\"a1\"") {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TEST_TIMEOUT, forgotten)
            .await
            .expect("the runner to be gone");
    });
}

async fn dump(settings: &RelaySettings) -> String {
    get(settings.listen.operators, "GET /dump HTTP/1.1")
        .await
        .body
}
