//! Counting of crashes. Counters are those of the process, so this test has one of its own.

// Stand-ins run as tasks of the test.
#![allow(clippy::disallowed_methods)]

#[path = "support/standin.rs"]
#[allow(dead_code, unused_imports, reason = "other tests use the rest")]
mod standin;

use std::time::Duration;

use googletest::prelude::*;
use standin::{Cluster, get, run_single_threaded, send_request};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Guards against a crash that is not counted because the runner first counted as dead for its silence.
#[gtest]
fn the_crash_of_a_runner_that_was_silent_before_is_counted() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        cluster.runners.iter().for_each(|r| r.last_event.set(2));
        let callers = cluster.callers();
        let tokens = "X-Jacinthweir-Token-Counts: 10,6\r\n";
        spawn_local(
            async move { send_request(callers, "POST /notes/1 HTTP/1.1", tokens, "").await },
        );
        sleep(Duration::from_millis(100)).await;
        let own = match cluster.runners[..2].iter().any(|r| r.run_count() > 0) {
            true => &cluster.runners[..2],
            false => &cluster.runners[2..],
        };
        let later = own
            .iter()
            .find(|r| r.run_count() == 0)
            .expect("a later runner");
        later.responses_paused.set(true);
        cluster.wait_for_dead(1).await;
        later.crash();
        let counted = async {
            loop {
                let metrics = get(cluster.settings.listen.operators, "GET /metrics HTTP/1.1").await;
                if metrics.body.contains("jacinthweir_strikes_total 1") {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        expect_true!(timeout(Duration::from_secs(4), counted).await.is_ok());
    });
}
