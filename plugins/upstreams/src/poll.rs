//! Polls the upstreams that this instance observes.

use std::io::ErrorKind;
use std::time::Duration;

use futures::StreamExt;
use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::upstreams::{Confirm, ConfirmOutcome, Poll, PollKind, PollOutcome};
use jacinthweir_wire::peer::{ProbeReply, ProbeRequest};

use crate::cache;

/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 16;

/// Polls until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.load_poll_ms);
    loop {
        let polls = due_polls(&cx);
        let polls = futures::stream::iter(polls).map(|p| observe(&cx, p));
        polls
            .buffer_unordered(MAX_CONCURRENT_POLLS)
            .collect::<Vec<()>>()
            .await;
        tokio::time::sleep(period).await;
    }
}

fn due_polls(cx: &Kernel) -> Vec<Poll> {
    let live: Vec<_> = cx.membership().live().cloned().collect();
    let mut upstreams = cx.upstreams();
    upstreams.set_live(live.iter());
    upstreams.to_poll(cx.clock.reading())
}

async fn observe(cx: &Arc<Kernel>, poll: Poll) {
    let outcome = poll_once(cx, &poll).await;
    if let PollOutcome::Report(report) = &outcome {
        cache::read(cx, &poll, report.incarnation).await;
    }
    let now = cx.clock.reading();
    let confirms = cx.upstreams().polled(now, &poll, &outcome);
    confirm_all(cx, confirms);
}

async fn poll_once(cx: &Kernel, poll: &Poll) -> PollOutcome {
    match poll.kind {
        PollKind::Load => match cx.runners.load(poll.address).await {
            Ok(report) => PollOutcome::Report(report),
            Err(e) => poll_failed(&poll.name, &e.to_string(), e.had_no_effect()),
        },
        PollKind::Connect => match connect(cx, poll).await {
            Ok(()) => PollOutcome::Connected,
            Err(e) => {
                let is_refused = e.kind() == ErrorKind::ConnectionRefused;
                poll_failed(&poll.name, &e.to_string(), is_refused)
            }
        },
    }
}

async fn connect(cx: &Kernel, poll: &Poll) -> std::io::Result<()> {
    let timeout = Duration::from_millis(cx.settings.timing.upstream_timeout_ms);
    let connect = tokio::net::TcpStream::connect(poll.address);
    tokio::time::timeout(timeout, connect).await??;
    Ok(())
}

fn poll_failed(name: &Name, cause: &str, is_refused: bool) -> PollOutcome {
    debug!("poll of {name} failed: {cause}");
    metrics::counter!("jacinthweir_polls_failed_total").increment(1);
    match is_refused {
        true => PollOutcome::Refused,
        false => PollOutcome::Failed,
    }
}

/// Asks other observers to confirm failed polls, each in a new task.
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
