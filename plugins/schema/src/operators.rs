//! HTTP handlers of the operators' schema calls.

use jacinthweir_kernel::body;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::config::commit::label_error;
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, Commit, HistoryReply, PlanRequest, SchemaReply,
};
use salvo::prelude::Json;
use serde::de::DeserializeOwned;

use crate::{apply, status};

/// Ratio of the body limit to the schema limit. A schema is sent as a JSON string, which escapes
/// lengthen; twice its size suffices unless most characters are escaped.
const ENVELOPE_FACTOR: usize = 2;

/// Returns the routes on the operators' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    let call = |call| OperatorCall {
        cx: Arc::clone(cx),
        call,
    };
    vec![
        Router::with_path("operator/plan").post(call(Call::Plan)),
        Router::with_path("operator/apply").post(call(Call::Apply)),
        Router::with_path("operator/schema").get(call(Call::Schema)),
        Router::with_path("operator/history").get(call(Call::History)),
        Router::with_path("operator/status").get(call(Call::Status)),
    ]
}

#[derive(Clone, Copy)]
enum Call {
    Plan,
    Apply,
    Schema,
    History,
    Status,
}

struct OperatorCall {
    cx: Arc<Kernel>,
    call: Call,
}

#[handler]
impl OperatorCall {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let cx = &self.cx;
        match self.call {
            Call::Plan => plan(cx, req, res).await,
            Call::Apply => apply(cx, req, res).await,
            Call::Schema => schema(cx, res),
            Call::History => res.render(Json(HistoryReply {
                commits: history(cx),
            })),
            Call::Status => res.render(Json(status::status(cx))),
        }
    }
}

async fn read_body<T: DeserializeOwned>(cx: &Kernel, req: &mut Request) -> Result<T, Refusal> {
    let limit = cx.settings.limits.schema_bytes * ENVELOPE_FACTOR;
    body::read_json(req, limit, cx.settings.timing.body_timeout_ms).await
}

async fn plan(cx: &Kernel, req: &mut Request, res: &mut Response) {
    let req: PlanRequest = match read_body(cx, req).await {
        Ok(req) => req,
        Err(refusal) => return refusal.write(res, None),
    };
    match apply::plan(cx, &req).await {
        Ok(reply) => res.render(Json(reply)),
        Err(refused) => write_refusal(res, &refused),
    }
}

async fn apply(cx: &Arc<Kernel>, req: &mut Request, res: &mut Response) {
    let req: ApplyRequest = match read_body(cx, req).await {
        Ok(req) => req,
        Err(refusal) => return refusal.write(res, None),
    };
    for (field, label) in [("change", &req.change), ("operator", &req.operator)] {
        if let Some(fault) = label_error(label) {
            let refusal = Refusal::not_run(ErrorCode::BadRequest, format!("{field} {fault}"));
            return refusal.write(res, None);
        }
    }
    match apply_in_task(cx, req).await {
        Ok(reply) => res.render(Json(reply)),
        Err(refused) => write_refusal(res, &refused),
    }
}

/// Applies a change in a new task: the handler's future is dropped when its caller disconnects,
/// which must not interrupt a commit between two writes.
async fn apply_in_task(cx: &Arc<Kernel>, req: ApplyRequest) -> Result<ApplyReply, ApplyRefused> {
    let change = req.change.clone();
    let task = Arc::clone(cx);
    let applied = cx
        .tasks
        .spawn(async move { apply::apply(&task, &req).await });
    applied
        .await
        .unwrap_or(Err(ApplyRefused::Unconfirmed { change }))
}

fn schema(cx: &Kernel, res: &mut Response) {
    let applied = cx.convergence().in_force().cloned();
    let Some(applied) = applied else {
        return Refusal::not_run(ErrorCode::NoConfiguration, "no schema yet").write(res, None);
    };
    let schema = (**applied.schema.source()).clone();
    res.render(Json(SchemaReply {
        revision: applied.head.revision,
        schema,
    }));
}

fn history(cx: &Kernel) -> Vec<Commit> {
    let applied = cx.convergence().in_force().cloned();
    applied
        .map(|applied| applied.head.history.clone())
        .unwrap_or_default()
}

fn write_refusal(res: &mut Response, refused: &ApplyRefused) {
    res.status_code(match refused {
        ApplyRefused::Invalid { .. } => StatusCode::BAD_REQUEST,
        ApplyRefused::Conflict { .. } | ApplyRefused::ChangeReused { .. } => StatusCode::CONFLICT,
        ApplyRefused::PlatformDown { .. } | ApplyRefused::WentBack { .. } => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        ApplyRefused::Unconfirmed { .. } => StatusCode::GATEWAY_TIMEOUT,
    });
    res.render(Json(refused));
}
