//! Messages of the admin interface.

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::ListedInstance;
use serde::{Deserialize, Serialize};

/// Change to the list of instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstancesChange {
    /// Whether to remove all instances first.
    pub replace: bool,
    /// Whether the change is visible without the lag.
    pub at_once: bool,
    /// Names of the instances to remove.
    pub remove: Vec<Name>,
    /// Instances to add or update.
    pub set: Vec<ListedInstance>,
}

/// Call counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of single objects.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Watches started.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Watches currently waiting.
    pub waiting: u64,
    /// Calls refused by the rate limit.
    pub refused_by_rate: u64,
    /// Calls that failed or hung because of a fault.
    pub failed: u64,
    /// Writes whose answer was lost or that were delayed by a fault.
    #[serde(default)]
    pub spoilt: u64,
}
