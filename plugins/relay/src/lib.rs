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
//! | `probe` | asks the parts of a silent chain |
//! | `server` | listeners |
//! | `request` | what a request is, and whose |
//! | `attempt` | one send to a runner |
//! | `call` | requests with one answer |
//! | `admit`, `stream`, `events` | streams of events |
//! | `answer` | final answers, and what may be said in them |
//! | `shutdown` | from the signal to the exit |
//!
//! The runtime has one thread, so shared state needs no locks: a [`std::cell::RefCell`] is
//! borrowed for one decision and never across an await point.

mod admit;
mod answer;
mod attempt;
mod call;
mod dump;
mod events;
mod live;
pub mod node;
mod peers;
mod placer;
mod probe;
mod request;
mod server;
pub mod settings;
mod shutdown;
mod stream;
mod watch;

pub use events::{EventError, Events};
pub use settings::RelaySettings;
pub use shutdown::Ended;

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
        face: &'static str,
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        cause: std::io::Error,
    },
}

/// Runs the relay until it is told to end. `path` is where the settings came from.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: RelaySettings, path: std::path::PathBuf) -> Result<Ended, RelayError> {
    logs::open_stdout(&settings.log, &settings.name).map_err(RelayError::SetUp)?;
    let signals = shutdown::Signals::open()?;
    let node = Node::open(settings)?;
    let servers = server::bind(&node).await?;
    log::info!(incarnation = node.incarnation; "started");
    watch::spawn(&node);
    peers::spawn(&node);
    placer::spawn(&node);
    probe::spawn(&node);
    let ended = shutdown::run(Rc::clone(&node), servers, signals, &path).await;
    node.stop.cancel();
    log::info!(ended:% = ended; "stopped");
    logs::flush();
    Ok(ended)
}
