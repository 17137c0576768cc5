//! Sound runners that fall silent for a second or so and go on.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::settings::Bounds;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Response, Runner, TEST_TIMEOUT, configuration, run_single_threaded,
    send_request, wait_for_chains,
};
use crate::{LOOKUP, NOTES, PAY, TOKENS};

/// How long a sound runner may be silent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Time between two events of a stream, long enough for its runner to fall silent within it.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// A prompt whose middle part other prompts share.
const SHARED_PART: &str = "X-Jacinthweir-Prompt-Prefix: 5c1e07a2:40,91bd3f06:410,e4402b7d:250\r\n";

/// Makes a runner silent for as long as a sound one may be.
fn fall_silent(runner: &Rc<Runner>) {
    let runner = Rc::clone(runner);
    runner.responses_paused.set(true);
    spawn_local(async move {
        sleep(SILENCE).await;
        runner.responses_paused.set(false);
    });
}

fn start_stream(cluster: &Cluster, headers: &str, body: &'static str) -> JoinHandle<Response> {
    let callers = cluster.callers();
    let headers = format!("{TOKENS}{headers}");
    spawn_local(async move { send_request(callers, NOTES, &headers, body).await })
}

/// Returns the first of `runners` that has begun to run a request.
async fn first_to_run(runners: &[Rc<Runner>]) -> Rc<Runner> {
    let begun = async {
        loop {
            if let Some(runner) = runners.iter().find(|r| r.run_count() > 0) {
                return Rc::clone(runner);
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("a run")
}

async fn expect_complete(stream: JoinHandle<Response>) {
    let got = stream.await.expect("it ends");
    expect_that!(got.status, eq(200));
    expect_true!(got.complete);
    expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
}

/// Starts a cluster in which each stream lasts for some hundred milliseconds.
async fn cluster_with_slow_streams(change: impl FnOnce(&mut Bounds)) -> Cluster {
    let cluster = Cluster::with_long_timeouts(change).await;
    cluster
        .runners
        .iter()
        .for_each(|r| r.event_interval.set(EVENT_INTERVAL));
    cluster
}

/// Leaves no retry to any request.
fn without_retries(bounds: &mut Bounds) {
    bounds.repeat_ratio = 0.0;
    bounds.repeat_slack = 0.0;
}

/// Makes all runners but the first of the relay's own failure domain refuse all requests.
fn leave_one_chain(cluster: &Cluster) {
    cluster.set_behaviour(Behaviour::NotRun);
    let head = cluster.local_runner((0, 2));
    head.behaviour.set(Behaviour::Normal);
}

/// Expects that a stream completes with one run, although its runner falls silent after it has begun.
async fn expect_one_run_despite_silence(cluster: &Cluster) {
    let stream = start_stream(cluster, "", "prompt");
    fall_silent(&first_to_run(&cluster.runners).await);
    expect_complete(stream).await;
    expect_that!(cluster.run_count(), eq(1));
}

/// Guards against streams that end because each of their runners fell silent once.
#[gtest]
fn streams_go_on_after_three_of_their_runners_fell_silent() {
    run_single_threaded(async {
        let mut cluster = cluster_with_slow_streams(|_| {}).await;
        for id in ["c1", "c2"] {
            let runner = Runner::spawn(&cluster.store, id, "pool", "c").await;
            runner.event_interval.set(EVENT_INTERVAL);
            cluster.runners.push(runner);
        }
        wait_for_chains(&cluster.settings, 3).await;
        let streams = ["one", "two"].map(|body| start_stream(&cluster, SHARED_PART, body));
        let mut others = cluster.runners.clone();
        for _ in 0..3 {
            let runner = first_to_run(&others).await;
            others.retain(|r| r.id != runner.id);
            fall_silent(&runner);
        }
        for stream in streams {
            expect_complete(stream).await;
        }
    });
}

/// Guards against closing a stream that must not run again because its runner is silent.
#[gtest]
fn a_stream_that_must_not_run_again_outlives_the_silence_of_its_runner() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        let mut configuration = configuration(3);
        configuration["routes"][0]["targetLatencyMs"] = 2_500.into();
        configuration["routes"][0]["timeoutMs"] = 20_000.into();
        configuration["routes"][0]["resumable"] = false.into();
        cluster.store.put("config", "main", &configuration);
        cluster.wait_for_version(3).await;
        expect_one_run_despite_silence(&cluster).await;
    });
}

/// Guards against closing a stream because its runner is silent and no retry is left.
#[gtest]
fn a_stream_without_a_retry_outlives_the_silence_of_its_runner() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(without_retries).await;
        expect_one_run_despite_silence(&cluster).await;
    });
}

/// Guards against closing a stream, or running it again, because the runner of the only chain with room
/// is silent.
#[gtest]
fn a_stream_outlives_the_silence_of_the_only_chain() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        leave_one_chain(&cluster);
        expect_one_run_despite_silence(&cluster).await;
    });
}

/// Guards against a failure response while the only chain that took the request is silent before its
/// answer begins.
#[gtest]
fn a_stream_that_has_not_begun_outlives_the_silence_of_the_only_chain() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        leave_one_chain(&cluster);
        cluster.runners[..2].iter().for_each(fall_silent);
        let stream = start_stream(&cluster, "", "prompt");
        expect_complete(stream).await;
        expect_that!(cluster.run_count(), eq(1));
    });
}

