//! The services' plug-in: `POST /v1/services/{service}/{call}`, one call of a plain service.
//!
//! A handler reads and checks the call and hands it to a driver task, which is a task of its own:
//! the server drops a handler when its caller leaves, and a call that was sent must still have
//! its outcome recorded.
//!
//! | call | key from the caller | what the driver does |
//! |---|---|---|
//! | idempotent | any | sends it, again elsewhere if an attempt is lost, within the retry budget |
//! | non-idempotent | none | sends it once; again elsewhere only where nothing of it ran |
//! | non-idempotent | given | the same, under a claim in the platform ([`jacinthweir_policy::claim`]) |

mod accept;
mod answer;
mod claimed;
mod dispatch;
mod driver;
mod handler;
mod sweep;

use jacinthweir_kernel::prelude::*;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static SERVICES: Plugin = Plugin {
    name: "services",
    spawn,
    routes,
    dump,
};

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(sweep::run(Arc::clone(cx)));
    Ok(())
}

fn routes(cx: &Arc<Kernel>, face: Face) -> Vec<Router> {
    match face {
        Face::Callers => handler::routes(cx),
        Face::Peers | Face::Operators => Vec::new(),
    }
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let cfg = driver::claim_config(cx);
    serde_json::json!({
        "claim_retention_ms": cfg.retention_ms,
        "claim_margin_ms": cfg.margin_ms,
    })
}
