//! Asks the parts of a silent chain, to find the one that is dead.
//!
//! A runner's report needs no slot and is answered however long its queue is, so a part that does
//! not answer several times is dead or cut off, not busy.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_platform::runner::{self, Report};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::Standing;
use tokio::time::{interval, sleep, timeout};

use crate::live::LiveChain;
use crate::node::Node;

/// Period of looking for silent chains.
const LOOK: Duration = Duration::from_millis(20);

/// Time that a runner has to answer a report, which is two round trips of a millisecond or less.
const ANSWER: Duration = Duration::from_millis(25);

/// Times that a part is asked before it counts as dead: a packet lost in each of four questions is
/// rare even on a link that loses one in forty.
const TRIES: usize = 4;

/// Time after which the next question begins while the one before is open. A part that has crashed
/// refuses all of them within a few milliseconds, one that is dark costs 60.
const STAGGER: Duration = Duration::from_millis(12);

/// What all questions to one part take at the most, in milliseconds, with as much again for their
/// processing. When it took longer, this process had no processor meanwhile, and answers may lie
/// unread.
const HELD_UP_MS: Millis = 120;

/// Time for the one more question that is asked then.
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
    loop {
        ticks.tick().await;
        let now = node.now();
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

async fn ask_parts(node: Rc<Node>, live: Rc<LiveChain>) {
    let now = node.now();
    let (silent_ms, waiting) = {
        let silence = live.silence.borrow();
        (silence.silent_ms(now), silence.waiting())
    };
    let gap_ms = live.gaps.borrow().mean_ms() as u64;
    log::warn!(
        chain = live.label(),
        silent_ms,
        waiting,
        gap_ms;
        "a chain is silent or slow, asking its parts"
    );
    let reports = ask_all(&node, &live).await;
    let mut changed = false;
    for (stage, report) in live.chain.stages.iter().zip(&reports) {
        let dead = match report {
            Some(r) => !r.is_of(stage.runner.born_ms),
            None => true,
        };
        if dead {
            changed |= mark_dead(&node, &stage.runner.id, stage.runner.born_ms);
        }
        if let Some(report) = report {
            changed |= set_pace(&node, &stage.runner.id, report.pace);
        }
        let stalled = report.iter().flat_map(|r| r.stalled.values());
        for address in stalled {
            changed |= mark_dead_at(&node, *address);
        }
    }
    if changed {
        node.rebuild_chains();
    }
}

/// Change of a runner's pace that chains are worked out anew for.
const PACE_STEP: f64 = 0.5;

fn set_pace(node: &Node, id: &Name, pace: f64) -> bool {
    let mut runners = node.runners.borrow_mut();
    let Some(standing) = runners.standing_mut(id) else {
        return false;
    };
    let before = standing.slowness();
    standing.pace = Some(pace);
    let changed = (standing.slowness() - before).abs() >= PACE_STEP;
    if changed {
        log::info!(runner = id.as_ref(), pace, before; "runner's pace");
    }
    changed
}

/// Asks all parts of a chain. Where no part answers, or this process was held up, silence may be
/// this instance's own: the silent ones are asked once more, with more time.
async fn ask_all(node: &Node, live: &LiveChain) -> Vec<Option<Report>> {
    let began = node.now();
    let parts = live.chain.stages.iter().map(|s| ask(s.runner.address));
    let mut reports = join_all(parts).await;
    let held_up = node.now() > began + HELD_UP_MS;
    if !held_up && reports.iter().any(Option::is_some) {
        return reports;
    }
    let stages = live.chain.stages.iter().zip(&mut reports);
    let silent = stages.filter(|(_, report)| report.is_none());
    join_all(silent.map(|(stage, report)| async move {
        metrics::counter!("jacinthweir_probes_total").increment(1);
        *report = runner::report(stage.runner.address, PATIENT).await.ok();
    }))
    .await;
    reports
}

/// Asks a runner for its report several times, the next time as soon as one failed or took long.
async fn ask(address: SocketAddr) -> Option<Report> {
    let mut open = FuturesUnordered::new();
    let mut left = TRIES;
    loop {
        if left > 0 {
            metrics::counter!("jacinthweir_probes_total").increment(1);
            open.push(runner::report(address, ANSWER));
            left -= 1;
        }
        let next = async {
            match left {
                0 => open.next().await,
                _ => timeout(STAGGER, open.next()).await.unwrap_or(None),
            }
        };
        match next.await {
            Some(Ok(report)) => return Some(report),
            None if left == 0 => return None,
            Some(Err(_)) | None => {}
        }
    }
}

/// Marks one lifetime of a runner as dead.
pub(crate) fn mark_dead(node: &Node, id: &Name, born_ms: u64) -> bool {
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
    log::warn!(runner = id.as_ref(), born_ms; "runner counts as dead");
    metrics::counter!("jacinthweir_runners_dead_total").increment(1);
    true
}

fn mark_dead_at(node: &Node, address: SocketAddr) -> bool {
    let found = {
        let runners = node.runners.borrow();
        runners.at(address).map(|e| (e.id.clone(), e.born_ms))
    };
    found.is_some_and(|(id, born_ms)| mark_dead(node, &id, born_ms))
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
    let due = {
        let mut runners = node.runners.borrow_mut();
        runners
            .standing_mut(id)
            .is_some_and(|s| s.should_ask(node.now()))
    };
    if !due {
        return;
    }
    let (node, id) = (Rc::clone(node), id.clone());
    tokio::task::spawn_local(async move {
        if ask(address).await.is_none() && mark_dead(&node, &id, born_ms) {
            node.rebuild_chains();
        }
    });
}

/// Doubted runners that are due to be asked: identity, address, lifetime.
fn doubted(node: &Node) -> Vec<(Name, SocketAddr, u64)> {
    let now = node.now();
    let mut runners = node.runners.borrow_mut();
    let all: Vec<(Name, SocketAddr, u64)> = {
        let is_doubted = |s: &Standing| s.dead || s.slowness() > 1.0 + PACE_STEP;
        let doubted = runners
            .entries()
            .filter(|e| is_doubted(&runners.standing(&e.id)));
        doubted
            .map(|e| (e.id.clone(), e.address, e.born_ms))
            .collect()
    };
    let mut due = |id: &Name| runners.standing_mut(id).is_some_and(|s| s.should_ask(now));
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
            .map(|(_, address, _)| runner::report(*address, ANSWER));
        let reports = join_all(asked).await;
        let mut changed = false;
        for ((id, _, born_ms), report) in dead.iter().zip(reports) {
            let Ok(report) = report else {
                continue;
            };
            if !report.is_of(*born_ms) {
                continue;
            }
            changed |= set_pace(node, id, report.pace);
            let mut runners = node.runners.borrow_mut();
            if let Some(standing) = runners.standing_mut(id).filter(|s| s.dead) {
                standing.dead = false;
                standing.asked_anew();
                changed = true;
                log::info!(runner = id.as_ref(); "runner answers again");
            }
        }
        if changed {
            node.rebuild_chains();
        }
    }
}
