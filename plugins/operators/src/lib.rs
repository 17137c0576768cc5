//! The operators' plug-in: metrics, the dump, and what happened to a request.

use std::net::SocketAddr;

use jacinthweir_kernel::plugin;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::operator::RequestRecord;
use linkme::distributed_slice;
use salvo::prelude::Json;

#[distributed_slice(PLUGINS)]
static OPERATORS: Plugin = Plugin {
    name: "operators",
    spawn: plugin::no_tasks,
    routes,
    dump,
};

fn routes(cx: &Arc<Kernel>, face: Face) -> Vec<Router> {
    match face {
        Face::Operators => vec![
            Router::with_path("metrics").get(Metrics(Arc::clone(cx))),
            Router::with_path("operator/dump").get(Dump(Arc::clone(cx))),
            Router::with_path("operator/requests/{id}").get(RequestById(Arc::clone(cx))),
        ],
        Face::Peers => {
            vec![Router::with_path("peer/requests/{id}").get(OwnRequest(Arc::clone(cx)))]
        }
        Face::Callers => Vec::new(),
    }
}

fn dump(cx: &Kernel) -> serde_json::Value {
    serde_json::json!({
        "name": cx.settings.name,
        "incarnation": cx.incarnation,
        "uptime_ms": cx.clock.now(),
        "tasks": cx.tasks.len(),
        "settings": cx.settings.limits,
        "timing": cx.settings.timing,
    })
}

/// `GET /metrics`.
struct Metrics(Arc<Kernel>);

#[handler]
impl Metrics {
    async fn handle(&self, res: &mut Response) {
        reply::set_header(res, "content-type", "text/plain; version=0.0.4");
        res.render(self.0.stats.render());
    }
}

/// `GET /operator/dump`: a field a plug-in.
struct Dump(Arc<Kernel>);

#[handler]
impl Dump {
    async fn handle(&self, res: &mut Response) {
        let mut parts = serde_json::Map::new();
        for plugin in plugin::sorted() {
            parts.insert(plugin.name.to_owned(), (plugin.dump)(&self.0));
        }
        res.render(Json(parts));
    }
}

/// `GET /operator/requests/{id}`: from whichever instance served it.
struct RequestById(Arc<Kernel>);

#[handler]
impl RequestById {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        match find(&self.0, &id).await {
            Ok(record) => res.render(Json(record)),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

async fn find(cx: &Kernel, id: &str) -> Result<RequestRecord, Refusal> {
    if let Some(record) = cx.records.get(id) {
        return Ok(record);
    }
    let Some((instance, _)) = id.rsplit_once('.') else {
        return Err(unknown(
            "a request id is an instance's name, a dot and a number",
        ));
    };
    let Some(peer) = peer_named(cx, instance) else {
        return Err(unknown(&format!(
            "no live instance {instance} that could know it"
        )));
    };
    match cx.peers.request(peer, id).await {
        Ok(Some(record)) => Ok(record),
        Ok(None) => Err(unknown(&format!("instance {instance} has no record of it"))),
        Err(e) => Err(unknown(&format!(
            "instance {instance} does not answer: {e}"
        ))),
    }
}

fn peer_named(cx: &Kernel, instance: &str) -> Option<SocketAddr> {
    if instance == cx.settings.name.as_ref() {
        return None;
    }
    cx.peer_address(instance)
}

fn unknown(msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::NotFound, msg)
}

/// `GET /peer/requests/{id}`: from this instance alone, as MessagePack.
struct OwnRequest(Arc<Kernel>);

#[handler]
impl OwnRequest {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        let encoded = self.0.records.get(&id).map(|r| rmp_serde::to_vec_named(&r));
        match encoded {
            Some(Ok(bytes)) => reply::message_pack(res, bytes),
            Some(Err(_)) => Refusal::internal().write(res, None),
            None => unknown("no record of it").write(res, None),
        }
    }
}
