//! Script that runs one cell.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::Verdict;
use super::cell::{Cell, Fault, Step, Work, work_of};
use super::rig::{Rig, SubmissionParams};
use crate::campaign::fault::Fault as CampaignFault;
use crate::campaign::injection;
use crate::fleet::fault_points::{Action, reached};
use crate::history::record::{Frozen, Shutdown};
use crate::http::unix_ms;
use crate::{Error, Result};

/// Index of the instance under test; the other two get the same work again.
const TESTED: usize = 0;
/// Index of the instance that gets the work again during the fault.
const DURING_FAULT: usize = 1;
/// Index of the instance that gets the work again after the fault.
const AFTER_FAULT: usize = 2;
/// Maximum wait until the step is reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a slow task at the step, in milliseconds.
const SLOW_DELAY_MS: u64 = 500;
/// Time for which a fault lasts after the step continues.
const FAULT_DURATION: Duration = Duration::from_millis(700);
/// Time for which a frozen instance is suspended; longer than [`SHORT_DEADLINE_MS`].
const FREEZE_DURATION: Duration = Duration::from_millis(1_300);
/// Deadline of work whose instance is frozen beyond that deadline, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 900;
/// Deadline of other work, in milliseconds.
const LONG_DEADLINE_MS: u64 = 8_000;
/// Maximum wait for work to end.
const WORK_TIMEOUT: Duration = Duration::from_secs(40);
/// Number of tokens of an answer.
const TOKENS: u32 = 6;
/// Number of tokens of an answer streamed during a shutdown. The stream outlasts the refusal of new
/// connections; otherwise a shutdown that cuts streams would go undetected.
const LONG_TOKENS: u32 = 112;
/// Deadline of that answer, in milliseconds.
const LONG_ANSWER_DEADLINE_MS: u64 = 15_000;
/// Number of tokens that pass before the fault point of a stream acts.
const SKIPPED_TOKENS: u32 = 3;
/// Runners that are killed: the fast holders of the first and of the last layers.
const DYING_RUNNERS: [usize; 2] = [0, 4];
/// Service instance that is killed.
const DYING_SERVICE: usize = 0;

/// The work of one round, which is sent several times.
struct Job {
    work: Work,
    params: SubmissionParams,
    key: String,
}

/// Reason why a round did not exercise its cell, or `None` if it did.
type Missing = Option<String>;

impl Rig {
    /// Runs one cell. After an error the fleet must be replaced.
    pub(super) async fn run(&mut self, cell: Cell, number: u64) -> Result<Verdict> {
        let mut missing: Missing = None;
        let mut jobs = Vec::new();
        for round in 0..cell.fault.rounds() {
            self.fleet.wait_serving().await?;
            self.wait_in_force().await?;
            let job = Job::new(cell, number * 10 + round as u64);
            let round_missing = self.run_round(cell, &job).await?;
            missing = missing.or(round_missing);
            jobs.push(job);
        }
        self.fleet.wait_serving().await?;
        let mut found = Vec::new();
        for job in &jobs {
            self.send_again(AFTER_FAULT, job).await?;
            found.extend(self.failure_after_healing(job));
        }
        let violations = self.new_violations().await?;
        found.extend(violations.iter().map(ToString::to_string));
        self.archive();
        if !found.is_empty() {
            return Ok(Verdict::Open(found.join("; ")));
        }
        Ok(match missing {
            Some(what) => Verdict::NotReached(what),
            None => Verdict::Proved,
        })
    }

    async fn run_round(&mut self, cell: Cell, job: &Job) -> Result<Missing> {
        if cell.fault == Fault::InstanceJoins {
            self.fleet.instances[AFTER_FAULT].process.kill().await?;
        }
        let release = self
            .fleet
            .folder()
            .join(format!("release-{}", job.params.number));
        let action = action(cell.fault, release.clone());
        let before = reached(&self.fleet.instances[TESTED].process, cell.step);
        let skip = if cell.step == Step::Streaming {
            SKIPPED_TOKENS
        } else {
            0
        };
        self.fleet.arm(TESTED, cell.step, skip, &action)?;
        let signal_ms = unix_ms();
        let mut sent = self.send_first(job)?;
        let mut missing = self.wait_reached(cell, before, &action).await?;
        if missing.is_none() && cell.fault.affects_writes() {
            // The first affected write must be that of the instance under test.
            let affected = self.affected_writes().await?;
            self.inject(cell).await?;
            self.resume(cell, release).await?;
            missing = self.wait_write_affected(affected).await?;
            sent.extend(self.send_during_fault(cell, job)?);
        } else {
            if missing.is_none() {
                missing = self.inject(cell).await?;
                sent.extend(self.send_during_fault(cell, job)?);
            }
            self.resume(cell, release).await?;
        }
        let all = join(sent);
        tokio::pin!(all);
        let early = tokio::time::timeout(FAULT_DURATION, &mut all).await;
        self.heal(cell).await?;
        if early.is_err() {
            let ended = tokio::time::timeout(WORK_TIMEOUT, &mut all).await;
            ended.map_err(|_| Error::Other("submitted work did not end in time".to_owned()))?;
        }
        self.fleet.disarm(TESTED)?;
        self.restore_tested(cell, job, signal_ms).await?;
        Ok(missing)
    }

