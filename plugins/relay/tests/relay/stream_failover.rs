//! Failover of streams whose chain broke, and use of a scarce retry budget.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Response, Runner, TEST_TIMEOUT, run_single_threaded, send_request,
};
use crate::{NOTES, TOKENS};

/// Starts a stream and waits until one of `runners` runs it.
async fn start_stream(cluster: &Cluster, runners: &[Rc<Runner>]) -> JoinHandle<Response> {
    let callers = cluster.callers();
    let stream = spawn_local(async move { send_request(callers, NOTES, TOKENS, "one").await });
    wait_for_run(runners).await;
    stream
}

async fn wait_for_run(runners: &[Rc<Runner>]) {
    let begun = async {
        while runners.iter().all(|r| r.run_count() == 0) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("it runs");
}

async fn expect_complete(stream: JoinHandle<Response>) {
    let got = stream.await.expect("it ends");
    expect_that!(got.status, eq(200));
    expect_true!(got.complete);
    expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
}

/// Starts a cluster whose retry budget guarantees an instance one retry.
async fn cluster_with_one_retry() -> Cluster {
    let cluster = Cluster::with_bounds(|bounds| {
        bounds.repeat_ratio = 0.0;
        bounds.repeat_slack = 7.0;
    });
    cluster.await
}

/// Guards against new requests that exhaust the retry budget which streams in progress need. While
/// runners were replaced during a configuration change, chains were full, and each new request that
/// one refused used a retry for the next: 2,023 in total. When a stage exited, its streams needed a
/// retry each, none was left, and they were cut after one send and 20 ms of silence. A new request
/// can be refused truthfully as not run; a partly sent response cannot.
#[gtest]
fn a_stream_in_progress_keeps_a_retry_while_new_requests_are_refused() {
    run_single_threaded(async {
        let cluster = cluster_with_one_retry().await;
        let local = &cluster.runners[..2];
        local.iter().for_each(|r| r.responses_paused.set(true));
        let stream = start_stream(&cluster, local).await;
        local
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::NotRun));
        let refused = send_request(cluster.callers(), NOTES, TOKENS, "two").await;
        expect_that!(refused.status, eq(503));
        expect_that!(refused.header("retry-after"), some(anything()));

        local
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::BreaksMidEvent));
        local.iter().for_each(|r| r.responses_paused.set(false));
        expect_complete(stream).await;
    });
}

/// A stage of a chain has failed, and its layers are being loaded elsewhere. The stream can
/// continue through the new holder without a retry. Guards against preferring a new run on another
/// chain for which no retry is left: the stream was cut after 20 ms of silence, although its caller
/// would have waited longer.
#[gtest]
fn a_stream_without_a_retry_waits_for_a_replacement_stage() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|bounds| {
            bounds.repeat_ratio = 0.0;
            bounds.repeat_slack = 0.0;
        });
        let cluster = cluster.await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        let stage = cluster.local_runner((2, 4));
        stage.behaviour.set(Behaviour::Unresponsive);
        let stream = start_stream(&cluster, &cluster.runners).await;
        cluster.wait_for_dead(1).await;
        let _spare = Runner::spawn(&cluster.store, "a3", "pool", "a").await;

        expect_complete(stream).await;
        expect_that!(cluster.run_count(), eq(1));
        let rerouted = head.reroutes.borrow();
        // Either the spare runner or the first runner itself may have been ordered to load the
        // layers.
        let lost = stage.address.to_string();
        expect_that!(rerouted.len(), eq(1));
        expect_true!(rerouted.iter().all(|(_, path)| !path.contains(&lost)));
    });
}

/// A stream's chain breaks, and so does the next one before it responds. Guards against giving up
/// after one failed attempt to resume, unlike after a failed attempt to start: the stream was cut
/// within milliseconds, although its caller waits for two seconds or more and the first chain was
/// being repaired.
#[gtest]
fn a_stream_whose_second_chain_breaks_resumes_once_a_chain_is_available() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        cluster
            .local_runner((2, 4))
            .behaviour
            .set(Behaviour::Unresponsive);
        let remote = &cluster.runners[2..];
        remote
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::HangsRequests));
        let stream = start_stream(&cluster, &cluster.runners).await;
        wait_for_run(remote).await;
        let stage = remote.iter().find(|r| r.layers() == Some((2, 4)));
        stage
            .expect("a stage")
            .behaviour
            .set(Behaviour::Unresponsive);
        cluster.wait_for_dead(2).await;
        head.behaviour.set(Behaviour::Normal);
        let _spare = Runner::spawn(&cluster.store, "a3", "pool", "a").await;

        expect_complete(stream).await;
    });
}

/// Guards against a failure that is detected only when the next request is sent to the runner:
/// broken connections must suffice to probe it.
#[gtest]
fn a_runner_with_broken_connections_is_detected_without_another_request() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        let stream = start_stream(&cluster, &cluster.runners).await;
        head.crash();

        expect_complete(stream).await;
        cluster.wait_for_dead(1).await;
    });
}

/// A runner's entry is removed, the runner serves on for some seconds and exits. Guards against
/// dropping all state of a runner without an entry: it could not be found dead, its chain never
/// counted as broken, and the streams waited until their callers disconnected.
#[gtest]
fn a_stream_survives_a_stage_that_is_unregistered_before_it_exits() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        head.behaviour.set(Behaviour::StallsUntilRerouted);
        let stage = cluster.local_runner((2, 4));
        let stream = start_stream(&cluster, &cluster.runners).await;
        cluster.store.remove("servers", &stage.id);
        stage.behaviour.set(Behaviour::Unresponsive);

        expect_complete(stream).await;
    });
}

/// Guards against a stream that is cut although the only chain left takes it a moment later: a chain
/// that had refused it once was not asked again.
#[gtest]
fn a_stream_is_offered_again_to_the_only_chain_left() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let (local, others) = cluster.runners.split_at(2);
        local
            .iter()
            .for_each(|r| r.event_interval.set(Duration::from_millis(100)));
        others
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::NotRun));
        let stream = start_stream(&cluster, local).await;
        local.iter().for_each(|r| r.crash());
        let refused = async {
            while others.iter().all(|r| r.arrivals.borrow().is_empty()) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TEST_TIMEOUT, refused).await.expect("a refusal");
        sleep(Duration::from_millis(300)).await;
        others
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::Normal));
        expect_complete(stream).await;
    });
}
