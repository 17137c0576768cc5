//! Runners that ask an instance for no requests for a while.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::standin::{Behaviour, Cluster, Runner, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, TOKENS};

/// Time for which the runners ask for no requests.
const REST: Duration = Duration::from_secs(2);

/// Time after a request for rest within which requests that were under way may still arrive.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Sends requests at a steady rate from now until some time after the rest.
async fn load(cluster: &Cluster, request_line: &'static str, headers: &'static str) {
    let callers = cluster.callers();
    let until = Instant::now() + REST + REST;
    while Instant::now() < until {
        spawn_local(async move { send_request(callers, request_line, headers, "one").await });
        sleep(REQUEST_INTERVAL).await;
    }
}

fn ask_for_rest(runner: &Runner) {
    runner.behaviour.set(Behaviour::NotRun);
    runner.rest.set(Some(REST.as_secs_f64()));
}

/// Returns how many requests reached a runner during the rest that its first refusal asked for.
fn arrivals_during_rest(runner: &Runner) -> usize {
    let arrivals = runner.arrivals.borrow();
    let Some(first) = arrivals.first().copied() else {
        return 0;
    };
    let rest = first + UNDER_WAY..first + REST;
    arrivals.iter().filter(|at| rest.contains(at)).count()
}

fn was_asked_again(runner: &Runner) -> bool {
    let arrivals = runner.arrivals.borrow();
    arrivals
        .first()
        .is_some_and(|first| arrivals.iter().any(|at| *at >= *first + REST))
}

fn expect_rest(runners: &[Rc<Runner>]) {
    for runner in runners {
        expect_that!(arrivals_during_rest(runner), eq(0), "{}", runner.id);
    }
    expect_true!(runners.iter().any(|r| was_asked_again(r)));
}

/// Guards against streams that are sent to a first runner again and again while it has asked for
/// none.
#[gtest]
fn a_first_runner_that_asks_for_rest_gets_no_streams() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let resting = &cluster.runners[..2];
        resting.iter().for_each(|r| ask_for_rest(r));
        load(&cluster, NOTES, TOKENS).await;
        expect_rest(resting);
    });
}

/// The same while all runners ask for rest: requests are refused, and no chain is the least of evils.
#[gtest]
fn runners_that_all_ask_for_rest_get_no_streams() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.runners.iter().for_each(|r| ask_for_rest(r));
        load(&cluster, NOTES, TOKENS).await;
        expect_rest(&cluster.runners);
    });
}

/// The same for the runners of a plain service.
#[gtest]
fn a_plain_runner_that_asks_for_rest_gets_no_calls() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let resting = &cluster.plain[..1];
        resting.iter().for_each(|r| ask_for_rest(r));
        load(&cluster, LOOKUP, "").await;
        expect_rest(resting);
    });
}

/// Guards against requests that wait although all runners rest for longer, and against refusals that
/// have callers return too early.
#[gtest]
fn requests_are_refused_at_once_while_all_runners_rest() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let runners = cluster.runners.iter().chain(&cluster.plain);
        runners.for_each(|r| ask_for_rest(r));
        for (line, headers) in [(NOTES, TOKENS), (LOOKUP, "")] {
            let _ = send_request(cluster.callers(), line, headers, "one").await;
            let _ = send_request(cluster.callers(), line, headers, "one").await;
            let before = cluster.runners.iter().chain(&cluster.plain);
            let before: usize = before.map(|r| r.arrivals.borrow().len()).sum();
            let got = send_request(cluster.callers(), line, headers, "one").await;
            expect_that!(got.status, eq(503), "{line}");
            let retry_after = got
                .header("retry-after")
                .and_then(|v| v.parse::<f64>().ok());
            expect_that!(retry_after, some(ge(1.0)), "{line}");
            let after = cluster.runners.iter().chain(&cluster.plain);
            let after: usize = after.map(|r| r.arrivals.borrow().len()).sum();
            expect_that!(after, eq(before), "{line}");
        }
    });
}
