//! What the caller of a service's call is told.

use bytes::Bytes;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_policy::claim::{Finished, NotRunCause, Recorded};
use jacinthweir_wire::caller::ErrorCode;

/// When to come back where nothing better is known, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The service's own answer.
#[derive(Clone, Debug)]
pub(crate) struct ServiceReply {
    /// HTTP status.
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

impl ServiceReply {
    /// Writes the answer as the whole response.
    pub(crate) fn write(self, res: &mut Response, request: &Name) {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        res.status_code(status);
        reply::mark(res, Outcome::Answered, Some(request));
        if let Some(content_type) = &self.content_type {
            reply::set_header(res, "content-type", content_type);
        }
        if res.write_body(self.body).is_err() {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

/// What the handler passes on to the caller.
#[derive(Debug)]
pub(crate) enum Told {
    /// The service's answer, now or as recorded.
    Reply(ServiceReply),
    /// None.
    Refused(Refusal),
}

/// Why there is no answer of the service. The outcome is added from the journal.
#[derive(Clone, Debug)]
pub(crate) struct NoReply {
    pub(crate) code: ErrorCode,
    pub(crate) message: String,
    pub(crate) retry_after_ms: Option<u64>,
}

impl NoReply {
    pub(crate) fn new(code: ErrorCode, message: impl Into<String>) -> NoReply {
        NoReply {
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// The same with a time to come back, spread so that callers don't return together.
    pub(crate) fn come_back(mut self, after_ms: Option<u64>) -> NoReply {
        let base = after_ms.unwrap_or(RETRY_AFTER_MS);
        self.retry_after_ms = Some(base + rand::random_range(0..=base / 2));
        self
    }

    /// A claim that was not made.
    pub(crate) fn not_run(cause: NotRunCause) -> NoReply {
        match cause {
            NotRunCause::KeyExpired => NoReply::new(
                ErrorCode::KeyExpired,
                "the idempotency key is older than claims are kept",
            ),
            NotRunCause::PlatformDown => NoReply::new(
                ErrorCode::PlatformDown,
                "the platform does not answer and this call may not be repeated",
            )
            .come_back(None),
            NotRunCause::DeadlinePassed => NoReply::new(
                ErrorCode::Overloaded,
                "the deadline passed before the call could be sent",
            )
            .come_back(None),
            NotRunCause::Cancelled | NotRunCause::NotDispatched => {
                NoReply::new(ErrorCode::NoCapacity, "the call was not sent").come_back(None)
            }
        }
    }

    /// The refusal that the caller sees, given the journal's outcome.
    pub(crate) fn refusal(self, outcome: Outcome) -> Refusal {
        Refusal {
            code: self.code,
            message: self.message,
            outcome,
            retry_after_ms: self.retry_after_ms,
        }
    }
}

/// The answer of an earlier submission with the same key.
pub(crate) fn recorded(recorded: &Recorded) -> Result<ServiceReply, NoReply> {
    let finished = &recorded.finished;
    match finished.outcome {
        Outcome::Answered => whole(finished),
        outcome => {
            let code = match outcome {
                Outcome::Unknown => ErrorCode::OutcomeUnknown,
                _ => ErrorCode::UpstreamFailed,
            };
            let msg = format!(
                "request {} with this key was sent to {} by {} and ended as {outcome}",
                recorded.request, finished.upstream, recorded.claimant
            );
            Err(NoReply::new(code, msg))
        }
    }
}

fn whole(finished: &Finished) -> Result<ServiceReply, NoReply> {
    let body = finished.body().ok_or_else(|| {
        let msg = "the call ran and was answered; its answer is too large to be kept";
        NoReply::new(ErrorCode::TooLarge, msg)
    })?;
    Ok(ServiceReply {
        status: finished.status,
        content_type: finished.content_type.as_deref().map(str::to_owned),
        body: body.into(),
    })
}
