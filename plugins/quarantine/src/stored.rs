//! Reads the crashes that the platform has when an instance starts.
//!
//! Others may write objects there, some of which cannot be read. Each is therefore read for itself, and one
//! that fails is tried again after the others, so that what is quarantined for the rest is known at once.

use std::collections::VecDeque;
use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::quarantine::{CrashReport, FormerRecord};
use jacinthweir_wire::platform::ObjectVersion;
use tokio::sync::mpsc::UnboundedSender;

use crate::KEYS;

/// Maximum number of objects that are read, the newest ones: several times the crashes that an instance keeps.
const MAX_READ: usize = 256;

/// First pause after a failed call to the platform, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Pauses between failed calls to the platform, which double up to a maximum.
struct Pauses(Duration);

impl Pauses {
    /// Records a failed call, and waits before the next one.
    async fn after_failure(&mut self, error: &ClientError) {
        metrics::counter!("jacinthweir_platform_errors_total", "call" => "quarantine").increment(1);
        debug!("cannot read what is quarantined: {error}");
        tokio::time::sleep(self.0).await;
        self.0 = MAX_PAUSE.min(self.0 * 2);
    }
}

/// Reads and merges the stored crashes, until each is read. Sends the keys that are not needed any more, since
/// former releases wrote them.
pub(crate) async fn read(cx: &Kernel, former: UnboundedSender<String>) {
    let mut keys = list(cx).await;
    let mut held = 0;
    let mut pauses = Pauses(FIRST_PAUSE);
    while let Some(key) = keys.pop_front() {
        match read_one(cx, &key).await {
            Ok(Stored::Current) => held += 1,
            Ok(Stored::Former) => {
                held += 1;
                // The receiver ends with the instance.
                let _ = former.send(key);
            }
            Ok(Stored::Nothing) => {}
            Err(e) => {
                keys.push_back(key);
                pauses.after_failure(&e).await;
            }
        }
    }
    if held > 0 {
        info!(held; "quarantine read");
    }
}

/// Lists the keys to read, the oldest first: a later crash takes the place of an earlier one.
async fn list(cx: &Kernel) -> VecDeque<String> {
    let mut pauses = Pauses(FIRST_PAUSE);
    let mut objects = loop {
        match cx.platform.list(KEYS).await {
            Ok(listed) => break listed.objects,
            Err(e) => pauses.after_failure(&e).await,
        }
    };
    objects.retain(|o| o.version > 0);
    objects.sort_unstable_by_key(|o| o.version);
    let passed_over = objects.len().saturating_sub(MAX_READ);
    if passed_over > 0 {
        warn!(passed_over, read = MAX_READ; "too many objects are stored as quarantined, the oldest are not read");
    }
    let newest = objects.drain(passed_over..);
    newest.map(|ObjectVersion { key, .. }| key).collect()
}

/// What an object was.
enum Stored {
    Current,
    /// Written by a former release.
    Former,
    Nothing,
}

async fn read_one(cx: &Kernel, key: &str) -> Result<Stored, ClientError> {
    let Some(object) = cx.platform.get(key).await? else {
        return Ok(Stored::Nothing);
    };
    let error = match serde_json::from_str::<CrashReport>(&object.value) {
        Ok(report) => {
            cx.merge_crash_reports(&[report]);
            return Ok(Stored::Current);
        }
        Err(e) => e,
    };
    let Ok(record) = serde_json::from_str::<FormerRecord>(&object.value) else {
        warn!("bad crash report {key}: {error}");
        return Ok(Stored::Nothing);
    };
    cx.merge_crash_reports(&Vec::from(record));
    Ok(Stored::Former)
}
