//! Reads the platform's list of instances.

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::upstreams::UpstreamState;
use jacinthweir_policy::route::CloseReason;
use jacinthweir_wire::platform::{ENTRY_GROUP, ListedInstance};

/// Reads the list over and over. The platform may be out for long: what was listed last stands,
/// and upstreams that leave meanwhile say so themselves.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.list_poll_ms);
    loop {
        match cx.platform.instances().await {
            Ok(list) => take(&cx, list.instances),
            Err(e) => {
                metrics::counter!("jacinthweir_platform_errors_total", "call" => "instances")
                    .increment(1);
                debug!("instance list: {e}");
            }
        }
        tokio::time::sleep(period).await;
    }
}

fn take(cx: &Kernel, list: Vec<ListedInstance>) {
    let (own, upstreams): (Vec<_>, Vec<_>) = list
        .into_iter()
        .partition(|l| l.group.as_ref() == ENTRY_GROUP);
    cx.upstreams().listed(&upstreams);
    cx.membership().listed(cx.clock.reading(), &own);
    let now = cx.clock.now();
    let mut router = cx.router();
    for upstream in cx.upstreams().all() {
        let reason = match upstream.state {
            UpstreamState::Open => continue,
            UpstreamState::Leaving => CloseReason::Leaving,
            UpstreamState::Unlisted => CloseReason::Suspected,
        };
        router.close(now, &upstream.listed.name, reason);
    }
}
