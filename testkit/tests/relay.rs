//! The relay: it passes bytes, closes what stands when cut, and holds bytes while it hangs.

use googletest::prelude::*;
use jacinthweir_testkit::relay::{Link, Relay};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A server that sends back what it receives.
async fn echo() -> SocketAddr {
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
    let bound = Relay::bind(listen, echo().await, CancellationToken::new()).await;
    bound.expect("binds")
}

async fn echoed(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

#[gtest]
#[tokio::test]
async fn it_passes_bytes_until_it_is_cut_and_again_after() {
    let relay = relay().await;
    let mut stream = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(echoed(&mut stream, b"one").await, ok(eq(b"one")));
    relay.set(Link::Cut);
    expect_that!(echoed(&mut stream, b"two").await, err(anything()));
    let mut cut = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(echoed(&mut cut, b"three").await, err(anything()));
    relay.set(Link::Pass);
    let mut again = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(echoed(&mut again, b"four").await, ok(eq(b"four")));
}

#[gtest]
#[tokio::test]
async fn bytes_that_wait_while_it_hangs_go_on_after() {
    let relay = relay().await;
    let mut stream = TcpStream::connect(relay.address).await.expect("connects");
    expect_that!(echoed(&mut stream, b"one").await, ok(eq(b"one")));
    relay.set(Link::Hang);
    let healing = async {
        tokio::task::yield_now().await;
        relay.set(Link::Pass);
    };
    let (echoed, ()) = tokio::join!(echoed(&mut stream, b"two"), healing);
    expect_that!(echoed, ok(eq(b"two")));
}
