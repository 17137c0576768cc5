//! Fault injection and healing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use rand::{Rng, RngExt};

use super::fault::{Fault, FleetSizes, random_fault};
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

/// Probability that a step injects two faults at once.
const PAIR_PROBABILITY: f64 = 0.35;
/// Number of answers or writes that one fault affects.
const AFFECTED_COUNT: u32 = 3;
/// Delay of late platform writes, in milliseconds.
const LATE_WRITE_DELAY_MS: u64 = 700;
/// Latency added by a slow platform, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 400;
/// Latency added by a slow service, in milliseconds.
const SERVICE_DELAY_MS: u64 = 1_500;
/// Time for which a leaving runner stays up before its next incarnation starts. Longer than
/// [`Limits::leaving_ms`](crate::history::Limits::leaving_ms), so that late work is seen.
const LEAVE_HOLD: Duration = Duration::from_secs(7);
/// Maximum duration of a graceful shutdown of an instance.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(40);

/// Injects random faults until `until` and returns a list of them with their times.
///
/// # Errors
///
/// Returns an error if a stand-in or process is unreachable.
pub async fn run(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    rng: &mut impl Rng,
    until: Instant,
) -> Result<Vec<String>> {
    let started = Instant::now();
    let sizes = FleetSizes {
        instances: fleet.instances.len(),
        runners: fleet.runners.len(),
        services: fleet.services.len(),
    };
    let mut done = Vec::new();
    while Instant::now() < until {
        let mut step = vec![random_fault(rng, sizes)];
        if rng.random_bool(PAIR_PROBABILITY) {
            step.push(random_fault(rng, sizes));
        }
        let hold = Duration::from_millis(rng.random_range(300..2_500));
        let pause = Duration::from_millis(rng.random_range(200..1_200));
        for fault in &step {
            done.push(format!("{} ms: {fault}", started.elapsed().as_millis()));
            inject(fleet, recorder, *fault, rng.random()).await?;
        }
        tokio::time::sleep(hold).await;
        for fault in &step {
            heal(fleet, recorder, *fault).await?;
        }
        tokio::time::sleep(pause).await;
    }
    Ok(done)
}

