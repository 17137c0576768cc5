//! The fleet of one share of the matrix, its history, and what is sent to it.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jacinthweir_kernel::settings::Timing;
use jacinthweir_policy::prelude::*;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::caller::{ModelCall, Observation, ServiceCall};
use crate::campaign::recorder::Recorder;
use crate::campaign::watch;
use crate::fleet::deployment::{Deployment, LAYERS};
use crate::history::record::{Submission, Work};
use crate::history::{self, Limits, Violation};
use crate::http::unix_ms;
use crate::service::RanCall;
use crate::{Caller, Error, Fleet, FleetCfg, Result, text};

/// Deployment of the matrix.
pub(super) const DEPLOYMENT: Deployment = Deployment::Tallinna;
/// Longest wait until a commit is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(30);
/// Period of looking whether it is.
const LOOK: Duration = Duration::from_millis(20);
/// Longest wait for any answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long answers that callers keep are good, in milliseconds: short, for quick shutdowns.
const ENTRY_TTL_MS: u64 = 500;
/// Speed of the runners against their declarations: a token takes 50 to 110 ms.
const SPEED: f64 = 0.006;
/// Salts of races come after this one.
const RACES: u64 = 1_000_000_000_006;
/// Time after which a violation is looked at again, with all witnesses complete.
const COMPLETE: Duration = Duration::from_secs(2);

/// A fleet with its history.
pub(super) struct Rig {
    pub(super) fleet: Fleet,
    pub(super) recorder: Arc<Recorder>,
    /// What earlier incarnations of the services ran.
    ran_before: Vec<RanCall>,
    known: Vec<Violation>,
    /// Requests of cells that were checked: what runners still do for them is left out.
    archived: BTreeSet<Name>,
    events_before: usize,
    submissions_before: usize,
    races: u64,
    _watch: DropGuard,
}

impl Rig {
    /// Starts a fleet of instances with fault points.
    pub(super) async fn start(program: PathBuf) -> Result<Self> {
        let cfg = FleetCfg {
            instances: 3,
            runners: 8,
            services: 2,
            timing: Timing {
                entry_ttl_ms: ENTRY_TTL_MS,
                ..Timing::default()
            },
            speed: SPEED,
            fault_points: Some(program),
            ..FleetCfg::small(DEPLOYMENT)
        };
        let fleet = Fleet::start(cfg).await?;
        fleet.apply().await?;
        let recorder = Arc::new(Recorder::new(LAYERS));
        let stop = CancellationToken::new();
        let instances = watch::instances(&fleet)?;
        tokio::spawn(watch::run(instances, Arc::clone(&recorder), stop.clone()));
        Ok(Self {
            fleet,
            recorder,
            ran_before: Vec::new(),
            known: Vec::new(),
            archived: BTreeSet::new(),
            events_before: 0,
            submissions_before: 0,
            races: 0,
            _watch: stop.drop_guard(),
        })
    }

    /// Shuts the fleet down.
    pub(super) async fn stop(self) -> Result<()> {
        self.fleet.stop().await
    }

