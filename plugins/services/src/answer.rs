//! Result of a service call, as returned to its caller.

use bytes::Bytes;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_policy::claim::{Finished, NotRunCause, Recorded};
use jacinthweir_wire::caller::ErrorCode;

/// Default retry delay suggested to callers, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The answer given by the service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceReply {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

impl ServiceReply {
    /// Writes the answer as the HTTP response.
    pub(crate) fn write(self, res: &mut Response, request: &Name) {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        res.status_code(status);
        reply::set_outcome_headers(res, Outcome::Answered, Some(request));
        if let Some(content_type) = &self.content_type {
            reply::set_header(res, "content-type", content_type);
        }
        if res.write_body(self.body).is_err() {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

/// Result of a call, passed to the handler.
#[derive(Debug)]
pub(crate) enum CallResult {
    /// The service's answer to this call or, if recorded in a claim, to an earlier submission.
    Reply(ServiceReply),
    /// There is no answer of the service.
    Refused(Refusal),
}

/// Reason for which there is no answer of the service. The outcome is added from the journal.
#[derive(Clone, Debug)]
pub(crate) struct CallFailure {
    pub(crate) code: ErrorCode,
    pub(crate) message: String,
    pub(crate) retry_after_ms: Option<u64>,
}

impl CallFailure {
    pub(crate) fn new(code: ErrorCode, message: impl Into<String>) -> CallFailure {
        CallFailure {
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the retry delay, with jitter so that callers do not return in step.
    pub(crate) fn with_retry_after(mut self, after_ms: Option<u64>) -> CallFailure {
        let base = after_ms.unwrap_or(RETRY_AFTER_MS);
        self.retry_after_ms = Some(base + rand::random_range(0..=base / 2));
        self
    }

    /// Returns the failure for a call that was not run because no claim was made.
    pub(crate) fn not_run(cause: NotRunCause) -> CallFailure {
        match cause {
            NotRunCause::KeyExpired => CallFailure::new(
                ErrorCode::KeyExpired,
                "the idempotency key is older than claims are kept",
            ),
            NotRunCause::PlatformDown => CallFailure::new(
                ErrorCode::PlatformDown,
                "the platform does not answer and this call may not be repeated",
            )
            .with_retry_after(None),
            NotRunCause::DeadlinePassed => CallFailure::new(
                ErrorCode::Overloaded,
                "the deadline passed before the call could be sent",
            )
            .with_retry_after(None),
            NotRunCause::Cancelled | NotRunCause::NotDispatched => {
                CallFailure::new(ErrorCode::NoCapacity, "the call was not sent")
                    .with_retry_after(None)
            }
        }
    }

    /// Returns the refusal for the caller, with the journal's outcome.
    pub(crate) fn refusal(self, outcome: Outcome) -> Refusal {
        Refusal {
            code: self.code,
            message: self.message,
            outcome,
            retry_after_ms: self.retry_after_ms,
        }
    }
}

/// Returns the recorded result of an earlier submission with the same idempotency key.
pub(crate) fn recorded_result(recorded: &Recorded) -> Result<ServiceReply, CallFailure> {
    let finished = &recorded.finished;
    match finished.outcome {
        Outcome::Answered => recorded_reply(finished),
        outcome => {
            let code = match outcome {
                Outcome::Unknown => ErrorCode::OutcomeUnknown,
                _ => ErrorCode::UpstreamFailed,
            };
            let msg = format!(
                "request {} with this key was sent to {} by {} and ended as {outcome}",
                recorded.request, finished.upstream, recorded.claimant
            );
            Err(CallFailure::new(code, msg))
        }
    }
}

fn recorded_reply(finished: &Finished) -> Result<ServiceReply, CallFailure> {
    let body = finished.body().ok_or_else(|| {
        let msg = "the call ran and was answered; its answer is too large to be kept";
        CallFailure::new(ErrorCode::TooLarge, msg)
    })?;
    Ok(ServiceReply {
        status: finished.status,
        content_type: finished.content_type.as_deref().map(str::to_owned),
        body: body.into(),
    })
}
