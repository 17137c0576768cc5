//! Brings faults about and heals them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use rand::{Rng, RngExt};

use super::fault::{Fault, Sizes, draw};
use super::recorder::Recorder;
use crate::fleet::process::Process;
use crate::history::record::{CommitSeen, Frozen, LeavingNotice, ListOutage, Shutdown};
use crate::http::unix_ms;
use crate::operator::{Applied, Operator};
use crate::platform::fault::Fault as PlatformFault;
use crate::relay::Link;
use crate::runner::overrides::Overrides as RunnerOverrides;
use crate::service::Knobs as ServiceKnobs;
use crate::{Fleet, Result};

/// Share of the steps that bring about two faults at once.
const PAIRS: f64 = 0.35;
/// Answers or writes that one fault spoils.
const SPOILT: u32 = 3;
/// How late late writes are, in milliseconds.
const LATE_WRITE_MS: u64 = 700;
/// Added time of a slow platform, in milliseconds.
const SLOW_PLATFORM_MS: u64 = 400;
/// Added time of a slow service, in milliseconds.
const SLOW_SERVICE_MS: u64 = 1_500;
/// How long a leaving runner goes on before its next incarnation starts: longer than the promise
/// takes.
const LEAVING: Duration = Duration::from_secs(7);
/// Longest graceful shutdown of an instance.
const SHUTDOWN: Duration = Duration::from_secs(40);

/// Brings faults about until `until`; returns what was done when.
///
/// # Errors
///
/// Where a stand-in or process can't be reached at all.
pub async fn run(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    rng: &mut impl Rng,
    until: Instant,
) -> Result<Vec<String>> {
    let started = Instant::now();
    let sizes = Sizes {
        instances: fleet.instances.len(),
        runners: fleet.runners.len(),
        services: fleet.services.len(),
    };
    let mut done = Vec::new();
    while Instant::now() < until {
        let mut step = vec![draw(rng, sizes)];
        if rng.random_bool(PAIRS) {
            step.push(draw(rng, sizes));
        }
        let hold = Duration::from_millis(rng.random_range(300..2_500));
        let pause = Duration::from_millis(rng.random_range(200..1_200));
        for fault in &step {
            done.push(format!("{} ms: {fault}", started.elapsed().as_millis()));
            begin(fleet, recorder, *fault, rng.random()).await?;
        }
        tokio::time::sleep(hold).await;
        for fault in &step {
            end(fleet, recorder, *fault).await?;
        }
        tokio::time::sleep(pause).await;
    }
    Ok(done)
}

/// Brings a fault about.
///
/// # Errors
///
/// Where a stand-in or process can't be reached.
pub async fn begin(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    fault: Fault,
    salt: u64,
) -> Result<()> {
    match fault {
        Fault::KillInstance(i) => kill(&mut fleet.instances[i].process).await,
        Fault::FreezeInstance(i) => signalled(fleet.instances[i].process.freeze()),
        Fault::RestartInstance(i) => shut_down(fleet, recorder, i).await,
        Fault::CutFromPlatform(i) => {
            fleet.platform_links[i].set(Link::Cut);
            Ok(())
        }
        Fault::KillRunner(i) => kill_runner(fleet, recorder, i).await,
        Fault::FreezeRunner(i) => signalled(fleet.runners[i].process.freeze()),
        Fault::LeaveRunner(i) => leave(fleet, recorder, i, salt).await,
        Fault::LoseAnswers(i) | Fault::CutCalls(i) | Fault::SlowService(i) => {
            fleet.service_admin(i).set(&service_knobs(fault)).await
        }
        Fault::PlatformOut
        | Fault::PlatformHangs
        | Fault::PlatformSlow
        | Fault::PlatformLosesAnswers
        | Fault::PlatformWritesLate => {
            platform_becomes(recorder, fault);
            fleet.platform_admin().fault(&platform_fault(fault)).await
        }
        Fault::Apply(i) => {
            let operator = fleet.instances[i].operator()?;
            tokio::spawn(apply(operator, Arc::clone(recorder), salt));
            Ok(())
        }
        Fault::Race(i, j) => {
            for (operator, salt) in [(i, salt), (j, salt ^ 1)] {
                let operator = fleet.instances[operator].operator()?;
                tokio::spawn(apply(operator, Arc::clone(recorder), salt));
            }
            Ok(())
        }
        Fault::Crossed(i)
        | Fault::Truncated(i)
        | Fault::CutAnswers(i)
        | Fault::Doubled(i)
        | Fault::Late(i)
        | Fault::Refuse(i)
        | Fault::SlowLink(i) => knob(fleet, i, &runner_knobs(fault)).await,
    }
}

