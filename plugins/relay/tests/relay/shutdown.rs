//! What becomes of requests that are open at the shutdown bound, or arrive shortly before it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join;
use googletest::prelude::*;
use jacinthweir_relay::DrainOutcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Response, Runner, TEST_TIMEOUT, configuration, get, parse_response,
    run_single_threaded, send_raw, send_request,
};
use crate::{LOOKUP, NOTES, PAY, TOKENS};

/// Shutdown bound of the instances, in seconds.
const SHUTDOWN_S: f64 = 2.0;

/// Time limit of all routes, in milliseconds: far longer than the shutdown and the test.
const ROUTE_TIMEOUT_MS: u64 = 120_000;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a cluster whose requests outlast the shutdown bound.
async fn open_cluster() -> Cluster {
    open_cluster_with_bound(SHUTDOWN_S).await
}

async fn open_cluster_with_bound(shutdown_s: f64) -> Cluster {
    let cluster = Cluster::with_bounds(|bounds| bounds.shutdown_s = shutdown_s).await;
    let mut configuration = configuration(2);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = ROUTE_TIMEOUT_MS.into();
        route["targetLatencyMs"] = ROUTE_TIMEOUT_MS.into();
    }
    cluster.store.put("config", "main", &configuration);
    cluster.wait_for_version(2).await;
    cluster
}

/// Sends a request in a task of its own.
fn spawn_request(callers: SocketAddr, line: &'static str) -> JoinHandle<Response> {
    spawn_local(async move { send_request(callers, line, TOKENS, "body").await })
}

