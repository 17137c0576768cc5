//! Parts of the configuration by their hashes, to be read by peers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use jacinthweir_policy::prelude::*;

/// Parts that this instance holds.
#[derive(Default)]
pub struct Parts {
    by_hash: Mutex<BTreeMap<Name, Arc<str>>>,
}

impl Parts {
    /// The text of a part.
    #[must_use]
    pub fn get(&self, hash: &str) -> Option<Arc<str>> {
        self.lock().get(hash).cloned()
    }

    /// Adds a part, whose hash the caller has checked.
    pub fn insert(&self, hash: Name, text: Arc<str>) {
        self.lock().insert(hash, text);
    }

    /// Drops every part that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|hash, _| keep(hash));
    }

    /// Number of parts and their size in bytes.
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

/// Size of the parts held.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PartsSize {
    /// Number of parts.
    pub parts: usize,
    /// Their size, in bytes.
    pub bytes: usize,
}
