//! One stage of a route: slot reservation down the route, and execution of one token.

use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{
    LayerRange, RanRange, Refused, RefusedCode, Stage, StageReply, StageRequest,
};

use super::State;
use super::attempts::StageKey;
use super::execution_log::RanToken;
use super::kv::{Prefill, missing_tokens};
use super::slots::Slot;
use crate::http::unix_ms;

/// Delay after which a refused attempt may be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 50;

/// Why a stage call failed.
#[derive(Debug)]
pub(crate) enum StageFault {
    /// A stage refused the call.
    Refused(Refused),
    /// The call failed or timed out; it is unknown what ran.
    Lost { runner: Name, cause: String },
}

/// Creates a refusal by this runner.
pub(crate) fn refused(state: &State, code: RefusedCode) -> Refused {
    Refused {
        code,
        retry_after_ms: RETRY_AFTER_MS,
        runner: Some(state.cfg.name.clone()),
    }
}

/// Validates an attempt before it begins here: route, state of the runner, layers, staleness.
pub(crate) fn check(
    state: &State,
    key: &StageKey,
    model: &Name,
    route: &[Stage],
) -> Result<(), Refused> {
    let own = route.first().filter(|s| s.runner == state.cfg.name);
    let Some(own) = own.filter(|_| is_contiguous(route)) else {
        return Err(refused(state, RefusedCode::BadRoute));
    };
    let held = state.holds(model, own.layers);
    let inner = state.lock();
    let code = if inner.overrides.leaving == Some(true) {
        RefusedCode::Leaving
    } else if inner.overrides.refuse == Some(true) {
        RefusedCode::Busy
    } else if !held {
        RefusedCode::NotHeld
    } else if inner.attempts.check(key).is_err() {
        RefusedCode::Stale
    } else {
        return Ok(());
    };
    Err(refused(state, code))
}

/// Returns whether the stages' ranges are non-empty and contiguous, without gap or overlap.
fn is_contiguous(route: &[Stage]) -> bool {
    let filled = route.iter().all(|s| s.layers.start < s.layers.end);
    let joined = route
        .windows(2)
        .all(|p| p[0].layers.end == p[1].layers.start);
    filled && joined
}

/// Returns the key of the first stage of `route`, which the call is addressed to.
pub(crate) fn key(request: &Name, attempt: u32, route: &[Stage]) -> StageKey {
    let start = route.first().map_or(0, |s| s.layers.start);
    (request.clone(), attempt, start)
}

/// Serves a call from the previous stage.
pub(crate) async fn serve(state: &State, req: StageRequest) -> Result<StageReply, StageFault> {
    if req.tokens == 0 {
        return reserve_slots(state, &req).await;
    }
    run_token(state, &req).await
}

/// Reserves a slot here and at all later stages; runs nothing.
async fn reserve_slots(state: &State, req: &StageRequest) -> Result<StageReply, StageFault> {
    let key = key(&req.request, req.attempt, &req.route);
    state
        .lock()
        .execution_log
        .received(&req.request, req.attempt, false);
    check(state, &key, &req.model, &req.route).map_err(StageFault::Refused)?;
    let busy = |_| StageFault::Refused(refused(state, RefusedCode::Busy));
    let slot = state.slots.try_take().map_err(busy)?;
    begin_stage(state, &key, slot).map_err(StageFault::Refused)?;
    let further = call_next(state, req).await;
    if further.is_err() {
        end(state, &key);
    }
    further.map(|ran| StageReply { ran })
}

/// Begins a stage that was not received before, with its slot.
pub(crate) fn begin_stage(state: &State, key: &StageKey, slot: Slot) -> Result<(), Refused> {
    let mut inner = state.lock();
    let token = state.token.child_token();
    let begun = inner.attempts.begin(key.clone(), slot, token);
    begun.map_err(|_| refused(state, RefusedCode::Stale))
}

/// Ends a stage and releases its slot.
pub(crate) fn end(state: &State, key: &StageKey) {
    let slot = state.lock().attempts.end(key);
    drop(slot);
}

