//! End-to-end tests of the relay against stand-ins for store, runners and callers, over real
//! sockets.

// A panic in a task of a test fails the test where it is awaited.
#![allow(clippy::disallowed_methods)]

#[path = "relay/absurd_entries.rs"]
mod absurd_entries;
#[path = "relay/answers_without_end.rs"]
mod answers_without_end;
#[path = "relay/configuration.rs"]
mod configuration;
#[path = "relay/contention.rs"]
mod contention;
#[path = "relay/contention_operators.rs"]
mod contention_operators;
#[path = "relay/failure_detection.rs"]
mod failure_detection;
#[path = "relay/failure_orders.rs"]
mod failure_orders;
#[path = "relay/false_instance.rs"]
mod false_instance;
#[path = "relay/half_heads.rs"]
mod half_heads;
#[path = "relay/leaving.rs"]
mod leaving;
#[path = "relay/names_of_others.rs"]
mod names_of_others;
#[path = "relay/no_status.rs"]
mod no_status;
#[path = "relay/partition.rs"]
mod partition;
#[path = "relay/partition_soak.rs"]
mod partition_soak;
#[path = "relay/quarantine.rs"]
mod quarantine;
#[path = "relay/rate_limits.rs"]
mod rate_limits;
#[path = "relay/repeated_calls.rs"]
mod repeated_calls;
#[path = "relay/rest.rs"]
mod rest;
#[path = "relay/retry_budget.rs"]
mod retry_budget;
#[path = "relay/runners_of_a_request.rs"]
mod runners_of_a_request;
#[path = "relay/shutdown.rs"]
mod shutdown;
#[path = "relay/silent_calls.rs"]
mod silent_calls;
#[path = "relay/silent_runners.rs"]
mod silent_runners;
#[path = "support/standin.rs"]
mod standin;
#[path = "relay/start.rs"]
mod start;
#[path = "relay/store_loops.rs"]
mod store_loops;
#[path = "relay/store_restore.rs"]
mod store_restore;
#[path = "relay/stream_failover.rs"]
mod stream_failover;
#[path = "relay/unframed_answers.rs"]
mod unframed_answers;

use std::time::Duration;

use argh::FromArgs;
use googletest::prelude::*;
use standin::{
    Behaviour, Cluster, Runner, TEST_TIMEOUT, get, parse_response, run_single_threaded, send_raw,
    send_request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const NOTES: &str = "POST /notes/1?q=2 HTTP/1.1";
const LOOKUP: &str = "GET /lookup/1 HTTP/1.1";
const PAY: &str = "POST /pay/1 HTTP/1.1";
const TOKENS: &str = "X-Jacinthweir-Token-Counts: 10,6\r\n";

#[gtest]
fn a_stream_through_a_chain_is_forwarded_unchanged() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let headers = format!(
            "{TOKENS}X-Jacinthweir-Deadline-Ms: 2000\r\nX-Jacinthweir-Model: m\r\n\
             X-Jacinthweir-Tenant: forged\r\nX-Jacinthweir-Hop-Count: forged\r\n"
        );
        let got = send_request(cluster.callers(), NOTES, &headers, "the prompt").await;
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
        expect_that!(got.header("x-jacinthweir-request-id"), some(eq("r1")));
        expect_that!(
            got.header("x-jacinthweir-server-stamp"),
            some(starts_with("of-"))
        );
        assert_that!(cluster.run_count(), eq(1));
        let runner = cluster
            .runners
            .iter()
            .find(|r| r.run_count() == 1)
            .expect("one ran it");
        let sent = runner.received.borrow()[0].clone();
        expect_that!(sent.head, starts_with("POST /notes/1?q=2 HTTP/1.1"));
        expect_that!(sent.body, eq(b"the prompt"));
        expect_that!(sent.header("x-jacinthweir-key"), none());
        expect_that!(sent.header("x-jacinthweir-tenant"), some(eq("org")));
        expect_that!(sent.header("x-jacinthweir-model"), some(eq("m")));
        expect_that!(
            sent.header("x-jacinthweir-expect-instance"),
            some(eq(&*runner.id))
        );
        let remaining_ms: u64 = sent
            .header("x-jacinthweir-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        expect_that!(remaining_ms, le(2_000));
        let chain = sent
            .header("x-jacinthweir-hop-count")
            .expect("a chain")
            .to_owned();
        expect_that!(chain, starts_with(format!("{}=0-", runner.address)));
        expect_that!(chain, ends_with("-4"));
    });
}

