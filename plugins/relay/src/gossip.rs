//! Gossip of changes that cannot wait for the next exchange: a new configuration, and a runner that
//! is draining, is dead, has recovered, or has changed its pace.
//!
//! An exchange round takes 300 ms, and a stream whose chain broke is late after less. Therefore an
//! instance that learns of such a change gossips it to [`FANOUT`] others, and each of them for
//! which it is new does the same, so that a fleet of hundreds has it after three hops of a few
//! milliseconds. A message contains only what is new, since a small instance handles a few dozen of
//! them for each event.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::quarantine::CrashReport;
use jacinthweir_policy::relay::failure_reports::FailureReport;
use jacinthweir_policy::relay::rate_limits::RateReport;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::NOTABLE_MS;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::failure_detector;
use crate::messages::{Message, send_to_all};
use crate::node::Node;
use crate::quarantine;
use crate::rate_limits;
use crate::tasks::{self, TaskName};
use crate::watch;

/// Instances that a gossip message is sent to.
const FANOUT: usize = 8;

/// Those of them that may be in any failure domain. Each instance that learns of a change sends it on,
/// so in a domain of some ten instances as many messages leave it.
const OUTWARD: usize = 1;

/// Minimum interval between two gossip messages; changes within it are coalesced.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Age up to which a change is gossiped, in milliseconds. The next exchanges deliver everything but
/// paces, which are probed again.
const GOSSIP_AGE_MS: Millis = 400;
const _: () = assert!(GOSSIP_AGE_MS <= NOTABLE_MS);

/// State of the store as an instance has seen it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Seen {
    /// Version of the configuration in force on the instance.
    pub(crate) version: u64,
    /// Newest revision of a runner's entry that the instance has seen.
    runners_revision: Revision,
    /// Runners known to be draining, by identity and lifetime.
    leaving: Vec<(Name, u64)>,
}

impl Seen {
    /// Returns the state that this instance has seen.
    pub(crate) fn of(node: &Node) -> Seen {
        let leaving = node.draining_runners.borrow();
        let leaving = leaving
            .iter()
            .map(|(id, born_ms, _)| (id.clone(), *born_ms));
        Seen {
            version: node.intent().map_or(0, |i| i.version),
            runners_revision: node.runners_revision.get(),
            leaving: leaving.collect(),
        }
    }

    /// Applies what another instance has seen. A silent watch may hide it from this one.
    pub(crate) fn apply(&self, node: &Node) {
        watch::record_peer_version(node, self.version);
        watch::record_peer_revision(node, self.runners_revision);
        let mut changed = false;
        for (id, born_ms) in &self.leaving {
            if node.runners.borrow_mut().mark_draining(id, *born_ms) {
                log::info!(runner = id.as_ref(), born_ms; "peer reports a draining runner");
                node.note_draining(id, *born_ms);
                changed = true;
            }
        }
        if changed {
            node.rebuild_chains();
        }
    }
}

/// Pace that a runner reported.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Pace {
    runner: Name,
    born_ms: u64,
    pace: f64,
    /// Age of the runner's report when the message was written, in milliseconds.
    age_ms: Millis,
}

/// Gossip message: changes of the last [`GOSSIP_AGE_MS`] milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct News {
    /// Failure domain of the sender.
    domain: Name,
    seen: Seen,
    /// Recent failure reports.
    dead: Vec<FailureReport>,
    /// Runners that recovered recently, by identity and lifetime.
    alive: Vec<(Name, u64)>,
    /// Runners whose pace changed recently.
    paces: Vec<Pace>,
    /// Recent crashes under requests.
    #[serde(default)]
    cases: Vec<CrashReport>,
    /// Recent changes of the rates that runners announce.
    #[serde(default)]
    limits: Vec<RateReport>,
}

/// Starts the task that sends gossip.
pub(crate) fn spawn(node: &Rc<Node>) {
    tasks::spawn(node, &node.stop, TaskName::Gossip, async |node| {
        run(&node).await;
    });
}

async fn run(node: &Rc<Node>) {
    loop {
        node.gossip_due.notified().await;
        let message = Message::News(recent_changes(node));
        send_to_all(&message, &receivers(node));
        sleep(MIN_INTERVAL).await;
    }
}

/// Returns the addresses of [`FANOUT`] random live instances, at least [`OUTWARD`] of them anywhere and
/// the others in the failure domain of this one, as far as it has as many.
fn receivers(node: &Node) -> Vec<SocketAddr> {
    let membership = node.membership.borrow();
    let others = || membership.live().filter(|m| m.name != node.settings.name);
    let near = others().filter(|m| m.domain == node.settings.failure_domain);
    let mut receivers = node.with_rng(|rng| near.map(|m| m.peers).sample(rng, FANOUT - OUTWARD));
    let rest = others().map(|m| m.peers).filter(|a| !receivers.contains(a));
    let rest = node.with_rng(|rng| rest.sample(rng, FANOUT - receivers.len()));
    receivers.extend(rest);
    receivers
}

/// Returns the changes of the last [`GOSSIP_AGE_MS`] milliseconds.
fn recent_changes(node: &Node) -> News {
    let now = node.now();
    let since = now.saturating_sub(GOSSIP_AGE_MS);
    let mut runners = node.runners.borrow_mut();
    let mut alive = Vec::new();
    let mut paces = Vec::new();
    for (e, health) in runners.notable(now) {
        if health.recovered_since(since) {
            alive.push((e.id.clone(), e.born_ms));
        }
        if let Some((pace, at_ms)) = health.pace_changed_since(since) {
            paces.push(Pace {
                runner: e.id.clone(),
                born_ms: e.born_ms,
                pace,
                age_ms: now.saturating_sub(at_ms),
            });
        }
    }
    drop(runners);
    News {
        domain: node.settings.failure_domain.clone(),
        seen: Seen::of(node),
        dead: node.failure_reports.borrow().updated_since(since).collect(),
        alive,
        paces,
        limits: node
            .rate_limits
            .borrow()
            .recent_reports(GOSSIP_AGE_MS, true, now),
        cases: node
            .quarantine
            .borrow()
            .updates(GOSSIP_AGE_MS, false, now)
            .collect(),
    }
}

/// Applies a gossip message of another instance.
pub(crate) fn apply(node: &Rc<Node>, news: &News) {
    news.seen.apply(node);
    failure_detector::receive_failure_reports(node, &news.dead);
    quarantine::merge_reports(node, &news.cases);
    rate_limits::merge_reports(node, &news.limits);
    let mut changed = false;
    for (id, born_ms) in &news.alive {
        changed |= failure_detector::receive_recovery(node, id, *born_ms, &news.domain);
    }
    for pace in &news.paces {
        changed |= apply_pace(node, pace);
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Applies a pace that a runner reported to another instance, which saves a probe. Returns whether
/// it changed the runner's pace.
fn apply_pace(node: &Node, reported: &Pace) -> bool {
    let same = {
        let runners = node.runners.borrow();
        let entry = runners.entry(&reported.runner);
        entry.is_some_and(|e| e.born_ms == reported.born_ms)
    };
    let at_ms = node.now().saturating_sub(reported.age_ms);
    same && failure_detector::set_pace(node, &reported.runner, reported.pace, at_ms)
}
