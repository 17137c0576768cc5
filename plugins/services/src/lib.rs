//! Services plug-in: `POST /v1/services/{service}/{call}`, one call to a service.
//!
//! A handler reads and validates the call and hands it to a driver task. The driver has a task of
//! its own because the server drops a handler when its caller disconnects, and a call that was sent
//! must still have its outcome recorded.
//!
//! | call | idempotency key | what the driver does |
//! |---|---|---|
//! | idempotent | any | sends it; if an attempt is lost, retries within the retry budget |
//! | non-idempotent | none | sends it; retries elsewhere only if nothing of it ran |
//! | non-idempotent | given | the same, under a claim ([`jacinthweir_policy::claim`]) |

mod accept;
mod answer;
mod claimed;
mod dispatch;
mod driver;
mod handler;
mod limits;
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

fn routes(cx: &Arc<Kernel>, kind: ListenerKind) -> Vec<Router> {
    match kind {
        ListenerKind::Callers => handler::routes(cx),
        ListenerKind::Peers | ListenerKind::Operators => Vec::new(),
    }
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let cfg = driver::claim_config(cx);
    serde_json::json!({
        "claim_retention_ms": cfg.retention_ms,
        "claim_margin_ms": cfg.margin_ms,
    })
}
