//! Splitting of a byte stream into complete events.
//!
//! A runner may die in the middle of an event. The partial event must not reach the caller, since
//! the run that resumes the stream sends the event again from its start. Bytes are therefore
//! buffered until their event is complete.
//!
//! Event ids increase. After a resume, the next event must follow the last one that the caller has;
//! events that the caller already has are dropped, and a gap ends the stream.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use jacinthweir_clients::buffers::{PoolExhausted, Reservation};

/// Maximum size of an event, and of a sequence of events without ids, in bytes. It is far above the size of a
/// token and bounds the buffer; comments without end keep no stream open.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Reason why a stream cannot be forwarded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is missing.
    #[display("event {found} follows {last}")]
    Gap {
        /// Id of the last forwarded event.
        last: u64,
        /// Id of the event that arrived.
        found: u64,
    },
    /// An event exceeds the maximum size, or there is none in as many bytes.
    #[display("an event is too long")]
    TooLong,
    /// There is no memory for a partial event.
    #[display("{_0}")]
    NoBuffer(PoolExhausted),
}

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    reservation: Reservation,
    /// Bytes since the last event with an id.
    without_id: usize,
    /// Length of the prefix of the buffer that contains no end of an event.
    searched: usize,
    last: Option<u64>,
    count: u64,
    /// Whether the next event must follow [`EventSplitter::last`], because the run resumes a
    /// stream.
    resumed: bool,
}

impl EventSplitter {
    /// Returns a splitter for a stream that follows event `last`, which the caller already has.
    #[must_use]
    pub fn after(last: Option<u64>) -> EventSplitter {
        EventSplitter {
            last,
            resumed: last.is_some(),
            ..EventSplitter::default()
        }
    }

    /// Returns the id of the last forwarded event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of forwarded events.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether a partial event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Prepares for the bytes of another run that resumes the stream; discards the buffered partial
    /// event.
    pub fn resume(&mut self) {
        self.buffer.clear();
        self.without_id = 0;
        self.searched = 0;
        self.resumed = true;
    }

    /// Adds bytes; returns the events that they complete, concatenated.
    ///
    /// # Errors
    /// See [`EventError`].
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.next_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            if self.should_forward(&event)? {
                complete.extend_from_slice(&event);
                self.count += 1;
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES || self.without_id > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        let reserved = self.reservation.resize(self.buffer.len());
        reserved.map_err(EventError::NoBuffer)?;
        Ok(complete.freeze())
    }

    /// Returns the end of the first event in the buffer, just after its empty line.
    fn next_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for i in from..self.buffer.len() {
            let rest = &self.buffer[i..];
            if rest.starts_with(b"\n\n") {
                return Some(i + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(i + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }

    /// Returns whether an event is to be forwarded, and records its id.
    fn should_forward(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = event_id(event) else {
            self.without_id += event.len();
            return Ok(true);
        };
        self.without_id = 0;
        if let Some(last) = self.last.filter(|_| self.resumed) {
            if id <= last {
                return Ok(false);
            }
            if Some(id) != last.checked_add(1) {
                return Err(EventError::Gap { last, found: id });
            }
        }
        self.last = Some(id);
        Ok(true)
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
