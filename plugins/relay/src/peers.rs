//! Anti-entropy exchanges with other instances: membership, loads, failure reports, crash reports,
//! rate limits, and what each instance has seen of the store.
//!
//! The membership selects the peers; [`loads`](jacinthweir_policy::relay::loads) decides which
//! loads each of them is sent. Changes that cannot wait for the next exchange are sent by
//! [`gossip`](crate::gossip).

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthweir_clients::buffers;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::{Action, Member, MemberDigest, Peer, ProbeOutcome};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::quarantine::CrashReport;
use jacinthweir_policy::relay::failure_reports::FailureReport;
use jacinthweir_policy::relay::loads::{HeadUse, Load, LoadUpdate};
use jacinthweir_policy::relay::rate_limits::RateReport;
use serde::{Deserialize, Serialize};
use tokio::time::interval;

use crate::configuration;
use crate::contention;
use crate::duties;
use crate::gossip::{self, Seen};
use crate::messages::{Message, PEER_TIMEOUT, Reply, post};
use crate::node::{Node, ROUND_MS};
use crate::runner_changes;
use crate::start::{self, CopyOutcome};
use crate::tasks::{self, Job, TaskName};
use crate::{failure_detector, quarantine, rate_limits, reachability};

/// Timeout of the probe that an instance makes on behalf of a peer. It must be well below
/// [`PEER_TIMEOUT`], for which that peer waits. Otherwise the peer never learns that the suspect
/// was not reached, and an instance that lost power stays in entry answers for six seconds.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
const _: () = assert!(INDIRECT_PROBE_TIMEOUT.as_millis() * 2 <= PEER_TIMEOUT.as_millis());

/// Peers to which a change of this instance's phase is pushed at once.
const ANNOUNCE_FANOUT: usize = 8;

/// State of an instance that it sends in an exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct View {
    /// Failure domain.
    domain: Name,
    /// Time since the configuration was last confirmed to be the newest, in milliseconds, when the
    /// message was written.
    confirmed_ms_ago: Option<Millis>,
    /// Failure reports about runners.
    #[serde(rename = "dead")]
    failure_reports: Vec<FailureReport>,
    /// State of the store as the instance has seen it.
    seen: Seen,
    /// Crashes for which something is quarantined, and recent ones.
    #[serde(rename = "cases")]
    crash_reports: Vec<CrashReport>,
    /// Recent rates that runners announced.
    #[serde(rename = "limits")]
    rate_reports: Vec<RateReport>,
}

/// Age up to which a failure report is sent in exchanges, in milliseconds. All instances have it after
/// a few rounds, and those that start later probe the runner when they need it.
const FAILURE_REPORT_AGE_MS: Millis = 6_000;

/// Age up to which a rate report is sent in exchanges, in milliseconds: a few rounds.
const RATE_REPORT_AGE_MS: Millis = 3_000;

/// Age up to which a crash report is sent in exchanges, in milliseconds: a few rounds.
const CRASH_REPORT_AGE_MS: Millis = 3_000;

impl View {
    fn of(node: &Node) -> View {
        View {
            domain: node.settings.failure_domain.clone(),
            confirmed_ms_ago: node.config_confirmation.borrow().age_ms(node.now()),
            failure_reports: {
                let since = node.now().saturating_sub(FAILURE_REPORT_AGE_MS);
                node.failure_reports.borrow().updated_since(since).collect()
            },
            seen: Seen::of(node),
            rate_reports: node.rate_limits.borrow().recent_reports(
                RATE_REPORT_AGE_MS,
                false,
                node.now(),
            ),
            crash_reports: node
                .quarantine
                .borrow()
                .updates(CRASH_REPORT_AGE_MS, true, node.now())
                .collect(),
        }
    }

    fn apply(&self, node: &Rc<Node>) {
        self.seen.apply(node);
        failure_detector::receive_failure_reports(node, &self.failure_reports);
        quarantine::merge_reports(node, &self.crash_reports);
        rate_limits::merge_reports(node, &self.rate_reports);
    }
}

/// Starts the exchange rounds.
pub(crate) fn spawn(node: &Rc<Node>) {
    tasks::spawn(node, &node.stop, TaskName::Exchanges, async |node| {
        run(&node).await;
    });
}

async fn run(node: &Rc<Node>) {
    let mut ticks = interval(Duration::from_millis(ROUND_MS));
    let mut live = BTreeSet::new();
    loop {
        ticks.tick().await;
        log_changes(node, &mut live);
        if node.is_ready() {
            node.membership.borrow_mut().set_phase(Phase::Serving);
        }
        let in_flight = u32::try_from(node.active.get()).unwrap_or(u32::MAX);
        node.membership.borrow_mut().set_in_flight(in_flight);
        node.loads.borrow_mut().expire(node.now());
        log_retries(node);
        metrics::gauge!("jacinthweir_buffered_bytes").set(buffers::reserved_bytes() as f64);
        contention::refresh_overloaded(node);
        let now = node.clocks();
        let actions = node.with_rng(|rng| node.membership.borrow_mut().tick(now, rng));
        execute(node, actions);
    }
}

