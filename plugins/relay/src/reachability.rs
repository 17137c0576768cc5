//! Which runners and services this instance reaches itself, and what other instances find of a runner
//! that does not answer it.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::reachability::{PeerFinding, Reach, Verdict};
use jacinthweir_policy::relay::runners::RunnerEntry;
use rand::seq::IteratorRandom;

use crate::failure_detector;
use crate::messages::{Message, Reply, post};
use crate::node::Node;
use crate::request::ProxiedRequest;
use crate::runner_probe::{self, ProbeResult, ProbeTarget, Suspect};

/// Instances that are asked about a runner: all others of a small fleet, since most of them may be cut
/// off as well.
const ASKED_PEERS: usize = 5;

/// Timeout of such a question. It includes a probe of a runner that does not answer, of up to 30 ms.
const PEER_PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Probes that an instance sends to a runner on behalf of another.
const PROBES_FOR_PEER: usize = 2;

/// Maximum number of unreachable runners probed at a time.
const MAX_PATH_PROBES: usize = 4;

/// Minimum time between two checks of all paths, in milliseconds.
const CHECK_INTERVAL_MS: Millis = 350;

/// Returns whether this instance reaches none of the runners to which a service's requests are sent,
/// although some are alive.
pub(crate) fn is_lost(node: &Node, service: &str) -> bool {
    !node.runners.borrow().all_reachable() && reach(node, service) == Reach::Lost
}

/// Returns whether another instance may have room for a request where this one has none, because it
/// reaches runners that this one does not reach.
pub(crate) fn may_have_room_elsewhere(node: &Node, rq: &ProxiedRequest) -> bool {
    if node.runners.borrow().all_reachable() {
        return false;
    }
    let is_overloaded = node.contention.is_overloaded(&rq.service);
    reach(node, &rq.service).may_have_room_elsewhere(rq.origin.is_some(), is_overloaded)
}

/// Returns whether this instance reaches no service any more.
pub(crate) fn is_cut_off(node: &Node) -> bool {
    if node.runners.borrow().all_reachable() {
        return false;
    }
    let services: Vec<Name> = node
        .intent()
        .map_or_else(Vec::new, |i| i.services.keys().cloned().collect());
    Reach::is_cut_off(services.iter().map(|s| reach(node, s)))
}

fn reach(node: &Node, service: &str) -> Reach {
    let runners = node.runners.borrow();
    if node.holds_layers(service) {
        let chains = node.chains.borrow();
        let usable = chains
            .of(service)
            .iter()
            .filter(|l| !l.broken.is_cancelled());
        Reach::of(usable.map(|l| !runners.is_unreachable(l.head().0)))
    } else {
        let usable = runners.living(service);
        Reach::of(usable.map(|e| !runners.is_unreachable(&e.id)))
    }
}

/// Records that a runner did not accept a connection, so that requests take another way.
pub(crate) fn mark_unreachable(node: &Rc<Node>, id: &Name, born_ms: u64) {
    let now = node.now();
    if !node.runners.borrow_mut().mark_unreachable(id, born_ms, now) {
        return;
    }
    let accepted_ms_ago = node.runner_connections.accepted_ms_ago(now);
    log::warn!(runner = id.as_ref(), accepted_ms_ago:? = accepted_ms_ago; "runner is unreachable");
    node.room_freed.notify_waiters();
}

/// Records that a runner answered.
pub(crate) fn mark_reached(node: &Node, id: &Name) {
    if node.runners.borrow_mut().mark_reached(id) {
        log::info!(runner = id.as_ref(); "runner is reachable again");
        node.recovery_due.notify_one();
        node.room_freed.notify_waiters();
    }
}

/// Records that another instance reaches a runner that this one does not reach.
pub(crate) fn confirm_unreachable(node: &Rc<Node>, id: &Name, born_ms: u64) {
    mark_unreachable(node, id, born_ms);
    node.runners.borrow_mut().confirm_unreachable(id);
    node.check_silence.notify_one();
}

/// Interrupts the requests on connections that bring nothing any more because the path to their
/// first runner is lost.
pub(crate) fn interrupt_disconnected(node: &Node) {
    if node.runners.borrow().all_reachable() {
        return;
    }
    let now = node.now();
    let runners = node.runners.borrow();
    let chains = node.chains.borrow();
    for live in chains.all() {
        let silence = live.silence.borrow();
        if silence.is_disconnected(now) && runners.is_path_lost(live.head().0) {
            log::warn!(chain = live.label(), waiting = silence.waiting(); "the path to a chain is lost");
            live.interrupt_requests();
        }
    }
}

/// Returns the verdict on a runner that does not answer this instance.
pub(crate) async fn verdict(node: &Node, s: &Suspect, witnessed: bool) -> Verdict {
    let is_reported =
        node.failure_reports
            .borrow()
            .is_reported_by_others(&s.id, s.born_ms, &node.settings.name);
    if is_reported && witnessed {
        return Verdict::Dead;
    }
    Verdict::of(witnessed, &ask_peers(node, s).await)
}

