//! Final answers of this instance, and what may be said in them.
//!
//! "Not run" is a promise: callers with work that must not repeat send it again on it. It is said
//! by [`Journal::failure`] and nowhere else, from what was handed to runners.

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

use crate::node::Node;

/// Body of an answer to a caller.
pub(crate) struct RelayBody {
    content: Content,
    active: Option<Active>,
}

enum Content {
    Whole(Option<Bytes>),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>),
}

impl RelayBody {
    pub(crate) fn whole(bytes: Bytes) -> RelayBody {
        RelayBody {
            content: Content::Whole(Some(bytes)),
            active: None,
        }
    }

    pub(crate) fn stream(stream: impl Stream<Item = Result<Bytes, Cut>> + 'static) -> RelayBody {
        RelayBody {
            content: Content::Stream(Box::pin(stream)),
            active: None,
        }
    }

    /// The request counts as active until this body is dropped.
    pub(crate) fn hold(&mut self, active: Active) {
        self.active = Some(active);
    }
}

/// A request of a caller from its head to the last byte of its answer. A shutdown waits for these,
/// not for connections: callers open some on which they send nothing.
pub(crate) struct Active(Rc<Cell<usize>>);

impl Active {
    pub(crate) fn open(node: &Node) -> Active {
        let count = Rc::clone(&node.active);
        count.set(count.get() + 1);
        Active(count)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A stream cannot go on: the caller's connection is closed without a proper end.
#[derive(Clone, Debug, Display, Error)]
#[display("cut: {cause}")]
pub(crate) struct Cut {
    pub(crate) cause: String,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.get_mut().content {
            Content::Whole(bytes) => {
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
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Why a request ends without a runner's answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No configuration that this instance can vouch for.
    #[display("no confirmed configuration")]
    Unconfirmed,
    /// No chain or runner is there.
    #[display("nothing serves it")]
    NoRunner,
    /// There is no room.
    #[display("no room")]
    NoRoom,
    /// Every runner tried refused it.
    #[display("runners refused")]
    Refused,
    /// A runner broke off or sent what is not its answer.
    #[display("runner failed")]
    RunnerFailed,
    /// Runners end under it.
    #[display("its runners end under it")]
    Held,
    /// The time is over.
    #[display("out of time")]
    Timeout,
}

/// What has been handed to runners for one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Journal {
    /// Sends that a runner received or may have received.
    pub(crate) sends: u32,
    /// Sends of which nobody said that they did not run.
    open: u32,
}

impl Journal {
    /// A request is about to be handed to a connection.
    pub(crate) fn hand(&mut self) {
        self.sends += 1;
        self.open += 1;
    }

    /// The last send certainly did not run: no connection came about, or the runner says so.
    pub(crate) fn not_run(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// No connection came about: the runner received nothing.
    pub(crate) fn unreached(&mut self) {
        self.not_run();
        self.sends = self.sends.saturating_sub(1);
    }

    /// Whether some send may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.open > 0
    }

    /// What a further send of the request is for.
    pub(crate) fn need(&self) -> RetryPriority {
        match self.may_have_run() {
            true => RetryPriority::Committed,
            false => RetryPriority::Refusable,
        }
    }

    /// The final answer of a request that no runner answered.
    pub(crate) fn failure(&self, cause: Cause, retry_after_ms: Millis) -> Response<RelayBody> {
        if self.may_have_run() {
            let status = match cause {
                Cause::Timeout => StatusCode::GATEWAY_TIMEOUT,
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

/// An answer of this instance with a line of text.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<RelayBody> {
    whole(status, "text/plain", Bytes::from(format!("{text}\n")))
}

/// A whole answer of this instance.
pub(crate) fn whole(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<RelayBody> {
    let mut res = Response::new(RelayBody::whole(body));
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    res.headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    res
}
