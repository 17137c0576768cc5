//! Fetches parts from the sources that the convergence names.

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::converge::{Event, Source};
use jacinthweir_policy::config::parts::MAX_PART_BYTES;
use jacinthweir_wire::peer::PartRef;

use crate::drive::drive_on_worker;
use crate::keys;

/// Fetches a part in a new task, which passes the result to the convergence as an event.
pub(crate) fn spawn(cx: &Arc<Kernel>, part: PartRef, from: Source) {
    let task = Arc::clone(cx);
    cx.spawn(async move {
        let fetched = match &from {
            Source::Platform => fetch_from_platform(&task, &part.hash).await,
            Source::Peer(name) => fetch_from_peer(&task, name, &part.hash).await,
        };
        let hash = part.hash;
        let source = if from == Source::Platform {
            "platform"
        } else {
            "peer"
        };
        metrics::counter!("jacinthweir_config_fetches_total", "source" => source).increment(1);
        let event = match fetched {
            Ok(text) => Event::PartArrived { hash, text, from },
            Err(cause) => {
                debug!("part {hash} could not be fetched from {from}: {cause}");
                Event::FetchFailed { hash, from }
            }
        };
        drive_on_worker(&task, event).await;
    });
}

async fn fetch_from_platform(cx: &Kernel, hash: &str) -> Result<Name, String> {
    let found = cx.platform.get(&keys::part(hash)).await;
    let object = found.map_err(|e| e.to_string())?;
    object
        .map(|object| object.value.into())
        .ok_or_else(|| "absent".to_owned())
}

async fn fetch_from_peer(cx: &Kernel, name: &str, hash: &str) -> Result<Name, String> {
    let address = cx
        .peer_address(name)
        .ok_or("not among the live instances")?;
    let found = cx.peers.part(address, hash).await;
    let bytes = found.map_err(|e| e.to_string())?.ok_or("absent")?;
    if bytes.len() > MAX_PART_BYTES {
        return Err("too large".to_owned());
    }
    let text = std::str::from_utf8(&bytes).map_err(|e| e.to_string())?;
    Ok(text.into())
}
