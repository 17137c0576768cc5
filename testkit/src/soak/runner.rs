//! Stand-in of a runner. Each instance reaches it at an address of its own, so that it knows who
//! sent a request, and the path of one instance can be cut.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::message::{Connection, Head, chunk, read_body, read_head, response};
use super::observed::{Arrival, LethalCrash, Millis, Record, Rest, Target};
use super::site::{self, EVENT_INTERVAL, HEARTBEAT, PLAIN_WORK, STALL};
use super::store::Store;
use crate::relay::Link;

/// Body of requests that crash each runner which begins to run them.
pub const LETHAL_BODY: &str = "lethal";

/// Begin of the name of each part of a prompt that crashes each runner which begins to write on it.
const LETHAL_PREFIX: &str = "deadbeef";

/// Returns the name of a lethal part.
#[must_use]
pub fn lethal_part(number: u32) -> String {
    format!("{LETHAL_PREFIX}{number:02}")
}

/// Time from the start of a lethal run to the crash of its runner, or to the head of its answer.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Longest time for which a lethal run may write before its runner crashes, in milliseconds.
const LETHAL_WRITE_MS: usize = 400;

/// Time for which a crashed runner is down.
const CRASH_DOWNTIME: Duration = Duration::from_millis(3_000);

/// Silence after which the store drops an entry, in check-in intervals.
const MISSED_HEARTBEATS: u32 = 3;

/// What a runner does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, derive_more::Display)]
pub enum Behaviour {
    /// Answers it.
    #[default]
    #[display("sound")]
    Sound,
    /// Resets the connection.
    #[display("reset")]
    Reset,
    /// Closes the connection within the head of its answer.
    #[display("half a head")]
    HalfHead,
    /// Closes the connection within the body of its answer.
    #[display("half a body")]
    HalfBody,
    /// Refuses it as not run.
    #[display("busy")]
    Busy,
    /// Refuses it and wants nothing for a while.
    #[display("rest")]
    Rest,
    /// Fails it.
    #[display("error")]
    Error,
    /// Begins to answer after a silence.
    #[display("silent")]
    Silent,
}

/// How long a runner that rests wants nothing, in milliseconds.
const REST_MS: u64 = 2_500;

/// How long a silent runner says nothing.
const SILENCE: Duration = Duration::from_millis(1_500);

/// A share of the requests that runners do something else with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// What they do.
    pub behaviour: Behaviour,
    /// Share of the requests, from 0 to 1.
    pub share: f64,
}

/// Header by which a runner states that it did not run a request.
const NOT_RUN: &str = "X-Jacinthweir-Not-Run: 1\r\n";

/// A request that a runner got.
struct Run {
    id: String,
    at_ms: Millis,
    instance: usize,
    /// Headers of the answer.
    receipt: String,
    deadline_ms: Option<u64>,
    limit_per_s: Option<f64>,
    is_stream: bool,
    chain: Vec<SocketAddr>,
    first_event: u64,
    last_event: u64,
}

impl Run {
    fn of(runner: &Runner, head: &Head, instance: usize) -> Run {
        let id = head.header("x-jacinthweir-request-id").unwrap_or("");
        let chain = head.header("x-jacinthweir-hop-count");
        let after = head.number("last-event-id").unwrap_or(0);
        let limit_per_s = runner.limit_per_s();
        let limit = limit_per_s.map_or_else(String::new, |l| format!("Server-Limit: {l}\r\n"));
        Run {
            id: id.to_owned(),
            at_ms: runner.pool.record.now(),
            instance,
            receipt: format!(
                "X-Jacinthweir-Request-Id: {id}\r\nX-Jacinthweir-Server-Stamp: {}.{id}\r\n{limit}",
                runner.name()
            ),
            limit_per_s,
            deadline_ms: head.number("x-jacinthweir-deadline-ms"),
            is_stream: chain.is_some(),
            chain: parse_chain(chain.unwrap_or("")),
            first_event: after + 1,
            last_event: site::events_of(head),
        }
    }
}

