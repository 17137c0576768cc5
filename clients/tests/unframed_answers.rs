//! Services' answers with neither a length nor chunks, which end with their connection.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_clients::ClientError;
use jacinthweir_clients::service::{ServiceAnswer, ServiceCall, ServiceClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const BODY: &str = "the whole answer";

/// Time between a partial answer and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// How a service ends its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Answers one call, on a raw socket.
async fn serve(mut stream: TcpStream, end: End) {
    let mut head = [0; 4096];
    let _ = stream.read(&mut head).await.expect("a request");
    let text = format!(
        "HTTP/1.1 200 OK\r\nJacinthweir-Request: r\r\nJacinthweir-Attempt: 1\r\nConnection: close\r\n\r\n{BODY}"
    );
    match end {
        End::Close => {
            stream.write_all(text.as_bytes()).await.expect("sent");
            stream.shutdown().await.expect("closed");
        }
        End::Reset => {
            let half = &text[..text.len() - BODY.len() / 2];
            stream.write_all(half.as_bytes()).await.expect("sent");
            sleep(RESET_DELAY).await;
            stream.set_zero_linger().expect("set");
        }
    }
}

async fn call(end: End) -> std::result::Result<ServiceAnswer, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        serve(stream, end).await;
    });
    let client = ServiceClient::open();
    let call = ServiceCall {
        address,
        call: "lookup".to_owned(),
        request: "r".to_owned(),
        attempt: 1,
        key: None,
        content_type: None,
        body: "".into(),
        timeout: Duration::from_secs(20),
    };
    client.call(&call).await
}

/// Guards against taking the close for a failure.
#[gtest]
#[tokio::test]
async fn an_unframed_answer_is_complete_when_its_connection_is_closed() {
    let answer = call(End::Close).await.expect("an answer");
    let ServiceAnswer::Answered { body, .. } = answer else {
        panic!("refused");
    };
    expect_that!(body.as_ref(), eq(BODY.as_bytes()));
}

/// Guards against passing on half of an answer: the call may have run.
#[gtest]
#[tokio::test]
async fn an_unframed_answer_is_incomplete_if_its_connection_is_reset() {
    let failed = call(End::Reset).await;
    expect_that!(
        failed.is_err_and(|e| !matches!(e, ClientError::NoEffect { .. })),
        eq(true)
    );
}
