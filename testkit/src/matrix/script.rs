//! The script of one cell.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::Verdict;
use super::cell::{Cell, Fault, Step, Work, work_of};
use super::rig::{Ask, Rig};
use crate::campaign::fault::Fault as Brought;
use crate::campaign::faults;
use crate::fleet::fault_points::{Action, reached};
use crate::history::record::{Frozen, Shutdown};
use crate::http::unix_ms;
use crate::{Error, Result};

/// The instance under test; the other two get the work again.
const TESTED: usize = 0;
/// Gets the work again while the fault lasts.
const MEANWHILE: usize = 1;
/// Gets it again after the fault.
const AFTERWARDS: usize = 2;
/// Longest wait until the step is reached.
const REACH: Duration = Duration::from_secs(8);
/// Period of looking.
const LOOK: Duration = Duration::from_millis(10);
/// How long a slow task waits at the step, in milliseconds.
const SLOW_MS: u64 = 500;
/// How long a fault lasts after the step goes on.
const LASTS: Duration = Duration::from_millis(700);
/// How long a frozen instance stands still: longer than [`SHORT_MS`].
const FROZEN: Duration = Duration::from_millis(1_300);
/// Deadline of work whose instance is frozen over it, in milliseconds.
const SHORT_MS: u64 = 900;
/// Deadline of other work, in milliseconds.
const LONG_MS: u64 = 8_000;
/// Longest wait for work to end.
const WORK_ENDS: Duration = Duration::from_secs(40);
/// Tokens of an answer.
const TOKENS: u32 = 6;
/// Tokens of an answer that is streamed during a shutdown: it lasts beyond the refusal of new
/// connections, else a shutdown that cuts would not be seen to cut.
const LONG_TOKENS: u32 = 112;
/// Deadline of that answer, in milliseconds.
const LONG_ANSWER_MS: u64 = 15_000;
/// Tokens that pass before a stream's fault point acts.
const TOKENS_BEFORE: u32 = 3;
/// Runners that die: the fast holders of the first and of the last layers.
const DYING_RUNNERS: [usize; 2] = [0, 4];
/// Service instance that dies.
const DYING_SERVICE: usize = 0;

/// The work of one round, which is sent several times.
struct Job {
    work: Work,
    ask: Ask,
    key: String,
}

/// What of a round did not come about; `None`: all did.
type Missing = Option<String>;

