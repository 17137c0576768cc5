//! The platform's list of instances; it lags behind.

use crate::time::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One listed instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name, kept over restarts.
    pub name: Name,
    /// Grows with each start of the same name.
    pub incarnation: u64,
    /// Group: an upstream group of the schema, or [`ENTRY_GROUP`].
    pub group: Name,
    /// Address: an upstream's service, or an entry instance's peer listener.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Whether it stays.
    pub state: ListedState,
}

pub use crate::schema::ENTRY_GROUP;

/// Whether a listed instance stays.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// Leaving: takes no new work.
    Leaving,
}
