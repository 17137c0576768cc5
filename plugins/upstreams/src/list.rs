//! Polls the platform's instance list.

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_wire::platform::{ENTRY_GROUP, ListedInstance};

/// Polls the list until the instance stops.
///
/// During an outage of the platform the last list remains valid; upstreams that leave meanwhile
/// announce it themselves.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.list_poll_ms);
    let mut rejected = 0;
    loop {
        match cx.platform.instances().await {
            Ok(list) => {
                if list.rejected != rejected {
                    rejected = list.rejected;
                    warn!(rejected; "entries of the instance list cannot be decoded, the others are used");
                }
                metrics::gauge!("jacinthweir_listed_instances_rejected").set(rejected as f64);
                apply_list(&cx, &list.instances);
            }
            Err(e) => {
                metrics::counter!("jacinthweir_platform_errors_total", "call" => "instances")
                    .increment(1);
                debug!("instance list could not be read: {e}");
            }
        }
        tokio::time::sleep(period).await;
    }
}

fn apply_list(cx: &Kernel, list: &[ListedInstance]) {
    let now = cx.clock.reading();
    let entry = list.iter().filter(|l| *l.group == *ENTRY_GROUP);
    let entry: Vec<ListedInstance> = entry.cloned().collect();
    cx.membership().listed(now, &entry);
    cx.upstreams().listed(now, list);
}
