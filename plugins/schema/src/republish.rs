//! Writes the accepted head back over an older one that stands on the platform.

use std::sync::Arc;

use jacinthweir_kernel::Kernel;
use jacinthweir_policy::config::parts::PartText;
use jacinthweir_wire::peer::Head;
use log::{info, warn};

use crate::commit::{self, Committed};
use crate::head;

/// Writes `head` over the object at version `over`, in a task of its own. Only the instances that
/// watch do it: one is enough, and the compare-and-set lets only one succeed.
pub(crate) fn spawn(cx: &Arc<Kernel>, accepted: Arc<Head>, over: u64) {
    if !head::is_watcher(cx) {
        return;
    }
    let task = Arc::clone(cx);
    cx.spawn(async move {
        if let Err(e) = commit::write_parts(&task, parts(&task, &accepted)).await {
            warn!(
                "revision {}: parts not written back: {e}",
                accepted.revision
            );
            return;
        }
        match commit::write_head(&task, &accepted, over).await {
            Committed::Yes => info!("revision {} is written back", accepted.revision),
            Committed::Overtaken => {}
            Committed::No { .. } | Committed::Unconfirmed => {
                warn!(
                    "revision {}: not known to be written back",
                    accepted.revision
                );
            }
        }
    });
}

fn parts(cx: &Kernel, accepted: &Head) -> Vec<PartText> {
    let held = accepted.parts.iter().filter_map(|part| {
        let text = cx.parts.get(&part.hash)?;
        Some(PartText {
            part: part.clone(),
            text,
        })
    });
    held.collect()
}