    /// Sends the work to the instance under test.
    fn send_first(&self, job: &Job) -> Result<Vec<JoinHandle<()>>> {
        if job.work != Work::Drain {
            return Ok(vec![self.send(TESTED, job)?]);
        }
        let stream = SubmissionParams {
            tokens: LONG_TOKENS,
            deadline_ms: LONG_ANSWER_DEADLINE_MS,
            ..job.params
        };
        let streams = vec![self.send_model_request(TESTED, stream)?];
        self.fleet.instances[TESTED].process.terminate()?;
        Ok(streams)
    }

    /// Sends the work to an instance.
    fn send(&self, i: usize, job: &Job) -> Result<JoinHandle<()>> {
        match job.work {
            Work::Model | Work::Drain => self.send_model_request(i, job.params),
            Work::Call => self.send_call(i, job.params, &job.key),
            Work::Change => {
                let operator = self.fleet.instances[i].operator()?;
                let recorder = Arc::clone(&self.recorder);
                let change = injection::apply(operator, recorder, job.params.number);
                Ok(tokio::spawn(change))
            }
        }
    }

    /// Sends the same work to another instance during the fault.
    fn send_during_fault(&self, cell: Cell, job: &Job) -> Result<Vec<JoinHandle<()>>> {
        let mut sent = vec![self.send(DURING_FAULT, job)?];
        // A draining instance still serves the callers that have its address.
        if cell.step == Step::Leaving && !cell.fault.kills() {
            sent.push(self.send(TESTED, job)?);
        }
        Ok(sent)
    }

    async fn send_again(&self, i: usize, job: &Job) -> Result<()> {
        let again = self.send(i, job)?;
        let ended = tokio::time::timeout(WORK_TIMEOUT, again).await;
        let ended =
            ended.map_err(|_| Error::Other("resubmitted work did not end in time".to_owned()))?;
        ended.map_err(|e| Error::Other(e.to_string()))
    }

    /// Describes how a model request failed after healing, or returns `None` if it was answered.
    ///
    /// A call need not be answered: its outcome may stay unknown.
    fn failure_after_healing(&self, job: &Job) -> Option<String> {
        if !matches!(job.work, Work::Model | Work::Drain) {
            return None;
        }
        let history = self.recorder.history();
        let number = job.params.number;
        let last = history
            .submissions
            .iter()
            .rev()
            .find(|s| s.number == number);
        match last {
            Some(s) if s.seen.answered() => None,
            Some(s) => Some(format!(
                "after healing: {:?} {:?}",
                s.seen.outcome, s.seen.code
            )),
            None => Some("after healing: no connection".to_owned()),
        }
    }

