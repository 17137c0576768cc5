//! Drain and shutdown.
//!
//! Callers cache an entry answer for its time to live, some of them for three times as long, and
//! connect without asking again. On a signal, this instance is therefore removed from entry answers
//! at once and goes on accepting connections for that long. Then it refuses new connections and
//! stops once the last byte of the last answer is sent.
//!
//! Shortly before the shutdown bound no send to a runner starts any more, since its answer would come too
//! late; what waits for one is refused as not run. Then each open request gets its final answer: not run, or
//! unknown if a runner may have it. The rest of the time is left for these answers to be sent.

use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use jacinthweir_kernel::signals::Signals;
use jacinthweir_policy::drain::DrainOutcome;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::prelude::*;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::peers;
use crate::server::Servers;
use crate::settings::RelaySettings;

/// Number of times to live for which some callers cache an entry answer.
const CACHED_TTLS: u64 = 3;

/// Time before the shutdown bound at which the process ends, in milliseconds. If the platform killed it
/// instead, nothing would be logged.
const EXIT_MARGIN_MS: Millis = 300;

/// Time for sending the final answers of open requests, in milliseconds.
const FINAL_ANSWERS_MS: Millis = 300;

/// Time before the final answers from which no send to a runner starts, in milliseconds. Most calls take
/// less.
const LAST_SEND_MS: Millis = 500;

/// Part of the shutdown bound that each of these times takes at most.
const MAX_MARGIN_PART: Millis = 10;

/// Interval between checks whether the last request has ended.
const POLL: Duration = Duration::from_millis(20);

/// Time for accepting and reading what callers sent before a step of the shutdown. The event loop may have
/// been stalled until then.
const CATCH_UP: Duration = Duration::from_millis(50);

/// `Retry-After` of requests that a shutdown refuses, in milliseconds: another instance can serve them at
/// once.
pub(crate) const RETRY_AFTER_MS: Millis = 200;

/// Last steps of a shutdown, as requests wait for them.
#[derive(Default)]
pub(crate) struct LastSteps {
    /// Cancelled when no further send to a runner or another instance may start.
    sends_end: CancellationToken,
    /// Cancelled when each open request gets its final answer.
    answers_due: CancellationToken,
}

impl LastSteps {
    /// Returns whether a send may still start.
    pub(crate) fn may_send(&self) -> bool {
        !self.sends_end.is_cancelled()
    }

    /// Runs `work` until final answers are due. Returns `None` then, unless `work` is done.
    pub(crate) async fn run_until_answers_due<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.answers_due.cancelled() => None,
        }
    }
}

/// Times of the last steps, in milliseconds since the start of the process.
struct Schedule {
    sends_end_ms: Millis,
    answers_due_ms: Millis,
    exit_ms: Millis,
}

impl Schedule {
    /// Returns the times for a shutdown that began at `start_ms` and may take `bound_ms`.
    fn new(start_ms: Millis, bound_ms: Millis) -> Schedule {
        let margin = |ms: Millis| ms.min(bound_ms / MAX_MARGIN_PART);
        let exit_ms = start_ms + bound_ms - margin(EXIT_MARGIN_MS);
        let answers_due_ms = exit_ms - margin(FINAL_ANSWERS_MS);
        Schedule {
            sends_end_ms: answers_due_ms - margin(LAST_SEND_MS),
            answers_due_ms,
            exit_ms,
        }
    }
}

/// Waits for a termination signal; validates the settings file at each hang-up signal.
pub(crate) async fn wait_for_termination(signals: &mut Signals, path: &Path) {
    signals.termination(|| check_settings(path)).await;
}

/// Whether a check of the settings file is running.
static IS_CHECKING: AtomicBool = AtomicBool::new(false);

/// Starts a check of the settings file, unless one is running. It has a thread of its own: a read that hangs
/// would stall the event loop, and the watchdog would end the process.
fn check_settings(path: &Path) {
    if IS_CHECKING.swap(true, Ordering::Relaxed) {
        return;
    }
    let path = path.to_owned();
    let checker = thread::Builder::new().name("settings".to_owned());
    let spawned = checker.spawn(move || {
        log_check(&path);
        IS_CHECKING.store(false, Ordering::Relaxed);
    });
    if let Err(e) = spawned {
        IS_CHECKING.store(false, Ordering::Relaxed);
        log::warn!(cause:% = e; "settings file not checked");
    }
}

/// Validates the settings file for the next start and logs its faults. Settings are only read at
/// start; what changes at run time comes from the store and from peers.
fn log_check(path: &Path) {
    match RelaySettings::open(path) {
        Ok(_) => log::info!("settings file is valid; it takes effect at the next start"),
        Err(e) => {
            log::error!(cause:% = e; "settings file is not valid; keeping the old ones");
        }
    }
}

/// Drains the instance and shuts it down.
pub(crate) async fn run(node: &Rc<Node>, servers: &Servers) -> DrainOutcome {
    let start = node.now();
    let bounds = &node.settings.bounds;
    let schedule = Schedule::new(start, bounds.shutdown_ms());
    node.draining.set(true);
    peers::announce(node, Phase::Draining);
    log::info!(requests = node.active.get(); "draining: removed from entry answers");
    let accept_ms = (bounds.entry_ttl_ms * CACHED_TTLS)
        .min(bounds.shutdown_ms() / 2 + 500)
        .min(schedule.sends_end_ms - start);
    sleep(Duration::from_millis(accept_ms)).await;
    sleep(CATCH_UP).await;
    servers.refuse.cancel();
    log::info!(requests = node.active.get(); "draining: refusing new connections");
    sleep(CATCH_UP).await;
    servers.finish.cancel();
    servers.callers.close();
    let outcome = wait_for_requests(node, &schedule).await;
    peers::announce(node, Phase::Gone);
    sleep(POLL).await;
    outcome
}

/// Waits until all requests have ended, and ends those that are open when it is time.
async fn wait_for_requests(node: &Node, schedule: &Schedule) -> DrainOutcome {
    if drained_by(node, schedule.sends_end_ms).await {
        return DrainOutcome::Clean;
    }
    node.last_steps.sends_end.cancel();
    node.room_freed.notify_waiters();
    if drained_by(node, schedule.answers_due_ms).await {
        return DrainOutcome::Clean;
    }
    log::warn!(requests = node.active.get(); "ending requests at the shutdown bound");
    node.last_steps.answers_due.cancel();
    if !drained_by(node, schedule.exit_ms).await {
        log::warn!(requests = node.active.get(); "answers are not sent at the shutdown bound");
    }
    DrainOutcome::Cut
}

/// Waits until no request is active, at most until `until_ms`. Returns whether that is so.
async fn drained_by(node: &Node, until_ms: Millis) -> bool {
    let drained = async {
        while node.active.get() > 0 {
            sleep(POLL).await;
        }
    };
    let left = Duration::from_millis(until_ms.saturating_sub(node.now()));
    timeout(left, drained).await.is_ok()
}