/// Injects a fault.
///
/// # Errors
///
/// Returns an error if a stand-in or process is unreachable.
pub async fn inject(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    fault: Fault,
    salt: u64,
) -> Result<()> {
    match fault {
        Fault::KillInstance(i) => kill(&mut fleet.instances[i].process).await,
        Fault::FreezeInstance(i) => ignore_signal_error(fleet.instances[i].process.freeze().await),
        Fault::RestartInstance(i) => shut_down(fleet, recorder, i).await,
        Fault::CutFromPlatform(i) => {
            fleet.platform_links[i].set(Link::Cut);
            Ok(())
        }
        Fault::KillRunner(i) => kill_runner(fleet, recorder, i).await,
        Fault::FreezeRunner(i) => ignore_signal_error(fleet.runners[i].process.freeze().await),
        Fault::LeaveRunner(i) => leave(fleet, recorder, i, salt).await,
        Fault::LoseAnswers(i) | Fault::CutCalls(i) | Fault::SlowService(i) => {
            fleet.service_admin(i).set(&service_knobs(fault)).await
        }
        Fault::PlatformOut
        | Fault::PlatformHangs
        | Fault::PlatformSlow
        | Fault::PlatformLosesAnswers
        | Fault::PlatformWritesLate => {
            record_platform_fault(recorder, fault);
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
        Fault::CrossedFrames(i)
        | Fault::TruncatedAnswers(i)
        | Fault::CutAnswers(i)
        | Fault::DuplicateFrames(i)
        | Fault::LateFrames(i)
        | Fault::Refuse(i)
        | Fault::SlowLink(i) => set_knobs(fleet, i, &runner_knobs(fault)).await,
    }
}

/// Heals a fault.
///
/// # Errors
///
/// Returns an error if a process can't be restarted.
pub async fn heal(fleet: &mut Fleet, recorder: &Arc<Recorder>, fault: Fault) -> Result<()> {
    match fault {
        Fault::KillInstance(i) | Fault::RestartInstance(i) => fleet.restart_instance(i).await,
        Fault::FreezeInstance(i) => {
            ignore_signal_error(fleet.instances[i].process.wake())?;
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
        Fault::FreezeRunner(i) => ignore_signal_error(fleet.runners[i].process.wake()),
        Fault::LeaveRunner(i) => rejoin(fleet, recorder, i).await,
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
            end_unreadable_periods(recorder);
            Ok(())
        }
        Fault::LateFrames(i) => {
            let knobs = RunnerOverrides {
                ignore_cancel: Some(false),
                ..RunnerOverrides::default()
            };
            set_knobs(fleet, i, &knobs).await
        }
        Fault::Refuse(i) => {
            let knobs = RunnerOverrides {
                refuse: Some(false),
                ..RunnerOverrides::default()
            };
            set_knobs(fleet, i, &knobs).await
        }
        Fault::SlowLink(i) => {
            let knobs = RunnerOverrides {
                link_factor: Some(1),
                ..RunnerOverrides::default()
            };
            set_knobs(fleet, i, &knobs).await
        }
        Fault::CrossedFrames(_)
        | Fault::TruncatedAnswers(_)
        | Fault::CutAnswers(_)
        | Fault::DuplicateFrames(_)
        | Fault::LoseAnswers(_)
        | Fault::CutCalls(_)
        | Fault::Apply(_)
        | Fault::Race(..) => Ok(()),
    }
}

/// Logs and ignores a signal error: a second fault may have killed the process in the meantime.
fn ignore_signal_error(sent: Result<()>) -> Result<()> {
    if let Err(e) = sent {
        log::debug!("cannot signal process: {e}");
    }
    Ok(())
}

async fn kill(process: &mut Process) -> Result<()> {
    if process.id().is_some() {
        process.kill().await?;
    }
    Ok(())
}

/// Sets the knobs of a runner. A runner that another fault froze or killed keeps its old knobs.
async fn set_knobs(fleet: &Fleet, i: usize, knobs: &RunnerOverrides) -> Result<()> {
    let admin = fleet.runner_admin(i);
    let set = tokio::time::timeout(Duration::from_secs(1), admin.set(knobs));
    if !matches!(set.await, Ok(Ok(()))) {
        log::debug!("runner {i} did not accept its knobs within 1 s");
    }
    Ok(())
}

fn runner_knobs(fault: Fault) -> RunnerOverrides {
    let none = RunnerOverrides::default();
    let affected = Some(AFFECTED_COUNT);
    match fault {
        Fault::CrossedFrames(_) => RunnerOverrides {
            crossed: affected,
            ..none
        },
        Fault::TruncatedAnswers(_) => RunnerOverrides {
            truncated: affected,
            ..none
        },
        Fault::CutAnswers(_) => RunnerOverrides {
            cut: affected,
            ..none
        },
        Fault::DuplicateFrames(_) => RunnerOverrides {
            duplicate: affected,
            ..none
        },
        Fault::LateFrames(_) => RunnerOverrides {
            late: affected,
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
            lose_answers: Some(AFFECTED_COUNT),
            ..none
        },
        Fault::CutCalls(_) => ServiceKnobs {
            cut_before: Some(AFFECTED_COUNT),
            ..none
        },
        Fault::SlowService(_) => ServiceKnobs {
            answer_delay_ms: Some(SERVICE_DELAY_MS),
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
            ms: PLATFORM_DELAY_MS,
        },
        Fault::PlatformLosesAnswers => PlatformFault::LoseAnswers {
            next: AFFECTED_COUNT,
            prefix,
        },
        Fault::PlatformWritesLate => PlatformFault::LateWrites {
            next: AFFECTED_COUNT,
            ms: LATE_WRITE_DELAY_MS,
            prefix,
        },
        _ => PlatformFault::None,
    }
}

/// Records a platform fault in the history; it replaces the previous platform fault.
fn record_platform_fault(recorder: &Recorder, fault: Fault) {
    end_unreadable_periods(recorder);
    if matches!(fault, Fault::PlatformOut | Fault::PlatformHangs) {
        let gap = ListOutage {
            from_ms: unix_ms(),
            until_ms: None,
        };
        recorder.history().unreadable.push(gap);
    }
}

fn end_unreadable_periods(recorder: &Recorder) {
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
    ignore_signal_error(instance.process.wake())?;
    ignore_signal_error(instance.process.terminate())?;
    let status = instance.process.ended(SHUTDOWN_TIMEOUT).await?;
    recorder.history().shutdowns.push(Shutdown {
        instance: instance.name.clone(),
        signal_ms,
        ended_ms: unix_ms(),
        code: status.and_then(|s| s.code()),
    });
    Ok(())
}

/// Kills a runner after taking its witness. The runner is paused first, so that it runs nothing
/// between the witness and the kill.
async fn kill_runner(fleet: &mut Fleet, recorder: &Arc<Recorder>, i: usize) -> Result<()> {
    let runner = &mut fleet.runners[i];
    if runner.process.id().is_none() {
        return Ok(());
    }
    ignore_signal_error(runner.process.wake())?;
    let paused = RunnerOverrides {
        freeze: Some(true),
        refuse: Some(true),
        ..RunnerOverrides::default()
    };
    set_knobs(fleet, i, &paused).await?;
    if !take_witness(fleet, recorder, i).await {
        let name = fleet.runners[i].listing.name.clone();
        recorder.history().killed_runners.insert(name);
    }
    kill(&mut fleet.runners[i].process).await
}

/// Adds the witness of a runner to the history; returns whether the runner answered.
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
    // The runner announces that it is leaving, or the platform's list says so.
    let by_list = !salt.is_multiple_of(2);
    if !by_list {
        let knobs = RunnerOverrides {
            leaving: Some(true),
            ..RunnerOverrides::default()
        };
        set_knobs(fleet, i, &knobs).await?;
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
    tokio::time::sleep(LEAVE_HOLD).await;
    Ok(())
}

async fn rejoin(fleet: &mut Fleet, recorder: &Arc<Recorder>, i: usize) -> Result<()> {
    let name = fleet.runners[i].listing.name.clone();
    kill_runner(fleet, recorder, i).await?;
    for left in &mut recorder.history().left {
        if left.upstream == name && left.until_ms.is_none() {
            left.until_ms = Some(unix_ms());
        }
    }
    fleet.restart_runner(i).await
}

/// Applies a change of one organisation's weight. Retries with the same change id if the answer is
/// lost or the commit is not confirmed, as an operator would.
pub(crate) async fn apply(operator: Operator, recorder: Arc<Recorder>, salt: u64) {
    const MAX_TRIES: usize = 5;
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
    for _ in 0..MAX_TRIES {
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

/// Adds the work that the stand-ins ran to the history.
///
/// # Errors
///
/// Returns an error if a stand-in does not answer.
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
/// Returns an error if waiting for a process fails.
pub async fn stop_all(fleet: &mut Fleet, recorder: &Arc<Recorder>) -> Result<()> {
    for i in 0..fleet.instances.len() {
        if let Some(_id) = fleet.instances[i].process.id() {
            ignore_signal_error(fleet.instances[i].process.terminate())?;
        }
    }
    for i in 0..fleet.instances.len() {
        shut_down(fleet, recorder, i).await?;
    }
    Ok(())
}
