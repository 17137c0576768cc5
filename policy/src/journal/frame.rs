//! Matching of upstream frames to the caller's answer.
//!
//! Frames may be late, duplicated or belong to another request: from an attempt that continued
//! after its cancellation, from a connection that was used for another request, or from a faulty
//! upstream. A frame is accepted only if its request, attempt and index all match; otherwise it is
//! counted and dropped, and the driver closes the connection that it was received on.

use super::Journal;
use derive_more::Display;

/// Identification that a frame carries.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Request id.
    pub request: &'a str,
    /// Attempt number.
    pub attempt: u32,
}

/// Whether a frame belongs to the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// The frame is the next one of the answer.
    Accept,
    /// The frame does not belong to the answer: drop it and close its connection.
    Drop(DropReason),
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DropReason {
    /// The frame carries the id of another request.
    #[display("other request")]
    OtherRequest,
    /// Its attempt was never dispatched.
    #[display("attempt not handed")]
    NotDispatched,
    /// A newer attempt has been dispatched, and this one is over.
    #[display("stale attempt")]
    StaleAttempt,
    /// Its attempt is already over.
    #[display("attempt is over")]
    AttemptOver,
    /// The caller already has this token.
    #[display("token repeated")]
    Repeated,
    /// A token before this one is missing.
    #[display("token skipped")]
    Skipped,
    /// The end frame's token count differs from the number of tokens that the caller has.
    #[display("end does not match the tokens")]
    WrongLength,
    /// The outcome of the request was already reported.
    #[display("request is closed")]
    Closed,
}

impl Journal {
    /// Checks that a token frame is the next token of the answer. A dropped frame is counted.
    pub fn accept(&mut self, frame: Frame<'_>, index: u32) -> Verdict {
        let reason = self
            .mismatch(frame)
            .or_else(|| match index.cmp(&self.tokens) {
                std::cmp::Ordering::Less => Some(DropReason::Repeated),
                std::cmp::Ordering::Equal => None,
                std::cmp::Ordering::Greater => Some(DropReason::Skipped),
            });
        self.verdict(reason)
    }

    /// Checks that an end frame ends this answer with the number of tokens that the caller has.
    pub fn accept_end(&mut self, frame: Frame<'_>, tokens: u32) -> Verdict {
        let reason = self
            .mismatch(frame)
            .or((tokens != self.tokens).then_some(DropReason::WrongLength));
        self.verdict(reason)
    }

    /// Checks that a frame of any other kind, such as a failure, belongs to the latest attempt.
    pub fn accept_other(&mut self, frame: Frame<'_>) -> Verdict {
        let reason = self.mismatch(frame);
        self.verdict(reason)
    }

    fn mismatch(&self, frame: Frame<'_>) -> Option<DropReason> {
        if frame.request != &*self.request {
            return Some(DropReason::OtherRequest);
        }
        if self.closed.is_some() {
            return Some(DropReason::Closed);
        }
        let latest = self.attempts.last().map_or(0, |a| a.number);
        match self.attempt(frame.attempt).map(|a| a.state) {
            Some(state) if state.is_open() => None,
            _ if frame.attempt < latest => Some(DropReason::StaleAttempt),
            None => Some(DropReason::NotDispatched),
            Some(_) => Some(DropReason::AttemptOver),
        }
    }

    fn verdict(&mut self, reason: Option<DropReason>) -> Verdict {
        match reason {
            None => Verdict::Accept,
            Some(reason) => {
                self.dropped_frames = self.dropped_frames.saturating_add(1);
                Verdict::Drop(reason)
            }
        }
    }
}