/// Logs what is spent of the shared retry budgets.
fn log_retries(node: &Node) {
    let instances = node.peak_instances();
    let loads = node.loads.borrow();
    let budgets = &node.retry_budgets;
    budgets.log_spent(&loads, node.now(), instances);
}

/// Logs which instances joined or left the set of live ones, and updates `before`.
fn log_changes(node: &Node, before: &mut BTreeSet<Name>) {
    let membership = node.membership.borrow();
    let live = || membership.live().map(|m| &m.name);
    if live().count() == before.len() && live().all(|name| before.contains(name)) {
        return;
    }
    let now: BTreeSet<Name> = live().cloned().collect();
    let new: Vec<&str> = now.difference(before).map(AsRef::as_ref).collect();
    if !new.is_empty() {
        log::info!(peers = new.join(" "), instances = now.len(); "instances joined");
    }
    for name in before.difference(&now) {
        let member = membership.member(name);
        let suspected = member.is_some_and(Member::suspected);
        let heard_ms_ago = member.map(|m| node.now().saturating_sub(m.last_contact_ms));
        log::warn!(
            peer = name.as_ref(),
            suspected,
            heard_ms_ago:? = heard_ms_ago,
            instances = now.len();
            "instance is left out"
        );
    }
    drop(membership);
    *before = now;
}

/// Sets this instance's phase and pushes it to a few peers at once.
pub(crate) fn announce(node: &Rc<Node>, phase: Phase) {
    node.membership.borrow_mut().set_phase(phase);
    let actions = node.with_rng(|rng| node.membership.borrow_mut().announce(ANNOUNCE_FANOUT, rng));
    execute(node, actions);
}

fn execute(node: &Rc<Node>, actions: Vec<Action>) {
    for action in actions {
        let node = Rc::clone(node);
        match action {
            Action::Exchange {
                peer,
                round,
                digest,
            } => {
                let exchange = async move { exchange(&node, peer, round, digest).await };
                tasks::spawn_job(Job::Exchange, exchange);
            }
            Action::Probe {
                via,
                suspect,
                round,
            } => {
                let probe = async move { probe_via(&node, via, suspect, round).await };
                tasks::spawn_job(Job::PeerProbe, probe);
            }
        }
    }
}

async fn exchange(node: &Rc<Node>, peer: Peer, round: u64, digest: MemberDigest) {
    let sent_ms = node.now();
    let near = is_near(node, &peer);
    write_own_load(node);
    let message = {
        let loads = node.loads.borrow();
        Message::Exchange {
            from: node.settings.name.clone(),
            members: digest,
            view: View::of(node),
            load_digest: loads.digest(near, sent_ms),
            // The other loads come with the reply; sent both ways, they would make up most of an
            // exchange's bytes.
            load_update: loads.push_update(near, neighbour_count(node), sent_ms),
        }
    };
    let reply = post(peer.address, &message, PEER_TIMEOUT).await;
    let (from, members, view, load_update, former) = match reply {
        Ok(Reply::Exchange {
            from,
            members,
            view,
            load_update,
            former,
        }) if peer.name.as_ref().is_none_or(|n| *n == from) => {
            (from, members, view, load_update, former)
        }
        other => {
            let cause = other
                .err()
                .unwrap_or_else(|| "another instance answered".to_owned());
            log::debug!(peer:% = peer, cause; "exchange failed");
            metrics::counter!("jacinthweir_exchanges_failed_total").increment(1);
            let now = node.clocks();
            let actions = node.with_rng(|rng| {
                let mut membership = node.membership.borrow_mut();
                membership.exchange_failed(now, &peer, round, rng)
            });
            execute(node, actions);
            return;
        }
    };
    accept_confirmation(node, sent_ms, &view);
    if let Some(former) = former {
        node.retry_budgets.record_former(&former);
    }
    apply_exchange(node, &view, load_update);
    let push = {
        let mut membership = node.membership.borrow_mut();
        membership.receive_answer(node.clocks(), &from, &members)
    };
    if let Some(members) = push {
        let from = node.settings.name.clone();
        let pushed = post(peer.address, &Message::Push { from, members }, PEER_TIMEOUT).await;
        // A lost push is repaired by the next exchange, since the digests still differ.
        if let Err(cause) = pushed {
            log::debug!(peer:% = peer, cause; "push failed");
        }
    }
}

