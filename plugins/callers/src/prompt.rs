//! Requests of the two completion endpoints, reduced to one type.

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::prompt_part::PromptPart;
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
    /// Messages that other prompts for the pipeline may contain as well: all but the last.
    pub(crate) shared_parts: Arc<[PromptPart]>,
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<u32>,
}

impl From<ChatRequest> for Prompt {
    fn from(req: ChatRequest) -> Self {
        let lines = req.messages.iter();
        let lines = lines.map(|msg| format!("{}: {}\n", msg.role, msg.content));
        let lines: Vec<String> = lines.collect();
        let shared = lines.len().saturating_sub(1);
        let shared = lines[..shared].iter().map(|line| {
            let content = format!("{}\n{line}", req.model);
            PromptPart::of_content(content.as_bytes())
        });
        Prompt {
            endpoint: Endpoint::Chat,
            shared_parts: shared.collect(),
            pipeline: req.model,
            text: lines.concat(),
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
            shared_parts: Arc::default(),
            text: req.prompt,
            stream: req.stream,
            max_tokens: req.max_tokens,
        }
    }
}
