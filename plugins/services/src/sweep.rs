//! Deletes expired claims at a limited rate.
//!
//! Each organisation's claims are swept by one instance. Every round sweeps the newest time span
//! that may be deleted and one older span, in turn, so that spans missed while no instance ran are
//! still swept in time.

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::claim::{Sweep, sweeper_of};

use crate::driver::claim_config;

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_secs(3_600);
/// Maximum delay of the first round, chosen at random so that instances that start together do not
/// sweep together.
const MAX_START_DELAY_S: u64 = 600;
/// Number of older spans that are swept in turn: 32 spans of 4.7 hours cover six days.
const OLDER_SPANS: usize = 32;
/// Maximum deletions per second of all instances together: each is a write to the platform.
const MAX_DELETIONS_PER_S: f64 = 20.0;

/// Sweeps until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let first = rand::random_range(1..=MAX_START_DELAY_S);
    tokio::time::sleep(Duration::from_secs(first)).await;
    let mut older = 1;
    loop {
        round(&cx, older).await;
        older = older % OLDER_SPANS + 1;
        tokio::time::sleep(ROUND_PERIOD).await;
    }
}

async fn round(cx: &Arc<Kernel>, older: usize) {
    let unix_ms = cx.clock.unix_ms();
    let Some(newest) = Sweep::newest(unix_ms, &claim_config(cx)) else {
        return;
    };
    let older = std::iter::successors(Some(newest), |span| span.before()).nth(older);
    for organisation in own_organisations(cx) {
        for span in [Some(newest), older].into_iter().flatten() {
            sweep(cx, &span.prefix(&organisation)).await;
        }
    }
}

/// Returns the organisations whose claims this instance sweeps.
fn own_organisations(cx: &Kernel) -> Vec<Name> {
    let config = cx.config.get();
    let Some(config) = config.served() else {
        return Vec::new();
    };
    let live: Vec<Name> = cx.membership().live().map(|s| s.name.clone()).collect();
    let own = &cx.settings.name;
    let orgs = config.schema.orgs().values();
    orgs.filter(|org| sweeper_of(&org.name, &live) == Some(own))
        .map(|org| org.name.clone())
        .collect()
}

async fn sweep(cx: &Kernel, prefix: &str) {
    let listed = match cx.platform.list(prefix).await {
        Ok(listed) => listed,
        Err(e) => {
            record_failure();
            return info!("claims {prefix}* could not be listed: {e}");
        }
    };
    let cfg = claim_config(cx);
    let pause = Duration::from_secs_f64(cx.live_instances().max(1) as f64 / MAX_DELETIONS_PER_S);
    for object in listed.objects {
        if !Sweep::may_delete(&object.key, cx.clock.unix_ms(), &cfg) {
            continue;
        }
        match cx.platform.delete(&object.key, object.version).await {
            Ok(_) => metrics::counter!("jacinthweir_claims_deleted_total").increment(1),
            Err(e) => {
                record_failure();
                info!("claim {} could not be deleted: {e}", object.key);
            }
        }
        tokio::time::sleep(pause).await;
    }
}

fn record_failure() {
    metrics::counter!("jacinthweir_platform_errors_total", "call" => "sweep").increment(1);
}
