//! From the signal to the exit.
//!
//! Callers keep an entry answer for its time to live, some three times as long, and connect
//! without asking again. So this instance leaves the answers at once and goes on accepting for
//! that long; then it refuses new connections and ends with the last request, or at the bound.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jacinthweir_kernel::KernelError;
use jacinthweir_policy::drain::DrainOutcome;
use jacinthweir_policy::member::Phase;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::server::Servers;
use crate::settings::RelaySettings;
use crate::{RelayError, peers};

/// Times to live that some callers keep an entry answer for.
const TTL_TIMES: u64 = 3;

/// Time before the bound at which what is left is cut: a cut by the platform says nothing in the
/// logs.
const MARGIN_MS: u64 = 300;

/// Period of looking whether the last request has ended, and time for the last bytes to leave.
const LOOK: Duration = Duration::from_millis(20);

/// Signals that the process takes.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    pub(crate) fn open() -> Result<Signals, RelayError> {
        let open = |kind| {
            signal(kind).map_err(|e| {
                RelayError::SetUp(KernelError::SetUp {
                    what: "signals",
                    cause: e.to_string(),
                })
            })
        };
        Ok(Signals {
            term: open(SignalKind::terminate())?,
            int: open(SignalKind::interrupt())?,
            hup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for the end; checks the settings file again at each hang-up signal.
    pub(crate) async fn end(&mut self, path: &Path) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.int.recv() => return,
                _ = self.hup.recv() => reload(path),
            }
        }
    }
}

/// Settings are read at the start. What changes at run time comes from the store and from peers,
/// so a reload checks the file, for the next start, and says what is wrong with it.
fn reload(path: &Path) {
    match RelaySettings::open(path) {
        Ok(_) => log::info!("settings file is valid; it takes effect at the next start"),
        Err(e) => log::error!(cause:% = e; "settings file is not valid; the running ones stay"),
    }
}

/// Shuts down.
pub(crate) async fn run(node: &Rc<Node>, servers: &Servers) -> DrainOutcome {
    let began = node.now();
    let bounds = &node.settings.bounds;
    let end = began + bounds.shutdown_ms().saturating_sub(MARGIN_MS);
    node.draining.set(true);
    peers::announce(node, Phase::Draining);
    log::info!(requests = node.active.get(); "stopping: out of the entry answers");
    let accept_ms = (bounds.entry_ttl_ms * TTL_TIMES).min(bounds.shutdown_ms() / 2 + 500);
    sleep(Duration::from_millis(accept_ms)).await;
    servers.refuse.cancel();
    servers.finish.cancel();
    servers.callers.close();
    log::info!(requests = node.active.get(); "stopping: no new connections");
    let left = Duration::from_millis(end.saturating_sub(node.now()));
    let all = async {
        while node.active.get() > 0 {
            sleep(LOOK).await;
        }
    };
    let ended = match timeout(left, all).await {
        Ok(()) => DrainOutcome::Clean,
        Err(_) => DrainOutcome::Cut,
    };
    if ended == DrainOutcome::Cut {
        log::warn!(requests = node.active.get(); "requests are cut at the bound");
    }
    peers::announce(node, Phase::Gone);
    sleep(LOOK).await;
    ended
}
