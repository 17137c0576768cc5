//! Detection of failed runners, in particular while the instance's own link is congested.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{
    BORN_MS, Behaviour, Cluster, Response, TEST_TIMEOUT, run_single_threaded, send_raw,
    send_request,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Starts two streams and waits until both run. With two, the silence of their chain is detected
/// sooner.
async fn start_two_streams(cluster: &Cluster) -> Vec<JoinHandle<Response>> {
    let callers = cluster.callers();
    let open_stream =
        || spawn_local(async move { send_request(callers, NOTES, TOKENS, "prompt").await });
    let streams = vec![open_stream(), open_stream()];
    let begun = async {
        while cluster.run_count() < 2 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("both run");
    streams
}

async fn expect_complete_with_one_run_each(cluster: &Cluster, streams: Vec<JoinHandle<Response>>) {
    for stream in streams {
        let got = stream.await.expect("it ends");
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
    }
    expect_that!(cluster.run_count(), eq(2));
}

/// Guards against living runners that count as dead because the instance's own link is congested. A
/// large configuration change filled the link: the streams of a chain paused, and the probes of its
/// stages timed out, so that each stage counted as dead. The streams failed over to another chain,
/// which was silent for the same reason and counted as dead too; then they were cut. In one such
/// instance, reading the configuration took 877 ms, the process was held up for 130 ms, 6 requests
/// waited on the broken chain, and none of 4 probed stages responded within 339 ms. Silence is
/// evidence only if witnesses respond; here no runner responds.
#[gtest]
fn an_instance_that_reaches_no_runner_declares_none_dead() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let streams = start_two_streams(&cluster).await;
        cluster.set_responses_paused(true);
        // Callers wait for two seconds and more.
        sleep(Duration::from_millis(1_200)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
        cluster.set_responses_paused(false);
        expect_complete_with_one_run_each(&cluster, streams).await;
    });
}

/// Message between instances that reports failed runners. It is encoded as an array, except for the
/// name of the variant.
#[derive(Serialize)]
enum Message {
    News(FailureReport),
}

#[derive(Serialize)]
struct FailureReport {
    domain: String,
    seen: (u64, (u64, u64), Vec<(String, u64)>),
    dead: Vec<(String, u64, Vec<String>)>,
    alive: Vec<(String, u64)>,
    paces: Vec<(String, u64, f64, u64)>,
}

async fn send_failure_report(cluster: &Cluster, runner: &str) {
    let reporters = ["two", "three", "four"].map(str::to_owned).to_vec();
    let report = Message::News(FailureReport {
        domain: "b".to_owned(),
        seen: (0, (0, 0), Vec::new()),
        dead: vec![(runner.to_owned(), BORN_MS, reporters)],
        alive: Vec::new(),
        paces: Vec::new(),
    });
    let body = rmp_serde::to_vec(&report).expect("a message");
    let length = body.len();
    let head = format!(
        "POST /peer HTTP/1.1\r\nHost: one\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    let got = send_raw(
        cluster.settings.listen.peers,
        &[head.as_bytes(), &body].concat(),
    )
    .await;
    expect_that!(got.status, eq(200));
}

/// Guards against a false failure report that spreads through the fleet. One instance reported a
/// living runner as dead. Each instance whose chain was silent at that time, because the same
/// configuration change filled its link, accepted the report without a probe: the runner counted as
/// dead at 62 of 71 instances within five seconds. A report must only trigger a probe, together
/// with witnesses.
#[gtest]
fn a_failure_report_during_a_silence_is_verified_first() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let streams = start_two_streams(&cluster).await;
        cluster.set_responses_paused(true);
        sleep(Duration::from_millis(100)).await;
        for runner in &cluster.runners[..2] {
            send_failure_report(&cluster, &runner.id).await;
        }
        sleep(Duration::from_millis(50)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
        cluster.set_responses_paused(false);
        expect_complete_with_one_run_each(&cluster, streams).await;
    });
}

/// Listener at whose address connections are neither established nor refused.
struct Unconnectable {
    listener: TcpListener,
    _pending: Vec<TcpStream>,
}

impl Unconnectable {
    async fn open() -> Unconnectable {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut pending = Vec::new();
        let connect_timeout = Duration::from_millis(500);
        // Fills the listener's backlog, whose connections are never accepted.
        while let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(address)).await {
            pending.push(stream);
        }
        Unconnectable {
            listener,
            _pending: pending,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }
}

