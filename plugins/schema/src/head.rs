//! Reads the head from the platform: by a watch on a few instances, by polling on the others.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::converge::Event;
use jacinthweir_policy::config::watch::{rank, should_watch};
use jacinthweir_wire::peer::Head;
use rand::RngExt;

use crate::drive::{drive, drive_long};
use crate::keys;

/// Pause after a failed call, in milliseconds; up to as much again is added at random, so that
/// instances do not return to a platform that comes back in step.
const FAILED_PAUSE_MS: u64 = 300;

/// A head as it stands on the platform.
pub(crate) struct Standing {
    /// The head; absent: none.
    pub(crate) head: Option<Arc<Head>>,
    /// Version of the object; 0: absent.
    pub(crate) version: u64,
}

/// Follows the head until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut after = 0;
    loop {
        let next = match read_and_drive(&cx).await {
            Ok(()) => wait(&cx, after).await,
            Err(e) => Err(e),
        };
        match next {
            Ok(next) => after = next,
            Err(e) => {
                debug!("head: {e}");
                metrics::counter!("jacinthweir_platform_errors_total", "call" => "head")
                    .increment(1);
                drive(&cx, Event::PlatformFailed);
                let ms = FAILED_PAUSE_MS + rand::rng().random_range(0..FAILED_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
    }
}

/// Waits until the head may have changed; gives the number to watch after.
async fn wait(cx: &Kernel, after: u64) -> Result<u64, ClientError> {
    let period = Duration::from_millis(cx.settings.timing.head_poll_ms);
    if !is_watcher(cx) {
        tokio::time::sleep(period).await;
        return Ok(after);
    }
    let answer = cx.platform.watch(keys::HEAD, after, period).await?;
    // A platform that was restored counts from a lower number again; its own is then taken.
    Ok(answer.next)
}

/// Whether this instance watches the head.
pub(crate) fn is_watcher(cx: &Kernel) -> bool {
    should_watch(&cx.settings.name, &live(cx))
}

/// Whether this instance is the one that cleans up.
pub(crate) fn is_cleaner(cx: &Kernel) -> bool {
    rank(&cx.settings.name, &live(cx)) == 0
}

fn live(cx: &Kernel) -> Vec<Name> {
    let membership = cx.membership();
    membership.peers().map(|s| s.name.clone()).collect()
}

async fn read_and_drive(cx: &Arc<Kernel>) -> Result<(), ClientError> {
    let asked_at = cx.elapsed_ms();
    let standing = read(cx).await?;
    take(cx, standing, asked_at).await;
    Ok(())
}

/// Takes in what stands, read at `asked_at` of the convergence's clock or later.
pub(crate) async fn take(cx: &Arc<Kernel>, standing: Standing, asked_at: Millis) {
    let Standing { head, version } = standing;
    let event = Event::PlatformHead {
        head,
        version,
        asked_at,
    };
    drive_long(cx, event).await;
}

/// Reads the head as it stands.
pub(crate) async fn read(cx: &Kernel) -> Result<Standing, ClientError> {
    let Some(object) = cx.platform.get(keys::HEAD).await? else {
        return Ok(Standing {
            head: None,
            version: 0,
        });
    };
    let head: Head = serde_json::from_str(&object.value).map_err(|e| ClientError::BadAnswer {
        cause: format!("the head cannot be read: {e}"),
    })?;
    Ok(Standing {
        head: Some(Arc::new(head)),
        version: object.version,
    })
}
