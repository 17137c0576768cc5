//! Runners that name how many requests a second they take from all instances together.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::standin::{Cluster, Runner, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, TOKENS};

/// Limit that a runner names, in requests a second.
const LIMIT: f64 = 2.0;

/// Time after which a named limit must be kept, and length of a window in which it is counted.
const SETTLES: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a runner may get in a window.
const ALLOWED: usize = (1.5 * LIMIT * 4.0) as usize + 5;

/// Pause between two requests, to two instances in turn.
const PAUSE: Duration = Duration::from_millis(50);

/// The most that a runner got in any window that begins after `from`.
fn most_in_a_window(runner: &Runner, from: Instant) -> usize {
    let arrived = runner.arrivals.borrow();
    let starts = arrived.iter().filter(|at| **at >= from);
    let within = |start: Instant| {
        let window = arrived.iter().filter(|at| **at >= start);
        window.filter(|at| **at < start + WINDOW).count()
    };
    starts.map(|start| within(*start)).max().unwrap_or(0)
}

/// Requests to two instances in turn, twenty a second, for as long as a limit settles and a window after.
async fn ask_both(callers: [SocketAddr; 2], first: &'static str, lines: &'static str) {
    let until = Instant::now() + SETTLES + WINDOW + WINDOW / 4;
    for at in callers.into_iter().cycle() {
        if Instant::now() >= until {
            return;
        }
        spawn_local(async move { send_request(at, first, lines, "one").await });
        sleep(PAUSE).await;
    }
}

/// Each instance saw the limit in the answers that it passed on, and passed on more.
#[gtest]
fn a_plain_runner_gets_no_more_than_it_names_from_all_instances_together() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        let limited = &cluster.plain[0];
        limited.rate_limit.set(Some(LIMIT));
        let began = Instant::now();
        ask_both([cluster.callers(), other.listen.callers], LOOKUP, "").await;
        expect_that!(most_in_a_window(limited, began + SETTLES), le(ALLOWED));
        // What one does not take the other does.
        expect_that!(cluster.plain[1].run_count(), gt(limited.run_count()));
        expect_that!(limited.run_count(), gt(0));
    });
}

/// The same of the first runner of a chain.
#[gtest]
fn a_chain_gets_no_more_than_its_first_runner_names() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (other, _relay) = cluster.start_instance("two").await;
        let limited = cluster.local_runner((0, 2));
        limited.rate_limit.set(Some(LIMIT));
        let began = Instant::now();
        ask_both([cluster.callers(), other.listen.callers], NOTES, TOKENS).await;
        expect_that!(most_in_a_window(limited, began + SETTLES), le(ALLOWED));
        expect_that!(limited.run_count(), gt(0));
    });
}

/// A runner that is well again says so by naming no limit: it gets its share as before.
#[gtest]
fn a_limit_ends_with_the_answer_that_names_none() {
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
        let free = async {
            while limited.run_count() < while_limited + 20 {
                send_request(cluster.callers(), LOOKUP, "", "one").await;
                sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(crate::standin::TEST_TIMEOUT, free)
            .await
            .expect("it gets requests again");
    });
}
