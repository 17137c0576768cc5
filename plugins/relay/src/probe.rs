//! Asks the parts of a silent chain, to find the one that is dead, and dead runners whether they are
//! back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_clients::direct::DirectError;
use jacinthweir_platform::runner::Report;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::failure_reports::{self, Advice, FailureReport};
use jacinthweir_policy::relay::runners::{PROBE_INTERVAL_MS, RunnerEntry, RunnerHealth};
use jacinthweir_policy::relay::silence::ProbeRound;
use jacinthweir_policy::relay::store_watch;
use tokio::time::sleep;

use crate::live_chains::LiveChain;
use crate::node::Node;
use crate::peers;
use crate::question::{self, Asked, Finding, Suspect, TRIES};

/// Least and longest time between two looks for silent chains, in milliseconds. Looked for every few
/// milliseconds, they cost an instance more than its callers' events.
const LOOK_MS: Millis = 8;
const LONGEST_LOOK_MS: Millis = 100;

/// Period of looking which dead runners are to be asked whether they are back.
const REVIVE: Duration = Duration::from_millis(350);

/// Starts looking.
pub(crate) fn spawn(node: &Rc<Node>) {
    let looking = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = looking.stop.clone();
        let _ = stop.run_until_cancelled(look(&looking)).await;
    });
    let reviving = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = reviving.stop.clone();
        let _ = stop.run_until_cancelled(revive(&reviving)).await;
    });
}

async fn look(node: &Rc<Node>) {
    loop {
        wait_for_look(node).await;
        let now = node.now();
        let expired = node.runners.borrow_mut().expire_lapsed(now);
        if expired {
            log::info!("runners whose entries lapsed did not come back");
            node.rebuild_chains();
        }
        let suspect: Vec<Rc<LiveChain>> = {
            let chains = node.chains.borrow();
            let alive = chains.all().filter(|l| !l.broken.is_cancelled());
            alive
                .filter(|l| l.should_probe_runners(now))
                .cloned()
                .collect()
        };
        for live in suspect {
            tokio::task::spawn_local(ask_parts(Rc::clone(node), live));
        }
    }
}

/// Waits until some chain may be found silent.
async fn wait_for_look(node: &Node) {
    let now = node.now();
    let next = next_look_ms(node, now);
    node.next_silence_check_ms.set(next);
    tokio::select! {
        () = sleep(Duration::from_millis(next - now)) => log_held_up(node.now().saturating_sub(next)),
        () = node.check_silence.notified() => sleep(Duration::from_millis(LOOK_MS)).await,
    }
}

fn next_look_ms(node: &Node, now: Millis) -> Millis {
    let chains = node.chains.borrow();
    let alive = chains.all().filter(|l| !l.broken.is_cancelled());
    let due = alive.filter_map(|l| l.due_ms()).min();
    let longest = now + LONGEST_LOOK_MS;
    due.unwrap_or(longest).clamp(now + LOOK_MS, longest)
}

/// Time after a look was due from which on the instance was held up, in milliseconds: by its own work,
/// or without processor.
const HELD_UP_MS: Millis = 32;

fn log_held_up(late_ms: Millis) {
    metrics::histogram!("jacinthweir_look_seconds").record(late_ms as f64 / 1e3);
    if late_ms >= HELD_UP_MS {
        log::info!(late_ms; "held up");
    }
}

