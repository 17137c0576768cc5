//! Asks the parts of a silent chain, to find the one that is dead.
//!
//! A runner's report needs no slot and is answered however long its queue is, so a part that does
//! not answer several times is dead or cut off, not busy.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_clients::direct::AskTime;
use jacinthweir_platform::runner::{self, Report, RunnerError};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain::Stage;
use jacinthweir_policy::relay::following;
use jacinthweir_policy::relay::runners::{ASK_PAUSE_MS, Standing};
use jacinthweir_policy::relay::silence::Round;
use tokio::time::{interval, sleep, timeout};

use crate::live::LiveChain;
use crate::node::Node;

/// Period of looking for silent chains.
const LOOK: Duration = Duration::from_millis(8);

/// Time that a question has. A runner that is there takes a connection within two round trips of a
/// millisecond or less, however slow it is. One that runs at a tenth of its pace takes ten times as
/// long to answer, and would count as dead if the whole answer had the connection's time.
const QUESTION: AskTime = AskTime {
    connect: Duration::from_millis(14),
    answer: Duration::from_millis(250),
};

/// Times that a part is asked before it counts as dead: a packet lost in each of four questions is
/// rare even on a link that loses one in forty.
const TRIES: usize = 4;

/// Time after which the next question begins while the one before is open. A part that has crashed
/// refuses all of them within a few milliseconds, one that is dark costs 30.
const STAGGER: Duration = Duration::from_millis(5);

/// Time for the one more question that is asked where the silence may be this instance's own.
const PATIENT: Duration = Duration::from_millis(250);

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
    let mut ticks = interval(LOOK);
    let mut looked_ms = node.now();
    loop {
        ticks.tick().await;
        let now = node.now();
        log_held_up(now - looked_ms);
        looked_ms = now;
        let expired = node.runners.borrow_mut().expire(now);
        if expired {
            log::info!("runners whose entries lapsed did not come back");
            node.rebuild_chains();
        }
        let suspect: Vec<Rc<LiveChain>> = {
            let chains = node.chains.borrow();
            let alive = chains.all().filter(|l| !l.broken.is_cancelled());
            alive.filter(|l| l.should_ask(now)).cloned().collect()
        };
        for live in suspect {
            tokio::task::spawn_local(ask_parts(Rc::clone(node), live));
        }
    }
}

/// Time between two looks from which on the instance was held up, in milliseconds: by its own work,
/// or without processor.
const HELD_UP_MS: Millis = 40;

fn log_held_up(passed: Millis) {
    metrics::histogram!("jacinthweir_look_seconds").record(passed as f64 / 1e3);
    if passed >= HELD_UP_MS {
        log::info!(passed_ms = passed; "held up");
    }
}

async fn ask_parts(node: Rc<Node>, live: Rc<LiveChain>) {
    log_silence(&node, &live);
    let began = node.now();
    let stages = live.chain.stages.iter();
    let mut open: FuturesUnordered<_> = stages
        .map(|s| async move { (s, ask(s.runner.address).await) })
        .collect();
    let mut round = Round::new(open.len());
    let mut silent = Vec::new();
    while let Some((stage, report)) = open.next().await {
        let passed = node.now() - began;
        match report {
            Ok(report) => {
                round.answered(passed);
                take_report(&node, stage, &report);
            }
            Err(e) => silent.push((stage, e)),
        }
        if round.speaks_against(passed) {
            for (stage, e) in silent.drain(..) {
                name_dead(&node, stage, &e.to_string());
            }
        }
    }
    let unanswered = silent.len();
    join_all(silent.into_iter().map(|(s, _)| ask_patiently(&node, s))).await;
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

async fn ask_patiently(node: &Node, stage: &Stage) {
    metrics::counter!("jacinthweir_probes_total").increment(1);
    match runner::report(stage.runner.address, PATIENT).await {
        Ok(report) => take_report(node, stage, &report),
        Err(e) => name_dead(node, stage, &e.to_string()),
    }
}

/// What a part's report says of itself, and of others that requests wait for there.
fn take_report(node: &Node, stage: &Stage, report: &Report) {
    if !report.is_of(stage.runner.born_ms) {
        return name_dead(node, stage, "started anew");
    }
    let mut changed = set_pace(node, &stage.runner.id, report.pace, node.now());
    for address in report.stalled.values() {
        changed |= mark_dead_at(node, *address);
    }
    if changed {
        node.news.notify_one();
        node.rebuild_chains();
    }
}

/// A part is dead: the other instances hear so at once.
fn name_dead(node: &Node, stage: &Stage, evidence: &str) {
    if mark_dead(node, &stage.runner.id, stage.runner.born_ms, evidence) {
        node.news.notify_one();
        node.rebuild_chains();
    }
}

/// A runner's pace as it was at `at_ms`; whether chains depend on the change.
pub(crate) fn set_pace(node: &Node, id: &Name, pace: f64, at_ms: Millis) -> bool {
    let mut runners = node.runners.borrow_mut();
    let changed = runners
        .standing_mut(id)
        .is_some_and(|s| s.set_pace(pace, at_ms));
    if changed {
        log::info!(runner = id.as_ref(), pace; "runner's pace");
    }
    changed
}

/// Asks a runner for its report several times, the next time as soon as one failed or took long.
async fn ask(address: SocketAddr) -> Result<Report, RunnerError> {
    let mut open = FuturesUnordered::new();
    let mut left = TRIES;
    loop {
        if left > 0 {
            metrics::counter!("jacinthweir_probes_total").increment(1);
            open.push(runner::report(address, QUESTION));
            left -= 1;
        }
        let next = async {
            match left {
                0 => open.next().await,
                _ => timeout(STAGGER, open.next()).await.unwrap_or(None),
            }
        };
        match next.await {
            Some(Ok(report)) => return Ok(report),
            Some(Err(e)) if left == 0 && open.is_empty() => return Err(e),
            Some(Err(_)) | None => {}
        }
    }
}

/// Marks one lifetime of a runner as dead, for the reason that `evidence` tells.
pub(crate) fn mark_dead(node: &Node, id: &Name, born_ms: u64, evidence: &str) -> bool {
    let now = node.now();
    let mut runners = node.runners.borrow_mut();
    let Some(standing) = runners.standing_mut(id) else {
        return false;
    };
    if standing.dead || standing.born_ms != born_ms {
        return false;
    }
    standing.dead = true;
    standing.dead_since_ms = now;
    standing.asked_anew();
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
        mark_dead(node, &id, born_ms, "requests wait for it elsewhere")
    })
}

