//! Routes of the plug-in.

use jacinthweir_kernel::body;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_wire::caller::ErrorCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::Entry;
use crate::{exchange, probe};

/// The largest message of a peer, in bytes: an exchange is bounded well below.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

pub(crate) fn routes(cx: &Arc<Kernel>, face: Face) -> Vec<Router> {
    let cx = || Arc::clone(cx);
    match face {
        Face::Callers => vec![Router::with_path("v1/entry").get(Entry(cx()))],
        Face::Peers => vec![
            Router::with_path("peer/exchange").post(Exchanged(cx())),
            Router::with_path("peer/push").post(Pushed(cx())),
            Router::with_path("peer/probe").post(Probed(cx())),
            Router::with_path("peer/self").get(Own(cx())),
        ],
        Face::Operators => Vec::new(),
    }
}

struct Exchanged(Arc<Kernel>);

#[handler]
impl Exchanged {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match read(&self.0, req).await {
            Ok(msg) => write(res, &exchange::answer(&self.0, &msg)),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

struct Pushed(Arc<Kernel>);

#[handler]
impl Pushed {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match read(&self.0, req).await {
            Ok(msg) => write(res, &exchange::answer_push(&self.0, msg)),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

struct Probed(Arc<Kernel>);

#[handler]
impl Probed {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match read(&self.0, req).await {
            Ok(msg) => write(res, &probe::try_it(&self.0, msg).await),
            Err(refusal) => refusal.write(res, None),
        }
    }
}

struct Own(Arc<Kernel>);

#[handler]
impl Own {
    async fn handle(&self, res: &mut Response) {
        let own = self.0.membership().own().clone();
        write(res, &own);
    }
}

async fn read<T: DeserializeOwned>(cx: &Kernel, req: &mut Request) -> Result<T, Refusal> {
    let timeout_ms = cx.settings.timing.peer_timeout_ms;
    let bytes = body::read(req, MAX_MESSAGE_BYTES, timeout_ms).await?;
    let parsed = rmp_serde::from_slice(&bytes);
    parsed.map_err(|e| Refusal::not_run(ErrorCode::BadRequest, e.to_string()))
}

fn write<T: Serialize>(res: &mut Response, msg: &T) {
    match rmp_serde::to_vec_named(msg) {
        Ok(bytes) => reply::message_pack(res, bytes),
        Err(_) => Refusal::internal().write(res, None),
    }
}
