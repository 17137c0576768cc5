//! Deletes parts that no head names any more; one instance does, by rank.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::garbage_collection::{
    UnreferencedParts, deletable, unreferenced_parts,
};
use jacinthweir_policy::config::lineage::{Relation, relation};

use crate::head::{self, Standing};
use crate::keys;

/// Looks over and over until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.part_clean_ms);
    let mut before = UnreferencedParts::new();
    loop {
        tokio::time::sleep(period).await;
        if !head::is_cleaner(&cx) {
            before.clear();
            continue;
        }
        match clean(&cx, &before).await {
            Ok(now) => before = now,
            Err(e) => debug!("clean-up of parts: {e}"),
        }
    }
}

/// Deletes what this look and the one before found needless; gives what this one found.
async fn clean(cx: &Kernel, before: &UnreferencedParts) -> Result<UnreferencedParts, ClientError> {
    let Standing { head, version } = head::read(cx).await?;
    let Some(head) = head.filter(|head| is_in_force(cx, head)) else {
        return Ok(UnreferencedParts::new());
    };
    let listed = cx.platform.list(keys::PARTS).await?;
    let parts = listed.objects.iter().filter(|object| object.version > 0);
    let parts = parts.filter_map(|object| {
        let hash = object.key.strip_prefix(keys::PARTS)?;
        Some((Name::from(hash), object.version))
    });
    let now = unreferenced_parts(&head, version, parts);
    for (hash, version) in deletable(before, &now) {
        if cx.platform.delete(&keys::part(&hash), version).await? {
            metrics::counter!("jacinthweir_config_parts_deleted_total").increment(1);
        }
    }
    Ok(now)
}

/// A platform that went back or forked is left as it is: what it lacks is in force elsewhere.
fn is_in_force(cx: &Kernel, head: &jacinthweir_wire::peer::Head) -> bool {
    let applied = cx.convergence().in_force().cloned();
    applied.is_some_and(|applied| relation(&applied.head, head) == Relation::Same)
}
