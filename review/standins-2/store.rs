//! Stand-in for the platform's metadata store: objects by kind and name, revisions, watches.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    /// Rises by one each time the store comes back from an older copy.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
    is_away: bool,
}

/// A copy of the store's contents.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// Stands in a spec for a byte that is not part of any UTF-8 text.
pub const UNREADABLE: char = '\u{f8ff}';

/// Returns `text` with each [`UNREADABLE`] as the byte 0xff.
fn with_unreadable_bytes(text: &str) -> Vec<u8> {
    let parts: Vec<&[u8]> = text.split(UNREADABLE).map(str::as_bytes).collect();
    parts.join(&0xff)
}

/// A store that loses nothing and answers at once.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn encode(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(same) = self.objects.get(&key).filter(|o| o.spec == spec) {
            return same.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        let spec = spec.to_owned();
        self.history.push(Event {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.clone(),
            deleted: false,
        });
        self.objects.insert(key, Object { revision, spec });
        revision
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let Some(object) = removed else {
            return false;
        };
        self.revision += 1;
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: object.spec,
            deleted: true,
        });
        true
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let events = self.history.iter();
        let events = events.filter(|e| e.kind == kind && e.revision > after);
        let encoded = events.map(|e| {
            let object = encode(&e.name, e.revision, &e.spec);
            format!(r#"{{"object":{object},"deleted":{}}}"#, e.deleted)
        });
        encoded.collect()
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = objects
            .map(|((_, name), o)| encode(name, o.revision, &o.spec))
            .collect();
        let (items, as_of) = (items.join(","), self.revision);
        format!(r#"{{"items":[{items}],"truncated":false,"asOf":{as_of}}}"#)
    }
}

impl Store {
    /// Starts a store.
    pub fn spawn() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        let _server = http::serve(listener, Arc::new(move |req, to| served.answer(&req, to)));
        store
    }

    /// Takes a copy of the contents.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Ends all calls and refuses further ones.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        *state = State {
            era: state.era + 1,
            revision: copy.revision,
            objects: copy.objects,
            ..State::default()
        };
    }

    /// Writes an object as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object as the operator or a runner does.
    pub fn delete(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().delete(kind, name);
        self.changed.notify_all();
    }

    fn answer(&self, req: &Request, to: &mut TcpStream) -> io::Result<()> {
        let (path, _) = req.split_path();
        let rest = path.strip_prefix("/api/objects/").unwrap_or("");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let (status, body) = self.handle(req, kind, name);
        let (era, is_away) = {
            let state = self.state.lock().unwrap();
            (state.era, state.is_away)
        };
        if is_away {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let headers = [
            ("Content-Type", "application/json".to_owned()),
            ("Store-Era", era.to_string()),
        ];
        http::respond(to, status, &headers, &with_unreadable_bytes(&body))
    }

    fn handle(&self, req: &Request, kind: &str, name: &str) -> (u16, String) {
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let meta = json::field(&body, "metadata").unwrap_or("{}");
        let spec = json::field(&body, "spec").unwrap_or("null");
        let mut state = self.state.lock().unwrap();
        let key = |name: &str| (kind.to_owned(), name.to_owned());
        let found = |state: &State, name: &str| {
            let object = state.objects.get(&key(name));
            object.map(|o| (o.revision, encode(name, o.revision, &o.spec)))
        };
        match req.method.as_str() {
            "GET" if !name.is_empty() => match found(&state, name) {
                Some((_, object)) => (200, object),
                None => (404, "{}".to_owned()),
            },
            "GET" if req.query("watch").is_some() => {
                drop(state);
                self.watch(req, kind)
            }
            "GET" => (200, state.list(kind)),
            "POST" => {
                let name = json::text(meta, "name").unwrap_or("").to_owned();
                if let Some((_, object)) = found(&state, &name) {
                    return (409, object);
                }
                let revision = state.put(kind, &name, spec);
                self.changed.notify_all();
                (201, encode(&name, revision, spec))
            }
            "PUT" => {
                let wanted = json::number(meta, "revision");
                match found(&state, name) {
                    None => (404, "{}".to_owned()),
                    Some((r, object)) if wanted.is_some_and(|w| w != r) => (409, object),
                    Some(_) => {
                        let revision = state.put(kind, name, spec);
                        self.changed.notify_all();
                        (200, encode(name, revision, spec))
                    }
                }
            }
            "DELETE" => {
                let status = if state.delete(kind, name) { 200 } else { 404 };
                self.changed.notify_all();
                (status, "{}".to_owned())
            }
            _ => (405, "{}".to_owned()),
        }
    }

    fn watch(&self, req: &Request, kind: &str) -> (u16, String) {
        let number = |name| req.query(name).and_then(|v| v.parse::<u64>().ok());
        let after = number("watch").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        if after > state.revision {
            return (410, "{}".to_owned());
        }
        loop {
            let events = state.events(kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.is_away {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"asOf":{as_of}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