/// Asks other instances about a runner, until one of them reaches it.
async fn ask_peers(node: &Node, s: &Suspect) -> Vec<PeerFinding> {
    let peers = peers_with_paths(node, ASKED_PEERS);
    let message = Message::ProbeRunner {
        runner: s.id.clone(),
        born_ms: s.born_ms,
    };
    let asked = peers
        .iter()
        .map(|p| post(p.peers, &message, PEER_PROBE_TIMEOUT));
    let mut open: FuturesUnordered<_> = asked.collect();
    let mut findings = Vec::new();
    while let Some(reply) = open.next().await {
        if let Ok(Reply::Found(finding)) = reply {
            findings.push(finding);
        }
        if Verdict::is_settled(&findings) {
            break;
        }
    }
    findings
}

/// Returns a random sample of the other live instances that are not known to refuse callers.
pub(crate) fn peers_with_paths(node: &Node, max: usize) -> Vec<PeerAddress> {
    let now = node.now();
    let membership = node.membership.borrow();
    let loads = node.loads.borrow();
    let serving = membership
        .live()
        .filter(|m| m.name != node.settings.name && !loads.refuses(&m.name, &m.domain, now));
    let addresses = serving.map(|m| PeerAddress {
        name: m.name.clone(),
        peers: m.peers,
    });
    node.with_rng(|rng| addresses.sample(rng, max))
}

/// Another instance, and the address of its listener for instances.
#[derive(Clone, Debug)]
pub(crate) struct PeerAddress {
    pub(crate) name: Name,
    pub(crate) peers: std::net::SocketAddr,
}

/// Probes a lifetime of a runner on behalf of another instance.
pub(crate) async fn probe_for_peer(node: &Node, id: &Name, born_ms: u64) -> PeerFinding {
    let entry = node.runners.borrow().entry(id).cloned();
    let health = node.runners.borrow().health(id);
    let is_dead = health.dead && health.born_ms == born_ms;
    let has_restarted = entry.as_ref().is_some_and(|e| e.born_ms > born_ms);
    if is_dead || has_restarted {
        return PeerFinding::Dead;
    }
    let Some(entry) = entry else {
        return PeerFinding::NotReached;
    };
    let target = ProbeTarget::of(node, &entry);
    match runner_probe::probe(node, target, PROBES_FOR_PEER).await {
        ProbeResult::Report(report) if !report.is_from_lifetime(born_ms) => PeerFinding::Dead,
        ProbeResult::Report(_) | ProbeResult::Listening => PeerFinding::Reached,
        ProbeResult::Refused | ProbeResult::NoReport(_) | ProbeResult::Silent(_) => {
            PeerFinding::NotReached
        }
    }
}

/// Probes all runners to which requests are sent, so that each lost path costs no request the time
/// to notice it.
pub(crate) async fn check_paths(node: &Rc<Node>) {
    let now = node.now();
    if now < node.paths_checked_ms.get() + CHECK_INTERVAL_MS {
        return;
    }
    node.paths_checked_ms.set(now);
    let probes = receivers(node).into_iter().map(|e| async move {
        let target = ProbeTarget::of(node, &e);
        let found = runner_probe::probe(node, target, PROBES_FOR_PEER).await;
        if matches!(found, ProbeResult::Refused | ProbeResult::Silent(_)) {
            mark_unreachable(node, &e.id, e.born_ms);
        }
    });
    join_all(probes).await;
}

/// Returns the runners to which requests of any service are sent.
fn receivers(node: &Node) -> Vec<RunnerEntry> {
    let services: Vec<Name> = node
        .intent()
        .map_or_else(Vec::new, |i| i.services.keys().cloned().collect());
    let runners = node.runners.borrow();
    let chains = node.chains.borrow();
    let mut receivers = Vec::new();
    for service in &services {
        if node.holds_layers(service) {
            let heads = chains.of(service).iter().map(|l| l.chain.head().clone());
            receivers.extend(heads);
        } else {
            receivers.extend(runners.living(service).cloned());
        }
    }
    receivers.retain(|e| !runners.is_unreachable(&e.id));
    receivers
}

/// Probes the unreachable runners that are due.
pub(crate) async fn probe_paths(node: &Rc<Node>) {
    let now = node.now();
    let due = node
        .runners
        .borrow_mut()
        .due_path_probes(now, MAX_PATH_PROBES);
    let probes = due.iter().map(|e| async move {
        let target = ProbeTarget::of(node, e);
        match runner_probe::probe(node, target, 1).await {
            ProbeResult::Report(report) => {
                failure_detector::process_report(node, &e.id, e.born_ms, &report);
            }
            ProbeResult::Listening => failure_detector::record_answer(node, &e.id, e.born_ms),
            ProbeResult::Refused | ProbeResult::NoReport(_) | ProbeResult::Silent(_) => {}
        }
    });
    join_all(probes).await;
}
