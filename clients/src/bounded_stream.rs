//! A connection that gives up on bytes that are no answer.
//!
//! A faulty server may send bytes without end of which none reaches the reader of the answer: informational
//! (1xx) heads, leading zeros and extensions of chunk sizes, trailers. Until the deadline, each such
//! connection takes processor time and bandwidth. So bytes that are received and not delivered are bounded,
//! by a constant for the head and by a multiple of the delivered ones for the framing of chunks.
//!
//! The exchanges of a kept connection follow each other, so the count begins anew with each write of a
//! request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Received bytes that need not be delivered: heads, and what is buffered on the way to the reader.
const ALLOWANCE_BYTES: u64 = 64 << 10;

/// Received bytes for each delivered one. A chunk of one byte takes six.
const RECEIVED_PER_DELIVERED: u64 = 8;

/// Bytes of the answer that a connection receives.
#[derive(Debug, Default)]
pub(crate) struct Received {
    received: AtomicU64,
    delivered: AtomicU64,
}

impl Received {
    /// Records bytes that the reader of the answer got.
    fn record_delivered(&self, bytes: usize) {
        self.delivered.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that bytes of a request were written.
    fn record_written(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.delivered.store(0, Ordering::Relaxed);
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let received = self.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let delivered = self.delivered.load(Ordering::Relaxed);
        if received > ALLOWANCE_BYTES + RECEIVED_PER_DELIVERED * delivered {
            let cause = "too many bytes that are no answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        Ok(())
    }
}

/// A connection whose reads fail once too many bytes were received that are no answer.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    received: Arc<Received>,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream, received: Arc<Received>) -> Self {
        BoundedStream { stream, received }
    }

    /// Returns the count of the connection's bytes.
    pub(crate) fn received(&self) -> Arc<Received> {
        Arc::clone(&self.received)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        Poll::Ready(self.received.record_received(bytes))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.received.record_written();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.received.record_written();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of an answer that records what its reader gets.
#[derive(Debug)]
pub(crate) struct CountedBody {
    incoming: Incoming,
    received: Arc<Received>,
}

impl CountedBody {
    pub(crate) fn new(incoming: Incoming, received: Arc<Received>) -> Self {
        CountedBody { incoming, received }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.received.record_delivered(data.len());
        }
        Poll::Ready(frame)
    }
}
