//! Writes the accepted head back over an older one stored on the platform.

use std::sync::Arc;

use jacinthweir_kernel::Kernel;
use jacinthweir_policy::config::parts::PartText;
use jacinthweir_wire::peer::Head;
use log::{info, warn};

use crate::commit::{self, CommitOutcome};
use crate::head;

/// Writes `accepted` over the head stored at version `over`, in a new task.
///
/// Only the instances that watch the head do so: one is enough, and the compare-and-set lets only
/// one succeed.
pub(crate) fn spawn(cx: &Arc<Kernel>, accepted: Arc<Head>, over: u64) {
    if !head::is_watcher(cx) {
        return;
    }
    let task = Arc::clone(cx);
    cx.spawn(async move {
        if let Err(e) = commit::write_parts(&task, held_parts(&task, &accepted)).await {
            warn!(
                "revision {}: parts not written back: {e}",
                accepted.revision
            );
            return;
        }
        match commit::write_head(&task, &accepted, over).await {
            CommitOutcome::Committed => info!("revision {} is written back", accepted.revision),
            CommitOutcome::Superseded => {}
            CommitOutcome::NotCommitted { .. } | CommitOutcome::Unconfirmed => {
                warn!(
                    "revision {}: not known to be written back",
                    accepted.revision
                );
            }
        }
    });
}

fn held_parts(cx: &Kernel, accepted: &Head) -> Vec<PartText> {
    let held = accepted.parts.iter().filter_map(|part| {
        let text = cx.parts.get(&part.hash)?;
        Some(PartText {
            part: part.clone(),
            text,
        })
    });
    held.collect()
}
