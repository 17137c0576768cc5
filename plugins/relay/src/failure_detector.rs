//! Failure detector for runners: probes the stages of silent chains, exchanges failure reports with
//! other instances, and probes dead and slow runners for recovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_platform::runner::Report;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::failure_reports::{self, Advice, FailureReport};
use jacinthweir_policy::relay::runners::{DeathEvidence, PROBE_INTERVAL_MS, RunnerEntry};
use jacinthweir_policy::relay::silence::ProbeRound;
use jacinthweir_policy::relay::store_watch;
use tokio::time::{sleep, timeout};

use crate::duties;
use crate::live_chains::LiveChain;
use crate::node::Node;
use crate::reachability;
use crate::runner_probe::{self, MAX_PROBES, ProbeResult, ProbeTarget, Suspect};
use crate::tasks::{self, Job, TaskName};

/// Minimum time between two checks for silent chains, in milliseconds. If checks ran every few
/// milliseconds, an instance would spend more time on them than on its callers' events.
const MIN_CHECK_INTERVAL_MS: Millis = 8;

/// Maximum time between two checks for silent chains, in milliseconds.
const MAX_CHECK_INTERVAL_MS: Millis = 100;

/// Interval between two rounds of recovery probes.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(350);

/// Starts the tasks of the failure detector.
pub(crate) fn spawn(node: &Rc<Node>) {
    let name = TaskName::SilenceDetection;
    tasks::spawn(node, &node.stop, name, async |node| detect(&node).await);
    let name = TaskName::Recovery;
    tasks::spawn(node, &node.stop, name, async |node| {
        recovery_loop(&node).await;
    });
}

async fn detect(node: &Rc<Node>) {
    loop {
        wait_for_check(node).await;
        let now = node.now();
        let expired = node.runners.borrow_mut().expire_lapsed(now);
        if expired {
            log::info!("runners did not return after their store entries lapsed");
            node.rebuild_chains();
        }
        reachability::interrupt_disconnected(node);
        let silent_chains: Vec<Rc<LiveChain>> = {
            let chains = node.chains.borrow();
            let alive = chains.all().filter(|l| !l.broken.is_cancelled());
            alive
                .filter(|l| l.should_probe_runners(node, now))
                .cloned()
                .collect()
        };
        for live in silent_chains {
            tasks::spawn_job(Job::StageProbes, probe_stages(Rc::clone(node), live));
        }
    }
}

/// Waits until a chain may have become silent.
async fn wait_for_check(node: &Node) {
    let now = node.now();
    let next = next_check_ms(node, now);
    node.next_silence_check_ms.set(next);
    tokio::select! {
        () = sleep(Duration::from_millis(next - now)) => log_late_check(node.now().saturating_sub(next)),
        () = node.check_silence.notified() => sleep(Duration::from_millis(MIN_CHECK_INTERVAL_MS)).await,
    }
}

fn next_check_ms(node: &Node, now: Millis) -> Millis {
    let chains = node.chains.borrow();
    let alive = chains.all().filter(|l| !l.broken.is_cancelled());
    let due = alive.filter_map(|l| l.due_ms(node)).min();
    let longest = now + MAX_CHECK_INTERVAL_MS;
    due.unwrap_or(longest)
        .clamp(now + MIN_CHECK_INTERVAL_MS, longest)
}

/// Minimum delay of a check for it to be logged, in milliseconds. Such a delay is caused by the
/// instance's own work or a lack of CPU time.
const LATE_CHECK_MS: Millis = 32;

fn log_late_check(late_ms: Millis) {
    metrics::histogram!("jacinthweir_look_seconds").record(late_ms as f64 / 1e3);
    if late_ms >= LATE_CHECK_MS {
        log::info!(late_ms; "check for silent chains was delayed");
    }
}

