//! HTTP handlers of the stand-in platform.

use std::sync::Arc;
use std::time::Duration;

use jacinthweir_wire::platform::{ObjectList, PutObject, WatchAnswer};
use salvo::http::{Method, StatusCode};
use salvo::prelude::*;

use super::State;
use super::admin::InstancesChange;
use super::fault::{Fault, WriteEffect};
use super::rate::{Buckets, Rates};
use super::store::{Store, WriteOutcome};
use crate::http::{body, json, state};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum wait of a watch, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

pub(super) fn router() -> Router {
    let object = Router::with_path("objects/{**key}")
        .get(get_object)
        .put(put_object)
        .delete(delete_object);
    let service = Router::new()
        .hoop(apply_faults)
        .push(Router::with_path("objects").get(list_objects))
        .push(object)
        .push(Router::with_path("watch").get(watch_objects))
        .push(Router::with_path("instances").get(list_instances));
    let admin = Router::with_path("admin")
        .push(Router::with_path("instances").post(admin_instances))
        .push(Router::with_path("fault").post(admin_fault))
        .push(Router::with_path("snapshot").post(admin_snapshot))
        .push(Router::with_path("restore").post(admin_restore))
        .push(Router::with_path("rates").post(admin_rates))
        .push(Router::with_path("counts").get(admin_counts))
        .push(Router::with_path("objects").get(admin_objects));
    Router::new().push(admin).push(service)
}

/// Middleware that counts a call and applies rate limits and the fault in force.
#[handler]
async fn apply_faults(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let state = state::<State>(depot);
    let (fault, admitted) = admit(&state, req);
    if !admitted {
        res.status_code(StatusCode::TOO_MANY_REQUESTS);
        ctrl.skip_rest();
        return;
    }
    if state.cfg.latency_us > 0 {
        tokio::time::sleep(Duration::from_micros(state.cfg.latency_us)).await;
    }
    match fault {
        Fault::Outage => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            ctrl.skip_rest();
        }
        Fault::Hang => {
            let _ = state.faults.subscribe().changed().await;
            ctrl.conn().abort();
            ctrl.skip_rest();
        }
        Fault::Slow { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
        Fault::None | Fault::LoseAnswers { .. } | Fault::LateWrites { .. } => {}
    }
}

/// Counts a call; returns the fault in force and whether the rate limit admits the call.
fn admit(state: &State, req: &Request) -> (Fault, bool) {
    let mut inner = state.lock();
    let write = matches!(*req.method(), Method::PUT | Method::DELETE);
    let path = req.uri().path();
    let counts = &mut inner.counts;
    match (req.method(), path) {
        (&Method::PUT, _) => counts.puts += 1,
        (&Method::DELETE, _) => counts.deletes += 1,
        (_, "/objects") => counts.lists += 1,
        (_, "/watch") => counts.watches += 1,
        (_, "/instances") => counts.instances += 1,
        _ => counts.gets += 1,
    }
    let fault = inner.fault.clone();
    if matches!(fault, Fault::Outage | Fault::Hang) {
        inner.counts.failed += 1;
        return (fault, true);
    }
    let admitted = inner.buckets.take(write);
    if !admitted {
        inner.counts.refused_by_rate += 1;
    }
    (fault, admitted)
}

fn key(req: &Request) -> String {
    req.param::<String>("key").unwrap_or_default()
}

