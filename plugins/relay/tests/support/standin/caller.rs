//! A caller, and what it sees.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::TEST_TIMEOUT;
use super::runner::header;

/// An answer as the caller sees it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether it came to its proper end.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Ids of the events.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        lines.filter_map(|v| v.parse().ok()).collect()
    }
}

/// A request with the usual headers; `lines` are added to them.
pub async fn send_request(address: SocketAddr, first: &str, lines: &str, body: &str) -> Response {
    let length = body.len();
    let text = format!(
        "{first}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r1\r\n\
         X-Jacinthweir-Key: key\r\n{lines}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    send_raw(address, text.as_bytes()).await
}

pub async fn get(address: SocketAddr, first: &str) -> Response {
    let text = format!("{first}\r\nHost: x\r\nConnection: close\r\n\r\n");
    send_raw(address, text.as_bytes()).await
}

/// Sends bytes and reads to the end of the connection.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    let mut got = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut got)).await;
    // A connection that is reset still brought what came before.
    let _ = read.expect("the connection ends");
    parse_response(&got)
}

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
        unchunk(rest)
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

fn unchunk(mut rest: &str) -> (String, bool) {
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
