//! Entries of another writer whose numbers are out of range.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::standin::{Cluster, get, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, TOKENS};

/// Time in which an instance plans ten times.
const ROUNDS: Duration = Duration::from_millis(1_000);

fn entry(address: &str, target: u32) -> Value {
    json!({
        "service": "pool", "address": address, "zone": "a", "state": "ready", "born": 1, "kind": "card",
        "layers": { "from": 0, "target": target, "version": 1 },
    })
}

/// Returns how many entries this process has rejected so far.
async fn rejected(cluster: &Cluster) -> u64 {
    let metrics = get(cluster.settings.listen.operators, "GET /metrics HTTP/1.1").await;
    let name = "jacinthweir_entries_rejected_total ";
    let mut counts = metrics.body.lines().filter_map(|l| l.strip_prefix(name));
    counts.next().map_or(0, |v| v.parse().expect("a count"))
}

/// Guards against all instances hanging, one after the other: two entries of another writer listed four
/// billion layers, and the plan of the one that gave orders walked through them.
#[gtest]
fn entries_far_beyond_the_model_name_no_runner_and_stop_nobody() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let before = rejected(&cluster).await;
        let ranges = [
            ("a", u32::MAX),
            ("b", u32::MAX),
            ("c", 10_000),
            ("d", 10_000),
        ];
        for (name, target) in ranges {
            cluster
                .store
                .put("servers", name, &entry("127.0.0.1:9", target));
        }
        sleep(ROUNDS).await;
        for _ in 0..8 {
            let call = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(call.status, eq(200));
            let stream = send_request(cluster.callers(), NOTES, TOKENS, "").await;
            expect_that!(stream.status, eq(200));
        }
        expect_that!(rejected(&cluster).await, ge(before + 4));
    });
}
