//! Quarantine of lethal requests: those that crash each runner which begins to run them.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::RelaySettings;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, LETHAL, LETHAL_PART, Response, TEST_TIMEOUT, run_single_threaded, send_request,
    wait_for_chains,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Number of crashes after which a request must not be sent any more.
const CRASH_THRESHOLD: usize = 3;

/// Number of sends that may already be in progress when the threshold is reached.
const IN_FLIGHT_SENDS: usize = 3;

/// Number of attempts, which alternate between two instances.
const ATTEMPTS: usize = 12;

fn lethal_run_count(cluster: &Cluster) -> usize {
    let all = cluster.runners.iter().chain(&cluster.plain);
    all.map(|r| r.lethal_run_count()).sum()
}

/// Number of crashes after which requests with a lethal prompt part must not be sent any more.
const PART_CRASH_THRESHOLD: usize = 5;

/// Number of sound requests sent after the crashes.
const SOUND_REQUESTS: usize = 10;

/// Returns the headers of a request with a shared part between the instructions and its own part.
fn prompt(shared: &str, own: usize) -> String {
    format!("{TOKENS}X-Jacinthweir-Prompt-Prefix: 5c1e07a2:40,{shared}:410,{own:x}:250\r\n")
}

/// Sends a request that differs from all others.
async fn send_unique(at: &RelaySettings, shared: &str, own: usize) -> Response {
    let body = format!("request {own}");
    send_request(at.listen.callers, NOTES, &prompt(shared, own), &body).await
}

/// Sends requests with a lethal part that differ otherwise, at alternating instances, each followed
/// by a sound one if `sound` is set.
async fn send_lethal_parts(instances: [&RelaySettings; 2], sound: bool) {
    for i in 0..ATTEMPTS {
        let at = instances[i % 2];
        wait_for_chains(at, 1).await;
        send_unique(at, LETHAL_PART, i).await;
        if sound {
            wait_for_chains(at, 1).await;
            send_unique(at, "91bd3f06", 100 + i).await;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Requests of which no two are alike have a lethal part in common. Guards against judging each
/// request by itself only, so that each crashes further runners.
#[gtest]
fn different_requests_with_a_lethal_prompt_part_are_quarantined() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        send_lethal_parts([&cluster.settings, &other], true).await;
        expect_that!(
            lethal_run_count(&cluster),
            le(PART_CRASH_THRESHOLD + IN_FLIGHT_SENDS)
        );
        let got = send_unique(&cluster.settings, LETHAL_PART, ATTEMPTS).await;
        expect_that!(got.status, eq(503));
        expect_that!(got.header("retry-after"), some(anything()));
    });
}

/// The lethal part comes together with parts that sound requests have as well, and no sound request
/// completes meanwhile. Guards against a quarantine of these parts, which would refuse all requests
/// of the route.
#[gtest]
fn sound_requests_with_the_other_parts_of_lethal_ones_are_served() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        send_lethal_parts([&cluster.settings, &other], false).await;
        expect_that!(
            lethal_run_count(&cluster),
            le(PART_CRASH_THRESHOLD + IN_FLIGHT_SENDS)
        );
        for i in 0..SOUND_REQUESTS {
            let at = [&cluster.settings, &other][i % 2];
            wait_for_chains(at, 2).await;
            let got = send_unique(at, "91bd3f06", 100 + i).await;
            expect_that!(got.status, eq(200), "request {i}");
            expect_true!(got.complete);
        }
    });
}

/// A caller repeats a lethal request at alternating instances. Guards against each instance judging
/// the request by its own observations only, so that it crashes one runner after another.
#[gtest]
fn a_stream_that_crashed_three_runners_is_quarantined() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        for i in 0..ATTEMPTS {
            let at = if i % 2 == 0 {
                &cluster.settings
            } else {
                &other
            };
            wait_for_chains(at, 1).await;
            send_request(at.listen.callers, NOTES, TOKENS, LETHAL).await;
            sleep(Duration::from_millis(200)).await;
        }
        expect_that!(
            lethal_run_count(&cluster),
            le(CRASH_THRESHOLD + IN_FLIGHT_SENDS)
        );

        wait_for_chains(&cluster.settings, 2).await;
        let got = send_request(cluster.callers(), NOTES, TOKENS, "another prompt").await;
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
    });
}

/// All instances fail at once and lose their state. Guards against a quarantine that new instances
/// do not know: they read it from the store.
#[gtest]
fn a_quarantine_applies_to_instances_that_start_later() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        let quarantined = async {
            while cluster.store.names("jacinthweir-quarantine").len() < CRASH_THRESHOLD {
                wait_for_chains(&cluster.settings, 1).await;
                send_request(cluster.callers(), NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(200)).await;
            }
        };
        timeout(TEST_TIMEOUT, quarantined)
            .await
            .expect("the records of all crashes in the store");
        let runs = lethal_run_count(&cluster);
        drop(cluster.relay.take());

        let (new, _relay) = cluster.start_ready_instance("new").await;
        let got = send_request(new.listen.callers, NOTES, TOKENS, LETHAL).await;
        expect_that!(got.status, eq(503));
        expect_that!(lethal_run_count(&cluster), eq(runs));
    });
}

/// Guards against a quarantine that is never written: the store had an object of another writer that looks like a
/// former release's and whose name no call can hold, and its removal was tried first, for ever.
#[gtest]
fn a_quarantine_is_written_beside_an_object_that_cannot_be_removed() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        drop(cluster.relay.take());
        let name = "x".repeat(8 << 10);
        let record = json!({ "request": "5c1e07a2", "ends": [], "void": [], "age_ms": 0 });
        cluster.store.put("jacinthweir-quarantine", &name, &record);
        let (new, _relay) = cluster.start_ready_instance("new").await;
        let written = async {
            while cluster.store.names("jacinthweir-quarantine").len() < 2 {
                wait_for_chains(&new, 1).await;
                send_request(new.listen.callers, NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(200)).await;
            }
        };
        let written = timeout(TEST_TIMEOUT, written).await;
        expect_true!(written.is_ok());
    });
}

/// The same for a call of a plain service, which is answered without a stream.
#[gtest]
fn a_call_that_crashed_three_runners_is_quarantined() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        let call = |at| send_request(at, LOOKUP, "", LETHAL);
        let mut last: Option<Response> = None;
        for i in 0..ATTEMPTS {
            let at = if i % 2 == 0 {
                &cluster.settings
            } else {
                &other
            };
            last = Some(call(at.listen.callers).await);
            // Longer than the restart of a runner takes.
            sleep(Duration::from_millis(600)).await;
        }
        expect_that!(
            lethal_run_count(&cluster),
            le(CRASH_THRESHOLD + IN_FLIGHT_SENDS)
        );
        let last = last.expect("an answer");
        expect_that!(last.status, eq(503));
        expect_that!(last.header("retry-after"), some(anything()));

        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}