    /// Waits until the instance has reached the step and, depending on the action, exited or stopped.
    async fn wait_reached(
        &mut self,
        cell: Cell,
        before: usize,
        action: &Action,
    ) -> Result<Missing> {
        let until = Instant::now() + REACH_TIMEOUT;
        while !self.is_at_step(cell, before, action).await? {
            if Instant::now() > until {
                return Ok(Some(format!("{action} at {} was not seen", cell.step)));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    async fn is_at_step(&mut self, cell: Cell, before: usize, action: &Action) -> Result<bool> {
        let process = &mut self.fleet.instances[TESTED].process;
        if reached(process, cell.step) <= before {
            return Ok(false);
        }
        match action {
            Action::Abort => Ok(process
                .ended(POLL_INTERVAL)
                .await?
                .is_some_and(|s| !s.success())),
            Action::Stop => Ok(process.is_stopped()),
            Action::Sleep(_) | Action::Hold(_) => Ok(true),
        }
    }

    /// Injects the faults outside the instance while it is at the step.
    async fn inject(&mut self, cell: Cell) -> Result<Missing> {
        let commits = self.recorder.history().commits.len();
        for fault in campaign_faults(cell) {
            let salt = self.race_salt();
            injection::inject(&mut self.fleet, &self.recorder, fault, salt).await?;
        }
        if kills_service(cell) {
            self.kill_service(DYING_SERVICE).await?;
        }
        if cell.fault == Fault::InstanceJoins {
            self.fleet.restart_instance(AFTER_FAULT).await?;
        }
        if matches!(cell.fault, Fault::PlatformOutKill | Fault::UpstreamsDieKill) {
            self.fleet.instances[TESTED].process.kill().await?;
        }
        if cell.fault == Fault::OperatorsRace {
            return Ok(self.wait_commit(commits).await);
        }
        Ok(None)
    }

    /// Waits until a commit is confirmed to one of the racing operators.
    async fn wait_commit(&self, before: usize) -> Missing {
        let until = Instant::now() + REACH_TIMEOUT;
        while self.recorder.history().commits.len() <= before {
            if Instant::now() > until {
                return Some("no racing operator committed".to_owned());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the number of writes that a platform fault has affected.
    async fn affected_writes(&self) -> Result<u64> {
        Ok(self.fleet.platform_admin().counts().await?.spoilt)
    }

    /// Waits until the fault has affected a write.
    async fn wait_write_affected(&self, before: u64) -> Result<Missing> {
        let until = Instant::now() + REACH_TIMEOUT;
        while self.affected_writes().await? <= before {
            if Instant::now() > until {
                return Ok(Some("no write met the fault".to_owned()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    /// Lets the instance continue from the step.
    async fn resume(&mut self, cell: Cell, release: PathBuf) -> Result<()> {
        if cell.fault.freezes() {
            tokio::time::sleep(FREEZE_DURATION).await;
            self.fleet.instances[TESTED].process.wake()?;
            let instance = self.fleet.instances[TESTED].name.clone();
            let woken_ms = unix_ms();
            self.recorder
                .history()
                .frozen
                .push(Frozen { instance, woken_ms });
        }
        Ok(std::fs::write(release, "")?)
    }

    /// Heals the faults outside the instance.
    async fn heal(&mut self, cell: Cell) -> Result<()> {
        for fault in campaign_faults(cell) {
            injection::heal(&mut self.fleet, &self.recorder, fault).await?;
        }
        if kills_service(cell) {
            self.fleet.restart_service(DYING_SERVICE).await?;
        }
        if self.fleet.instances[AFTER_FAULT].process.id().is_none() {
            self.fleet.restart_instance(AFTER_FAULT).await?;
        }
        Ok(())
    }

    /// Restarts the instance under test if it ended, and records its graceful shutdown.
    async fn restore_tested(&mut self, cell: Cell, job: &Job, signal_ms: u64) -> Result<()> {
        let process = &mut self.fleet.instances[TESTED].process;
        if job.work == Work::Drain && !cell.fault.kills() {
            let status = process.ended(WORK_TIMEOUT).await?;
            self.recorder.history().shutdowns.push(Shutdown {
                instance: self.fleet.instances[TESTED].name.clone(),
                signal_ms,
                ended_ms: unix_ms(),
                code: status.and_then(|s| s.code()),
            });
        }
        if job.work == Work::Drain || cell.fault.kills() {
            self.fleet.restart_instance(TESTED).await?;
            let until = Instant::now() + REACH_TIMEOUT;
            self.fleet.instances[TESTED].wait_operators(until).await?;
        }
        Ok(())
    }
}

impl Job {
    fn new(cell: Cell, number: u64) -> Self {
        let work = work_of(cell.step);
        // Streams during a shutdown must not end by their deadline.
        let short = cell.fault.freezes() && work != Work::Drain;
        let params = SubmissionParams {
            number,
            tokens: TOKENS,
            deadline_ms: if short {
                SHORT_DEADLINE_MS
            } else {
                LONG_DEADLINE_MS
            },
        };
        let key = uuid::Uuid::now_v7().to_string();
        Self { work, params, key }
    }
}

fn action(fault: Fault, release: PathBuf) -> Action {
    match fault {
        Fault::Kill | Fault::KillTwice => Action::Abort,
        Fault::Freeze | Fault::FreezeTwice | Fault::FreezePlatformOut => Action::Stop,
        Fault::Slow => Action::Sleep(SLOW_DELAY_MS),
        _ => Action::Hold(release),
    }
}

/// Returns the faults of a cell that are shared with campaigns.
fn campaign_faults(cell: Cell) -> Vec<CampaignFault> {
    let runners = match work_of(cell.step) {
        Work::Model | Work::Drain => DYING_RUNNERS.map(CampaignFault::KillRunner).to_vec(),
        Work::Call | Work::Change => Vec::new(),
    };
    match cell.fault {
        Fault::Cut => vec![CampaignFault::CutFromPlatform(TESTED)],
        Fault::PlatformOut | Fault::PlatformOutKill | Fault::FreezePlatformOut => {
            vec![CampaignFault::PlatformOut]
        }
        Fault::AnswerLost => vec![CampaignFault::PlatformLosesAnswers],
        Fault::WriteLate => vec![CampaignFault::PlatformWritesLate],
        Fault::UpstreamsDie | Fault::UpstreamsDieKill => runners,
        Fault::UpstreamsDiePlatformOut => [vec![CampaignFault::PlatformOut], runners].concat(),
        Fault::LinksDegrade => (0..8).map(CampaignFault::SlowLink).collect(),
        Fault::OperatorsRace => vec![CampaignFault::Race(DURING_FAULT, AFTER_FAULT)],
        Fault::Kill
        | Fault::KillTwice
        | Fault::Freeze
        | Fault::FreezeTwice
        | Fault::Slow
        | Fault::InstanceJoins
        | Fault::LeaseLapses => Vec::new(),
    }
}

fn kills_service(cell: Cell) -> bool {
    let dies = matches!(
        cell.fault,
        Fault::UpstreamsDie | Fault::UpstreamsDieKill | Fault::UpstreamsDiePlatformOut
    );
    dies && work_of(cell.step) == Work::Call
}

async fn join(sent: Vec<JoinHandle<()>>) {
    futures::future::join_all(sent).await;
}
