//! Operators plug-in: metrics, the state dump and request records.

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

fn routes(cx: &Arc<Kernel>, kind: ListenerKind) -> Vec<Router> {
    match kind {
        ListenerKind::Operators => vec![
            Router::with_path("metrics").get(MetricsHandler(Arc::clone(cx))),
            Router::with_path("operator/dump").get(DumpHandler(Arc::clone(cx))),
            Router::with_path("operator/requests/{id}").get(RequestHandler(Arc::clone(cx))),
        ],
        ListenerKind::Peers => {
            vec![Router::with_path("peer/requests/{id}").get(OwnRequestHandler(Arc::clone(cx)))]
        }
        ListenerKind::Callers => Vec::new(),
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

/// Handles `GET /metrics`.
struct MetricsHandler(Arc<Kernel>);

#[handler]
impl MetricsHandler {
    async fn handle(&self, res: &mut Response) {
        reply::set_header(res, "content-type", "text/plain; version=0.0.4");
        res.render(self.0.stats.render());
    }
}

/// Handles `GET /operator/dump`: an object with one field per plug-in.
struct DumpHandler(Arc<Kernel>);

#[handler]
impl DumpHandler {
    async fn handle(&self, res: &mut Response) {
        let mut dumps = serde_json::Map::new();
        for plugin in plugin::sorted() {
            dumps.insert(plugin.name.to_owned(), (plugin.dump)(&self.0));
        }
        res.render(Json(dumps));
    }
}

/// Handles `GET /operator/requests/{id}`: the record of a request. If another instance served the
/// request, the record is fetched from that instance.
struct RequestHandler(Arc<Kernel>);

#[handler]
impl RequestHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        match find_record(&self.0, &id).await {
            Ok(record) => res.render(Json(record)),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

async fn find_record(cx: &Kernel, id: &str) -> Result<RequestRecord, Refusal> {
    if let Some(record) = cx.records.get(id) {
        return Ok(record);
    }
    let Some((instance, _)) = id.rsplit_once('.') else {
        return Err(not_found(
            "a request id is an instance's name, a dot and a number",
        ));
    };
    let Some(peer) = other_instance(cx, instance) else {
        return Err(not_found(&format!(
            "no live instance {instance} that could know it"
        )));
    };
    match cx.peers.request(peer, id).await {
        Ok(Some(record)) => Ok(record),
        Ok(None) => Err(not_found(&format!(
            "instance {instance} has no record of it"
        ))),
        Err(e) => Err(not_found(&format!(
            "instance {instance} does not answer: {e}"
        ))),
    }
}

fn other_instance(cx: &Kernel, instance: &str) -> Option<SocketAddr> {
    if instance == cx.settings.name.as_ref() {
        return None;
    }
    cx.peer_address(instance)
}

fn not_found(msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::NotFound, msg)
}

/// Handles `GET /peer/requests/{id}`: the record of a request served by this instance, as
/// MessagePack.
struct OwnRequestHandler(Arc<Kernel>);

#[handler]
impl OwnRequestHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        let encoded = self.0.records.get(&id).map(|r| rmp_serde::to_vec_named(&r));
        match encoded {
            Some(Ok(bytes)) => reply::message_pack(res, bytes),
            Some(Err(_)) => Refusal::internal().write(res, None),
            None => not_found("no record of it").write(res, None),
        }
    }
}
