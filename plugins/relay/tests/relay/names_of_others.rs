//! Names of operators, runners and callers that hold other characters than those of an identifier.

use googletest::prelude::*;

use crate::standin::{Cluster, ReceivedRequest, run_single_threaded, send_request};
use crate::{NOTES, TOKENS};

/// Returns the last request that a plain runner received.
fn last_received(cluster: &Cluster) -> ReceivedRequest {
    let received = cluster
        .plain
        .iter()
        .flat_map(|r| r.received.borrow().clone());
    received.last().expect("a request")
}

/// Targets that mean the same to some servers, or that a library may write in another way.
const TARGETS: [&str; 22] = [
    "/lookup/a%20b",
    "/lookup/a%2Fb",
    "/lookup/a%2fb",
    "/lookup/a+b",
    "/lookup/%C3%A9",
    "/lookup/é",
    "/lookup/a?b=é",
    "/lookup//",
    "/lookup//a//b",
    "/lookup/./a",
    "/lookup/../lookup/a",
    "/lookup/%2e%2e/a",
    "/lookup/a?",
    "/lookup/a??",
    "/lookup/a?b=c&d+e=%zz",
    "/lookup/%zz",
    "/lookup/%",
    "/lookup/a;b=c",
    "/lookup/?after=a03+&b=",
    "/lookup/a?b=/../c",
    "/lookup/a\"{|}^\\[]~",
    "/lookup/a:80@b,c!$'()*=",
];

/// Guards against a run with another path or query than the caller's, also by way of another instance.
#[gtest]
fn targets_of_calls_reach_the_runner_byte_for_byte() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (cut, _relay) = cluster.start_instance_without_paths().await;
        let absolute = |target: &str| format!("http://site.example{target}");
        for callers in [cluster.callers(), cut.listen.callers] {
            for target in TARGETS {
                for sent in [target.to_owned(), absolute(target)] {
                    cluster
                        .plain
                        .iter()
                        .for_each(|r| r.received.borrow_mut().clear());
                    let line = format!("GET {sent} HTTP/1.1");
                    let got = send_request(callers, &line, "", "").await;
                    expect_that!(got.status, eq(200), "{line}");
                    let expected = format!("GET {target} HTTP/1.1\r\n");
                    expect_that!(
                        last_received(&cluster).head,
                        starts_with(&*expected),
                        "{line}"
                    );
                }
            }
        }
    });
}

/// Guards against the same for streams, whose runner is told a chain as well.
#[gtest]
fn targets_of_streams_reach_the_runner_byte_for_byte() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (cut, _relay) = cluster.start_instance_without_paths().await;
        for callers in [cluster.callers(), cut.listen.callers] {
            for target in ["/notes/é/a%2Fb//./%zz;+?", "/notes/?é=%20+&b="] {
                let line = NOTES.replace("/notes/1?q=2", target);
                let got = send_request(callers, &line, TOKENS, "").await;
                expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]), "{line}");
                let received = cluster.runners.iter().flat_map(|r| r.received.take());
                let sent = received.last().expect("a request");
                expect_that!(sent.head, starts_with(&*format!("{line}\r\n")));
            }
        }
    });
}
