//! How a stream goes on whose chain broke, and who gets the few further sends that there are.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Response, Runner, TEST_TIMEOUT, run_single_threaded, send_request,
};
use crate::{NOTES, TOKENS};

/// A stream, once one of `runners` has begun to work on it.
async fn begun_stream(cluster: &Cluster, runners: &[Rc<Runner>]) -> JoinHandle<Response> {
    let callers = cluster.callers();
    let streaming = spawn_local(async move { send_request(callers, NOTES, TOKENS, "one").await });
    until_one_runs(runners).await;
    streaming
}

async fn until_one_runs(runners: &[Rc<Runner>]) {
    let begun = async {
        while runners.iter().all(|r| r.run_count() == 0) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("it runs");
}

async fn expect_whole(streaming: JoinHandle<Response>) {
    let got = streaming.await.expect("it ends");
    expect_that!(got.status, eq(200));
    expect_true!(got.complete);
    expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
}

/// Bounds in which an instance has one further send for certain.
async fn cluster_with_one_retry() -> Cluster {
    let cluster = Cluster::with_bounds(|bounds| {
        bounds.repeat_ratio = 0.0;
        bounds.repeat_slack = 7.0;
    });
    cluster.await
}

/// A caller's answer ended in the middle while runners were replaced beside a change of the
/// configuration. Chains were full, and each new request that one refused took a further send to try
/// the next: 2,023 times in all. When a part exited, its streams needed one each and there was none:
/// `stream cut cause="chain broke" given_up="no repeat left" sends=1 silent_ms=20`. A new request can
/// be told the truth, that it has not run; a caller that has half an answer cannot.
#[gtest]
fn a_stream_under_way_has_a_repeat_though_new_requests_are_refused() {
    run_single_threaded(async {
        let cluster = cluster_with_one_retry().await;
        let near = &cluster.runners[..2];
        near.iter().for_each(|r| r.responses_paused.set(true));
        let streaming = begun_stream(&cluster, near).await;
        near.iter().for_each(|r| r.behaviour.set(Behaviour::NotRun));
        let refused = send_request(cluster.callers(), NOTES, TOKENS, "two").await;
        expect_that!(refused.status, eq(503));
        expect_that!(refused.header("retry-after"), some(anything()));

        near.iter()
            .for_each(|r| r.behaviour.set(Behaviour::BreaksMidEvent));
        near.iter().for_each(|r| r.responses_paused.set(false));
        expect_whole(streaming).await;
    });
}

/// A part of a chain was gone and its layers were being loaded elsewhere. The stream could have gone
/// on along the new holder, which takes no further send, but another chain was there, so it was to go
/// there by a new run; for that there was no further send, and it was cut at once: `stream cut
/// cause="chain broke" given_up="no repeat left" silent_ms=20`. Its caller would have waited.
#[gtest]
fn a_stream_without_a_repeat_waits_for_the_layers_that_its_chain_lost() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|bounds| {
            bounds.repeat_ratio = 0.0;
            bounds.repeat_slack = 0.0;
        });
        let cluster = cluster.await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        let part = cluster.local_runner((2, 4));
        part.behaviour.set(Behaviour::Unresponsive);
        let streaming = begun_stream(&cluster, &cluster.runners).await;
        cluster.wait_for_dead(1).await;
        let _spare = Runner::spawn(&cluster.store, "a3", "pool", "a").await;

        expect_whole(streaming).await;
        expect_that!(cluster.run_count(), eq(1));
        let rerouted = head.reroutes.borrow();
        // Whoever was told to hold them, the spare runner or the first one itself.
        let lost = part.address.to_string();
        expect_that!(rerouted.len(), eq(1));
        expect_true!(rerouted.iter().all(|(_, path)| !path.contains(&lost)));
    });
}

/// A stream's chain broke, and so did the next one before it had answered. The stream was cut within
/// milliseconds, though its caller waits for two seconds and more and the first chain was being
/// repaired: a failed try to go on counted as the end, unlike a failed try to begin.
#[gtest]
fn a_stream_whose_next_chain_breaks_too_goes_on_when_there_is_one() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        cluster
            .local_runner((2, 4))
            .behaviour
            .set(Behaviour::Unresponsive);
        let far = &cluster.runners[2..];
        far.iter()
            .for_each(|r| r.behaviour.set(Behaviour::HangsRequests));
        let streaming = begun_stream(&cluster, &cluster.runners).await;
        until_one_runs(far).await;
        let part = far.iter().find(|r| r.layers() == Some((2, 4)));
        part.expect("a part").behaviour.set(Behaviour::Unresponsive);
        cluster.wait_for_dead(2).await;
        head.behaviour.set(Behaviour::Normal);
        let _spare = Runner::spawn(&cluster.store, "a3", "pool", "a").await;

        expect_whole(streaming).await;
    });
}

/// Nobody asks a runner whose connections broke until the next request is sent there.
#[gtest]
fn a_runner_whose_connections_break_is_found_dead_without_another_request() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        let streaming = begun_stream(&cluster, &cluster.runners).await;
        head.crash();

        expect_whole(streaming).await;
        cluster.wait_for_dead(1).await;
    });
}

/// A runner leaves without a word: its entry is gone, it serves on for seconds and exits. Nothing was
/// kept of a runner without an entry, so it could not be found dead; the chain that passed through it
/// never counted as broken, and its streams waited until their callers left.
#[gtest]
fn a_stream_goes_on_past_a_part_whose_entry_went_before_it_exited() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        let part = cluster.local_runner((2, 4));
        let streaming = begun_stream(&cluster, &cluster.runners).await;
        cluster.store.remove("servers", &part.id);
        part.behaviour.set(Behaviour::Unresponsive);

        expect_whole(streaming).await;
    });
}
