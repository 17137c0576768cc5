//! Indirect probes: requesting a peer to probe another instance, and answering such requests.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::membership::{Peer, ProbeOutcome};
use jacinthweir_wire::peer::{PollKind, ProbeReply, ProbeRequest};
use tokio::net::TcpStream;

/// Requests `via` to probe `suspect`, and reports the result to the membership.
pub(crate) async fn request(cx: Arc<Kernel>, via: Peer, suspect: Peer, round: u64) {
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

/// Runs a probe requested by a peer.
///
/// It takes at most half of the time-out of a peer call, so that the answer arrives before the
/// requesting peer gives up.
pub(crate) async fn run(cx: &Kernel, msg: ProbeRequest) -> ProbeReply {
    let timeout = Duration::from_millis(cx.settings.timing.peer_timeout_ms / 2);
    let reply = match msg {
        ProbeRequest::Member { address } => {
            tokio::time::timeout(timeout, probe_member(cx, address)).await
        }
        ProbeRequest::Upstream { address, kind } => {
            tokio::time::timeout(timeout, probe_upstream(cx, address, kind)).await
        }
    };
    reply.unwrap_or(ProbeReply::NotReached)
}

async fn probe_member(cx: &Kernel, address: SocketAddr) -> ProbeReply {
    match cx.peers.own_record(address).await {
        Ok(record) => ProbeReply::Member(record),
        Err(_) => ProbeReply::NotReached,
    }
}

async fn probe_upstream(cx: &Kernel, address: SocketAddr, kind: PollKind) -> ProbeReply {
    let reply = match kind {
        PollKind::Load => cx.runners.load(address).await.map(ProbeReply::Report).ok(),
        PollKind::Connect => {
            let connected = TcpStream::connect(address).await;
            connected.map(|_| ProbeReply::Connected).ok()
        }
    };
    reply.unwrap_or(ProbeReply::NotReached)
}
