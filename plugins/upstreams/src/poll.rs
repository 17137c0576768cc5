//! Polls the upstreams that this instance is an observer of.

use std::time::Duration;

use futures::StreamExt;
use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::upstreams::{Confirm, ConfirmOutcome, Poll, PollKind, PollOutcome};
use jacinthweir_wire::peer::{ProbeReply, ProbeRequest};

use crate::cache;

/// Polls in flight at once.
const POLLS_AT_ONCE: usize = 16;

/// Polls over and over.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.load_poll_ms);
    loop {
        let polls = due(&cx);
        let polls = futures::stream::iter(polls).map(|p| observe(&cx, p));
        polls
            .buffer_unordered(POLLS_AT_ONCE)
            .collect::<Vec<()>>()
            .await;
        tokio::time::sleep(period).await;
    }
}

fn due(cx: &Kernel) -> Vec<Poll> {
    let live: Vec<_> = cx.membership().live().cloned().collect();
    let mut upstreams = cx.upstreams();
    upstreams.set_live(live.iter());
    upstreams.to_poll(cx.clock.reading())
}

async fn observe(cx: &Arc<Kernel>, poll: Poll) {
    let outcome = attempt(cx, &poll).await;
    if let PollOutcome::Report(report) = &outcome {
        cache::read(cx, &poll, report.incarnation).await;
    }
    let now = cx.clock.reading();
    let confirms = cx.upstreams().polled(now, &poll, &outcome);
    confirm_all(cx, confirms);
}

async fn attempt(cx: &Kernel, poll: &Poll) -> PollOutcome {
    match poll.kind {
        PollKind::Load => match cx.runners.load(poll.address).await {
            Ok(report) => PollOutcome::Report(report),
            Err(e) => failed(&poll.name, &e.to_string()),
        },
        PollKind::Connect => match connect(cx, poll).await {
            Ok(()) => PollOutcome::Connected,
            Err(e) => failed(&poll.name, &e.to_string()),
        },
    }
}

async fn connect(cx: &Kernel, poll: &Poll) -> std::io::Result<()> {
    let limit = Duration::from_millis(cx.settings.timing.upstream_timeout_ms);
    let connect = tokio::net::TcpStream::connect(poll.address);
    tokio::time::timeout(limit, connect).await??;
    Ok(())
}

fn failed(name: &Name, cause: &str) -> PollOutcome {
    debug!("poll of {name}: {cause}");
    metrics::counter!("jacinthweir_polls_failed_total").increment(1);
    PollOutcome::Failed
}

/// Asks other observers to reach upstreams, each in a task of its own.
pub(crate) fn confirm_all(cx: &Arc<Kernel>, confirms: Vec<Confirm>) {
    for confirm in confirms {
        let cx = Arc::clone(cx);
        let task = confirm_one(Arc::clone(&cx), confirm);
        cx.spawn(task);
    }
}

async fn confirm_one(cx: Arc<Kernel>, confirm: Confirm) {
    let Some(peer) = cx.peer_address(&confirm.via) else {
        return;
    };
    let msg = ProbeRequest::Upstream {
        address: confirm.address,
        kind: confirm.kind,
    };
    let reply: Result<ProbeReply, ClientError> = cx.peers.post(peer, "/peer/probe", &msg).await;
    let outcome = match reply {
        Ok(ProbeReply::Report(report)) => ConfirmOutcome::Polled(PollOutcome::Report(report)),
        Ok(ProbeReply::Connected) => ConfirmOutcome::Polled(PollOutcome::Connected),
        Ok(ProbeReply::NotReached) => ConfirmOutcome::Polled(PollOutcome::Failed),
        Ok(ProbeReply::Member(_)) | Err(_) => ConfirmOutcome::NoAnswer,
    };
    let now = cx.clock.reading();
    cx.upstreams().confirmed(now, &confirm, &outcome);
}
