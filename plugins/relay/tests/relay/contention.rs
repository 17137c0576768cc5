//! Admission while chains are full, at a few instances: which requests are refused, with which cause,
//! and that none of them reached a runner.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use jacinthweir_policy::membership::MemberDigest;
use jacinthweir_policy::relay::loads::{LoadDigest, LoadUpdate};
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_relay::settings::RelaySettings;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Cut, NewConnections, OpenConnections, Paths, Response, TEST_TIMEOUT,
    configuration, get, run_single_threaded, send_request,
};
use crate::{NOTES, TOKENS};

/// Streams of the most and of the least urgent route.
const URGENT: &str = NOTES;
pub const BATCH: &str = "POST /batch/1 HTTP/1.1";

/// Tokens of a request that no fleet has room for. Its arrival is a demand that exceeds any supply for
/// longer than a test takes, since demand falls by a factor of e in a second.
pub const FLOOD_TOKENS: u32 = u32::MAX / 2;

/// Age of a plan from which on it is computed again, with a margin.
const PLAN_AGE: Duration = Duration::from_millis(150);

const NO_ROOM_FOR_PRIORITY: &str = "no room for its priority\n";

/// Returns a configuration with urgent streams and, if wanted, less urgent ones for the same service.
fn with_batch(version: u64, has_batch: bool) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().expect("routes");
    routes[0]["priority"] = 0.into();
    routes[0]["targetLatencyMs"] = 2_500.into();
    routes[0]["timeoutMs"] = 20_000.into();
    if has_batch {
        let mut batch = routes[0].clone();
        batch["name"] = "batch".into();
        batch["pathPrefix"] = "/batch/".into();
        batch["priority"] = 2.into();
        routes.push(batch);
    }
    configuration
}

pub async fn configure(cluster: &Cluster, version: u64, has_batch: bool) {
    let configuration = with_batch(version, has_batch);
    cluster.store.put("config", "main", &configuration);
    cluster.wait_for_version(version).await;
}

async fn send_flood(callers: SocketAddr) -> Response {
    let headers = format!("X-Jacinthweir-Token-Counts: {FLOOD_TOKENS},6\r\n");
    send_request(callers, BATCH, &headers, "flood").await
}

/// Makes an instance's service overloaded by less urgent requests. The first one waits in vain, since
/// the rates are not complete; overload begins when the supply has been short for 300 ms.
async fn overload(settings: &RelaySettings) {
    for _ in 0..5 {
        let got = send_flood(settings.listen.callers).await;
        expect_that!(got.status, eq(503));
        sleep(PLAN_AGE).await;
    }
}

