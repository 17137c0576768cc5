//! A runner.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::TEST_TIMEOUT;
use super::store::Store;

/// When each runner was born first, as its entry says.
pub const BORN_MS: u64 = 1_700_000_000_000;

/// Body of requests that end each runner which begins to run them.
pub const LETHAL: &str = "lethal";

/// Time between the beginning of such a run and the runner's end, and until the runner is back.
const CRASH_DELAY: Duration = Duration::from_millis(30);
const RESTART_DELAY: Duration = Duration::from_millis(250);

/// How a runner treats the next requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// A whole answer.
    Normal,
    /// Says that it did not run it.
    NotRun,
    /// 500 with its receipt.
    ServerError,
    /// Reads the request and closes.
    ClosesConnection,
    /// A length that is longer than what it sends.
    TruncatesBody,
    /// An answer that names another request.
    WrongRequestId,
    /// No receipt.
    NoReceipt,
    /// Breaks off within the third event.
    BreaksMidEvent,
    /// One event after another until the caller leaves.
    Endless,
    /// Stops after the second event until it is ordered to go on along another chain.
    StallsUntilRerouted,
    /// Takes a request and says nothing more, but answers when it is asked.
    HangsRequests,
    /// Says nothing.
    Unresponsive,
}

/// What a runner was sent.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    fn is_lethal(&self) -> bool {
        self.body == LETHAL.as_bytes()
    }
}

/// Value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    let mut named = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    named.next().map(|(_, v)| v.trim())
}

/// A runner on a bare socket, so that it can answer wrongly.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    /// Nothing comes from it while set, as where the link of the one that listens is full.
    pub responses_paused: Cell<bool>,
    /// Whether it knows of reports: a plain service need not.
    pub serves_reports: Cell<bool>,
    /// Time that its report takes.
    pub report_delay: Cell<Duration>,
    pub received: RefCell<Vec<ReceivedRequest>>,
    /// Callers that left before the end.
    pub disconnects: Cell<usize>,
    /// Orders to go on along another chain: the request, and the path.
    pub reroutes: RefCell<Vec<(String, String)>>,
    /// When requests arrived, those that it refused too.
    pub arrivals: RefCell<Vec<Instant>>,
    /// Requests a second that it names as its limit.
    pub rate_limit: Cell<Option<f64>>,
    /// Cancelled when it ends.
    lifetime: RefCell<CancellationToken>,
    /// How long it is away after its end.
    downtime: Cell<Duration>,
    born_ms: Cell<u64>,
    store: Rc<Store>,
    service: String,
    domain: String,
    orders: Cell<u64>,
    layers: Cell<Option<(u64, u64)>>,
}

