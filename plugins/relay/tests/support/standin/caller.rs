//! Test client: sends requests and parses responses.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::TEST_TIMEOUT;
use super::runner::header;

/// Response as the caller receives it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete according to its framing.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the identifiers of the events in the body.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        lines.filter_map(|v| v.parse().ok()).collect()
    }
}

/// Sends a request with the usual headers and the additional `headers`.
pub async fn send_request(
    address: SocketAddr,
    request_line: &str,
    headers: &str,
    body: &str,
) -> Response {
    let length = body.len();
    let text = format!(
        "{request_line}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r1\r\n\
         X-Jacinthweir-Key: key\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    send_raw(address, text.as_bytes()).await
}

/// Sends a request without a body; the request line is given.
pub async fn get(address: SocketAddr, request_line: &str) -> Response {
    let text = format!("{request_line}\r\nHost: x\r\nConnection: close\r\n\r\n");
    send_raw(address, text.as_bytes()).await
}

/// Sends raw bytes and reads until the connection closes.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    let mut got = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut got)).await;
    // Bytes received before a connection reset are kept.
    let _ = read.expect("the connection closes");
    parse_response(&got)
}

/// Parses a response; truncated ones are marked as incomplete.
pub fn parse_response(got: &[u8]) -> Response {
    let text = String::from_utf8_lossy(got).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let chunked = header(head, "transfer-encoding").is_some();
    let (body, complete) = if chunked {
        decode_chunked(rest)
    } else {
        let length = header(head, "content-length").and_then(|v| v.parse::<usize>().ok());
        (rest.to_owned(), length == Some(rest.len()))
    };
    Response {
        status,
        head: head.to_owned(),
        body,
        complete,
    }
}

/// Decodes a chunked body, and returns whether the final chunk was received.
fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 {
            return (body, true);
        }
        if after.len() < size + 2 {
            body.push_str(after);
            return (body, false);
        }
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    (body, false)
}
