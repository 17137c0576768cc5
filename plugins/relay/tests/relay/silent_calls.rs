//! Calls whose sound runner falls silent for a second or so and then answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Response, Runner, TEST_TIMEOUT, run_single_threaded, send_request,
};
use crate::{LOOKUP, PAY};

/// How long a sound runner may be silent: longer than the objective of the routes, and shorter than
/// their timeout.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Time in which a call is answered that does not wait for its silent runner. Its objective is
/// 500 ms.
const WITHOUT_SILENCE: Duration = Duration::from_millis(1_000);

/// How long a runner asks for no requests: longer than the objective of the routes.
const REST: Duration = Duration::from_millis(1_300);

/// Makes a runner silent for as long as a sound one may be.
pub fn fall_silent(runner: &Rc<Runner>) {
    let runner = Rc::clone(runner);
    runner.responses_paused.set(true);
    spawn_local(async move {
        sleep(SILENCE).await;
        runner.responses_paused.set(false);
    });
}

async fn call(cluster: &Cluster, line: &str) -> Response {
    send_request(cluster.callers(), line, "", "").await
}

fn expect_answer_of(got: &Response, runner: &Runner) {
    expect_that!(got.status, eq(200));
    expect_true!(got.complete);
    expect_that!(got.body, eq(&format!("answer of {}", runner.id)));
}

/// Guards against a failure response while the runner that has an idempotent call is silent, and
/// all others refuse it.
#[gtest]
fn an_idempotent_call_outlives_the_silence_of_the_only_runner_that_took_it() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        fall_silent(&cluster.plain[0]);
        cluster.plain[1].behaviour.set(Behaviour::NotRun);
        let got = call(&cluster, LOOKUP).await;
        expect_answer_of(&got, &cluster.plain[0]);
        expect_that!(cluster.run_count(), eq(1));
    });
}

/// Guards against a failure response while the runner of an idempotent call is silent and no retry
/// is left.
#[gtest]
fn an_idempotent_call_without_a_retry_outlives_the_silence_of_its_runner() {
    run_single_threaded(async {
        let cluster = Cluster::with_bounds(|bounds| {
            bounds.repeat_ratio = 0.0;
            bounds.repeat_slack = 0.0;
        });
        let cluster = cluster.await;
        fall_silent(&cluster.plain[0]);
        let got = call(&cluster, LOOKUP).await;
        expect_answer_of(&got, &cluster.plain[0]);
        expect_that!(cluster.run_count(), eq(1));
    });
}

/// Guards against forwarding the failure of one runner while another, which is silent, is about to
/// answer.
#[gtest]
fn an_idempotent_call_outlives_the_silence_of_one_runner_and_the_failure_of_another() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        fall_silent(&cluster.plain[0]);
        cluster.plain[1].behaviour.set(Behaviour::ServerError);
        let got = call(&cluster, LOOKUP).await;
        expect_answer_of(&got, &cluster.plain[0]);
        expect_that!(cluster.run_count(), eq(2));
    });
}

/// Guards against an idempotent call that waits for a silent runner although another would answer.
#[gtest]
fn an_idempotent_call_is_sent_to_another_runner_while_its_first_is_silent() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.plain[0].behaviour.set(Behaviour::HangsRequests);
        let began = Instant::now();
        let got = call(&cluster, LOOKUP).await;
        expect_that!(began.elapsed(), lt(WITHOUT_SILENCE));
        expect_answer_of(&got, &cluster.plain[1]);
        expect_that!(cluster.plain[0].run_count(), eq(1));
        expect_that!(cluster.plain[1].run_count(), eq(1));
    });
}

