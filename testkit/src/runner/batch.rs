//! The batch loop, which simulates computation by delays.
//!
//! Each step takes the first `max_running` units in order of priority and arrival, processes at
//! most one chunk of each, and lasts for the token-layers in it. Timers are coarser than a step,
//! so the loop tracks its schedule: a step that overslept shortens the following ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use super::State;
use super::execution_log::RanToken;
use crate::http::unix_ms;

/// Maximum lag that the loop may catch up on, in milliseconds.
const MAX_CATCH_UP_MS: u64 = 4;

/// Queue of work for the batch loop.
#[derive(Debug, Default)]
pub struct Batch {
    queue: Mutex<Queue>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    arrivals: u64,
    units: BTreeMap<(u8, u64), Unit>,
}

/// One token, or one prefill, through one layer range.
#[derive(Debug)]
struct Unit {
    token: RanToken,
    remaining: u32,
    started: bool,
    done: oneshot::Sender<()>,
}

impl Batch {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the batch loop re-read the queue and the overrides.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Runs a token; dropping the future removes it from the batch before its next step.
    pub(crate) async fn run(&self, priority: u8, token: RanToken) {
        let (done, rx) = oneshot::channel();
        {
            let mut queue = self.lock();
            queue.arrivals += 1;
            let position = (priority, queue.arrivals);
            let unit = Unit {
                remaining: token.tokens,
                token,
                started: false,
                done,
            };
            queue.units.insert(position, unit);
        }
        self.wake();
        // The sender is dropped only when the whole runner stops.
        let _ = rx.await;
    }
}

/// Runs steps until `token` is cancelled.
pub(crate) async fn run(state: Arc<State>, token: CancellationToken) {
    let mut ready_at = Instant::now();
    loop {
        let frozen = state.lock().overrides.freeze == Some(true);
        let step = if frozen {
            Vec::new()
        } else {
            take_step(&state)
        };
        if step.is_empty() {
            if token
                .run_until_cancelled(state.batch.wake.notified())
                .await
                .is_none()
            {
                return;
            }
            continue;
        }
        let earliest = Instant::now() - Duration::from_millis(MAX_CATCH_UP_MS);
        ready_at = ready_at.max(earliest) + step_time(&state, &step);
        let sleep = tokio::time::sleep_until(ready_at.into());
        if ready_at > Instant::now() && token.run_until_cancelled(sleep).await.is_none() {
            return;
        }
        finish_step(&state, step);
        // Lets the attempt drivers enqueue their next tokens before the next step is assembled.
        tokio::task::yield_now().await;
    }
}

/// Part of a unit that one step processes.
struct Part {
    position: (u8, u64),
    unit: Unit,
    tokens: u32,
}

fn take_step(state: &State) -> Vec<Part> {
    let max = state.cfg.max_running as usize;
    let mut step = Vec::new();
    let mut queue = state.batch.lock();
    while step.len() < max {
        let Some((position, mut unit)) = queue.units.pop_first() else {
            break;
        };
        if unit.done.is_closed() {
            continue;
        }
        if !unit.started {
            unit.started = true;
            unit.token.at_ms = unix_ms();
            state.lock().execution_log.ran.push(unit.token.clone());
        }
        let tokens = unit.remaining.min(state.cfg.prefill_chunk.max(1));
        step.push(Part {
            position,
            unit,
            tokens,
        });
    }
    step
}

/// Returns the cost of a part in token-layers; prefill tokens are discounted.
fn cost(state: &State, part: &Part) -> f64 {
    let layers = part.unit.token.layers;
    let all = f64::from(part.tokens) * f64::from(layers.end - layers.start);
    if part.unit.token.tokens > 1 {
        all * f64::from(state.cfg.prefill_percent) / 100.0
    } else {
        all
    }
}

fn step_time(state: &State, step: &[Part]) -> Duration {
    let speed = state.lock().overrides.speed;
    let speed = speed.unwrap_or(state.cfg.token_layers_per_s).max(1.0);
    let total: f64 = step.iter().map(|part| cost(state, part)).sum();
    Duration::from_micros(state.cfg.step_us) + Duration::from_secs_f64(total / speed)
}

fn finish_step(state: &State, step: Vec<Part>) {
    let total: f64 = step.iter().map(|part| cost(state, part)).sum();
    state.lock().done += total;
    for mut part in step {
        part.unit.remaining -= part.tokens;
        if part.unit.remaining == 0 {
            let _ = part.unit.done.send(());
        } else {
            state.batch.lock().units.insert(part.position, part.unit);
        }
    }
}
