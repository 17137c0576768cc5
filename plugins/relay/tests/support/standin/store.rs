//! Stand-in for the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How the store answers watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watches {
    /// With the changes, as soon as there is one.
    #[default]
    Changes,
    /// At once, that the history is gone.
    HistoryGone,
    /// At once, without a change, as of the revision that was asked for.
    Nothing,
    /// At once, with all objects as changes, as of the revision that was asked for.
    SameChanges,
    /// At once, as of an earlier revision.
    Backwards,
    /// At once, with all objects as changes, as of a later revision.
    ChangesForEver,
}

/// Store of objects by kind and name, with a common revision.
#[derive(Default)]
pub struct Store {
    objects: RefCell<BTreeMap<(String, String), Value>>,
    /// Removed objects, as tuples of kind, revision of the removal, and object.
    removed: RefCell<Vec<(String, u64, Value)>>,
    revision: Cell<u64>,
    /// Incremented by each restore.
    era: Cell<u64>,
    /// Lists read so far, by kind.
    lists: RefCell<BTreeMap<String, usize>>,
    /// Calls received so far.
    calls: Cell<usize>,
    /// Reads of single objects so far, by kind.
    reads: RefCell<BTreeMap<String, usize>>,
    /// While set, the store refuses to remove objects.
    pub refuses_removals: Cell<bool>,
    /// Maximum number of objects in a page of a list.
    pub page: Cell<Option<usize>>,
    /// How the store answers watches.
    pub watches: Cell<Watches>,
    /// While set, the store refuses each call at once, and the watches that wait.
    pub refuses: Cell<bool>,
    /// While set, the store does not respond.
    pub unresponsive: Cell<bool>,
    /// While set, the store does not respond to lists of the kind.
    pub withheld_list: Cell<Option<&'static str>>,
}

/// Snapshot from which the store can be restored.
pub struct Snapshot {
    objects: BTreeMap<(String, String), Value>,
    revision: u64,
}

impl Snapshot {
    /// Revision of its last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

impl Store {
    /// Starts an empty store and returns it with its address.
    pub async fn spawn() -> (Rc<Store>, SocketAddr) {
        let store = Rc::new(Store::default());
        let shared = Rc::clone(&store);
        let address = serve(move |req| {
            let store = Rc::clone(&shared);
            async move {
                let mut res = store.handle(req).await;
                res.headers_mut()
                    .insert("store-era", store.era.get().into());
                res
            }
        })
        .await;
        (store, address)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.revision.set(self.revision.get() + 1);
        let meta = json!({ "name": name, "revision": self.revision.get() });
        let object = json!({ "metadata": meta, "spec": spec, "status": null });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.borrow_mut().insert(key, object);
    }

    /// Creates or replaces an object of another writer, whose JSON need not be that of an object. No watch
    /// shows it.
    pub fn put_unseen(&self, kind: &str, name: &str, object: Value) {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.borrow_mut().insert(key, object);
    }

    /// Removes an object without a change that a watch shows.
    pub fn remove_unseen(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.borrow_mut().remove(&key);
    }

    /// Returns how often single objects of a kind were read.
    pub fn reads(&self, kind: &str) -> usize {
        self.reads.borrow().get(kind).copied().unwrap_or(0)
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> usize {
        self.calls.get()
    }

    /// Returns a snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            objects: self.objects.borrow().clone(),
            revision: self.revision.get(),
        }
    }

    /// Restores a snapshot: later writes are lost, and their revision numbers are reused.
    pub fn restore(&self, snapshot: &Snapshot) {
        self.objects.borrow_mut().clone_from(&snapshot.objects);
        self.removed.borrow_mut().clear();
        self.revision.set(snapshot.revision);
        self.era.set(self.era.get() + 1);
    }

    /// Revision of its last change.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Advances to a revision by changes of an object that no instance reads.
    pub fn advance_revision(&self, revision: u64) {
        while self.revision.get() < revision {
            self.put("others", "any", &Value::Null);
        }
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.revision.set(self.revision.get() + 1);
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.borrow_mut().remove(&key).expect("it is there");
        let removed = (kind.to_owned(), self.revision.get(), object);
        self.removed.borrow_mut().push(removed);
    }

