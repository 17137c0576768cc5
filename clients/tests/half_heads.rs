//! Servers that close their connection within the head of an answer. No client may take that for an
//! answer, however little of it is missing, and on whichever answer of a connection.

#[path = "support/requests.rs"]
mod requests;

use std::net::SocketAddr;

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
use requests::{DEADLINE, run_request, service_call};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: usize = 64 << 10;

/// Head of a service's answer without a length: all that follows it up to the close is the body.
const HEAD: &str = "HTTP/1.1 200 OK\r\nJacinthweir-Request: r\r\nJacinthweir-Attempt: 1\r\n\r\n";

const INFORMATIONAL: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

/// Whole answer to a read, after which the connection is kept.
const WHOLE: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// Answers the requests of one connection with `answers` in turn, and closes it.
async fn serve(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for answer in answers {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
        let _ = stream.shutdown().await;
    });
    address
}

/// Returns all beginnings of the head that lack its end, plain and behind an informational one.
fn beginnings() -> impl Iterator<Item = String> {
    let cut = (0..HEAD.len()).map(|length| HEAD[..length].to_owned());
    cut.flat_map(|text| [format!("{INFORMATIONAL}{text}"), text])
}

async fn fetch(address: SocketAddr) -> std::result::Result<Bytes, DirectError> {
    let req = Request::get("/").header("host", "one");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let res = direct::request(address, req, DEADLINE, MAX_BODY_BYTES).await?;
    Ok(res.into_body())
}

/// Guards against a success with an empty body, for what runners, the store and other instances send
/// to the relay.
#[gtest]
#[tokio::test]
async fn half_a_head_is_no_answer_of_a_direct_request() {
    for text in beginnings() {
        let address = serve(vec![text.clone()]).await;
        let got = fetch(address).await;
        expect_that!(
            got,
            err(matches_pattern!(DirectError::Unknown { .. })),
            "{text:?}"
        );
    }
    let whole = serve(vec![format!("{INFORMATIONAL}{HEAD}")]).await;
    expect_that!(fetch(whole).await, ok(is_empty()));
}

/// Returns whether a failure leaves open whether the call has run.
fn may_have_run<T>(got: std::result::Result<T, ClientError>) -> bool {
    got.is_err_and(|e| !matches!(e, ClientError::NoEffect { .. }))
}

/// The same for calls and runs of the own interface, which may have run.
#[gtest]
#[tokio::test]
async fn half_a_head_is_no_answer_of_a_call_or_a_run() {
    let runners = RunnerClient::open(DEADLINE);
    for text in beginnings() {
        let address = serve(vec![text.clone()]).await;
        let got = ServiceClient::open().call(&service_call(address)).await;
        expect_true!(may_have_run(got), "{text:?}");

        let address = serve(vec![text.clone()]).await;
        let got = runners.run(&run_request(address)).await;
        expect_true!(may_have_run(got.map(|_: RunStart| ())), "{text:?}");
    }
}

/// The same for the second answer of a kept connection, of the platform and of another instance.
#[gtest]
#[tokio::test]
async fn half_a_head_is_no_later_answer_of_a_kept_connection() {
    for text in beginnings() {
        let address = serve(vec![WHOLE.to_owned(), text.clone()]).await;
        let platform = HttpPlatform::open(address, DEADLINE);
        expect_that!(platform.get("one").await, ok(none()), "{text:?}");
        expect_true!(platform.get("one").await.is_err(), "{text:?}");

        let address = serve(vec![WHOLE.to_owned(), text.clone()]).await;
        let peers = PeerClient::open("token".to_owned(), DEADLINE);
        expect_that!(peers.part(address, "one").await, ok(none()), "{text:?}");
        expect_true!(peers.part(address, "one").await.is_err(), "{text:?}");
    }
}
