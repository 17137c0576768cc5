//! Callers: an open load of all kinds of requests, over kept connections, with retries of their own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::fault::Wave;
use super::message::{Head, read_body, read_chunk, read_head};
use super::observed::{End, Record, Sent};
use super::runner::{LETHAL_BODY, lethal_part};
use super::site::{Class, HOST, KEY, Site, TOKENS_PER_EVENT, event, plain_answer};

/// Time in which a new connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an event after which a caller leaves a stream.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Share of the time left for which callers honour `Retry-After`.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Idle connections that callers keep to each address.
const KEPT: usize = 64;

/// Share of requests that open a new connection.
const NEW_CONNECTIONS: f64 = 0.2;

/// Requests of which one may have another key than the usual one.
const OTHER_KEY_INTERVAL: usize = 6;

/// A connection of a caller.
type Connection = BufReader<TcpStream>;

/// What crashes runners, and is sent beside the other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Lethal {
    /// One request, repeated.
    #[display("lethal request")]
    Request,
    /// Requests with a part of their prompts, given by its number, no two alike. They share caller, route
    /// and other parts with sound ones.
    #[display("lethal part {_0}")]
    Part(u32),
}

/// First part of all prompts, and the second ones, one of them in most prompts.
const FIRST_PART: &str = "5c1e07a2";
const SECOND_PARTS: [&str; 5] = ["aa01", "aa01", "aa01", "aa02", "aa03"];

/// Tokens of each part that requests share.
const PART_TOKENS: u32 = 20;

/// All callers.
pub struct Callers {
    site: Site,
    /// API keys that they may use; the first is the usual one.
    keys: &'static [&'static str],
    record: Arc<Record>,
    /// Addresses of the instances, by index, as callers have learnt them.
    pub addresses: Mutex<BTreeMap<usize, SocketAddr>>,
    kept: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    count: Mutex<u64>,
    rng: Mutex<ChaCha8Rng>,
}

