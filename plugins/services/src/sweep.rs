//! Deletes expired claims, slowly.
//!
//! Each organisation's claims are swept by one instance. Every round looks at the newest span
//! that may be deleted and at one older span, in turn, so that spans that were missed while no
//! instance ran are found in time.

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::claim::{Sweep, sweeper_of};

use crate::driver::claim_config;

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(3_600);
/// Longest time before the first round: instances that start together don't sweep together.
const FIRST_ROUND_SECS: u64 = 600;
/// Older spans that are looked at in turn: 32 of 4.7 hours are six days.
const OLDER_SPANS: usize = 32;
/// Deletions a second that all instances together may make: they are writes of the platform.
const DELETIONS_PER_S: f64 = 20.0;

/// Sweeps until the instance ends.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let first = rand::random_range(1..=FIRST_ROUND_SECS);
    tokio::time::sleep(Duration::from_secs(first)).await;
    let mut older = 1;
    loop {
        round(&cx, older).await;
        older = older % OLDER_SPANS + 1;
        tokio::time::sleep(ROUND).await;
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

/// Organisations whose claims this instance sweeps.
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
        Err(e) => return info!("claims {prefix}* not listed: {e}"),
    };
    let cfg = claim_config(cx);
    let pause = Duration::from_secs_f64(cx.live_instances().max(1) as f64 / DELETIONS_PER_S);
    for object in listed.objects {
        if !Sweep::may_delete(&object.key, cx.clock.unix_ms(), &cfg) {
            continue;
        }
        match cx.platform.delete(&object.key, object.version).await {
            Ok(_) => metrics::counter!("jacinthweir_claims_deleted_total").increment(1),
            Err(e) => info!("claim {} not deleted: {e}", object.key),
        }
        tokio::time::sleep(pause).await;
    }
}
