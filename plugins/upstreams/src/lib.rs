//! The upstreams' plug-in: keeps the route plan and the table of plain services up to date.
//!
//! One loop reads the platform's list of instances, which lags; one loop a runner polls its load.
//! What they learn goes into the policy, which decides what is open for new work.

mod capacity;
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
    cx.spawn(capacity::run(Arc::clone(cx)));
    Ok(())
}

fn routes(_cx: &Arc<Kernel>, _face: Face) -> Vec<Router> {
    Vec::new()
}

fn dump(cx: &Kernel) -> serde_json::Value {
    serde_json::json!({
        "upstreams": cx.upstreams().to_string(),
        "routes": format!("{:?}", cx.router().fleet()),
        "admission": format!("{:?}", cx.gate.dump()),
    })
}