impl Callers {
    /// Creates callers of a site.
    #[must_use]
    pub fn new(
        site: Site,
        keys: &'static [&'static str],
        record: Arc<Record>,
        seed: u64,
    ) -> Callers {
        Callers {
            site,
            keys,
            record,
            addresses: Mutex::default(),
            kept: Mutex::default(),
            count: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    fn random<T>(&self, f: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        f(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends requests until `stop` is cancelled, and returns when all have ended. `rate` and `call_weight` are
    /// relative to those of the site.
    pub async fn run(self: Arc<Self>, rate: f64, call_weight: f64, stop: CancellationToken) {
        let tasks = TaskTracker::new();
        let classes = self.site.classes();
        let weight = |class: &Class| match class.events {
            0 => class.weight * call_weight,
            _ => class.weight,
        };
        let mean_s = 1.0 / (self.site.requests_per_s() * rate);
        while !stop.is_cancelled() {
            let (class, gap_s) = self.random(|rng| {
                let class = *classes.choose_weighted(rng, weight).expect("classes");
                (class, -(1.0 - rng.random::<f64>()).ln() * mean_s)
            });
            let callers = Arc::clone(&self);
            tasks.spawn(async move { callers.request(class, None).await });
            sleep(Duration::from_secs_f64(gap_s)).await;
        }
        tasks.close();
        tasks.wait().await;
    }

    /// Sends the lethal requests of a wave, which begins now, until `stop` is cancelled.
    pub async fn run_lethal(self: Arc<Self>, wave: Wave, stop: CancellationToken) {
        let class = self.site.classes()[0];
        let sending = async {
            loop {
                let callers = Arc::clone(&self);
                tokio::spawn(async move { callers.attempt(class, Some(wave.lethal), 1).await });
                sleep(Duration::from_secs_f64(1.0 / wave.per_s)).await;
            }
        };
        let sending = timeout(Duration::from_millis(wave.for_ms), sending);
        let _ = stop.run_until_cancelled(sending).await;
    }

    /// Sends a request, and once more if it is refused or its connection fails.
    async fn request(&self, class: Class, lethal: Option<Lethal>) {
        let (end, retry_after) = self.attempt(class, lethal, 0).await;
        let limit = Duration::from_millis(class.limit_ms).mul_f64(RETRY_AFTER_SHARE);
        let may_retry = match end {
            End::Refused => true,
            End::Failed | End::Unanswered => class.kind == "idempotent",
            End::Served | End::Garbled | End::Cut | End::Denied => false,
        };
        if may_retry && retry_after <= limit {
            sleep(retry_after).await;
            self.attempt(class, lethal, 1).await;
        }
    }

    /// Makes one client attempt. Returns its end, and when to come back.
    async fn attempt(&self, class: Class, lethal: Option<Lethal>, tries: u32) -> (End, Duration) {
        let number = {
            let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
            *count += 1;
            *count
        };
        let id = format!("r{number}");
        let sent = Sent {
            at_ms: self.record.now(),
            service: class.service,
            max_attempts: class.attempts,
            deadline_ms: class.limit_ms,
            route: class.route,
            instance: None,
            is_first: tries == 0,
            lethal_part: match lethal {
                Some(Lethal::Part(number)) => Some(number),
                Some(Lethal::Request) | None => None,
            },
            end: None,
        };
        self.record.with(|o| o.sent.insert(id.clone(), sent));
        let limit = Duration::from_millis(class.limit_ms);
        let text = request_text(&class, lethal, &id, self.key(number, lethal));
        let exchanged = timeout(limit, self.exchange(&class, &id, &text, tries > 0)).await;
        let (end, retry_after) = exchanged.unwrap_or((End::Unanswered, Duration::ZERO));
        self.record.with(|o| {
            if let Some(sent) = o.sent.get_mut(&id) {
                sent.end = Some(end);
            }
        });
        (end, retry_after)
    }

    /// Returns the API key of a request. Lethal ones share the usual key with most of the sound ones.
    fn key(&self, number: u64, lethal: Option<Lethal>) -> &'static str {
        let number = usize::try_from(number).unwrap_or(0);
        match lethal.is_none() && number.is_multiple_of(OTHER_KEY_INTERVAL) {
            true => self.keys[number / OTHER_KEY_INTERVAL % self.keys.len()],
            false => KEY,
        }
    }

    async fn exchange(
        &self,
        class: &Class,
        id: &str,
        text: &str,
        is_retry: bool,
    ) -> (End, Duration) {
        let Some((instance, address, mut connection)) = self.connect(is_retry).await else {
            return (End::Unanswered, Duration::ZERO);
        };
        self.record.with(|o| {
            if let Some(sent) = o.sent.get_mut(id) {
                sent.instance = Some(instance);
            }
        });
        if connection.write_all(text.as_bytes()).await.is_err() {
            return (End::Unanswered, Duration::ZERO);
        }
        let Ok(head) = read_head(&mut connection).await else {
            return (End::Unanswered, Duration::ZERO);
        };
        let seconds = head.header("retry-after").and_then(|v| v.parse().ok());
        let retry_after = Duration::from_secs_f64(seconds.unwrap_or(0.0));
        let status = head.status();
        let end = match read_answer(&mut connection, &head).await {
            None if status == 200 => End::Cut,
            None => End::Failed,
            Some(body) => {
                self.keep(address, connection, &head);
                match status {
                    200 if body == expected_answer(class, id) => End::Served,
                    200 => End::Garbled,
                    401 => End::Denied,
                    408 | 421 | 429 | 503 => End::Refused,
                    _ => End::Failed,
                }
            }
        };
        (end, retry_after)
    }

    /// Returns a kept connection, or a new one to an instance that accepts it, with its index and address.
    async fn connect(&self, is_retry: bool) -> Option<(usize, SocketAddr, Connection)> {
        let addresses: Vec<(usize, SocketAddr)> = {
            let addresses = self.addresses.lock();
            let addresses = addresses.unwrap_or_else(PoisonError::into_inner);
            addresses.iter().map(|(i, a)| (*i, *a)).collect()
        };
        for _ in 0..3 {
            let (chosen, is_new) = self.random(|rng| {
                let chosen = addresses.choose(rng).copied();
                (chosen, rng.random_bool(NEW_CONNECTIONS))
            });
            let (instance, address) = chosen?;
            if !is_new && !is_retry {
                let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(connection) = kept.get_mut(&address).and_then(Vec::pop) {
                    return Some((instance, address, connection));
                }
            }
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(stream)) = connected {
                let _ = stream.set_nodelay(true);
                return Some((instance, address, BufReader::new(stream)));
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection, head: &Head) {
        if head.header("connection") == Some("close") {
            return;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = kept.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
        }
    }
}

/// Returns a request as a caller sends it.
fn request_text(class: &Class, lethal: Option<Lethal>, id: &str, key: &str) -> String {
    let (body, path) = match lethal {
        Some(Lethal::Request) => (LETHAL_BODY, "lethal"),
        Some(Lethal::Part(_)) | None => (id, id),
    };
    let tokens = match class.events {
        0 => String::new(),
        events => format!(
            "X-Jacinthweir-Model: m\r\nX-Jacinthweir-Token-Counts: {},{}\r\n\
             X-Jacinthweir-Prompt-Prefix: {}\r\n",
            class.prompt,
            u64::from(events) * TOKENS_PER_EVENT,
            prompt_parts(class, lethal, id),
        ),
    };
    format!(
        "POST /{}/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Jacinthweir-Request-Id: {id}\r\n\
         X-Jacinthweir-Key: {key}\r\nX-Jacinthweir-Deadline-Ms: {}\r\n{tokens}\
         Content-Length: {}\r\n\r\n{body}",
        class.route,
        class.limit_ms,
        body.len()
    )
}

/// Returns the parts of a prompt: those that requests share, the lethal one if any, and the request's own.
fn prompt_parts(class: &Class, lethal: Option<Lethal>, id: &str) -> String {
    let number: usize = id.trim_start_matches('r').parse().unwrap_or(0);
    let second = SECOND_PARTS[number % SECOND_PARTS.len()];
    let mut shared = vec![FIRST_PART.to_owned(), second.to_owned()];
    if let Some(Lethal::Part(number)) = lethal {
        shared.push(lethal_part(number));
    }
    let own_tokens = class.prompt - PART_TOKENS * u32::try_from(shared.len()).unwrap_or(0);
    let shared: Vec<String> = shared
        .iter()
        .map(|part| format!("{part}:{PART_TOKENS}"))
        .collect();
    format!("{},{}:{own_tokens}", shared.join(","), hex::encode(id))
}

/// Returns the whole body that a runner gives.
fn expected_answer(class: &Class, id: &str) -> Vec<u8> {
    let text = match class.events {
        0 => plain_answer(id),
        events => (1..=u64::from(events)).map(|n| event(id, n)).collect(),
    };
    text.into_bytes()
}

/// Reads a body as its head frames it; returns `None` if it is not complete, or the caller left.
async fn read_answer(connection: &mut Connection, head: &Head) -> Option<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let read = timeout(MAX_SILENCE, read_chunk(connection)).await;
            let chunk = read.ok()?.ok()?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    if head.header("content-length").is_some() {
        return read_body(connection, head).await.ok();
    }
    let mut body = Vec::new();
    connection.read_to_end(&mut body).await.ok()?;
    Some(body)
}