impl Rig {
    /// Runs one cell. An error means that the fleet is of no use any more.
    pub(super) async fn run(&mut self, cell: Cell, number: u64) -> Result<Verdict> {
        let mut missing: Missing = None;
        let mut jobs = Vec::new();
        for round in 0..cell.fault.rounds() {
            self.fleet.wait_serving().await?;
            self.wait_in_force().await?;
            let job = Job::new(cell, number * 10 + round as u64);
            let lacks = self.round(cell, &job).await?;
            missing = missing.or(lacks);
            jobs.push(job);
        }
        self.fleet.wait_serving().await?;
        let mut found = Vec::new();
        for job in &jobs {
            self.send_again(AFTERWARDS, job).await?;
            found.extend(self.not_answered(job));
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

    async fn round(&mut self, cell: Cell, job: &Job) -> Result<Missing> {
        if cell.fault == Fault::InstanceJoins {
            self.fleet.instances[AFTERWARDS].process.kill().await?;
        }
        let release = self
            .fleet
            .folder()
            .join(format!("release-{}", job.ask.number));
        let action = action(cell.fault, release.clone());
        let before = reached(&self.fleet.instances[TESTED].process, cell.step);
        let skip = if cell.step == Step::Streaming {
            TOKENS_BEFORE
        } else {
            0
        };
        self.fleet.arm(TESTED, cell.step, skip, &action)?;
        let signal_ms = unix_ms();
        let mut sent = self.send_first(job)?;
        let mut missing = self.wait_reached(cell, before, &action).await?;
        if missing.is_none() && cell.fault.spoils_writes() {
            // The first write that meets the fault is to be that of the instance under test.
            let spoilt = self.spoilt().await?;
            self.begin(cell).await?;
            self.let_go(cell, release).await?;
            missing = self.wait_spoilt(spoilt).await?;
            sent.extend(self.meanwhile(cell, job)?);
        } else {
            if missing.is_none() {
                missing = self.begin(cell).await?;
                sent.extend(self.meanwhile(cell, job)?);
            }
            self.let_go(cell, release).await?;
        }
        let all = join(sent);
        tokio::pin!(all);
        let early = tokio::time::timeout(LASTS, &mut all).await;
        self.heal(cell).await?;
        if early.is_err() {
            let ended = tokio::time::timeout(WORK_ENDS, &mut all).await;
            ended.map_err(|_| Error::Other("work did not end".to_owned()))?;
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
        let stream = Ask {
            tokens: LONG_TOKENS,
            deadline_ms: LONG_ANSWER_MS,
            ..job.ask
        };
        let streams = vec![self.model(TESTED, stream)?];
        self.fleet.instances[TESTED].process.terminate()?;
        Ok(streams)
    }

    /// Sends the work to an instance.
    fn send(&self, i: usize, job: &Job) -> Result<JoinHandle<()>> {
        match job.work {
            Work::Model | Work::Drain => self.model(i, job.ask),
            Work::Call => self.call(i, job.ask, &job.key),
            Work::Change => {
                let operator = self.fleet.instances[i].operator()?;
                let recorder = Arc::clone(&self.recorder);
                let change = faults::apply(operator, recorder, job.ask.number);
                Ok(tokio::spawn(change))
            }
        }
    }

    /// The same work at another instance while the fault lasts.
    fn meanwhile(&self, cell: Cell, job: &Job) -> Result<Vec<JoinHandle<()>>> {
        let mut sent = vec![self.send(MEANWHILE, job)?];
        // A leaving instance still serves the callers that have its address.
        if cell.step == Step::Leaving && !cell.fault.kills() {
            sent.push(self.send(TESTED, job)?);
        }
        Ok(sent)
    }

    async fn send_again(&self, i: usize, job: &Job) -> Result<()> {
        let again = self.send(i, job)?;
        let ended = tokio::time::timeout(WORK_ENDS, again).await;
        let ended = ended.map_err(|_| Error::Other("work sent again did not end".to_owned()))?;
        ended.map_err(|e| Error::Other(e.to_string()))
    }

    /// A model request after all is healed that was not answered. A call need not be: its outcome
    /// may be unknown for good.
    fn not_answered(&self, job: &Job) -> Option<String> {
        if !matches!(job.work, Work::Model | Work::Drain) {
            return None;
        }
        let history = self.recorder.history();
        let number = job.ask.number;
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

    /// Waits until the instance is at the step, and is ended or stopped there if it is to be.
    async fn wait_reached(
        &mut self,
        cell: Cell,
        before: usize,
        action: &Action,
    ) -> Result<Missing> {
        let until = Instant::now() + REACH;
        while !self.is_there(cell, before, action).await? {
            if Instant::now() > until {
                return Ok(Some(format!("{action} at {} was not seen", cell.step)));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(None)
    }

    async fn is_there(&mut self, cell: Cell, before: usize, action: &Action) -> Result<bool> {
        let process = &mut self.fleet.instances[TESTED].process;
        if reached(process, cell.step) <= before {
            return Ok(false);
        }
        match action {
            Action::Abort => Ok(process.ended(LOOK).await?.is_some_and(|s| !s.success())),
            Action::Stop => Ok(process.is_stopped()),
            Action::Sleep(_) | Action::Hold(_) => Ok(true),
        }
    }

    /// Brings about what comes from outside the instance, while it is at the step.
    async fn begin(&mut self, cell: Cell) -> Result<Missing> {
        let commits = self.recorder.history().commits.len();
        for fault in brought(cell) {
            let salt = self.race_salt();
            faults::inject(&mut self.fleet, &self.recorder, fault, salt).await?;
        }
        if kills_service(cell) {
            self.kill_service(DYING_SERVICE).await?;
        }
        if cell.fault == Fault::InstanceJoins {
            self.fleet.restart_instance(AFTERWARDS).await?;
        }
        if matches!(cell.fault, Fault::PlatformOutKill | Fault::UpstreamsDieKill) {
            self.fleet.instances[TESTED].process.kill().await?;
        }
        if cell.fault == Fault::OperatorsRace {
            return Ok(self.wait_commit(commits).await);
        }
        Ok(None)
    }

    /// Waits until one of the racing operators was told of a commit.
    async fn wait_commit(&self, before: usize) -> Missing {
        let until = Instant::now() + REACH;
        while self.recorder.history().commits.len() <= before {
            if Instant::now() > until {
                return Some("no racing operator committed".to_owned());
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }

    async fn spoilt(&self) -> Result<u64> {
        Ok(self.fleet.platform_admin().counts().await?.spoilt)
    }

    /// Waits until a write met the fault.
    async fn wait_spoilt(&self, before: u64) -> Result<Missing> {
        let until = Instant::now() + REACH;
        while self.spoilt().await? <= before {
            if Instant::now() > until {
                return Ok(Some("no write met the fault".to_owned()));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(None)
    }

    /// Lets the instance go on from the step.
    async fn let_go(&mut self, cell: Cell, release: PathBuf) -> Result<()> {
        if cell.fault.freezes() {
            tokio::time::sleep(FROZEN).await;
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

    /// Ends what came from outside.
    async fn heal(&mut self, cell: Cell) -> Result<()> {
        for fault in brought(cell) {
            faults::heal(&mut self.fleet, &self.recorder, fault).await?;
        }
        if kills_service(cell) {
            self.fleet.restart_service(DYING_SERVICE).await?;
        }
        if self.fleet.instances[AFTERWARDS].process.id().is_none() {
            self.fleet.restart_instance(AFTERWARDS).await?;
        }
        Ok(())
    }

    /// The instance under test runs again.
    async fn restore_tested(&mut self, cell: Cell, job: &Job, signal_ms: u64) -> Result<()> {
        let process = &mut self.fleet.instances[TESTED].process;
        if job.work == Work::Drain && !cell.fault.kills() {
            let status = process.ended(WORK_ENDS).await?;
            self.recorder.history().shutdowns.push(Shutdown {
                instance: self.fleet.instances[TESTED].name.clone(),
                signal_ms,
                ended_ms: unix_ms(),
                code: status.and_then(|s| s.code()),
            });
        }
        if job.work == Work::Drain || cell.fault.kills() {
            self.fleet.restart_instance(TESTED).await?;
            let until = Instant::now() + REACH;
            self.fleet.instances[TESTED].wait_operators(until).await?;
        }
        Ok(())
    }
}

impl Job {
    fn new(cell: Cell, number: u64) -> Self {
        let work = work_of(cell.step);
        // A shutdown's streams are not to end by their deadline.
        let short = cell.fault.freezes() && work != Work::Drain;
        let ask = Ask {
            number,
            tokens: TOKENS,
            deadline_ms: if short { SHORT_MS } else { LONG_MS },
        };
        let key = uuid::Uuid::now_v7().to_string();
        Self { work, ask, key }
    }
}

fn action(fault: Fault, release: PathBuf) -> Action {
    match fault {
        Fault::Kill | Fault::KillTwice => Action::Abort,
        Fault::Freeze | Fault::FreezeTwice | Fault::FreezePlatformOut => Action::Stop,
        Fault::Slow => Action::Sleep(SLOW_MS),
        _ => Action::Hold(release),
    }
}

/// Faults that a campaign knows too.
fn brought(cell: Cell) -> Vec<Brought> {
    let runners = match work_of(cell.step) {
        Work::Model | Work::Drain => DYING_RUNNERS.map(Brought::KillRunner).to_vec(),
        Work::Call | Work::Change => Vec::new(),
    };
    match cell.fault {
        Fault::Cut => vec![Brought::CutFromPlatform(TESTED)],
        Fault::PlatformOut | Fault::PlatformOutKill | Fault::FreezePlatformOut => {
            vec![Brought::PlatformOut]
        }
        Fault::AnswerLost => vec![Brought::PlatformLosesAnswers],
        Fault::WriteLate => vec![Brought::PlatformWritesLate],
        Fault::UpstreamsDie | Fault::UpstreamsDieKill => runners,
        Fault::UpstreamsDiePlatformOut => [vec![Brought::PlatformOut], runners].concat(),
        Fault::LinksDegrade => (0..8).map(Brought::SlowLink).collect(),
        Fault::OperatorsRace => vec![Brought::Race(MEANWHILE, AFTERWARDS)],
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
