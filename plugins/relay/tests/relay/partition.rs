//! Instances that lose their paths to all runners, while callers, the store and the other instances
//! still reach them.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use jacinthweir_relay::{Relay, RelaySettings};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::silent_calls::{expect_both_end_with, fall_silent, open_call, wait_for_both_to_run};
use crate::standin::{
    Behaviour, Cluster, Cut, NewConnections, OpenConnections, Paths, Response, TEST_TIMEOUT, get,
    run_single_threaded, send_request,
};
use crate::{LOOKUP, NOTES, PAY, TOKENS};

/// Time that an instance is given to notice a cut. Callers count failures from three seconds on.
const DETECTION: Duration = Duration::from_millis(1_500);

const CUTS: [Cut; 4] = [
    Cut {
        new: NewConnections::Refused,
        open: OpenConnections::Reset,
    },
    Cut {
        new: NewConnections::Refused,
        open: OpenConnections::LiveOn,
    },
    Cut {
        new: NewConnections::Hang,
        open: OpenConnections::Hang,
    },
    Cut {
        new: NewConnections::Hang,
        open: OpenConnections::LiveOn,
    },
];

/// An instance whose paths to the runners can be cut.
struct Member {
    paths: Paths,
    settings: RelaySettings,
    _relay: Relay,
}

/// Starts a cluster, whose first instance always reaches the runners, and `count` instances behind
/// paths that can be cut.
async fn open(count: usize) -> (Cluster, Vec<Rc<Member>>) {
    let cluster = Cluster::with_long_timeouts(|_| {}).await;
    let mut members = Vec::new();
    for i in 0..count {
        let paths = Paths::open(&cluster).await;
        let name = format!("cut-{i}");
        let (settings, relay) = cluster.start_instance_behind(&name, &paths).await;
        members.push(Rc::new(Member {
            paths,
            settings,
            _relay: relay,
        }));
    }
    (cluster, members)
}

fn cut_all(members: &[Rc<Member>], cut: Cut) {
    members.iter().for_each(|m| m.paths.cut(cut));
}

async fn send_to(member: &Member, line: &str) -> Response {
    send_request(member.settings.listen.callers, line, TOKENS, "prompt").await
}

/// Waits until an instance avoids no runner any more.
async fn wait_until_recovered(member: &Member) {
    let recovered = async {
        loop {
            let dump = get(member.settings.listen.operators, "GET /dump HTTP/1.1").await;
            let is_avoided = |flag: &str| dump.body.contains(&format!("\"{flag}\": true"));
            if !is_avoided("unreachable") && !is_avoided("dead") {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, recovered).await.expect("recovery");
}

/// Plays a cut of `count` instances at once: requests of all kinds are sent to each of them.
fn expect_served_during(cut: Cut, count: usize) {
    run_single_threaded(async {
        let (cluster, members) = open(count).await;
        cut_all(&members, cut);
        for member in &members {
            // The first requests may be lost to the cut; they make the instance notice it.
            let lines = [NOTES, LOOKUP, PAY];
            let noticing = lines.map(|line| {
                let member = Rc::clone(member);
                spawn_local(async move { send_to(&member, line).await })
            });
            drop(noticing);
        }
        sleep(DETECTION).await;
        for member in &members {
            for line in [NOTES, LOOKUP, PAY] {
                let got = send_to(member, line).await;
                expect_that!(got.status, eq(200), "{cut:?} {line}");
                expect_true!(got.complete);
            }
            expect_that!(dead_runners(&member.settings).await, eq(0), "{cut:?}");
        }
        expect_that!(cluster.dead_runners().await, eq(0));
    });
}

async fn dead_runners(settings: &RelaySettings) -> usize {
    let dump = get(settings.listen.operators, "GET /dump HTTP/1.1").await;
    dump.body.matches("\"dead\": true").count()
}

/// Guards against an instance that refuses every request while its paths to the runners refuse
/// connections, although other instances could serve them.
#[gtest]
fn an_instance_whose_paths_refuse_connections_serves_through_another() {
    expect_served_during(CUTS[0], 1);
    expect_served_during(CUTS[1], 1);
}

/// The same while connections to the runners hang.
#[gtest]
fn an_instance_whose_paths_hang_serves_through_another() {
    expect_served_during(CUTS[2], 1);
    expect_served_during(CUTS[3], 1);
}

/// The same while most instances, and all of a failure domain, are cut off.
#[gtest]
fn a_failure_domain_without_paths_serves_through_another() {
    for cut in CUTS {
        expect_served_during(cut, 2);
    }
}

/// Returns the room of each chain that an instance uses, in tokens.
async fn rooms(member: &Member) -> Vec<f64> {
    let dump = get(member.settings.listen.operators, "GET /dump HTTP/1.1").await;
    let dump: serde_json::Value = serde_json::from_str(&dump.body).expect("JSON");
    let chains = dump["chains"].as_array().expect("chains").iter();
    let rooms = chains.map(|c| c["room_tokens"].as_f64().expect("a number"));
    rooms.collect()
}

/// Guards against requests that are refused for want of room at an instance that reaches the chains
/// of one failure domain, while those of the other are idle.
#[gtest]
fn an_instance_that_reaches_only_full_chains_serves_through_another() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        let member = &members[0];
        for runner in &cluster.runners {
            runner.event_interval.set(Duration::from_millis(500));
        }
        let rooms = rooms(member).await;
        member.paths.cut_first(2, CUTS[0]);
        for _ in 0..3 {
            let _ = send_to(member, NOTES).await;
        }
        // Each fills more than half of a chain; there are two chains or more in each domain.
        let tokens = rooms.iter().copied().fold(0.0, f64::max) * 0.6;
        let headers = format!("X-Jacinthweir-Token-Counts: {tokens:.0},6\r\n");
        let callers = member.settings.listen.callers;
        let sent = (0..rooms.len()).map(|_| send_request(callers, NOTES, &headers, "prompt"));
        for got in join_all(sent).await {
            expect_that!(got.status, eq(200));
            expect_true!(got.complete);
        }
    });
}

