//! Faults of a document.

use serde::{Deserialize, Serialize};

/// Field name of a fault that concerns the whole document.
pub const WHOLE_DOCUMENT: &str = "document";

/// Maximum length of the field and of the message of a fault, in characters. Limited because a
/// fault may quote untrusted input.
const MAX_QUOTED_CHARS: usize = 200;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("line {line}: {field}: {message}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Path of the field, such as `models[0].layers`.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

impl Fault {
    /// Creates a fault, with its texts truncated and their control characters replaced.
    pub fn new(line: usize, field: &str, message: &str) -> Self {
        Self {
            line,
            field: sanitize(field),
            message: sanitize(message),
        }
    }
}

/// Truncates the text and replaces control characters, which could forge lines of a log or
/// terminal.
fn sanitize(text: &str) -> String {
    let replace_control = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    let mut sanitized: String = text
        .chars()
        .take(MAX_QUOTED_CHARS)
        .map(replace_control)
        .collect();
    if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
        sanitized.push('…');
    }
    sanitized
}
