//! Retries of a request that other instances refuse. Counters are those of the process, so this test has
//! one of its own.

// Stand-ins run as tasks of the test.
#![allow(clippy::disallowed_methods)]

#[path = "support/standin.rs"]
#[allow(dead_code, unused_imports, reason = "other tests use the rest")]
mod standin;

use std::time::Duration;

use googletest::prelude::*;
use standin::{
    Behaviour, Cluster, Cut, NewConnections, OpenConnections, Paths, TEST_TIMEOUT, get,
    run_single_threaded, send_request,
};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const CUT: Cut = Cut {
    new: NewConnections::Hang,
    open: OpenConnections::Hang,
};

/// Returns the number of retries that were taken.
fn taken(metrics: &str) -> usize {
    let mut lines = metrics.lines();
    let line =
        lines.find(|l| l.starts_with("jacinthweir_repeats_total") && l.contains("\"taken\""));
    let value = line.and_then(|l| l.rsplit(' ').next());
    value.map_or(0, |v| v.parse().expect("a number"))
}

/// A request was sent over a path that is lost, and other instances refuse it. Guards against spending
/// the shared retry budget on offers that reach no runner.
#[gtest]
fn offers_that_other_instances_refuse_spend_no_retries() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let paths = Paths::open(&cluster).await;
        let (member, _relay) = cluster.start_instance_behind("cut", &paths).await;
        cluster.set_behaviour(Behaviour::HangsRequests);
        let callers = member.listen.callers;
        let tokens = "X-Jacinthweir-Token-Counts: 10,6\r\n";
        let sent = spawn_local(async move {
            send_request(callers, "POST /notes/1 HTTP/1.1", tokens, "").await
        });
        let begun = async {
            while cluster.run_count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TEST_TIMEOUT, begun).await.expect("a run");
        cluster.set_behaviour(Behaviour::NotRun);
        paths.cut(CUT);
        sent.await.expect("it ends");
        let arrivals: usize = cluster
            .runners
            .iter()
            .map(|r| r.arrivals.borrow().len())
            .sum();
        let metrics = get(member.listen.operators, "GET /metrics HTTP/1.1").await;
        expect_that!(taken(&metrics.body), le(arrivals));
    });
}
