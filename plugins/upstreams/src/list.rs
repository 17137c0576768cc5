//! Reads the platform's list of instances.

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_wire::platform::{ENTRY_GROUP, ListedInstance};

/// Reads the list over and over. The platform may be out for long: what was listed last stands,
/// and upstreams that leave meanwhile say so themselves.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.list_poll_ms);
    loop {
        match cx.platform.instances().await {
            Ok(list) => take(&cx, &list.instances),
            Err(e) => {
                metrics::counter!("jacinthweir_platform_errors_total", "call" => "instances")
                    .increment(1);
                debug!("instance list: {e}");
            }
        }
        tokio::time::sleep(period).await;
    }
}

fn take(cx: &Kernel, list: &[ListedInstance]) {
    let now = cx.clock.reading();
    let entry = list.iter().filter(|l| *l.group == *ENTRY_GROUP);
    let entry: Vec<ListedInstance> = entry.cloned().collect();
    cx.membership().listed(now, &entry);
    cx.upstreams().listed(now, list);
}
