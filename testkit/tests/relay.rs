//! TCP relay: forwards bytes, closes connections when cut, and holds bytes back while it hangs.

use googletest::prelude::*;
use jacinthweir_testkit::relay::{Link, Relay};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Starts an echo server and returns its address.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut rx, mut tx) = stream.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut rx, &mut tx).await });
        }
    });
    address
}

async fn relay() -> Relay {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let bound = Relay::bind(listen, echo_server().await, CancellationToken::new()).await;
    bound.expect("binds")
}

async fn round_trip(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

#[gtest]
#[tokio::test]
async fn bytes_are_forwarded_before_and_after_a_cut() {
    let relay = relay().await;
    let mut stream = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(round_trip(&mut stream, b"one").await, ok(eq(b"one")));
    relay.set(Link::Cut);
    expect_that!(round_trip(&mut stream, b"two").await, err(anything()));
    let mut cut = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(round_trip(&mut cut, b"three").await, err(anything()));
    relay.set(Link::Pass);
    let mut again = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(round_trip(&mut again, b"four").await, ok(eq(b"four")));
}

#[gtest]
#[tokio::test]
async fn bytes_held_back_during_a_hang_are_forwarded_after_it() {
    let relay = relay().await;
    let mut stream = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(round_trip(&mut stream, b"one").await, ok(eq(b"one")));
    relay.set(Link::Hang);
    let end_hang = async {
        tokio::task::yield_now().await;
        relay.set(Link::Pass);
    };
    let (echoed, ()) = tokio::join!(round_trip(&mut stream, b"two"), end_hang);
    expect_that!(echoed, ok(eq(b"two")));
}
