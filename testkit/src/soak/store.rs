//! Stand-in of the platform's store in its objects form, with watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::message::{read_body, read_head, response};
use crate::Result;

/// Changes that a watch can go back by.
const HISTORY: usize = 5_000;

/// First revision.
const FIRST_REVISION: u64 = 100;

#[derive(Default)]
struct Objects {
    revision: u64,
    by_kind: BTreeMap<String, BTreeMap<String, Value>>,
    /// Changes in order, each with its revision and kind.
    changes: Vec<(u64, String, Value)>,
}

/// The store.
pub struct Store {
    objects: Mutex<Objects>,
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
    /// Binds the store on `address`.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Arc<Store>> {
        let listener = TcpListener::bind(address).await?;
        let objects = Objects {
            revision: FIRST_REVISION,
            ..Objects::default()
        };
        let store = Arc::new(Store {
            objects: Mutex::new(objects),
            revision: watch::Sender::new(FIRST_REVISION),
            is_silent: watch::Sender::new(false),
            is_away: watch::Sender::new(false),
        });
        tokio::spawn(Arc::clone(&store).accept(listener, address));
        Ok(store)
    }

    /// Serves connections while the store isn't away.
    async fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        let mut away = self.is_away.subscribe();
        loop {
            if let Some(listener) = listener.take() {
                let accepting = async {
                    while let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(Arc::clone(&self).serve_until_away(stream));
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

    async fn serve_until_away(self: Arc<Self>, stream: TcpStream) {
        let mut away = self.is_away.subscribe();
        tokio::select! {
            () = Arc::clone(&self).serve(stream) => {}
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
        let of_kind = objects.by_kind.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), object.clone());
        self.publish(&mut objects, kind, &object, false);
        object
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects();
        let of_kind = objects.by_kind.get_mut(kind);
        if let Some(object) = of_kind.and_then(|of_kind| of_kind.remove(name)) {
            objects.revision += 1;
            self.publish(&mut objects, kind, &object, true);
        }
    }

    fn publish(&self, objects: &mut Objects, kind: &str, object: &Value, deleted: bool) {
        let event = json!({ "object": object, "deleted": deleted });
        let revision = objects.revision;
        objects.changes.push((revision, kind.to_owned(), event));
        let excess = objects.changes.len().saturating_sub(HISTORY);
        objects.changes.drain(..excess);
        self.revision.send_replace(revision);
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut connection = BufReader::new(stream);
        while let Ok(head) = read_head(&mut connection).await {
            let Ok(body) = read_body(&mut connection, &head).await else {
                return;
            };
            let mut silent = self.is_silent.subscribe();
            let _ = silent.wait_for(|silent| !silent).await;
            let (status, answer) = self.handle(head.word(0), head.word(1), &body).await;
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            let text = response(status, headers, &answer.to_string());
            if connection.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn handle(&self, method: &str, target: &str, body: &[u8]) -> Answer {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("");
        match (method, parts.next()) {
            ("GET", None) => match field(query, "watch") {
                Some(revision) => self.watch(kind, revision, field(query, "waitMs")).await,
                None => self.list(kind),
            },
            ("GET", Some(name)) => self.get(kind, name),
            (_, name) => {
                let sent = serde_json::from_slice(body).unwrap_or_default();
                self.write(method, kind, name, query, &sent)
            }
        }
    }

    fn list(&self, kind: &str) -> Answer {
        let objects = self.objects();
        let of_kind = objects.by_kind.get(kind);
        let items: Vec<&Value> = of_kind.into_iter().flat_map(BTreeMap::values).collect();
        (
            OK,
            json!({ "items": items, "truncated": false, "asOf": objects.revision }),
        )
    }

    fn get(&self, kind: &str, name: &str) -> Answer {
        let objects = self.objects();
        let found = objects.by_kind.get(kind).and_then(|k| k.get(name));
        found.map_or((NOT_FOUND, Value::Null), |object| (OK, object.clone()))
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        query: &str,
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
        let expected = meta["revision"].as_u64().or(field(query, "revision"));
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
        let oldest = self.objects().changes.first().map_or(0, |c| c.0);
        let is_unknown = revision > *self.revision.borrow();
        if is_unknown || (revision + 1 < oldest && oldest > FIRST_REVISION + 1) {
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

/// Returns a numeric field of a query.
fn field(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
