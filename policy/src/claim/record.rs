//! What stands in the platform at a claim's key.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The longest body of an answer that is kept, in bytes. Hexadecimal digits double it; the
/// platform holds values up to a megabyte.
pub const MAX_RECORDED_BODY: usize = 256 * 1024;

/// A claim, as JSON text in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Instance that holds, or held, the claim.
    pub claimant: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Tells this submission from every other.
    pub nonce: Name,
    /// Request id of the submission.
    pub request: Name,
    /// `service/call`.
    pub call: Name,
    /// SHA-256 of call and body, as hexadecimal digits.
    pub body_sha256: Name,
    /// Deadline of the submission, in Unix milliseconds.
    pub deadline_ms: Millis,
    /// How far it is.
    pub state: ClaimState,
}

/// How far a claim is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Its holder may dispatch, or has.
    Open,
    /// Its holder did not dispatch, or nothing ran, and it never will: may be claimed anew.
    Released,
    /// It ran, or may have: final.
    Finished(Finished),
}

/// How a submission that was dispatched ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finished {
    /// Final outcome; never "not run".
    pub outcome: Outcome,
    /// Upstream that it was sent to.
    pub upstream: Name,
    /// HTTP status of the upstream's answer; 0: none.
    pub status: u16,
    /// Its content type.
    pub content_type: Option<Name>,
    /// How `body` is written.
    pub encoding: Encoding,
    /// Its body.
    pub body: String,
    /// Unix time of the end, in milliseconds.
    pub at_ms: Millis,
}

/// How a recorded body is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Encoding {
    /// As it is.
    Text,
    /// As hexadecimal digits.
    Hex,
    /// Left out: longer than [`MAX_RECORDED_BODY`].
    Omitted,
}

/// What an earlier submission with the same key ended with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recorded {
    /// Instance that ran it.
    pub claimant: Name,
    /// Its request id.
    pub request: Name,
    /// How it ended.
    pub finished: Finished,
}

impl Finished {
    /// An end without an answer: "failed" or "unknown".
    pub fn without_answer(outcome: Outcome, upstream: Name, at_ms: Millis) -> Self {
        Self {
            outcome,
            upstream,
            status: 0,
            content_type: None,
            encoding: Encoding::Text,
            body: String::new(),
            at_ms,
        }
    }

    /// Keeps the body of the upstream's answer, unless it is too long.
    pub fn set_body(&mut self, body: &[u8]) {
        let (encoding, text) = match std::str::from_utf8(body) {
            _ if body.len() > MAX_RECORDED_BODY => (Encoding::Omitted, String::new()),
            Ok(text) => (Encoding::Text, text.to_owned()),
            Err(_) => (Encoding::Hex, hex::encode(body)),
        };
        self.encoding = encoding;
        self.body = text;
    }

    /// The body, whole; `None` where it was too long to be kept, or is damaged.
    pub fn body(&self) -> Option<Vec<u8>> {
        match self.encoding {
            Encoding::Text => Some(self.body.clone().into_bytes()),
            Encoding::Hex => hex::decode(&self.body).ok(),
            Encoding::Omitted => None,
        }
    }
}

impl ClaimRecord {
    /// Reads what stands in the platform.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The text to write to the platform.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
