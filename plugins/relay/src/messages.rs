//! Messages between instances, and their transport.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use jacinthweir_clients::direct;
use jacinthweir_policy::membership::{MemberDelta, MemberDigest, MemberRecord};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::loads::{LoadDigest, LoadUpdate, ServiceCounts};
use jacinthweir_policy::relay::reachability::PeerFinding;
use serde::{Deserialize, Serialize};

use crate::configuration::RelayedConfiguration;
use crate::gossip::News;
use crate::peers::View;
use crate::runner_changes::RelayedChanges;
use crate::start::RunnersCopy;
use crate::tasks::{self, Job};

/// Path to which instances post their messages.
pub(crate) const PATH: &str = "/peer";

/// Timeout of a message to a peer. Peers are a millisecond away; one that takes longer counts as
/// silent for this round.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a message in bytes, enough for a digest of 10,000 instances.
pub(crate) const MAX_MESSAGE_BYTES: usize = 320 << 10;

/// Message from one instance to another.
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    Exchange {
        from: Name,
        members: MemberDigest,
        view: View,
        #[serde(rename = "known")]
        load_digest: LoadDigest,
        #[serde(rename = "told")]
        load_update: LoadUpdate,
    },
    Push {
        from: Name,
        members: MemberDelta,
    },
    /// Changes that cannot wait for the next exchange.
    News(News),
    /// Changes of runners' entries, from an instance that watches them.
    Step(RelayedChanges),
    /// A newer configuration, from an instance of the same failure domain.
    Configuration(RelayedConfiguration),
    /// Asks the receiver to probe the instance at an address.
    Probe {
        address: SocketAddr,
    },
    /// Asks the receiver to probe a lifetime of a runner.
    ProbeRunner {
        runner: Name,
        born_ms: u64,
    },
    /// Asks for the receiver's own member record.
    Own,
    /// Asks for all runners that the receiver knows.
    Runners,
}

/// Reply to a [`Message`].
#[derive(Serialize, Deserialize)]
pub(crate) enum Reply {
    Exchange {
        from: Name,
        members: MemberDelta,
        view: View,
        #[serde(rename = "told")]
        load_update: LoadUpdate,
        /// What former lifetimes of the receiver spent of the retry budgets, if the sender knows.
        #[serde(default)]
        former: Option<Vec<ServiceCounts>>,
    },
    Done,
    Record(MemberRecord),
    NotReached,
    /// What the sender found of a runner.
    Found(PeerFinding),
    Runners(Box<RunnersCopy>),
    /// The sender has what was asked for, and does not send it now.
    Busy,
}

/// Posts a message to the instance at `address` and returns its reply.
pub(crate) async fn post(
    address: SocketAddr,
    message: &Message,
    timeout: Duration,
) -> Result<Reply, String> {
    post_encoded(address, encode(message)?, timeout, MAX_MESSAGE_BYTES).await
}

/// Posts a message whose reply may have up to `max_bytes` bytes.
pub(crate) async fn post_for_long_reply(
    address: SocketAddr,
    message: &Message,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Reply, String> {
    post_encoded(address, encode(message)?, timeout, max_bytes).await
}

/// Sends a message to several instances without waiting for their replies.
pub(crate) fn send_to_all(message: &Message, receivers: &[SocketAddr]) {
    if receivers.is_empty() {
        return;
    }
    let body = match encode(message) {
        Ok(body) => body,
        Err(cause) => return log::error!(cause; "cannot encode a message"),
    };
    for address in receivers.iter().copied() {
        let body = body.clone();
        tasks::spawn_job(Job::Message, async move {
            // A receiver that misses it learns at its next exchange that it is behind.
            if let Err(cause) = post_encoded(address, body, PEER_TIMEOUT, MAX_MESSAGE_BYTES).await {
                log::debug!(address:% = address, cause; "message not delivered");
            }
        });
    }
}

fn encode(message: &Message) -> Result<Bytes, String> {
    let body = rmp_serde::to_vec(message).map_err(|e| e.to_string())?;
    Ok(Bytes::from(body))
}

async fn post_encoded(
    address: SocketAddr,
    body: Bytes,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Reply, String> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(PATH);
    let host = http::HeaderValue::from_str(&address.to_string()).map_err(|e| e.to_string())?;
    req.headers_mut().insert(http::header::HOST, host);
    let res: Response<Bytes> = direct::request(address, req, timeout, max_bytes)
        .await
        .map_err(|e| e.to_string())?;
    rmp_serde::from_slice(res.body()).map_err(|e| e.to_string())
}
