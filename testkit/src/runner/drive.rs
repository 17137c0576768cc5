//! First stage of a route: starts an attempt, drives it token by token and streams its frames.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{
    BrokenFrame, CancelRequest, EndFrame, Frame, Refused, RefusedCode, RunRequest, Stage,
    StageRequest, TokenFrame,
};
use salvo::http::body::BodySender;
use tokio_util::sync::CancellationToken;

use super::State;
use super::attempts::StageKey;
use super::overrides::FrameFaults;
use super::stage::{self, StageFault, refused};
use crate::text;

/// Timeout for releasing the slot of a later stage.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Exit code of a runner that crashes on a lethal prompt.
const CRASH_EXIT_CODE: i32 = 3;
/// Token at which frame faults are injected, counted within the attempt.
const FAULT_TOKEN: u32 = 2;

/// An attempt that holds a slot at every stage of its route.
pub(crate) struct Drive {
    state: Arc<State>,
    req: RunRequest,
    key: StageKey,
    token: CancellationToken,
    deadline: Instant,
    faults: FrameFaults,
    /// Releases the slots on drop, also if the caller disconnects before the stream begins.
    _slots: RouteSlots,
}

/// Slots of an attempt along its route.
struct RouteSlots {
    state: Arc<State>,
    key: StageKey,
    later: Vec<Stage>,
}

impl Drop for RouteSlots {
    fn drop(&mut self) {
        let state = self.state.clone();
        let key = self.key.clone();
        let later = std::mem::take(&mut self.later);
        tokio::spawn(async move {
            let calls = later.iter().map(|stage| release_slot(&state, &key, stage));
            futures::future::join_all(calls).await;
            // Released last, so that the next attempt finds the later stages' slots free too.
            stage::end(&state, &key);
        });
    }
}

/// Asks a later stage to release its slot.
async fn release_slot(state: &State, key: &StageKey, stage: &Stage) {
    let body = CancelRequest {
        request: key.0.clone(),
        attempt: key.1,
    };
    let url = format!("http://{}/v1/cancel", stage.address);
    let call = state.client.post(url).timeout(RELEASE_TIMEOUT).json(&body);
    if let Err(err) = call.send().await {
        log::info!("{}: slot not released: {err}", stage.runner);
    }
}

/// Result of an attempt.
enum AttemptEnd {
    Complete,
    CallerDisconnected,
    Truncated,
    Cut,
    Broken { runner: Option<Name>, cause: String },
}

/// Reserves the slots of an attempt, here and at all later stages of its route.
///
/// # Errors
///
/// Returns a refusal; nothing of the attempt ran anywhere.
pub(crate) async fn begin(state: Arc<State>, req: RunRequest) -> Result<Drive, Refused> {
    let arrived = Instant::now();
    let key = stage::key(&req.request, req.attempt, &req.route);
    state
        .lock()
        .execution_log
        .received(&req.request, req.attempt, true);
    stage::check(&state, &key, &req.model, &req.route)?;
    let slot = state.slots.take(req.priority).await;
    let slot = slot.map_err(|_| refused(&state, RefusedCode::Busy))?;
    stage::begin_stage(&state, &key, slot)?;
    let slots = RouteSlots {
        state: state.clone(),
        key: key.clone(),
        later: req.route[1..].to_vec(),
    };
    let taken = stage::call_next(&state, &stage_request(&req, 0, 0)).await;
    taken.map_err(|fault| begin_refused(&state, fault))?;
    let step = state.lock().attempts.token(&key);
    let token = step.map_err(|_| refused(&state, RefusedCode::Stale))?;
    let faults = state.lock().overrides.take_frame_faults();
    Ok(Drive {
        deadline: arrived + Duration::from_millis(req.deadline_ms),
        state,
        req,
        key,
        token,
        faults,
        _slots: slots,
    })
}

/// Maps a fault during slot reservation to a refusal: reservation runs nothing at any stage.
fn begin_refused(state: &State, fault: StageFault) -> Refused {
    match fault {
        StageFault::Refused(refused) => refused,
        StageFault::Lost { runner, .. } => Refused {
            runner: Some(runner),
            ..refused(state, RefusedCode::Unreachable)
        },
    }
}

fn stage_request(req: &RunRequest, index: u32, tokens: u32) -> StageRequest {
    let prefill = tokens > 1;
    StageRequest {
        request: req.request.clone(),
        attempt: req.attempt,
        index,
        tokens,
        prefix: if prefill {
            text::prefixes(&req.prompt)
        } else {
            Vec::new()
        },
        kv_from: req.kv_from.filter(|_| prefill),
        model: req.model.clone(),
        route: req.route.clone(),
        priority: req.priority,
    }
}

