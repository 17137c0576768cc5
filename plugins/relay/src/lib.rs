//! The relay: forwards requests whose bodies the product does not read.
//!
//! One process on one thread does all of it: it takes requests from callers, sends each through a
//! chain of runners or to a plain service, and passes the answer on as it comes. Everything that
//! is decided stands in [`jacinthweir_policy::relay`]; names of the outside stand in
//! [`jacinthweir_platform`].
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | the settings file |
//! | [`node`] | the shared state of the process |
//! | `live` | chains in use, and what is in flight through each |
//! | `watch` | follows the store: configuration and runners |
//! | `peers` | exchanges with other instances |
//! | `placer` | the lease, and orders to runners |
//! | `failure_detector` | asks the parts of a silent chain |
//! | `server` | listeners |
//! | `request` | what a request is, and whose |
//! | `attempt` | one send to a runner |
//! | `interrupted_run`, `quarantine` | runs that broke off; requests that end their runners |
//! | `call` | requests with one answer |
//! | `admission`, `chain_attempts`, `stream`, `events` | streams of events: room, attempts, the answer, its events |
//! | `limits` | rates that runners name |
//! | `answer` | final answers, and what may be said in them |
//! | `shutdown` | from the signal to the exit |
//!
//! The runtime has one thread, so shared state needs no locks: a [`std::cell::RefCell`] is
//! borrowed for one decision and never across an await point.

mod admission;
mod answer;
mod attempt;
mod call;
mod chain_attempts;
mod dump;
mod events;
mod failure_detector;
mod interrupted_run;
mod limits;
mod live;
pub mod news;
mod node;
mod peers;
mod placer;
mod quarantine;
mod request;
mod runner_probe;
mod server;
pub mod settings;
mod shutdown;
mod stream;
mod watch;

pub use events::{EventError, EventSplitter};
pub use jacinthweir_policy::drain::DrainOutcome;
pub use settings::RelaySettings;

use std::rc::Rc;

use derive_more::{Display, Error};
use jacinthweir_kernel::{KernelError, logs};

use crate::node::Node;

/// The relay cannot start.
#[derive(Debug, Display, Error)]
pub enum RelayError {
    /// Logs, metrics or signals.
    #[display("{_0}")]
    SetUp(#[error(not(source))] KernelError),
    /// A listener.
    #[display("cannot listen for {face} at {address}: {cause}")]
    Bind {
        /// Who would have been served.
        face: String,
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        cause: std::io::Error,
    },
}

/// A relay that runs on the current thread's task set.
pub struct Relay {
    node: Rc<Node>,
    servers: server::Servers,
}

impl Relay {
    /// Opens the listeners and starts all tasks. Call it within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// It cannot start.
    pub async fn spawn(settings: RelaySettings) -> Result<Relay, RelayError> {
        let node = Node::open(settings)?;
        let servers = server::bind(&node).await?;
        watch::spawn(&node);
        peers::spawn(&node);
        news::spawn(&node);
        placer::spawn(&node);
        failure_detector::spawn(&node);
        quarantine::spawn(&node);
        Ok(Relay { node, servers })
    }

    /// Leaves the entry answers, finishes what is in progress and stops.
    pub async fn shut_down(self) -> DrainOutcome {
        let ended = shutdown::run(&self.node, &self.servers).await;
        self.node.stop.cancel();
        ended
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.node.stop.cancel();
    }
}

/// Runs a relay as the whole process until it is told to end. `path` is where the settings came
/// from.
///
/// # Errors
/// It cannot start.
pub async fn run(
    settings: RelaySettings,
    path: std::path::PathBuf,
) -> Result<DrainOutcome, RelayError> {
    logs::open_stdout(&settings.log, &settings.name).map_err(RelayError::SetUp)?;
    let mut signals = shutdown::Signals::open()?;
    let relay = Relay::spawn(settings).await?;
    log::info!(incarnation = relay.node.incarnation; "started");
    signals.end(&path).await;
    let ended = relay.shut_down().await;
    log::info!(ended:% = ended; "stopped");
    logs::flush();
    Ok(ended)
}
