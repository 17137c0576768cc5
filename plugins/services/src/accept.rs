//! Validates a call before any work is done for it.

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

/// A validated call.
pub(crate) struct Accepted {
    pub(crate) config: Arc<InForce>,
    pub(crate) caller: Caller,
    pub(crate) service: ServiceId,
    pub(crate) service_name: Name,
    pub(crate) call: Name,
    pub(crate) repeat: Idempotency,
    /// Idempotency key given by the caller.
    pub(crate) key: Option<ClaimKey>,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Now,
}

impl Accepted {
    /// Returns `service/call`.
    pub(crate) fn target(&self) -> Name {
        Name::from(format!("{}/{}", self.service_name, self.call))
    }
}

/// Reads and validates a call.
///
/// # Errors
/// Returns the refusal to send to the caller; nothing has run.
pub(crate) async fn accept(cx: &Arc<Kernel>, req: &mut Request) -> Result<Accepted, Refusal> {
    let arrived = cx.clock.reading();
    let config = cx.serving_config()?;
    cx.check_request_limit()?;
    let caller = Caller::identify(&config, req)?;
    let service_name: Name = path_param(req, "service");
    let call: Name = path_param(req, "call");
    let (service, decl) = find_call(&config, &service_name, &call)?;
    let deadline_ms = caller.deadline_ms.unwrap_or(decl.default_deadline_ms);
    let repeat = match decl.idempotent {
        true => Idempotency::Idempotent,
        false => Idempotency::NonIdempotent,
    };
    let key = idempotency_key(&caller, req)?;
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

fn path_param(req: &Request, name: &str) -> Name {
    req.param::<String>(name).unwrap_or_default().into()
}

fn find_call(
    config: &InForce,
    service: &str,
    call: &str,
) -> Result<(ServiceId, CallDecl), Refusal> {
    let no_such = |what: String| Refusal::not_run(ErrorCode::NotFound, what);
    let id = config.schema.service_named(service);
    let id = id.ok_or_else(|| no_such(format!("no such service: {service}")))?;
    let decl = config.schema.call(id, call);
    let decl = decl.ok_or_else(|| no_such(format!("service {service} has no call {call}")))?;
    Ok((id, decl.clone()))
}

/// Returns the caller's idempotency key.
///
/// An unreadable key is refused, not ignored: the call would otherwise run without the protection
/// that its caller asked for.
fn idempotency_key(caller: &Caller, req: &Request) -> Result<Option<ClaimKey>, Refusal> {
    let bad_request = |msg: String| {
        let msg = format!("header {}: {msg}", header::IDEMPOTENCY_KEY);
        Refusal::not_run(ErrorCode::BadRequest, msg)
    };
    let mut values = req.headers().get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request("given more than once".to_owned()));
    }
    let text = value.to_str().map_err(|e| bad_request(e.to_string()))?;
    let key = ClaimKey::new(caller.organisation.clone(), text.trim());
    key.map(Some)
        .map_err(|fault| bad_request(fault.to_string()))
}

fn content_type(req: &Request) -> Option<String> {
    let value = req.headers().get("content-type")?;
    value.to_str().ok().map(str::to_owned)
}