/// Guards against a failure response to a call while all of its runners are silent and its time is not
/// over.
#[gtest]
fn calls_outlive_the_silence_of_all_runners() {
    run_single_threaded(async {
        for call in [LOOKUP, PAY] {
            let cluster = Cluster::open().await;
            cluster.plain.iter().for_each(fall_silent);
            let got = send_request(cluster.callers(), call, "", "").await;
            expect_that!(got.status, eq(200), "{call}");
            expect_true!(got.complete);
        }
    });
}

/// Guards against a recovery task that ends with the first runner that answers again: those that are
/// silent later were never used again.
#[gtest]
fn a_runner_is_used_again_after_each_silence() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        let head = cluster.local_runner((0, 2));
        leave_one_chain(&cluster);
        for _ in 0..2 {
            head.responses_paused.set(true);
            let streams = ["one", "two"].map(|body| start_stream(&cluster, "", body));
            cluster.wait_for_dead(1).await;
            head.responses_paused.set(false);
            cluster.wait_until_none_is_dead().await;
            for stream in streams {
                stream.await.expect("it ends");
            }
        }
    });
}

/// Guards against a stream that is held past its route's time limit while another run is sought.
#[gtest]
fn a_stream_without_a_runner_ends_at_its_deadline() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(without_retries).await;
        let deadline = "X-Jacinthweir-Deadline-Ms: 1000\r\n";
        let stream = start_stream(&cluster, deadline, "prompt");
        first_to_run(&cluster.runners).await.crash();
        // Callers wait for ten seconds.
        let ended = timeout(Duration::from_secs(5), stream).await;
        expect_that!(ended, ok(anything()));
    });
}

/// Time within which a stream whose chain is broken continues elsewhere; its caller leaves later.
const FAILOVER_LIMIT: Duration = Duration::from_secs(5);

/// Starts a stream that stops after its second event, and returns the runners of its domain and of the
/// other one, each with the first runner of the chain in front.
async fn start_stalled_stream(
    cluster: &Cluster,
) -> (JoinHandle<Response>, [Rc<Runner>; 2], [Rc<Runner>; 2]) {
    cluster.runners.iter().for_each(|r| r.last_event.set(2));
    let stream = start_stream(cluster, "", "prompt");
    let head = first_to_run(&cluster.runners).await;
    sleep(3 * EVENT_INTERVAL).await;
    let (mut own, mut other) = (cluster.runners[..2].to_vec(), cluster.runners[2..].to_vec());
    if other.iter().any(|r| r.id == head.id) {
        std::mem::swap(&mut own, &mut other);
    }
    for chain in [&mut own, &mut other] {
        chain.sort_by_key(|r| r.layers());
    }
    let pair = |v: Vec<Rc<Runner>>| v.try_into().ok().expect("two runners");
    (stream, pair(own), pair(other))
}

/// An event was on its way when a later runner of the chain crashed. Guards against a stream that is
/// bound for good to a chain which is broken, because one event came after the interruption.
#[gtest]
fn a_stream_continues_elsewhere_after_a_last_event_from_a_broken_chain() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        let (stream, [head, tail], [next, _]) = start_stalled_stream(&cluster).await;
        next.responses_paused.set(true);
        tail.crash();
        first_to_run(&[Rc::clone(&next)]).await;
        head.last_event.set(3);
        sleep(EVENT_INTERVAL).await;
        next.responses_paused.set(false);
        next.last_event.set(6);
        let got = timeout(FAILOVER_LIMIT, expect_complete(stream)).await;
        expect_true!(got.is_ok());
    });
}

/// Guards against a second run on a runner that answers again but has not begun its answer yet.
#[gtest]
fn a_runner_that_answers_again_is_not_sent_its_open_request_again() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        leave_one_chain(&cluster);
        cluster.runners[..2].iter().for_each(|r| {
            r.answer_delay.set(Duration::from_millis(1_500));
            fall_silent(r);
        });
        let stream = start_stream(&cluster, "", "prompt");
        expect_complete(stream).await;
        expect_that!(cluster.run_count(), eq(1));
    });
}

/// Guards against a failure response to a call whose first runner is silent for longer than the
/// objective, where nothing else may be tried and time is left.
#[gtest]
fn a_call_without_a_retry_outlives_the_silence_of_its_runner() {
    run_single_threaded(async {
        let cluster = Cluster::with_bounds(|bounds| {
            bounds.repeat_ratio = 0.0;
            bounds.repeat_slack = 0.0;
        });
        let cluster = cluster.await;
        cluster.plain.iter().for_each(fall_silent);
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
    });
}

/// A later runner is silent for a moment, its chain is replaced, the stream goes on, and then that runner
/// crashes. Guards against a stream that no chain in use watches any more.
#[gtest]
fn a_stream_that_went_on_continues_elsewhere_once_its_runner_crashes() {
    run_single_threaded(async {
        let cluster = cluster_with_slow_streams(|_| {}).await;
        let (stream, [head, tail], [next, _]) = start_stalled_stream(&cluster).await;
        next.responses_paused.set(true);
        tail.responses_paused.set(true);
        first_to_run(&[Rc::clone(&next)]).await;
        let replaced = async {
            while head.layers() != Some((0, 4)) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TEST_TIMEOUT, replaced)
            .await
            .expect("a replaced chain");
        tail.responses_paused.set(false);
        head.last_event.set(3);
        cluster.wait_until_none_is_dead().await;
        head.last_event.set(4);
        sleep(2 * EVENT_INTERVAL).await;
        tail.crash();
        next.responses_paused.set(false);
        next.last_event.set(6);
        let got = timeout(FAILOVER_LIMIT, expect_complete(stream)).await;
        expect_true!(got.is_ok());
    });
}
