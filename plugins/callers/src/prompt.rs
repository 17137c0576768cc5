//! What a caller asks for, out of either form of the completion protocol.

use jacinthweir_kernel::prelude::*;
use jacinthweir_wire::caller::{ChatRequest, CompletionRequest};

/// Form of the protocol: decides the form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Plain,
}

/// A request of either form.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) form: Form,
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
            form: Form::Chat,
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
            form: Form::Plain,
            pipeline: req.model,
            text: req.prompt,
            stream: req.stream,
            max_tokens: req.max_tokens,
        }
    }
}
