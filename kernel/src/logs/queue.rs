//! Queue of lines that wait to be written.
//!
//! Writing to standard output blocks if nobody reads it. Without a bound, queued lines would then
//! exhaust memory; without the queue, requests would block.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Maximum number of lines waiting to be written.
pub const MAX_QUEUED_LINES: usize = 2_048;

/// Maximum size of the lines waiting to be written, in bytes: usual lines have some hundred each.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;

/// What is queued.
#[derive(Debug)]
pub enum Line {
    /// A line.
    Text(String),
    /// Requests a reply once all preceding lines are written.
    Flush(SyncSender<()>),
}

impl Line {
    fn bytes(&self) -> usize {
        match self {
            Line::Text(text) => text.len(),
            Line::Flush(_) => 0,
        }
    }
}

/// Sending end of the queue.
#[derive(Debug)]
pub struct LineSender {
    tx: SyncSender<Line>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Receiving end of the queue.
#[derive(Debug)]
pub struct LineReceiver {
    rx: Receiver<Line>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Creates a queue.
#[must_use]
pub fn open() -> (LineSender, LineReceiver) {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let sender = LineSender {
        tx,
        queued_bytes: Arc::clone(&queued_bytes),
    };
    (sender, LineReceiver { rx, queued_bytes })
}

impl LineSender {
    /// Queues a line without blocking.
    ///
    /// # Errors
    /// Returns the line if there is no room for it or the receiver is gone.
    pub fn try_send(&self, line: Line) -> Result<(), TrySendError<Line>> {
        let bytes = line.bytes();
        let queued = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let sent = match queued <= MAX_QUEUED_BYTES {
            true => self.tx.try_send(line),
            false => Err(TrySendError::Full(line)),
        };
        if sent.is_err() {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        sent
    }
}

impl LineReceiver {
    /// Waits for the next line; `None` once the sender is gone.
    #[must_use]
    pub fn recv(&self) -> Option<Line> {
        let line = self.rx.recv().ok()?;
        self.queued_bytes.fetch_sub(line.bytes(), Ordering::Relaxed);
        Some(line)
    }
}
