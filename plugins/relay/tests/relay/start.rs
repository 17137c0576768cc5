//! Start of an instance beside others that run.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use jacinthweir_relay::{Relay, RelaySettings};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, Runner, Store, TEST_TIMEOUT, configuration, get, open_shared_link,
    run_single_threaded, settings,
};

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

/// Guards against reads that none of many starting instances completes: each would be given up while
/// the others take the store's link, and made again, for as long as the instances are as many.
#[gtest]
fn instances_that_share_the_link_of_the_store_read_the_configuration_once() {
    run_single_threaded(async {
        for count in [8, 16] {
            expect_that!(lists_of_a_start(count).await, eq(count));
        }
    });
}

/// Starts `count` instances at once behind a link that carries the configuration ten times a second.
/// Returns how often they listed it until all of them were ready.
async fn lists_of_a_start(count: usize) -> usize {
    let (store, address) = Store::spawn().await;
    let keys: Vec<String> = (0..2_000).map(|n| format!("key-{n:046}")).collect();
    let mut large = configuration(1);
    large["tenants"] = json!([{ "name": "org", "apiKeys": keys }]);
    store.put("config", "main", &large);
    let _runner = Runner::spawn(&store, "p1", "orders", "a").await;
    let link = open_shared_link(address, 10.0 * large.to_string().len() as f64).await;
    let mut instances: Vec<RelaySettings> = (0..count).map(|_| settings(link)).collect();
    let seed = instances[0].listen.peers;
    for (i, instance) in instances.iter_mut().enumerate() {
        instance.name = format!("i{i}").into();
        instance.seeds = vec![seed];
    }
    let relays = join_all(instances.iter().cloned().map(Relay::spawn)).await;
    let ready = join_all(instances.iter().map(wait_until_ready));
    let is_ready = timeout(TEST_TIMEOUT, ready).await.is_ok();
    let lists = store.lists("config");
    expect_true!(is_ready, "{count} instances, {lists} lists");
    println!("{count} instances: {lists} lists of the configuration");
    drop(relays);
    lists
}

async fn wait_until_ready(settings: &RelaySettings) {
    let is_ready = async || {
        let got = get(settings.listen.ready, "GET /api/ready HTTP/1.1").await;
        got.status == 200
    };
    while !is_ready().await {
        sleep(Duration::from_millis(50)).await;
    }
}

async fn dump(settings: &RelaySettings) -> String {
    get(settings.listen.operators, "GET /dump HTTP/1.1")
        .await
        .body
}
