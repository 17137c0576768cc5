//! The forms of an answer: one JSON body, or server-sent events.

use bytes::Bytes;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_wire::caller::{ChatMessage, Choice, Completion, Delta, FinishReason, Usage};
use jacinthweir_wire::runner::EndFrame;

use crate::prompt::Form;

/// The last line of a stream that ended well.
pub(crate) const DONE: &[u8] = b"data: [DONE]\n\n";

/// What all parts of one answer share.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    pub(crate) form: Form,
    pub(crate) id: Name,
    pub(crate) model: Name,
    /// Unix time, in seconds.
    pub(crate) created: u64,
}

impl AnswerHead {
    /// The whole answer.
    pub(crate) fn whole(&self, text: String, end: &EndFrame) -> Completion {
        let mut choice = Choice {
            finish_reason: Some(end.finish),
            ..Choice::default()
        };
        match self.form {
            Form::Chat => {
                choice.message = Some(ChatMessage {
                    role: "assistant".into(),
                    content: text,
                });
            }
            Form::Plain => choice.text = Some(text),
        }
        let mut completion = self.completion(choice, Kind::Whole);
        completion.usage = Some(usage(end));
        completion.outcome = Some(Outcome::Answered);
        completion
    }

    /// The event of one token.
    pub(crate) fn token(&self, text: String) -> Bytes {
        let choice = self.piece(Some(text), None);
        event(&self.completion(choice, Kind::Piece))
    }

    /// The event that ends a whole answer.
    pub(crate) fn end(&self, end: &EndFrame) -> Bytes {
        let choice = self.piece(None, Some(end.finish));
        let mut completion = self.completion(choice, Kind::Piece);
        completion.usage = Some(usage(end));
        completion.outcome = Some(Outcome::Answered);
        event(&completion)
    }

    /// The event that ends a stream whose answer is not whole.
    pub(crate) fn error(&self, refusal: &Refusal) -> Bytes {
        let body = refusal.body(Some(&self.id));
        let json = serde_json::to_string(&body).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn piece(&self, text: Option<String>, finish_reason: Option<FinishReason>) -> Choice {
        let mut choice = Choice {
            finish_reason,
            ..Choice::default()
        };
        match self.form {
            Form::Chat => choice.delta = Some(Delta { content: text }),
            Form::Plain => choice.text = Some(text.unwrap_or_default()),
        }
        choice
    }

    fn completion(&self, choice: Choice, kind: Kind) -> Completion {
        let object = match (self.form, kind) {
            (Form::Chat, Kind::Whole) => "chat.completion",
            (Form::Chat, Kind::Piece) => "chat.completion.chunk",
            (Form::Plain, _) => "text_completion",
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
    Whole,
    Piece,
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
