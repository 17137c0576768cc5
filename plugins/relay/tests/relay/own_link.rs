//! What an instance believes of runners while it hears nobody itself.

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

/// Two streams under way, so that the silence of their chain is noticed soon.
async fn two_streams(cluster: &Cluster) -> Vec<JoinHandle<Response>> {
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

async fn expect_whole_from_one_run_each(cluster: &Cluster, streams: Vec<JoinHandle<Response>>) {
    for stream in streams {
        let got = stream.await.expect("it ends");
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
    }
    expect_that!(cluster.run_count(), eq(2));
}

/// Beside a change of the configuration a caller's answer ended in the middle, although all runners
/// lived. The configuration was large and filled the instance's own link: the streams of a chain
/// paused, and the questions to its parts got no answer within a fixed time, after which each of them
/// counted as dead. The streams went on in another chain, which was silent for the same reason and
/// was taken for dead as well; then they were cut. The lines of one such instance:
/// `configuration read took_ms=877`, `held up passed_ms=130`, `runner counts as dead evidence="no
/// answer: timeout"`, `a chain is broken waiting=6`, `parts of a chain were asked parts=4
/// unanswered=4 took_ms=339`. Silence counts beside witnesses only: here nobody answers at all.
#[gtest]
fn an_instance_that_hears_nobody_takes_nobody_for_dead() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let streams = two_streams(&cluster).await;
        cluster.pause_all(true);
        // Callers wait for two seconds and more.
        sleep(Duration::from_millis(1_200)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
        cluster.pause_all(false);
        expect_whole_from_one_run_each(&cluster, streams).await;
    });
}

/// A message between instances that says that runners are dead.
#[derive(Serialize)]
enum Message {
    News(News),
}

#[derive(Serialize)]
struct News {
    domain: String,
    seen: (u64, (u64, u64), Vec<(String, u64)>),
    dead: Vec<(String, u64, Vec<String>)>,
    alive: Vec<(String, u64)>,
    paces: Vec<(String, u64, f64, u64)>,
}

async fn tell_dead(cluster: &Cluster, runner: &str) {
    let namers = ["two", "three", "four"].map(str::to_owned).to_vec();
    let news = Message::News(News {
        domain: "b".to_owned(),
        seen: (0, (0, 0), Vec::new()),
        dead: vec![(runner.to_owned(), BORN_MS, namers)],
        alive: Vec::new(),
        paces: Vec::new(),
    });
    let body = rmp_serde::to_vec(&news).expect("a message");
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

/// One instance's mistake became the whole fleet's: it told the others that a living runner is dead,
/// and each whose chain was silent just then, since the same configuration filled its link, took the
/// word without a question: 62 of 71 instances logged `runner counts as dead evidence="another
/// instance found it dead, its chains are silent here"` within five seconds. Now a word is a reason to
/// ask, beside witnesses.
#[gtest]
fn a_word_that_a_living_runner_is_dead_is_not_taken_over_in_a_silence() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let streams = two_streams(&cluster).await;
        cluster.pause_all(true);
        sleep(Duration::from_millis(100)).await;
        for runner in &cluster.runners[..2] {
            tell_dead(&cluster, &runner.id).await;
        }
        sleep(Duration::from_millis(50)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
        cluster.pause_all(false);
        expect_whole_from_one_run_each(&cluster, streams).await;
    });
}

/// An address at which no connection comes about, and nobody refuses one either.
struct Unconnectable {
    listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl Unconnectable {
    async fn open() -> Unconnectable {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut waiting = Vec::new();
        let brief = Duration::from_millis(500);
        // Connections that nobody accepts, until there is no room for another.
        while let Ok(Ok(stream)) = timeout(brief, TcpStream::connect(address)).await {
            waiting.push(stream);
        }
        Unconnectable {
            listener,
            _waiting: waiting,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }
}

/// A runner at a tenth of its pace answers ten times later than others. It takes connections at once,
/// so it is not silent, and another's word that it is dead must not make it so.
#[gtest]
fn a_runner_whose_report_takes_long_is_not_dead() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let slow = &cluster.runners[0];
        slow.report_delay.set(Duration::from_millis(120));
        tell_dead(&cluster, &slow.id).await;
        sleep(Duration::from_millis(400)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
    });
}