/// Heals a fault.
///
/// # Errors
///
/// Where a process can't be started again.
pub async fn end(fleet: &mut Fleet, recorder: &Arc<Recorder>, fault: Fault) -> Result<()> {
    match fault {
        Fault::KillInstance(i) | Fault::RestartInstance(i) => fleet.restart_instance(i).await,
        Fault::FreezeInstance(i) => {
            signalled(fleet.instances[i].process.wake())?;
            let instance = fleet.instances[i].name.clone();
            recorder.history().frozen.push(Frozen {
                instance,
                woken_ms: unix_ms(),
            });
            Ok(())
        }
        Fault::CutFromPlatform(i) => {
            fleet.platform_links[i].set(Link::Pass);
            Ok(())
        }
        Fault::KillRunner(i) => fleet.restart_runner(i).await,
        Fault::FreezeRunner(i) => signalled(fleet.runners[i].process.wake()),
        Fault::LeaveRunner(i) => come_back(fleet, recorder, i).await,
        Fault::SlowService(i) => {
            let knobs = ServiceKnobs {
                answer_delay_ms: Some(0),
                ..ServiceKnobs::default()
            };
            fleet.service_admin(i).set(&knobs).await
        }
        Fault::PlatformOut
        | Fault::PlatformHangs
        | Fault::PlatformSlow
        | Fault::PlatformLosesAnswers
        | Fault::PlatformWritesLate => {
            fleet.platform_admin().fault(&PlatformFault::None).await?;
            platform_is_readable(recorder);
            Ok(())
        }
        Fault::Late(i) => {
            let knobs = RunnerOverrides {
                ignore_cancel: Some(false),
                ..RunnerOverrides::default()
            };
            knob(fleet, i, &knobs).await
        }
        Fault::Refuse(i) => {
            let knobs = RunnerOverrides {
                refuse: Some(false),
                ..RunnerOverrides::default()
            };
            knob(fleet, i, &knobs).await
        }
        Fault::SlowLink(i) => {
            let knobs = RunnerOverrides {
                link_factor: Some(1),
                ..RunnerOverrides::default()
            };
            knob(fleet, i, &knobs).await
        }
        Fault::Crossed(_)
        | Fault::Truncated(_)
        | Fault::CutAnswers(_)
        | Fault::Doubled(_)
        | Fault::LoseAnswers(_)
        | Fault::CutCalls(_)
        | Fault::Apply(_)
        | Fault::Race(..) => Ok(()),
    }
}

/// A process that a second fault killed meanwhile can't be signalled; that fault stands.
fn signalled(sent: Result<()>) -> Result<()> {
    if let Err(e) = sent {
        log::debug!("signal: {e}");
    }
    Ok(())
}

async fn kill(process: &mut Process) -> Result<()> {
    if process.id().is_some() {
        process.kill().await?;
    }
    Ok(())
}

/// A runner may be frozen or dead by another fault: its knobs then stay.
async fn knob(fleet: &Fleet, i: usize, knobs: &RunnerOverrides) -> Result<()> {
    let set = fleet.runner_admin(i);
    let set = tokio::time::timeout(Duration::from_secs(1), set.set(knobs));
    if !matches!(set.await, Ok(Ok(()))) {
        log::debug!("runner {i} does not take knobs");
    }
    Ok(())
}

