//! One fault of a document.

use serde::{Deserialize, Serialize};

/// The field name of a fault that concerns the document as a whole.
pub const WHOLE: &str = "document";

/// The longest field or message of a fault, in characters: a fault may quote hostile input.
const MAX_QUOTED_CHARS: usize = 200;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("line {line}: {field}: {message}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Path of the field, as `models[0].layers`.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl Fault {
    /// A fault whose texts are cut to a bounded length and free of control characters.
    pub fn new(line: usize, field: &str, message: &str) -> Self {
        Self {
            line,
            field: printable(field),
            message: printable(message),
        }
    }
}

/// Replaces control characters, which could forge lines of a log or terminal, and cuts the text.
fn printable(text: &str) -> String {
    let clean = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    let mut short: String = text.chars().take(MAX_QUOTED_CHARS).map(clean).collect();
    if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
        short.push('…');
    }
    short
}
