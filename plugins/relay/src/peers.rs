//! Exchanges with other instances: who is there, what each has in flight, whom it found dead, and
//! what it has seen of the store.
//!
//! The membership decides whom to exchange with, [`loads`](jacinthweir_policy::relay::loads) what of
//! the loads each is told. What cannot wait for the next exchange is told by [`news`](crate::news).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use jacinthweir_clients::direct;
use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::membership::{
    Action, Member, MemberDelta, MemberDigest, MemberRecord, Peer, ProbeOutcome,
};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::failure_reports::FailureReport;
use jacinthweir_policy::relay::lease::Bid;
use jacinthweir_policy::relay::loads::{HeadUse, Load, LoadDigest, LoadUpdate, ServiceCounts};
use jacinthweir_policy::relay::quarantine::CrashRecord;
use jacinthweir_policy::relay::rate_limits::RateReport;
use jacinthweir_policy::relay::store_watch::{ChangeBatch, ConfirmScope, Watchers};
use serde::{Deserialize, Serialize};
use tokio::time::interval;

use crate::news::{self, News, Seen};
use crate::node::{Node, ROUND_MS};
use crate::{limits, probe, quarantine, watch};

/// Where instances post their messages.
pub(crate) const PATH: &str = "/peer";

/// Time that a peer has to answer. Peers are a millisecond away; one that is slow for longer is as
/// good as silent for this round.
pub(crate) const ANSWER: Duration = Duration::from_millis(500);

/// Time that an instance has to answer another one that asks for a third. It must be well within
/// [`ANSWER`], for which the third waits: else the third never hears that a silent instance was
/// not reached, and one that lost its power is named to callers for six seconds.
const VIA_ANSWER: Duration = Duration::from_millis(200);
const _: () = assert!(VIA_ANSWER.as_millis() * 2 <= ANSWER.as_millis());

/// The longest message, in bytes: some 300 instances.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Peers that hear at once that this instance leaves.
const ANNOUNCE_TO: usize = 8;

/// What an instance says of itself to the one that it exchanges with.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct View {
    /// Failure domain.
    domain: Name,
    /// Time since its configuration was last confirmed to be the newest, in milliseconds, when this
    /// was written.
    confirmed_ms_ago: Option<Millis>,
    /// Runners that were found dead.
    dead: Vec<FailureReport>,
    /// What it has seen of the store.
    seen: Seen,
    /// Requests that are held, and those under which runners ended of late.
    cases: Vec<CrashRecord>,
    /// What runners said of late of their rates.
    limits: Vec<RateReport>,
}

/// Age up to which a runner's statement is told in exchanges, in milliseconds: a few rounds.
const LIMITS_MS: Millis = 3_000;

/// Age up to which the end of a runner under a request is told in exchanges, in milliseconds: a few
/// rounds.
const CASES_MS: Millis = 3_000;

impl View {
    fn of(node: &Node) -> View {
        View {
            domain: node.settings.failure_domain.clone(),
            confirmed_ms_ago: node.config_confirmation.borrow().age_ms(node.now()),
            dead: node.failure_reports.borrow().updated_since(0).collect(),
            seen: Seen::of(node),
            limits: node
                .rate_limits
                .borrow()
                .recent_reports(LIMITS_MS, false, node.now()),
            cases: node
                .quarantine
                .borrow()
                .updates(CASES_MS, true, node.now())
                .collect(),
        }
    }

    fn take(&self, node: &Rc<Node>) {
        self.seen.apply(node);
        probe::hear_words(node, &self.dead);
        quarantine::merge_records(node, &self.cases);
        limits::merge_reports(node, &self.limits);
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    Exchange {
        from: Name,
        members: MemberDigest,
        view: View,
        known: LoadDigest,
        told: LoadUpdate,
    },
    Push {
        from: Name,
        members: MemberDelta,
    },
    /// Something that all instances should know at once.
    News(News),
    /// What changed of the runners' entries.
    Step(ChangeBatch),
    Probe {
        address: SocketAddr,
    },
    Own,
}

#[derive(Serialize, Deserialize)]
pub(crate) enum Reply {
    Exchange {
        from: Name,
        members: MemberDelta,
        view: View,
        told: LoadUpdate,
    },
    Done,
    Record(MemberRecord),
    NotReached,
}

/// Starts the rounds.
pub(crate) fn spawn(node: &Rc<Node>) {
    let rounds = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = rounds.stop.clone();
        let _ = stop.run_until_cancelled(run(&rounds)).await;
    });
}

