//! Messages of the admin interface.

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::ListedInstance;
use serde::{Deserialize, Serialize};

/// A change of the list of instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstancesChange {
    /// Drop all others first.
    pub replace: bool,
    /// Show it without the lag.
    pub at_once: bool,
    /// Names to take out.
    pub remove: Vec<Name>,
    /// Instances to put in or to change.
    pub set: Vec<ListedInstance>,
}

/// What was called so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Watches begun.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Watches waiting now.
    pub waiting: u64,
    /// Calls refused by the rate.
    pub refused_by_rate: u64,
    /// Calls that failed or hung by a fault.
    pub failed: u64,
    /// Writes that a fault left unanswered or made late.
    #[serde(default)]
    pub spoilt: u64,
}