/// Address and place of a runner.
#[derive(Clone, Debug)]
pub struct Place {
    /// Index among all runners.
    pub index: usize,
    /// Address with which it registers.
    pub address: SocketAddr,
    /// Address at which each instance reaches it.
    pub gateways: Vec<SocketAddr>,
    /// Service.
    pub service: &'static str,
    /// Failure domain.
    pub domain: &'static str,
    /// Card, for a model runner.
    pub card: Option<&'static str>,
}

/// What a lifetime knows and forgets at its end.
#[derive(Clone, Debug, Default)]
struct Lifetime {
    token: CancellationToken,
    born_ms: u64,
    orders: u64,
    beats: u64,
    layers: Option<(u64, u64)>,
    /// Chains of running streams, by request.
    chains: BTreeMap<String, Vec<SocketAddr>>,
}

/// A runner.
pub struct Runner {
    place: Place,
    pool: Arc<Pool>,
    lifetime: Mutex<Lifetime>,
    rng: Mutex<ChaCha8Rng>,
}

/// What all runners of a soak share.
pub struct Pool {
    /// The store.
    pub store: Arc<Store>,
    /// What they see.
    pub record: Arc<Record>,
    /// What they do with requests, by service.
    pub troubles: Mutex<BTreeMap<&'static str, Trouble>>,
    /// Requests a second that runners say they take, by index.
    pub limits: Mutex<BTreeMap<usize, f64>>,
    /// State of each instance's paths to all runners.
    pub links: Vec<watch::Sender<Link>>,
    /// Addresses of the runners that are alive.
    pub alive: watch::Sender<Vec<SocketAddr>>,
}

impl Runner {
    /// Starts a runner with its first lifetime.
    pub fn spawn(place: Place, pool: Arc<Pool>, seed: u64) -> Arc<Runner> {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let runner = Arc::new(Runner {
            place,
            pool,
            lifetime: Mutex::default(),
            rng: Mutex::new(rng),
        });
        tokio::spawn(Arc::clone(&runner).live(Duration::ZERO));
        runner
    }

