//! Which frames of an upstream belong to the caller's answer.
//!
//! Frames may come late, crossed or twice: from an attempt that was cancelled and went on, from
//! a connection that was used for another request, or from an upstream at fault. A frame is
//! taken only if request, attempt and index all match; else it is counted and dropped, and the
//! driver closes the connection that it came on.

use super::{AttemptState, Journal};
use derive_more::Display;

/// What a frame says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Request id that it carries.
    pub request: &'a str,
    /// Attempt number that it carries.
    pub attempt: u32,
}

/// Whether a frame belongs to the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// It is the next one of the answer.
    Accept,
    /// It is not: drop it and close its connection.
    Drop(DropReason),
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DropReason {
    /// It carries another request's id.
    #[display("other request")]
    OtherRequest,
    /// Its attempt was never handed over.
    #[display("attempt not handed")]
    NotDispatched,
    /// A newer attempt was handed over since.
    #[display("stale attempt")]
    StaleAttempt,
    /// Its attempt is over.
    #[display("attempt is over")]
    AttemptOver,
    /// The caller has this token already.
    #[display("token repeated")]
    Repeated,
    /// A token before this one is missing.
    #[display("token skipped")]
    Skipped,
    /// The end counts another number of tokens than the caller has.
    #[display("end does not match the tokens")]
    WrongLength,
    /// The request's outcome was told already.
    #[display("request is closed")]
    Closed,
}

impl Journal {
    /// Whether a token frame is the next token of the answer. Counts it where it is not.
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

    /// Whether an end frame ends this answer with the tokens that the caller has.
    pub fn accept_end(&mut self, frame: Frame<'_>, tokens: u32) -> Verdict {
        let reason = self
            .mismatch(frame)
            .or((tokens != self.tokens).then_some(DropReason::WrongLength));
        self.verdict(reason)
    }

    /// Whether another frame, such as "broke off", is of the newest attempt.
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
        let newest = self.attempts.last().map_or(0, |a| a.number);
        if frame.attempt < newest {
            return Some(DropReason::StaleAttempt);
        }
        match self.attempt(frame.attempt).map(|a| a.state) {
            None => Some(DropReason::NotDispatched),
            Some(AttemptState::Dispatched) => None,
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
