//! How many runners a request may run on, and which of them it is sent to next.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, HeadCut, Runner, TEST_TIMEOUT, run_single_threaded, send_request,
    wait_for_chains,
};
use crate::{NOTES, TOKENS};

/// Runners that a stream of the cluster may run on.
const MAX_RUNNERS: usize = 2;

/// Sends that a stream of the cluster may take: two more than runners.
const MAX_SENDS: usize = MAX_RUNNERS + 2;

/// Starts a cluster with a third chain.
async fn cluster_of_three_chains() -> Cluster {
    let mut cluster = Cluster::with_long_timeouts(|_| {}).await;
    for id in ["c1", "c2"] {
        let runner = Runner::spawn(&cluster.store, id, "pool", "c").await;
        cluster.runners.push(runner);
    }
    wait_for_chains(&cluster.settings, 3).await;
    cluster
}

/// Returns the number of runners that began to run a request.
fn runners_that_ran(runners: &[Rc<Runner>]) -> usize {
    runners.iter().filter(|r| r.run_count() > 0).count()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, met).await.expect(what);
}

/// The first runner of a stream leaves: its entry is removed, and it goes on with what it runs. Then its run
/// breaks off, and so does the next one. Guards against a third runner where two are allowed.
#[gtest]
fn a_runner_that_left_the_store_counts_among_those_of_a_request() {
    run_single_threaded(async {
        let cluster = cluster_of_three_chains().await;
        cluster.set_behaviour(Behaviour::BreaksMidEvent);
        let runners = &cluster.runners;
        for runner in runners {
            runner.event_interval.set(Duration::from_millis(400));
        }
        let callers = cluster.callers();
        let stream = spawn_local(send_request(callers, NOTES, TOKENS, "prompt"));
        wait_until("a run", || runners_that_ran(runners) > 0).await;
        let first = runners.iter().find(|r| r.run_count() > 0).expect("one");
        cluster.store.remove("servers", &first.id);
        let got = stream.await.expect("an answer");
        expect_false!(got.complete);
        expect_that!(runners_that_ran(runners), eq(MAX_RUNNERS));
    });
}

/// All runners break off: in the head of an answer, or in the middle of a stream. Guards against limits on
/// the runners and sends of a request that each instance counts by itself, so that a request which goes
/// through another instance takes the product of both, each send with a retry of the budget.
#[gtest]
fn sends_of_another_instance_count_against_the_limits_of_a_request() {
    run_single_threaded(async {
        // Which chains take a request is drawn at random.
        for (behaviour, requests) in [
            (Behaviour::EndsWithinHead(HeadCut::HeaderName), 8),
            (Behaviour::BreaksMidEvent, 1),
        ] {
            let cluster = cluster_of_three_chains().await;
            let runners = &cluster.runners;
            let (member, _relay) = cluster.start_instance_without_paths().await;
            cluster.set_behaviour(behaviour);
            for _ in 0..requests {
                runners.iter().for_each(|r| r.received.borrow_mut().clear());
                let got = send_request(member.listen.callers, NOTES, TOKENS, "prompt").await;
                expect_false!(got.status == 200 && got.complete, "{behaviour:?}");
                let ran = runners_that_ran(runners);
                expect_that!(ran, le(MAX_RUNNERS), "{behaviour:?}");
                let runs: usize = runners.iter().map(|r| r.run_count()).sum();
                expect_that!(runs, le(MAX_SENDS), "{behaviour:?}");
            }
        }
    });
}

/// One runner breaks off each answer. Guards against sending a request to it again and again, each time
/// with a retry of the budget, while another chain would serve it.
#[gtest]
fn a_request_goes_on_at_another_runner_than_the_one_that_broke_off() {
    run_single_threaded(async {
        for behaviour in [Behaviour::ClosesConnection, Behaviour::BreaksMidEvent] {
            let cluster = Cluster::open().await;
            let local = &cluster.runners[..2];
            local.iter().for_each(|r| r.behaviour.set(behaviour));
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_true!(got.complete, "{behaviour:?}");
            expect_that!(cluster.run_count(), eq(2), "{behaviour:?}");
        }
    });
}
