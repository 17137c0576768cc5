//! Requests that end each runner which begins to run them.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, LETHAL, Response, TEST_TIMEOUT, run_single_threaded, send_request, wait_for_chains,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Ends of runners after which a request may be sent no more, and sends that may be under way by then.
const ENDS: usize = 3;
const SENDS_AFTER: usize = 3;

/// Attempts at the request, each at another instance than the one before.
const ATTEMPTS: usize = 12;

fn lethal_run_count(cluster: &Cluster) -> usize {
    let all = cluster.runners.iter().chain(&cluster.plain);
    all.map(|r| r.lethal_run_count()).sum()
}

/// Each attempt at a request is new to the instance that it comes to, and ends one runner after the other.
#[gtest]
fn a_request_under_which_three_runners_ended_is_sent_to_no_more() {
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
        expect_that!(lethal_run_count(&cluster), le(ENDS + SENDS_AFTER));

        wait_for_chains(&cluster.settings, 2).await;
        let got = send_request(cluster.callers(), NOTES, TOKENS, "another prompt").await;
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
    });
}

/// All instances are lost at once, and what they knew with them.
#[gtest]
fn a_held_request_is_held_by_instances_that_start_later() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        let held = async {
            while cluster.store.names("jacinthweir-quarantine").is_empty() {
                wait_for_chains(&cluster.settings, 1).await;
                send_request(cluster.callers(), NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(200)).await;
            }
        };
        timeout(TEST_TIMEOUT, held).await.expect("the store has it");
        let runs = lethal_run_count(&cluster);
        drop(cluster.relay.take());

        let (new, _relay) = cluster.start_sole_instance("new").await;
        let got = send_request(new.listen.callers, NOTES, TOKENS, LETHAL).await;
        expect_that!(got.status, eq(503));
        expect_that!(lethal_run_count(&cluster), eq(runs));
    });
}

/// The same request as a call of a plain service, which is answered in one piece.
#[gtest]
fn a_call_under_which_three_runners_ended_is_sent_to_no_more() {
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
            // Longer than a runner is away.
            sleep(Duration::from_millis(600)).await;
        }
        expect_that!(lethal_run_count(&cluster), le(ENDS + SENDS_AFTER));
        let last = last.expect("an answer");
        expect_that!(last.status, eq(503));
        expect_that!(last.header("retry-after"), some(anything()));

        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}
