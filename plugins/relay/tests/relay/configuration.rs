//! Configurations that instances of a failure domain pass on to each other.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::standin::{Cluster, TEST_TIMEOUT, configuration, get, run_single_threaded};

/// Guards against a tree of relays that nothing passes along: instances would call the store for
/// each change, after a delay, and nothing else would show it.
#[gtest]
fn an_instance_gets_a_configuration_from_a_neighbour() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let mut started = Vec::new();
        for name in ["two", "three", "four"] {
            started.push(cluster.start_instance(name).await);
        }
        let relayed = async {
            for version in 2.. {
                cluster.store.put("config", "main", &configuration(version));
                cluster.wait_for_version(version).await;
                let metrics = get(cluster.settings.listen.operators, "GET /metrics HTTP/1.1").await;
                let counter = "jacinthweir_configurations_total{source=\"neighbour\"}";
                if metrics.body.contains(counter) {
                    return;
                }
                sleep(Duration::from_millis(200)).await;
            }
        };
        timeout(TEST_TIMEOUT, relayed)
            .await
            .expect("a configuration from a neighbour");
    });
}

/// Guards against chains, plans and budgets of services that no configuration has any more: their number grows
/// with each service that was ever renamed, and the budgets' counts are in each message to another instance.
#[gtest]
fn nothing_is_kept_of_a_service_that_the_configuration_no_longer_has() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let renamed = configuration(2)
            .to_string()
            .replace("\"pool\"", "\"other\"");
        let renamed: Value = serde_json::from_str(&renamed).expect("a configuration");
        cluster.store.put("config", "main", &renamed);
        cluster.wait_for_version(2).await;
        let dump = get(cluster.settings.listen.operators, "GET /dump HTTP/1.1").await;
        let dump: Value = serde_json::from_str(&dump.body).expect("a dump");
        expect_that!(dump["chains"].as_array().map(Vec::len), some(eq(0)));
    });
}
