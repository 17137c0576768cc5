//! Parts of prompts. Requests share parts, such as instructions or a document; the last part of a
//! prompt belongs to one request or session only.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifier of a part of a prompt: the same for all requests whose prompts contain the part.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0:08x}")]
#[serde(from = "String", into = "String")]
pub struct PromptPart(u128);

impl PromptPart {
    /// Returns the part with an identifier: a hexadecimal number of at most 32 digits, or any other
    /// text.
    #[must_use]
    pub fn named(id: &str) -> PromptPart {
        match u128::from_str_radix(id, 16) {
            Ok(id) => PromptPart(id),
            Err(_) => PromptPart::of_content(id.as_bytes()),
        }
    }

    /// Returns the part with a content.
    #[must_use]
    pub fn of_content(content: &[u8]) -> PromptPart {
        let digest = Sha256::digest(content);
        let id = digest.iter().take(16);
        PromptPart(id.fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}

impl From<String> for PromptPart {
    fn from(id: String) -> PromptPart {
        PromptPart::named(&id)
    }
}

impl From<PromptPart> for String {
    fn from(part: PromptPart) -> String {
        part.to_string()
    }
}

/// Returns parts as text, separated by commas.
#[must_use]
pub fn list(parts: &[PromptPart]) -> String {
    let parts: Vec<String> = parts.iter().map(PromptPart::to_string).collect();
    parts.join(",")
}
