//! Store of configuration parts keyed by content hash, from which peers fetch them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use jacinthweir_policy::prelude::*;

/// Configuration parts that this instance holds.
#[derive(Default)]
pub struct Parts {
    by_hash: Mutex<BTreeMap<Name, Arc<str>>>,
}

impl Parts {
    /// Returns the text of a part.
    #[must_use]
    pub fn get(&self, hash: &str) -> Option<Arc<str>> {
        self.lock().get(hash).cloned()
    }

    /// Adds a part; the caller has verified its hash.
    pub fn insert(&self, hash: Name, text: Arc<str>) {
        self.lock().insert(hash, text);
    }

    /// Removes every part for whose hash `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|hash, _| keep(hash));
    }

    /// Returns the number of parts and their total size.
    #[must_use]
    pub fn size(&self) -> PartsSize {
        let parts = self.lock();
        let bytes = parts.values().map(|text| text.len()).sum();
        PartsSize {
            parts: parts.len(),
            bytes,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Name, Arc<str>>> {
        self.by_hash.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number and total size of the stored parts.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PartsSize {
    /// Number of parts.
    pub parts: usize,
    /// Total size, in bytes.
    pub bytes: usize,
}
