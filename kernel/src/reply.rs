//! Final responses: the common error body, the outcome header and the answer to unknown routes.

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::caller::{ErrorBody, ErrorCode, ErrorDetail};
use jacinthweir_wire::header;
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::*;

/// A final answer with an outcome other than "answered".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Stable code.
    pub code: ErrorCode,
    /// Human-readable message of one sentence.
    pub message: String,
    /// Final outcome.
    pub outcome: Outcome,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request of which nothing ran.
    #[must_use]
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal for a driver that ended without a result, which is a bug in this
    /// instance. Part of the request may have run.
    #[must_use]
    pub fn internal() -> Refusal {
        Refusal {
            code: ErrorCode::Internal,
            message: "internal error".to_owned(),
            outcome: Outcome::Failed,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which the caller may retry, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Refusal {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Returns the error body.
    #[must_use]
    pub fn body(&self, request: Option<&Name>) -> ErrorBody {
        let error = ErrorDetail {
            code: self.code,
            message: self.message.clone(),
            outcome: self.outcome,
            request: request.cloned(),
            retry_after_ms: self.retry_after_ms,
        };
        ErrorBody { error }
    }

    /// Writes the refusal as the whole response.
    pub fn write(&self, res: &mut Response, request: Option<&Name>) {
        res.status_code(status(self.code));
        set_outcome_headers(res, self.outcome, request);
        if let Some(ms) = self.retry_after_ms {
            let seconds = ms.div_ceil(1000).max(1);
            set_header(res, "retry-after", &seconds.to_string());
        }
        res.render(Json(self.body(request)));
    }
}

/// Sets the outcome and request headers.
pub fn set_outcome_headers(res: &mut Response, outcome: Outcome, request: Option<&Name>) {
    set_header(res, header::OUTCOME, &outcome.to_string());
    if let Some(id) = request {
        set_header(res, header::REQUEST, id);
    }
}

/// Sets a header; a value that is invalid in HTTP is ignored.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Returns the HTTP status of an error code.
#[must_use]
pub fn status(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::BadRequest => StatusCode::BAD_REQUEST,
        ErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ErrorCode::NotFound => StatusCode::NOT_FOUND,
        ErrorCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        ErrorCode::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
        ErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorCode::KeyConflict | ErrorCode::StillRunning => StatusCode::CONFLICT,
        ErrorCode::KeyExpired => StatusCode::GONE,
        ErrorCode::OrganisationLimit | ErrorCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        ErrorCode::NoCapacity
        | ErrorCode::Quarantined
        | ErrorCode::PlatformDown
        | ErrorCode::NoConfiguration
        | ErrorCode::Draining => StatusCode::SERVICE_UNAVAILABLE,
        ErrorCode::UpstreamFailed => StatusCode::BAD_GATEWAY,
        ErrorCode::DeadlineExceeded | ErrorCode::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        ErrorCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// Catcher that answers a request without a matching route with the common error body.
pub struct NoRoute;

#[handler]
impl NoRoute {
    async fn handle(&self, req: &mut Request, res: &mut Response, ctrl: &mut FlowCtrl) {
        let Some(refusal) = no_route(req, res.status_code) else {
            return;
        };
        refusal.write(res, None);
        ctrl.skip_rest();
    }
}

fn no_route(req: &Request, status: Option<StatusCode>) -> Option<Refusal> {
    let path = req.uri().path();
    let refusal = match status? {
        StatusCode::NOT_FOUND => {
            Refusal::not_run(ErrorCode::NotFound, format!("no such path: {path}"))
        }
        StatusCode::METHOD_NOT_ALLOWED => {
            let msg = format!("{path} does not take {}", req.method());
            Refusal::not_run(ErrorCode::MethodNotAllowed, msg)
        }
        StatusCode::PAYLOAD_TOO_LARGE => Refusal::not_run(ErrorCode::TooLarge, "request too large"),
        s if s.is_client_error() => Refusal::not_run(ErrorCode::BadRequest, s.to_string()),
        _ => return None,
    };
    Some(refusal)
}

/// Writes MessagePack bytes as the whole response.
pub fn message_pack(res: &mut Response, bytes: Vec<u8>) {
    set_header(res, "content-type", "application/msgpack");
    if res.write_body(bytes).is_err() {
        res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
    }
}
