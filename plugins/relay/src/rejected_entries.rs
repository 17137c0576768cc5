//! Entries of other writers that name no runner to use: each is counted, and logged once for a cause.

use std::cell::RefCell;
use std::fmt::Display;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::rejected_entries::{MAX_REJECTED, Rejection};

/// The entries that were logged.
#[derive(Default)]
pub(crate) struct RejectedEntries(
    RefCell<jacinthweir_policy::relay::rejected_entries::RejectedEntries>,
);

impl RejectedEntries {
    /// Logs and counts an entry that names no runner to use, unless that was done for the same cause.
    pub(crate) fn record(&self, name: &Name, cause: &impl Display) {
        let cause = cause.to_string();
        match self.0.borrow_mut().record(name, &cause) {
            Rejection::Known => return,
            Rejection::New => {
                log::warn!(runner = name.as_ref(), cause; "an entry names no runner to use");
            }
            Rejection::TooMany => {
                log::warn!(logged = MAX_REJECTED; "further entries that name no runner to use are not logged");
            }
            Rejection::Unlogged => {}
        }
        metrics::counter!("jacinthweir_entries_rejected_total").increment(1);
    }

    /// Forgets an entry that is gone or names a runner again.
    pub(crate) fn forget(&self, name: &str) {
        self.0.borrow_mut().forget(name);
    }
}
