//! The platform's service: objects with versions, and the list of instances.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /objects/{key}` | [`Object`], 404 where absent |
//! | `PUT /objects/{key}` | body [`PutObject`]; 200 with [`Written`], 412 with [`Written`] of what stands (version 0: absent) |
//! | `DELETE /objects/{key}?version=N` | 200, 404, 412 |
//! | `GET /objects?prefix=P` | [`ObjectList`] without values |
//! | `GET /watch?prefix=P&after=SEQ&wait_ms=N` | [`WatchAnswer`], as soon as something changed or the wait is over |
//! | `GET /instances` | [`InstanceList`]: lags behind |
//!
//! 429 says that the rate is exceeded and 503 that the service is out: neither had an effect.
//! A connection that breaks or times out leaves a write's effect unknown.

pub use jacinthweir_policy::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use serde::{Deserialize, Serialize};

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: String,
    /// Version: grows with each write of any object; never 0.
    pub version: u64,
    /// Value: text, a megabyte at most.
    pub value: String,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutObject {
    /// Value: text, a megabyte at most.
    pub value: String,
    /// Condition on what stands.
    pub condition: Condition,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No object stands under the key.
    Absent,
    /// The object stands at this version.
    Version(u64),
    /// None.
    Any,
}

/// The version that a write gave, or the one that stood against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Version; 0: absent.
    pub version: u64,
}

/// Keys and versions below a prefix.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ObjectList {
    /// Entries in the order of their keys.
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

/// Changes below a prefix.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// What changed, oldest first.
    pub changes: Vec<ObjectVersion>,
    /// Pass as `after` of the next watch.
    pub next: u64,
}

/// The list of instances; lags behind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// Every listed instance, upstreams and our own.
    pub instances: Vec<ListedInstance>,
}