#[handler]
async fn get_object(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let found = state::<State>(depot).lock().store.get(&key(req));
    match found {
        Some(object) => json(res, StatusCode::OK, &object),
        None => {
            res.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn put_object(req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let key = key(req);
    let Some(put) = body::<PutObject>(req, res).await else {
        return;
    };
    if put.value.len() > MAX_VALUE_BYTES {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return;
    }
    let at = key.clone();
    let write = move |store: &mut Store| store.put(&at, put.value, put.condition);
    write_object(&state::<State>(depot), &key, write, res, ctrl);
}

#[handler]
async fn delete_object(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let key = key(req);
    let Some(version) = req.query::<u64>("version") else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let at = key.clone();
    let write = move |store: &mut Store| store.delete(&at, version);
    write_object(&state::<State>(depot), &key, write, res, ctrl);
}

/// Applies a write, subject to the fault in force.
fn write_object(
    state: &Arc<State>,
    key: &str,
    write: impl FnOnce(&mut Store) -> WriteOutcome + Send + 'static,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let effect = state.lock().fault.effect_on_write(key);
    if effect != WriteEffect::Answered {
        state.lock().counts.spoilt += 1;
    }
    if let WriteEffect::Late(ms) = effect {
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            let outcome = write(&mut state.lock().store);
            log::info!("delayed write applied: {outcome:?}");
            state.notify_watches();
        });
        ctrl.conn().abort();
        return;
    }
    let outcome = write(&mut state.lock().store);
    state.notify_watches();
    if effect == WriteEffect::AnswerLost {
        log::info!("dropping the answer to the write of {key}: {outcome:?}");
        ctrl.conn().abort();
        return;
    }
    match outcome {
        WriteOutcome::Done(written) => json(res, StatusCode::OK, &written),
        WriteOutcome::Refused(current) => json(res, StatusCode::PRECONDITION_FAILED, &current),
        WriteOutcome::Absent => {
            res.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn list_objects(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let prefix = req.query::<String>("prefix").unwrap_or_default();
    let objects = state::<State>(depot).lock().store.list(&prefix);
    json(res, StatusCode::OK, &ObjectList { objects });
}

#[handler]
async fn watch_objects(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state::<State>(depot);
    let prefix = req.query::<String>("prefix").unwrap_or_default();
    let after = req.query::<u64>("after").unwrap_or(0);
    let wait_ms = req
        .query::<u64>("wait_ms")
        .unwrap_or(0)
        .min(MAX_WATCH_WAIT_MS);
    let _waiting = WaitingGuard::begin(&state);
    let wait = Duration::from_millis(wait_ms);
    match tokio::time::timeout(wait, first_change(&state, &prefix, after)).await {
        Ok(Some(answer)) => json(res, StatusCode::OK, &answer),
        Ok(None) => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        Err(_) => {
            let answer = state.lock().store.changes(&prefix, after);
            json(res, StatusCode::OK, &answer);
        }
    }
}

/// Waits for a change after version `after`; returns `None` if an outage begins.
async fn first_change(state: &State, prefix: &str, after: u64) -> Option<WatchAnswer> {
    let mut newest = state.newest.subscribe();
    let mut faults = state.faults.subscribe();
    loop {
        newest.mark_unchanged();
        let answer = state.lock().store.changes(prefix, after);
        if !answer.changes.is_empty() {
            return Some(answer);
        }
        tokio::select! {
            _ = newest.changed() => {}
            _ = faults.changed() => {
                if state.lock().fault == Fault::Outage {
                    return None;
                }
            }
        }
    }
}

/// Guard that counts a waiting watch, also if its caller disconnects.
struct WaitingGuard<'a>(&'a State);

impl<'a> WaitingGuard<'a> {
    fn begin(state: &'a State) -> Self {
        state.lock().counts.waiting += 1;
        Self(state)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting -= 1;
    }
}

#[handler]
async fn list_instances(depot: &mut Depot, res: &mut Response) {
    let list = state::<State>(depot).lock().instances.visible();
    json(res, StatusCode::OK, &list);
}

#[handler]
async fn admin_instances(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(change) = body::<InstancesChange>(req, res).await {
        state::<State>(depot).lock().instances.change(change);
    }
}

#[handler]
async fn admin_fault(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(fault) = body::<Fault>(req, res).await {
        state::<State>(depot).set_fault(fault);
    }
}

#[handler]
async fn admin_snapshot(depot: &mut Depot) {
    let state = state::<State>(depot);
    let mut inner = state.lock();
    inner.snapshot = Some(inner.store.clone());
}

#[handler]
async fn admin_restore(depot: &mut Depot, res: &mut Response) {
    let state = state::<State>(depot);
    let snapshot = state.lock().snapshot.clone();
    match snapshot {
        Some(store) => {
            state.lock().store = store;
            state.notify_watches();
        }
        None => {
            res.status_code(StatusCode::CONFLICT);
        }
    }
}

#[handler]
async fn admin_rates(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(rates) = body::<Rates>(req, res).await {
        state::<State>(depot).lock().buckets = Buckets::new(rates);
    }
}

#[handler]
async fn admin_counts(depot: &mut Depot, res: &mut Response) {
    let counts = state::<State>(depot).lock().counts.clone();
    json(res, StatusCode::OK, &counts);
}

#[handler]
async fn admin_objects(depot: &mut Depot, res: &mut Response) {
    let objects = state::<State>(depot).lock().store.objects();
    json(res, StatusCode::OK, &objects);
}