/// While the instance's own link was full, the connections that its requests needed did not come
/// about in time either, and the runners that they were for counted as dead at once, without any
/// question. That a machine refuses a connection shows that nobody listens there; that none comes
/// about shows nothing while nobody else is heard.
#[gtest]
fn a_connection_that_does_not_come_about_is_no_death_while_nobody_is_heard() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.pause_all(true);
        let mut listeners = Vec::new();
        for runner in &cluster.plain {
            let full = Unconnectable::open().await;
            runner.register_at(full.address());
            cluster.wait_for_dump(&full.address().to_string()).await;
            listeners.push(full);
        }
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(503));
        expect_that!(got.header("retry-after"), some(anything()));
        // Longer than anybody is asked.
        sleep(Duration::from_millis(1_500)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
    });
}

/// A plain runner breaks one call off. It takes connections, and knows nothing of reports: it was taken for
/// dead by all instances, and never heard of again.
#[gtest]
fn a_plain_runner_without_reports_that_breaks_a_call_off_is_not_dead() {
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
        // Longer than anybody is asked.
        sleep(Duration::from_millis(1_500)).await;
        expect_that!(cluster.dead_runners().await, eq(0));
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// A plain runner was cut off for a while and is back: that it takes connections has to be enough.
#[gtest]
fn a_plain_runner_without_reports_that_is_reached_again_is_used_again() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let plain = &cluster.plain[0];
        plain.serves_reports.set(false);
        let full = Unconnectable::open().await;
        plain.register_at(full.address());
        cluster.wait_for_dump(&full.address().to_string()).await;
        send_request(cluster.callers(), LOOKUP, "", "").await;
        cluster.wait_for_dead(1).await;
        plain.register("ready");
        let back = async {
            while cluster.dead_runners().await > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, back)
            .await
            .expect("it is found again");
    });
}

/// The checks above can fail: one runner that nobody reaches counts as dead while others answer.
#[gtest]
fn a_runner_that_alone_is_not_reached_counts_as_dead() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let full = Unconnectable::open().await;
        cluster.plain[0].register_at(full.address());
        cluster.wait_for_dump(&full.address().to_string()).await;
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
        let found = async {
            while cluster.dead_runners().await == 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, found)
            .await
            .expect("it counts as dead");
        expect_that!(cluster.dead_runners().await, eq(1));
    });
}

/// A configuration of 0.7 MB was read again some eighteen times a second by a fleet of 71, only to
/// confirm it, and decoded each time: instances stood still for 40 ms and more 1,174 times in a minute.
/// What is known already is not decoded again: here nothing but the object's revision tells that it is.
#[gtest]
fn a_configuration_that_is_known_is_confirmed_without_decoding_it() {
    run_single_threaded(async {
        let cluster = Cluster::with_bounds(|bounds| bounds.revocation_ms = 3_000).await;
        cluster.store.corrupt("config", "main");
        // Longer than an unconfirmed configuration is acted on.
        sleep(Duration::from_millis(4_000)).await;
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// Where nobody but one other runner is left to ask, its answer has to do: otherwise a dead part of a
/// small fleet is never found, and its chain is silent for good.
#[gtest]
fn the_last_witness_is_enough() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let others = cluster.runners[2..].iter().chain(&cluster.plain);
        others.for_each(|r| r.register("draining"));
        let part = cluster.local_runner((2, 4));
        part.behaviour.set(Behaviour::Unresponsive);
        tell_dead(&cluster, &part.id).await;
        cluster.wait_for_dead(1).await;
        expect_that!(cluster.dead_runners().await, eq(1));
    });
}
