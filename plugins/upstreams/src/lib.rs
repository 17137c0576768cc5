//! The upstreams' plug-in: observes upstreams and keeps the route plan up to date.
//!
//! One loop reads the platform's list of instances, which lags; one polls the upstreams that this
//! instance is an observer of; one feeds what changed, here or at a peer, into the route plan and
//! admission. Decisions are all in [`jacinthweir_policy::upstreams`] and
//! [`jacinthweir_policy::route`].

mod cache;
mod capacity;
mod feed;
mod list;
mod poll;

use jacinthweir_kernel::prelude::*;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static UPSTREAMS: Plugin = Plugin {
    name: "upstreams",
    spawn,
    routes,
    dump,
};

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(list::run(Arc::clone(cx)));
    cx.spawn(poll::run(Arc::clone(cx)));
    cx.spawn(feed::run(Arc::clone(cx)));
    Ok(())
}

fn routes(_cx: &Arc<Kernel>, _face: Face) -> Vec<Router> {
    Vec::new()
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let upstreams = cx.upstreams().dump(cx.clock.now());
    serde_json::json!({
        "upstreams": upstreams,
        "routes": cx.router().state().to_string(),
        "admission": format!("{:?}", cx.gate.dump()),
    })
}
