//! Learns of newer revisions from other instances, and serves the own head and parts to them.
//!
//! A membership record names the revision in force at its instance, and records spread by gossip.
//! The head itself is sent only on request of an instance that lacks it.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::{self, Refusal};
use jacinthweir_policy::config::converge::{Event, PeerView};
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::Member;
use jacinthweir_wire::caller::ErrorCode;
use rand::seq::IndexedRandom;

use crate::drive::{drive, drive_on_worker};

/// Period of checking the members' revisions.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Gap between two checks from which the process counts as having been suspended, in milliseconds.
const SUSPENSION_GAP_MS: Millis = 2_000;

/// Checks the members' revisions until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut last_check = cx.elapsed_ms();
    let mut trusted_from = 0;
    let mut next_fetch_at = 0;
    loop {
        let now = cx.elapsed_ms();
        // Messages that peers sent before this process was suspended are still buffered in its
        // sockets and look recent. Only contacts from two gossip rounds after the resumption on
        // confirm a revision.
        if now > last_check + SUSPENSION_GAP_MS {
            warn!("process was suspended for {} ms", now - last_check);
            trusted_from = now + 2 * cx.settings.timing.gossip_ms;
        }
        last_check = now;
        drive(&cx, Event::Members(peer_views(&cx, now, trusted_from)));
        if now >= next_fetch_at
            && let Some(peer) = peer_ahead(&cx)
        {
            fetch_head(&cx, peer).await;
            // A peer whose head was refused remains ahead: without a delay it would be asked again
            // at once.
            next_fetch_at = now + cx.settings.timing.gossip_ms;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

fn peer_views(cx: &Kernel, now: Millis, trusted_from: Millis) -> Vec<PeerView> {
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

/// Returns a live instance with a newer revision than this one has or fetches: a random one of
/// those with the newest revision.
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

async fn fetch_head(cx: &Arc<Kernel>, peer: NamedPeer) {
    match cx.peers.head(peer.address).await {
        Ok(Some(head)) => {
            let head = Arc::new(head);
            drive_on_worker(
                cx,
                Event::PeerHead {
                    peer: peer.name,
                    head,
                },
            )
            .await;
        }
        Ok(None) => {}
        Err(e) => debug!("head could not be fetched from {}: {e}", peer.name),
    }
}

/// Returns the routes on the peers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    vec![
        Router::with_path("peer/head").get(HeadHandler(Arc::clone(cx))),
        Router::with_path("peer/parts/{hash}").get(PartHandler(Arc::clone(cx))),
    ]
}

/// `GET /peer/head`.
struct HeadHandler(Arc<Kernel>);

#[handler]
impl HeadHandler {
    async fn handle(&self, res: &mut Response) {
        let applied = self.0.convergence().in_force().cloned();
        match applied.map(|a| rmp_serde::to_vec_named(&*a.head)) {
            Some(Ok(bytes)) => reply::message_pack(res, bytes),
            Some(Err(_)) => Refusal::internal().write(res, None),
            None => not_found("no head").write(res, None),
        }
    }
}

/// `GET /peer/parts/{hash}`.
struct PartHandler(Arc<Kernel>);

#[handler]
impl PartHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let hash = req.param::<String>("hash").unwrap_or_default();
        match self.0.parts.get(&hash) {
            Some(text) => res.render(text.to_string()),
            None => not_found("no such part").write(res, None),
        }
    }
}

fn not_found(msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::NotFound, msg)
}
