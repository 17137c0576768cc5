//! Reads the head from the platform: a few instances watch it, the others poll.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::converge::Event;
use jacinthweir_policy::config::watch::{rank, should_watch};
use jacinthweir_policy::relay::store_pacing::{WatchPacing, WatchResult};
use jacinthweir_wire::peer::Head;
use rand::RngExt;

use crate::drive::{drive, drive_on_worker};
use crate::keys;

/// Delay after a failed call, which doubles with each further one, and the longest one, in milliseconds. Jitter
/// of up to the same amount is added, so that instances do not return in step to a platform that has recovered.
const RETRY_DELAY_MS: u64 = 300;
const MAX_RETRY_DELAY_MS: u64 = 1_200;

/// The head as stored on the platform.
pub(crate) struct StoredHead {
    /// The head, if there is one.
    pub(crate) head: Option<Arc<Head>>,
    /// Version of the object; 0 if absent.
    pub(crate) version: u64,
}

/// Tracks the head until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut tracker = Tracker::default();
    let mut failures = 0;
    loop {
        match tracker.follow(&cx).await {
            Ok(()) => failures = 0,
            Err(e) => {
                debug!("head could not be read: {e}");
                metrics::counter!("jacinthweir_platform_errors_total", "call" => "head")
                    .increment(1);
                drive(&cx, Event::PlatformFailed);
                tracker.version = None;
                tokio::time::sleep(retry_delay(failures)).await;
                failures += 1;
            }
        }
    }
}

fn retry_delay(failures: u32) -> Duration {
    let ms = MAX_RETRY_DELAY_MS.min(RETRY_DELAY_MS << failures.min(8));
    Duration::from_millis(ms + rand::rng().random_range(0..ms))
}

/// What is known of the head, and of the calls that led to it.
#[derive(Default)]
struct Tracker {
    /// Position from which the next watch continues.
    after: u64,
    /// Version of the head that was read last; `None` after a failed call.
    version: Option<u64>,
    pacing: WatchPacing,
}

impl Tracker {
    /// Reads the head, and waits until it may have changed.
    ///
    /// A wait that ended early without another head is followed by a pause: the platform may answer each watch
    /// at once, and the calls that all instances may make are limited.
    async fn follow(&mut self, cx: &Arc<Kernel>) -> Result<(), ClientError> {
        if self.version.is_none() {
            self.read(cx).await?;
        }
        let began_ms = cx.clock.now();
        self.after = wait_for_change(cx, self.after).await?;
        let lasted_ms = cx.clock.now().saturating_sub(began_ms);
        let is_other = self.read(cx).await?;
        let pause_ms = self.pacing.record(WatchResult {
            changes: usize::from(is_other),
            got_on: is_other,
            lasted_ms,
            timeout_ms: cx.settings.timing.head_poll_ms,
        });
        if pause_ms > 0 {
            metrics::counter!("jacinthweir_platform_idle_watches_total").increment(1);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        Ok(())
    }

    /// Reads the head and passes it to the convergence. Returns whether it is another one than before.
    async fn read(&mut self, cx: &Arc<Kernel>) -> Result<bool, ClientError> {
        let asked_at = cx.elapsed_ms();
        let stored = read(cx).await?;
        let before = self.version.replace(stored.version);
        let is_other = before != Some(stored.version);
        handle_head(cx, stored, asked_at).await;
        Ok(is_other)
    }
}

/// Waits until the head may have changed; returns the watch position to continue from.
async fn wait_for_change(cx: &Kernel, after: u64) -> Result<u64, ClientError> {
    let period = Duration::from_millis(cx.settings.timing.head_poll_ms);
    if !is_watcher(cx) {
        tokio::time::sleep(period).await;
        return Ok(after);
    }
    let answer = cx.platform.watch(keys::HEAD, after, period).await?;
    // A restored platform may count from a lower number again, so its own number is always used.
    Ok(answer.next)
}

/// Whether this instance watches the head.
pub(crate) fn is_watcher(cx: &Kernel) -> bool {
    should_watch(&cx.settings.name, &live_instances(cx))
}

/// Whether this instance is the one that runs garbage collection of parts.
pub(crate) fn collects_garbage(cx: &Kernel) -> bool {
    rank(&cx.settings.name, &live_instances(cx)) == 0
}

fn live_instances(cx: &Kernel) -> Vec<Name> {
    let membership = cx.membership();
    membership.peers().map(|s| s.name.clone()).collect()
}

/// Passes the stored head to the convergence. It was read at `asked_at` or later, on the
/// convergence's clock.
pub(crate) async fn handle_head(cx: &Arc<Kernel>, stored: StoredHead, asked_at: Millis) {
    let StoredHead { head, version } = stored;
    let event = Event::PlatformHead {
        head,
        version,
        asked_at,
    };
    drive_on_worker(cx, event).await;
}

/// Reads the stored head.
pub(crate) async fn read(cx: &Kernel) -> Result<StoredHead, ClientError> {
    let Some(object) = cx.platform.get(keys::HEAD).await? else {
        return Ok(StoredHead {
            head: None,
            version: 0,
        });
    };
    let head: Head = serde_json::from_str(&object.value).map_err(|e| ClientError::BadAnswer {
        cause: format!("the head cannot be read: {e}"),
    })?;
    Ok(StoredHead {
        head: Some(Arc::new(head)),
        version: object.version,
    })
}
