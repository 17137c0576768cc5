//! HTTP handlers of the runner.

use jacinthweir_wire::runner::{
    CancelRequest, KvRequest, Order, Refused, RefusedCode, RunRequest, StageRequest,
};
use salvo::http::StatusCode;
use salvo::prelude::*;

use super::State;
use super::execution_log::ReceivedOrder;
use super::orders::OrderRefused;
use super::overrides::Overrides;
use super::stage::{StageFault, StageFaultBody};
use super::{drive, load, stage};
use crate::http::{body, json, state, unix_ms};

pub(super) fn router() -> Router {
    let service = Router::with_path("v1")
        .push(Router::with_path("run").post(run_attempt))
        .push(Router::with_path("stage").post(run_stage))
        .push(Router::with_path("cancel").post(cancel_attempts))
        .push(Router::with_path("load").get(get_load))
        .push(Router::with_path("cache-events").get(get_cache_events))
        .push(Router::with_path("kv/export").post(export_kv))
        .push(Router::with_path("kv/import").post(import_kv))
        .push(Router::with_path("orders").post(post_order));
    let admin = Router::with_path("admin")
        .push(Router::with_path("set").post(admin_set))
        .push(Router::with_path("ran").get(admin_ran));
    Router::new().push(service).push(admin)
}

#[handler]
async fn run_attempt(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state::<State>(depot);
    let Some(run) = body::<RunRequest>(req, res).await else {
        return;
    };
    match drive::begin(state, run).await {
        Ok(drive) => {
            let _ = res.add_header("content-type", "application/x-ndjson", true);
            let tx = res.channel();
            tokio::spawn(drive.run(tx));
        }
        Err(refused) => json(res, refused_status(&refused), &refused),
    }
}

fn refused_status(refused: &Refused) -> StatusCode {
    match refused.code {
        RefusedCode::Busy => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

#[handler]
async fn run_stage(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state::<State>(depot);
    let Some(call) = body::<StageRequest>(req, res).await else {
        return;
    };
    match stage::serve(&state, call).await {
        Ok(reply) => json(res, StatusCode::OK, &reply),
        Err(fault) => {
            let status = match &fault {
                StageFault::Refused(refused) => refused_status(refused),
                StageFault::Lost { .. } => StatusCode::BAD_GATEWAY,
            };
            json(res, status, &StageFaultBody::from(fault));
        }
    }
}

#[handler]
async fn cancel_attempts(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state::<State>(depot);
    let Some(cancel) = body::<CancelRequest>(req, res).await else {
        return;
    };
    if state.lock().overrides.ignore_cancel == Some(true) {
        return;
    }
    let slots = state
        .lock()
        .attempts
        .cancel(&cancel.request, cancel.attempt);
    drop(slots);
}

#[handler]
async fn get_load(depot: &mut Depot, res: &mut Response) {
    let report = load::report(&state::<State>(depot));
    json(res, StatusCode::OK, &report);
}

#[handler]
async fn get_cache_events(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let after = req.query::<u64>("after").unwrap_or(0);
    let events = state::<State>(depot).lock().cache.events(after);
    json(res, StatusCode::OK, &events);
}

#[handler]
async fn export_kv(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(mut kv) = body::<KvRequest>(req, res).await else {
        return;
    };
    let state = state::<State>(depot);
    let held = state.lock().kv.tokens(&kv.request, &kv.model, kv.layers);
    if held == 0 {
        res.status_code(StatusCode::NOT_FOUND);
        return;
    }
    kv.tokens = kv.tokens.min(held);
    json(res, StatusCode::OK, &kv);
}

#[handler]
async fn import_kv(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(kv) = body::<KvRequest>(req, res).await else {
        return;
    };
    let state = state::<State>(depot);
    if !state.holds(&kv.model, kv.layers) {
        res.status_code(StatusCode::CONFLICT);
        return;
    }
    state
        .lock()
        .kv
        .store(&kv.request, &kv.model, kv.layers, kv.tokens);
}

#[handler]
async fn post_order(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(order) = body::<Order>(req, res).await else {
        return;
    };
    let state = state::<State>(depot);
    let applied = {
        let mut inner = state.lock();
        let applied = inner.orders.apply(&order, &state.cfg);
        inner.execution_log.orders.push(ReceivedOrder {
            order,
            obeyed: applied.is_ok(),
            at_ms: unix_ms(),
        });
        applied
    };
    match applied {
        Ok(()) => {}
        Err(OrderRefused::Fenced(fenced)) => json(res, StatusCode::CONFLICT, &fenced),
        Err(OrderRefused::NoMemory) => {
            res.status_code(StatusCode::INSUFFICIENT_STORAGE);
        }
    }
}

#[handler]
async fn admin_set(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(overrides) = body::<Overrides>(req, res).await {
        state::<State>(depot).set(&overrides);
    }
}

#[handler]
async fn admin_ran(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let take = req.query::<bool>("take").unwrap_or(false);
    let state = state::<State>(depot);
    let execution_log = {
        let mut inner = state.lock();
        if take {
            inner.execution_log.take()
        } else {
            inner.execution_log.clone()
        }
    };
    json(res, StatusCode::OK, &execution_log);
}
