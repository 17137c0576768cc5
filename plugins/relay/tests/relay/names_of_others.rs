//! Names of operators, runners and callers that hold other characters than those of an identifier.

use std::net::SocketAddr;

use googletest::prelude::*;
use serde_json::json;

use crate::false_instance::{FalseAnswer, FalseInstance};
use crate::standin::{
    Cluster, ReceivedRequest, Response, Runner, configuration, run_single_threaded, send_raw,
    send_request,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Sends a call with a key and an identifier, each byte for byte.
async fn call(cluster: &Cluster, key: &[u8], id: &[u8]) -> Response {
    call_at(cluster.callers(), key, id).await
}

async fn call_at(callers: SocketAddr, key: &[u8], id: &[u8]) -> Response {
    let head = format!("{LOOKUP}\r\nHost: site.example\r\nConnection: close\r\n");
    let pieces = [
        head.as_bytes(),
        b"X-Jacinthweir-Key: ",
        key,
        b"\r\nX-Jacinthweir-Request-Id: ",
        id,
        b"\r\n\r\n",
    ];
    send_raw(callers, &pieces.concat()).await
}

/// Starts a cluster whose configuration has these organisations as well, with a key each.
async fn cluster_with_organisations(organisations: &[(&str, &str)]) -> Cluster {
    let cluster = Cluster::open().await;
    let mut configuration = configuration(2);
    let tenants = organisations.iter();
    let tenants = tenants.map(|(name, key)| json!({ "name": name, "apiKeys": [key] }));
    let declared = configuration["tenants"].as_array_mut().expect("a list");
    declared.extend(tenants);
    cluster.store.put("config", "main", &configuration);
    cluster.wait_for_version(2).await;
    cluster
}

/// Returns the last request that a plain runner received.
fn last_received(cluster: &Cluster) -> ReceivedRequest {
    let received = cluster
        .plain
        .iter()
        .flat_map(|r| r.received.borrow().clone());
    received.last().expect("a request")
}

/// Guards against 401 for a key that the desired state holds, spelled with letters beyond ASCII.
#[gtest]
fn a_key_beyond_ascii_is_known_and_its_organisation_is_told() {
    run_single_threaded(async {
        let cluster = cluster_with_organisations(&[("orgé", "a05é")]).await;
        let got = call(&cluster, "a05é".as_bytes(), b"r1").await;
        expect_that!(got.status, eq(200));
        let sent = last_received(&cluster);
        expect_that!(sent.header("x-jacinthweir-tenant"), some(eq("orgé")));
        // Other bytes than those of the desired state are another key.
        for unknown in [&b"a05\xe9"[..], b"a05", "a05e\u{301}".as_bytes()] {
            expect_that!(call(&cluster, unknown, b"r1").await.status, eq(401));
        }
    });
}

/// Guards against a run under no organisation, or another one: HTTP changes or forbids these names.
#[gtest]
fn a_request_of_an_organisation_whose_name_no_header_holds_is_refused_without_a_run() {
    run_single_threaded(async {
        let long = "o".repeat(100_000);
        let names = [
            ("or\ng", "k1"),
            (" org", "k2"),
            ("org\t", "k3"),
            ("o\u{7f}", "k4"),
            (&long, "k5"),
        ];
        let cluster = cluster_with_organisations(&names).await;
        for (name, key) in names {
            let got = call(&cluster, key.as_bytes(), b"r1").await;
            expect_that!(got.status, eq(503), "{name:?}");
            expect_that!(got.header("retry-after"), some(anything()), "{name:?}");
        }
        expect_that!(cluster.run_count(), eq(0));
        expect_that!(call(&cluster, b"key", b"r1").await.status, eq(200));
    });
}

/// Guards against 502 after a run: the answer was taken for another request's, since an identifier that is
/// no visible ASCII was not compared.
#[gtest]
fn an_identifier_of_any_bytes_is_forwarded_and_compared_as_it_is() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (cut, _relay) = cluster.start_instance_without_paths().await;
        let take_received = || cluster.plain.iter().flat_map(|r| r.received.take());
        take_received().for_each(drop);
        for id in ["é".as_bytes(), b"a\xe9", b"a+b%20", b"a b\tc"] {
            let line = [b"equest-id: ", id, b"\r\n"].concat();
            for callers in [cluster.callers(), cut.listen.callers] {
                let got = call_at(callers, b"key", id).await;
                expect_that!(got.status, eq(200), "{id:?}");
                let text = String::from_utf8_lossy(id);
                let told = got.header("x-jacinthweir-request-id");
                expect_that!(told, some(eq(&*text)), "{id:?}");
                let received: Vec<_> = take_received().collect();
                expect_that!(received.len(), eq(1), "{id:?}");
                let mut windows = received[0].raw_head.windows(line.len());
                expect_true!(windows.any(|w| w == line), "{id:?}");
            }
        }
    });
}

