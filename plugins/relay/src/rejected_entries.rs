//! Entries of other writers that name no runner to use, so that each is logged and counted once.
//!
//! A list is read again after each loss of the store, and the entries are in it each time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;

use jacinthweir_policy::prelude::*;

/// Maximum number of entries that are remembered. Others may be logged again.
const MAX_ENTRIES: usize = 10_000;

/// The causes that were logged, by the entry's name.
#[derive(Default)]
pub(crate) struct RejectedEntries(RefCell<BTreeMap<Name, String>>);

impl RejectedEntries {
    /// Logs and counts an entry that names no runner to use, unless that was done for the same cause.
    pub(crate) fn record(&self, name: &Name, cause: &impl Display) {
        let cause = cause.to_string();
        let mut logged = self.0.borrow_mut();
        if logged.get(name) == Some(&cause) {
            return;
        }
        log::warn!(runner = name.as_ref(), cause; "an entry names no runner to use");
        metrics::counter!("jacinthweir_entries_rejected_total").increment(1);
        if logged.len() < MAX_ENTRIES || logged.contains_key(name) {
            logged.insert(name.clone(), cause);
        }
    }

    /// Forgets an entry that is gone or names a runner again.
    pub(crate) fn forget(&self, name: &str) {
        self.0.borrow_mut().remove(name);
    }
}
