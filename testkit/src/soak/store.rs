//! Stand-in of the platform's store in its objects form, with watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::message::{read_body, read_head, response};
use super::observed::{Read, Record};
use crate::Result;

/// Changes that a watch can go back by.
const HISTORY: usize = 5_000;

/// First revision.
const FIRST_REVISION: u64 = 100;

/// Size of a page, in bytes, where pages are limited; one object always fits.
const PAGE_BYTES: usize = 1_000_000;

/// An object, and its size as a text.
struct Object {
    value: Value,
    bytes: usize,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision before which a watch can't begin.
    forgotten: u64,
    by_kind: BTreeMap<String, BTreeMap<String, Object>>,
    /// Changes in order, each with its revision and kind.
    changes: Vec<(u64, String, Value)>,
}

/// The store.
pub struct Store {
    objects: Mutex<Objects>,
    /// Maximum number of objects on a page; none if lists come whole.
    page_items: Option<usize>,
    record: Arc<Record>,
    /// Changes whenever the watches that wait are cut.
    watches: watch::Sender<()>,
    revision: watch::Sender<u64>,
    /// Whether it answers no call.
    pub is_silent: watch::Sender<bool>,
    /// Whether nothing listens at its address.
    is_away: watch::Sender<bool>,
}

/// Status and body of an answer.
type Answer = (&'static str, Value);

const OK: &str = "200 OK";
const NOT_FOUND: &str = "404 Not Found";
const CONFLICT: &str = "409 Conflict";
const GONE: &str = "410 Gone";

impl Store {
    /// Binds the store on an address for each instance, so that it knows who calls.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub async fn bind(
        addresses: Vec<SocketAddr>,
        page_items: Option<usize>,
        record: Arc<Record>,
    ) -> Result<Arc<Store>> {
        let objects = Objects {
            revision: FIRST_REVISION,
            ..Objects::default()
        };
        let store = Arc::new(Store {
            objects: Mutex::new(objects),
            page_items,
            record,
            watches: watch::Sender::default(),
            revision: watch::Sender::new(FIRST_REVISION),
            is_silent: watch::Sender::new(false),
            is_away: watch::Sender::new(false),
        });
        for (instance, address) in addresses.into_iter().enumerate() {
            let listener = TcpListener::bind(address).await?;
            tokio::spawn(Arc::clone(&store).accept(listener, address, instance));
        }
        Ok(store)
    }

    /// Serves connections while the store isn't away.
    async fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr, instance: usize) {
        let mut listener = Some(listener);
        let mut away = self.is_away.subscribe();
        loop {
            if let Some(listener) = listener.take() {
                let accepting = async {
                    while let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(Arc::clone(&self).serve_until_away(stream, instance));
                    }
                };
                tokio::select! {
                    () = accepting => {}
                    _ = away.wait_for(|away| *away) => {}
                }
            }
            let _ = away.wait_for(|away| !away).await;
            listener = TcpListener::bind(address).await.ok();
        }
    }

    async fn serve_until_away(self: Arc<Self>, stream: TcpStream, instance: usize) {
        let mut away = self.is_away.subscribe();
        tokio::select! {
            () = Arc::clone(&self).serve(stream, instance) => {}
            _ = away.wait_for(|away| *away) => {}
        }
    }

    fn objects(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates or replaces an object and returns it.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let mut objects = self.objects();
        objects.revision += 1;
        let meta = json!({ "name": name, "revision": objects.revision, "finalizers": [], "deleting": false });
        let object = json!({ "metadata": meta, "spec": spec, "status": null });
        let stored = Object {
            value: object.clone(),
            bytes: object.to_string().len(),
        };
        let of_kind = objects.by_kind.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), stored);
        self.publish(&mut objects, kind, &object, false);
        object
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects();
        let of_kind = objects.by_kind.get_mut(kind);
        if let Some(object) = of_kind.and_then(|of_kind| of_kind.remove(name)) {
            objects.revision += 1;
            self.publish(&mut objects, kind, &object.value, true);
        }
    }

    fn publish(&self, objects: &mut Objects, kind: &str, object: &Value, deleted: bool) {
        let event = json!({ "object": object, "deleted": deleted });
        let revision = objects.revision;
        objects.changes.push((revision, kind.to_owned(), event));
        let excess = objects.changes.len().saturating_sub(HISTORY);
        let forgotten = objects.changes.drain(..excess).next_back();
        objects.forgotten = forgotten.map_or(objects.forgotten, |(revision, _, _)| revision);
        self.revision.send_replace(revision);
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, instance: usize) {
        let mut connection = BufReader::new(stream);
        while let Ok(head) = read_head(&mut connection).await {
            let Ok(body) = read_body(&mut connection, &head).await else {
                return;
            };
            let mut silent = self.is_silent.subscribe();
            let _ = silent.wait_for(|silent| !silent).await;
            let (method, target) = (head.word(0), head.word(1));
            if method == "GET" && field(target, "allowStale").is_none() {
                let at_ms = self.record.now();
                self.record.with(|o| o.reads.push(Read { at_ms, instance }));
            }
            let mut cut = self.watches.subscribe();
            let is_watch = field(target, "watch").is_some();
            let (status, answer) = tokio::select! {
                answer = self.handle(method, target, &body) => answer,
                _ = cut.changed(), if is_watch => return,
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            let text = response(status, headers, &answer.to_string());
            if connection.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn handle(&self, method: &str, target: &str, body: &[u8]) -> Answer {
        let path = target.split('?').next().unwrap_or("");
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = &decoded(parts.next().unwrap_or(""));
        let name = parts.next().map(decoded);
        match (method, name.as_deref()) {
            ("GET", None) => match number(target, "watch") {
                Some(revision) => self.watch(kind, revision, number(target, "waitMs")).await,
                None => self.list(kind, field(target, "after").as_deref()),
            },
            ("GET", Some(name)) => self.get(kind, name),
            (_, name) => {
                let sent = serde_json::from_slice(body).unwrap_or_default();
                self.write(method, kind, name, number(target, "revision"), &sent)
            }
        }
    }

    /// Returns the page of a list that follows the name `after`.
    fn list(&self, kind: &str, after: Option<&str>) -> Answer {
        let objects = self.objects();
        let of_kind = objects.by_kind.get(kind).into_iter().flatten();
        let behind = of_kind.filter(|(name, _)| after.is_none_or(|after| name.as_str() > after));
        let mut left = behind.map(|(_, object)| object).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        let most = self.page_items.unwrap_or(usize::MAX);
        while let Some(object) = left.next_if(|object| {
            let fits = self.page_items.is_none() || bytes + object.bytes <= PAGE_BYTES;
            items.is_empty() || (items.len() < most && fits)
        }) {
            bytes += object.bytes;
            items.push(&object.value);
        }
        let truncated = left.peek().is_some();
        (
            OK,
            json!({ "items": items, "truncated": truncated, "asOf": objects.revision }),
        )
    }

    fn get(&self, kind: &str, name: &str) -> Answer {
        let objects = self.objects();
        let found = objects.by_kind.get(kind).and_then(|k| k.get(name));
        found.map_or((NOT_FOUND, Value::Null), |object| {
            (OK, object.value.clone())
        })
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        revision: Option<u64>,
        sent: &Value,
    ) -> Answer {
        let meta = &sent["metadata"];
        let name = name.or(meta["name"].as_str()).unwrap_or("");
        let (status, object) = self.get(kind, name);
        if method == "POST" {
            return match status {
                OK => (CONFLICT, object),
                _ => ("201 Created", self.put(kind, name, &sent["spec"])),
            };
        }
        if status != OK {
            return (NOT_FOUND, Value::Null);
        }
        let expected = meta["revision"].as_u64().or(revision);
        if expected.is_some_and(|e| Some(e) != object["metadata"]["revision"].as_u64()) {
            return (CONFLICT, object);
        }
        if method == "DELETE" {
            self.remove(kind, name);
            return (OK, object);
        }
        (OK, self.put(kind, name, &sent["spec"]))
    }

    async fn watch(&self, kind: &str, revision: u64, wait_ms: Option<u64>) -> Answer {
        let is_unknown = revision > *self.revision.borrow();
        if is_unknown || revision < self.objects().forgotten {
            return (GONE, Value::Null);
        }
        let mut changes = self.revision.subscribe();
        let changed = async {
            while self.events(kind, revision).0.is_empty() && changes.changed().await.is_ok() {}
        };
        let _ = timeout(Duration::from_millis(wait_ms.unwrap_or(0)), changed).await;
        let (events, as_of) = self.events(kind, revision);
        (OK, json!({ "events": events, "asOf": as_of }))
    }

    /// Returns the changes of a kind after a revision, and the revision that they lead to.
    fn events(&self, kind: &str, revision: u64) -> (Vec<Value>, u64) {
        let objects = self.objects();
        let newer = objects
            .changes
            .iter()
            .filter(|c| c.0 > revision && c.1 == kind);
        let events = newer.map(|(_, _, event)| event.clone()).collect();
        (events, objects.revision)
    }

    /// Forgets all history, so that no watch can begin at a revision that was given out.
    pub fn forget(&self) {
        let mut objects = self.objects();
        objects.revision += 1;
        objects.forgotten = objects.revision;
        objects.changes.clear();
        self.revision.send_replace(objects.revision);
        drop(objects);
        self.cut_watches();
    }

    /// Closes the connections of all watches that wait.
    pub fn cut_watches(&self) {
        self.watches.send_replace(());
    }

    /// Answers no call for a while.
    pub async fn fall_silent(&self, time: Duration) {
        self.is_silent.send_replace(true);
        sleep(time).await;
        self.is_silent.send_replace(false);
    }

    /// Closes all connections, and accepts none for a while.
    pub async fn go_away(&self, time: Duration) {
        self.is_away.send_replace(true);
        sleep(time).await;
        self.is_away.send_replace(false);
    }
}

/// Returns a part of an address without its escapes.
fn decoded(part: &str) -> String {
    percent_decode_str(part).decode_utf8_lossy().into_owned()
}

/// Returns a field of the query of a target, which is decoded as a form.
fn field(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(decoded(&value.replace('+', " ")))
}

/// Returns a numeric field of the query of a target.
fn number(target: &str, name: &str) -> Option<u64> {
    field(target, name)?.parse().ok()
}
