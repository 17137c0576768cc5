//! One send of a request to a runner, and what its answer is worth.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use jacinthweir_clients::direct::{self, AnswerBody, DirectError};
use jacinthweir_platform::header;
use jacinthweir_policy::relay::runners::RunnerEntry;

use crate::node::Node;
use crate::rate_limits;

/// Time that a new connection to a runner may take. Runners are a millisecond away; a dropped
/// opening packet is sent again only after seconds.
pub(crate) const CONNECT: Duration = Duration::from_millis(250);

/// What came of a send.
pub(crate) enum Sent {
    /// A head that belongs to the request.
    Answer(Response<AnswerBody>),
    /// The runner says that it did not run the request.
    NotRun {
        status: StatusCode,
        /// The runner at fault, if it is named.
        at_fault: Option<SocketAddr>,
    },
    /// No connection.
    Unreached(DirectError),
    /// No answer, or one that belongs to another request: it may have run.
    Lost(String),
}

/// Sends to a runner and waits for the head.
pub(crate) async fn send(
    node: &Node,
    runner: &RunnerEntry,
    id: &str,
    req: Request<Full<bytes::Bytes>>,
) -> Sent {
    rate_limits::record_sent(node, runner);
    let res = match direct::send(runner.address, req, CONNECT).await {
        Ok(res) => res,
        Err(e) if e.is_unsent() => return Sent::Unreached(e),
        Err(e) => return Sent::Lost(e.to_string()),
    };
    let headers = res.headers();
    if res.status() != StatusCode::MISDIRECTED_REQUEST {
        rate_limits::record_answer(node, runner, header::named_limit(headers));
    }
    let refused = headers.contains_key(header::NOT_RUN);
    if refused || res.status() == StatusCode::MISDIRECTED_REQUEST {
        let at_fault = header::text(headers, &header::AT_FAULT);
        return Sent::NotRun {
            status: res.status(),
            at_fault: at_fault.and_then(|a| a.trim().parse().ok()),
        };
    }
    if header::text(headers, &header::REQUEST_ID) != Some(id) {
        return Sent::Lost("the answer names another request".to_owned());
    }
    if res.status().is_success() && !is_whole_answer(headers) {
        return Sent::Lost("the answer has no receipt".to_owned());
    }
    Sent::Answer(res)
}

/// A success counts only with the runner's receipt, and callers take no encodings.
fn is_whole_answer(headers: &HeaderMap) -> bool {
    headers.contains_key(header::RECEIPT) && !headers.contains_key(http::header::CONTENT_ENCODING)
}
