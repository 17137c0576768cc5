//! Schema plug-in: keeps the newest configuration in force and applies operators' changes.
//!
//! The decisions are made by [`jacinthweir_policy::config`]. The tasks here read the head from the
//! platform ([`head`]), learn of newer heads from peers ([`peers`]) and fetch parts ([`fetch`]).
//! They pass events to the convergence, whose actions [`drive`] executes. [`apply`] commits
//! changes.

mod apply;
mod commit;
mod drive;
mod fetch;
mod garbage_collection;
mod head;
mod keys;
mod operators;
mod peers;
mod republish;
mod status;
mod worker;

use jacinthweir_kernel::prelude::*;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static SCHEMA: Plugin = Plugin {
    name: "schema",
    spawn,
    routes,
    dump,
};

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(head::run(Arc::clone(cx)));
    cx.spawn(peers::run(Arc::clone(cx)));
    cx.spawn(garbage_collection::run(Arc::clone(cx)));
    Ok(())
}

fn routes(cx: &Arc<Kernel>, kind: ListenerKind) -> Vec<Router> {
    match kind {
        ListenerKind::Operators => operators::routes(cx),
        ListenerKind::Peers => peers::routes(cx),
        ListenerKind::Callers => Vec::new(),
    }
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let convergence = cx.convergence();
    let in_force = convergence.in_force();
    serde_json::json!({
        "revision": in_force.map(|applied| applied.head.revision),
        "commits": in_force.map(|applied| applied.head.history.len()),
        "schema": in_force.map(|applied| applied.schema.to_string()),
        "fetching": convergence.target(),
        "serve_until_ms": convergence.serve_until(),
        "now_ms": cx.elapsed_ms(),
        "platform_reached": convergence.platform_reached(),
        "counters": convergence.counters(),
        "parts": cx.parts.size(),
    })
}
