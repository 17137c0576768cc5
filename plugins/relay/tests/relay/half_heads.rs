//! Runners that close their connection within the head of an answer. Callers must not get a success
//! with an empty or short body that is framed as whole.

use googletest::prelude::*;

use crate::standin::{Behaviour, Cluster, HeadCut, run_single_threaded, send_request};
use crate::{LOOKUP, NOTES, PAY, TOKENS};

fn cuts() -> impl Iterator<Item = Behaviour> {
    HeadCut::ALL.into_iter().map(Behaviour::EndsWithinHead)
}

/// An idempotent call runs elsewhere; if all runners do the same, the caller is told so.
#[gtest]
fn a_call_whose_answer_ends_within_its_head_is_retried() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for cut in cuts() {
            cluster.plain[0].behaviour.set(cut);
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.status, eq(200), "{cut:?}");
            expect_that!(got.body, eq("answer of p2"), "{cut:?}");
        }
        for cut in cuts() {
            cluster.set_behaviour(cut);
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.status, eq(502), "{cut:?}");
        }
    });
}

/// A call that may run once at most has run, and is neither a success nor a promise that it hasn't.
#[gtest]
fn an_unsafe_call_whose_answer_ends_within_its_head_fails_and_runs_once() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for cut in cuts() {
            cluster.set_behaviour(cut);
            let before = cluster.run_count();
            let got = send_request(cluster.callers(), PAY, "", "pay").await;
            expect_that!(got.status, eq(502), "{cut:?}");
            expect_that!(cluster.run_count(), eq(before + 1), "{cut:?}");
        }
    });
}

/// A stream begins on another chain; if there is none, the caller gets no success.
#[gtest]
fn a_stream_whose_answer_ends_within_its_head_begins_on_another_chain() {
    run_single_threaded(async {
        for cut in cuts() {
            let cluster = Cluster::open().await;
            cluster.runners[..2]
                .iter()
                .for_each(|r| r.behaviour.set(cut));
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(200), "{cut:?}");
            expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]), "{cut:?}");

            cluster.set_behaviour(cut);
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(502), "{cut:?}");
        }
    });
}

/// A stream breaks, and so does the head of the run that goes on with it: the caller's stream is cut.
#[gtest]
fn a_stream_that_cannot_go_on_for_half_a_head_is_not_complete() {
    run_single_threaded(async {
        for cut in cuts() {
            let cluster = Cluster::open().await;
            cluster.set_behaviour(cut);
            let breaks = Behaviour::BreaksMidEvent;
            cluster.runners[..2]
                .iter()
                .for_each(|r| r.behaviour.set(breaks));
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(200), "{cut:?}");
            expect_false!(got.complete, "{cut:?}");
            expect_that!(got.event_ids(), eq(&[1, 2]), "{cut:?}");
        }
    });
}

/// The same for requests that go through another instance, which alone sees the half of the head.
#[gtest]
fn half_a_head_is_no_answer_through_another_instance() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let (member, _relay) = cluster.start_instance_without_paths().await;
        for cut in cuts() {
            cluster.set_behaviour(Behaviour::Normal);
            cluster.plain[0].behaviour.set(cut);
            let got = send_request(member.listen.callers, LOOKUP, "", "").await;
            expect_that!(got.body, eq("answer of p2"), "{cut:?}");

            cluster.set_behaviour(cut);
            let before = cluster.run_count();
            let got = send_request(member.listen.callers, PAY, "", "pay").await;
            expect_that!(got.status, eq(502), "{cut:?}");
            expect_that!(cluster.run_count(), eq(before + 1), "{cut:?}");

            let got = send_request(member.listen.callers, NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, not(eq(200)), "{cut:?}");
        }
    });
}