async fn probe_stages(node: Rc<Node>, live: Rc<LiveChain>) {
    log_silence(&node, &live);
    let began = node.now();
    let stages = live.chain.stages.iter();
    let mut open: FuturesUnordered<_> = stages
        .map(|s| {
            let target = ProbeTarget::of(&node, &s.runner);
            let node = &node;
            async move {
                let found = runner_probe::probe(node, target, MAX_PROBES).await;
                (&s.runner, found)
            }
        })
        .collect();
    let mut round = ProbeRound::new(open.len());
    let mut silent_runners: Vec<&RunnerEntry> = Vec::new();
    let mut unanswered = 0;
    while let Some((runner, found)) = open.next().await {
        let passed = node.now() - began;
        let RunnerEntry { id, born_ms, .. } = runner;
        if found.is_response() {
            round.answered(passed);
        }
        match found {
            ProbeResult::Report(report) => process_report(&node, id, *born_ms, &report),
            ProbeResult::Listening => record_answer(&node, id, *born_ms),
            ProbeResult::Refused | ProbeResult::NoReport(_) | ProbeResult::Silent(_) => {
                unanswered += 1;
                silent_runners.push(runner);
            }
        }
        if round.indicates_dead(passed) {
            let suspects = silent_runners.drain(..).map(|r| Suspect::of(&node, r));
            suspects.for_each(|s| examine(&node, s, 1));
        }
    }
    if round.is_unanswered() {
        // This instance reaches the chain only through the first runner.
        silent_runners.retain(|r| r.id == live.chain.head().id);
    }
    silent_runners
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

/// Handles a failed connection to a runner: it gets no requests of this instance until it is known
/// what is at fault.
pub(crate) fn connection_failed(node: &Rc<Node>, runner: &RunnerEntry) {
    reachability::mark_unreachable(node, &runner.id, runner.born_ms);
    examine(node, Suspect::of(node, runner), 0);
}

/// Handles a broken connection to a runner, if a probe of it is due. A single probe shows at once
/// whether the runner has ended; if the probe gives no result, the runner is examined like any
/// other silent one.
pub(crate) fn connection_lost(node: &Rc<Node>, id: &Name, born_ms: u64) {
    let Some(suspect) = suspect_if_due(node, id, born_ms) else {
        return;
    };
    let node = Rc::clone(node);
    tasks::spawn_job(Job::RunnerProbe, async move {
        let Suspect { id, born_ms, .. } = &suspect;
        match runner_probe::probe(&node, suspect.target, 1).await {
            ProbeResult::Report(report) => process_report(&node, id, *born_ms, &report),
            ProbeResult::Listening => record_answer(&node, id, *born_ms),
            ProbeResult::Refused | ProbeResult::NoReport(_) | ProbeResult::Silent(_) => {
                examine(&node, suspect, 0);
            }
        }
    });
}

/// Starts an examination of a runner with witnesses, unless one is in progress. `silent_rounds` is
/// the number of rounds of probes in which the runner was already silent.
fn examine(node: &Rc<Node>, suspect: Suspect, silent_rounds: u32) {
    let Some(examined) = ExaminedSuspect::open(node, &suspect) else {
        return;
    };
    let node = Rc::clone(node);
    tasks::spawn_job(Job::Examination, async move {
        let _examined = examined;
        tasks::reach_fault_point(&node, Job::Examination);
        runner_probe::examine(node, suspect, silent_rounds).await;
    });
}

/// Marks a lifetime of a runner as being examined until dropped, after a panic too: otherwise it would
/// never be examined again.
struct ExaminedSuspect {
    node: Rc<Node>,
    lifetime: (Name, u64),
}

impl ExaminedSuspect {
    /// Returns `None` if the lifetime is being examined already.
    fn open(node: &Rc<Node>, suspect: &Suspect) -> Option<ExaminedSuspect> {
        let lifetime = (suspect.id.clone(), suspect.born_ms);
        let is_new = node.probed_suspects.borrow_mut().insert(lifetime.clone());
        is_new.then(|| ExaminedSuspect {
            node: Rc::clone(node),
            lifetime,
        })
    }
}

impl Drop for ExaminedSuspect {
    fn drop(&mut self) {
        let mut probed = self.node.probed_suspects.borrow_mut();
        probed.remove(&self.lifetime);
    }
}

/// Records that a runner answered: its path works, and the failure reports on it are refuted.
pub(crate) fn record_answer(node: &Node, id: &Name, born_ms: u64) {
    reachability::mark_reached(node, id);
    node.failure_reports
        .borrow_mut()
        .refute(id, born_ms, node.now());
}

/// Processes a runner's report. A report from another lifetime shows that this one is dead.
/// Otherwise records the runner's pace and marks the runners that its requests are stalled on as
/// dead.
pub(crate) fn process_report(node: &Node, id: &Name, born_ms: u64, report: &Report) {
    if !report.is_from_lifetime(born_ms) {
        return report_dead(node, id, born_ms, DeathEvidence::Restarted);
    }
    record_answer(node, id, born_ms);
    let mut changed = set_pace(node, id, report.pace, node.now());
    for address in report.stalled.values() {
        changed |= mark_dead_at(node, *address);
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Declares a lifetime of a runner dead and notifies the other instances at once.
pub(crate) fn report_dead(node: &Node, id: &Name, born_ms: u64, evidence: DeathEvidence) {
    if mark_dead_and_report(node, id, born_ms, evidence) {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Records a runner's pace as of `at_ms`. Returns whether the chains have to be rebuilt.
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

/// Marks a lifetime of a runner as dead and records a failure report of this instance. Returns
/// whether it was not marked before.
fn mark_dead_and_report(node: &Node, id: &Name, born_ms: u64, evidence: DeathEvidence) -> bool {
    let found = mark_dead(node, id, born_ms, evidence);
    if found {
        let report = FailureReport {
            runner: id.clone(),
            born_ms,
            reporters: [node.settings.name.clone()].into(),
        };
        node.failure_reports
            .borrow_mut()
            .record(&report, node.now());
        if let Some(health) = node.runners.borrow_mut().health_mut(id) {
            health.found_locally = true;
        }
    }
    found
}

/// Marks a lifetime of a runner as dead because of `evidence`. Returns whether it was not marked
/// before.
fn mark_dead(node: &Node, id: &Name, born_ms: u64, evidence: DeathEvidence) -> bool {
    let now = node.now();
    let mut runners = node.runners.borrow_mut();
    let Some(health) = runners.health_mut(id) else {
        return false;
    };
    if health.born_ms != born_ms {
        return false;
    }
    if health.dead {
        health.strengthen_evidence(evidence);
        return false;
    }
    health.dead = true;
    health.dead_since_ms = now;
    health.death_evidence = Some(evidence);
    health.found_locally = false;
    health.reset_probe_backoff();
    let accepted_ms_ago = node.runner_connections.accepted_ms_ago(now);
    log::warn!(
        runner = id.as_ref(),
        born_ms,
        evidence:%,
        accepted_ms_ago:? = accepted_ms_ago;
        "runner counts as dead"
    );
    metrics::counter!("jacinthweir_runners_dead_total").increment(1);
    true
}

fn mark_dead_at(node: &Node, address: SocketAddr) -> bool {
    let found = {
        let runners = node.runners.borrow();
        runners.at(address).map(|e| (e.id.clone(), e.born_ms))
    };
    found.is_some_and(|(id, born_ms)| {
        mark_dead_and_report(node, &id, born_ms, DeathEvidence::Stalled)
    })
}

/// Merges failure reports of other instances. A single reporter is not enough: it may be unable to
/// reach any runner, and what makes the runner silent there may make it silent here as well.
pub(crate) fn receive_failure_reports(node: &Rc<Node>, reports: &[FailureReport]) {
    let mut is_new = false;
    for report in reports {
        if is_presumed_alive(node, &report.runner, report.born_ms) {
            is_new |= node.failure_reports.borrow_mut().record(report, node.now());
        }
    }
    apply_failure_reports(node);
    if is_new {
        node.gossip_due.notify_one();
    }
}

/// Returns whether a lifetime of a runner is current and not marked as dead here.
fn is_presumed_alive(node: &Node, id: &Name, born_ms: u64) -> bool {
    let runners = node.runners.borrow();
    let health = runners.health(id);
    health.born_ms == born_ms && !health.dead
}

/// Marks runners that other instances reported as dead, or probes them, as the reports require.
fn apply_failure_reports(node: &Rc<Node>) {
    let now = node.now();
    let instances = node.live_instances();
    let named: Vec<(Name, u64)> = {
        let reports = node.failure_reports.borrow();
        reports
            .runners()
            .map(|(id, born)| (id.clone(), born))
            .collect()
    };
    let mut changed = false;
    for (id, born_ms) in named {
        if !is_presumed_alive(node, &id, born_ms) {
            continue;
        }
        let is_affected = passes_through(node, &id);
        let reports = node.failure_reports.borrow();
        let advice = reports.advice(&id, born_ms, is_affected, instances, now);
        drop(reports);
        match advice {
            Advice::MarkDead => {
                changed |= mark_dead(node, &id, born_ms, DeathEvidence::Reported);
            }
            Advice::Probe => probe_reported(node, &id, born_ms),
            Advice::Wait => {}
        }
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Returns whether requests of this instance pass through a runner.
fn passes_through(node: &Node, id: &str) -> bool {
    let chains = node.chains.borrow();
    let mut busy = chains.all().filter(|l| l.silence.borrow().waiting() > 0);
    busy.any(|l| l.chain.has(id))
}

/// Probes a runner that another instance reported dead, if a probe is due.
fn probe_reported(node: &Rc<Node>, id: &Name, born_ms: u64) {
    if let Some(suspect) = suspect_if_due(node, id, born_ms) {
        examine(node, suspect, 0);
    }
}

/// Returns a runner as a suspect if this lifetime is not marked as dead and a probe is due. The
/// probe is then recorded, so the caller has to send it.
fn suspect_if_due(node: &Node, id: &Name, born_ms: u64) -> Option<Suspect> {
    let mut runners = node.runners.borrow_mut();
    let entry = runners.entry(id).filter(|e| e.born_ms == born_ms);
    let suspect = entry.map(|r| Suspect::of(node, r));
    let health = runners.health_mut(id).filter(|s| !s.dead);
    let due = health.is_some_and(|s| s.should_probe(node.now(), PROBE_INTERVAL_MS));
    suspect.filter(|_| due)
}

/// Handles the message of an instance in failure domain `domain` that a runner answers it again.
/// Returns whether the runner was marked as recovered. If this instance marked the runner as dead
/// on the reports of others, it also accepts a recovery reported from its own failure domain. In
/// all other cases it probes the dead runner soon: if it found the runner dead itself, it may be
/// the only instance cut off from it.
pub(crate) fn receive_recovery(node: &Node, id: &Name, born_ms: u64, domain: &str) -> bool {
    let near = *domain == *node.settings.failure_domain;
    let now = node.now();
    let mut runners = node.runners.borrow_mut();
    let health = runners.health_mut(id);
    let Some(health) = health.filter(|s| s.dead && s.born_ms == born_ms) else {
        return false;
    };
    let is_accepted = near && !health.found_locally;
    if is_accepted {
        health.mark_recovered(now);
        node.failure_reports
            .borrow_mut()
            .refute(id, born_ms, node.now());
        log::info!(runner = id.as_ref(); "runner answers another instance of the failure domain again");
    } else {
        health.probe_soon();
    }
    is_accepted
}

/// Returns the dead and slow runners that are due for a probe.
fn due_recovery_probes(node: &Node) -> Vec<Suspect> {
    let now = node.now();
    // Instances share the results, so in a large fleet each may probe less often.
    let interval_ms = store_watch::scaled_interval_ms(PROBE_INTERVAL_MS, node.live_instances());
    let mut runners = node.runners.borrow_mut();
    let suspects: Vec<Suspect> = {
        let unhealthy = runners.notable(now).filter(|(_, s)| s.dead || s.is_slow());
        unhealthy.map(|(r, _)| Suspect::of(node, r)).collect()
    };
    if suspects.is_empty() {
        return suspects;
    }
    let neighbours = duties::serving_neighbours(node);
    let mut due = |id: &Name| {
        let is_prober = {
            let names = neighbours.iter().map(|c| &c.name);
            failure_reports::is_prober(&node.settings.name, names, id)
        };
        let health = runners.health_mut(id);
        health.is_some_and(|s| match is_prober || s.found_locally {
            true => s.should_probe(now, interval_ms),
            false => s.should_probe_rarely(now),
        })
    };
    suspects.into_iter().filter(|s| due(&s.id)).collect()
}

/// Probes dead, slow and unreachable runners periodically.
async fn recovery_loop(node: &Rc<Node>) {
    loop {
        let _ = timeout(RECOVERY_INTERVAL, node.recovery_due.notified()).await;
        apply_failure_reports(node);
        reachability::probe_paths(node).await;
        let suspects = due_recovery_probes(node);
        probe_recovery(node, &suspects).await;
    }
}

/// Probes dead and slow runners once. Dead ones that answer in the same lifetime are marked as
/// recovered; for slow ones the current pace is recorded.
async fn probe_recovery(node: &Node, suspects: &[Suspect]) {
    let probes = suspects
        .iter()
        .map(|s| runner_probe::probe(node, s.target, 1));
    let found = join_all(probes).await;
    let mut changed = false;
    for (Suspect { id, born_ms, .. }, found) in suspects.iter().zip(found) {
        match found {
            ProbeResult::Report(report) if report.is_from_lifetime(*born_ms) => {
                changed |= set_pace(node, id, report.pace, node.now());
            }
            ProbeResult::Listening => {}
            ProbeResult::Refused => {
                strengthen_evidence(node, id, *born_ms, DeathEvidence::Refused);
                continue;
            }
            _ => continue,
        }
        changed |= mark_recovered_if_dead(node, id, *born_ms);
    }
    if changed {
        node.gossip_due.notify_one();
        node.rebuild_chains();
    }
}

/// Records evidence that a lifetime which counts as dead has ended.
fn strengthen_evidence(node: &Node, id: &Name, born_ms: u64, evidence: DeathEvidence) {
    let mut runners = node.runners.borrow_mut();
    if let Some(health) = runners.health_mut(id).filter(|h| h.born_ms == born_ms) {
        health.strengthen_evidence(evidence);
    }
}

/// Probes the dead stages of a chain whose run went on, once for each chain.
pub(crate) fn recheck(node: &Rc<Node>, live: &LiveChain) {
    if live.rechecked.replace(true) {
        return;
    }
    let stages = live.chain.stages.iter();
    let dead: Vec<Suspect> = {
        let runners = node.runners.borrow();
        let dead = stages.filter(|s| runners.health(&s.runner.id).dead);
        dead.map(|s| Suspect::of(node, &s.runner)).collect()
    };
    let node = Rc::clone(node);
    tasks::spawn_job(Job::RunnerProbe, async move {
        probe_recovery(&node, &dead).await;
    });
}

/// Marks a dead runner that answered as recovered. Returns whether it was marked as dead.
fn mark_recovered_if_dead(node: &Node, id: &Name, born_ms: u64) -> bool {
    let now = node.now();
    let was_dead = node.runners.borrow_mut().mark_recovered(id, now);
    if was_dead {
        record_answer(node, id, born_ms);
        log::info!(runner = id.as_ref(); "runner answers again");
    }
    was_dead
}
