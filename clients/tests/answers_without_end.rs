//! Servers that send bytes without end which are no answer, or no whole one, until their client closes.

#[path = "support/requests.rs"]
mod requests;

use std::net::SocketAddr;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use jacinthweir_clients::ClientError;
use jacinthweir_clients::direct::{self, DirectError};
use jacinthweir_clients::runner::{RunStart, RunnerClient};
use jacinthweir_clients::service::ServiceClient;
use requests::{DEADLINE, run_request, service_call};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const MAX_BODY_BYTES: usize = 256 << 10;

/// What the system's socket buffers may take in addition to what the client reads.
const SOCKET_BYTES: usize = 12 << 20;

/// Answers `prefix` and then `piece` until the client closes; returns the number of bytes that it sent.
async fn serve(prefix: String, piece: String) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        let pieces = piece.repeat((16 << 10) / piece.len());
        let mut sent = 0;
        let mut next = prefix;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            sent += next.len();
            next.clone_from(&pieces);
        }
        sent
    });
    (address, served)
}

async fn fetch(address: SocketAddr) -> std::result::Result<Bytes, DirectError> {
    let req = Request::get("/").header("host", "one");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let res = direct::request(address, req, DEADLINE, MAX_BODY_BYTES).await?;
    Ok(res.into_body())
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against clients that read on until their deadline, as long as bytes come: each of some hundred
/// connections took processor time, bandwidth and memory for nothing.
#[gtest]
#[tokio::test]
async fn bytes_that_are_no_answer_are_given_up_at_once() {
    for (case, prefix, piece) in [
        ("header lines", HEAD.to_owned(), "x-more: 1\r\n"),
        ("a line", format!("{HEAD}x-long: "), "a"),
        ("a status line", "HTTP/1.1 200 ".to_owned(), "a"),
        ("no HTTP", String::new(), "garbage "),
        ("empty lines", String::new(), "\r\n"),
        (
            "informational answers",
            String::new(),
            "HTTP/1.1 102 Processing\r\n\r\n",
        ),
        (
            "early hints",
            String::new(),
            "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        ),
        ("zeros of a chunk size", CHUNKED.to_owned(), "0"),
        ("spaces behind a chunk size", format!("{CHUNKED}1"), " "),
        ("a chunk extension", format!("{CHUNKED}1;"), "a"),
        (
            "chunk extensions",
            CHUNKED.to_owned(),
            "1;aaaaaaaaaaaaaaaa=bbbbbbbbbbbbbbbb\r\na\r\n",
        ),
        ("trailers", format!("{CHUNKED}0\r\n"), "x-more: 1\r\n"),
        ("a trailer", format!("{CHUNKED}0\r\nx-long: "), "a"),
        ("a body without length", format!("{HEAD}\r\n"), "a"),
        ("chunks", CHUNKED.to_owned(), "1\r\na\r\n"),
    ] {
        let (address, served) = serve(prefix, piece.to_owned()).await;
        let got = fetch(address).await;
        expect_that!(got, err(not(eq(&DirectError::TimedOut))), "{case}");
        let sent = served.await.expect("the server ends");
        expect_that!(sent, le(MAX_BODY_BYTES * 8 + SOCKET_BYTES), "{case}");
    }
}

/// Guards against an answer that fails for what follows it, and against reading on.
#[gtest]
#[tokio::test]
async fn bytes_after_an_answer_are_not_read() {
    for (case, answer) in [
        (
            "with a length",
            format!("{HEAD}Content-Length: 2\r\n\r\nok"),
        ),
        ("in chunks", format!("{CHUNKED}2\r\nok\r\n0\r\n\r\n")),
    ] {
        let (address, served) = serve(answer, "HTTP/1.1 200 OK\r\n".to_owned()).await;
        expect_that!(fetch(address).await, ok(eq(&Bytes::from("ok"))), "{case}");
        let sent = served.await.expect("the server ends");
        expect_that!(sent, le(SOCKET_BYTES), "{case}");
    }
}

/// Guards against taking sound answers in many small chunks, or behind a large head, for endless ones.
#[gtest]
#[tokio::test]
async fn sound_answers_in_small_pieces_are_read_whole() {
    let hint = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(5);
    let filler = format!("x-filler: {}\r\n", "a".repeat(6_000));
    let chunks = "1\r\na\r\n".repeat(200_000);
    let (address, _) = serve(
        format!("{hint}{HEAD}{filler}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"),
        "\r\n".to_owned(),
    )
    .await;
    let got = fetch(address).await.map(|body| body.len());
    expect_that!(got, ok(eq(&200_000)));
}

/// Reads all frames of a run until an error; returns whether it ended within the deadline.
async fn run_fails(address: SocketAddr) -> bool {
    let client = RunnerClient::open(DEADLINE).expect("a client");
    let run = async {
        let RunStart::Accepted(mut frames) = client.run(&run_request(address)).await? else {
            return Ok(());
        };
        while frames.next().await?.is_some() {}
        std::result::Result::<(), ClientError>::Ok(())
    };
    matches!(timeout(DEADLINE, run).await, Ok(Err(_)))
}

/// The same for the product's own interface: calls of plain services and runs of model runners.
#[gtest]
#[tokio::test]
async fn upstreams_of_the_own_interface_are_given_up_as_well() {
    for (case, prefix, piece) in [
        (
            "informational answers",
            "",
            "HTTP/1.1 102 Processing\r\n\r\n",
        ),
        ("header lines", HEAD, "x-more: 1\r\n"),
        ("zeros of a chunk size", CHUNKED, "0"),
        ("empty frames", CHUNKED, "1\r\n\n\r\n"),
        ("a frame", CHUNKED, "1\r\na\r\n"),
    ] {
        let (address, served) = serve(prefix.to_owned(), piece.to_owned()).await;
        let got = ServiceClient::open().call(&service_call(address)).await;
        expect_that!(
            got,
            err(not(displays_as(contains_substring("in time")))),
            "{case}"
        );
        let sent = served.await.expect("the server ends");
        expect_that!(sent, le(MAX_BODY_BYTES * 8 + SOCKET_BYTES), "{case}");

        let (address, served) = serve(prefix.to_owned(), piece.to_owned()).await;
        expect_true!(run_fails(address).await, "{case}");
        let sent = served.await.expect("the server ends");
        expect_that!(sent, le(MAX_BODY_BYTES * 8 + SOCKET_BYTES), "{case}");
    }
}
