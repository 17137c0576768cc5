//! Callers plug-in: the chat and text completion protocol, served over routes of model runners.
//!
//! A handler reads and validates a request and hands it to a driver task. The driver asks the
//! policy for admission and a route, runs attempts and sends the parts of the answer through a
//! channel; the handler encodes them as one JSON body or a stream of server-sent events. The
//! driver has a task of its own because the server drops a handler when its caller disconnects,
//! and the attempt must then still be cancelled at the runner.

mod accept;
mod answer;
mod attempt;
mod driver;
mod handler;
mod prompt;
mod retry_state;
mod run_evidence;
mod stall;

use jacinthweir_kernel::plugin;
use jacinthweir_kernel::prelude::*;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static CALLERS: Plugin = Plugin {
    name: "callers",
    spawn: plugin::no_tasks,
    routes,
    dump,
};

fn routes(cx: &Arc<Kernel>, kind: ListenerKind) -> Vec<Router> {
    match kind {
        ListenerKind::Callers => handler::routes(cx),
        ListenerKind::Peers | ListenerKind::Operators => Vec::new(),
    }
}

fn dump(cx: &Kernel) -> serde_json::Value {
    serde_json::json!({
        "requests": cx.records.counts(),
        "pipelines": retry_state::RetryStates::of(cx).rows(),
    })
}
