//! Runners that name how many requests a second they take from all instances together.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::standin::{Runner, Site, on_one_thread, request};
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
    let arrived = runner.arrived.borrow();
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
        spawn_local(async move { request(at, first, lines, "one").await });
        sleep(PAUSE).await;
    }
}

/// Each instance saw the limit in the answers that it passed on, and passed on more.
#[gtest]
fn a_plain_runner_gets_no_more_than_it_names_from_all_instances_together() {
    on_one_thread(async {
        let site = Site::open().await;
        let (other, _relay) = site.another("two").await;
        let limited = &site.plain[0];
        limited.limit.set(Some(LIMIT));
        let began = Instant::now();
        ask_both([site.callers(), other.listen.callers], LOOKUP, "").await;
        expect_that!(most_in_a_window(limited, began + SETTLES), le(ALLOWED));
        // What one does not take the other does.
        expect_that!(site.plain[1].runs(), gt(limited.runs()));
        expect_that!(limited.runs(), gt(0));
    });
}

/// The same of the first runner of a chain.
#[gtest]
fn a_chain_gets_no_more_than_its_first_runner_names() {
    on_one_thread(async {
        let site = Site::open().await;
        let (other, _relay) = site.another("two").await;
        let limited = site.near((0, 2));
        limited.limit.set(Some(LIMIT));
        let began = Instant::now();
        ask_both([site.callers(), other.listen.callers], NOTES, TOKENS).await;
        expect_that!(most_in_a_window(limited, began + SETTLES), le(ALLOWED));
        expect_that!(limited.runs(), gt(0));
    });
}

/// A runner that is well again says so by naming no limit: it gets its share as before.
#[gtest]
fn a_limit_ends_with_the_answer_that_names_none() {
    on_one_thread(async {
        let site = Site::open().await;
        let limited = &site.plain[0];
        limited.limit.set(Some(LIMIT));
        for _ in 0..40 {
            request(site.callers(), LOOKUP, "", "one").await;
        }
        let while_limited = limited.runs();
        expect_that!(while_limited, lt(site.plain[1].runs()));
        limited.limit.set(None);
        let free = async {
            while limited.runs() < while_limited + 20 {
                request(site.callers(), LOOKUP, "", "one").await;
                sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(crate::standin::LONG, free)
            .await
            .expect("it gets requests again");
    });
}
