//! The relay: a request router that forwards request bodies without interpreting them.
//!
//! Each instance is a single-threaded process that accepts requests from callers, sends each
//! through a chain of runners or to a plain service, and streams the answer back. All decisions are
//! made in [`jacinthweir_policy::relay`]; the interfaces of the platform are in
//! [`jacinthweir_platform`].
//!
//! | module | responsibility |
//! |---|---|
//! | [`settings`] | the settings file |
//! | `node` | shared state of the process |
//! | `live_chains` | chains in use and the requests in flight on each |
//! | `watch` | watches the store for the configuration and the runners |
//! | `start` | takes the runners over from another instance at the start |
//! | `runner_changes` | changes of runners, on their way from the store to all instances |
//! | `rejected_entries` | entries that name no runner to use |
//! | `messages` | messages between instances, and their transport |
//! | `duties` | tasks done on behalf of others, and by whom |
//! | `peers` | anti-entropy exchanges with other instances |
//! | [`gossip`] | gossip of changes that cannot wait for the next exchange |
//! | `placer` | placement lease, and placement orders to runners |
//! | `failure_detector` | probes the runners of a silent chain |
//! | `server` | listeners |
//! | `request` | authorisation, routing and dispatch of requests |
//! | `attempt` | one send of a request to a runner, and validation of the answer's head |
//! | `interrupted_run`, `quarantine` | record of interrupted runs; quarantine of requests that crash their runners |
//! | `call` | requests with a single response |
//! | `admission`, `chain_attempts`, `stream`, `events` | event streams: admission, attempts, response, events |
//! | `rate_limits` | rate limits that runners announce |
//! | `forwarding` | requests sent through another instance, for want of a path to the runners |
//! | `send_permit` | permission for each send to a runner, with a retry of the budget if it needs one |
//! | `rest` | runners that asked for no requests for a while |
//! | `retry_budgets` | the retry budgets that this instance shares with the others |
//! | `answer` | final responses, and what they may contain |
//! | `unsent_answers` | answers that wait in the write buffers of connections |
//! | `shutdown` | drain and shutdown |
//! | `dump` | state dump for operators |
//! | `reachability` | which runners and services this instance reaches itself |
//! | `runner_connections` | outcomes of connections to runners |
//! | `runner_probe` | probes of a single runner, and confirmation of its silence |
//! | `tasks`, `activity` | starts and supervises all tasks; what the process is doing, for its watchdog |
//!
//! The runtime has one thread, so shared state needs no locks. A [`std::cell::RefCell`] is borrowed
//! for one decision and never across an await point.

mod activity;
mod admission;
mod answer;
mod attempt;
mod call;
mod chain_attempts;
mod configuration;
mod contention;
mod dump;
mod duties;
mod events;
mod failure_detector;
mod forwarding;
pub mod gossip;
mod interrupted_run;
mod live_chains;
mod messages;
mod node;
mod peers;
mod placer;
mod quarantine;
mod rate_limits;
mod reachability;
mod rejected_entries;
mod request;
mod rest;
mod retry_budgets;
mod runner_changes;
mod runner_connections;
mod runner_probe;
mod send_permit;
mod server;
pub mod settings;
mod shutdown;
mod start;
mod stream;
mod tasks;
mod unsent_answers;
mod watch;

pub use events::{EventError, EventSplitter};
pub use jacinthweir_policy::drain::DrainOutcome;
pub use settings::RelaySettings;
pub use tasks::{OnEnd, TaskName};

use std::path::Path;
use std::rc::Rc;

use derive_more::{Display, Error};
use jacinthweir_kernel::signals::Signals;
use jacinthweir_kernel::sockets::BindError;
use jacinthweir_kernel::{KernelError, fault_point, logs, watchdog};

use crate::node::Node;

/// Error that prevents the relay from starting or ends it.
#[derive(Debug, Display, Error)]
pub enum RelayError {
    /// Logs, metrics or signal handlers cannot be set up.
    #[display("{_0}")]
    SetUp(#[error(not(source))] KernelError),
    /// A listener other than the operators' cannot be bound.
    #[display("{_0}")]
    Bind(BindError),
    /// A task ended that the process cannot do without.
    #[display("task {task} ended")]
    TaskEnded {
        /// The task.
        task: TaskName,
    },
}

/// A relay that runs on the current thread's task set.
pub struct Relay {
    node: Rc<Node>,
    servers: server::Servers,
}

impl Relay {
    /// Opens the listeners and starts all tasks. Must be called within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// The metrics cannot be set up, or a listener other than the operators' cannot be bound.
    pub async fn spawn(settings: RelaySettings) -> Result<Relay, RelayError> {
        // The state counts its time from here on: a wait for an address is no time of serving.
        let listeners = server::listen(&settings).await?;
        let node = Node::open(settings)?;
        let servers = server::serve(&node, listeners);
        watch::spawn(&node);
        configuration::spawn(&node);
        peers::spawn(&node);
        gossip::spawn(&node);
        placer::spawn(&node);
        failure_detector::spawn(&node);
        quarantine::spawn(&node);
        Ok(Relay { node, servers })
    }

    /// Waits until a task has ended that the process cannot do without, and returns its name. The state
    /// of this relay may then be torn, so its process has to end at once.
    pub async fn task_ended(&self) -> TaskName {
        self.node.failed_task.wait().await
    }

    /// Removes this instance from entry answers, waits until the answers to the requests in progress are
    /// sent, and stops. Shortly before the shutdown bound it ends the remaining requests, each with a final
    /// answer, and returns [`DrainOutcome::Cut`].
    pub async fn shut_down(self) -> DrainOutcome {
        let outcome = shutdown::run(&self.node, &self.servers).await;
        self.node.stop.cancel();
        outcome
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.node.stop.cancel();
    }
}

/// Runs a relay as the whole process until a termination signal, then shuts it down. On a hang-up
/// signal, the settings file at `path` is validated for the next start, but not applied.
///
/// # Errors
/// Logs or metrics cannot be set up, or a listener other than the operators' cannot be bound. A task ended
/// that the process cannot do without: the connections of callers are then closed by the end of the
/// process, which the caller of this function must not delay.
pub async fn run(
    settings: RelaySettings,
    path: &Path,
    signals: &mut Signals,
) -> Result<DrainOutcome, RelayError> {
    logs::open_stdout(&settings.log, &settings.name).map_err(RelayError::SetUp)?;
    fault_point::open();
    let heartbeat = watchdog::spawn(activity::describe).map_err(RelayError::SetUp)?;
    tokio::select! {
        biased;
        outcome = start_and_serve(settings, path, signals) => outcome,
        never = heartbeat.run() => match never {},
    }
}

async fn start_and_serve(
    settings: RelaySettings,
    path: &Path,
    signals: &mut Signals,
) -> Result<DrainOutcome, RelayError> {
    tasks::reach_start_fault_point(&settings);
    let relay = tokio::select! {
        biased;
        () = shutdown::wait_for_termination(signals, path) => return Ok(DrainOutcome::Clean),
        relay = Relay::spawn(settings) => relay?,
    };
    let first_start = relay.node.settings.first_start;
    log::info!(incarnation = relay.node.incarnation, first_start; "started");
    let node = Rc::clone(&relay.node);
    let serve = async {
        shutdown::wait_for_termination(signals, path).await;
        relay.shut_down().await
    };
    tokio::select! {
        biased;
        task = node.failed_task.wait() => Err(RelayError::TaskEnded { task }),
        outcome = serve => Ok(outcome),
    }
}
