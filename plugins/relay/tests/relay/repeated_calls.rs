//! Calls to the store and to runners that are answered or refused at once, always the same.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tokio::time::sleep;

use crate::LOOKUP;
use crate::standin::{Cluster, configuration, run_single_threaded, send_request};

/// Time for which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

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
