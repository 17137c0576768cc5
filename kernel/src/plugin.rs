//! Registry of plug-ins.

use std::sync::Arc;

use linkme::distributed_slice;
use salvo::Router;

use crate::{Kernel, KernelError};

/// Kind of listener, by the clients that it serves.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerKind {
    /// For callers.
    #[display("callers")]
    Callers,
    /// For other instances.
    #[display("peers")]
    Peers,
    /// For operators.
    #[display("operators")]
    Operators,
}

/// A plug-in: its tasks, routes and section of the dump.
pub struct Plugin {
    /// Name, as shown in the dump.
    pub name: &'static str,
    /// Starts the plug-in's tasks on [`Kernel::tasks`]; they end when [`Kernel::stop`] is
    /// cancelled.
    pub spawn: fn(&Arc<Kernel>) -> Result<(), KernelError>,
    /// Returns the plug-in's routes on a listener.
    pub routes: fn(&Arc<Kernel>, ListenerKind) -> Vec<Router>,
    /// Returns the plug-in's section of the dump.
    pub dump: fn(&Kernel) -> serde_json::Value,
}

/// Implements [`Plugin::spawn`] for plug-ins without tasks.
///
/// # Errors
/// Never fails.
pub fn no_tasks(_cx: &Arc<Kernel>) -> Result<(), KernelError> {
    Ok(())
}

/// Implements [`Plugin::routes`] for plug-ins without routes.
#[must_use]
pub fn no_routes(_cx: &Arc<Kernel>, _kind: ListenerKind) -> Vec<Router> {
    Vec::new()
}

/// Every plug-in linked into the process.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// Returns the plug-ins sorted by name, since link order is not deterministic.
#[must_use]
pub fn sorted() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&Plugin> = PLUGINS.iter().collect();
    plugins.sort_by_key(|p| p.name);
    plugins
}
