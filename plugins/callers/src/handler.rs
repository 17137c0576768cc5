//! Handlers of the completion protocol.

use bytes::Bytes;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_wire::header;
use jacinthweir_wire::runner::EndFrame;
use salvo::prelude::Json;
use tokio::sync::mpsc::Receiver;

use crate::accept::accept;
use crate::answer::{AnswerHead, DONE};
use crate::driver::{Driver, Told};
use crate::pace::Paces;
use crate::prompt::Form;

/// Routes on the callers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    let paces = Paces::of(cx);
    let completions = |form| Completions {
        cx: Arc::clone(cx),
        paces: Arc::clone(&paces),
        form,
    };
    let chat = completions(Form::Chat);
    let plain = completions(Form::Plain);
    vec![
        Router::with_path("v1/chat/completions").post(chat),
        Router::with_path("v1/completions").post(plain),
    ]
}

struct Completions {
    cx: Arc<Kernel>,
    paces: Arc<Paces>,
    form: Form,
}

#[handler]
impl Completions {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let accepted = match accept(&self.cx, self.form, req).await {
            Ok(accepted) => accepted,
            Err(refusal) => return refusal.write(res, None),
        };
        let stream = accepted.prompt.stream;
        let (head, mut rx) = Driver::spawn(&self.cx, &self.paces, accepted);
        let Some(first) = rx.recv().await else {
            return Refusal::internal().write(res, Some(&head.id));
        };
        if let Told::Refused(refusal) = &first {
            return refusal.write(res, Some(&head.id));
        }
        if stream {
            write_stream(res, head, first, rx);
        } else {
            write_whole(res, &head, first, rx).await;
        }
    }
}

async fn write_whole(res: &mut Response, head: &AnswerHead, first: Told, mut rx: Receiver<Told>) {
    match collect(first, &mut rx).await {
        Ok((text, end)) => {
            reply::mark(res, Outcome::Answered, Some(&head.id));
            res.render(Json(head.whole(text, &end)));
        }
        Err(refusal) => refusal.write(res, Some(&head.id)),
    }
}

/// Collects the whole text; nothing goes out before its end was seen.
async fn collect(first: Told, rx: &mut Receiver<Told>) -> Result<(String, EndFrame), Refusal> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(told) = next {
        match told {
            Told::Token(piece) => text.push_str(&piece),
            Told::End(end) => return Ok((text, end)),
            Told::Refused(refusal) => return Err(refusal),
        }
        next = rx.recv().await;
    }
    Err(Refusal::internal())
}

fn write_stream(res: &mut Response, head: AnswerHead, first: Told, rx: Receiver<Told>) {
    reply::set_header(res, header::OUTCOME, header::STREAMED);
    reply::set_header(res, header::REQUEST, &head.id);
    reply::set_header(res, "content-type", "text/event-stream");
    reply::set_header(res, "cache-control", "no-cache");
    res.stream(events(head, first, rx));
}

/// The events of a stream. A channel that closes without an end is told as an error: a clean end
/// would make a part look like the whole.
fn events(
    head: AnswerHead,
    first: Told,
    rx: Receiver<Told>,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static {
    let state = Some((head, Some(first), rx));
    futures::stream::unfold(state, |state| async move {
        let (head, first, mut rx) = state?;
        let told = match first {
            Some(told) => told,
            None => rx
                .recv()
                .await
                .unwrap_or_else(|| Told::Refused(Refusal::internal())),
        };
        match told {
            Told::Token(text) => {
                let bytes = head.token(text);
                Some((Ok(bytes), Some((head, None, rx))))
            }
            Told::End(end) => {
                let mut bytes = head.end(&end).to_vec();
                bytes.extend_from_slice(DONE);
                Some((Ok(Bytes::from(bytes)), None))
            }
            Told::Refused(refusal) => Some((Ok(head.error(&refusal)), None)),
        }
    })
}
