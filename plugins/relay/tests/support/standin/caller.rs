//! A caller, and what it sees.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::LONG;
use super::runner::header;

/// An answer as the caller sees it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether it came to its proper end.
    pub whole: bool,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Ids of the events.
    pub fn events(&self) -> Vec<u64> {
        let lines = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        lines.filter_map(|v| v.parse().ok()).collect()
    }
}

/// A request with the usual headers; `lines` are added to them.
pub async fn request(address: SocketAddr, first: &str, lines: &str, body: &str) -> Seen {
    let length = body.len();
    let text = format!(
        "{first}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: r1\r\n\
         X-Jacinthweir-Key: key\r\n{lines}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    raw(address, text.as_bytes()).await
}

pub async fn ask(address: SocketAddr, first: &str) -> Seen {
    let text = format!("{first}\r\nHost: x\r\nConnection: close\r\n\r\n");
    raw(address, text.as_bytes()).await
}

/// Sends bytes and reads to the end of the connection.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> Seen {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    let mut got = Vec::new();
    let read = timeout(LONG, stream.read_to_end(&mut got)).await;
    // A connection that is reset still brought what came before.
    let _ = read.expect("the connection ends");
    seen(&got)
}

pub fn seen(got: &[u8]) -> Seen {
    let text = String::from_utf8_lossy(got).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let chunked = header(head, "transfer-encoding").is_some();
    let (body, whole) = if chunked {
        unchunk(rest)
    } else {
        let length = header(head, "content-length").and_then(|v| v.parse::<usize>().ok());
        (rest.to_owned(), length == Some(rest.len()))
    };
    Seen {
        status,
        head: head.to_owned(),
        body,
        whole,
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