fn runner_knobs(fault: Fault) -> RunnerOverrides {
    let none = RunnerOverrides::default();
    let spoilt = Some(SPOILT);
    match fault {
        Fault::Crossed(_) => RunnerOverrides {
            crossed: spoilt,
            ..none
        },
        Fault::Truncated(_) => RunnerOverrides {
            truncated: spoilt,
            ..none
        },
        Fault::CutAnswers(_) => RunnerOverrides {
            cut: spoilt,
            ..none
        },
        Fault::Doubled(_) => RunnerOverrides {
            duplicate: spoilt,
            ..none
        },
        Fault::Late(_) => RunnerOverrides {
            late: spoilt,
            ignore_cancel: Some(true),
            ..none
        },
        Fault::Refuse(_) => RunnerOverrides {
            refuse: Some(true),
            ..none
        },
        Fault::SlowLink(_) => RunnerOverrides {
            link_factor: Some(100),
            ..none
        },
        _ => none,
    }
}

fn service_knobs(fault: Fault) -> ServiceKnobs {
    let none = ServiceKnobs::default();
    match fault {
        Fault::LoseAnswers(_) => ServiceKnobs {
            lose_answers: Some(SPOILT),
            ..none
        },
        Fault::CutCalls(_) => ServiceKnobs {
            cut_before: Some(SPOILT),
            ..none
        },
        Fault::SlowService(_) => ServiceKnobs {
            answer_delay_ms: Some(SLOW_SERVICE_MS),
            ..none
        },
        _ => none,
    }
}

fn platform_fault(fault: Fault) -> PlatformFault {
    let prefix = String::new();
    match fault {
        Fault::PlatformOut => PlatformFault::Outage,
        Fault::PlatformHangs => PlatformFault::Hang,
        Fault::PlatformSlow => PlatformFault::Slow {
            ms: SLOW_PLATFORM_MS,
        },
        Fault::PlatformLosesAnswers => PlatformFault::LoseAnswers {
            next: SPOILT,
            prefix,
        },
        Fault::PlatformWritesLate => PlatformFault::LateWrites {
            next: SPOILT,
            ms: LATE_WRITE_MS,
            prefix,
        },
        _ => PlatformFault::None,
    }
}

/// The newest fault of the platform replaces the one before.
fn platform_becomes(recorder: &Recorder, fault: Fault) {
    platform_is_readable(recorder);
    if matches!(fault, Fault::PlatformOut | Fault::PlatformHangs) {
        let gap = ListOutage {
            from_ms: unix_ms(),
            until_ms: None,
        };
        recorder.history().unreadable.push(gap);
    }
}

fn platform_is_readable(recorder: &Recorder) {
    for gap in &mut recorder.history().unreadable {
        gap.until_ms.get_or_insert(unix_ms());
    }
}

pub(crate) async fn shut_down(fleet: &mut Fleet, recorder: &Arc<Recorder>, i: usize) -> Result<()> {
    let instance = &mut fleet.instances[i];
    if instance.process.id().is_none() {
        return Ok(());
    }
    let signal_ms = unix_ms();
    signalled(instance.process.wake())?;
    signalled(instance.process.terminate())?;
    let status = instance.process.ended(SHUTDOWN).await?;
    recorder.history().shutdowns.push(Shutdown {
        instance: instance.name.clone(),
        signal_ms,
        ended_ms: unix_ms(),
        code: status.and_then(|s| s.code()),
    });
    Ok(())
}

/// Kills a runner once its witness is complete: it stands still first, so that nothing runs
/// between the last of its words and its end.
async fn kill_runner(fleet: &mut Fleet, recorder: &Arc<Recorder>, i: usize) -> Result<()> {
    let runner = &mut fleet.runners[i];
    if runner.process.id().is_none() {
        return Ok(());
    }
    signalled(runner.process.wake())?;
    let still = RunnerOverrides {
        freeze: Some(true),
        refuse: Some(true),
        ..RunnerOverrides::default()
    };
    knob(fleet, i, &still).await?;
    if !take_witness(fleet, recorder, i).await {
        let name = fleet.runners[i].listing.name.clone();
        recorder.history().killed_runners.insert(name);
    }
    kill(&mut fleet.runners[i].process).await
}