/// Guards against an idempotent call that is not sent to a runner which becomes available only
/// after the objective, while its first runner hangs. The rest that the runner asked for is kept.
#[gtest]
fn an_idempotent_call_is_sent_to_a_runner_whose_rest_ends_during_the_silence_of_its_first() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::NotRun);
        cluster.plain[1].rest.set(Some(REST.as_secs_f64()));
        let refused = call(&cluster, LOOKUP).await;
        expect_that!(refused.status, eq(503));
        let rest_began = cluster.plain[1].arrivals.borrow()[0];
        cluster.plain[0].behaviour.set(Behaviour::HangsRequests);
        cluster.plain[1].behaviour.set(Behaviour::Normal);
        // The first runner is avoided for a moment after its refusal.
        sleep(Duration::from_millis(200)).await;
        let got = call(&cluster, LOOKUP).await;
        expect_answer_of(&got, &cluster.plain[1]);
        expect_that!(cluster.plain[0].run_count(), eq(1));
        let arrivals = cluster.plain[1].arrivals.borrow().clone();
        assert_that!(arrivals.len(), eq(2));
        expect_that!(arrivals[1] - rest_began, ge(REST));
    });
}

/// Guards against a call that is held beyond its deadline while all of its runners hang, and against
/// a response which says that it did not run.
#[gtest]
fn an_idempotent_call_ends_at_its_deadline_when_all_runners_hang() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::HangsRequests);
        let began = Instant::now();
        let deadline = Duration::from_millis(1_500);
        let headers = format!("X-Jacinthweir-Deadline-Ms: {}\r\n", deadline.as_millis());
        let got = send_request(cluster.callers(), LOOKUP, &headers, "").await;
        expect_that!(got.status, eq(504));
        expect_that!(began.elapsed(), ge(deadline));
        expect_that!(began.elapsed(), lt(deadline + Duration::from_millis(250)));
        expect_that!(cluster.run_count(), eq(2));
    });
}

/// Sends a call without waiting for its answer.
pub async fn open_call(callers: SocketAddr, line: &str) -> TcpStream {
    let mut caller = TcpStream::connect(callers).await.expect("a connection");
    let head = format!(
        "{line}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r9\r\n\
         X-Jacinthweir-Key: key\r\nContent-Length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("sent");
    caller
}

/// Waits until both plain runners have begun to run a call.
pub async fn wait_for_both_to_run(cluster: &Cluster) {
    let begun = async {
        while cluster.plain.iter().any(|r| r.run_count() == 0) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("two runs");
}

/// Expects that both plain runners soon see their connection closed, and have not seen it before.
pub async fn expect_both_end_with(cluster: &Cluster, caller: TcpStream) {
    sleep(Duration::from_millis(50)).await;
    for runner in &cluster.plain {
        expect_that!(runner.disconnects.get(), eq(0), "{}", runner.id);
    }
    drop(caller);
    let disconnected = async {
        while cluster.plain.iter().any(|r| r.disconnects.get() == 0) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let limit = Duration::from_millis(500);
    expect_that!(timeout(limit, disconnected).await, ok(anything()));
}

/// Guards against a run that is abandoned while its caller waits, and against runs that go on after
/// their caller has left.
#[gtest]
fn a_caller_that_leaves_ends_all_runs_of_its_call() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::HangsRequests);
        let caller = open_call(cluster.callers(), LOOKUP).await;
        wait_for_both_to_run(&cluster).await;
        expect_both_end_with(&cluster, caller).await;
    });
}

/// Guards against calls that are sent to a late runner first, again and again, since its sends are no
/// longer given up.
#[gtest]
fn a_runner_that_is_late_is_avoided() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.plain[0].behaviour.set(Behaviour::HangsRequests);
        for _ in 0..8 {
            let got = call(&cluster, LOOKUP).await;
            expect_answer_of(&got, &cluster.plain[1]);
        }
        expect_that!(cluster.plain[0].run_count(), le(3));
    });
}

/// Guards against a non-idempotent call that runs twice or fails because its runner is silent.
#[gtest]
fn a_non_idempotent_call_waits_for_its_silent_runner() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        fall_silent(&cluster.plain[0]);
        let got = call(&cluster, PAY).await;
        expect_answer_of(&got, &cluster.plain[0]);
        expect_that!(cluster.run_count(), eq(1));
    });
}