/// A runner at a tenth of its normal speed responds ten times later than others, but accepts
/// connections at once. Guards against a failure report of another instance that makes it count as
/// dead.
#[gtest]
fn a_runner_with_a_slow_report_is_not_dead() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let slow = &cluster.runners[0];
        slow.report_delay.set(Duration::from_millis(120));
        send_failure_report(&cluster, &slow.id).await;
        sleep(Duration::from_millis(400)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
    });
}

/// Guards against connect timeouts that count as failures while the instance's own link is
/// congested: the runners concerned counted as dead at once, without a probe. A refused connection
/// shows that no process listens; a connect timeout shows nothing while no other runner responds.
#[gtest]
fn a_connect_timeout_is_no_failure_while_no_runner_responds() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_responses_paused(true);
        let mut listeners = Vec::new();
        for runner in &cluster.plain {
            let unreachable = Unconnectable::open().await;
            runner.register_at(unreachable.address());
            cluster
                .wait_for_dump(&unreachable.address().to_string())
                .await;
            listeners.push(unreachable);
        }
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(503));
        expect_that!(got.header("retry-after"), some(anything()));
        // Longer than a round of probes takes.
        sleep(Duration::from_millis(1_500)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
    });
}

/// A plain runner that serves no reports closes the connection of one call. Guards against treating
/// it as dead although it accepts connections: all instances did so and never used it again.
#[gtest]
fn a_plain_runner_without_reports_that_closes_a_call_is_not_dead() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster
            .plain
            .iter()
            .for_each(|r| r.serves_reports.set(false));
        cluster
            .plain
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::ClosesConnection));
        send_request(cluster.callers(), LOOKUP, "", "").await;
        cluster
            .plain
            .iter()
            .for_each(|r| r.behaviour.set(Behaviour::Normal));
        // Longer than a round of probes takes.
        sleep(Duration::from_millis(1_500)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// A plain runner that serves no reports is reachable again after a partition. Guards against
/// requiring a report for its recovery: an accepted connection suffices.
#[gtest]
fn a_plain_runner_without_reports_recovers_once_it_accepts_connections() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let plain = &cluster.plain[0];
        plain.serves_reports.set(false);
        let unreachable = Unconnectable::open().await;
        plain.register_at(unreachable.address());
        cluster
            .wait_for_dump(&unreachable.address().to_string())
            .await;
        send_request(cluster.callers(), LOOKUP, "", "").await;
        cluster.wait_for_dead(1).await;
        plain.register("ready");
        cluster.wait_until_none_is_dead().await;
    });
}

/// Guards against checks that cannot fail: an unreachable runner counts as dead while others
/// respond.
#[gtest]
fn a_runner_that_alone_is_unreachable_counts_as_dead() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let unreachable = Unconnectable::open().await;
        cluster.plain[0].register_at(unreachable.address());
        cluster
            .wait_for_dump(&unreachable.address().to_string())
            .await;
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
        let found = async {
            while cluster.dead_runners().await == 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, found).await.expect("a dead runner");
        expect_that!(cluster.dead_runners().await, eq(1));
    });
}

/// Guards against decoding a known configuration again only to confirm it. A fleet of 71 instances
/// read a configuration of 0.7 MB about eighteen times per second and decoded it each time, which
/// stalled instances for 40 ms or more 1,174 times in a minute. Here the object cannot be decoded,
/// and only its revision tells that it is known.
#[gtest]
fn a_known_configuration_is_confirmed_without_decoding() {
    run_single_threaded(async {
        let cluster = Cluster::with_bounds(|bounds| bounds.revocation_ms = 3_000).await;
        cluster.store.corrupt("config", "main");
        // Longer than an unconfirmed configuration stays in use.
        sleep(Duration::from_millis(4_000)).await;
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// Only one witness is left. Guards against requiring more: a failed stage of a small fleet would
/// never be detected, and its chain would stay silent.
#[gtest]
fn a_single_remaining_witness_suffices() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let others = cluster.runners[2..].iter().chain(&cluster.plain);
        others.for_each(|r| r.register("draining"));
        let stage = cluster.local_runner((2, 4));
        stage.behaviour.set(Behaviour::Unresponsive);
        send_failure_report(&cluster, &stage.id).await;
        cluster.wait_for_dead(1).await;
        expect_that!(cluster.dead_runners().await, eq(1));
    });
}
