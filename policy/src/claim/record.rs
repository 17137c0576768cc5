//! The record that the platform stores at a claim's key.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum length of an answer's body that is recorded, in bytes. Hexadecimal encoding doubles
/// it; the platform accepts values up to a megabyte.
pub const MAX_RECORDED_BODY_BYTES: usize = 256 * 1024;

/// A claim, as JSON text in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Instance that holds, or held, the claim.
    pub claimant: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Nonce that identifies the submission.
    pub nonce: Name,
    /// Request id of the submission.
    pub request: Name,
    /// `service/call`.
    pub call: Name,
    /// SHA-256 of call and body, as hexadecimal digits.
    pub body_sha256: Name,
    /// Deadline of the submission, in Unix milliseconds.
    pub deadline_ms: Millis,
    /// State of the claim.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Its holder may dispatch, or has dispatched.
    Open,
    /// Its holder did not dispatch, or nothing ran, and it never will: may be claimed again.
    Released,
    /// It ran, or may have run: final.
    Finished(Finished),
}

/// Result of a dispatched submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finished {
    /// Final outcome; never "not run".
    pub outcome: Outcome,
    /// Upstream to which it was sent.
    pub upstream: Name,
    /// HTTP status of the upstream's answer; 0 if there was none.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Option<Name>,
    /// Encoding of `body`.
    pub encoding: Encoding,
    /// Body of the answer.
    pub body: String,
    /// Unix time at which it ended, in milliseconds.
    pub at_ms: Millis,
}

/// Encoding of a recorded body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Encoding {
    /// UTF-8 text, unchanged.
    Text,
    /// Hexadecimal digits.
    Hex,
    /// Not recorded: longer than [`MAX_RECORDED_BODY_BYTES`].
    Omitted,
}

/// Recorded outcome of an earlier submission with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recorded {
    /// Instance that ran it.
    pub claimant: Name,
    /// Its request id.
    pub request: Name,
    /// Its result.
    pub finished: Finished,
}

impl Finished {
    /// Creates a result without an answer: "failed" or "unknown".
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

    /// Records the body of the upstream's answer, unless it exceeds [`MAX_RECORDED_BODY_BYTES`].
    pub fn set_body(&mut self, body: &[u8]) {
        let (encoding, text) = match std::str::from_utf8(body) {
            _ if body.len() > MAX_RECORDED_BODY_BYTES => (Encoding::Omitted, String::new()),
            Ok(text) => (Encoding::Text, text.to_owned()),
            Err(_) => (Encoding::Hex, hex::encode(body)),
        };
        self.encoding = encoding;
        self.body = text;
    }

    /// Returns the whole body; `None` if it was too long to be recorded or is corrupt.
    pub fn body(&self) -> Option<Vec<u8>> {
        match self.encoding {
            Encoding::Text => Some(self.body.clone().into_bytes()),
            Encoding::Hex => hex::decode(&self.body).ok(),
            Encoding::Omitted => None,
        }
    }
}

impl ClaimRecord {
    /// Parses the text stored in the platform.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Serialises the record for the platform.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
