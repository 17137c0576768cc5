//! The platform's list of instances, which may be stale.

use crate::time::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One listed instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name, stable across restarts.
    pub name: Name,
    /// Incarnation, which increases with each start under the same name.
    pub incarnation: u64,
    /// Group: an upstream group of the schema or [`ENTRY_GROUP`].
    pub group: Name,
    /// Service address of an upstream, or peer listener address of an entry instance.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// State according to the list.
    pub state: ListedState,
}

pub use crate::schema::ENTRY_GROUP;

/// The state of a listed instance.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// Leaving; accepts no new work.
    Leaving,
}