/// Waits until the runners have begun to run `count` requests.
async fn wait_for_runs(cluster: &Cluster, count: usize) {
    let begun = async {
        while cluster.run_count() < count {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("runs");
}

/// Waits until the relay knows no chain.
async fn wait_until_no_chain(cluster: &Cluster) {
    let operators = cluster.settings.listen.operators;
    let gone = async {
        while get(operators, "GET /dump HTTP/1.1")
            .await
            .body
            .contains("\"step_ms\"")
        {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TEST_TIMEOUT, gone).await.expect("no chain");
}

async fn shut_down(cluster: &mut Cluster) -> DrainOutcome {
    let relay = cluster.relay.take().expect("a relay");
    timeout(TEST_TIMEOUT, relay.shut_down())
        .await
        .expect("the end")
}

fn expect_not_run(got: &Response) {
    expect_that!(got.status, eq(503));
    expect_that!(got.complete, eq(true));
    expect_that!(got.header("retry-after"), some(anything()));
}

/// Guards against requests that end as closed connections when their runners are still at work at the
/// bound: the caller learns nothing.
#[gtest]
fn requests_at_work_at_the_shutdown_bound_are_answered_504() {
    run_single_threaded(async {
        let mut cluster = open_cluster().await;
        cluster.set_behaviour(Behaviour::HangsRequests);
        let lines = [LOOKUP, PAY, NOTES];
        let open = lines.map(|line| spawn_request(cluster.callers(), line));
        wait_for_runs(&cluster, lines.len()).await;
        shut_down(&mut cluster).await;
        for (line, open) in lines.into_iter().zip(open) {
            let got = open.await.expect("an answer");
            expect_that!(got.status, eq(504), "{line}");
            expect_that!(got.complete, eq(true), "{line}");
        }
    });
}

/// Guards against requests that have reached no runner and end as closed connections at the bound:
/// callers must not repeat work that may have run.
#[gtest]
fn requests_that_wait_at_the_shutdown_bound_are_answered_503() {
    run_single_threaded(async {
        let mut cluster = open_cluster().await;
        for runner in &cluster.runners {
            cluster.store.remove("servers", &runner.id);
        }
        wait_until_no_chain(&cluster).await;
        let callers = cluster.callers();
        let queued = spawn_request(callers, NOTES);
        let half_body = format!(
            "{PAY}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r2\r\n\
             X-Jacinthweir-Key: key\r\nContent-Length: 10\r\n\r\nhalf"
        );
        let unread = spawn_local(async move { send_raw(callers, half_body.as_bytes()).await });
        shut_down(&mut cluster).await;
        for open in [queued, unread] {
            expect_not_run(&open.await.expect("an answer"));
        }
        expect_that!(cluster.run_count(), eq(0));
    });
}

/// Guards against streams that look complete although the bound ended them.
#[gtest]
fn a_stream_at_the_shutdown_bound_is_broken_off() {
    run_single_threaded(async {
        let mut cluster = open_cluster().await;
        cluster.set_behaviour(Behaviour::Endless);
        let open = spawn_request(cluster.callers(), NOTES);
        wait_for_runs(&cluster, 1).await;
        shut_down(&mut cluster).await;
        let got = open.await.expect("an answer");
        expect_that!(got.status, eq(200));
        expect_that!(got.complete, eq(false));
    });
}

/// A run breaks off after the last time for a send, and another chain is free. Guards against a search for
/// another run that never waits: it holds the only thread, so that all open requests end unanswered.
#[gtest]
fn a_stream_that_breaks_after_the_last_send_does_not_hold_up_the_shutdown() {
    /// Shutdown bound, in seconds, and a time between the last send and the final answers.
    const BOUND_S: f64 = 6.0;
    const AFTER_LAST_SEND: Duration = Duration::from_millis(5_100);
    run_single_threaded(async {
        let mut cluster = open_cluster_with_bound(BOUND_S).await;
        cluster.runners.iter().for_each(|r| r.last_event.set(1));
        let open = spawn_request(cluster.callers(), NOTES);
        wait_for_runs(&cluster, 1).await;
        let relay = cluster.relay.take().expect("a relay");
        let ending = spawn_local(relay.shut_down());
        sleep(AFTER_LAST_SEND).await;
        cluster.set_behaviour(Behaviour::BreaksMidEvent);
        let go_on = |r: &Rc<Runner>| r.last_event.set(u64::MAX);
        cluster.runners.iter().for_each(go_on);
        let ended = timeout(TEST_TIMEOUT, ending).await.expect("the end");
        ended.expect("an outcome");
        let got = open.await.expect("an answer");
        expect_that!(got.complete, eq(false));
        expect_that!(cluster.run_count(), eq(1));
    });
}

/// Length of an answer that no socket buffer takes as a whole, in bytes.
const LONG_ANSWER_BYTES: usize = 8_000_000;

/// Sends a call, and returns its connection once a runner has it. Nothing of the answer is read.
async fn call_without_reading(cluster: &Cluster) -> TcpStream {
    let mut caller = TcpStream::connect(cluster.callers())
        .await
        .expect("a connection");
    let call = format!(
        "{LOOKUP}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r1\r\n\
         X-Jacinthweir-Key: key\r\n\r\n"
    );
    caller.write_all(call.as_bytes()).await.expect("sent");
    wait_for_runs(cluster, 1).await;
    caller
}

/// Guards against answers that are cut because the instance takes them for sent: the caller is on a slow
/// link and has read nothing yet.
#[gtest]
fn a_shutdown_waits_for_an_answer_that_is_being_sent() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::LongAnswer(LONG_ANSWER_BYTES));
        let mut caller = call_without_reading(&cluster).await;
        let relay = cluster.relay.take().expect("a relay");
        let mut ending = spawn_local(relay.shut_down());
        let early = timeout(Duration::from_secs(2), &mut ending).await;
        assert_that!(early.is_err(), eq(true));
        let mut got = Vec::new();
        let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut got)).await;
        expect_that!(read.expect("the connection closes"), ok(anything()));
        let got = parse_response(&got);
        expect_that!(got.complete, eq(true));
        expect_that!(got.body.len(), eq(LONG_ANSWER_BYTES));
        let ended = timeout(TEST_TIMEOUT, ending).await.expect("the end");
        expect_that!(ended.expect("an outcome"), eq(DrainOutcome::Clean));
    });
}

