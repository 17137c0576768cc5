//! Runners that say in their answers that they are leaving.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::standin::{Behaviour, Cluster, Runner, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, TOKENS};

/// Time after which a runner that has said so gets no requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between two writes of a runner's entry.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Sends requests for longer than the drain time, while the runner's entry goes on saying that it is
/// ready.
async fn load(cluster: &Cluster, runner: &Runner, line: &'static str, headers: &'static str) {
    let callers = cluster.callers();
    let until = Instant::now() + DRAIN + DRAIN / 2;
    let mut next_heartbeat = Instant::now();
    while Instant::now() < until {
        spawn_local(async move { send_request(callers, line, headers, "one").await });
        if Instant::now() >= next_heartbeat {
            runner.register("ready");
            next_heartbeat += HEARTBEAT;
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

fn expect_drained(runner: &Runner) {
    let arrivals = runner.arrivals.borrow();
    let first = *arrivals.first().expect("a request");
    let late = arrivals.iter().filter(|at| **at >= first + DRAIN);
    expect_that!(late.count(), eq(0));
}

/// Guards against streams that are sent to a first runner long after it said that it is leaving: only
/// its answers say so, its entry in the store does not yet.
#[gtest]
fn a_first_runner_whose_answers_say_that_it_leaves_gets_no_more_streams() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for leaving in &cluster.runners[..2] {
            leaving.leaving.set(true);
        }
        load(&cluster, &cluster.runners[0], NOTES, TOKENS).await;
        let used = cluster.runners[..2].iter().filter(|r| r.run_count() > 0);
        used.for_each(|r| expect_drained(r));
    });
}

/// The same for a runner of a plain service, which says so in refusals.
#[gtest]
fn a_plain_runner_whose_refusals_say_that_it_leaves_gets_no_more_calls() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let leaving = &cluster.plain[0];
        leaving.leaving.set(true);
        leaving.behaviour.set(Behaviour::NotRun);
        load(&cluster, leaving, LOOKUP, "").await;
        expect_drained(leaving);
    });
}

/// Guards against another instance that goes on sending to a runner which has said to this one that it
/// is leaving.
#[gtest]
fn other_instances_hear_of_a_runner_that_leaves() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        let leaving = &cluster.plain[0];
        leaving.leaving.set(true);
        while leaving.run_count() == 0 {
            let _ = send_request(cluster.callers(), LOOKUP, "", "one").await;
        }
        sleep(DRAIN).await;
        let before = leaving.run_count();
        let callers = other.listen.callers;
        let calls = (0..20).map(|_| send_request(callers, LOOKUP, "", "one"));
        for got in join_all(calls).await {
            expect_that!(got.status, eq(200));
        }
        expect_that!(leaving.run_count(), eq(before));
    });
}
