//! The list of plug-ins.

use std::sync::Arc;

use linkme::distributed_slice;
use salvo::Router;

use crate::{Kernel, KernelError};

/// A listener, by whom it is for.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Face {
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

/// One concern of the instance.
pub struct Plugin {
    /// Name, as in the dump.
    pub name: &'static str,
    /// Starts its tasks on [`Kernel::tasks`]; they end when [`Kernel::stop`] is cancelled.
    pub spawn: fn(&Arc<Kernel>) -> Result<(), KernelError>,
    /// Its routes on a listener.
    pub routes: fn(&Arc<Kernel>, Face) -> Vec<Router>,
    /// Its part of the dump.
    pub dump: fn(&Kernel) -> serde_json::Value,
}

/// For plug-ins without tasks.
///
/// # Errors
/// None.
pub fn no_tasks(_cx: &Arc<Kernel>) -> Result<(), KernelError> {
    Ok(())
}

/// For plug-ins without routes.
#[must_use]
pub fn no_routes(_cx: &Arc<Kernel>, _face: Face) -> Vec<Router> {
    Vec::new()
}

/// Every plug-in linked into the process.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// The plug-ins in the order of their names: link order is not deterministic.
#[must_use]
pub fn sorted() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&Plugin> = PLUGINS.iter().collect();
    plugins.sort_by_key(|p| p.name);
    plugins
}
