//! The life of an instance: start, service, graceful shutdown.
//!
//! On SIGTERM or SIGINT the instance first leaves the entry answers, and goes on taking requests
//! for one time to live of such an answer, since callers keep the old one that long. Then it
//! refuses new connections, waits for the last request to end, and exits. A second signal, or the
//! deadline, cuts what is left and says so.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::listener::Listening;
use crate::plugin::{Face, sorted};
use crate::{Kernel, KernelError, Settings, logs};

use jacinthweir_policy::member::Phase;

/// How an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No request was cut.
    Clean,
    /// The deadline or a second signal cut requests in progress.
    Cut,
}

/// Time that tasks get to return once the instance stops.
const TASKS_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an instance until it is told to end.
///
/// # Errors
/// When it cannot start.
pub async fn run(settings: Settings) -> Result<Ended, KernelError> {
    logs::open(&settings.log, &settings.name)?;
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

    signals.next().await;
    let ended = drain(&cx, callers, &mut signals).await;
    cx.set_phase(Phase::Gone);
    farewell(&cx).await;
    cx.stop.cancel();
    peers.abort();
    operators.abort();
    cx.tasks.close();
    let _ = timeout(TASKS_TIMEOUT, cx.tasks.wait()).await;
    log::info!("instance {} ended: {ended:?}", cx.settings.name);
    Ok(ended)
}

async fn drain(cx: &Arc<Kernel>, callers: Listening, signals: &mut Signals) -> Ended {
    let timing = &cx.settings.timing;
    log::info!("draining: accepting for {} ms more", timing.entry_ttl_ms);
    cx.set_phase(Phase::Draining);
    let deadline = Duration::from_millis(timing.drain_deadline_ms);
    let ttl = Duration::from_millis(timing.entry_ttl_ms);
    let quiet = async {
        sleep(ttl).await;
        log::info!("draining: refusing new connections");
        callers.stop().await;
        cx.requests_ended().await;
    };
    tokio::select! {
        () = quiet => Ended::Clean,
        () = sleep(deadline) => cut(cx, "the deadline passed"),
        () = signals.next() => cut(cx, "a second signal came"),
    }
}

fn cut(cx: &Kernel, why: &str) -> Ended {
    let running = cx.records.running();
    if running.is_empty() {
        return Ended::Clean;
    }
    for id in &running {
        log::warn!(request = id.as_ref(); "cut: {why}");
    }
    log::warn!("{why}: {} requests cut", running.len());
    Ended::Cut
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
