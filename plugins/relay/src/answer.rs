//! Answers of this instance to callers.
//!
//! "Not run" is a guarantee: callers retry non-repeatable work when they receive it. It is stated
//! only by [`SendRecord::failure`], which derives it from the sends to runners.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::Stream;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::retry_priority::RetryPriority;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::unsent_answers::UnsentAnswers;

/// Body of an answer to a caller.
pub(crate) struct RelayBody {
    content: Content,
    active: Option<ActiveRequest>,
    /// Answers of the same connection that are not sent completely.
    unsent: Option<UnsentAnswers>,
}

enum Content {
    Complete(Option<Bytes>),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, StreamCut>>>>),
}

impl RelayBody {
    pub(crate) fn complete(bytes: Bytes) -> RelayBody {
        RelayBody {
            content: Content::Complete(Some(bytes)),
            active: None,
            unsent: None,
        }
    }

    pub(crate) fn stream(
        stream: impl Stream<Item = Result<Bytes, StreamCut>> + 'static,
    ) -> RelayBody {
        RelayBody {
            content: Content::Stream(Box::pin(stream)),
            active: None,
            unsent: None,
        }
    }

    /// Keeps the request active until this body is sent.
    pub(crate) fn attach(&mut self, active: ActiveRequest) {
        self.active = Some(active);
    }

    /// Sets the answers of the connection that this body is sent on.
    pub(crate) fn send_on(&mut self, unsent: UnsentAnswers) {
        self.unsent = Some(unsent);
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if let (Some(unsent), Some(active)) = (&self.unsent, self.active.take()) {
            unsent.push(active);
        }
    }
}

/// Guard that counts a request as active until the last byte of its answer is sent. A shutdown waits for
/// active requests, not for connections, since callers also open connections that they never use.
pub(crate) struct ActiveRequest(Rc<Cell<usize>>);

impl ActiveRequest {
    pub(crate) fn open(node: &Node) -> ActiveRequest {
        let count = Rc::clone(&node.active);
        count.set(count.get() + 1);
        ActiveRequest(count)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A stream could not be resumed: the caller's connection is closed without a regular end of the
/// body.
#[derive(Clone, Debug, Display, Error)]
#[display("cut: {cause}")]
pub(crate) struct StreamCut {
    pub(crate) cause: String,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match &mut self.get_mut().content {
            Content::Complete(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Content::Stream(stream) => {
                let next = stream.as_mut().poll_next(cx);
                next.map(|item| item.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Reason why a request ends without a runner's answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Cause {
    /// This instance has no confirmed configuration.
    #[display("no confirmed configuration")]
    Unconfirmed,
    /// No header holds the name of the request's organisation.
    #[display("no header holds its organisation's name")]
    UnnamedOrganisation,
    /// There is no chain or runner for the service.
    #[display("nothing serves it")]
    NoRunner,
    /// This instance reaches no runner for the service.
    #[display("no path to its runners")]
    NoPath,
    /// All runners for the service asked for no requests for a while.
    #[display("its runners asked for rest")]
    Resting,
    /// No chain has room.
    #[display("no room")]
    NoRoom,
    /// The share of the request's priority is used up.
    #[display("no room for its priority")]
    NoRoomForPriority,
    /// The request's organisation is above its fair share.
    #[display("organisation above its share")]
    OrganisationAboveShare,
    /// Another instance, to which the request was forwarded, refused it.
    #[display("another instance refused")]
    RefusedElsewhere,
    /// All runners tried refused the request.
    #[display("runners refused")]
    Refused,
    /// A runner failed or sent an invalid answer.
    #[display("runner failed")]
    RunnerFailed,
    /// The request was sent before, and the retry budget permits no further send.
    #[display("no retry left")]
    NoRetry,
    /// The request is quarantined because runners crash when they run it, or this is undecided.
    #[display("its runners end under it")]
    Quarantined,
    /// This instance stops.
    #[display("this instance stops")]
    Stopping,
    /// The deadline has passed.
    #[display("out of time")]
    Timeout,
}

/// What became of the sends of a request that no runner answered, as an extension of its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendFacts {
    pub(crate) cause: Cause,
    pub(crate) sends: u32,
    pub(crate) may_have_run: bool,
}

/// What became of the sends of a request before another instance gets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PriorSends {
    /// It was not sent to a runner.
    #[default]
    None,
    /// It was sent, and has certainly not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Record of the sends of one request to runners.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendRecord {
    /// Sends that a runner received or may have received.
    pub(crate) sends: u32,
    /// Sends that are not known to have not run.
    unresolved: u32,
}

impl SendRecord {
    /// Records a send that is about to begin.
    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
        self.unresolved += 1;
    }

    /// Records that one of the sends certainly did not run: the connection failed, or the runner
    /// states it.
    pub(crate) fn record_not_run(&mut self) {
        self.unresolved = self.unresolved.saturating_sub(1);
    }

    /// Records that the connection for one of the sends failed, so that the runner received nothing.
    pub(crate) fn record_unreached(&mut self) {
        self.record_not_run();
        self.sends = self.sends.saturating_sub(1);
    }

    /// Returns whether any send may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.unresolved > 0
    }

    /// Returns the sends as another instance is told of them.
    pub(crate) fn as_prior(&self) -> PriorSends {
        match (self.sends, self.may_have_run()) {
            (0, _) => PriorSends::None,
            (_, false) => PriorSends::NotRun,
            (_, true) => PriorSends::MayHaveRun,
        }
    }

    /// Returns the priority of a further send of the request.
    pub(crate) fn retry_priority(&self) -> RetryPriority {
        match self.may_have_run() {
            true => RetryPriority::Committed,
            false => RetryPriority::Refusable,
        }
    }

    /// Returns the final answer of a request that no runner answered.
    pub(crate) fn failure(&self, cause: Cause, retry_after_ms: Millis) -> Response<RelayBody> {
        let mut res = self.failure_response(cause, retry_after_ms);
        res.extensions_mut().insert(SendFacts {
            cause,
            sends: self.sends,
            may_have_run: self.may_have_run(),
        });
        res
    }

    fn failure_response(&self, cause: Cause, retry_after_ms: Millis) -> Response<RelayBody> {
        if self.may_have_run() {
            let status = match cause {
                Cause::Timeout | Cause::Stopping => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            return plain(status, &cause.to_string());
        }
        let mut res = plain(StatusCode::SERVICE_UNAVAILABLE, &cause.to_string());
        if let Some(value) = header::value(&header::retry_after(retry_after_ms)) {
            res.headers_mut().insert(http::header::RETRY_AFTER, value);
        }
        res
    }
}

/// Returns an answer of this instance with one line of text.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<RelayBody> {
    complete(status, "text/plain", Bytes::from(format!("{text}\n")))
}

/// Returns an answer of this instance with a complete body.
pub(crate) fn complete(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<RelayBody> {
    let mut res = Response::new(RelayBody::complete(body));
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    res.headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    res
}