async fn ask_parts(node: Rc<Node>, live: Rc<LiveChain>) {
    log_silence(&node, &live);
    let began = node.now();
    let stages = live.chain.stages.iter();
    let mut open: FuturesUnordered<_> = stages
        .map(|s| {
            let asked = Asked::of(&node, &s.runner);
            async move { (&s.runner, question::ask(asked, TRIES).await) }
        })
        .collect();
    let mut round = ProbeRound::new(open.len());
    let mut silent: Vec<&RunnerEntry> = Vec::new();
    let mut unanswered = 0;
    while let Some((runner, found)) = open.next().await {
        let passed = node.now() - began;
        let RunnerEntry { id, born_ms, .. } = runner;
        if found.is_heard() {
            round.answered(passed);
        }
        match found {
            Finding::Report(report) => take_report(&node, id, *born_ms, &report),
            Finding::Listens => hear_it(&node, id, *born_ms),
            Finding::Gone => name_dead(&node, id, *born_ms, REFUSED),
            Finding::NoReport(_) | Finding::Silent(_) => {
                unanswered += 1;
                silent.push(runner);
            }
        }
        if round.indicates_dead(passed) {
            let suspects = silent.drain(..).map(|r| Suspect::of(&node, r));
            suspects.for_each(|s| examine(&node, s, 1));
        }
    }
    silent
        .into_iter()
        .for_each(|r| examine(&node, Suspect::of(&node, r), 0));
    log::info!(
        chain = live.label(),
        parts = live.chain.stages.len(),
        unanswered,
        took_ms = node.now() - began;
        "parts of a chain were asked"
    );
}

fn log_silence(node: &Node, live: &LiveChain) {
    let (silent_ms, waiting) = {
        let silence = live.silence.borrow();
        (silence.silent_ms(node.now()), silence.waiting())
    };
    let gap_ms = live.gaps.borrow().mean_ms() as u64;
    log::warn!(
        chain = live.label(),
        silent_ms,
        waiting,
        gap_ms;
        "a chain is silent or slow, asking its parts"
    );
}

/// A connection to a runner did not come about: that is looked into, or shows by itself that nobody
/// listens there.
pub(crate) fn not_reached(node: &Rc<Node>, runner: &RunnerEntry, error: &DirectError) {
    if error.is_silence() {
        examine(node, Suspect::of(node, runner), 0);
    } else {
        name_dead(node, &runner.id, runner.born_ms, &error.to_string());
    }
}

/// A connection to a runner broke: it may have ended, which one question shows at once. Its silence is looked
/// into like any other.
pub(crate) fn broke_off(node: &Rc<Node>, id: &Name, born_ms: u64) {
    let Some(suspect) = due_suspect(node, id, born_ms) else {
        return;
    };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let Suspect { id, born_ms, .. } = &suspect;
        match question::ask(suspect.asked, 1).await {
            Finding::Report(report) => take_report(&node, id, *born_ms, &report),
            Finding::Listens => hear_it(&node, id, *born_ms),
            Finding::Gone => name_dead(&node, id, *born_ms, REFUSED),
            Finding::NoReport(_) | Finding::Silent(_) => examine(&node, suspect, 0),
        }
    });
}

/// Has a runner asked beside witnesses that was silent `strikes` times, if it is not asked so already.
fn examine(node: &Rc<Node>, suspect: Suspect, strikes: u32) {
    let lifetime = (suspect.id.clone(), suspect.born_ms);
    if !node.probed_suspects.borrow_mut().insert(lifetime.clone()) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        question::examine(Rc::clone(&node), suspect, strikes).await;
        node.probed_suspects.borrow_mut().remove(&lifetime);
    });
}

/// A runner was heard: what others said of its end is void.
pub(crate) fn hear_it(node: &Node, id: &Name, born_ms: u64) {
    node.failure_reports
        .borrow_mut()
        .refute(id, born_ms, node.now());
}

