//! Answers whose last bytes wait in the write buffer of a connection.
//!
//! The HTTP server takes the body of an answer as fast as it is offered, and keeps what a slow caller has not
//! taken yet. It flushes the connection's stream only when that buffer is empty. A request therefore
//! stays active from the drop of its body until the next flush of the stream, or the end of the connection.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::answer::ActiveRequest;

/// Requests of one connection whose answers are not sent completely.
#[derive(Clone, Default)]
pub(crate) struct UnsentAnswers(Rc<RefCell<Vec<ActiveRequest>>>);

impl UnsentAnswers {
    /// Keeps a request active until the connection is flushed.
    pub(crate) fn push(&self, active: ActiveRequest) {
        self.0.borrow_mut().push(active);
    }

    fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Stream of a connection that records when all answers are sent.
pub(crate) struct RecordedStream {
    stream: TcpStream,
    unsent: UnsentAnswers,
}

impl RecordedStream {
    pub(crate) fn new(stream: TcpStream, unsent: UnsentAnswers) -> RecordedStream {
        RecordedStream { stream, unsent }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(cx, buf)
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().stream().poll_flush(cx))?;
        self.unsent.clear();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