/// Has the instance `via` probe the instance `suspect`.
async fn probe_via(node: &Rc<Node>, via: Peer, suspect: Peer, round: u64) {
    let (Some(via_name), Some(suspect_name)) = (via.name, suspect.name) else {
        return;
    };
    let message = Message::Probe {
        address: suspect.address,
    };
    let outcome = match post(via.address, &message, PEER_TIMEOUT).await {
        Ok(Reply::Record(record)) => ProbeOutcome::Reached(record),
        Ok(Reply::NotReached) => ProbeOutcome::NotReached,
        Ok(_) | Err(_) => ProbeOutcome::NoAnswer,
    };
    let now = node.clocks();
    let mut membership = node.membership.borrow_mut();
    membership.probe_result(now, &suspect_name, &via_name, round, &outcome);
}

/// Handles a message of another instance and returns the encoded reply, or `None` if the message
/// cannot be decoded.
pub(crate) async fn handle_message(node: &Rc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let message: Message = rmp_serde::from_slice(body).ok()?;
    let reply = match message {
        Message::Exchange {
            from,
            members,
            view,
            load_digest,
            load_update,
        } => {
            apply_exchange(node, &view, load_update);
            let mut membership = node.membership.borrow_mut();
            let members = membership.receive_digest(node.clocks(), &from, &members);
            drop(membership);
            write_own_load(node);
            let near = view.domain == node.settings.failure_domain;
            let loads = node.loads.borrow();
            Reply::Exchange {
                from: node.settings.name.clone(),
                members,
                view: View::of(node),
                load_update: loads.update_for(
                    &load_digest,
                    near,
                    neighbour_count(node),
                    node.now(),
                ),
                former: loads.former_counts(&from, node.now()),
            }
        }
        Message::Push { from, members } => {
            let mut membership = node.membership.borrow_mut();
            membership.receive_push(node.clocks(), &from, &members);
            Reply::Done
        }
        Message::News(news) => {
            gossip::apply(node, &news);
            Reply::Done
        }
        Message::Step(changes) => {
            runner_changes::receive(node, changes);
            Reply::Done
        }
        Message::Configuration(relayed) => {
            configuration::receive(node, relayed);
            Reply::Done
        }
        Message::ProbeRunner { runner, born_ms } => {
            Reply::Found(reachability::probe_for_peer(node, &runner, born_ms).await)
        }
        Message::Own => Reply::Record(node.membership.borrow().own().clone()),
        Message::Runners => match start::copy_runners(node) {
            CopyOutcome::Copy(copy) => Reply::Runners(copy),
            CopyOutcome::Busy => Reply::Busy,
            CopyOutcome::None => Reply::Done,
        },
        Message::Probe { address } => {
            match post(address, &Message::Own, INDIRECT_PROBE_TIMEOUT).await {
                Ok(Reply::Record(record)) => Reply::Record(record),
                _ => Reply::NotReached,
            }
        }
    };
    rmp_serde::to_vec(&reply).ok()
}

/// Whether a peer is known to be in this instance's failure domain.
fn is_near(node: &Node, peer: &Peer) -> bool {
    let membership = node.membership.borrow();
    let member = peer.name.as_ref().and_then(|name| membership.member(name));
    member.is_some_and(|m| m.state().domain == node.settings.failure_domain)
}

pub(crate) fn neighbour_count(node: &Node) -> usize {
    let membership = node.membership.borrow();
    membership
        .live()
        .filter(|m| duties::is_neighbour(node, m))
        .count()
}

fn write_own_load(node: &Node) {
    let load = own_load(node);
    node.loads.borrow_mut().set_own(load, node.now());
}

fn own_load(node: &Node) -> Load {
    let chains = node.chains.borrow();
    let used = chains.used().filter(|(_, _, tokens)| *tokens >= 1.0);
    let used = used.map(|(service, head, tokens)| HeadUse {
        service: service.clone(),
        head: head.clone(),
        tokens: tokens as u32,
    });
    Load {
        written_ms: node.incarnation + node.now(),
        hears_store: node.reaches_store.get(),
        serves: node.is_ready() && !reachability::is_cut_off(node),
        used: used.collect(),
        spent: node.retry_budgets.counts(node.now()),
        flows: node.contention.flows(node.now()),
        started_ms: node.incarnation,
    }
}

/// Accepts a peer's confirmation of the configuration if both have the same version, so that an
/// instance that is partitioned from the store may go on serving. The reply was written after the
/// request was sent, so the confirmation is at least as recent as its age counted from the sending.
fn accept_confirmation(node: &Node, sent_ms: Millis, view: &View) {
    let same = node
        .intent()
        .is_some_and(|i| i.version == view.seen.version);
    if let Some(age) = view.confirmed_ms_ago.filter(|_| same)
        && let Some(confirmed) = sent_ms.checked_sub(age)
    {
        node.config_confirmation.borrow_mut().confirm(confirmed);
    }
}

/// Applies the view and the loads received from another instance.
fn apply_exchange(node: &Rc<Node>, view: &View, load_update: LoadUpdate) {
    node.loads
        .borrow_mut()
        .apply(&view.domain, load_update, node.now());
    node.update_retry_loans();
    view.apply(node);
}
