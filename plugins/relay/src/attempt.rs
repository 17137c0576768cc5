//! A single send of a request to a runner, and validation of the answer's head.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use jacinthweir_clients::direct::{self, DirectError, ResponseBody};
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;

use crate::node::Node;
use crate::rate_limits;
use crate::rest;
use crate::runner_connections::Outcome;
use crate::send_permit::SendPermit;

/// Time limit for a new connection to a runner. The round trip takes about a millisecond, while a
/// lost SYN is retransmitted only after seconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Outcome of a send.
pub(crate) enum SendOutcome {
    /// The head of an answer to this request.
    Answer(Response<ResponseBody>),
    /// The runner states that it did not run the request.
    NotRun(Refusal),
    /// No connection could be established.
    Unreached(DirectError),
    /// No valid answer to this request: it may have run.
    Lost(String),
}

impl SendOutcome {
    /// Returns the outcome of a request that was not sent, since no header can say which runner it is meant
    /// for: another one that has the address by now would run it.
    pub(crate) fn unaddressed() -> SendOutcome {
        let cause = "no header holds the runner's name".to_owned();
        SendOutcome::Unreached(DirectError::Unreached { cause })
    }
}

/// A runner's statement that it did not run a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// The runner at fault, if the answer names one.
    pub(crate) at_fault: Option<SocketAddr>,
    /// Time for which the runner wants no requests of this instance, in milliseconds.
    pub(crate) retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// Returns the runner that does not hold the layers that it was sent a request for.
    pub(crate) fn misplaced_at(&self) -> Option<SocketAddr> {
        let is_misdirected = self.status == StatusCode::MISDIRECTED_REQUEST;
        self.at_fault.filter(|_| is_misdirected)
    }

    fn of(status: StatusCode, headers: &HeaderMap) -> Refusal {
        let at_fault = header::text(headers, &header::AT_FAULT);
        Refusal {
            status,
            at_fault: at_fault.and_then(|a| a.trim().parse().ok()),
            retry_after_ms: header::retry_after_ms(headers),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.status)?;
        if let Some(address) = self.at_fault {
            write!(f, " at {address}")?;
        }
        if let Some(ms) = self.retry_after_ms {
            write!(f, ", again in {ms} ms")?;
        }
        Ok(())
    }
}

/// Sends a request to a runner and waits for the head of the answer.
pub(crate) async fn send(
    node: &Node,
    _permit: SendPermit,
    runner: &RunnerEntry,
    req: Request<Full<bytes::Bytes>>,
) -> SendOutcome {
    rate_limits::record_sent(node, runner);
    let id = req.headers().get(header::REQUEST_ID).cloned();
    let sent = direct::send(node.runner_address(runner.address), req, CONNECT_TIMEOUT).await;
    node.runner_connections
        .record(Outcome::of(&sent), node.now());
    let res = match sent {
        Ok(res) => res,
        Err(e) if e.is_unsent() => return SendOutcome::Unreached(e),
        Err(e) => return SendOutcome::Lost(e.to_string()),
    };
    let headers = res.headers();
    if res.status() != StatusCode::MISDIRECTED_REQUEST {
        if headers.contains_key(header::LEAVING) {
            node.runner_leaves(runner);
        }
        rate_limits::record_answer(node, runner, header::rate_limit(headers));
    }
    let refused = headers.contains_key(header::NOT_RUN);
    if refused || res.status() == StatusCode::MISDIRECTED_REQUEST {
        let refusal = Refusal::of(res.status(), headers);
        if let Some(ms) = refusal.retry_after_ms {
            rest::record(node, runner, ms);
        }
        return SendOutcome::NotRun(refusal);
    }
    if id.is_none() || headers.get(header::REQUEST_ID) != id.as_ref() {
        return SendOutcome::Lost("the answer names another request".to_owned());
    }
    if res.status().is_success() && !is_valid_success(headers) {
        return SendOutcome::Lost("the answer has no receipt".to_owned());
    }
    SendOutcome::Answer(res)
}

/// Returns whether a successful answer is valid: it needs the runner's receipt, and no content
/// encoding, since callers accept none.
fn is_valid_success(headers: &HeaderMap) -> bool {
    headers.contains_key(header::RECEIPT) && !headers.contains_key(http::header::CONTENT_ENCODING)
}