/// Asks a runner that somebody else found dead.
pub(crate) fn ask_about(node: &Rc<Node>, id: &Name, born_ms: u64) {
    let address = {
        let runners = node.runners.borrow();
        let entry = runners.entry(id).filter(|e| e.born_ms == born_ms);
        entry
            .filter(|e| !runners.standing(&e.id).dead)
            .map(|e| e.address)
    };
    let Some(address) = address else {
        return;
    };
    if node.is_silent_through(id)
        && mark_dead(
            node,
            id,
            born_ms,
            "another instance found it dead, its chains are silent here",
        )
    {
        node.news.notify_one();
        node.rebuild_chains();
        return;
    }
    let due = {
        let mut runners = node.runners.borrow_mut();
        runners
            .standing_mut(id)
            .is_some_and(|s| s.should_ask(node.now(), ASK_PAUSE_MS))
    };
    if !due {
        return;
    }
    let (node, id) = (Rc::clone(node), id.clone());
    tokio::task::spawn_local(async move {
        let Err(e) = ask(address).await else {
            return;
        };
        if mark_dead(&node, &id, born_ms, &e.to_string()) {
            node.rebuild_chains();
        }
    });
}

/// Doubted runners that are due to be asked: identity, address, lifetime.
fn doubted(node: &Node) -> Vec<(Name, SocketAddr, u64)> {
    let now = node.now();
    // What one instance hears it tells the others, so that each need ask less often where there are many.
    let pause = following::watch_ms(ASK_PAUSE_MS, node.instances());
    let mut runners = node.runners.borrow_mut();
    let all: Vec<(Name, SocketAddr, u64)> = {
        let is_doubted = |s: &Standing| s.dead || s.is_slow();
        let doubted = runners
            .entries()
            .filter(|e| is_doubted(&runners.standing(&e.id)));
        doubted
            .map(|e| (e.id.clone(), e.address, e.born_ms))
            .collect()
    };
    let mut due = |id: &Name| {
        let standing = runners.standing_mut(id);
        standing.is_some_and(|s| s.should_ask(now, pause))
    };
    all.into_iter().filter(|(id, _, _)| due(id)).collect()
}

/// Brings back runners that answer again in the same lifetime, as a cut healed, and asks slow ones
/// whether they still are.
async fn revive(node: &Rc<Node>) {
    loop {
        sleep(REVIVE).await;
        let dead = doubted(node);
        let asked = dead
            .iter()
            .map(|(_, address, _)| runner::report(*address, QUESTION));
        let reports = join_all(asked).await;
        let mut changed = false;
        for ((id, _, born_ms), report) in dead.iter().zip(reports) {
            let Ok(report) = report else {
                continue;
            };
            if !report.is_of(*born_ms) {
                continue;
            }
            changed |= set_pace(node, id, report.pace, node.now());
            let mut runners = node.runners.borrow_mut();
            if let Some(standing) = runners.standing_mut(id).filter(|s| s.dead) {
                standing.answers_again(node.now());
                changed = true;
                log::info!(runner = id.as_ref(); "runner answers again");
            }
        }
        if changed {
            node.news.notify_one();
            node.rebuild_chains();
        }
    }
}
