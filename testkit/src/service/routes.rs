//! HTTP handlers of the stand-in service.

use std::sync::Arc;
use std::time::Duration;

use jacinthweir_wire::header;
use salvo::http::StatusCode;
use salvo::prelude::*;

use super::{CallAnswer, Knobs, RanCall, State};
use crate::http::{body, json, state, unix_ms};

/// Maximum body of a call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

pub(super) fn router() -> Router {
    let admin = Router::with_path("admin")
        .push(Router::with_path("set").post(admin_set))
        .push(Router::with_path("ran").get(admin_ran));
    Router::new()
        .push(Router::with_path("call/{call}").post(run_call))
        .push(admin)
}

/// Effect of the knobs on one call.
enum CallEffect {
    Refuse,
    CutBefore,
    Run { lose_answer: bool },
}

fn next_effect(state: &State) -> CallEffect {
    let mut inner = state.lock();
    let knobs = &mut inner.knobs;
    if knobs.refuse == Some(true) || knobs.leaving == Some(true) {
        return CallEffect::Refuse;
    }
    if take_one(&mut knobs.cut_before) {
        return CallEffect::CutBefore;
    }
    CallEffect::Run {
        lose_answer: take_one(&mut knobs.lose_answers),
    }
}

/// Decrements the count; returns whether it was above zero.
fn take_one(remaining: &mut Option<u32>) -> bool {
    match remaining {
        Some(n) if *n > 0 => {
            *n -= 1;
            true
        }
        _ => false,
    }
}

#[handler]
async fn run_call(req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let state = state::<State>(depot);
    let lose_answer = match next_effect(&state) {
        CallEffect::Refuse => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let _ = res.add_header(header::RAN, "no", true);
            return;
        }
        CallEffect::CutBefore => {
            ctrl.conn().abort();
            return;
        }
        CallEffect::Run { lose_answer } => lose_answer,
    };
    let body = req.payload_with_max_size(MAX_BODY_BYTES).await;
    let Ok(body) = body.map(|bytes| String::from_utf8_lossy(bytes).into_owned()) else {
        res.status_code(StatusCode::BAD_REQUEST);
        let _ = res.add_header(header::RAN, "no", true);
        return;
    };
    let ran = RanCall {
        run: 0,
        service: state.name.clone(),
        call: req.param("call").unwrap_or_default(),
        request: req.header::<String>(header::REQUEST).map(Into::into),
        attempt: req.header(header::ATTEMPT),
        key: req.header(header::IDEMPOTENCY_KEY),
        body,
        at_ms: 0,
    };
    // Runs in a separate task: salvo drops this future when the caller disconnects, whereas a real
    // service would still run the call.
    let Ok((ran, answer_delay)) = tokio::spawn(run(state, ran)).await else {
        res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        return;
    };
    sleep_nonzero(answer_delay).await;
    if lose_answer {
        log::info!("dropping the answer to {ran:?}");
        ctrl.conn().abort();
        return;
    }
    write_answer(&ran, res);
}

/// Runs the call: waits for the delay and records the run. Returns the delay of the answer.
async fn run(state: Arc<State>, mut ran: RanCall) -> (RanCall, Duration) {
    let delay = state.lock().knobs.delay_ms.unwrap_or(0);
    sleep_nonzero(Duration::from_millis(delay)).await;
    let mut inner = state.lock();
    ran.run = inner.ran.len() as u64 + 1;
    ran.at_ms = unix_ms();
    inner.ran.push(ran.clone());
    let answer_delay = inner.knobs.answer_delay_ms.unwrap_or(0);
    (ran, Duration::from_millis(answer_delay))
}

/// Sleeps unless `time` is zero, since a zero sleep still takes one timer tick.
async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn write_answer(ran: &RanCall, res: &mut Response) {
    if let Some(request) = &ran.request {
        let _ = res.add_header(header::REQUEST, request.to_string(), true);
    }
    if let Some(attempt) = ran.attempt {
        let _ = res.add_header(header::ATTEMPT, attempt.to_string(), true);
    }
    let answer = CallAnswer {
        service: ran.service.clone(),
        call: ran.call.clone(),
        run: ran.run,
        echo: ran.body.clone(),
    };
    json(res, StatusCode::OK, &answer);
}

#[handler]
async fn admin_set(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(knobs) = body::<Knobs>(req, res).await {
        state::<State>(depot).lock().knobs.merge(&knobs);
    }
}

#[handler]
async fn admin_ran(depot: &mut Depot, res: &mut Response) {
    let ran = state::<State>(depot).lock().ran.clone();
    json(res, StatusCode::OK, &ran);
}