    fn lifetime<T>(&self, f: impl FnOnce(&mut Lifetime) -> T) -> T {
        f(&mut self.lifetime.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Index among all runners.
    #[must_use]
    pub fn index(&self) -> usize {
        self.place.index
    }

    /// Service.
    #[must_use]
    pub fn service(&self) -> &'static str {
        self.place.service
    }

    fn name(&self) -> String {
        format!("i-{}", self.place.index)
    }

    /// Crashes the runner: its connections are reset and nothing listens. It starts again after
    /// `downtime`.
    pub fn crash(self: &Arc<Self>, downtime: Duration) {
        let token = self.lifetime(|l| l.token.clone());
        if token.is_cancelled() {
            return;
        }
        token.cancel();
        let record = &self.pool.record;
        let from = record.now();
        let until = from + u64::try_from(downtime.as_millis()).unwrap_or(0);
        let target = Target::Runner(self.place.index);
        record.with(|o| o.disturbed.push((target, from, until)));
        let address = self.place.address;
        self.pool
            .alive
            .send_modify(|alive| alive.retain(|a| *a != address));
        tokio::spawn(Arc::clone(self).live(downtime));
        if downtime > HEARTBEAT * MISSED_HEARTBEATS {
            let runner = Arc::clone(self);
            tokio::spawn(async move {
                sleep(HEARTBEAT * MISSED_HEARTBEATS).await;
                runner.pool.store.remove("servers", &runner.name());
            });
        }
    }

    /// Begins a lifetime after `downtime` and checks in until its end.
    async fn live(self: Arc<Self>, downtime: Duration) {
        sleep(downtime).await;
        let token = CancellationToken::new();
        self.lifetime(|l| {
            *l = Lifetime {
                token: token.clone(),
                born_ms: crate::http::unix_ms(),
                ..Lifetime::default()
            };
        });
        for (instance, address) in self.place.gateways.iter().enumerate() {
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    let accepting = Arc::clone(&self).accept(listener, instance, token.clone());
                    tokio::spawn(accepting);
                }
                Err(e) => log::error!("{address}: {e}"),
            }
        }
        self.pool
            .alive
            .send_modify(|alive| alive.push(self.place.address));
        let checking_in = async {
            loop {
                self.check_in();
                sleep(HEARTBEAT).await;
            }
        };
        token.run_until_cancelled(checking_in).await;
    }

    fn check_in(&self) {
        let spec = self.lifetime(|l| {
            l.beats += 1;
            json!({
                "service": self.place.service, "address": self.place.address.to_string(),
                "zone": self.place.domain, "version": "v1", "slots": 192, "state": "ready",
                "coldLeftMs": 0, "sequence": l.beats, "born": l.born_ms, "stage": "combined",
                "kind": self.place.card, "layers": layers(l.layers),
            })
        });
        self.pool.store.put("servers", &self.name(), &spec);
    }

    async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        instance: usize,
        token: CancellationToken,
    ) {
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                let (runner, token) = (Arc::clone(&self), token.clone());
                tokio::spawn(async move {
                    let mut stream = stream;
                    let _ = stream.set_nodelay(true);
                    let mut link = runner.pool.links[instance].subscribe();
                    let is_closed = tokio::select! {
                        ended = runner.serve_connection(&mut stream, instance) => ended.is_ok(),
                        () = token.cancelled() => false,
                        _ = link.wait_for(|l| *l == Link::Cut) => false,
                    };
                    if !is_closed {
                        // With a linger time of zero, closing the connection resets it.
                        let _ = stream.set_zero_linger();
                    }
                });
            }
        };
        token.run_until_cancelled(accepting).await;
    }

    async fn serve_connection(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        instance: usize,
    ) -> std::io::Result<()> {
        let mut connection = BufReader::new(stream);
        self.pass(instance).await;
        while let Ok(head) = read_head(&mut connection).await {
            let body = read_body(&mut connection, &head).await?;
            self.pass(instance).await;
            let answer = match head.word(1) {
                "/api/report" => self.report(),
                "/api/order" => self.order(&body),
                "/health" => {
                    let headers = format!("X-Jacinthweir-Instance-Id: {}\r\n", self.name());
                    response("200 OK", &headers, "")
                }
                _ => {
                    self.run(&mut connection, &head, &body, instance).await?;
                    break;
                }
            };
            connection.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    /// Waits while the path of an instance hangs.
    async fn pass(&self, instance: usize) {
        let mut link = self.pool.links[instance].subscribe();
        let _ = link.wait_for(|l| *l != Link::Hang).await;
    }

    fn report(&self) -> String {
        let report = self.lifetime(|l| {
            json!({
                "stage": "combined", "models": [], "busy": false, "sequence": l.orders, "queued": 0,
                "running": l.chains.len(), "kvUsed": 0, "kvTotal": 100_000, "handles": 0, "pace": 1.0,
                "born": l.born_ms, "layers": layers(l.layers), "kind": self.place.card, "stalled": [],
            })
        });
        response(
            "200 OK",
            "Content-Type: application/json\r\n",
            &report.to_string(),
        )
    }

    fn order(&self, body: &[u8]) -> String {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = |name: &str| order[name].as_u64();
        if order["operation"] == "repath" {
            let id = order["id"].as_str().unwrap_or("");
            let path = parse_chain(order["path"].as_str().unwrap_or(""));
            let known = self.lifetime(|l| l.chains.get_mut(id).map(|chain| *chain = path));
            let status = known.map_or("404 Not Found", |()| "202 Accepted");
            return response(status, "", "{}");
        }
        let (Some(from), Some(target)) = (number("from"), number("target")) else {
            return response("400 Bad Request", "", "{}");
        };
        let begun = self.lifetime(|l| {
            let fits = number("precondition").is_none_or(|p| p == l.orders);
            if fits {
                l.orders += 1;
                l.layers = Some((from, target));
            }
            fits
        });
        if !begun {
            return response("409 Conflict", "", "{}");
        }
        self.check_in();
        response("202 Accepted", "", "{}")
    }

    /// Returns the limit that the runner names.
    fn limit_per_s(&self) -> Option<f64> {
        let limits = self.pool.limits.lock();
        let limits = limits.unwrap_or_else(PoisonError::into_inner);
        limits.get(&self.place.index).copied()
    }

    fn draw_behaviour(&self) -> Behaviour {
        let troubles = self.pool.troubles.lock();
        let troubles = troubles.unwrap_or_else(PoisonError::into_inner);
        let Some(trouble) = troubles.get(self.place.service) else {
            return Behaviour::Sound;
        };
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        match rng.random_bool(trouble.share) {
            true => trouble.behaviour,
            false => Behaviour::Sound,
        }
    }

    async fn run(
        self: &Arc<Self>,
        connection: &mut Connection<'_>,
        head: &Head,
        body: &[u8],
        instance: usize,
    ) -> std::io::Result<()> {
        let expected = head.header("x-jacinthweir-expect-instance");
        if expected.is_some_and(|e| e != self.name()) {
            let refusal = response("421 Misdirected", NOT_RUN, "");
            return connection.write_all(refusal.as_bytes()).await;
        }
        let crashes = is_lethal(head, body);
        let behaviour = match crashes {
            true => Behaviour::Sound,
            false => self.draw_behaviour(),
        };
        let run = Run::of(self, head, instance);
        self.record_arrival(&run, behaviour, crashes);
        if crashes {
            let written = self.begin_lethal(connection, &run).await;
            self.crash_under(&run);
            return written;
        }
        let text = match behaviour {
            Behaviour::Reset => return Err(ErrorKind::ConnectionReset.into()),
            Behaviour::HalfHead => {
                // The first lines of a head, without the empty one.
                let whole = format!("HTTP/1.1 200 OK\r\n{}Content-Length: 0\r\n", run.receipt);
                whole[..self.random(20..whole.len())].to_owned()
            }
            Behaviour::Busy => response("503 Full", NOT_RUN, ""),
            Behaviour::Rest => {
                let headers = format!("{NOT_RUN}Retry-After: {}\r\n", REST_MS as f64 / 1e3);
                response("503 Resting", &headers, "")
            }
            Behaviour::Error => response("500 Failed", &run.receipt, "failed"),
            Behaviour::Sound | Behaviour::Silent | Behaviour::HalfBody => {
                if behaviour == Behaviour::Silent {
                    sleep(SILENCE).await;
                }
                let breaks = behaviour == Behaviour::HalfBody;
                if run.is_stream {
                    return self.run_stream(connection, &run, breaks).await;
                }
                sleep(PLAIN_WORK).await;
                let whole = response("200 OK", &run.receipt, &site::plain_answer(&run.id));
                let length = whole.len() - if breaks { 10 } else { 0 };
                whole[..length].to_owned()
            }
        };
        self.pass(instance).await;
        connection.write_all(text.as_bytes()).await
    }

    /// Begins to answer a lethal request: not even a head, or some events and a chunk that breaks off.
    async fn begin_lethal(
        &self,
        connection: &mut Connection<'_>,
        run: &Run,
    ) -> std::io::Result<()> {
        sleep(CRASH_DELAY).await;
        if !run.is_stream || self.random(0..2) == 0 {
            return Ok(());
        }
        connection.write_all(stream_head(run).as_bytes()).await?;
        let events = self.random(0..LETHAL_WRITE_MS) / EVENT_INTERVAL.as_millis() as usize;
        for number in 1..=events as u64 {
            let text = chunk(&site::event(&run.id, number));
            connection.write_all(text.as_bytes()).await?;
            sleep(EVENT_INTERVAL).await;
        }
        let text = chunk(&site::event(&run.id, events as u64 + 1));
        let breaks_at = self.random(1..text.len());
        connection.write_all(&text.as_bytes()[..breaks_at]).await
    }

    /// Crashes the runner under a lethal request, unless another one has done so.
    fn crash_under(self: &Arc<Self>, run: &Run) {
        if self.lifetime(|l| l.token.is_cancelled()) {
            return;
        }
        let at_ms = self.pool.record.now();
        self.pool.record.with(|o| {
            let part = o.sent.get(&run.id).and_then(|s| s.lethal_part);
            o.lethal_crashes.push(LethalCrash { at_ms, part });
        });
        self.crash(CRASH_DOWNTIME);
    }

    fn record_arrival(&self, run: &Run, behaviour: Behaviour, crashes: bool) {
        let (runner, instance) = (self.place.index, run.instance);
        let answers = [Behaviour::Sound, Behaviour::Error];
        let is_answered = answers.contains(&behaviour) && !crashes;
        self.pool.record.with(|o| {
            o.arrivals.push(Arrival {
                at_ms: run.at_ms,
                id: run.id.clone(),
                runner,
                instance,
                deadline_ms: run.deadline_ms,
                ran: !matches!(behaviour, Behaviour::Busy | Behaviour::Rest),
                crashes,
                limit_per_s: run.limit_per_s.filter(|_| is_answered),
            });
            if behaviour == Behaviour::Rest {
                o.rests.push(Rest {
                    at_ms: run.at_ms,
                    runner,
                    instance,
                    for_ms: REST_MS,
                });
            }
        });
    }

    fn random(&self, range: std::ops::Range<usize>) -> usize {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(range)
    }

    async fn run_stream(
        &self,
        connection: &mut Connection<'_>,
        run: &Run,
        breaks: bool,
    ) -> std::io::Result<()> {
        self.lifetime(|l| l.chains.insert(run.id.clone(), run.chain.clone()));
        let sent = self.send_events(connection, run, breaks).await;
        self.lifetime(|l| l.chains.remove(&run.id));
        sent
    }

    /// Sends the events of a stream for as long as all runners of its chain are alive.
    async fn send_events(
        &self,
        connection: &mut Connection<'_>,
        run: &Run,
        breaks: bool,
    ) -> std::io::Result<()> {
        if !self.wait_for_chain(&run.id).await {
            let refusal = response("503 Broken", NOT_RUN, "");
            return connection.write_all(refusal.as_bytes()).await;
        }
        let breaks_at = breaks.then(|| self.random(1..20) as u64 + run.first_event);
        connection.write_all(stream_head(run).as_bytes()).await?;
        for event in run.first_event..=run.last_event {
            sleep(EVENT_INTERVAL).await;
            self.pass(run.instance).await;
            if !self.wait_for_chain(&run.id).await {
                return Ok(());
            }
            let text = site::event(&run.id, event);
            if breaks_at == Some(event) {
                let half = chunk(&text[..text.len() / 2]);
                return connection.write_all(half.as_bytes()).await;
            }
            connection.write_all(chunk(&text).as_bytes()).await?;
        }
        connection.write_all(b"0\r\n\r\n").await
    }

    /// Waits until all runners of a stream's chain are alive; returns `false` once it has stalled for
    /// too long.
    async fn wait_for_chain(&self, id: &str) -> bool {
        let mut alive = self.pool.alive.subscribe();
        let complete = async {
            loop {
                let chain = self.lifetime(|l| l.chains.get(id).cloned());
                let chain = chain.unwrap_or_default();
                if chain.iter().all(|a| alive.borrow_and_update().contains(a)) {
                    return;
                }
                // An order may change the chain, too.
                let _ = timeout(EVENT_INTERVAL, alive.changed()).await;
            }
        };
        timeout(STALL, complete).await.is_ok()
    }
}

fn stream_head(run: &Run) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        run.receipt
    )
}

fn is_lethal(head: &Head, body: &[u8]) -> bool {
    let parts = head.header("x-jacinthweir-prompt-prefix").unwrap_or("");
    body == LETHAL_BODY.as_bytes() || parts.contains(LETHAL_PREFIX)
}

fn layers(held: Option<(u64, u64)>) -> Value {
    held.map_or(
        Value::Null,
        |(from, target)| json!({ "from": from, "target": target }),
    )
}

fn parse_chain(text: &str) -> Vec<SocketAddr> {
    let stages = text.split(',').filter_map(|stage| stage.split_once('='));
    stages
        .filter_map(|(address, _)| address.parse().ok())
        .collect()
}
