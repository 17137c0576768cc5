//! A send of a call through another instance.

use std::time::Duration;

use http::Response;
use jacinthweir_clients::buffers::Purpose;
use jacinthweir_clients::direct::ResponseBody;
use jacinthweir_policy::relay::attempts::Attempts;
use tokio::time::timeout;

use super::{MAX_ANSWER_BYTES, SendEnd};
use crate::answer::{PriorSends, RelayBody};
use crate::forwarding::{self, Forwarded, Ran, StreamProgress};
use crate::node::Node;
use crate::request::{ProxiedRequest, count_outcome};

/// Sends a call through another instance, which does not send it to the runners `ran`.
pub(super) async fn run(
    node: &Node,
    rq: &ProxiedRequest,
    prior: PriorSends,
    ran: Vec<Ran>,
) -> SendEnd {
    let attempts = Attempts::resumed(ran, 0, 0);
    match forwarding::send(node, rq, StreamProgress::none(rq), prior, &attempts).await {
        Forwarded::Answer { res, .. } => read_answer(node, rq, res).await,
        Forwarded::Refused { retry_after_ms, .. } => SendEnd::RefusedElsewhere { retry_after_ms },
        Forwarded::NotTaken => SendEnd::NotTaken,
        Forwarded::Lost { .. } => SendEnd::Failed(None),
        Forwarded::Timeout => SendEnd::Timeout,
    }
}

/// Reads the answer that another instance passes on.
async fn read_answer(node: &Node, rq: &ProxiedRequest, res: Response<ResponseBody>) -> SendEnd {
    let left = Duration::from_millis(rq.remaining_ms(node));
    let (parts, body) = res.into_parts();
    match timeout(left, body.collect(MAX_ANSWER_BYTES, Purpose::Data)).await {
        Ok(Ok(bytes)) => {
            let mut res = Response::new(RelayBody::complete(bytes));
            *res.status_mut() = parts.status;
            *res.headers_mut() = forwarding::caller_headers(&parts.headers);
            if parts.status.is_server_error() {
                return SendEnd::Failed(Some(res));
            }
            count_outcome("forwarded");
            SendEnd::Answered(res)
        }
        Ok(Err(_)) => SendEnd::Failed(None),
        Err(_) => SendEnd::Timeout,
    }
}