/// Runs one token, or a prefill, through the rest of the route.
pub(crate) async fn run_token(state: &State, req: &StageRequest) -> Result<StageReply, StageFault> {
    let Some(own) = req.route.first() else {
        return Err(StageFault::Refused(refused(state, RefusedCode::BadRoute)));
    };
    let layers = own.layers;
    if !state.holds(&req.model, layers) {
        return Err(StageFault::Refused(refused(state, RefusedCode::NotHeld)));
    }
    let key = key(&req.request, req.attempt, &req.route);
    let step = state.lock().attempts.step(&key, req.index);
    let stale = |_| StageFault::Refused(refused(state, RefusedCode::Stale));
    let token = step.map_err(stale)?;
    let here = run_here(state, req, layers);
    if token.run_until_cancelled(here).await.is_none() {
        return Err(StageFault::Refused(refused(state, RefusedCode::Stale)));
    }
    let mut ran = vec![RanRange {
        runner: state.cfg.name.clone(),
        layers,
    }];
    ran.extend(call_next(state, req).await?);
    Ok(StageReply { ran })
}

/// Runs the tokens through this runner's layers.
async fn run_here(state: &State, req: &StageRequest, layers: LayerRange) {
    let prefill = Prefill {
        request: &req.request,
        model: &req.model,
        layers,
        tokens: req.tokens,
        prefix: &req.prefix,
        kv_from: req.kv_from,
    };
    let tokens = if req.tokens > 1 {
        missing_tokens(state, &prefill).await
    } else {
        1
    };
    let token = RanToken {
        request: req.request.clone(),
        attempt: req.attempt,
        index: req.index,
        layers,
        tokens,
        at_ms: unix_ms(),
    };
    state.batch.run(req.priority, token).await;
    let mut inner = state.lock();
    let before = inner.kv.tokens(&req.request, &req.model, layers);
    let held = if req.tokens > 1 {
        req.tokens
    } else {
        before + 1
    };
    inner.kv.store(&req.request, &req.model, layers, held);
}

/// Calls the next stage, if there is one.
pub(crate) async fn call_next(
    state: &State,
    req: &StageRequest,
) -> Result<Vec<RanRange>, StageFault> {
    let rest = req.route.get(1..).unwrap_or_default();
    let Some(next) = rest.first() else {
        return Ok(Vec::new());
    };
    tokio::time::sleep(link_delay(state)).await;
    let body = StageRequest {
        route: rest.to_vec(),
        ..req.clone()
    };
    let lost = |err: reqwest::Error| StageFault::Lost {
        runner: next.runner.clone(),
        cause: err.to_string(),
    };
    let url = format!("http://{}/v1/stage", next.address);
    let answer = state
        .client
        .post(url)
        .json(&body)
        .send()
        .await
        .map_err(lost)?;
    if answer.status().is_success() {
        let reply: StageReply = answer.json().await.map_err(lost)?;
        return Ok(reply.ran);
    }
    let fault: StageFaultBody = answer.json().await.map_err(lost)?;
    Err(fault.into())
}

fn link_delay(state: &State) -> Duration {
    let inner = state.lock();
    let base = inner
        .overrides
        .link_delay_us
        .unwrap_or(state.cfg.link_delay_us);
    let factor = inner.overrides.link_factor.unwrap_or(1);
    Duration::from_micros(base * u64::from(factor))
}

/// Wire form of a stage fault.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StageFaultBody {
    /// A stage refused the call.
    Refused(Refused),
    /// A later stage could not be reached, or its call failed.
    Lost {
        /// The runner of that stage.
        runner: Name,
        /// Cause.
        cause: String,
    },
}

impl From<StageFaultBody> for StageFault {
    fn from(body: StageFaultBody) -> Self {
        match body {
            StageFaultBody::Refused(refused) => Self::Refused(refused),
            StageFaultBody::Lost { runner, cause } => Self::Lost { runner, cause },
        }
    }
}

impl From<StageFault> for StageFaultBody {
    fn from(fault: StageFault) -> Self {
        match fault {
            StageFault::Refused(refused) => Self::Refused(refused),
            StageFault::Lost { runner, cause } => Self::Lost { runner, cause },
        }
    }
}
