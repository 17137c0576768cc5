//! Messages of the platform's service: versioned objects and the list of instances.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /objects/{key}` | [`Object`]; 404 if absent |
//! | `PUT /objects/{key}` | body [`PutObject`]; 200 with [`Written`], 412 with [`Written`] of the current object (version 0: absent) |
//! | `DELETE /objects/{key}?version=N` | 200, 404, 412 |
//! | `GET /objects?prefix=P` | [`ObjectList`] without values |
//! | `GET /watch?prefix=P&after=SEQ&wait_ms=N` | long poll: [`WatchAnswer`] once something has changed or the wait is over |
//! | `GET /instances` | [`InstanceList`], which may be stale |
//!
//! 429 means that the rate limit is exceeded and 503 that the service is unavailable; in both cases
//! the call had no effect. If the connection breaks or times out, the effect of a write is unknown.

pub use jacinthweir_policy::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: String,
    /// Version, which increases with each write of any object; never 0.
    pub version: u64,
    /// Text, one megabyte at most.
    pub value: String,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutObject {
    /// Text, one megabyte at most.
    pub value: String,
    /// Condition on the current object.
    pub condition: Condition,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// There is no object with the key.
    Absent,
    /// The object has this version.
    Version(u64),
    /// No condition.
    Any,
}

/// Version assigned by a write, or the current version that violated its condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Version; 0: absent.
    pub version: u64,
}

/// Keys and versions with a common prefix.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ObjectList {
    /// Entries sorted by key.
    pub objects: Vec<ObjectVersion>,
}

/// Key and version of one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// Key.
    pub key: String,
    /// Version; 0: deleted.
    pub version: u64,
}

/// Changes of keys with a common prefix.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Changed objects, oldest first.
    pub changes: Vec<ObjectVersion>,
    /// Value for `after` of the next watch.
    pub next: u64,
}

/// The platform's list of instances, which may be stale.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "WireInstanceList")]
pub struct InstanceList {
    /// All listed instances: upstreams and instances of this system.
    pub instances: Vec<ListedInstance>,
    /// Number of entries that cannot be decoded. Others write to the list as well, so one such entry leaves the
    /// rest of it in force.
    #[serde(skip)]
    pub rejected: usize,
}

#[derive(Deserialize)]
struct WireInstanceList {
    instances: Vec<WireEntry>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireEntry {
    Listed(ListedInstance),
    Rejected(IgnoredAny),
}

impl From<WireInstanceList> for InstanceList {
    fn from(list: WireInstanceList) -> InstanceList {
        let entries = list.instances.len();
        let listed = list.instances.into_iter().filter_map(|entry| match entry {
            WireEntry::Listed(instance) => Some(instance),
            WireEntry::Rejected(_) => None,
        });
        let instances: Vec<ListedInstance> = listed.collect();
        InstanceList {
            rejected: entries - instances.len(),
            instances,
        }
    }
}
