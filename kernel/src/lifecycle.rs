//! Lifecycle of an instance: start-up, serving, graceful shutdown.
//!
//! [`jacinthweir_policy::drain`] decides the steps of a shutdown; this module executes them.

use std::sync::Arc;
use std::time::Duration;

use jacinthweir_policy::drain::{Drain, DrainAction, DrainConfig, DrainEvent};
use jacinthweir_policy::member::Phase;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::fault_point::{self, Step};
use crate::listener::{self, RunningListener};
use crate::plugin::{ListenerKind, sorted};
use crate::signals::Signals;
use crate::{Kernel, KernelError, Settings, logs, sockets, watchdog};

pub use jacinthweir_policy::drain::DrainOutcome;

/// How long tasks may take to return after cancellation.
const TASKS_TIMEOUT: Duration = Duration::from_secs(2);
/// Gossip rounds until every instance knows of a shutdown. Until then another instance may still
/// list this one in an entry answer, which callers cache for its time to live.
const DISSEMINATION_ROUNDS: u64 = 2;
/// Time for sending the final answers of requests that a shutdown cuts, in milliseconds.
const FINAL_ANSWERS_MS: u64 = 500;
/// Interval at which a shutdown checks whether its next step is due.
const DRAIN_TICK: Duration = Duration::from_millis(20);

/// The listeners, in the order in which they are served.
const LISTENERS: [ListenerKind; 3] = [
    ListenerKind::Peers,
    ListenerKind::Operators,
    ListenerKind::Callers,
];

/// Runs an instance until a signal shuts it down.
///
/// # Errors
/// Returns an error if the instance cannot start.
pub async fn run(settings: Settings, signals: &mut Signals) -> Result<DrainOutcome, KernelError> {
    logs::open(&settings.log, &settings.name)?;
    fault_point::open();
    let heartbeat = watchdog::spawn(|| "all threads of the runtime".to_owned())?;
    tokio::spawn(async move { heartbeat.run().await });
    let Some(listeners) = listen(&settings, signals).await? else {
        return Ok(DrainOutcome::Clean);
    };
    let cx = Kernel::open(settings)?;
    cx.tasks
        .spawn(Arc::clone(&cx.gate).run_until(cx.stop.clone()));
    for plugin in sorted() {
        (plugin.spawn)(&cx)?;
    }
    let mut running = Vec::new();
    for (kind, listener) in LISTENERS.into_iter().zip(listeners) {
        running.push(RunningListener::serve(&cx, kind, listener)?);
    }
    let callers = running.pop();
    log::info!(
        "instance {} started, incarnation {}",
        cx.settings.name,
        cx.incarnation
    );

    let mut shutdown = Shutdown::new(Arc::clone(&cx), callers);
    let outcome = shutdown.run(signals).await;
    cx.set_phase(Phase::Gone);
    wait_one_gossip_round(&cx).await;
    cx.stop.cancel();
    running.iter().for_each(RunningListener::abort);
    cx.tasks.close();
    let _ = timeout(TASKS_TIMEOUT, cx.tasks.wait()).await;
    Ok(outcome)
}

/// Opens the listeners, for which it waits while their addresses are in use. Returns nothing if a signal
/// asks for a stop meanwhile.
async fn listen(
    settings: &Settings,
    signals: &mut Signals,
) -> Result<Option<Vec<TcpListener>>, KernelError> {
    let wanted = LISTENERS.map(|kind| (kind, listener::address(&settings.listen, kind)));
    let grace = Duration::from_millis(settings.timing.drain_deadline_ms);
    tokio::select! {
        biased;
        () = termination(signals) => Ok(None),
        listening = sockets::listen_all(wanted, sockets::wait_bound(grace)) => Ok(Some(listening?)),
    }
}

/// Waits for a termination signal. Nothing is read again at a hang-up.
async fn termination(signals: &mut Signals) {
    let log_hang_up = || log::info!("hang-up signal ignored");
    signals.termination(log_hang_up).await;
}

/// Executes a shutdown.
struct Shutdown {
    cx: Arc<Kernel>,
    drain: Drain,
    callers: CallerListener,
}

/// State of the callers' listener during a shutdown.
enum CallerListener {
    /// Accepts connections.
    Open(Option<RunningListener>),
    /// Accepts no new connections; the task ends when the last open connection closes.
    Closing(JoinHandle<()>),
}

impl Shutdown {
    fn new(cx: Arc<Kernel>, callers: Option<RunningListener>) -> Shutdown {
        let timing = &cx.settings.timing;
        let cfg = DrainConfig {
            ttl_ms: timing.entry_ttl_ms + DISSEMINATION_ROUNDS * timing.gossip_ms,
            deadline_ms: timing.drain_deadline_ms,
            answer_ms: FINAL_ANSWERS_MS,
        };
        Shutdown {
            cx,
            drain: Drain::new(cfg),
            callers: CallerListener::Open(callers),
        }
    }

    async fn run(&mut self, signals: &mut Signals) -> DrainOutcome {
        termination(signals).await;
        let mut event = DrainEvent::Signal;
        loop {
            let now = self.cx.clock.now();
            for action in self.drain.on(now, event, self.in_flight()) {
                reach_fault_point(&action).await;
                if let Some(outcome) = self.execute(action) {
                    return outcome;
                }
            }
            event = tokio::select! {
                () = termination(signals) => DrainEvent::Signal,
                () = sleep(DRAIN_TICK) => DrainEvent::Tick,
            };
        }
    }

    /// Returns the number of requests in progress. While any connection is open it is at least
    /// one, since the client may not have read the last bytes of an answer.
    fn in_flight(&self) -> usize {
        let open = match &self.callers {
            CallerListener::Open(_) => false,
            CallerListener::Closing(task) => !task.is_finished(),
        };
        self.cx.records.running().len().max(usize::from(open))
    }

    fn execute(&mut self, action: DrainAction) -> Option<DrainOutcome> {
        log::info!("shutdown: {action}");
        match action {
            DrainAction::WithdrawFromEntry => self.cx.set_phase(Phase::Draining),
            DrainAction::RefuseConnections => self.refuse_connections(),
            DrainAction::Cut { .. } => self.cut_requests(),
            DrainAction::Exit(outcome) => return Some(outcome),
        }
        None
    }

    fn refuse_connections(&mut self) {
        if let CallerListener::Open(listening) = &mut self.callers
            && let Some(listening) = listening.take()
        {
            self.callers = CallerListener::Closing(tokio::spawn(listening.stop()));
        }
    }

    /// Ends the requests in progress, each with a final answer.
    fn cut_requests(&self) {
        for id in self.cx.records.running() {
            log::warn!(request = id.as_ref(); "request aborted by the shutdown");
        }
        self.cx.answers_due.cancel();
    }
}

/// Triggers the fault point that precedes an action.
async fn reach_fault_point(action: &DrainAction) {
    match action {
        DrainAction::WithdrawFromEntry => fault_point::reach(Step::Leaving).await,
        DrainAction::RefuseConnections => fault_point::reach(Step::Refusing).await,
        DrainAction::Cut { .. } | DrainAction::Exit(_) => {}
    }
}

/// Waits one gossip round, so that peers learn that this incarnation is gone.
async fn wait_one_gossip_round(cx: &Kernel) {
    sleep(Duration::from_millis(cx.settings.timing.gossip_ms)).await;
}