#[gtest]
fn address_discovery_includes_a_ready_instance() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let path = "GET /api/resolve?name=site.example&region=r&zone=a HTTP/1.1";
        let got = get(cluster.settings.listen.entry, path).await;
        expect_that!(got.status, eq(200));
        expect_that!(got.body, contains_substring(cluster.callers().to_string()));
        expect_that!(got.body, contains_substring("\"ttlS\""));
    });
}

/// A runner crashes in the middle of an event. Guards against duplicated or truncated events:
/// another chain resumes after the last complete event, the incomplete one is dropped, and the
/// caller receives all events in one response with the first runner's receipt.
#[gtest]
fn an_interrupted_stream_resumes_on_another_chain() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for runner in &cluster.runners[..2] {
            runner.behaviour.set(Behaviour::BreaksMidEvent);
        }
        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
        expect_that!(
            got.header("x-jacinthweir-server-stamp"),
            some(starts_with("of-a"))
        );
        let resumed = cluster.runners[2..]
            .iter()
            .find(|r| r.run_count() == 1)
            .expect("resumed");
        let sent = resumed.received.borrow()[0].clone();
        expect_that!(sent.header("last-event-id"), some(eq("2")));
        expect_that!(sent.header("x-jacinthweir-request-id"), some(eq("r1")));
    });
}

/// Every chain fails mid-stream. Guards against a truncated stream that looks complete to the
/// caller: the connection closes without the final chunk.
#[gtest]
fn a_stream_that_cannot_resume_ends_without_the_final_chunk() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::BreaksMidEvent);
        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        expect_false!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2]));
    });
}

/// A stage of a chain stops responding, and the first runner would report that only after the
/// caller's deadline. Guards against waiting for that report: the relay detects that the chain is
/// silent, probes its stages, and fails over to the other failure domain.
#[gtest]
fn a_request_fails_over_from_a_chain_with_an_unresponsive_runner() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for runner in &cluster.runners[..2] {
            runner.behaviour.set(Behaviour::Unresponsive);
        }
        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(
            got.header("x-jacinthweir-server-stamp"),
            some(starts_with("of-b"))
        );
    });
}

/// A stage of a chain fails mid-stream, and another runner holds its layers. Guards against a
/// second run, which would consume retry budget and process the whole prompt again: the first
/// runner is ordered to continue through the other one, and the caller sees a short pause only.
#[gtest]
fn a_run_is_rerouted_around_a_failed_stage_without_a_second_run() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let spare = Runner::spawn(&cluster.store, "a3", "pool", "a").await;
        let loaded = async {
            while spare.layers() != Some((2, 4)) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, loaded)
            .await
            .expect("a second holder");
        let heads = cluster
            .runners
            .iter()
            .filter(|r| r.layers() == Some((0, 2)));
        heads.for_each(|r| r.behaviour.set(Behaviour::StallsUntilRerouted));
        let stages = &cluster.runners[..2];
        let last = stages.iter().find(|r| r.layers() == Some((2, 4)));
        last.expect("the last stage")
            .behaviour
            .set(Behaviour::Unresponsive);

        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
        expect_that!(cluster.run_count(), eq(1));
        let head = cluster
            .runners
            .iter()
            .find(|r| r.run_count() == 1)
            .expect("a run");
        let (id, path) = head.reroutes.borrow()[0].clone();
        expect_that!(id, eq("r1"));
        expect_that!(path, ends_with(format!("{}=2-4", spare.address)));
    });
}

