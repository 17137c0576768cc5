//! Validates a request before any work is done for it.

use jacinthweir_kernel::body;
use jacinthweir_kernel::config::InForce;
use jacinthweir_kernel::identity::Caller;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_wire::caller::{ChatRequest, CompletionRequest, ErrorCode};

use crate::driver::{RETRY_AFTER_MS, STOPPING};
use crate::prompt::{Endpoint, Prompt};

/// A validated request.
pub(crate) struct Accepted {
    pub(crate) config: Arc<InForce>,
    pub(crate) caller: Caller,
    pub(crate) pipeline: PipelineId,
    pub(crate) prompt: Prompt,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Deadline on the monotonic clock, in milliseconds.
    pub(crate) deadline: Millis,
}

/// Reads and validates a request, unless this instance stops before it is read.
///
/// # Errors
/// Returns the refusal to send to the caller; nothing has run.
pub(crate) async fn accept_until_stop(
    cx: &Arc<Kernel>,
    endpoint: Endpoint,
    req: &mut Request,
) -> Result<Accepted, Refusal> {
    tokio::select! {
        biased;
        accepted = accept(cx, endpoint, req) => accepted,
        () = cx.answers_due.cancelled() => {
            let refusal = Refusal::not_run(ErrorCode::Draining, STOPPING);
            Err(refusal.retry_after(RETRY_AFTER_MS))
        }
    }
}

/// Reads and validates a request.
///
/// # Errors
/// Returns the refusal to send to the caller; nothing has run.
async fn accept(
    cx: &Arc<Kernel>,
    endpoint: Endpoint,
    req: &mut Request,
) -> Result<Accepted, Refusal> {
    let arrived = cx.clock.now();
    let config = cx.serving_config()?;
    cx.check_request_limit()?;
    let caller = Caller::identify(&config, req)?;
    let prompt = read_prompt(cx, endpoint, req).await?;
    let pipeline = find_pipeline(&config, &prompt)?;
    let decl = &config.schema.pipelines()[pipeline];
    let max_tokens = match prompt.max_tokens {
        Some(0) => return Err(bad_request("max_tokens must be greater than 0")),
        Some(n) => n.min(decl.max_tokens),
        None => decl.max_tokens,
    };
    if prompt.text.is_empty() {
        return Err(bad_request("the prompt is empty"));
    }
    let deadline_ms = caller.deadline_ms.unwrap_or(decl.default_deadline_ms);
    let deadline = arrived.saturating_add(deadline_ms);
    Ok(Accepted {
        config,
        caller,
        pipeline,
        prompt,
        max_tokens,
        deadline,
    })
}

async fn read_prompt(
    cx: &Kernel,
    endpoint: Endpoint,
    req: &mut Request,
) -> Result<Prompt, Refusal> {
    let limit = cx.settings.limits.body_bytes;
    let timeout = cx.settings.timing.body_timeout_ms;
    match endpoint {
        Endpoint::Chat => Ok(body::read_json::<ChatRequest>(req, limit, timeout)
            .await?
            .into()),
        Endpoint::Text => Ok(body::read_json::<CompletionRequest>(req, limit, timeout)
            .await?
            .into()),
    }
}

fn find_pipeline(config: &InForce, prompt: &Prompt) -> Result<PipelineId, Refusal> {
    let found = config.schema.pipeline_named(&prompt.pipeline);
    found.ok_or_else(|| {
        let msg = format!("no such model: {}", prompt.pipeline);
        Refusal::not_run(ErrorCode::NotFound, msg)
    })
}

fn bad_request(msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::BadRequest, msg)
}
