//! HTTP handlers of the completion protocol.

use bytes::Bytes;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_wire::header;
use jacinthweir_wire::runner::EndFrame;
use salvo::prelude::Json;
use tokio::sync::mpsc::Receiver;

use crate::accept::accept_until_stop;
use crate::answer::{AnswerHead, DONE};
use crate::driver::{AnswerPart, Driver};
use crate::prompt::Endpoint;
use crate::retry_state::RetryStates;

/// Returns the routes on the callers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    let retry_states = RetryStates::of(cx);
    let completions = |endpoint| Completions {
        cx: Arc::clone(cx),
        retry_states: Arc::clone(&retry_states),
        endpoint,
    };
    let chat = completions(Endpoint::Chat);
    let text = completions(Endpoint::Text);
    vec![
        Router::with_path("v1/chat/completions").post(chat),
        Router::with_path("v1/completions").post(text),
    ]
}

struct Completions {
    cx: Arc<Kernel>,
    retry_states: Arc<RetryStates>,
    endpoint: Endpoint,
}

#[handler]
impl Completions {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let accepted = match accept_until_stop(&self.cx, self.endpoint, req).await {
            Ok(accepted) => accepted,
            Err(refusal) => return refusal.write(res, None),
        };
        let stream = accepted.prompt.stream;
        let (head, mut rx) = Driver::spawn(&self.cx, &self.retry_states, accepted);
        let Some(first) = rx.recv().await else {
            return Refusal::internal().write(res, Some(&head.id));
        };
        if let AnswerPart::Refused(refusal) = &first {
            return refusal.write(res, Some(&head.id));
        }
        if stream {
            write_stream(res, head, first, rx);
        } else {
            write_body(res, &head, first, rx).await;
        }
    }
}

async fn write_body(
    res: &mut Response,
    head: &AnswerHead,
    first: AnswerPart,
    mut rx: Receiver<AnswerPart>,
) {
    match collect(first, &mut rx).await {
        Ok((text, end)) => {
            reply::set_outcome_headers(res, Outcome::Answered, Some(&head.id));
            res.render(Json(head.complete(text, &end)));
        }
        Err(refusal) => refusal.write(res, Some(&head.id)),
    }
}

/// Collects the full text; nothing is sent to the caller before the answer is complete.
async fn collect(
    first: AnswerPart,
    rx: &mut Receiver<AnswerPart>,
) -> Result<(String, EndFrame), Refusal> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            AnswerPart::Token(token) => text.push_str(&token),
            AnswerPart::End(end) => return Ok((text, end)),
            AnswerPart::Refused(refusal) => return Err(refusal),
        }
        next = rx.recv().await;
    }
    Err(Refusal::internal())
}

fn write_stream(res: &mut Response, head: AnswerHead, first: AnswerPart, rx: Receiver<AnswerPart>) {
    reply::set_header(res, header::OUTCOME, header::STREAMED);
    reply::set_header(res, header::REQUEST, &head.id);
    reply::set_header(res, "content-type", "text/event-stream");
    reply::set_header(res, "cache-control", "no-cache");
    res.stream(events(head, first, rx));
}

/// Returns the events of a stream.
///
/// A channel that closes without an end is reported as an error event: a clean end would make a
/// truncated answer look complete.
fn events(
    head: AnswerHead,
    first: AnswerPart,
    rx: Receiver<AnswerPart>,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static {
    let state = Some((head, Some(first), rx));
    futures::stream::unfold(state, |state| async move {
        let (head, first, mut rx) = state?;
        let part = match first {
            Some(part) => part,
            None => rx
                .recv()
                .await
                .unwrap_or_else(|| AnswerPart::Refused(Refusal::internal())),
        };
        match part {
            AnswerPart::Token(text) => {
                let bytes = head.token(text);
                Some((Ok(bytes), Some((head, None, rx))))
            }
            AnswerPart::End(end) => {
                let mut bytes = head.end(&end).to_vec();
                bytes.extend_from_slice(DONE);
                Some((Ok(Bytes::from(bytes)), None))
            }
            AnswerPart::Refused(refusal) => Some((Ok(head.error(&refusal)), None)),
        }
    })
}