/// A third instance has lost power and does not respond. Guards against an indirect probe that
/// responds only after the prober's timeout: no instance would then confirm the failure, and
/// callers would be directed to the failed instance for six seconds.
#[gtest]
fn an_indirect_probe_reports_an_unresponsive_instance_in_time() {
    #[derive(serde::Serialize)]
    enum Message {
        Probe { address: std::net::SocketAddr },
    }
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let unresponsive = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let unresponsive = unresponsive.expect("a port");
        let address = unresponsive.local_addr().expect("an address");
        let body = rmp_serde::to_vec(&Message::Probe { address }).expect("a message");
        let peers = cluster.settings.listen.peers;
        let head = format!(
            "POST /peer HTTP/1.1\r\nHost: one\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), &body].concat();
        let got = timeout(TEST_TIMEOUT, send_raw(peers, &bytes))
            .await
            .expect("an answer");
        expect_that!(got.status, eq(200));
        expect_that!(got.body, contains_substring("NotReached"));
    });
}

#[gtest]
fn an_idempotent_call_is_retried_once_when_a_runner_fails() {
    run_single_threaded(async {
        for behaviour in [
            Behaviour::ServerError,
            Behaviour::ClosesConnection,
            Behaviour::TruncatesBody,
            Behaviour::WrongRequestId,
            Behaviour::NoReceipt,
        ] {
            let cluster = Cluster::open().await;
            cluster.plain[0].behaviour.set(behaviour);
            // The relay prefers the runner of its own domain; the other runner works normally.
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.status, eq(200), "{behaviour:?}");
            expect_that!(got.body, eq("answer of p2"), "{behaviour:?}");
            expect_that!(cluster.plain[0].run_count(), eq(1), "{behaviour:?}");
        }
    });
}

/// Guards against running a non-idempotent call twice, for example a payment: once a runner has
/// received the call, it is not retried whatever the runner does, and no response claims that it
/// did not run.
#[gtest]
fn a_non_idempotent_call_runs_once_whatever_the_failure() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for (behaviour, status) in [
            (Behaviour::ClosesConnection, 502),
            (Behaviour::TruncatesBody, 502),
            (Behaviour::WrongRequestId, 502),
            (Behaviour::NoReceipt, 502),
            (Behaviour::ServerError, 500),
            (Behaviour::Unresponsive, 504),
        ] {
            cluster.set_behaviour(behaviour);
            let before = cluster.run_count();
            let got = send_request(
                cluster.callers(),
                PAY,
                "X-Jacinthweir-Deadline-Ms: 400\r\n",
                "pay",
            )
            .await;
            expect_that!(got.status, eq(status), "{behaviour:?}");
            expect_that!(cluster.run_count(), eq(before + 1), "{behaviour:?}");
            expect_that!(got.header("retry-after"), none());
        }
    });
}

#[gtest]
fn a_refused_request_gets_retry_after_and_does_not_run() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::NotRun);
        for first in [NOTES, LOOKUP, PAY] {
            let got = send_request(cluster.callers(), first, TOKENS, "body").await;
            expect_that!(got.status, eq(503), "{first}");
            expect_that!(got.header("retry-after"), some(anything()), "{first}");
        }
        expect_that!(cluster.run_count(), eq(0));
    });
}

/// The caller disconnects mid-stream. Guards against a runner that keeps working for a caller that
/// is gone: the relay closes the connection to the runner.
#[gtest]
fn a_caller_disconnect_ends_the_run() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.set_behaviour(Behaviour::Endless);
        let mut stream = TcpStream::connect(cluster.callers()).await.unwrap();
        let head = "POST /notes/1 HTTP/1.1\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r9\r\n\
                    X-Jacinthweir-Key: key\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut buf = [0; 512];
        let read = stream.read(&mut buf).await.unwrap();
        expect_that!(read, gt(0));
        drop(stream);
        let disconnected = async {
            while cluster.runners.iter().all(|r| r.disconnects.get() == 0) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, disconnected)
            .await
            .expect("the runner sees the close");
    });
}