/// Starts a stream at an instance and waits until it has begun.
async fn start_stream(cluster: &Cluster, member: &Rc<Member>) -> JoinHandle<Response> {
    let before = cluster.run_count();
    let member = Rc::clone(member);
    let stream = spawn_local(async move { send_to(&member, NOTES).await });
    let began = Instant::now();
    while cluster.run_count() == before && began.elapsed() < TEST_TIMEOUT {
        sleep(Duration::from_millis(1)).await;
    }
    stream
}

/// Guards against streams that are cut, or have events twice, when the paths of their instance are
/// lost under them. Those whose connections live on must not run again.
#[gtest]
fn streams_outlive_the_paths_that_they_began_on() {
    for cut in CUTS {
        run_single_threaded(async move {
            let (cluster, members) = open(1).await;
            cluster
                .runners
                .iter()
                .for_each(|r| r.event_interval.set(Duration::from_millis(150)));
            let stream = start_stream(&cluster, &members[0]).await;
            sleep(Duration::from_millis(100)).await;
            cut_all(&members, cut);
            // A request that fails to connect must not break the streams that live on.
            let _ = send_to(&members[0], NOTES).await;
            let got = stream.await.expect("it ends");
            expect_that!(got.status, eq(200), "{cut:?}");
            expect_true!(got.complete, "{cut:?}");
            expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]), "{cut:?}");
            let first_runs = match cut.open {
                OpenConnections::LiveOn => 1,
                OpenConnections::Reset | OpenConnections::Hang => 2,
            };
            expect_that!(cluster.run_count(), eq(first_runs + 1), "{cut:?}");
        });
    }
}

/// Guards against an instance that goes on avoiding runners after its paths are back. How soon it
/// stops is tested in `relay_reachability`, in simulated time.
#[gtest]
fn restored_paths_are_used_again() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        let member = &members[0];
        member.paths.cut(CUTS[0]);
        for _ in 0..6 {
            let _ = send_to(member, NOTES).await;
            let _ = send_to(member, LOOKUP).await;
            sleep(Duration::from_millis(500)).await;
        }
        member.paths.restore();
        wait_until_recovered(member).await;
        let before = cluster.run_count();
        let got = send_to(member, LOOKUP).await;
        expect_that!(got.status, eq(200));
        expect_that!(cluster.run_count(), eq(before + 1));
    });
}

