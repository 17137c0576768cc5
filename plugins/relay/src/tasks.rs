//! Supervision of the tasks of a relay.
//!
//! A task that panics ends unseen by those that rely on it: without its recovery task an instance would
//! go on for as long as it lives, and never send to a runner again that was once found dead. All tasks
//! are therefore started here. One that lives as long as the process ([`TaskName`]) either starts again
//! or ends the process when it ends by itself; one that does a single piece of work ([`Job`]) is logged
//! and counted.

use std::any::Any;
use std::cell::Cell;
use std::future::poll_fn;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use futures::FutureExt;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::activity::{self, Activity};
use crate::node::Node;
use crate::settings::RelaySettings;

/// Pause before a task starts again. If it panicked at once each time, an immediate start would occupy
/// the process.
const RESTART_PAUSE: Duration = Duration::from_millis(20);

/// Number of times that a task starts again during the life of the process. One that ends more often
/// does no work.
const MAX_RESTARTS: u32 = 3;

/// Task that lives as long as the process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "snake_case")]
pub enum TaskName {
    /// Follows the configuration in the store.
    ConfigurationWatch,
    /// Follows the runners' entries in the store.
    RunnersWatch,
    /// Confirms the configuration.
    ConfigurationConfirmation,
    /// Exchanges state with other instances.
    Exchanges,
    /// Gossips urgent changes.
    Gossip,
    /// Holds the placement lease and sends orders.
    Placement,
    /// Finds silent chains.
    SilenceDetection,
    /// Probes dead, slow and unreachable runners.
    Recovery,
    /// Reads and writes what is quarantined.
    QuarantineSync,
    /// Accepts connections of callers.
    CallersListener,
    /// Accepts connections of readiness checks.
    ReadinessListener,
    /// Accepts connections of entry requests.
    EntryListener,
    /// Accepts connections of other instances.
    PeersListener,
    /// Accepts connections of operators.
    OperatorsListener,
}

/// What happens when a task ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnEnd {
    /// The task starts again, at most [`MAX_RESTARTS`] times.
    Restart,
    /// The process ends, and the platform starts it anew.
    EndProcess,
}

impl TaskName {
    /// All tasks.
    pub const ALL: [TaskName; 14] = [
        TaskName::ConfigurationWatch,
        TaskName::RunnersWatch,
        TaskName::ConfigurationConfirmation,
        TaskName::Exchanges,
        TaskName::Gossip,
        TaskName::Placement,
        TaskName::SilenceDetection,
        TaskName::Recovery,
        TaskName::QuarantineSync,
        TaskName::CallersListener,
        TaskName::ReadinessListener,
        TaskName::EntryListener,
        TaskName::PeersListener,
        TaskName::OperatorsListener,
    ];

    /// Returns what happens when this task ends by itself.
    ///
    /// Most tasks change shared state in several steps. A panic between two of them leaves it torn, and
    /// a task that starts again would act on it; an instance keeps nothing, so a new process starts from
    /// a sound one. A listener only accepts: its socket stays open, each connection has a task
    /// of its own, and a new process would cut all streams for nothing.
    #[must_use]
    pub fn on_end(self) -> OnEnd {
        match self {
            TaskName::ConfigurationWatch
            | TaskName::RunnersWatch
            | TaskName::ConfigurationConfirmation
            | TaskName::Exchanges
            | TaskName::Gossip
            | TaskName::Placement
            | TaskName::SilenceDetection
            | TaskName::Recovery
            | TaskName::QuarantineSync => OnEnd::EndProcess,
            TaskName::CallersListener
            | TaskName::ReadinessListener
            | TaskName::EntryListener
            | TaskName::PeersListener
            | TaskName::OperatorsListener => OnEnd::Restart,
        }
    }
}

/// Task that does a single piece of work. A panic of it never ends the process: a single request that
/// causes one would end every instance that it is sent to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub(crate) enum Job {
    /// Serves a connection.
    Connection,
    /// Sends a message to another instance.
    Message,
    /// Exchanges state with another instance.
    Exchange,
    /// Has another instance probe a third one.
    PeerProbe,
    /// Probes the stages of a silent chain.
    StageProbes,
    /// Probes a runner once.
    RunnerProbe,
    /// Probes a runner together with witnesses.
    Examination,
}

/// The task that ended by itself and ends the process, if any.
#[derive(Default)]
pub(crate) struct FailedTask {
    name: Cell<Option<TaskName>>,
    failed: CancellationToken,
}

impl FailedTask {
    fn set(&self, name: TaskName) {
        if self.name.get().is_none() {
            self.name.set(Some(name));
        }
        self.failed.cancel();
    }