impl Drive {
    /// Runs the attempt to completion and sends its final frame.
    pub(crate) async fn run(self, mut tx: BodySender) {
        let token = self.token.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let tokens = tokio::time::timeout(left, self.tokens(&mut tx));
        let ended = match token.run_until_cancelled(tokens).await {
            Some(Ok(ended)) => ended,
            Some(Err(_)) => broken(None, "deadline exceeded"),
            None => broken(None, "cancelled"),
        };
        match ended {
            AttemptEnd::Complete => {
                let end = self.end_frame();
                let _ = send(&mut tx, &Frame::End(end)).await;
            }
            AttemptEnd::Broken { runner, cause } => {
                log::info!("{}: {:?} broke off: {cause}", self.state.cfg.name, self.key);
                let frame = BrokenFrame {
                    request: self.req.request.clone(),
                    attempt: self.req.attempt,
                    runner,
                    cause,
                };
                let _ = send(&mut tx, &Frame::Broken(frame)).await;
            }
            AttemptEnd::Cut => tx.send_error(std::io::Error::other("cut by a test")),
            AttemptEnd::CallerDisconnected | AttemptEnd::Truncated => {}
        }
    }

    async fn tokens(&self, tx: &mut BodySender) -> AttemptEnd {
        let (length, _) = text::length(&self.req.prompt, self.req.max_tokens);
        let first = u32::try_from(self.req.resume.len()).unwrap_or(u32::MAX);
        let prompt = text::prompt_tokens(&self.req.prompt);
        for index in first..length {
            // A prefill has at least two tokens: one alone would look like a decode step.
            let tokens = if index == first {
                (prompt + first).max(2)
            } else {
                1
            };
            let call = stage_request(&self.req, index, tokens);
            let ran = match stage::run_token(&self.state, &call).await {
                Ok(reply) => reply.ran,
                Err(StageFault::Refused(r)) => return broken(r.runner, &r.code.to_string()),
                Err(StageFault::Lost { runner, cause }) => return broken(Some(runner), &cause),
            };
            let frame = TokenFrame {
                request: self.req.request.clone(),
                attempt: self.req.attempt,
                index,
                text: text::token(&self.req.prompt, index),
                ran,
            };
            if let Some(ended) = self.send_token(tx, frame, index - first).await {
                return ended;
            }
            self.crash_if_lethal();
        }
        AttemptEnd::Complete
    }

    fn crash_if_lethal(&self) {
        let lethal = self.state.lock().overrides.lethal.clone();
        if lethal.is_some_and(|text| self.req.prompt.contains(&text)) {
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    /// Sends a token frame with the faults that a test has requested.
    async fn send_token(
        &self,
        tx: &mut BodySender,
        frame: TokenFrame,
        nth: u32,
    ) -> Option<AttemptEnd> {
        let inject = nth == FAULT_TOKEN;
        if inject && self.faults.truncated {
            return Some(AttemptEnd::Truncated);
        }
        if inject && self.faults.cut {
            return Some(AttemptEnd::Cut);
        }
        let mut frames = Vec::with_capacity(2);
        if inject && self.faults.crossed {
            frames.push(TokenFrame {
                request: format!("{}-other", frame.request).into(),
                text: " crossed".to_owned(),
                ..frame.clone()
            });
        }
        if nth == 0 && self.faults.late {
            frames.push(TokenFrame {
                attempt: frame.attempt.saturating_sub(1),
                text: " late".to_owned(),
                ..frame.clone()
            });
        }
        if inject && self.faults.duplicate {
            frames.push(frame.clone());
        }
        frames.push(frame);
        for frame in frames {
            if send(tx, &Frame::Token(frame)).await.is_err() {
                return Some(AttemptEnd::CallerDisconnected);
            }
        }
        None
    }

    fn end_frame(&self) -> EndFrame {
        let (tokens, finish) = text::length(&self.req.prompt, self.req.max_tokens);
        EndFrame {
            request: self.req.request.clone(),
            attempt: self.req.attempt,
            tokens,
            prompt_tokens: text::prompt_tokens(&self.req.prompt),
            finish,
        }
    }
}

fn broken(runner: Option<Name>, cause: &str) -> AttemptEnd {
    AttemptEnd::Broken {
        runner,
        cause: cause.to_owned(),
    }
}

async fn send(tx: &mut BodySender, frame: &Frame) -> std::io::Result<()> {
    let mut line = serde_json::to_vec(frame).map_err(std::io::Error::other)?;
    line.push(b'\n');
    tx.send_data(Bytes::from(line)).await
}
