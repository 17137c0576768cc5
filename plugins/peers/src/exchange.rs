//! Gossip exchanges: the initiating and the answering side.

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::membership::{Action, MemberDigest, Peer};
use jacinthweir_wire::peer::{
    CrashReport, Exchange, ExchangeAnswer, Push, UpstreamDelta, UpstreamDigest,
};

use crate::probe;

/// Starts the actions requested by the membership, each in a new task.
pub(crate) fn execute(cx: &Arc<Kernel>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Exchange {
                peer,
                round,
                digest,
            } => cx.spawn(initiate(Arc::clone(cx), peer, round, digest)),
            Action::Probe {
                via,
                suspect,
                round,
            } => cx.spawn(probe::request(Arc::clone(cx), via, suspect, round)),
        }
    }
}

async fn initiate(cx: Arc<Kernel>, peer: Peer, round: u64, digest: MemberDigest) {
    let upstreams = upstream_digest(&cx, &peer, digest.salt);
    let msg = Exchange {
        from: cx.settings.name.clone(),
        members: digest,
        upstreams,
        crashes: crash_reports(&cx),
    };
    let answer: Result<ExchangeAnswer, ClientError> =
        cx.peers.post(peer.address, "/peer/exchange", &msg).await;
    let cause = match answer {
        Ok(answer) if peer.name.as_ref().is_none_or(|n| *n == answer.from) => {
            apply_answer(&cx, &peer, answer).await;
            return;
        }
        // Another instance now has the address; its answer tells nothing about the intended peer.
        Ok(answer) => format!("{} answered in its place", answer.from),
        Err(e) => e.to_string(),
    };
    debug!("exchange with {peer} failed: {cause}");
    metrics::counter!("jacinthweir_exchanges_failed_total").increment(1);
    let now = cx.clock.reading();
    let actions = cx
        .membership()
        .exchange_failed(now, &peer, round, &mut rand::rng());
    execute(&cx, actions);
}

fn upstream_digest(cx: &Kernel, peer: &Peer, salt: u32) -> UpstreamDigest {
    let domain = {
        let membership = cx.membership();
        let member = peer.name.as_ref().and_then(|n| membership.member(n));
        member.map(|m| m.state().domain.clone())
    };
    cx.upstreams()
        .digest(cx.clock.reading(), salt, domain.as_deref())
}

/// Age up to which a change of a crash report is sent in exchanges, in gossip rounds: all instances
/// have it by then.
const CRASH_REPORT_ROUNDS: u64 = 10;

fn crash_reports(cx: &Kernel) -> Vec<CrashReport> {
    let age_ms = CRASH_REPORT_ROUNDS * cx.settings.timing.gossip_ms;
    let quarantine = cx.quarantine();
    quarantine.updates(age_ms, true, cx.clock.now()).collect()
}

async fn apply_answer(cx: &Kernel, peer: &Peer, answer: ExchangeAnswer) {
    let now = cx.clock.reading();
    cx.merge_crash_reports(&answer.crashes);
    let push = Push {
        from: Some(cx.settings.name.clone()),
        members: cx
            .membership()
            .receive_answer(now, &answer.from, &answer.members),
        upstreams: cx.upstreams().receive_delta(now, &answer.upstreams),
    };
    if push.members.is_none() && push.upstreams.is_none() {
        return;
    }
    let pushed: Result<Push, ClientError> = cx.peers.post(peer.address, "/peer/push", &push).await;
    // A lost push is repaired by the next exchange, whose digests still differ.
    match pushed {
        Ok(reply) => {
            apply_push(cx, reply);
        }
        Err(e) => debug!("push to {peer} failed: {e}"),
    }
}

/// Answers an exchange initiated by another instance.
pub(crate) fn answer(cx: &Kernel, msg: &Exchange) -> ExchangeAnswer {
    let now = cx.clock.reading();
    let members = cx.membership().receive_digest(now, &msg.from, &msg.members);
    cx.merge_crash_reports(&msg.crashes);
    ExchangeAnswer {
        from: cx.settings.name.clone(),
        members,
        upstreams: cx.upstreams().receive_digest(now, &msg.upstreams),
        crashes: crash_reports(cx),
    }
}

/// Answers a push of another instance.
pub(crate) fn answer_push(cx: &Kernel, push: Push) -> Push {
    Push {
        from: Some(cx.settings.name.clone()),
        upstreams: apply_push(cx, push),
        ..Push::default()
    }
}

/// Applies a push; returns the upstream records that the other side requests.
fn apply_push(cx: &Kernel, push: Push) -> Option<UpstreamDelta> {
    let from = push.from?;
    let now = cx.clock.reading();
    if let Some(delta) = &push.members {
        cx.membership().receive_push(now, &from, delta);
    }
    let delta = push.upstreams?;
    cx.upstreams().receive_delta(now, &delta)
}
