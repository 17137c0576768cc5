//! Rate limits that runners announce for all instances together.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::standin::{Cluster, Runner, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, TOKENS};

/// Rate limit that a runner announces, in requests per second.
const LIMIT: f64 = 2.0;

/// Time after which an announced limit must be observed.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of requests that a runner may receive in a window.
const MAX_REQUESTS_PER_WINDOW: usize = (1.5 * LIMIT * 4.0) as usize + 5;

/// Interval between requests, which alternate between two instances.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the maximum number of requests that a runner received in any window that begins after
/// `from`.
fn max_requests_per_window(runner: &Runner, from: Instant) -> usize {
    let arrivals = runner.arrivals.borrow();
    let starts = arrivals.iter().filter(|at| **at >= from);
    let within = |start: Instant| {
        let window = arrivals.iter().filter(|at| **at >= start);
        window.filter(|at| **at < start + WINDOW).count()
    };
    starts.map(|start| within(*start)).max().unwrap_or(0)
}

/// Sends twenty requests per second to two instances in turn, for the settling time and somewhat
/// more than a window after it.
async fn load_both(callers: [SocketAddr; 2], request_line: &'static str, headers: &'static str) {
    let until = Instant::now() + SETTLING_TIME + WINDOW + WINDOW / 4;
    for at in callers.into_iter().cycle() {
        if Instant::now() >= until {
            return;
        }
        spawn_local(async move { send_request(at, request_line, headers, "one").await });
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Guards against instances that forward the announced limit in their responses, but exceed it
/// themselves.
#[gtest]
fn the_instances_together_observe_the_rate_limit_of_a_plain_runner() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        let limited = &cluster.plain[0];
        limited.rate_limit.set(Some(LIMIT));
        let began = Instant::now();
        load_both([cluster.callers(), other.listen.callers], LOOKUP, "").await;
        expect_that!(
            max_requests_per_window(limited, began + SETTLING_TIME),
            le(MAX_REQUESTS_PER_WINDOW)
        );
        // The other runner takes over the excess requests.
        expect_that!(cluster.plain[1].run_count(), gt(limited.run_count()));
        expect_that!(limited.run_count(), gt(0));
    });
}

/// The same for the first runner of a chain.
#[gtest]
fn the_instances_together_observe_the_rate_limit_of_a_chain() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        let limited = cluster.local_runner((0, 2));
        limited.rate_limit.set(Some(LIMIT));
        let began = Instant::now();
        load_both([cluster.callers(), other.listen.callers], NOTES, TOKENS).await;
        expect_that!(
            max_requests_per_window(limited, began + SETTLING_TIME),
            le(MAX_REQUESTS_PER_WINDOW)
        );
        expect_that!(limited.run_count(), gt(0));
    });
}

/// A runner that has recovered announces no limit any more. Guards against a limit that outlives
/// its announcement: the runner gets its previous share.
#[gtest]
fn a_rate_limit_ends_with_a_response_that_announces_none() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let limited = &cluster.plain[0];
        limited.rate_limit.set(Some(LIMIT));
        for _ in 0..40 {
            send_request(cluster.callers(), LOOKUP, "", "one").await;
        }
        let while_limited = limited.run_count();
        expect_that!(while_limited, lt(cluster.plain[1].run_count()));
        limited.rate_limit.set(None);
        let recovered = async {
            while limited.run_count() < while_limited + 20 {
                send_request(cluster.callers(), LOOKUP, "", "one").await;
                sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(crate::standin::TEST_TIMEOUT, recovered)
            .await
            .expect("requests to the recovered runner");
    });
}
