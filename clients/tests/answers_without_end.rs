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
use jacinthweir_clients::peer::PeerClient;
use jacinthweir_clients::platform::{HttpPlatform, Platform};
use jacinthweir_clients::runner::{RunStart, RunnerClient};
use jacinthweir_clients::service::ServiceClient;
use jacinthweir_wire::platform::Condition;
use jacinthweir_wire::runner::CancelRequest;
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
    let client = RunnerClient::open(DEADLINE);
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

/// Shapes of bytes without end, as prefix and repeated piece.
const SHAPES: [(&str, &str, &str); 12] = [
    ("header lines", HEAD, "x-more: 1\r\n"),
    ("a line", "HTTP/1.1 200 OK\r\nx-long: ", "a"),
    ("a status line", "HTTP/1.1 200 ", "a"),
    ("no HTTP", "", "garbage "),
    (
        "informational answers",
        "",
        "HTTP/1.1 102 Processing\r\n\r\n",
    ),
    (
        "early hints",
        "",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    ),
    ("zeros of a chunk size", CHUNKED, "0"),
    (
        "chunk extensions",
        CHUNKED,
        "1;aaaaaaaaaaaaaaaa=bbbbbbbbbbbbbbbb\r\na\r\n",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "x-more: 1\r\n",
    ),
    ("a body without length", "HTTP/1.1 200 OK\r\n\r\n", "a"),
    ("chunks", CHUNKED, "10\r\naaaaaaaaaaaaaaaa\r\n"),
    ("a refusal's body", "HTTP/1.1 500 Failed\r\n\r\n", "a"),
];

/// Largest answer over a kept connection.
const MAX_CONTROL_BYTES: usize = 8 << 20;

/// Calls over kept connections.
#[derive(Clone, Copy, Debug)]
enum KeptCall {
    Read,
    Write,
    Part,
    Post,
    Load,
    Cancel,
}

impl KeptCall {
    const ALL: [KeptCall; 6] = [
        KeptCall::Read,
        KeptCall::Write,
        KeptCall::Part,
        KeptCall::Post,
        KeptCall::Load,
        KeptCall::Cancel,
    ];

    async fn make(self, address: SocketAddr) -> std::result::Result<(), ClientError> {
        let platform = HttpPlatform::open(address, DEADLINE);
        let peers = PeerClient::open("token".to_owned(), DEADLINE);
        let runners = RunnerClient::open(DEADLINE);
        match self {
            KeptCall::Read => platform.get("k").await.map(|_| ()),
            KeptCall::Write => {
                let put = platform.put("k", "v".to_owned(), Condition::Absent);
                put.await.map(|_| ())
            }
            KeptCall::Part => peers.part(address, "hash").await.map(|_| ()),
            KeptCall::Post => peers
                .post::<u64, u64>(address, "/peer/any", &7)
                .await
                .map(|_| ()),
            KeptCall::Load => runners.load(address).await.map(|_| ()),
            KeptCall::Cancel => {
                let msg = CancelRequest {
                    request: "r".into(),
                    attempt: 1,
                };
                runners.cancel(address, &msg).await
            }
        }
    }
}

/// The same for the platform, other instances and reports of runners, whose connections are kept: guards
/// against a client that reads until the end of its time.
#[gtest]
#[tokio::test]
async fn bytes_that_are_no_answer_are_given_up_on_kept_connections() {
    for call in KeptCall::ALL {
        for (case, prefix, piece) in SHAPES {
            let (address, served) = serve(prefix.to_owned(), piece.to_owned()).await;
            let made = timeout(DEADLINE, call.make(address)).await;
            expect_true!(made.is_ok(), "{call:?}: {case}");
            let sent = served.await.expect("the server ends");
            let bound = MAX_CONTROL_BYTES * 8 + SOCKET_BYTES;
            expect_that!(sent, le(bound), "{call:?}: {case}");
        }
    }
}

/// Guards against taking the sum of many answers of a kept connection, or a long one, for an endless one.
#[gtest]
#[tokio::test]
async fn sound_answers_of_a_kept_connection_are_read_whole() {
    const LONG_BYTES: usize = 1 << 20;
    let body = "a".repeat(LONG_BYTES);
    let missing = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned();
    let long = format!("{HEAD}Content-Length: {LONG_BYTES}\r\n\r\n{body}");
    let mut answers = vec![missing; 3_000];
    answers.push(long.clone());
    answers.push(long);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = answers.len();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for answer in answers {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let peers = PeerClient::open("token".to_owned(), DEADLINE);
    for _ in 2..count {
        assert_that!(peers.part(address, "hash").await, ok(none()));
    }
    for _ in 0..2 {
        let part = peers.part(address, "hash").await.expect("an answer");
        expect_that!(part.map(|bytes| bytes.len()), some(eq(LONG_BYTES)));
    }
}
