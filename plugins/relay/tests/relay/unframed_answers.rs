//! Runners' answers with neither a length nor chunks, which end with their connection.

use googletest::prelude::*;

use crate::standin::{Behaviour, Cluster, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, PAY, TOKENS};

/// Guards against taking the close for a failure: the caller gets the whole answer, framed.
#[gtest]
fn an_unframed_answer_is_complete_when_its_connection_is_closed() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::EndsByClosing);
        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_true!(got.complete);
        expect_that!(got.body, eq("answer of p1"));
        expect_that!(cluster.run_count(), eq(2));
    });
}

/// Guards against a truncated stream that looks complete: one that ends within an event was broken
/// off, and goes on elsewhere after its last complete event.
#[gtest]
fn an_unframed_stream_that_ends_within_an_event_is_resumed() {
    run_single_threaded(async {
        for behaviour in [
            Behaviour::EndsByClosingMidEvent,
            Behaviour::ResetsUnframedBody,
        ] {
            let cluster = Cluster::open().await;
            for runner in &cluster.runners[..2] {
                runner.behaviour.set(behaviour);
            }
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(200), "{behaviour:?}");
            expect_true!(got.complete, "{behaviour:?}");
            expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]), "{behaviour:?}");
            expect_that!(cluster.run_count(), eq(2), "{behaviour:?}");
        }
    });
}

/// The same where no runner completes it: the caller must not take what it has for the whole.
#[gtest]
fn an_unframed_stream_that_cannot_be_resumed_is_cut() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::EndsByClosingMidEvent);
        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        expect_false!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2]));
    });
}

/// Guards against passing on half of an unframed answer whose connection was reset: an idempotent
/// call is retried, another one fails, having run once.
#[gtest]
fn an_unframed_answer_of_a_call_is_incomplete_if_its_connection_is_reset() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.plain[0]
            .behaviour
            .set(Behaviour::ResetsUnframedBody);
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.body, eq("answer of p2"));

        cluster.set_behaviour(Behaviour::ResetsUnframedBody);
        let before = cluster.run_count();
        let got = send_request(cluster.callers(), PAY, "", "pay").await;
        expect_that!(got.status, eq(502));
        expect_that!(cluster.run_count(), eq(before + 1));
    });
}
