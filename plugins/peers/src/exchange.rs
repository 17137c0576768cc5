//! Exchanges: the asking and the answering side.

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::membership::{Action, MemberDigest, Peer};
use jacinthweir_wire::peer::{Exchange, ExchangeAnswer, Push, UpstreamDigest};

use crate::probe;

/// Starts what the membership asked for, each in a task of its own.
pub(crate) fn carry_out(cx: &Arc<Kernel>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Exchange {
                peer,
                round,
                digest,
            } => cx.spawn(ask(Arc::clone(cx), peer, round, digest)),
            Action::Probe {
                via,
                suspect,
                round,
            } => cx.spawn(probe::ask(Arc::clone(cx), via, suspect, round)),
        }
    }
}

async fn ask(cx: Arc<Kernel>, peer: Peer, round: u64, digest: MemberDigest) {
    let asked_ms = cx.clock.now();
    let msg = Exchange {
        from: cx.settings.name.clone(),
        revision: revision(&cx),
        members: digest,
        upstreams: UpstreamDigest::default(),
    };
    let answer: Result<ExchangeAnswer, ClientError> =
        cx.peers.post(peer.address, "/peer/exchange", &msg).await;
    let failed = match answer {
        Ok(answer) if peer.name.as_ref().is_none_or(|n| *n == answer.from) => {
            take_answer(&cx, &peer, asked_ms, answer).await;
            return;
        }
        // Another instance took over the address: it says nothing about the one meant.
        Ok(answer) => format!("{} answered in its place", answer.from),
        Err(e) => e.to_string(),
    };
    debug!("exchange with {peer}: {failed}");
    metrics::counter!("jacinthweir_exchanges_failed_total").increment(1);
    let now = cx.clock.reading();
    let actions = cx
        .membership()
        .exchange_failed(now, &peer, round, &mut rand::rng());
    carry_out(&cx, actions);
}

async fn take_answer(cx: &Kernel, peer: &Peer, asked_ms: Millis, answer: ExchangeAnswer) {
    let now = cx.clock.reading();
    let push = Push {
        from: Some(cx.settings.name.clone()),
        head: head_for(cx, answer.revision),
        members: cx
            .membership()
            .receive_answer(now, asked_ms, &answer.from, &answer.members),
        upstreams: None,
    };
    if let Some(head) = answer.head {
        cx.heads.hear(answer.from, head);
    }
    if push.head.is_none() && push.members.is_none() && push.upstreams.is_none() {
        return;
    }
    let pushed: Result<Push, ClientError> = cx.peers.post(peer.address, "/peer/push", &push).await;
    // A lost push is made good by the next exchange, whose digests still differ.
    match pushed {
        Ok(back) => take_push(cx, back),
        Err(e) => debug!("push to {peer}: {e}"),
    }
}

/// Answers an exchange of another instance.
pub(crate) fn answer(cx: &Kernel, msg: &Exchange) -> ExchangeAnswer {
    let now = cx.clock.reading();
    let members = cx.membership().receive_digest(now, &msg.from, &msg.members);
    ExchangeAnswer {
        from: cx.settings.name.clone(),
        revision: revision(cx),
        head: head_for(cx, msg.revision),
        members,
        upstreams: jacinthweir_wire::peer::UpstreamDelta::default(),
    }
}

/// Answers a push of another instance.
pub(crate) fn answer_push(cx: &Kernel, push: Push) -> Push {
    take_push(cx, push);
    Push::default()
}

fn take_push(cx: &Kernel, push: Push) {
    let Some(from) = push.from else {
        return;
    };
    let now = cx.clock.reading();
    if let Some(delta) = &push.members {
        cx.membership().receive_push(now, &from, delta);
    }
    if let Some(head) = push.head {
        cx.heads.hear(from, head);
    }
}

fn revision(cx: &Kernel) -> u64 {
    cx.heads.own().map_or(0, |head| head.revision)
}

/// The own head, for a peer that knows only a lower revision.
fn head_for(cx: &Kernel, revision: u64) -> Option<jacinthweir_wire::peer::Head> {
    let own = cx.heads.own()?;
    (own.revision > revision).then(|| own.as_ref().clone())
}
