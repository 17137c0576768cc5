//! Upstreams plug-in: observes upstreams and keeps the route plan up to date.
//!
//! One loop reads the platform's instance list, which lags behind; one polls the upstreams that
//! this instance observes; one passes changes, seen here or by a peer, to the route plan and to
//! admission. All decisions are made in [`jacinthweir_policy::upstreams`] and
//! [`jacinthweir_policy::route`].

mod cache;
mod capacity;
mod feed;
mod list;
mod poll;

use jacinthweir_kernel::plugin;
use jacinthweir_kernel::prelude::*;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static UPSTREAMS: Plugin = Plugin {
    name: "upstreams",
    spawn,
    routes: plugin::no_routes,
    dump,
};

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(list::run(Arc::clone(cx)));
    cx.spawn(poll::run(Arc::clone(cx)));
    cx.spawn(feed::run(Arc::clone(cx)));
    Ok(())
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let upstreams = cx.upstreams().dump(cx.clock.now());
    serde_json::json!({
        "upstreams": upstreams,
        "routes": cx.router().state().to_string(),
        "admission": format!("{:?}", cx.gate.dump()),
    })
}