impl Runner {
    pub async fn spawn(store: &Rc<Store>, id: &str, service: &str, domain: &str) -> Rc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let runner = Rc::new(Runner {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            behaviour: Cell::new(Behaviour::Normal),
            responses_paused: Cell::new(false),
            serves_reports: Cell::new(true),
            report_delay: Cell::default(),
            received: RefCell::default(),
            disconnects: Cell::new(0),
            reroutes: RefCell::default(),
            arrivals: RefCell::default(),
            rate_limit: Cell::default(),
            lifetime: RefCell::default(),
            downtime: Cell::new(RESTART_DELAY),
            born_ms: Cell::new(BORN_MS),
            store: Rc::clone(store),
            service: service.to_owned(),
            domain: domain.to_owned(),
            orders: Cell::new(0),
            layers: Cell::new(None),
        });
        runner.register("ready");
        spawn_local(Rc::clone(&runner).run_lifetimes(listener));
        runner
    }

    /// One lifetime after the other.
    async fn run_lifetimes(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            let lifetime = CancellationToken::new();
            *self.lifetime.borrow_mut() = lifetime.clone();
            let accepting = Rc::clone(&self).accept(&listener, &lifetime);
            lifetime.run_until_cancelled(accepting).await;
            drop(listener);
            sleep(self.downtime.get()).await;
            self.born_ms.set(self.born_ms.get() + 1);
            self.layers.set(None);
            self.orders.set(0);
            listener = TcpListener::bind(self.address).await.expect("its port");
            self.register("ready");
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener, lifetime: &CancellationToken) {
        while let Ok((stream, _)) = listener.accept().await {
            let (runner, lifetime) = (Rc::clone(&self), lifetime.clone());
            spawn_local(async move {
                lifetime
                    .run_until_cancelled(runner.connection(stream))
                    .await
            });
        }
    }

    /// It ends for good: its connections break, and nobody listens there.
    pub fn crash(&self) {
        self.downtime.set(TEST_TIMEOUT * 2);
        self.lifetime.borrow().cancel();
    }

    /// Runs of lethal requests that it began.
    pub fn lethal_run_count(&self) -> usize {
        let received = self.received.borrow();
        received.iter().filter(|r| r.is_lethal()).count()
    }

    pub fn register(&self, state: &str) {
        self.write_entry(state, self.address);
    }

    /// Its entry names another address from now on.
    pub fn register_at(&self, address: SocketAddr) {
        self.write_entry("ready", address);
    }

    fn write_entry(&self, state: &str, address: SocketAddr) {
        let layers = self.layers.get();
        let layers = layers.map(|(from, target)| json!({ "from": from, "target": target }));
        let spec = json!({
            "service": self.service, "address": address.to_string(), "zone": self.domain,
            "state": state, "slots": 8, "sequence": 1, "born": self.born_ms.get(),
            "kind": "card", "layers": layers,
        });
        self.store.put("servers", &self.id, &spec);
    }

    /// Layers that it holds.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.layers.get()
    }

    /// Requests that it began to work on.
    pub fn run_count(&self) -> usize {
        self.received.borrow().len()
    }

    async fn connection(&self, mut stream: TcpStream) {
        let Some((head, body)) = read_message(&mut stream).await else {
            return;
        };
        let first = head.lines().next().unwrap_or("").to_owned();
        if first.starts_with("GET /api/report") {
            if self.behaviour.get() != Behaviour::Unresponsive {
                self.report(&mut stream).await;
            }
        } else if first.starts_with("POST /api/order") {
            self.order(&mut stream, &body).await;
        } else {
            let received = ReceivedRequest { head, body };
            self.serve(&mut stream, received).await;
        }
    }

    async fn wait_while_paused(&self) {
        while self.responses_paused.get() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn report(&self, stream: &mut TcpStream) {
        self.wait_while_paused().await;
        if !self.serves_reports.get() {
            return write_json(stream, "404 Not Found", &Value::Null).await;
        }
        sleep(self.report_delay.get()).await;
        let layers = self.layers.get();
        let layers = layers.map(|(from, target)| json!({ "from": from, "target": target }));
        let report = json!({
            "sequence": self.orders.get(), "born": self.born_ms.get(), "busy": false, "layers": layers,
        });
        write_json(stream, "200 OK", &report).await;
    }

    async fn order(&self, stream: &mut TcpStream, body: &[u8]) {
        let order: Value = serde_json::from_slice(body).expect("JSON");
        if order["operation"] == "repath" {
            let text = |name: &str| order[name].as_str().expect("a text").to_owned();
            let rerouted = (text("id"), text("path"));
            self.reroutes.borrow_mut().push(rerouted);
            return write_json(stream, "202 Accepted", &Value::Null).await;
        }
        if order["precondition"].as_u64() != Some(self.orders.get()) {
            return write_json(stream, "409 Conflict", &Value::Null).await;
        }
        self.orders.set(self.orders.get() + 1);
        let layer = |name: &str| order[name].as_u64().expect("a layer");
        self.layers.set(Some((layer("from"), layer("target"))));
        write_json(stream, "202 Accepted", &Value::Null).await;
        self.register("ready");
    }

    async fn serve(&self, stream: &mut TcpStream, received: ReceivedRequest) {
        let behaviour = self.behaviour.get();
        let id = received
            .header("x-jacinthweir-request-id")
            .unwrap_or("")
            .to_owned();
        let after = received
            .header("last-event-id")
            .and_then(|v| v.parse::<u64>().ok());
        let is_stream = received.header("x-jacinthweir-hop-count").is_some();
        let is_lethal = received.is_lethal();
        self.arrivals.borrow_mut().push(Instant::now());
        if behaviour != Behaviour::NotRun {
            self.received.borrow_mut().push(received);
        }
        let limit = self.rate_limit.get();
        let limit = limit.map_or(String::new(), |l| format!("Server-Limit: {l}\r\n"));
        let receipt = format!("{limit}X-Jacinthweir-Server-Stamp: of-{}\r\n", self.id);
        let own = format!("X-Jacinthweir-Request-Id: {id}\r\n");
        let whole = |status: &str, headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        };
        if is_lethal {
            return self
                .crash_mid_run(stream, &format!("{own}{receipt}"), is_stream)
                .await;
        }
        let text = match behaviour {
            Behaviour::Unresponsive | Behaviour::HangsRequests => {
                sleep(TEST_TIMEOUT).await;
                return;
            }
            Behaviour::ClosesConnection => return,
            Behaviour::NotRun => whole("503 Full", "X-Jacinthweir-Not-Run: 1\r\n", ""),
            Behaviour::ServerError => whole("500 Failed", &format!("{own}{receipt}"), "failed"),
            Behaviour::WrongRequestId => {
                let other = "X-Jacinthweir-Request-Id: another\r\n";
                whole("200 OK", &format!("{other}{receipt}"), "another's")
            }
            Behaviour::NoReceipt => whole("200 OK", &own, "answer"),
            Behaviour::TruncatesBody => {
                let head = format!("HTTP/1.1 200 OK\r\n{own}{receipt}Content-Length: 100\r\n\r\n");
                format!("{head}half an answer")
            }
            Behaviour::Normal
            | Behaviour::BreaksMidEvent
            | Behaviour::Endless
            | Behaviour::StallsUntilRerouted
                if is_stream =>
            {
                return self.stream(stream, &format!("{own}{receipt}"), after).await;
            }
            _ => whole(
                "200 OK",
                &format!("{own}{receipt}"),
                &format!("answer of {}", self.id),
            ),
        };
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.shutdown().await;
    }

    /// Begins an answer and ends, with all that runs here.
    async fn crash_mid_run(&self, stream: &mut TcpStream, headers: &str, is_stream: bool) {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
        if is_stream {
            let _ = stream.write_all(head.as_bytes()).await;
        }
        sleep(CRASH_DELAY).await;
        self.lifetime.borrow().cancel();
    }

    /// Six events; each names the runner.
    async fn stream(&self, stream: &mut TcpStream, headers: &str, after: Option<u64>) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        self.wait_while_paused().await;
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        let last = if self.behaviour.get() == Behaviour::Endless {
            10_000
        } else {
            6
        };
        for event in after.unwrap_or(0) + 1..=last {
            self.wait_while_paused().await;
            let text = format!("id: {event}\ndata: {}\n\n", self.id);
            if self.behaviour.get() == Behaviour::BreaksMidEvent && event == 3 {
                let part = &text[..8];
                let _ = write_chunk(stream, part).await;
                return;
            }
            while self.behaviour.get() == Behaviour::StallsUntilRerouted
                && event == 3
                && self.reroutes.borrow().is_empty()
            {
                sleep(Duration::from_millis(10)).await;
            }
            if write_chunk(stream, &text).await.is_err() {
                self.disconnects.set(self.disconnects.get() + 1);
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
        let _ = stream.shutdown().await;
    }
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await
}

async fn write_json(stream: &mut TcpStream, status: &str, body: &Value) {
    let body = body.to_string();
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Reads a head and the body that its length names.
async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize =
                header(&head, "content-length").map_or(0, |v| v.parse().unwrap_or(0));
            if bytes.len() >= end + 4 + length {
                return Some((head, bytes[end + 4..end + 4 + length].to_vec()));
            }
        }
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
        }
    }
}