/// Fills all chains to three quarters with streams that do not end by themselves.
async fn fill(cluster: &Cluster) -> Vec<JoinHandle<Response>> {
    cluster.set_behaviour(Behaviour::Endless);
    let dump = get(cluster.settings.listen.operators, "GET /dump HTTP/1.1").await;
    let dump: Value = serde_json::from_str(&dump.body).expect("JSON");
    let chains = dump["chains"].as_array().expect("chains").iter();
    let rooms: Vec<f64> = chains.filter_map(|c| c["room_tokens"].as_f64()).collect();
    let callers = cluster.callers();
    let mut streams = Vec::new();
    for room in &rooms {
        let headers = format!("X-Jacinthweir-Token-Counts: {:.0},6\r\n", room * 0.75);
        let before = cluster.run_count();
        streams.push(spawn_local(async move {
            send_request(callers, URGENT, &headers, "long").await
        }));
        let begun = async {
            while cluster.run_count() == before {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TEST_TIMEOUT, begun).await.expect("it runs");
    }
    cluster.set_behaviour(Behaviour::Normal);
    streams
}

/// Expects that an overloaded instance serves an urgent stream, and refuses a less urgent one at once
/// and without a run.
async fn expect_order_of_priorities(cluster: &Cluster, settings: &RelaySettings) {
    let before = cluster.run_count();
    send_flood(settings.listen.callers).await;
    sleep(PLAN_AGE).await;
    let got = send_request(settings.listen.callers, BATCH, TOKENS, "batch").await;
    expect_that!(got.status, eq(503));
    expect_that!(got.body, eq(NO_ROOM_FOR_PRIORITY));
    let delay: Option<f64> = got.header("retry-after").and_then(|v| v.parse().ok());
    expect_that!(delay, some(gt(0.0)));
    expect_that!(cluster.run_count(), eq(before));
    expect_served(settings, URGENT).await;
    expect_that!(cluster.run_count(), eq(before + 1));
}

async fn expect_served(settings: &RelaySettings, line: &str) {
    let got = send_request(settings.listen.callers, line, TOKENS, "prompt").await;
    expect_that!(got.status, eq(200), "{line}: {}", got.body);
    expect_true!(got.complete);
}

fn flood_runs(cluster: &Cluster) -> usize {
    let received = cluster.runners.iter().map(|r| {
        let received = r.received.borrow();
        received.iter().filter(|r| r.body == b"flood").count()
    });
    received.sum()
}

/// The part of an instance's messages that these tests need, as on the wire.
#[derive(Serialize)]
enum Message {
    Exchange(&'static str, MemberDigest, View, LoadDigest, LoadUpdate),
}

#[derive(Serialize)]
struct View(&'static str, Option<u64>, [u8; 0], Seen, [u8; 0], [u8; 0]);

#[derive(Serialize)]
struct Seen(u64, Revision, [u8; 0]);

#[derive(Deserialize)]
enum Reply {
    Exchange(IgnoredAny, IgnoredAny, IgnoredAny, LoadUpdate, IgnoredAny),
}

/// Returns the number of flows in the load that an instance of domain "a" sends within it.
async fn exchanged_flows(settings: &RelaySettings) -> usize {
    let seen = Seen(0, Revision::default(), []);
    let view = View("a", None, [], seen, [], []);
    let (digest, update) = (LoadDigest::default(), LoadUpdate::default());
    let message = Message::Exchange("test", MemberDigest::default(), view, digest, update);
    let body = rmp_serde::to_vec(&message).expect("a message");
    let head = format!(
        "POST /peer HTTP/1.1\r\nHost: one\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(settings.listen.peers)
        .await
        .expect("a connection");
    let bytes = [head.as_bytes(), &body].concat();
    stream.write_all(&bytes).await.expect("sent");
    let mut got = Vec::new();
    stream.read_to_end(&mut got).await.expect("a reply");
    let end = got
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .expect("a head");
    let Reply::Exchange(_, _, _, update, _) =
        rmp_serde::from_slice(&got[end + 4..]).expect("a reply to an exchange");
    let own = update.members.iter().find(|m| *m.name == *settings.name);
    own.expect("its own load").load.flows.len()
}

/// Guards against contention control in a fleet whose operators have stated no order: larger exchanges,
/// and requests that are refused for their priority.
#[gtest]
fn without_several_priorities_nothing_is_exchanged_or_refused_for_priority() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        configure(&cluster, 2, false).await;
        let streams = fill(&cluster).await;
        let headers = format!("X-Jacinthweir-Token-Counts: {FLOOD_TOKENS},6\r\n");
        let callers = cluster.callers();
        let sent = (0..6).map(|_| send_request(callers, URGENT, &headers, "flood"));
        for got in join_all(sent).await {
            expect_that!(got.status, eq(503));
            expect_that!(got.body, eq("no room\n"));
        }
        expect_that!(exchanged_flows(&cluster.settings).await, eq(0));
        expect_that!(flood_runs(&cluster), eq(0));
        streams.iter().for_each(JoinHandle::abort);
    });
}

/// Guards against urgent streams that are refused with all others while chains are full, and against a
/// configuration that changes the admission of running instances only after a restart.
#[gtest]
fn a_second_priority_turns_contention_control_on_and_its_removal_off() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        configure(&cluster, 2, false).await;
        let streams = fill(&cluster).await;
        configure(&cluster, 3, true).await;
        overload(&cluster.settings).await;
        expect_order_of_priorities(&cluster, &cluster.settings).await;
        expect_that!(exchanged_flows(&cluster.settings).await, eq(1));

        configure(&cluster, 4, false).await;
        expect_that!(exchanged_flows(&cluster.settings).await, eq(0));
        expect_served(&cluster.settings, URGENT).await;

        // The demand of the time before is not remembered.
        configure(&cluster, 5, true).await;
        expect_served(&cluster.settings, BATCH).await;
        expect_that!(flood_runs(&cluster), eq(0));
        streams.iter().for_each(JoinHandle::abort);
    });
}

/// Guards against instances that admit what they should refuse, or refuse everything, when one of them
/// is killed during an overload or the store is lost: none of the figures is in the store.
#[gtest]
fn priorities_keep_their_order_without_an_instance_and_without_the_store() {
    run_single_threaded(async {
        let cluster = Cluster::with_revocation_bound(60_000).await;
        configure(&cluster, 2, true).await;
        let (settings, relay) = cluster.start_instance("two").await;
        overload(&cluster.settings).await;
        overload(&settings).await;
        expect_order_of_priorities(&cluster, &settings).await;
        drop(relay);
        expect_order_of_priorities(&cluster, &cluster.settings).await;
        cluster.store.unresponsive.set(true);
        expect_order_of_priorities(&cluster, &cluster.settings).await;
        expect_that!(flood_runs(&cluster), eq(0));
        expect_that!(cluster.dead_runners().await, eq(0));
    });
}

/// Guards against a dead runner that is taken for a slow one because its service is overloaded.
#[gtest]
fn a_dead_runner_is_found_during_overload() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        configure(&cluster, 2, true).await;
        overload(&cluster.settings).await;
        for runner in &cluster.runners[..2] {
            runner.behaviour.set(Behaviour::Unresponsive);
        }
        // Enough that some of them are sent to the chain of these runners.
        let sent = (0..20).map(|_| expect_served(&cluster.settings, URGENT));
        join_all(sent).await;
        cluster.wait_for_dead(1).await;
    });
}

/// Guards against an instance without paths that refuses all requests for want of room, since it
/// reaches no chain.
#[gtest]
fn an_instance_without_paths_serves_urgent_streams_through_another_during_overload() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        configure(&cluster, 2, true).await;
        let paths = Paths::open(&cluster).await;
        let (settings, _relay) = cluster.start_instance_behind("two", &paths).await;
        paths.cut(Cut {
            new: NewConnections::Refused,
            open: OpenConnections::Reset,
        });
        // The first request may be lost to the cut; it makes the instance notice it.
        let _ = send_request(settings.listen.callers, URGENT, TOKENS, "prompt").await;
        overload(&settings).await;
        expect_order_of_priorities(&cluster, &settings).await;
        expect_that!(flood_runs(&cluster), eq(0));
    });
}