    /// Waits until a task has ended that the process cannot do without, and returns its name.
    pub(crate) async fn wait(&self) -> TaskName {
        loop {
            self.failed.cancelled().await;
            if let Some(name) = self.name.get() {
                return name;
            }
        }
    }
}

/// How a task ended by itself.
#[derive(Debug, Display)]
enum End {
    #[display("returned")]
    Returned,
    #[display("panicked: {_0}")]
    Panicked(String),
}

/// Starts a task that lives until `stop` is cancelled. `start` is called again if it restarts.
pub(crate) fn spawn(
    node: &Rc<Node>,
    stop: &CancellationToken,
    name: TaskName,
    start: impl AsyncFn(Rc<Node>) + 'static,
) {
    spawn_local(supervise(Rc::clone(node), stop.clone(), name, start));
}

/// Starts a task that does a single piece of work.
pub(crate) fn spawn_job(job: Job, work: impl Future<Output = ()> + 'static) {
    spawn_local(run_job(job, work));
}

/// Starts a task that does a single piece of work and is counted by `tracker`.
pub(crate) fn spawn_tracked(
    tracker: &TaskTracker,
    job: Job,
    work: impl Future<Output = ()> + 'static,
) {
    tracker.spawn_local(run_job(job, work));
}

/// The only place that starts a task directly: a panic in `task` would be lost.
#[allow(clippy::disallowed_methods)]
fn spawn_local(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}

async fn run_job(job: Job, work: impl Future<Output = ()>) {
    if let End::Panicked(what) = run_to_end(Activity::Job(job), work).await {
        log::error!(task:% = job, what; "a task panicked");
        count_end(&job);
    }
}

async fn supervise(
    node: Rc<Node>,
    stop: CancellationToken,
    name: TaskName,
    start: impl AsyncFn(Rc<Node>),
) {
    let mut restarts = 0;
    loop {
        let run = async { start(Rc::clone(&node)).await };
        let run = run_to_end(Activity::Task(name), with_fault_point(&node, name, run));
        let Some(end) = stop.run_until_cancelled(run).await else {
            return;
        };
        count_end(&name);
        let restart = name.on_end() == OnEnd::Restart && restarts < MAX_RESTARTS;
        log::error!(task:% = name, cause:% = end, restart; "a task ended");
        if !restart {
            return node.failed_task.set(name);
        }
        restarts += 1;
        sleep(RESTART_PAUSE).await;
    }
}

/// Runs a task until it returns or panics. `activity` is current while it is polled.
async fn run_to_end(activity: Activity, task: impl Future<Output = ()>) -> End {
    let mut task = pin!(task);
    let named = poll_fn(|cx| {
        let _current = activity::enter(activity);
        task.as_mut().poll(cx)
    });
    // The state that a panic leaves torn is dealt with by the caller: see `TaskName::on_end`.
    match AssertUnwindSafe(named).catch_unwind().await {
        Ok(()) => End::Returned,
        Err(panic) => End::Panicked(panic_text(&*panic)),
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let literal = panic.downcast_ref::<&str>().copied();
    let text = literal.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("unknown").to_owned()
}

fn count_end(task: &impl ToString) {
    metrics::counter!("jacinthweir_tasks_ended_total", "task" => task.to_string()).increment(1);
}

/// Panics if a test wants that of this job.
#[cfg(feature = "failpoints")]
pub(crate) fn reach_fault_point(node: &Node, job: Job) {
    jacinthweir_kernel::fault_point::panic_in_job(&node.settings.name, &job.to_string());
}

/// Panics if a test wants that of the start.
#[cfg(feature = "failpoints")]
pub(crate) fn reach_start_fault_point(settings: &RelaySettings) {
    jacinthweir_kernel::fault_point::panic_in_job(&settings.name, "start");
}

#[cfg(not(feature = "failpoints"))]
pub(crate) fn reach_start_fault_point(_settings: &RelaySettings) {}

#[cfg(not(feature = "failpoints"))]
pub(crate) fn reach_fault_point(_node: &Node, _job: Job) {}

/// Runs `task` until a test ends it.
#[cfg(feature = "failpoints")]
async fn with_fault_point(node: &Node, name: TaskName, task: impl Future<Output = ()>) {
    let name = name.to_string();
    tokio::select! {
        () = task => {}
        () = jacinthweir_kernel::fault_point::end_task(&node.settings.name, &name) => {}
    }
}

#[cfg(not(feature = "failpoints"))]
async fn with_fault_point(_node: &Node, _name: TaskName, task: impl Future<Output = ()>) {
    task.await;
}