/// Takes what a runner saw so far; returns whether it answered.
async fn take_witness(fleet: &Fleet, recorder: &Arc<Recorder>, i: usize) -> bool {
    let admin = fleet.runner_admin(i);
    let asked = tokio::time::timeout(Duration::from_secs(2), admin.take_witness());
    let Ok(Ok(witness)) = asked.await else {
        return false;
    };
    recorder.history().add_execution_log(witness);
    true
}

async fn leave(fleet: &mut Fleet, recorder: &Arc<Recorder>, i: usize, salt: u64) -> Result<()> {
    let listing = fleet.runners[i].listing.clone();
    let upstream = listing.name.clone();
    // By its own word, or by the list's.
    let by_list = !salt.is_multiple_of(2);
    if !by_list {
        let knobs = RunnerOverrides {
            leaving: Some(true),
            ..RunnerOverrides::default()
        };
        knob(fleet, i, &knobs).await?;
    } else {
        fleet.list_leaving(listing).await?;
    }
    let at_ms = unix_ms();
    recorder.history().left.push(LeavingNotice {
        upstream,
        at_ms,
        by_list,
        until_ms: None,
    });
    tokio::time::sleep(LEAVING).await;
    Ok(())
}

async fn come_back(fleet: &mut Fleet, recorder: &Arc<Recorder>, i: usize) -> Result<()> {
    let name = fleet.runners[i].listing.name.clone();
    kill_runner(fleet, recorder, i).await?;
    for left in &mut recorder.history().left {
        if left.upstream == name && left.until_ms.is_none() {
            left.until_ms = Some(unix_ms());
        }
    }
    fleet.restart_runner(i).await
}

/// Applies a change of one organisation's weight. Asks again with the same change id where the
/// answer is lost or the commit not confirmed, as an operator would.
pub(crate) async fn apply(operator: Operator, recorder: Arc<Recorder>, salt: u64) {
    const TRIES: usize = 5;
    let Ok(reply) = operator.schema().await else {
        return;
    };
    let mut schema = reply.schema;
    let weight = u32::try_from(salt % 90 + 1).unwrap_or(1);
    let Some(org) = schema.organisations.last_mut() else {
        return;
    };
    org.weight = weight;
    let Ok(text) = serde_json::to_string(&schema) else {
        return;
    };
    let change = format!("campaign-{salt:016x}");
    for _ in 0..TRIES {
        match operator.apply(&text, reply.revision, &change).await {
            Applied::Committed(done) => {
                let change = Name::from(change);
                let at_ms = unix_ms();
                let seen = CommitSeen {
                    revision: done.revision,
                    change,
                    at_ms,
                };
                if done.revision > reply.revision {
                    recorder.history().commits.push(seen);
                }
                return;
            }
            Applied::Refused(refused) if !may_be_committed(&refused) => return,
            Applied::Refused(_) | Applied::Lost(_) => {
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        }
    }
}

fn may_be_committed(refused: &jacinthweir_wire::operator::ApplyRefused) -> bool {
    matches!(
        refused,
        jacinthweir_wire::operator::ApplyRefused::Unconfirmed { .. }
    )
}

/// Collects what the stand-ins ran.
///
/// # Errors
///
/// Where a stand-in does not answer.
pub async fn collect(fleet: &Fleet, recorder: &Arc<Recorder>) -> Result<()> {
    for i in 0..fleet.runners.len() {
        let witness = fleet.runner_admin(i).witness().await?;
        recorder.history().add_execution_log(witness);
    }
    for i in 0..fleet.services.len() {
        let ran = fleet.service_admin(i).ran().await?;
        recorder.history().calls.extend(ran);
    }
    Ok(())
}

/// Shuts every instance down gracefully.
///
/// # Errors
///
/// Where a process can't be waited for.
pub async fn stop_all(fleet: &mut Fleet, recorder: &Arc<Recorder>) -> Result<()> {
    for i in 0..fleet.instances.len() {
        if let Some(_id) = fleet.instances[i].process.id() {
            signalled(fleet.instances[i].process.terminate())?;
        }
    }
    for i in 0..fleet.instances.len() {
        shut_down(fleet, recorder, i).await?;
    }
    Ok(())
}
