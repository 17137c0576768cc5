//! Servers whose answers name a number that is no final status. No client may take that for an answer,
//! whatever else the head says: the call may have run.

#[path = "support/requests.rs"]
mod requests;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use jacinthweir_clients::ClientError;
use jacinthweir_clients::direct::{self, DirectError};
use jacinthweir_clients::peer::PeerClient;
use jacinthweir_clients::platform::{HttpPlatform, Platform};
use jacinthweir_clients::runner::{RunStart, RunnerClient};
use jacinthweir_clients::service::ServiceClient;
use jacinthweir_wire::platform::Condition;
use jacinthweir_wire::runner::CancelRequest;
use requests::{DEADLINE, run_request, service_call};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: usize = 64 << 10;

/// Numbers in the place of a status. No request of these clients asks for another protocol (101).
const NO_STATUS: [&str; 10] = [
    "000", "099", "0", "1000", "100", "101", "103", "600", "700", "999",
];

/// Headers by which a service answers a call or states that it didn't run it.
const HEADERS: &str =
    "Jacinthweir-Request: r\r\nJacinthweir-Attempt: 1\r\nJacinthweir-Ran: no\r\nRetry-After: 1\r\n";

/// Answers each connection's request with `status` and `body`, and closes it.
async fn serve(status: &str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let length = body.len();
    let answer =
        format!("HTTP/1.1 {status} None\r\n{HEADERS}Content-Length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

async fn fetch(address: SocketAddr) -> std::result::Result<Bytes, DirectError> {
    let req = Request::get("/").header("host", "one");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let res = direct::request(address, req, DEADLINE, MAX_BODY_BYTES).await?;
    Ok(res.into_body())
}

/// Returns whether a failure leaves open whether the call has run.
fn may_have_run<T>(got: std::result::Result<T, ClientError>) -> bool {
    got.is_err_and(|e| !e.had_no_effect())
}

/// Guards against an answer that is none reaching callers, the configuration or other instances.
#[gtest]
#[tokio::test]
async fn a_number_that_is_no_status_is_no_answer_of_a_direct_request() {
    for status in NO_STATUS {
        let got = fetch(serve(status, "ok").await).await;
        let lost = matches_pattern!(DirectError::Unknown { .. });
        expect_that!(got, err(lost), "{status}");
    }
    for status in ["200", "299", "302", "404", "503", "599"] {
        let got = fetch(serve(status, "ok").await).await;
        expect_that!(got, ok(eq(&Bytes::from("ok"))), "{status}");
    }
}

/// The same for calls of plain services, whose status callers get, and runs and reads of model runners.
#[gtest]
#[tokio::test]
async fn a_number_that_is_no_status_is_no_answer_of_an_upstream() {
    let runners = RunnerClient::open(DEADLINE);
    let cancel = CancelRequest {
        request: "r".into(),
        attempt: 1,
    };
    for status in NO_STATUS {
        let address = serve(status, "ok").await;
        let got = ServiceClient::open().call(&service_call(address)).await;
        expect_true!(may_have_run(got), "call: {status}");
        let got = runners.run(&run_request(address)).await;
        expect_true!(may_have_run(got.map(|_: RunStart| ())), "run: {status}");
        let got = runners.cancel(address, &cancel).await;
        expect_true!(may_have_run(got), "cancel: {status}");
        expect_true!(runners.load(address).await.is_err(), "load: {status}");
        let events = runners.cache_events(address, 0).await;
        expect_true!(events.is_err(), "cache events: {status}");
    }
}

/// The same for the platform: a write may have been made.
#[gtest]
#[tokio::test]
async fn a_number_that_is_no_status_is_no_answer_of_the_platform() {
    for status in NO_STATUS {
        let address = serve(status, r#"{"version":7}"#).await;
        let platform = HttpPlatform::open(address, DEADLINE);
        let put = platform.put("k", "v".to_owned(), Condition::Absent).await;
        expect_true!(may_have_run(put), "put: {status}");
        let deleted = platform.delete("k", 1).await;
        expect_true!(may_have_run(deleted), "delete: {status}");
        expect_true!(platform.get("k").await.is_err(), "get: {status}");
        expect_true!(platform.list("k").await.is_err(), "list: {status}");
        let watched = platform.watch("k", 0, Duration::ZERO).await;
        expect_true!(watched.is_err(), "watch: {status}");
        expect_true!(platform.instances().await.is_err(), "instances: {status}");
    }
}

/// The same for other instances: a part that is none is not taken for one, nor for a missing one.
#[gtest]
#[tokio::test]
async fn a_number_that_is_no_status_is_no_answer_of_another_instance() {
    let peers = PeerClient::open("token".to_owned(), DEADLINE);
    for status in NO_STATUS {
        // A reply of one number in MessagePack.
        let address = serve(status, "7").await;
        let posted = peers.post::<u64, u64>(address, "/peer/any", &7).await;
        expect_true!(may_have_run(posted), "post: {status}");
        let part = peers.part(address, "hash").await;
        expect_true!(part.is_err(), "part: {status}");
        expect_true!(peers.head(address).await.is_err(), "head: {status}");
    }
}