/// Each kind of invalid request gets its status, and none of them reaches a runner.
#[gtest]
fn invalid_requests_are_rejected_before_any_runner() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let usual = "Host: site.example\r\nX-Jacinthweir-Request-Id: r1\r\n";
        let long = "x".repeat(40_000);
        let cases = [
            (
                "no such path",
                format!("GET /none/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\n\r\n"),
                404,
            ),
            (
                "no such host",
                "GET /lookup/ HTTP/1.1\r\nHost: other\r\nX-Jacinthweir-Key: key\r\n\r\n".to_owned(),
                404,
            ),
            (
                "no key",
                format!("GET /lookup/ HTTP/1.1\r\n{usual}\r\n"),
                401,
            ),
            (
                "wrong key",
                format!("GET /lookup/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: no\r\n\r\n"),
                401,
            ),
            (
                "body too long",
                format!(
                    "POST /pay/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\nContent-Length: 99999\r\n\r\n"
                ),
                413,
            ),
            (
                "chunks too long",
                format!(
                    "POST /pay/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n9c40\r\n{long}\r\n0\r\n\r\n"
                ),
                413,
            ),
            (
                "head too long",
                format!("GET /lookup/{long} HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\n\r\n"),
                431,
            ),
            (
                "two lengths",
                format!(
                    "POST /pay/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
                ),
                400,
            ),
            (
                "no length",
                format!(
                    "POST /pay/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\nContent-Length: x\r\n\r\n"
                ),
                400,
            ),
            (
                "chunk size",
                format!(
                    "POST /pay/ HTTP/1.1\r\n{usual}X-Jacinthweir-Key: key\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
                ),
                400,
            ),
            ("not HTTP", "hello\r\n\r\n".to_owned(), 400),
        ];
        for (what, text, status) in cases {
            let text = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
            let got = send_raw(cluster.callers(), text.as_bytes()).await;
            expect_that!(got.status, eq(status), "{what}");
        }
        expect_that!(cluster.run_count(), eq(0));
        let got = send_request(cluster.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}

/// Guards against request smuggling: a request embedded in the body of another stays part of that
/// body, and the runner receives exactly the declared length.
#[gtest]
fn a_request_embedded_in_a_body_is_not_executed() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let inner = "GET /lookup/ HTTP/1.1\r\nHost: site.example\r\nX-Jacinthweir-Key: key\r\n\r\n";
        let got = send_request(cluster.callers(), PAY, "", inner).await;
        expect_that!(got.status, eq(200));
        assert_that!(cluster.run_count(), eq(1));
        let runner = cluster
            .plain
            .iter()
            .find(|r| r.run_count() == 1)
            .expect("one ran it");
        expect_that!(runner.received.borrow()[0].body, eq(inner.as_bytes()));
    });
}

/// The store does not respond, so revocations of keys are not received. Guards against accepting a
/// revoked key beyond the revocation bound: the instance refuses requests with keys before the
/// bound ends, with an answer that they did not run, and serves again once the store responds.
#[gtest]
fn an_instance_without_the_store_refuses_keys_until_it_responds() {
    run_single_threaded(async {
        let cluster = Cluster::with_revocation_bound(3_500).await;
        cluster.store.unresponsive.set(true);
        let wait_for_status = async |wanted: u16| {
            let polling = async {
                loop {
                    let got = send_request(cluster.callers(), LOOKUP, "", "").await;
                    if got.status == wanted {
                        return got;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            };
            timeout(TEST_TIMEOUT, polling)
                .await
                .expect("the expected status")
        };
        let refused = wait_for_status(503).await;
        expect_that!(refused.header("retry-after"), some(anything()));
        let ready = get(cluster.settings.listen.ready, "GET /api/ready HTTP/1.1").await;
        expect_that!(ready.status, eq(503));
        cluster.store.unresponsive.set(false);
        wait_for_status(200).await;
    });
}

#[gtest]
fn a_newer_configuration_is_applied_and_an_older_one_is_not() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let mut newer = standin::configuration(7);
        newer["tenants"][0]["apiKeys"] = serde_json::json!(["other"]);
        cluster.store.put("config", "main", &newer);
        let denied = async {
            while send_request(cluster.callers(), LOOKUP, "", "").await.status != 401 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, denied)
            .await
            .expect("the key is revoked");
        cluster
            .store
            .put("config", "main", &standin::configuration(3));
        sleep(Duration::from_millis(300)).await;
        expect_that!(
            send_request(cluster.callers(), LOOKUP, "", "").await.status,
            ne(200)
        );
    });
}