async fn run(node: &Rc<Node>) {
    let mut ticks = interval(Duration::from_millis(ROUND_MS));
    let mut named = BTreeSet::new();
    loop {
        ticks.tick().await;
        log_changes(node, &mut named);
        if node.is_ready() {
            node.membership.borrow_mut().set_phase(Phase::Serving);
        }
        let in_flight = u32::try_from(node.active.get()).unwrap_or(u32::MAX);
        node.membership.borrow_mut().set_in_flight(in_flight);
        node.loads.borrow_mut().refresh_totals(node.now());
        let now = node.clocks();
        let actions = node.with_rng(|rng| node.membership.borrow_mut().tick(now, rng));
        carry_out(node, actions);
    }
}

/// Logs which instances callers are no longer sent to, and which anew.
fn log_changes(node: &Node, named: &mut BTreeSet<Name>) {
    let membership = node.membership.borrow();
    let now: BTreeSet<Name> = membership.live().map(|m| m.name.clone()).collect();
    let new: Vec<&str> = now.difference(named).map(AsRef::as_ref).collect();
    if !new.is_empty() {
        log::info!(peers = new.join(" "), instances = now.len(); "instances serve");
    }
    for name in named.difference(&now) {
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
    *named = now;
}

/// Tells others at once that this instance's phase changed.
pub(crate) fn announce(node: &Rc<Node>, phase: Phase) {
    node.membership.borrow_mut().set_phase(phase);
    let actions = node.with_rng(|rng| node.membership.borrow().announce(ANNOUNCE_TO, rng));
    carry_out(node, actions);
}

/// Whether this instance is the one to give orders: of those that hear the store, the first by
/// name. The lease in the store decides where instances see this differently.
pub(crate) fn bid(node: &Node) -> Bid {
    let now = node.now();
    let own = &node.settings.name;
    if node.draining.get() || !node.reaches_store.get() {
        return Bid::Abstain;
    }
    let loads = node.loads.borrow();
    let membership = node.membership.borrow();
    let mut before = membership.live().filter(|m| m.name < *own);
    match before.any(|m| loads.hears_store(&m.name, &m.domain, now)) {
        true => Bid::Retain,
        false => Bid::Acquire,
    }
}

/// Instances that live and hear the store, this one among them if it does.
pub(crate) fn hear_store(node: &Node) -> Vec<Name> {
    let now = node.now();
    let loads = node.loads.borrow();
    let membership = node.membership.borrow();
    let hears_store = |m: &&MemberState| loads.hears_store(&m.name, &m.domain, now);
    let own = node.reaches_store.get().then_some(&node.settings.name);
    let others = membership.live().filter(|m| m.name != node.settings.name);
    let others = others.filter(hears_store).map(|m| &m.name);
    others.chain(own).cloned().collect()
}

/// The instances that watch the runners for all.
pub(crate) fn watchers(node: &Node) -> Watchers {
    Watchers::of(hear_store(node).iter())
}

/// For whom this instance reads the configuration.
pub(crate) fn confirming(node: &Node) -> ConfirmScope {
    let own = &node.settings;
    let now = node.now();
    let neighbours = neighbours(node);
    let loads = node.loads.borrow();
    let hears_store = |n: &&Name| loads.hears_store(n, &own.failure_domain, now);
    ConfirmScope::of(&own.name, neighbours.iter().filter(hears_store))
}

/// Whether this instance watches the runners by itself. One that gives orders must see at once what
/// came of them, and one that does not hear the store finds out when it does again.
pub(crate) fn watches_runners(node: &Node) -> bool {
    let gives_orders = node.lease.borrow().held(node.now()).is_some();
    gives_orders || !node.reaches_store.get() || watchers(node).contains(&node.settings.name)
}

fn carry_out(node: &Rc<Node>, actions: Vec<Action>) {
    for action in actions {
        let node = Rc::clone(node);
        match action {
            Action::Exchange {
                peer,
                round,
                digest,
            } => {
                tokio::task::spawn_local(async move { exchange(&node, peer, round, digest).await })
            }
            Action::Probe {
                via,
                suspect,
                round,
            } => tokio::task::spawn_local(async move { ask_via(&node, via, suspect, round).await }),
        };
    }
}

async fn exchange(node: &Rc<Node>, peer: Peer, round: u64, digest: MemberDigest) {
    let asked_ms = node.now();
    let near = is_near(node, &peer);
    write_own_load(node);
    let message = {
        let loads = node.loads.borrow();
        Message::Exchange {
            from: node.settings.name.clone(),
            members: digest,
            view: View::of(node),
            known: loads.digest(near, asked_ms),
            // All else comes with the answer; both ways it would be most of an exchange's bytes.
            told: loads.push_update(near, neighbours(node).len(), asked_ms),
        }
    };
    let reply = post(peer.address, &message, ANSWER).await;
    let (from, members, view, told) = match reply {
        Ok(Reply::Exchange {
            from,
            members,
            view,
            told,
        }) if peer.name.as_ref().is_none_or(|n| *n == from) => (from, members, view, told),
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
            carry_out(node, actions);
            return;
        }
    };
    take_confirmation(node, asked_ms, &view);
    take(node, &view, told);
    let push = {
        let mut membership = node.membership.borrow_mut();
        membership.receive_answer(node.clocks(), asked_ms, &from, &members)
    };
    if let Some(members) = push {
        let from = node.settings.name.clone();
        let pushed = post(peer.address, &Message::Push { from, members }, ANSWER).await;
        // The next exchange makes good for a lost push: the digests still differ.
        if let Err(cause) = pushed {
            log::debug!(peer:% = peer, cause; "push failed");
        }
    }
}

