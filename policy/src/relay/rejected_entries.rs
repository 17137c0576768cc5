//! Entries of other writers that name no runner to use, so that each is logged once.
//!
//! A list is read again after each loss of the store, and the entries are in it each time. Names and causes
//! are remembered by their hashes: others choose their lengths.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};

/// Maximum number of entries that are remembered.
pub const MAX_REJECTED: usize = 10_000;

/// What to do about a rejected entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It is to be logged.
    New,
    /// It was logged for the same cause.
    Known,
    /// Too many entries were logged. That is to be logged, and further entries are not.
    TooMany,
    /// Too many entries were logged, and that was logged as well.
    Unlogged,
}

/// The causes that were logged, by the entry's name.
#[derive(Clone, Debug, Default)]
pub struct RejectedEntries {
    causes: BTreeMap<u64, u64>,
    /// Keyed at random, so that nobody can choose names that collide.
    hasher: RandomState,
    is_full: bool,
}

impl RejectedEntries {
    /// Records an entry that names no runner to use.
    pub fn record(&mut self, name: &str, cause: &str) -> Rejection {
        let name = self.hasher.hash_one(name);
        let cause = self.hasher.hash_one(cause);
        let known = self.causes.get(&name);
        if known == Some(&cause) {
            return Rejection::Known;
        }
        if known.is_none() && self.causes.len() >= MAX_REJECTED {
            return match std::mem::replace(&mut self.is_full, true) {
                true => Rejection::Unlogged,
                false => Rejection::TooMany,
            };
        }
        self.causes.insert(name, cause);
        Rejection::New
    }

    /// Forgets an entry that is gone or names a runner again.
    pub fn forget(&mut self, name: &str) {
        let was_known = self.causes.remove(&self.hasher.hash_one(name)).is_some();
        self.is_full &= !was_known;
    }
}
