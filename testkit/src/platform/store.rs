//! Objects with versions.
//!
//! Invariants: `by_version` has exactly one entry for each key ever written, at the version of
//! its last change; versions only grow, except by a restore.

use std::collections::BTreeMap;
use std::ops::Bound;

use jacinthweir_wire::platform::{Condition, Object, ObjectVersion, WatchAnswer, Written};

/// All objects.
#[derive(Clone, Debug, Default)]
pub struct Store {
    newest: u64,
    entries: BTreeMap<String, Entry>,
    by_version: BTreeMap<u64, String>,
}

/// One key's last change.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    /// Absent: deleted.
    value: Option<String>,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Done(Written),
    /// Its condition did not hold.
    Refused(Written),
    /// Nothing to delete.
    Absent,
}

impl Store {
    /// Version of the last change of any object.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The object under `key`.
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

    /// Version that stands under `key`; 0: absent.
    #[must_use]
    pub fn version(&self, key: &str) -> u64 {
        match self.entries.get(key) {
            Some(entry) if entry.value.is_some() => entry.version,
            _ => 0,
        }
    }

    /// Writes `value` if `condition` holds.
    pub fn put(&mut self, key: &str, value: String, condition: Condition) -> WriteOutcome {
        let standing = self.version(key);
        let holds = match condition {
            Condition::Absent => standing == 0,
            Condition::Version(version) => standing != 0 && standing == version,
            Condition::Any => true,
        };
        if !holds {
            return WriteOutcome::Refused(Written { version: standing });
        }
        WriteOutcome::Done(self.change(key, Some(value)))
    }

    /// Deletes the object if it stands at `version`.
    pub fn delete(&mut self, key: &str, version: u64) -> WriteOutcome {
        let standing = self.version(key);
        if standing == 0 {
            return WriteOutcome::Absent;
        }
        if standing != version {
            return WriteOutcome::Refused(Written { version: standing });
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

    /// Keys and versions below `prefix`.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<ObjectVersion> {
        self.below(prefix)
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| ObjectVersion {
                key: key.clone(),
                version: entry.version,
            })
            .collect()
    }

    /// All objects.
    #[must_use]
    pub fn objects(&self) -> Vec<Object> {
        self.entries
            .keys()
            .filter_map(|key| self.get(key))
            .collect()
    }

    /// Changes below `prefix` after the sequence `after`.
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

    fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }
}
