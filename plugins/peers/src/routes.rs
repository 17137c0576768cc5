//! HTTP routes of the plug-in.

use jacinthweir_kernel::body;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_wire::caller::ErrorCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::EntryHandler;
use crate::{exchange, probe};

/// Maximum size of a peer's message, in bytes. Exchanges are bounded well below it.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

pub(crate) fn routes(cx: &Arc<Kernel>, kind: ListenerKind) -> Vec<Router> {
    let cx = || Arc::clone(cx);
    match kind {
        ListenerKind::Callers => vec![Router::with_path("v1/entry").get(EntryHandler(cx()))],
        ListenerKind::Peers => vec![
            Router::with_path("peer/exchange").post(ExchangeHandler(cx())),
            Router::with_path("peer/push").post(PushHandler(cx())),
            Router::with_path("peer/probe").post(ProbeHandler(cx())),
            Router::with_path("peer/self").get(OwnRecordHandler(cx())),
        ],
        ListenerKind::Operators => Vec::new(),
    }
}

struct ExchangeHandler(Arc<Kernel>);

#[handler]
impl ExchangeHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match read_message(&self.0, req).await {
            Ok(msg) => write_message(res, &exchange::answer(&self.0, &msg)),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

struct PushHandler(Arc<Kernel>);

#[handler]
impl PushHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match read_message(&self.0, req).await {
            Ok(msg) => write_message(res, &exchange::answer_push(&self.0, msg)),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

struct ProbeHandler(Arc<Kernel>);

#[handler]
impl ProbeHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match read_message(&self.0, req).await {
            Ok(msg) => write_message(res, &probe::run(&self.0, msg).await),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

struct OwnRecordHandler(Arc<Kernel>);

#[handler]
impl OwnRecordHandler {
    async fn handle(&self, res: &mut Response) {
        let own = self.0.membership().own().clone();
        write_message(res, &own);
    }
}

async fn read_message<T: DeserializeOwned>(cx: &Kernel, req: &mut Request) -> Result<T, Refusal> {
    let timeout_ms = cx.settings.timing.peer_timeout_ms;
    let bytes = body::read(req, MAX_MESSAGE_BYTES, timeout_ms).await?;
    let parsed = rmp_serde::from_slice(&bytes);
    parsed.map_err(|e| Refusal::not_run(ErrorCode::BadRequest, e.to_string()))
}

fn write_message<T: Serialize>(res: &mut Response, msg: &T) {
    match rmp_serde::to_vec_named(msg) {
        Ok(bytes) => reply::message_pack(res, bytes),
        Err(_) => Refusal::internal().write(res, None),
    }
}
