//! Request lines of the clients of the own interface.

#[path = "support/requests.rs"]
mod requests;

use std::net::SocketAddr;

use googletest::prelude::*;
use jacinthweir_clients::ClientError;
use jacinthweir_clients::peer::PeerClient;
use jacinthweir_clients::platform::{HttpPlatform, Platform};
use jacinthweir_clients::runner::RunnerClient;
use jacinthweir_clients::service::ServiceClient;
use jacinthweir_clients::target::MAX_TARGET_BYTES;
use requests::{DEADLINE, run_request, service_call};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Answers one request with 404; returns its target.
async fn serve() -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let served = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("a request line");
        let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("an answer");
        let target = line.split(' ').nth(1).expect("a target");
        target.to_owned()
    });
    (address, served)
}

/// Guards against a request to another path of an instance, with the token of all instances, for an id that
/// somebody else chose.
#[gtest]
#[tokio::test]
async fn an_id_stays_one_part_of_a_path() -> googletest::Result<()> {
    let peers = PeerClient::open("token".to_owned(), DEADLINE);
    for (id, target) in [
        ("front-1.7", "front-1.7"),
        ("f.1?x", "f.1%3Fx"),
        ("f.1#x", "f.1%23x"),
        ("f.1/../../self", "f.1%2F..%2F..%2Fself"),
        ("f.1%2F", "f.1%252F"),
        ("f.é +", "f.%C3%A9%20%2B"),
    ] {
        let (address, served) = serve().await;
        verify_that!(peers.request(address, id).await, ok(none()))?;
        let got = served.await.expect("a request");
        expect_that!(got, eq(&format!("/peer/requests/{target}")));
        let (address, served) = serve().await;
        verify_that!(peers.part(address, id).await, ok(none()))?;
        let got = served.await.expect("a request");
        expect_that!(got, eq(&format!("/peer/parts/{target}")));
    }
    Ok(())
}

/// Guards against a key that another version of the platform or of an upstream reads otherwise.
#[gtest]
#[tokio::test]
async fn plain_names_are_sent_as_they_are() {
    let (address, served) = serve().await;
    let platform = HttpPlatform::open(address, DEADLINE);
    let key = "claims/org.1/0198-7f_a~b";
    expect_that!(platform.get(key).await, ok(none()));
    let got = served.await.expect("a request");
    expect_that!(got, eq("/objects/claims/org.1/0198-7f_a~b"));

    let (address, served) = serve().await;
    let _ = ServiceClient::open().call(&service_call(address)).await;
    let got = served.await.expect("a request");
    expect_that!(got, eq("/call/lookup"));

    let (address, served) = serve().await;
    let runners = RunnerClient::open(DEADLINE);
    let _ = runners.cache_events(address, 7).await;
    let got = served.await.expect("a request");
    expect_that!(got, eq("/v1/cache-events?after=7"));

    let (address, served) = serve().await;
    let _ = runners.run(&run_request(address)).await;
    let got = served.await.expect("a request");
    expect_that!(got, eq("/v1/run"));
}

/// Guards against a request to another address in the place of one that cannot be sent.
#[gtest]
#[tokio::test]
async fn a_name_that_is_too_long_is_not_sent() {
    let (address, served) = serve().await;
    let platform = HttpPlatform::open(address, DEADLINE);
    let got = platform.get(&"é".repeat(MAX_TARGET_BYTES)).await;
    expect_that!(got, err(matches_pattern!(ClientError::NoEffect { .. })));
    expect_false!(served.is_finished());
}
