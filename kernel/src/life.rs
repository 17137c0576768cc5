//! The life of an instance: start, service, graceful shutdown.
//!
//! What a shutdown does and when is decided by [`jacinthweir_policy::drain`]; this module carries
//! it out.

use std::sync::Arc;
use std::time::Duration;

use jacinthweir_policy::drain::{Drain, DrainAction, DrainConfig, DrainEvent};
use jacinthweir_policy::member::Phase;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::fault_point::{self, Step};
use crate::listener::Listening;
use crate::plugin::{Face, sorted};
use crate::{Kernel, KernelError, Settings, logs};

pub use jacinthweir_policy::drain::DrainOutcome;

/// Time that tasks get to return once the instance stops.
const TASKS_TIMEOUT: Duration = Duration::from_secs(2);
/// Rounds of exchanges that the word of a shutdown takes to reach every instance: until then one
/// of them may still name this instance in an answer, which callers keep for its time to live.
const SPREAD_ROUNDS: u64 = 2;
/// Period of looking whether the next step of a shutdown is due.
const TICK: Duration = Duration::from_millis(20);

/// Runs an instance until it is told to end.
///
/// # Errors
/// When it cannot start.
pub async fn run(settings: Settings) -> Result<DrainOutcome, KernelError> {
    logs::open(&settings.log, &settings.name)?;
    fault_point::open();
    let mut signals = Signals::open()?;
    let cx = Kernel::open(settings)?;
    cx.tasks
        .spawn(Arc::clone(&cx.gate).run_until(cx.stop.clone()));
    for plugin in sorted() {
        (plugin.spawn)(&cx)?;
    }
    let peers = Listening::bind(&cx, Face::Peers).await?;
    let operators = Listening::bind(&cx, Face::Operators).await?;
    let callers = Listening::bind(&cx, Face::Callers).await?;
    log::info!(
        "instance {} started, incarnation {}",
        cx.settings.name,
        cx.incarnation
    );

    let mut shutdown = Shutdown::new(Arc::clone(&cx), callers);
    let ended = shutdown.run(&mut signals).await;
    cx.set_phase(Phase::Gone);
    farewell(&cx).await;
    cx.stop.cancel();
    peers.abort();
    operators.abort();
    cx.tasks.close();
    let _ = timeout(TASKS_TIMEOUT, cx.tasks.wait()).await;
    log::info!("instance {} ended: {ended}", cx.settings.name);
    Ok(ended)
}

/// Carries out a shutdown.
struct Shutdown {
    cx: Arc<Kernel>,
    drain: Drain,
    callers: Callers,
}

/// The callers' listener during a shutdown.
enum Callers {
    /// Accepts.
    Open(Option<Listening>),
    /// Refuses new connections; the task ends with the last open one.
    Closing(JoinHandle<()>),
}

impl Shutdown {
    fn new(cx: Arc<Kernel>, callers: Listening) -> Shutdown {
        let timing = &cx.settings.timing;
        let cfg = DrainConfig {
            ttl_ms: timing.entry_ttl_ms + SPREAD_ROUNDS * timing.gossip_ms,
            deadline_ms: timing.drain_deadline_ms,
        };
        Shutdown {
            cx,
            drain: Drain::new(cfg),
            callers: Callers::Open(Some(callers)),
        }
    }

    async fn run(&mut self, signals: &mut Signals) -> DrainOutcome {
        signals.next().await;
        let mut event = DrainEvent::Signal;
        loop {
            let now = self.cx.clock.now();
            for action in self.drain.on(now, event, self.in_flight()) {
                reach(&action).await;
                if let Some(ended) = self.carry_out(action) {
                    return ended;
                }
            }
            event = tokio::select! {
                () = signals.next() => DrainEvent::Signal,
                () = sleep(TICK) => DrainEvent::Tick,
            };
        }
    }

    /// Requests in progress. A connection that is still open counts as one, since the last bytes
    /// of its answer may not have been taken yet.
    fn in_flight(&self) -> usize {
        let open = match &self.callers {
            Callers::Open(_) => false,
            Callers::Closing(task) => !task.is_finished(),
        };
        self.cx.records.running().len().max(usize::from(open))
    }

    fn carry_out(&mut self, action: DrainAction) -> Option<DrainOutcome> {
        log::info!("shutdown: {action}");
        match action {
            DrainAction::WithdrawFromEntry => self.cx.set_phase(Phase::Draining),
            DrainAction::RefuseConnections => self.refuse_connections(),
            DrainAction::Cut { .. } => self.say_cut(),
            DrainAction::Exit(ended) => return Some(ended),
        }
        None
    }

    fn refuse_connections(&mut self) {
        if let Callers::Open(listening) = &mut self.callers
            && let Some(listening) = listening.take()
        {
            self.callers = Callers::Closing(tokio::spawn(listening.stop()));
        }
    }

    fn say_cut(&self) {
        for id in self.cx.records.running() {
            log::warn!(request = id.as_ref(); "cut by the shutdown");
        }
    }
}

/// The fault point before an action.
async fn reach(action: &DrainAction) {
    match action {
        DrainAction::WithdrawFromEntry => fault_point::reach(Step::Leaving).await,
        DrainAction::RefuseConnections => fault_point::reach(Step::Refusing).await,
        DrainAction::Cut { .. } | DrainAction::Exit(_) => {}
    }
}

/// Leaves one round for peers to hear that this incarnation is gone.
async fn farewell(cx: &Kernel) {
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