/// Guards against a run by another runner that got the address: without the header that names the runner
/// it is meant for, any runner there would run the request.
#[gtest]
fn a_runner_whose_name_no_header_holds_gets_no_request() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let mut configuration = configuration(2);
        configuration["routes"][1]["service"] = "named".into();
        configuration["services"][1]["name"] = "named".into();
        cluster.store.put("config", "main", &configuration);
        cluster.wait_for_version(2).await;
        let mut unnamed = Vec::new();
        for id in ["p\n3", " p4", "p5\r", ""] {
            unnamed.push(Runner::spawn(&cluster.store, id, "named", "a").await);
        }
        let sound = Runner::spawn(&cluster.store, "p6é", "named", "a").await;
        cluster.wait_for_dump("p6é").await;
        for _ in 0..20 {
            let got = send_request(cluster.callers(), LOOKUP, "", "").await;
            expect_that!(got.body, eq("answer of p6é"));
        }
        let sent = sound.received.borrow()[0].clone();
        let expected = sent.header("x-jacinthweir-expect-instance");
        expect_that!(expected, some(eq("p6é")));
        for runner in unnamed {
            expect_that!(runner.run_count(), eq(0), "{:?}", runner.id);
        }
    });
}

/// Another instance tells which runners may have run a stream. Guards against runners that are left out of
/// that because of their names, so that the stream runs on more of them than its route allows.
#[gtest]
fn runners_of_any_name_are_told_with_a_forwarded_stream() {
    run_single_threaded(async {
        for (runner, told) in [("7 é1", "é1"), ("7", "forwarded-untold: 1\r\n")] {
            let mut cluster = Cluster::with_long_timeouts(|_| {}).await;
            let (member, _relay) = cluster.start_instance_without_paths().await;
            drop(cluster.relay.take());
            let other = FalseInstance::spawn(cluster.settings.listen.peers).await;
            other.answer.set(FalseAnswer::MayHaveRunOn(runner));
            let got = send_request(member.listen.callers, NOTES, TOKENS, "").await;
            expect_that!(got.status, eq(502), "{runner}");
            let request = other.last_request.take();
            let mut windows = request.windows(told.len());
            expect_true!(windows.any(|w| w == told.as_bytes()), "{runner}");
        }
    });
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

/// Guards against a run without the caller's query: a target in absolute form may have one and no path.
#[gtest]
fn a_query_without_a_path_reaches_the_runner() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let mut configuration = configuration(2);
        configuration["routes"][1]["pathPrefix"] = "/".into();
        cluster.store.put("config", "main", &configuration);
        cluster.wait_for_version(2).await;
        let line = "GET http://site.example?b=c HTTP/1.1";
        let got = send_request(cluster.callers(), line, "", "").await;
        expect_that!(got.status, eq(200));
        expect_that!(
            last_received(&cluster).head,
            starts_with("GET /?b=c HTTP/1.1\r\n")
        );
    });
}

/// Guards against 404 for a route that is there: hosts differ in case or name a port, and callers escape
/// the letters of a prefix that no address holds.
#[gtest]
fn a_route_is_found_however_its_host_and_prefix_are_spelled() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let mut configuration = configuration(2);
        let hosts = ["Site.Example", "[::1]", "sité.example"];
        let routes = hosts.map(|host| {
            let mut route = configuration["routes"][1].clone();
            route["host"] = host.into();
            route["pathPrefix"] = "/a é/".into();
            route
        });
        configuration["routes"] = routes.to_vec().into();
        cluster.store.put("config", "main", &configuration);
        cluster.wait_for_version(2).await;
        for (host, path, status) in [
            ("Site.Example", "/a%20é/", 200),
            ("sITE.eXAMPLE:80", "/a%20%C3%A9/1", 200),
            ("site.example:", "/a%20%c3%a9/", 200),
            ("[::1]", "/a%20é/", 200),
            ("[::1]:80", "/a%20é/", 200),
            ("sité.example", "/a%20é/", 200),
            ("site.example", "/a%20%C3%A8/", 404),
            ("site.example", "/a%20é%2F", 404),
            ("other.example", "/a%20é/", 404),
        ] {
            let head = format!(
                "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Jacinthweir-Key: key\r\n\
                 X-Jacinthweir-Request-Id: r1\r\nConnection: close\r\n\r\n"
            );
            let got = send_raw(cluster.callers(), head.as_bytes()).await;
            expect_that!(got.status, eq(status), "{host} {path}");
        }
    });
}