    /// Returns how often the objects of a kind were listed.
    pub fn lists(&self, kind: &str) -> usize {
        self.lists.borrow().get(kind).copied().unwrap_or(0)
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.objects.borrow();
        let of_kind = objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Makes the contents of an object undecodable without changing its revision.
    pub fn corrupt(&self, kind: &str, name: &str) {
        let mut objects = self.objects.borrow_mut();
        let object = objects.get_mut(&(kind.to_owned(), name.to_owned()));
        object.expect("it is there")["spec"] = Value::Null;
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        self.calls.set(self.calls.get() + 1);
        while self.unresponsive.get() {
            sleep(Duration::from_millis(20)).await;
        }
        if self.refuses.get() {
            return response(StatusCode::TOO_MANY_REQUESTS, &Value::Null);
        }
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        let body = req.into_body().collect().await.expect("a body").to_bytes();
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let spec = || serde_json::from_slice::<Value>(&body).expect("JSON");
        match (method, name) {
            (Method::GET, None) => self.list(&kind, &query).await,
            (Method::GET, Some(name)) => {
                *self.reads.borrow_mut().entry(kind.clone()).or_default() += 1;
                self.get(&kind, &name)
            }
            (Method::POST, _) => {
                let object = spec();
                let name = object["metadata"]["name"]
                    .as_str()
                    .expect("a name")
                    .to_owned();
                if self.has(&kind, &name) {
                    return response(StatusCode::CONFLICT, &Value::Null);
                }
                self.put(&kind, &name, &object["spec"]);
                self.get(&kind, &name)
            }
            (Method::DELETE, _) if self.refuses_removals.get() => {
                response(StatusCode::FORBIDDEN, &Value::Null)
            }
            (Method::DELETE, Some(name)) => {
                if self.has(&kind, &name) {
                    self.remove(&kind, &name);
                }
                response(StatusCode::OK, &Value::Null)
            }
            (_, Some(name)) => {
                let object = spec();
                let current = self.revision_of(&kind, &name);
                let expected = object["metadata"]["revision"].as_u64();
                if expected.is_some_and(|e| Some(e) != current) {
                    return response(StatusCode::CONFLICT, &Value::Null);
                }
                self.put(&kind, &name, &object["spec"]);
                self.get(&kind, &name)
            }
            _ => response(StatusCode::BAD_REQUEST, &Value::Null),
        }
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        self.revision_of(kind, name).is_some()
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let objects = self.objects.borrow();
        let object = objects.get(&(kind.to_owned(), name.to_owned()))?;
        object["metadata"]["revision"].as_u64()
    }

    fn get(&self, kind: &str, name: &str) -> Response<Full<Bytes>> {
        let objects = self.objects.borrow();
        match objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => response(StatusCode::OK, object),
            None => response(StatusCode::NOT_FOUND, &Value::Null),
        }
    }

    fn changed_since(&self, kind: &str, revision: u64) -> Vec<Value> {
        let objects = self.objects.borrow();
        let of_kind = objects.iter().filter(|((k, _), _)| k == kind);
        let newer = |o: &&Value| o["metadata"]["revision"].as_u64() > Some(revision);
        of_kind.map(|(_, o)| o).filter(newer).cloned().collect()
    }

    /// Returns the page of a list that follows the name in the query, which is read as a form.
    fn page_after(&self, kind: &str, query: &str) -> Value {
        let fields = query.split('&').filter_map(|p| p.split_once('='));
        let mut after = fields.filter(|(name, _)| *name == "after");
        let after = after
            .next()
            .map_or_else(String::new, |(_, v)| form_decoded(v));
        let objects = self.objects.borrow();
        let behind = objects.iter().filter(|((k, n), _)| k == kind && *n > after);
        let mut items: Vec<&Value> = behind.map(|(_, o)| o).collect();
        let truncated = self.page.get().is_some_and(|page| items.len() > page);
        items.truncate(self.page.get().unwrap_or(usize::MAX));
        json!({ "items": items, "truncated": truncated, "asOf": self.revision.get() })
    }

    async fn list(&self, kind: &str, query: &str) -> Response<Full<Bytes>> {
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .filter(|(k, _)| *k == name)
                .find_map(|(_, v)| v.parse::<u64>().ok())
        };
        let Some(revision) = field("watch") else {
            *self.lists.borrow_mut().entry(kind.to_owned()).or_default() += 1;
            while self.withheld_list.get() == Some(kind) {
                sleep(Duration::from_millis(20)).await;
            }
            return response(StatusCode::OK, &self.page_after(kind, query));
        };
        let at_once = |events: Vec<Value>, as_of: u64| {
            let events: Vec<Value> = events.into_iter().map(|o| json!({ "object": o })).collect();
            response(StatusCode::OK, &json!({ "events": events, "asOf": as_of }))
        };
        match self.watches.get() {
            Watches::Changes => {}
            Watches::HistoryGone => return response(StatusCode::GONE, &Value::Null),
            Watches::Nothing => return at_once(Vec::new(), revision),
            Watches::SameChanges => return at_once(self.changed_since(kind, 0), revision),
            Watches::Backwards => return at_once(Vec::new(), revision.saturating_sub(1)),
            Watches::ChangesForEver => return at_once(self.changed_since(kind, 0), revision + 1),
        }
        if revision > self.revision.get() {
            return response(StatusCode::GONE, &Value::Null);
        }
        let events = || {
            let changed = self.changed_since(kind, revision);
            let changed = changed.into_iter().map(|o| json!({ "object": o }));
            let removed = self.removed.borrow();
            let removed = removed
                .iter()
                .filter(|(k, r, _)| k == kind && *r > revision);
            let removed = removed.map(|(_, _, o)| json!({ "object": o, "deleted": true }));
            changed.chain(removed).collect::<Vec<Value>>()
        };
        for _ in 0..field("waitMs").unwrap_or(0) / 20 {
            if !events().is_empty() {
                break;
            }
            if self.refuses.get() {
                return response(StatusCode::TOO_MANY_REQUESTS, &Value::Null);
            }
            sleep(Duration::from_millis(20)).await;
        }
        let events = events();
        response(
            StatusCode::OK,
            &json!({ "events": events, "asOf": self.revision.get() }),
        )
    }
}

/// Decodes a value of a form, in which a plus sign stands for a space.
fn form_decoded(value: &str) -> String {
    let value = value.replace('+', " ");
    let mut bytes = value.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = std::str::from_utf8(&digits).expect("digits");
        decoded.push(u8::from_str_radix(digits, 16).expect("an escape"));
    }
    String::from_utf8(decoded).expect("text")
}

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body.to_string())));
    *res.status_mut() = status;
    res
}

/// Serves HTTP on a loopback address, which is returned.
pub(super) async fn serve<F, A>(service: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            spawn_local(async move {
                let handler = service_fn(|req| {
                    let response = service(req);
                    async move { Ok::<_, std::convert::Infallible>(response.await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), handler)
                    .await;
            });
        }
    });
    address
}
