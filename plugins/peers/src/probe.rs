//! Probes: asking a peer to reach another instance, and answering such a request.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::membership::{Peer, ProbeOutcome};
use jacinthweir_wire::peer::{PollKind, ProbeReply, ProbeRequest};
use tokio::net::TcpStream;

/// Asks `via` to reach `suspect`, and reports to the membership.
pub(crate) async fn ask(cx: Arc<Kernel>, via: Peer, suspect: Peer, round: u64) {
    let (Some(via_name), Some(suspect_name)) = (via.name, suspect.name) else {
        return;
    };
    let msg = ProbeRequest::Member {
        address: suspect.address,
    };
    let reply = cx.peers.post(via.address, "/peer/probe", &msg).await;
    let outcome = match reply {
        Ok(ProbeReply::Member(record)) => ProbeOutcome::Reached(record),
        Ok(ProbeReply::NotReached) => ProbeOutcome::NotReached,
        Ok(ProbeReply::Report(_) | ProbeReply::Connected) | Err(_) => ProbeOutcome::NoAnswer,
    };
    let now = cx.clock.reading();
    let mut membership = cx.membership();
    membership.probe_result(now, &suspect_name, &via_name, round, &outcome);
    if let Some(m) = membership.member(&suspect_name).filter(|m| m.suspected()) {
        warn!(
            "instance {suspect_name} is {}: {via_name} did not reach it either",
            m.verdict
        );
    }
}

/// Tries to reach what a peer asked for. Takes half of a peer call's time-out at most, so that
/// the answer comes before the asking peer gives up.
pub(crate) async fn try_it(cx: &Kernel, msg: ProbeRequest) -> ProbeReply {
    let limit = Duration::from_millis(cx.settings.timing.peer_timeout_ms / 2);
    let reply = match msg {
        ProbeRequest::Member { address } => tokio::time::timeout(limit, member(cx, address)).await,
        ProbeRequest::Upstream { address, kind } => {
            tokio::time::timeout(limit, upstream(cx, address, kind)).await
        }
    };
    reply.unwrap_or(ProbeReply::NotReached)
}

async fn member(cx: &Kernel, address: SocketAddr) -> ProbeReply {
    match cx.peers.own_record(address).await {
        Ok(record) => ProbeReply::Member(record),
        Err(_) => ProbeReply::NotReached,
    }
}

async fn upstream(cx: &Kernel, address: SocketAddr, kind: PollKind) -> ProbeReply {
    let reply = match kind {
        PollKind::Load => cx.runners.load(address).await.map(ProbeReply::Report).ok(),
        PollKind::Connect => {
            let connected = TcpStream::connect(address).await;
            connected.map(|_| ProbeReply::Connected).ok()
        }
    };
    reply.unwrap_or(ProbeReply::NotReached)
}