/// Guards against callers that are sent to an instance without paths while others have theirs.
#[gtest]
fn callers_are_sent_to_instances_with_paths() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        let member = &members[0];
        member.paths.cut(CUTS[0]);
        let _ = send_to(member, NOTES).await;
        let _ = send_to(member, LOOKUP).await;
        sleep(DETECTION).await;
        let path = "GET /api/resolve?name=site.example&region=r&zone=b HTTP/1.1";
        let own = member.settings.listen.callers.to_string();
        for settings in [&cluster.settings, &member.settings] {
            let got = get(settings.listen.entry, path).await;
            expect_that!(got.body, contains_substring(cluster.callers().to_string()));
            expect_that!(got.body, not(contains_substring(own.as_str())));
        }
    });
}

/// Guards against a failure response to a call through another instance while the runner that has it is
/// silent and the others refuse it.
#[gtest]
fn calls_through_another_instance_outlive_the_silence_of_their_runner() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        let member = &members[0];
        member.paths.cut(CUTS[0]);
        let _ = send_to(member, LOOKUP).await;
        sleep(DETECTION).await;
        cluster.plain[1].behaviour.set(Behaviour::NotRun);
        for line in [LOOKUP, PAY] {
            let before = cluster.run_count();
            fall_silent(&cluster.plain[0]);
            let got = send_to(member, line).await;
            expect_that!(got.status, eq(200), "{line}");
            expect_that!(cluster.run_count(), eq(before + 1), "{line}");
        }
    });
}

/// Sends an idempotent call to an instance whose paths are cut for new connections while the first
/// runner of the call runs it.
async fn call_during_cut(cluster: &Cluster, member: &Rc<Member>) -> Response {
    let called = Rc::clone(member);
    let call = spawn_local(async move { send_to(&called, LOOKUP).await });
    let begun = async {
        while cluster.plain[1].run_count() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("a run");
    member.paths.cut(CUTS[1]);
    call.await.expect("it ends")
}

/// Guards against a call that hangs at the only runner of its instance, while the one that the instance
/// does not reach could run it for another instance.
#[gtest]
fn a_call_whose_runner_hangs_is_sent_through_another_instance_to_an_unreached_runner() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        cluster.plain[1].behaviour.set(Behaviour::HangsRequests);
        let got = call_during_cut(&cluster, &members[0]).await;
        expect_that!(got.status, eq(200));
        expect_that!(got.body, eq("answer of p1"));
        expect_that!(cluster.plain[0].run_count(), eq(1));
    });
}

/// Guards against forwarding a failure that another instance passes on, while the silent runner of
/// this one is about to answer.
#[gtest]
fn a_call_outlives_the_silence_of_its_runner_and_a_failure_through_another_instance() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        fall_silent(&cluster.plain[1]);
        cluster.plain[0].behaviour.set(Behaviour::ServerError);
        let got = call_during_cut(&cluster, &members[0]).await;
        expect_that!(got.status, eq(200));
        expect_that!(got.body, eq("answer of p2"));
        expect_that!(cluster.plain[0].run_count(), eq(1));
    });
}

/// Guards against runs that go on after the caller of another instance has left.
#[gtest]
fn a_caller_that_leaves_ends_the_runs_of_its_call_through_another_instance() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        let member = &members[0];
        member.paths.cut(CUTS[0]);
        let _ = send_to(member, LOOKUP).await;
        sleep(DETECTION).await;
        cluster
            .plain
            .iter()
            .for_each(|r| r.received.borrow_mut().clear());
        cluster.set_behaviour(Behaviour::HangsRequests);
        let caller = open_call(member.settings.listen.callers, LOOKUP).await;
        wait_for_both_to_run(&cluster).await;
        expect_both_end_with(&cluster, caller).await;
    });
}

/// Guards against a request that may have run at another instance and is reported as not run, or
/// runs again: the runner accepts it and closes the connection.
#[gtest]
fn a_call_that_must_not_repeat_runs_once_through_another_instance() {
    run_single_threaded(async {
        let (cluster, members) = open(1).await;
        let member = &members[0];
        member.paths.cut(CUTS[0]);
        let _ = send_to(member, LOOKUP).await;
        sleep(DETECTION).await;
        let before = cluster.run_count();
        cluster.set_behaviour(Behaviour::ClosesConnection);
        let got = send_to(member, PAY).await;
        expect_that!(got.status, eq(502));
        expect_that!(cluster.run_count(), eq(before + 1));
    });
}
