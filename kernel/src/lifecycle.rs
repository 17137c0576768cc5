//! Lifecycle of an instance: start-up, serving, graceful shutdown.
//!
//! [`jacinthweir_policy::drain`] decides the steps of a shutdown; this module executes them.

use std::sync::Arc;
use std::time::Duration;

use jacinthweir_policy::drain::{Drain, DrainAction, DrainConfig, DrainEvent};
use jacinthweir_policy::member::Phase;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::fault_point::{self, Step};
use crate::listener::RunningListener;
use crate::plugin::{ListenerKind, sorted};
use crate::{Kernel, KernelError, Settings, logs, watchdog};

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

/// Runs an instance until a signal shuts it down.
///
/// # Errors
/// Returns an error if the instance cannot start.
pub async fn run(settings: Settings) -> Result<DrainOutcome, KernelError> {
    logs::open(&settings.log, &settings.name)?;
    fault_point::open();
    let heartbeat = watchdog::spawn(|| "all threads of the runtime".to_owned())?;
    tokio::spawn(async move { heartbeat.run().await });
    let mut signals = Signals::open()?;
    let cx = Kernel::open(settings)?;
    cx.tasks
        .spawn(Arc::clone(&cx.gate).run_until(cx.stop.clone()));
    for plugin in sorted() {
        (plugin.spawn)(&cx)?;
    }
    let peers = RunningListener::bind(&cx, ListenerKind::Peers).await?;
    let operators = RunningListener::bind(&cx, ListenerKind::Operators).await?;
    let callers = RunningListener::bind(&cx, ListenerKind::Callers).await?;
    log::info!(
        "instance {} started, incarnation {}",
        cx.settings.name,
        cx.incarnation
    );

    let mut shutdown = Shutdown::new(Arc::clone(&cx), callers);
    let outcome = shutdown.run(&mut signals).await;
    cx.set_phase(Phase::Gone);
    wait_one_gossip_round(&cx).await;
    cx.stop.cancel();
    peers.abort();
    operators.abort();
    cx.tasks.close();
    let _ = timeout(TASKS_TIMEOUT, cx.tasks.wait()).await;
    log::info!("instance {} ended: {outcome}", cx.settings.name);
    Ok(outcome)
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
    fn new(cx: Arc<Kernel>, callers: RunningListener) -> Shutdown {
        let timing = &cx.settings.timing;
        let cfg = DrainConfig {
            ttl_ms: timing.entry_ttl_ms + DISSEMINATION_ROUNDS * timing.gossip_ms,
            deadline_ms: timing.drain_deadline_ms,
            answer_ms: FINAL_ANSWERS_MS,
        };
        Shutdown {
            cx,
            drain: Drain::new(cfg),
            callers: CallerListener::Open(Some(callers)),
        }
    }

    async fn run(&mut self, signals: &mut Signals) -> DrainOutcome {
        signals.next().await;
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
                () = signals.next() => DrainEvent::Signal,
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

struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    fn open() -> Result<Signals, KernelError> {
        let open = |kind| {
            signal(kind).map_err(|e| KernelError::SetUp {
                what: "signals",
                cause: e.to_string(),
            })
        };
        let term = open(SignalKind::terminate())?;
        let int = open(SignalKind::interrupt())?;
        Ok(Signals { term, int })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
