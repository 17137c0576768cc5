//! A server in the place of an instance that has ended.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::standin::{NoAnswer, TEST_TIMEOUT, header};

/// What the server sends.
#[derive(Clone, Copy, Debug)]
pub enum FalseAnswer {
    /// Nothing: it closes the connection.
    None,
    /// To a forwarded request an answer with a number that is no status, and what it claims to have become of
    /// the request.
    NoStatus {
        status: &'static str,
        outcome: &'static str,
    },
    /// To a forwarded request that it may have run on a runner, as the head of an answer names it.
    MayHaveRunOn(&'static str),
    /// To each request bytes without end, as an answer to a forwarded request begins.
    WithoutEnd(NoAnswer),
}

/// Answers in the place of an instance.
pub struct FalseInstance {
    pub answer: Cell<FalseAnswer>,
    /// Requests that were forwarded to it.
    pub requests: Cell<usize>,
    /// Head and body of the last of them.
    pub last_request: RefCell<Vec<u8>>,
    /// Other messages that it received.
    pub messages: Cell<usize>,
    /// Most bytes sent on one connection.
    pub sent_without_end: Cell<usize>,
}

impl FalseInstance {
    /// Takes over the address of an instance that has ended.
    pub async fn spawn(address: SocketAddr) -> Rc<FalseInstance> {
        let listener = timeout(TEST_TIMEOUT, bind(address)).await;
        let listener = listener.expect("the same port");
        let instance = Rc::new(FalseInstance {
            answer: Cell::new(FalseAnswer::None),
            requests: Cell::new(0),
            last_request: RefCell::default(),
            messages: Cell::new(0),
            sent_without_end: Cell::new(0),
        });
        let accepting = Rc::clone(&instance);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let instance = Rc::clone(&accepting);
                spawn_local(async move { instance.serve(stream).await });
            }
        });
        instance
    }

    async fn serve(&self, mut stream: TcpStream) {
        let request = read_request(&mut stream).await;
        let is_forwarded = request.starts_with(b"POST /peer/request ");
        let count = match is_forwarded {
            true => &self.requests,
            false => &self.messages,
        };
        count.set(count.get() + 1);
        if is_forwarded {
            self.last_request.replace(request);
        }
        match self.answer.get() {
            FalseAnswer::NoStatus { status, outcome } if is_forwarded => {
                let answer = format!(
                    "HTTP/1.1 {status} None\r\nJacinthweir-Forwarded: {outcome}\r\n\
                     Content-Length: 4\r\n\r\nnone"
                );
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.shutdown().await;
            }
            FalseAnswer::MayHaveRunOn(runner) if is_forwarded => {
                let answer = format!(
                    "HTTP/1.1 502 None\r\nJacinthweir-Forwarded: unknown\r\n\
                     Jacinthweir-Forwarded-Sends: 1\r\nJacinthweir-Forwarded-Runner: {runner}\r\n\
                     Content-Length: 4\r\n\r\nnone"
                );
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.shutdown().await;
            }
            FalseAnswer::NoStatus { .. } | FalseAnswer::MayHaveRunOn(_) | FalseAnswer::None => {}
            FalseAnswer::WithoutEnd(bytes) => self.send_without_end(&mut stream, bytes).await,
        }
    }

    async fn send_without_end(&self, stream: &mut TcpStream, bytes: NoAnswer) {
        let (mut next, piece) = bytes.bytes("Jacinthweir-Forwarded: answered\r\n");
        let mut sent = 0;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            sent += next.len();
            next = piece.repeat(1_000);
            let most = self.sent_without_end.get().max(sent);
            self.sent_without_end.set(most);
        }
    }
}

/// Reads a request, or as much of it as its sender sends.
async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut request = Vec::new();
    while !is_whole(&request) {
        if let Ok(0) | Err(_) = stream.read_buf(&mut request).await {
            break;
        }
    }
    request
}

fn is_whole(request: &[u8]) -> bool {
    let Some(end) = request.windows(4).position(|w| w == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&request[..end]);
    let length = header(&head, "content-length").and_then(|v| v.parse().ok());
    request.len() - end - 4 >= length.unwrap_or(0)
}

/// Waits until the former listener is closed.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}