/// What a runner's report says of itself, and of others that requests wait for there.
pub(crate) fn take_report(node: &Node, id: &Name, born_ms: u64, report: &Report) {
    if !report.is_of(born_ms) {
        return name_dead(node, id, born_ms, "started anew");
    }
    hear_it(node, id, born_ms);
    let mut changed = set_pace(node, id, report.pace, node.now());
    for address in report.stalled.values() {
        changed |= mark_dead_at(node, *address);
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Evidence that nobody listens at a runner's address.
pub(crate) const REFUSED: &str = "connection refused";

/// One lifetime of a runner is over: the other instances hear so at once.
pub(crate) fn name_dead(node: &Node, id: &Name, born_ms: u64, evidence: &str) {
    if find_dead(node, id, born_ms, evidence) {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// A runner's pace as it was at `at_ms`; whether chains depend on the change.
pub(crate) fn set_pace(node: &Node, id: &Name, pace: f64, at_ms: Millis) -> bool {
    let mut runners = node.runners.borrow_mut();
    let changed = runners
        .health_mut(id)
        .is_some_and(|s| s.set_pace(pace, at_ms));
    if changed {
        log::info!(runner = id.as_ref(), pace; "runner's pace");
    }
    changed
}

/// This instance found one lifetime of a runner dead.
fn find_dead(node: &Node, id: &Name, born_ms: u64, evidence: &str) -> bool {
    let found = mark_dead(node, id, born_ms, evidence);
    if found {
        let word = FailureReport {
            runner: id.clone(),
            born_ms,
            reporters: [node.settings.name.clone()].into(),
        };
        node.failure_reports.borrow_mut().record(&word, node.now());
        if let Some(health) = node.runners.borrow_mut().health_mut(id) {
            health.found_locally = true;
        }
    }
    found
}

/// Marks one lifetime of a runner as dead, for the reason that `evidence` tells.
fn mark_dead(node: &Node, id: &Name, born_ms: u64, evidence: &str) -> bool {
    let now = node.now();
    let mut runners = node.runners.borrow_mut();
    let Some(health) = runners.health_mut(id) else {
        return false;
    };
    if health.dead || health.born_ms != born_ms {
        return false;
    }
    health.dead = true;
    health.dead_since_ms = now;
    health.found_locally = false;
    health.reset_probe_backoff();
    log::warn!(runner = id.as_ref(), born_ms, evidence; "runner counts as dead");
    metrics::counter!("jacinthweir_runners_dead_total").increment(1);
    true
}

fn mark_dead_at(node: &Node, address: SocketAddr) -> bool {
    let found = {
        let runners = node.runners.borrow();
        runners.at(address).map(|e| (e.id.clone(), e.born_ms))
    };
    found.is_some_and(|(id, born_ms)| {
        find_dead(node, &id, born_ms, "requests wait for it elsewhere")
    })
}

/// Other instances found runners dead. The word of one is not enough: whoever gave it may hear nobody,
/// and what made the runner silent there may make it silent here.
pub(crate) fn hear_words(node: &Rc<Node>, words: &[FailureReport]) {
    let mut is_news = false;
    for word in words {
        if is_in_doubt(node, &word.runner, word.born_ms) {
            is_news |= node.failure_reports.borrow_mut().record(word, node.now());
        }
    }
    follow_words(node);
    if is_news {
        node.gossip_due.notify_one();
    }
}

/// Whether a lifetime of a runner goes on as far as is known here.
fn is_in_doubt(node: &Node, id: &Name, born_ms: u64) -> bool {
    let runners = node.runners.borrow();
    let health = runners.health(id);
    health.born_ms == born_ms && !health.dead
}

/// Believes, or asks about, runners that others found dead.
fn follow_words(node: &Rc<Node>) {
    let now = node.now();
    let instances = node.live_instances();
    let named: Vec<(Name, u64)> = {
        let words = node.failure_reports.borrow();
        words
            .runners()
            .map(|(id, born)| (id.clone(), born))
            .collect()
    };
    let mut changed = false;
    for (id, born_ms) in named {
        if !is_in_doubt(node, &id, born_ms) {
            continue;
        }
        let concerned = passes_through(node, &id);
        let words = node.failure_reports.borrow();
        let advice = words.advice(&id, born_ms, concerned, instances, now);
        drop(words);
        match advice {
            Advice::MarkDead => changed |= mark_dead(node, &id, born_ms, "others found it dead"),
            Advice::Probe => ask_about(node, &id, born_ms),
            Advice::Wait => {}
        }
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Whether requests of this instance pass through a runner.
fn passes_through(node: &Node, id: &str) -> bool {
    let chains = node.chains.borrow();
    let mut busy = chains.all().filter(|l| l.silence.borrow().waiting() > 0);
    busy.any(|l| l.chain.has(id))
}

/// Asks a runner that somebody else found dead.
fn ask_about(node: &Rc<Node>, id: &Name, born_ms: u64) {
    if let Some(suspect) = due_suspect(node, id, born_ms) {
        examine(node, suspect, 0);
    }
}

/// A lifetime of a runner that is in doubt, if it is due to be asked.
fn due_suspect(node: &Node, id: &Name, born_ms: u64) -> Option<Suspect> {
    let mut runners = node.runners.borrow_mut();
    let entry = runners.entry(id).filter(|e| e.born_ms == born_ms);
    let suspect = entry.map(|r| Suspect::of(node, r));
    let health = runners.health_mut(id).filter(|s| !s.dead);
    let due = health.is_some_and(|s| s.should_probe(node.now(), PROBE_INTERVAL_MS));
    suspect.filter(|_| due)
}

/// A runner answers an instance of a failure domain again. An instance that only believed it dead believes
/// a neighbour; one that found it dead by itself may be cut off from it alone, and asks.
pub(crate) fn hear_alive(node: &Node, id: &Name, born_ms: u64, domain: &str) -> bool {
    let near = *domain == *node.settings.failure_domain;
    let now = node.now();
    let mut runners = node.runners.borrow_mut();
    let health = runners.health_mut(id);
    let Some(health) = health.filter(|s| s.dead && s.born_ms == born_ms) else {
        return false;
    };
    let believes = near && !health.found_locally;
    if believes {
        health.mark_recovered(now);
        node.failure_reports
            .borrow_mut()
            .refute(id, born_ms, node.now());
        log::info!(runner = id.as_ref(); "runner answers a neighbour again");
    } else {
        health.probe_soon();
    }
    believes
}

/// Doubted runners that are due to be asked.
fn doubted(node: &Node) -> Vec<Suspect> {
    let now = node.now();
    // What one instance hears it tells the others, so that each need ask less often where there are many.
    let pause = store_watch::scaled_interval_ms(PROBE_INTERVAL_MS, node.live_instances());
    let mut runners = node.runners.borrow_mut();
    let all: Vec<Suspect> = {
        let is_doubted = |s: &RunnerHealth| s.dead || s.is_slow();
        let doubted = runners
            .entries()
            .filter(|e| is_doubted(&runners.health(&e.id)));
        doubted.map(|r| Suspect::of(node, r)).collect()
    };
    let neighbours = peers::neighbours(node);
    let mut due = |id: &Name| {
        let asks = failure_reports::is_prober(&node.settings.name, neighbours.iter(), id);
        let health = runners.health_mut(id);
        health.is_some_and(|s| match asks || s.found_locally {
            true => s.should_probe(now, pause),
            false => s.should_probe_rarely(now),
        })
    };
    all.into_iter().filter(|s| due(&s.id)).collect()
}

/// Brings back runners that answer again in the same lifetime, as a cut healed, and asks slow ones
/// whether they still are.
async fn revive(node: &Rc<Node>) {
    loop {
        sleep(REVIVE).await;
        follow_words(node);
        let dead = doubted(node);
        let found = join_all(dead.iter().map(|s| question::ask(s.asked, 1))).await;
        let mut changed = false;
        for (Suspect { id, born_ms, .. }, found) in dead.iter().zip(found) {
            match found {
                Finding::Report(report) if report.is_of(*born_ms) => {
                    changed |= set_pace(node, id, report.pace, node.now());
                }
                Finding::Listens => {}
                _ => continue,
            }
            changed |= answers_again(node, id, *born_ms);
        }
        if changed {
            node.gossip_due.notify_one();
            node.rebuild_chains();
        }
    }
}

/// A runner was heard again; whether it counted as dead.
fn answers_again(node: &Node, id: &Name, born_ms: u64) -> bool {
    let mut runners = node.runners.borrow_mut();
    let Some(health) = runners.health_mut(id).filter(|s| s.dead) else {
        return false;
    };
    health.mark_recovered(node.now());
    hear_it(node, id, born_ms);
    log::info!(runner = id.as_ref(); "runner answers again");
    true
}
