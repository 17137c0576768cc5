//! Garbage collection of parts that the head no longer references, run by the instance of rank 0.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::garbage_collection::{
    UnreferencedParts, deletable, unreferenced_parts,
};
use jacinthweir_policy::config::lineage::{Relation, relation};

use crate::head::{self, StoredHead};
use crate::keys;

/// Pause after each deletion, which is one of the writes that all instances together may make.
const DELETION_PAUSE: Duration = Duration::from_millis(50);

/// Collects periodically until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.part_clean_ms);
    let mut previous = UnreferencedParts::new();
    loop {
        tokio::time::sleep(period).await;
        if !head::collects_garbage(&cx) {
            previous.clear();
            continue;
        }
        match collect(&cx, &previous).await {
            Ok(unreferenced) => previous = unreferenced,
            Err(e) => debug!("garbage collection of parts failed: {e}"),
        }
    }
}

/// Deletes the parts that were unreferenced in this pass and the previous one; returns those
/// unreferenced in this pass.
async fn collect(
    cx: &Kernel,
    previous: &UnreferencedParts,
) -> Result<UnreferencedParts, ClientError> {
    let StoredHead { head, version } = head::read(cx).await?;
    let Some(head) = head.filter(|head| is_in_force(cx, head)) else {
        return Ok(UnreferencedParts::new());
    };
    let listed = cx.platform.list(keys::PARTS).await?;
    let parts = listed.objects.iter().filter(|object| object.version > 0);
    let parts = parts.filter_map(|object| {
        let hash = object.key.strip_prefix(keys::PARTS)?;
        Some((Name::from(hash), object.version))
    });
    let unreferenced = unreferenced_parts(&head, version, parts);
    for (hash, version) in deletable(previous, &unreferenced) {
        delete(cx, &hash, version).await;
        tokio::time::sleep(DELETION_PAUSE).await;
    }
    Ok(unreferenced)
}

/// Deletes a part. One that cannot be deleted does not keep the others; a later pass tries it again.
async fn delete(cx: &Kernel, hash: &str, version: u64) {
    match cx.platform.delete(&keys::part(hash), version).await {
        Ok(true) => metrics::counter!("jacinthweir_config_parts_deleted_total").increment(1),
        Ok(false) => {}
        Err(e) => {
            metrics::counter!("jacinthweir_platform_errors_total", "call" => "delete_part")
                .increment(1);
            debug!("a part could not be deleted: {e}");
        }
    }
}

/// Whether the stored head is the one in force here.
///
/// After a rollback or a fork of the platform nothing is deleted: the parts that the stored head
/// does not reference may be in force.
fn is_in_force(cx: &Kernel, head: &jacinthweir_wire::peer::Head) -> bool {
    let applied = cx.convergence().in_force().cloned();
    applied.is_some_and(|applied| relation(&applied.head, head) == Relation::Same)
}