/// The instance is shut down during a stream and while callers still have its address. Guards
/// against interrupted requests: the readiness check fails at once, the stream and late requests
/// complete with `Connection: close`, and the drain ends cleanly.
#[gtest]
fn a_shutdown_interrupts_no_request() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        let callers = cluster.callers();
        let streaming =
            spawn_local(async move { send_request(callers, NOTES, TOKENS, "prompt").await });
        sleep(Duration::from_millis(20)).await;
        let relay = cluster.relay.take().expect("it runs");
        let ending = spawn_local(relay.shut_down());
        sleep(Duration::from_millis(50)).await;
        let ready = get(cluster.settings.listen.ready, "GET /api/ready HTTP/1.1").await;
        expect_that!(ready.status, eq(503));
        let late = send_request(callers, LOOKUP, "", "").await;
        expect_that!(late.status, eq(200));
        expect_that!(late.header("connection"), some(eq("close")));
        let streamed = streaming.await.expect("it ends");
        expect_true!(streamed.complete);
        expect_that!(streamed.event_ids().len(), eq(6));
        let ended = timeout(TEST_TIMEOUT, ending)
            .await
            .expect("it ends")
            .expect("it ends");
        expect_that!(ended, eq(jacinthweir_relay::DrainOutcome::Clean));
    });
}

/// The instance is shut down while a caller keeps an idle connection open. Guards against a drain
/// that waits for that connection until the process is killed.
#[gtest]
fn an_idle_connection_does_not_delay_a_shutdown() {
    run_single_threaded(async {
        let mut cluster = Cluster::open().await;
        let idle = TcpStream::connect(cluster.callers())
            .await
            .expect("a connection");
        let relay = cluster.relay.take().expect("it runs");
        let ended = timeout(TEST_TIMEOUT, relay.shut_down())
            .await
            .expect("it ends");
        expect_that!(ended, eq(jacinthweir_relay::DrainOutcome::Clean));
        drop(idle);
    });
}

/// The operator tool `jwctl` shows both chains, every runner and the configuration version in
/// force.
#[gtest]
fn the_operator_tool_shows_the_relay_state() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let operators = cluster.settings.listen.operators.to_string();
        let args = jacinthweir_ctl::args::Args::from_args(&["jwctl"], &["relay", &operators]);
        let shown = jacinthweir_ctl::command::run(&args.expect("a command")).await;
        let shown = shown.expect("an answer");
        expect_that!(shown, contains_substring("one: ready"));
        expect_that!(shown, contains_substring("configuration 1, confirmed"));
        expect_that!(shown, contains_substring("gives orders, term 1"));
        expect_that!(shown.matches("whole").count(), eq(2));
        for runner in cluster.runners.iter().chain(&cluster.plain) {
            expect_that!(shown, contains_substring(runner.id.as_str()));
        }
        let metrics = get(cluster.settings.listen.operators, "GET /metrics HTTP/1.1").await;
        expect_that!(
            metrics.body,
            contains_substring("jacinthweir_store_calls_total")
        );
    });
}

/// Guards against a failed start when another process uses the port for operators and metrics.
#[gtest]
fn an_occupied_metrics_port_does_not_prevent_serving() {
    run_single_threaded(async {
        let first = Cluster::open().await;
        let mut settings = first.settings.clone();
        let occupied = settings.listen.operators;
        settings.name = "two".into();
        for address in [
            &mut settings.listen.callers,
            &mut settings.listen.ready,
            &mut settings.listen.entry,
            &mut settings.listen.peers,
        ] {
            address.set_port(address.port() + 100);
        }
        let second = jacinthweir_relay::Relay::spawn(settings.clone()).await;
        expect_that!(second.is_ok(), eq(true));
        expect_that!(settings.listen.operators, eq(occupied));
        let ready = async {
            while get(settings.listen.ready, "GET /api/ready HTTP/1.1")
                .await
                .status
                != 200
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, ready)
            .await
            .expect("a ready instance");
    });
}

/// Guards against checks that cannot fail: the test client detects truncated responses.
#[gtest]
fn the_test_client_detects_truncated_responses() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_true!(parse_response(format!("{head}2\r\nab\r\n0\r\n\r\n").as_bytes()).complete);
    expect_false!(parse_response(format!("{head}2\r\nab\r\n").as_bytes()).complete);
    expect_false!(parse_response(format!("{head}5\r\nab").as_bytes()).complete);
    expect_false!(parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").complete);
}
