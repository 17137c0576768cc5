//! Watchdog: ends a process whose event loop makes no progress.
//!
//! Failure: a decision on the only thread runs without end. No request is answered, no line is logged
//! and no metric can be read, and as the process does not end either, the platform does not start it
//! again. All that others see is that it is silent.
//!
//! A thread of its own wakes once every [`TICK`] and looks whether the event loop has beaten since. It
//! logs a stall while it lasts, with what the event loop is doing, and ends the process when
//! [`STALLED_TICKS`] ticks have passed without a beat.
//!
//! It counts ticks and not time. A process that was stopped and continued, or whose machine was frozen,
//! has missed beats for as long as it was stopped, but the watchdog has missed its ticks too: it
//! sees one tick without a beat at most.

use std::convert::Infallible;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::KernelError;
use crate::process_end::ProcessEnd;

/// Interval between two ticks.
const TICK: Duration = Duration::from_secs(1);

/// Interval between two beats: shorter than a tick, so that a sound event loop beats in each.
const BEAT: Duration = Duration::from_millis(700);

/// Ticks without a beat after which a stall is logged. A starved machine may delay a beat by a second.
const LOGGED_TICKS: u32 = 3;

/// Ticks without a beat after which the process ends. Other instances serve its callers by then.
const STALLED_TICKS: u32 = 10;

/// Exit code of a process that made no progress.
pub const EXIT_STALLED: u8 = 70;

/// Stack size of the watchdog's thread, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Number of beats of the event loop so far.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat(Arc<AtomicU64>);

impl Heartbeat {
    /// Beats as long as it is polled by the event loop.
    pub async fn run(&self) -> Infallible {
        loop {
            self.0.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(BEAT).await;
        }
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the watchdog does at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event loop has beaten, or not missed enough beats yet.
    Sound,
    /// It has not beaten for this many ticks.
    Stalled(u32),
    /// It has not beaten for so long that the process ends.
    Ended,
    /// It beats again after this many ticks.
    Resumed(u32),
}

/// Counts the ticks in which the event loop has not beaten.
#[derive(Clone, Debug, Default)]
pub struct StallCounter {
    beats: u64,
    ticks: u32,
}

impl StallCounter {
    /// Returns the verdict at a tick at which the event loop has beaten `beats` times so far.
    pub fn tick(&mut self, beats: u64) -> Verdict {
        if beats != self.beats {
            self.beats = beats;
            return match std::mem::take(&mut self.ticks) {
                ticks if ticks >= LOGGED_TICKS => Verdict::Resumed(ticks),
                _ => Verdict::Sound,
            };
        }
        self.ticks += 1;
        match self.ticks {
            ticks if ticks >= STALLED_TICKS => Verdict::Ended,
            ticks if ticks >= LOGGED_TICKS => Verdict::Stalled(ticks),
            _ => Verdict::Sound,
        }
    }
}

/// Starts the watchdog. `activity` says what the event loop is doing; it is called on the watchdog's
/// thread.
///
/// # Errors
/// The thread cannot be started.
pub fn spawn(activity: impl Fn() -> String + Send + 'static) -> Result<Heartbeat, KernelError> {
    let heartbeat = Heartbeat::default();
    let watched = heartbeat.clone();
    let spawned = thread::Builder::new()
        .name("watchdog".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || watch(&watched, &activity));
    spawned.map_err(|e| KernelError::SetUp {
        what: "watchdog",
        cause: e.to_string(),
    })?;
    Ok(heartbeat)
}

fn watch(heartbeat: &Heartbeat, activity: &impl Fn() -> String) {
    let mut stall = StallCounter::default();
    loop {
        thread::sleep(TICK);
        match stall.tick(heartbeat.count()) {
            Verdict::Sound => {}
            Verdict::Stalled(ticks) => {
                log::warn!(ticks, activity:% = activity(); "the event loop makes no progress");
            }
            Verdict::Resumed(ticks) => log::info!(ticks; "the event loop makes progress again"),
            Verdict::Ended => {
                log::error!(activity:% = activity(); "the event loop makes no progress: ending the process");
                process::exit(i32::from(ProcessEnd::Stalled(activity()).report()));
            }
        }
    }
}
