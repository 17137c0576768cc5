//! Requests of the two completion endpoints, reduced to one type.

use jacinthweir_kernel::prelude::*;
use jacinthweir_wire::caller::{ChatRequest, CompletionRequest};

/// Endpoint of the completion protocol, which decides how the answer is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A request to either endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) endpoint: Endpoint,
    pub(crate) pipeline: Name,
    pub(crate) text: String,
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<u32>,
}

impl From<ChatRequest> for Prompt {
    fn from(req: ChatRequest) -> Self {
        let mut text = String::new();
        for msg in &req.messages {
            text.push_str(&msg.role);
            text.push_str(": ");
            text.push_str(&msg.content);
            text.push('\n');
        }
        Prompt {
            endpoint: Endpoint::Chat,
            pipeline: req.model,
            text,
            stream: req.stream,
            max_tokens: req.max_tokens,
        }
    }
}

impl From<CompletionRequest> for Prompt {
    fn from(req: CompletionRequest) -> Self {
        Prompt {
            endpoint: Endpoint::Text,
            pipeline: req.model,
            text: req.prompt,
            stream: req.stream,
            max_tokens: req.max_tokens,
        }
    }
}