async fn ask_via(node: &Rc<Node>, via: Peer, suspect: Peer, round: u64) {
    let (Some(via_name), Some(suspect_name)) = (via.name, suspect.name) else {
        return;
    };
    let message = Message::Probe {
        address: suspect.address,
    };
    let outcome = match post(via.address, &message, ANSWER).await {
        Ok(Reply::Record(record)) => ProbeOutcome::Reached(record),
        Ok(Reply::NotReached) => ProbeOutcome::NotReached,
        Ok(_) | Err(_) => ProbeOutcome::NoAnswer,
    };
    let now = node.clocks();
    let mut membership = node.membership.borrow_mut();
    membership.probe_result(now, &suspect_name, &via_name, round, &outcome);
}

/// Answers a message of another instance.
pub(crate) async fn handle_message(node: &Rc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let message: Message = rmp_serde::from_slice(body).ok()?;
    let reply = match message {
        Message::Exchange {
            from,
            members,
            view,
            known,
            told,
        } => {
            take(node, &view, told);
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
                told: loads.update_for(&known, near, neighbours(node).len(), node.now()),
            }
        }
        Message::Push { from, members } => {
            let mut membership = node.membership.borrow_mut();
            membership.receive_push(node.clocks(), &from, &members);
            Reply::Done
        }
        Message::News(news) => {
            news::apply(node, &news);
            Reply::Done
        }
        Message::Step(step) => {
            let _taken = watch::hear_step(node, &step);
            Reply::Done
        }
        Message::Own => Reply::Record(node.membership.borrow().own().clone()),
        Message::Probe { address } => match post(address, &Message::Own, VIA_ANSWER).await {
            Ok(Reply::Record(record)) => Reply::Record(record),
            _ => Reply::NotReached,
        },
    };
    rmp_serde::to_vec(&reply).ok()
}

/// Whether a peer is in the own failure domain; of one that is not known yet, nothing is said.
fn is_near(node: &Node, peer: &Peer) -> bool {
    let membership = node.membership.borrow();
    let member = peer.name.as_ref().and_then(|name| membership.member(name));
    member.is_some_and(|m| m.state().domain == node.settings.failure_domain)
}

/// Other instances of the own failure domain that live.
pub(crate) fn neighbours(node: &Node) -> Vec<Name> {
    let membership = node.membership.borrow();
    let own = &node.settings;
    let others = membership.live().filter(|m| m.name != own.name);
    let near = others.filter(|m| m.domain == own.failure_domain);
    near.map(|m| m.name.clone()).collect()
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
    let spent = node.retry_counts().into_iter();
    Load {
        written_ms: node.incarnation + node.now(),
        hears_store: node.reaches_store.get(),
        serves: node.is_ready(),
        used: used.collect(),
        spent: spent
            .map(|(service, counts)| ServiceCounts { service, counts })
            .collect(),
    }
}

/// An instance that is cut off from the store may go on serving as long as another one vouches for
/// the same version. The answer was written after the question was asked, so the other's
/// confirmation is at least as young as it says, counted from the question.
fn take_confirmation(node: &Node, asked_ms: Millis, view: &View) {
    let same = node
        .intent()
        .is_some_and(|i| i.version == view.seen.version);
    if let Some(age) = view.confirmed_ms_ago.filter(|_| same)
        && let Some(confirmed) = asked_ms.checked_sub(age)
    {
        node.config_confirmation.borrow_mut().confirm(confirmed);
    }
}

/// Takes in what another instance says of itself and tells of others.
fn take(node: &Rc<Node>, view: &View, told: LoadUpdate) {
    node.loads
        .borrow_mut()
        .apply(&view.domain, told, node.now());
    node.update_retry_loans();
    view.take(node);
}

pub(crate) async fn post(
    address: SocketAddr,
    message: &Message,
    time: Duration,
) -> Result<Reply, String> {
    let body = rmp_serde::to_vec(message).map_err(|e| e.to_string())?;
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(PATH);
    let host = http::HeaderValue::from_str(&address.to_string()).map_err(|e| e.to_string())?;
    req.headers_mut().insert(http::header::HOST, host);
    let res: Response<Bytes> = direct::ask(address, req, time, MAX_MESSAGE_BYTES)
        .await
        .map_err(|e| e.to_string())?;
    rmp_serde::from_slice(res.body()).map_err(|e| e.to_string())
}
