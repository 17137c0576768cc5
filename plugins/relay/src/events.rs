//! A stream of events, cut into whole events.
//!
//! A runner may die in the middle of an event. What it sent of that event must not reach the
//! caller, since the run that goes on elsewhere sends the event again from its start. So bytes are
//! held back until the event they belong to is whole.
//!
//! Events bear increasing ids. After a resume the first event must be the one behind the last that
//! the caller has; one that the caller has is dropped, and a gap ends the stream.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// The longest event, in bytes: far above what a token takes, and bounds what is held back.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A stream cannot be passed on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is missing.
    #[display("event {found} follows {last}")]
    Gap {
        /// Last event passed on.
        last: u64,
        /// Event that came.
        found: u64,
    },
    /// An event is longer than any may be.
    #[display("an event is too long")]
    TooLong,
}

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    /// Up to here there is no end of an event.
    searched: usize,
    last: Option<u64>,
    count: u64,
    /// Whether the next event must follow [`Events::last`]: a run was resumed.
    joined: bool,
}

impl Events {
    /// The stream's events follow `last`, which the caller has.
    #[must_use]
    pub fn after(last: Option<u64>) -> Events {
        Events {
            last,
            joined: last.is_some(),
            ..Events::default()
        }
    }

    /// Id of the last event passed on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events passed on.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether part of an event is held back.
    #[must_use]
    pub fn holds_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Another run goes on: what is held back of the last one is dropped.
    pub fn resume(&mut self) {
        self.held.clear();
        self.searched = 0;
        self.joined = true;
    }

    /// Takes in bytes; returns the whole events that they complete, in one piece.
    ///
    /// # Errors
    /// See [`EventError`].
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventError> {
        self.held.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.next_end() {
            let event = self.held.split_to(end);
            self.searched = 0;
            if self.is_next(&event)? {
                whole.extend_from_slice(&event);
                self.count += 1;
            }
        }
        if self.held.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(whole.freeze())
    }

    /// One past the first empty line.
    fn next_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for i in from..self.held.len() {
            let rest = &self.held[i..];
            if rest.starts_with(b"\n\n") {
                return Some(i + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(i + 3);
            }
        }
        self.searched = self.held.len();
        None
    }

    /// Whether an event is to be passed on.
    fn is_next(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = id_of(event) else {
            return Ok(true);
        };
        if let Some(last) = self.last.filter(|_| self.joined) {
            if id <= last {
                return Ok(false);
            }
            if id != last + 1 {
                return Err(EventError::Gap { last, found: id });
            }
        }
        self.last = Some(id);
        Ok(true)
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
