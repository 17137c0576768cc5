//! Fleet of one share of the matrix, with its history and the work sent to it.

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
/// Maximum wait until a commit is in force on every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks for that.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for any answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to live of cached entry answers, in milliseconds; short, so that shutdowns are quick.
const ENTRY_TTL_MS: u64 = 500;
/// Speed of the runners relative to their declarations; a token takes 50 to 110 ms.
const SPEED: f64 = 0.006;
/// Base of the salts of operator races.
const RACE_SALT_BASE: u64 = 1_000_000_000_006;
/// Delay before violations are checked again, by which time all witnesses are complete.
const RECHECK_DELAY: Duration = Duration::from_secs(2);

/// A fleet and its recorded history.
pub(super) struct Rig {
    pub(super) fleet: Fleet,
    pub(super) recorder: Arc<Recorder>,
    /// Calls run by earlier incarnations of the services.
    ran_before: Vec<RanCall>,
    /// Violations that were already attributed to a cell.
    known: Vec<Violation>,
    /// Requests of cells already checked; later work of the runners for them is ignored.
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

    /// Waits until the newest commit reported to an operator is in force on every instance.
    ///
    /// A change based on an older revision is refused and would not reach its step.
    pub(super) async fn wait_in_force(&self) -> Result<()> {
        let until = Instant::now() + IN_FORCE_TIMEOUT;
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
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let msg = "a commit is not in force everywhere";
        Err(Error::Other(msg.to_owned()))
    }

    fn newest_commit(&self) -> u64 {
        let history = self.recorder.history();
        let revisions = history.commits.iter().map(|c| c.revision);
        revisions.max().unwrap_or(0)
    }

    /// Returns the numbers of events and submissions of the history.
    pub(super) fn counts(&self) -> (usize, usize) {
        let history = self.recorder.history();
        let submissions = self.submissions_before + history.submissions.len();
        (self.events_before + history.events(), submissions)
    }

    /// Collects the work of the upstreams and returns violations not yet known.
    ///
    /// Work collected from one runner but not yet from the next looks like a gap, so a violation
    /// counts only if it persists once all witnesses are complete.
    pub(super) async fn new_violations(&mut self) -> Result<Vec<Violation>> {
        if self.check().await?.is_empty() {
            return Ok(Vec::new());
        }
        tokio::time::sleep(RECHECK_DELAY).await;
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

    /// Adds the work that the runners and services ran to the history.
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

    /// Removes the model requests of a checked cell from the history.
    ///
    /// The checks tolerate missing work of killed runners; without this, a runner killed in one
    /// cell would weaken the checks of later cells. Calls and commits stay.
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

    /// Returns the salt of the next operator race.
    ///
    /// Its last digit is 6 and those of the numbers of changes are 0 and 1, so that a race never
    /// sets the weight that a change is about to set.
    pub(super) fn race_salt(&mut self) -> u64 {
        self.races += 10;
        RACE_SALT_BASE + self.races
    }

    /// Records the calls that a service ran, then kills it.
    pub(super) async fn kill_service(&mut self, i: usize) -> Result<()> {
        let ran = self.fleet.service_admin(i).ran().await?;
        self.ran_before.extend(ran);
        self.fleet.services[i].process.kill().await
    }

    /// Sends a model request to an instance.
    pub(super) fn send_model_request(
        &self,
        i: usize,
        params: SubmissionParams,
    ) -> Result<JoinHandle<()>> {
        let prompt = format!("Signal {} for a run of the matrix.", params.number);
        let call = ModelCall {
            pipeline: DEPLOYMENT.pipeline().into(),
            prompt: prompt.clone(),
            max_tokens: params.tokens,
            deadline_ms: Some(params.deadline_ms),
        };
        let expected = text::answer(&prompt, params.tokens);
        let sender = self.sender(i, params.number, Work::Model { expected })?;
        Ok(tokio::spawn(async move {
            let sent_ms = unix_ms();
            let seen = with_answer_timeout(sender.caller.complete(sender.at, &call)).await;
            sender.record(sent_ms, seen);
        }))
    }

    /// Sends a non-idempotent call to an instance.
    pub(super) fn send_call(
        &self,
        i: usize,
        params: SubmissionParams,
        key: &str,
    ) -> Result<JoinHandle<()>> {
        let body = format!(r#"{{"matrix":{}}}"#, params.number);
        let call = ServiceCall {
            service: DEPLOYMENT.service().into(),
            call: DEPLOYMENT.non_idempotent_call().into(),
            key: Some(key.to_owned()),
            body: body.clone(),
            deadline_ms: Some(params.deadline_ms),
        };
        let work = Work::Call {
            idempotent: false,
            key: Some(key.to_owned()),
            body,
        };
        let sender = self.sender(i, params.number, work)?;
        Ok(tokio::spawn(async move {
            let sent_ms = unix_ms();
            let seen = with_answer_timeout(sender.caller.call(sender.at, &call)).await;
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

/// Number, size and deadline of a submission.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubmissionParams {
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

/// Returns the observation of a caller that gives up after [`ANSWER_TIMEOUT`].
async fn with_answer_timeout(request: impl Future<Output = Observation>) -> Observation {
    let seen = tokio::time::timeout(ANSWER_TIMEOUT, request).await;
    seen.unwrap_or_else(|_| Observation {
        broken: Some("gave up waiting".into()),
        ..Observation::default()
    })
}
