//! In-memory store of versioned objects.
//!
//! Invariants: `by_version` has exactly one entry per key ever written, at the version of its last
//! change. Versions are monotonic, except across a restore.

use std::collections::BTreeMap;
use std::ops::Bound;

use jacinthweir_wire::platform::{Condition, Object, ObjectVersion, WatchAnswer, Written};

/// Store of all objects.
#[derive(Clone, Debug, Default)]
pub struct Store {
    newest: u64,
    entries: BTreeMap<String, Entry>,
    by_version: BTreeMap<u64, String>,
}

/// Last change of a key.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    /// Value, or `None` for a tombstone.
    value: Option<String>,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done(Written),
    /// The condition did not hold; carries the current version.
    Refused(Written),
    /// The object to delete does not exist.
    Absent,
}

impl Store {
    /// Returns the version of the last change to any object.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the object under `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Object> {
        let entry = self.entries.get(key)?;
        let value = entry.value.clone()?;
        Some(Object {
            key: key.to_owned(),
            version: entry.version,
            value,
        })
    }

    /// Returns the current version of `key`, or 0 if it does not exist.
    #[must_use]
    pub fn version(&self, key: &str) -> u64 {
        match self.entries.get(key) {
            Some(entry) if entry.value.is_some() => entry.version,
            _ => 0,
        }
    }

    /// Writes `value` if `condition` holds.
    pub fn put(&mut self, key: &str, value: String, condition: Condition) -> WriteOutcome {
        let current = self.version(key);
        let holds = match condition {
            Condition::Absent => current == 0,
            Condition::Version(version) => current != 0 && current == version,
            Condition::Any => true,
        };
        if !holds {
            return WriteOutcome::Refused(Written { version: current });
        }
        WriteOutcome::Done(self.change(key, Some(value)))
    }

    /// Deletes the object if its current version is `version`.
    pub fn delete(&mut self, key: &str, version: u64) -> WriteOutcome {
        let current = self.version(key);
        if current == 0 {
            return WriteOutcome::Absent;
        }
        if current != version {
            return WriteOutcome::Refused(Written { version: current });
        }
        WriteOutcome::Done(self.change(key, None))
    }

    fn change(&mut self, key: &str, value: Option<String>) -> Written {
        self.newest += 1;
        let version = self.newest;
        let entry = Entry { version, value };
        if let Some(old) = self.entries.insert(key.to_owned(), entry) {
            self.by_version.remove(&old.version);
        }
        self.by_version.insert(version, key.to_owned());
        Written { version }
    }

    /// Returns the keys with `prefix` and their versions, without tombstones.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<ObjectVersion> {
        self.with_prefix(prefix)
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| ObjectVersion {
                key: key.clone(),
                version: entry.version,
            })
            .collect()
    }

    /// Returns all objects, ordered by key.
    #[must_use]
    pub fn objects(&self) -> Vec<Object> {
        self.entries
            .keys()
            .filter_map(|key| self.get(key))
            .collect()
    }

    /// Returns the last change of each key with `prefix` that changed after version `after`.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: u64) -> WatchAnswer {
        let later = (Bound::Excluded(after), Bound::Unbounded);
        let changes = self
            .by_version
            .range(later)
            .filter(|(_, key)| key.starts_with(prefix))
            .map(|(_, key)| ObjectVersion {
                key: key.clone(),
                version: self.version(key),
            })
            .collect();
        WatchAnswer {
            changes,
            next: self.newest,
        }
    }

    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }
}