    /// Waits until the newest commit that operators were told of is in force on every instance: a
    /// change over an older revision is rightly refused, and would not reach its step.
    pub(super) async fn wait_in_force(&self) -> Result<()> {
        let until = Instant::now() + IN_FORCE;
        while Instant::now() < until {
            let newest = self.newest_commit();
            let mut behind = false;
            for instance in &self.fleet.instances {
                let schema = instance.operator()?.schema().await;
                behind |= schema.map_or(true, |s| s.revision < newest);
            }
            if !behind {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        let msg = "a commit is not in force everywhere";
        Err(Error::Other(msg.to_owned()))
    }

    fn newest_commit(&self) -> u64 {
        let history = self.recorder.history();
        let revisions = history.commits.iter().map(|c| c.revision);
        revisions.max().unwrap_or(0)
    }

    /// Events and submissions of the history.
    pub(super) fn counts(&self) -> (usize, usize) {
        let history = self.recorder.history();
        let submissions = self.submissions_before + history.submissions.len();
        (self.events_before + history.events(), submissions)
    }

    /// Collects what upstreams ran and gives what the checks newly find. A part that was taken
    /// from one runner and not yet from the next looks like a gap, so a finding counts only where
    /// it is still there once all parts are taken.
    pub(super) async fn new_violations(&mut self) -> Result<Vec<Violation>> {
        if self.check().await?.is_empty() {
            return Ok(Vec::new());
        }
        tokio::time::sleep(COMPLETE).await;
        let found = self.check().await?;
        self.known.extend(found.iter().cloned());
        Ok(found)
    }

    async fn check(&mut self) -> Result<Vec<Violation>> {
        self.collect().await?;
        let found = history::check(&self.recorder.history(), &Limits::default());
        let new = found.into_iter().filter(|v| !self.known.contains(v));
        Ok(new.collect())
    }

    /// Takes what the runners and services ran.
    pub(super) async fn collect(&mut self) -> Result<()> {
        for i in 0..self.fleet.runners.len() {
            let mut witness = self.fleet.runner_admin(i).take_witness().await?;
            witness.ran.retain(|r| !self.archived.contains(&r.request));
            self.recorder.history().add_execution_log(witness);
        }
        let mut ran = self.ran_before.clone();
        for i in 0..self.fleet.services.len() {
            ran.extend(self.fleet.service_admin(i).ran().await?);
        }
        self.recorder.history().calls = ran;
        Ok(())
    }

    /// Puts aside the model requests of a checked cell: a runner that was killed in it then
    /// doesn't soften the checks of the cells after it. Calls and commits stay.
    pub(super) fn archive(&mut self) {
        let mut history = self.recorder.history();
        let (events, submissions) = (history.events(), history.submissions.len());
        let ran = std::mem::take(&mut history.ran);
        let arrived = std::mem::take(&mut history.arrived);
        self.archived.extend(ran.into_iter().map(|r| r.request));
        self.archived.extend(arrived.into_iter().map(|a| a.request));
        history.killed_runners.clear();
        history.shutdowns.clear();
        let is_call = |s: &Submission| matches!(s.work, Work::Call { .. });
        history.submissions.retain(is_call);
        self.events_before += events - history.events();
        self.submissions_before += submissions - history.submissions.len();
    }

    /// Salt of the next race of operators. Its last digit is 6, those of changes' own numbers are
    /// 0 and 1, so that a race never leaves the very weight that a change is to set.
    pub(super) fn race_salt(&mut self) -> u64 {
        self.races += 10;
        RACES + self.races
    }

    /// Keeps what a service ran, and kills it.
    pub(super) async fn kill_service(&mut self, i: usize) -> Result<()> {
        let ran = self.fleet.service_admin(i).ran().await?;
        self.ran_before.extend(ran);
        self.fleet.services[i].process.kill().await
    }

    /// Sends a model request to an instance.
    pub(super) fn model(&self, i: usize, ask: Ask) -> Result<JoinHandle<()>> {
        let prompt = format!("Signal {} for a run of the matrix.", ask.number);
        let call = ModelCall {
            pipeline: DEPLOYMENT.pipeline().into(),
            prompt: prompt.clone(),
            max_tokens: ask.tokens,
            deadline_ms: Some(ask.deadline_ms),
        };
        let expected = text::answer(&prompt, ask.tokens);
        let sender = self.sender(i, ask.number, Work::Model { expected })?;
        Ok(tokio::spawn(async move {
            let sent_ms = unix_ms();
            let seen = patient(sender.caller.complete(sender.at, &call)).await;
            sender.record(sent_ms, seen);
        }))
    }

    /// Sends a call that may not be repeated to an instance.
    pub(super) fn call(&self, i: usize, ask: Ask, key: &str) -> Result<JoinHandle<()>> {
        let body = format!(r#"{{"matrix":{}}}"#, ask.number);
        let call = ServiceCall {
            service: DEPLOYMENT.service().into(),
            call: DEPLOYMENT.non_idempotent_call().into(),
            key: Some(key.to_owned()),
            body: body.clone(),
            deadline_ms: Some(ask.deadline_ms),
        };
        let work = Work::Call {
            idempotent: false,
            key: Some(key.to_owned()),
            body,
        };
        let sender = self.sender(i, ask.number, work)?;
        Ok(tokio::spawn(async move {
            let sent_ms = unix_ms();
            let seen = patient(sender.caller.call(sender.at, &call)).await;
            sender.record(sent_ms, seen);
        }))
    }

    fn sender(&self, i: usize, number: u64, work: Work) -> Result<Sender> {
        Ok(Sender {
            caller: self.fleet.caller(DEPLOYMENT.organisations()[0])?,
            at: self.fleet.instances[i].listen.callers,
            instance: self.fleet.instances[i].name.clone(),
            number,
            work,
            recorder: Arc::clone(&self.recorder),
        })
    }
}

/// Size and time of a submission.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) number: u64,
    pub(super) tokens: u32,
    pub(super) deadline_ms: u64,
}

struct Sender {
    caller: Caller,
    at: std::net::SocketAddr,
    instance: Name,
    number: u64,
    work: Work,
    recorder: Arc<Recorder>,
}

impl Sender {
    fn record(self, sent_ms: u64, seen: Observation) {
        if seen.not_connected {
            return;
        }
        let submission = Submission {
            number: self.number,
            instance: self.instance,
            sent_ms,
            ended_ms: unix_ms(),
            work: self.work,
            seen,
        };
        self.recorder.history().submissions.push(submission);
    }
}

async fn patient(asked: impl Future<Output = Observation>) -> Observation {
    let seen = tokio::time::timeout(PATIENCE, asked).await;
    seen.unwrap_or_else(|_| Observation {
        broken: Some("gave up waiting".into()),
        ..Observation::default()
    })
}