/// Guards against a shutdown that reports a clean end although it cut an answer.
#[gtest]
fn a_shutdown_that_cuts_an_answer_being_sent_is_not_clean() {
    run_single_threaded(async {
        let mut cluster = open_cluster().await;
        cluster.set_behaviour(Behaviour::LongAnswer(LONG_ANSWER_BYTES));
        let caller = call_without_reading(&cluster).await;
        expect_that!(shut_down(&mut cluster).await, eq(DrainOutcome::Cut));
        drop(caller);
    });
}

/// A call as another instance forwards it.
fn forwarded_call(version: u64) -> Vec<u8> {
    const REMAINING_MS: u64 = 10_000;
    let headers = [
        ("host", "site.example"),
        ("x-jacinthweir-request-id", "r1"),
        ("x-jacinthweir-key", "key"),
    ];
    let headers = headers.map(|(name, value)| (name, Bytes::from_static(value.as_bytes())));
    let body = Bytes::from_static(b"body");
    let (waited_ms, is_resumed, ran) = (0_u64, false, Vec::<(String, u64)>::new());
    let message = (
        "other",
        version,
        "POST",
        "/pay/1",
        headers.to_vec(),
        body,
        REMAINING_MS,
        waited_ms,
        is_resumed,
        ran,
    );
    rmp_serde::to_vec(&message).expect("a message")
}

async fn forward_call(cluster: &Cluster) -> Response {
    let message = forwarded_call(1);
    let head = format!(
        "POST /peer/request HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        message.len()
    );
    let request = [head.into_bytes(), message].concat();
    send_raw(cluster.settings.listen.peers, &request).await
}

/// Guards against calls that another instance forwards late in the grace, that are taken, and cut at the
/// bound: one that is not taken goes to another instance.
#[gtest]
fn a_stopping_instance_takes_no_forwarded_call() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        let taken = forward_call(&cluster).await;
        expect_that!(taken.header("jacinthweir-forwarded"), some(eq("answered")));
        expect_that!(cluster.run_count(), eq(1));
        let relay = cluster.relay.take().expect("a relay");
        let ending = spawn_local(relay.shut_down());
        cluster.wait_for_dump("\"draining\": true").await;
        let late = forward_call(&cluster).await;
        expect_that!(late.header("jacinthweir-forwarded"), some(eq("unable")));
        expect_not_run(&late);
        expect_that!(cluster.run_count(), eq(1));
        timeout(TEST_TIMEOUT, ending)
            .await
            .expect("the end")
            .expect("an outcome");
    });
}

/// Guards against a caller that gets no answer because the instance to which its call was forwarded stops:
/// the call may have run there.
#[gtest]
fn a_forwarded_call_at_work_at_the_bound_ends_as_unknown() {
    run_single_threaded(async {
        let mut cluster = open_cluster().await;
        let (cut, _relay) = cluster.start_instance_without_paths().await;
        cluster.set_behaviour(Behaviour::HangsRequests);
        let before = cluster.run_count();
        let open = spawn_request(cut.listen.callers, PAY);
        wait_for_runs(&cluster, before + 1).await;
        shut_down(&mut cluster).await;
        let got = open.await.expect("an answer");
        expect_that!(got.status, eq(502));
        expect_that!(got.complete, eq(true));
        expect_that!(cluster.run_count(), eq(before + 1));
    });
}

/// Guards against callers that get no answer, or calls that run twice, when both the instance that forwarded
/// a call and the one that runs it stop.
#[gtest]
fn a_call_between_two_stopping_instances_gets_a_final_answer() {
    run_single_threaded(async {
        let mut cluster = open_cluster().await;
        let (cut, other) = cluster.start_instance_without_paths().await;
        cluster.set_behaviour(Behaviour::HangsRequests);
        let before = cluster.run_count();
        let open = spawn_request(cut.listen.callers, PAY);
        wait_for_runs(&cluster, before + 1).await;
        let ended = join(shut_down(&mut cluster), other.shut_down());
        let (_, outcome) = timeout(TEST_TIMEOUT, ended).await.expect("the end");
        expect_that!(outcome, eq(DrainOutcome::Cut));
        let got = open.await.expect("an answer");
        expect_that!(got.status, any!(eq(502), eq(504)));
        expect_that!(got.complete, eq(true));
        expect_that!(cluster.run_count(), eq(before + 1));
    });
}
