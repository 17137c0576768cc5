//! Checks of a call before anything is done for it.

use bytes::Bytes;
use jacinthweir_kernel::body;
use jacinthweir_kernel::config::InForce;
use jacinthweir_kernel::identity::Caller;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::claim::ClaimKey;
use jacinthweir_policy::journal::Idempotency;
use jacinthweir_policy::schema::CallDecl;
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::header;

/// A call that was understood.
pub(crate) struct Accepted {
    pub(crate) config: Arc<InForce>,
    pub(crate) caller: Caller,
    pub(crate) service: ServiceId,
    /// Service's name.
    pub(crate) service_name: Name,
    /// Call's name.
    pub(crate) call: Name,
    pub(crate) repeat: Idempotency,
    /// Caller's idempotency key.
    pub(crate) key: Option<ClaimKey>,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Now,
}

impl Accepted {
    /// `service/call`.
    pub(crate) fn target(&self) -> Name {
        Name::from(format!("{}/{}", self.service_name, self.call))
    }
}

/// Reads and checks a call.
///
/// # Errors
/// A refusal; nothing has run.
pub(crate) async fn accept(cx: &Arc<Kernel>, req: &mut Request) -> Result<Accepted, Refusal> {
    let arrived = cx.clock.reading();
    let config = cx.serving_config()?;
    cx.room_for_one()?;
    let caller = Caller::identify(&config, req)?;
    let service_name: Name = param(req, "service");
    let call: Name = param(req, "call");
    let (service, decl) = find(&config, &service_name, &call)?;
    let deadline_ms = caller.deadline_ms.unwrap_or(decl.default_deadline_ms);
    let repeat = match decl.idempotent {
        true => Idempotency::Idempotent,
        false => Idempotency::NonIdempotent,
    };
    let key = key(&caller, req)?;
    let content_type = content_type(req);
    let limit = cx.settings.limits.body_bytes;
    let body = body::read(req, limit, cx.settings.timing.body_timeout_ms).await?;
    Ok(Accepted {
        config,
        caller,
        service,
        service_name,
        call,
        repeat,
        key,
        content_type,
        body,
        deadline: arrived.plus(deadline_ms),
    })
}

fn param(req: &Request, name: &str) -> Name {
    req.param::<String>(name).unwrap_or_default().into()
}

fn find(config: &InForce, service: &str, call: &str) -> Result<(ServiceId, CallDecl), Refusal> {
    let no_such = |what: String| Refusal::not_run(ErrorCode::NotFound, what);
    let id = config.schema.service_named(service);
    let id = id.ok_or_else(|| no_such(format!("no such service: {service}")))?;
    let decl = config.schema.call(id, call);
    let decl = decl.ok_or_else(|| no_such(format!("service {service} has no call {call}")))?;
    Ok((id, decl.clone()))
}

/// The caller's idempotency key. One that can't be read is refused rather than left out: the call
/// would run without the protection that its caller asked for.
fn key(caller: &Caller, req: &Request) -> Result<Option<ClaimKey>, Refusal> {
    let bad = |msg: String| {
        let msg = format!("header {}: {msg}", header::IDEMPOTENCY_KEY);
        Refusal::not_run(ErrorCode::BadRequest, msg)
    };
    let mut values = req.headers().get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad("given more than once".to_owned()));
    }
    let text = value.to_str().map_err(|e| bad(e.to_string()))?;
    let key = ClaimKey::new(caller.organisation.clone(), text.trim());
    key.map(Some).map_err(|fault| bad(fault.to_string()))
}

fn content_type(req: &Request) -> Option<String> {
    let value = req.headers().get("content-type")?;
    value.to_str().ok().map(str::to_owned)
}
