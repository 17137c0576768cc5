//! The memory that all bodies share. It is that of the process, so this test has one of its own.

// Stand-ins run as tasks of the test.
#![allow(clippy::disallowed_methods)]

#[path = "support/standin.rs"]
#[allow(dead_code, unused_imports, reason = "other tests use the rest")]
mod standin;

use futures::future::join_all;
use googletest::prelude::*;
use jacinthweir_clients::buffers::reserved_bytes;
use standin::{Behaviour, Cluster, run_single_threaded, send_request};

const POOL_BYTES: usize = 4 << 20;

/// Each answer is within its own limit. Guards against all of them together exceeding the memory of the
/// instance, which is killed with all requests in progress: beyond the bound an idempotent call is answered
/// by another runner, or fails truthfully, and short answers of others are not affected.
#[gtest]
fn long_answers_of_a_runner_share_a_bound() {
    run_single_threaded(async {
        let cluster = Cluster::with_settings(|settings| {
            settings.limits.buffer_bytes = POOL_BYTES;
        });
        let cluster = cluster.await;
        cluster.plain[0]
            .behaviour
            .set(Behaviour::LongAnswer(POOL_BYTES - POOL_BYTES / 8));
        let lookup = "GET /lookup/1 HTTP/1.1";
        let got = send_request(cluster.callers(), lookup, "", "").await;
        expect_that!(got.body, eq("answer of p2"));

        cluster.plain[0]
            .behaviour
            .set(Behaviour::LongAnswer(POOL_BYTES / 4));
        let callers = cluster.callers();
        let sent = (0..24).map(|_| send_request(callers, lookup, "", ""));
        for got in join_all(sent).await {
            expect_that!(got.status, any!(eq(200), eq(502), eq(503)));
            expect_true!(got.complete);
        }
        expect_that!(reserved_bytes(), eq(0));
    });
}
