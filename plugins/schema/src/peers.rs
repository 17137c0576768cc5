//! Hears of newer revisions from other instances, and gives them its head and parts.
//!
//! A member's record names the revision in force there, and records spread with the peers'
//! exchanges. The head itself travels only to an instance that lacks it, on its request.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_policy::config::converge::{Event, PeerView};
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::Member;
use jacinthweir_wire::caller::ErrorCode;
use rand::seq::IndexedRandom;

use crate::drive::{drive, drive_long};

/// Period of looking at the members.
const PERIOD: Duration = Duration::from_millis(100);

/// A gap between two looks that shows that the process was stopped, in milliseconds.
const WOKEN_MS: Millis = 2_000;

/// Looks at the members until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut looked_at = cx.elapsed_ms();
    let mut trusted_from = 0;
    let mut ask_from = 0;
    loop {
        let now = cx.elapsed_ms();
        // What peers sent before this process was stopped still lies in its sockets and reads
        // like news. Only what is heard a few rounds after waking confirms anything.
        if now > looked_at + WOKEN_MS {
            warn!("stopped for {} ms", now - looked_at);
            trusted_from = now + 2 * cx.settings.timing.gossip_ms;
        }
        looked_at = now;
        drive(&cx, Event::Members(members(&cx, now, trusted_from)));
        if now >= ask_from
            && let Some(peer) = peer_ahead(&cx)
        {
            ask(&cx, peer).await;
            // A head that is refused stays ahead: without a pause it would be asked for at once.
            ask_from = now + cx.settings.timing.gossip_ms;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn members(cx: &Kernel, now: Millis, trusted_from: Millis) -> Vec<PeerView> {
    let mono = cx.clock.now();
    let membership = cx.membership();
    let known = membership
        .others()
        .filter(|m| m.state().phase != Phase::Gone);
    let view = |member: &Member| {
        let heard_at = now.saturating_sub(mono.saturating_sub(member.last_contact_ms));
        PeerView {
            name: member.state().name.clone(),
            revision: member.state().revision,
            heard_at: (heard_at >= trusted_from).then_some(heard_at),
        }
    };
    known.map(view).collect()
}

/// A live instance with a newer revision than this one has or fetches; the newest revision
/// first, and one of its holders at random.
fn peer_ahead(cx: &Kernel) -> Option<NamedPeer> {
    let known = {
        let convergence = cx.convergence();
        let in_force = convergence.in_force().map_or(0, |a| a.head.revision);
        in_force.max(convergence.target_in_force_at_peer().unwrap_or(0))
    };
    let membership = cx.membership();
    let newest = membership.peers().map(|s| s.revision).max()?;
    if newest <= known {
        return None;
    }
    let holders = membership.peers().filter(|s| s.revision == newest);
    let holders: Vec<NamedPeer> = holders
        .map(|s| NamedPeer {
            name: s.name.clone(),
            address: s.peers,
        })
        .collect();
    holders.choose(&mut rand::rng()).cloned()
}

#[derive(Clone)]
struct NamedPeer {
    name: Name,
    address: SocketAddr,
}

async fn ask(cx: &Arc<Kernel>, peer: NamedPeer) {
    match cx.peers.head(peer.address).await {
        Ok(Some(head)) => {
            let head = Arc::new(head);
            drive_long(
                cx,
                Event::PeerHead {
                    peer: peer.name,
                    head,
                },
            )
            .await;
        }
        Ok(None) => {}
        Err(e) => debug!("head of {}: {e}", peer.name),
    }
}

/// Routes on the peers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    vec![
        Router::with_path("peer/head").get(OwnHead(Arc::clone(cx))),
        Router::with_path("peer/parts/{hash}").get(OwnPart(Arc::clone(cx))),
    ]
}

/// `GET /peer/head`.
struct OwnHead(Arc<Kernel>);

#[handler]
impl OwnHead {
    async fn handle(&self, res: &mut Response) {
        let applied = self.0.convergence().in_force().cloned();
        match applied.map(|a| rmp_serde::to_vec_named(&*a.head)) {
            Some(Ok(bytes)) => reply::message_pack(res, bytes),
            Some(Err(_)) => Refusal::internal().write(res, None),
            None => absent("no head").write(res, None),
        }
    }
}

/// `GET /peer/parts/{hash}`.
struct OwnPart(Arc<Kernel>);

#[handler]
impl OwnPart {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let hash = req.param::<String>("hash").unwrap_or_default();
        match self.0.parts.get(&hash) {
            Some(text) => res.render(text.to_string()),
            None => absent("no such part").write(res, None),
        }
    }
}

fn absent(msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::NotFound, msg)
}
