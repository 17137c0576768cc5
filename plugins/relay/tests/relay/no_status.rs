//! Runners and instances whose answers name a number that is no final status. Callers must not get it, and
//! what else its head claims proves nothing.

use googletest::prelude::*;
use serde_json::json;

use crate::false_instance::{FalseAnswer, FalseInstance};
use crate::standin::{
    Behaviour, Claim, Cluster, configuration, get, run_single_threaded, send_request,
};
use crate::{LOOKUP, NOTES, PAY, TOKENS};

/// Numbers in the place of a status. No request to a runner asks for another protocol (101).
const NO_STATUS: [&str; 8] = ["000", "099", "0", "1000", "100", "101", "600", "999"];

/// The numbers of three digits that the HTTP library delivers, so that the rest of the head is seen.
const DELIVERED: [&str; 3] = ["101", "600", "999"];

fn cases() -> impl Iterator<Item = Behaviour> {
    let ran = NO_STATUS.map(|status| Behaviour::NoStatus(status, Claim::Ran));
    let not_run = DELIVERED.map(|status| Behaviour::NoStatus(status, Claim::NotRun));
    ran.into_iter().chain(not_run)
}

/// Guards against a caller that gets such an answer: its call runs elsewhere, and fails if all runners
/// answer so.
#[gtest]
fn a_call_whose_answer_has_no_status_is_retried() {
    run_single_threaded(async {
        for case in cases() {
            let cluster = Cluster::open().await;
            cluster.plain[0].behaviour.set(case);
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.status, eq(200), "{case:?}");
            expect_that!(got.body, eq("answer of p2"), "{case:?}");

            cluster.set_behaviour(case);
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.status, eq(502), "{case:?}");
        }
    });
}

/// Guards against a 503, by which a caller would repeat what has run, and against a runner that is drained
/// by such an answer.
#[gtest]
fn an_unsafe_call_whose_answer_has_no_status_fails_and_runs_once() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for case in cases() {
            cluster.set_behaviour(case);
            let before = cluster.run_count();
            let got = send_request(cluster.callers(), PAY, "", "pay").await;
            expect_that!(got.status, eq(502), "{case:?}");
            expect_that!(cluster.run_count(), eq(before + 1), "{case:?}");
        }
        let dump = get(cluster.settings.listen.operators, "GET /dump HTTP/1.1").await;
        expect_that!(dump.body, not(contains_substring("\"draining\": true")));
    });
}

/// Guards against a stream that begins with such an answer: it begins on another chain, and fails if there
/// is none.
#[gtest]
fn a_stream_whose_answer_has_no_status_begins_on_another_chain() {
    run_single_threaded(async {
        for case in cases() {
            let cluster = Cluster::open().await;
            for runner in &cluster.runners[..2] {
                runner.behaviour.set(case);
            }
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(200), "{case:?}");
            expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]), "{case:?}");

            cluster.set_behaviour(case);
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(502), "{case:?}");
        }
    });
}

/// A stream breaks, and the run that goes on with it answers so. Guards against a stream that seems whole.
#[gtest]
fn a_stream_that_goes_on_with_no_status_is_not_complete() {
    run_single_threaded(async {
        for case in cases() {
            let cluster = Cluster::open().await;
            cluster.set_behaviour(case);
            for runner in &cluster.runners[..2] {
                runner.behaviour.set(Behaviour::BreaksMidEvent);
            }
            let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, eq(200), "{case:?}");
            expect_false!(got.complete, "{case:?}");
            expect_that!(got.event_ids(), eq(&[1, 2]), "{case:?}");
        }
    });
}

const RUN: &str = "POST /run/1 HTTP/1.1";
const RUN_ONCE: &str = "POST /once/1 HTTP/1.1";

/// Adds routes to the model runners for calls of both kinds.
async fn add_calls_of_model_runners(cluster: &Cluster) {
    let mut added = configuration(2);
    for (name, prefix, kind) in [
        ("run", "/run/", "idempotent"),
        ("once", "/once/", "non_idempotent"),
    ] {
        let mut route = added["routes"][0].clone();
        route["name"] = json!(name);
        route["pathPrefix"] = json!(prefix);
        route["kind"] = json!(kind);
        route["resumable"] = json!(false);
        added["routes"].as_array_mut().expect("routes").push(route);
    }
    cluster.store.put("config", "main", &added);
    cluster.wait_for_version(2).await;
}

