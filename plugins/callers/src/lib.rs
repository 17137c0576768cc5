//! The callers' plug-in: the field's usual completion protocol over routes of model runners.
//!
//! A handler reads and checks a request and hands it to a driver task. The driver asks the policy
//! for admission and a route, runs attempts and sends what the caller is to see through a
//! channel; the handler turns that into one JSON body or a stream of server-sent events. The
//! driver is a task of its own, since the server drops a handler when its caller leaves, and an
//! attempt must then still be cancelled at the runner.

mod accept;
mod answer;
mod attempt;
mod driver;
mod handler;
mod pace;
mod prompt;

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

fn routes(cx: &Arc<Kernel>, face: Face) -> Vec<Router> {
    match face {
        Face::Callers => handler::routes(cx),
        Face::Peers | Face::Operators => Vec::new(),
    }
}

fn dump(cx: &Kernel) -> serde_json::Value {
    serde_json::json!({
        "requests": cx.records.counts(),
        "pipelines": pace::Paces::of(cx).rows(),
    })
}
