//! Body of an interrupted run that may still go on.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

use bytes::Bytes;
use jacinthweir_clients::direct::{DirectError, ResponseBody};

/// The body of a run from which nothing comes. It is read while another run is sought, and whoever
/// seeks may close it.
pub(super) struct SilentBody(RefCell<Option<ResponseBody>>);

impl SilentBody {
    pub(super) fn new(body: Option<ResponseBody>) -> SilentBody {
        SilentBody(RefCell::new(body))
    }

    pub(super) fn is_open(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Closes the connection, which ends the run.
    pub(super) fn close(&self) {
        self.0.take();
    }

    /// Returns the next bytes, or `None` at the end of the body. Never returns once it is closed.
    pub(super) async fn next(&self) -> Option<Result<Bytes, DirectError>> {
        poll_fn(|cx| match self.0.borrow_mut().as_mut() {
            // The future keeps no state between polls.
            Some(body) => pin!(body.next()).poll(cx),
            None => Poll::Pending,
        })
        .await
    }

    pub(super) fn into_inner(self) -> Option<ResponseBody> {
        self.0.into_inner()
    }
}
