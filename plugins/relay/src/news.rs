//! What all instances should know at once: a new configuration, and that a runner leaves, is dead,
//! answers again, or has turned slow or quick.
//!
//! A round of exchanges takes 300 ms, and a stream whose chain broke is late after less. So an
//! instance that learns such a thing tells a few others, and each for whom it was new as many again:
//! a fleet of hundreds has heard after three steps of a few milliseconds. A message holds what is
//! new and nothing else, since a small instance carries a few dozen of them for each event.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::failure_reports::FailureReport;
use jacinthweir_policy::relay::quarantine::CrashRecord;
use jacinthweir_policy::relay::rate_limits::RateReport;
use jacinthweir_policy::relay::revision::Revision;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::limits;
use crate::node::Node;
use crate::peers::{ANSWER, Message, post};
use crate::probe;
use crate::quarantine;
use crate::watch;

/// Instances that hear of news directly.
const TELL: usize = 8;

/// Least pause between two tellings: what is learnt meanwhile goes together.
const PAUSE: Duration = Duration::from_millis(10);

/// Age up to which something is news, in milliseconds. The next exchanges bring all but paces, and
/// those are asked for again.
const NEW_MS: Millis = 400;

/// What an instance has seen of the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Seen {
    /// Version of its configuration.
    pub(crate) version: u64,
    /// Newest revision of a runner's entry.
    runners_revision: Revision,
    /// Runners that it heard to leave, by identity and lifetime.
    leaving: Vec<(Name, u64)>,
}

impl Seen {
    /// What this instance has seen.
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

    /// Another instance may know what a silent watch hides from this one.
    pub(crate) fn take(&self, node: &Node) {
        watch::heard_version(node, self.version);
        watch::heard_revision(node, self.runners_revision);
        let mut changed = false;
        for (id, born_ms) in &self.leaving {
            if node.runners.borrow_mut().mark_draining(id, *born_ms) {
                log::info!(runner = id.as_ref(), born_ms; "another instance heard that the runner leaves");
                node.note_draining(id, *born_ms);
                changed = true;
            }
        }
        if changed {
            node.rebuild_chains();
        }
    }
}

/// How slow a runner said to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Pace {
    runner: Name,
    born_ms: u64,
    pace: f64,
    /// Time since it said so when this was written, in milliseconds.
    age_ms: Millis,
}

/// What one instance tells another at once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct News {
    /// Failure domain of the sender.
    domain: Name,
    seen: Seen,
    /// Runners that were found dead just now.
    dead: Vec<FailureReport>,
    /// Runners that answer again, by identity and lifetime.
    alive: Vec<(Name, u64)>,
    /// Runners that turned slow or quick just now.
    paces: Vec<Pace>,
    /// Requests under which runners ended just now.
    #[serde(default)]
    cases: Vec<CrashRecord>,
    /// Runners that named another rate just now.
    #[serde(default)]
    limits: Vec<RateReport>,
}

/// Starts telling.
pub(crate) fn spawn(node: &Rc<Node>) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = node.stop.clone();
        let _ = stop.run_until_cancelled(run(&node)).await;
    });
}

async fn run(node: &Rc<Node>) {
    loop {
        node.gossip_due.notified().await;
        let message = Rc::new(Message::News(own(node)));
        for address in listeners(node) {
            let message = Rc::clone(&message);
            tokio::task::spawn_local(async move {
                // Who does not hear it now does so at its next exchange.
                if let Err(cause) = post(address, &message, ANSWER).await {
                    log::debug!(address:% = address, cause; "news not told");
                }
            });
        }
        sleep(PAUSE).await;
    }
}

fn listeners(node: &Node) -> Vec<SocketAddr> {
    let membership = node.membership.borrow();
    let others = membership.live().filter(|m| m.name != node.settings.name);
    let others = others.map(|m| m.peers);
    node.with_rng(|rng| others.sample(rng, TELL))
}

/// What is new here.
fn own(node: &Node) -> News {
    let now = node.now();
    let since = now.saturating_sub(NEW_MS);
    let runners = node.runners.borrow();
    let mut alive = Vec::new();
    let mut paces = Vec::new();
    for e in runners.entries() {
        let health = runners.health(&e.id);
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
    News {
        domain: node.settings.failure_domain.clone(),
        seen: Seen::of(node),
        dead: node.failure_reports.borrow().updated_since(since).collect(),
        alive,
        paces,
        limits: node.rate_limits.borrow().recent_reports(NEW_MS, true, now),
        cases: node
            .quarantine
            .borrow()
            .updates(NEW_MS, false, now)
            .collect(),
    }
}

/// Takes in what another instance tells.
pub(crate) fn take(node: &Rc<Node>, news: &News) {
    news.seen.take(node);
    probe::hear_words(node, &news.dead);
    quarantine::merge_records(node, &news.cases);
    limits::merge_reports(node, &news.limits);
    let mut changed = false;
    for (id, born_ms) in &news.alive {
        changed |= probe::hear_alive(node, id, *born_ms, &news.domain);
    }
    for pace in &news.paces {
        changed |= take_pace(node, pace);
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// A runner told another instance how slow it is: this one need not ask by itself.
fn take_pace(node: &Node, heard: &Pace) -> bool {
    let same = {
        let runners = node.runners.borrow();
        let entry = runners.entry(&heard.runner);
        entry.is_some_and(|e| e.born_ms == heard.born_ms)
    };
    let at_ms = node.now().saturating_sub(heard.age_ms);
    same && probe::set_pace(node, &heard.runner, heard.pace, at_ms)
}
