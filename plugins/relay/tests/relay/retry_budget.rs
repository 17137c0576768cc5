//! The retry budget of instances that have just started, and of instances that send through others.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Cut, NewConnections, OpenConnections, Paths, TEST_TIMEOUT, get,
    run_single_threaded, send_request,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Starts a cluster whose instance may be a new lifetime, with a budget of a slack alone and a window of
/// `window_s` seconds.
async fn cluster_after_a_restart(window_s: f64, first_start: bool) -> Cluster {
    let cluster = Cluster::with_settings(|settings| {
        settings.first_start = first_start;
        settings.bounds.repeat_ratio = 0.0;
        settings.bounds.repeat_window_s = window_s;
    });
    cluster.await
}

/// Sends a stream whose first run breaks off, and returns whether another run completed it.
async fn is_resumed(cluster: &Cluster) -> bool {
    let local = &cluster.runners[..2];
    local
        .iter()
        .for_each(|r| r.behaviour.set(Behaviour::BreaksMidEvent));
    let got = send_request(cluster.callers(), NOTES, TOKENS, "one").await;
    got.complete
}

/// Guards against an instance that restarts and spends its part of the slack again, within the window in
/// which its former lifetime may have spent it.
#[gtest]
fn an_instance_has_no_part_of_the_slack_until_a_window_after_its_start() {
    run_single_threaded(async {
        let cluster = cluster_after_a_restart(600.0, false).await;
        expect_false!(is_resumed(&cluster).await);

        let cluster = cluster_after_a_restart(0.2, false).await;
        sleep(Duration::from_millis(300)).await;
        expect_true!(is_resumed(&cluster).await);

        let cluster = cluster_after_a_restart(600.0, true).await;
        expect_true!(is_resumed(&cluster).await);
    });
}

/// Retries that both instances together may spend.
const SLACK: usize = 12;

/// Runners that get requests: the first ones of two chains, and two plain ones.
const RECEIVERS: usize = 4;

/// Streams that lose their paths together.
const STREAMS: usize = 40;

/// Starts `STREAMS` streams at an instance, cuts its paths to all runners, and returns how often the streams
/// arrive at runners after that. When the streams break, the runners behave as `then`.
async fn retries_of_streams_cut_together(then: Behaviour) -> usize {
    let cluster = Cluster::with_long_timeouts(|bounds| {
        bounds.repeat_ratio = 0.0;
        bounds.repeat_slack = SLACK as f64;
        bounds.repeat_window_s = 600.0;
    });
    let cluster = cluster.await;
    let paths = Paths::open(&cluster).await;
    let (member, _relay) = cluster.start_instance_behind("cut", &paths).await;
    for runner in &cluster.runners {
        runner.event_interval.set(Duration::from_millis(400));
    }
    let callers = member.listen.callers;
    let streams = (0..STREAMS).map(|_| spawn_local(send_request(callers, NOTES, TOKENS, "")));
    let streams: Vec<_> = streams.collect();
    let begun = async {
        while cluster.run_count() < STREAMS {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, begun).await.expect("all run");
    let cut = |open| {
        let new = NewConnections::Refused;
        paths.cut(Cut { new, open });
    };
    // The instance notices the cut by a call, before the streams do.
    cut(OpenConnections::LiveOn);
    let _ = send_request(callers, LOOKUP, "", "").await;
    let noticed = async {
        while unreachable_runners(member.listen.operators).await < RECEIVERS {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, noticed).await.expect("no path");
    let before = arrivals(&cluster);
    cluster.set_behaviour(then);
    cut(OpenConnections::Reset);
    join_all(streams).await;
    arrivals(&cluster) - before
}

async fn unreachable_runners(operators: SocketAddr) -> usize {
    let dump = get(operators, "GET /dump HTTP/1.1").await;
    dump.body.matches("\"unreachable\": true").count()
}

fn arrivals(cluster: &Cluster) -> usize {
    let arrivals = cluster.runners.iter().map(|r| r.arrivals.borrow().len());
    arrivals.sum()
}

/// Guards against many streams of an instance that pass on the same free retry while they wait for the
/// answers of another instance.
#[gtest]
fn streams_that_go_on_through_another_instance_together_stay_within_the_retry_budget() {
    run_single_threaded(async {
        let retries = retries_of_streams_cut_together(Behaviour::Normal).await;
        expect_that!(retries, le(SLACK));
        expect_that!(retries, ge(1));
    });
}

/// Guards against sends that no instance counts: the first send of the other instance, which a runner
/// refuses, is a further one of the request.
#[gtest]
fn sends_of_another_instance_that_runners_refuse_stay_within_the_retry_budget() {
    run_single_threaded(async {
        let retries = retries_of_streams_cut_together(Behaviour::NotRun).await;
        expect_that!(retries, le(SLACK));
        expect_that!(retries, ge(1));
    });
}
