//! Encodes an answer as one JSON body or as server-sent events.

use bytes::Bytes;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_wire::caller::{ChatMessage, Choice, Completion, Delta, FinishReason, Usage};
use jacinthweir_wire::runner::EndFrame;

use crate::prompt::Endpoint;

/// Terminates a stream whose answer is complete.
pub(crate) const DONE: &[u8] = b"data: [DONE]\n\n";

/// Fields common to the body or all events of one answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    pub(crate) endpoint: Endpoint,
    pub(crate) id: Name,
    pub(crate) model: Name,
    /// Unix time, in seconds.
    pub(crate) created: u64,
}

impl AnswerHead {
    /// Returns the body of a complete answer.
    pub(crate) fn complete(&self, text: String, end: &EndFrame) -> Completion {
        let mut choice = Choice {
            finish_reason: Some(end.finish),
            ..Choice::default()
        };
        match self.endpoint {
            Endpoint::Chat => {
                choice.message = Some(ChatMessage {
                    role: "assistant".into(),
                    content: text,
                });
            }
            Endpoint::Text => choice.text = Some(text),
        }
        let mut completion = self.completion(choice, Kind::Full);
        completion.usage = Some(usage(end));
        completion.outcome = Some(Outcome::Answered);
        completion
    }

    /// Returns the event for one token.
    pub(crate) fn token(&self, text: String) -> Bytes {
        let choice = self.chunk_choice(Some(text), None);
        event(&self.completion(choice, Kind::Chunk))
    }

    /// Returns the final event of a complete answer.
    pub(crate) fn end(&self, end: &EndFrame) -> Bytes {
        let choice = self.chunk_choice(None, Some(end.finish));
        let mut completion = self.completion(choice, Kind::Chunk);
        completion.usage = Some(usage(end));
        completion.outcome = Some(Outcome::Answered);
        event(&completion)
    }

    /// Returns the event that ends a stream whose answer is incomplete.
    pub(crate) fn error(&self, refusal: &Refusal) -> Bytes {
        let body = refusal.body(Some(&self.id));
        let json = serde_json::to_string(&body).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn chunk_choice(&self, text: Option<String>, finish_reason: Option<FinishReason>) -> Choice {
        let mut choice = Choice {
            finish_reason,
            ..Choice::default()
        };
        match self.endpoint {
            Endpoint::Chat => choice.delta = Some(Delta { content: text }),
            Endpoint::Text => choice.text = Some(text.unwrap_or_default()),
        }
        choice
    }

    fn completion(&self, choice: Choice, kind: Kind) -> Completion {
        let object = match (self.endpoint, kind) {
            (Endpoint::Chat, Kind::Full) => "chat.completion",
            (Endpoint::Chat, Kind::Chunk) => "chat.completion.chunk",
            (Endpoint::Text, _) => "text_completion",
        };
        Completion {
            id: self.id.clone(),
            object: object.to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![choice],
            usage: None,
            outcome: None,
        }
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Full,
    Chunk,
}

fn usage(end: &EndFrame) -> Usage {
    Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: end.tokens,
        total_tokens: end.prompt_tokens.saturating_add(end.tokens),
    }
}

fn event(completion: &Completion) -> Bytes {
    let json = serde_json::to_string(completion).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