/// The same for calls of model runners: an idempotent one runs on another chain, another one once.
#[gtest]
fn a_call_of_a_model_runner_whose_answer_has_no_status_gets_none() {
    run_single_threaded(async {
        for case in cases() {
            let cluster = Cluster::open().await;
            add_calls_of_model_runners(&cluster).await;
            for runner in &cluster.runners[..2] {
                runner.behaviour.set(case);
            }
            let got = send_request(cluster.callers(), RUN, TOKENS, "prompt").await;
            expect_that!(got.status, eq(200), "{case:?}");
            expect_true!(got.complete, "{case:?}");

            cluster.set_behaviour(case);
            let before = cluster.run_count();
            let got = send_request(cluster.callers(), RUN_ONCE, TOKENS, "prompt").await;
            expect_that!(got.status, eq(502), "{case:?}");
            expect_that!(cluster.run_count(), eq(before + 1), "{case:?}");
        }
    });
}

/// The same for requests that go through another instance, which alone sees such an answer.
#[gtest]
fn an_answer_without_a_status_is_none_through_another_instance() {
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let (member, _relay) = cluster.start_instance_without_paths().await;
        for case in cases() {
            cluster.set_behaviour(Behaviour::Normal);
            cluster.plain[0].behaviour.set(case);
            let got = send_request(member.listen.callers, LOOKUP, "", "").await;
            expect_that!(got.body, eq("answer of p2"), "{case:?}");

            cluster.set_behaviour(case);
            let before = cluster.run_count();
            let got = send_request(member.listen.callers, PAY, "", "pay").await;
            expect_that!(got.status, eq(502), "{case:?}");
            expect_that!(cluster.run_count(), eq(before + 1), "{case:?}");

            let got = send_request(member.listen.callers, NOTES, TOKENS, "prompt").await;
            expect_that!(got.status, not(eq(200)), "{case:?}");
        }
    });
}

/// Another instance itself answers a forwarded request so. Guards against a caller that gets such an answer,
/// or a 503 by which it would repeat what may have run.
#[gtest]
fn an_instance_that_answers_without_a_status_may_have_run_the_request() {
    run_single_threaded(async {
        for status in NO_STATUS {
            let mut cluster = Cluster::with_long_timeouts(|_| {}).await;
            let (member, _relay) = cluster.start_instance_without_paths().await;
            drop(cluster.relay.take());
            let other = FalseInstance::spawn(cluster.settings.listen.peers).await;
            for (line, outcome) in [
                (PAY, "answered"),
                (PAY, "not-run"),
                (PAY, "unable"),
                (LOOKUP, "answered"),
                (NOTES, "answered"),
            ] {
                other.answer.set(FalseAnswer::NoStatus { status, outcome });
                let before = other.requests.get();
                let got = send_request(member.listen.callers, line, TOKENS, "").await;
                expect_that!(got.status, eq(502), "{status} {line} {outcome}");
                expect_that!(
                    other.requests.get(),
                    gt(before),
                    "{status} {line} {outcome}"
                );
            }
        }
    });
}

/// What answers at another instance's address says nothing of the request's outcome. Guards against a 503, by
/// which a caller would repeat what may have run. An instance that has not taken it says so with a 4xx.
#[gtest]
fn only_a_refusal_says_that_a_forwarded_request_was_not_taken() {
    run_single_threaded(async {
        let mut cluster = Cluster::with_long_timeouts(|_| {}).await;
        let (member, _relay) = cluster.start_instance_without_paths().await;
        drop(cluster.relay.take());
        let other = FalseInstance::spawn(cluster.settings.listen.peers).await;
        for (status, expected) in [
            ("200", 502),
            ("302", 502),
            ("500", 502),
            ("503", 502),
            ("400", 503),
            ("409", 503),
        ] {
            let outcome = "";
            other.answer.set(FalseAnswer::NoStatus { status, outcome });
            let before = other.requests.get();
            let got = send_request(member.listen.callers, PAY, "", "").await;
            expect_that!(got.status, eq(expected), "{status}");
            expect_that!(other.requests.get(), gt(before), "{status}");
        }
    });
}
