//! Confirmation of the configuration: whether an instance may still act on it.
//!
//! An instance that is partitioned from the store does not learn that an API key was revoked, and
//! callers with that key would be served as long as the partition lasts. Each instance therefore
//! serves keyed requests only for a limited time after its configuration was last confirmed. The
//! time counts from when the confirming read was *sent*, since its answer may have been delayed for
//! any time.

use crate::prelude::*;

/// Share of the revocation bound that an unconfirmed instance may use up. The rest covers a request
/// that waits for capacity before it is sent on.
const USABLE_SHARE: f64 = 0.9;

/// Time after the start for which requests wait for a first configuration, in milliseconds. An
/// instance reads it within some 200 ms; one that takes longer cannot reach the store.
const STARTUP_MS: Millis = 1_500;

/// When the configuration in force was last confirmed to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    bound_ms: Millis,
    confirmed_ms: Option<Millis>,
}

impl ConfigConfirmation {
    /// Returns an unconfirmed state; revoked keys must be refused within `bound_ms`.
    #[must_use]
    pub fn new(bound_ms: Millis) -> ConfigConfirmation {
        ConfigConfirmation {
            bound_ms,
            confirmed_ms: None,
        }
    }

    /// Records that a read sent at `sent_ms` showed the version in force to be the newest.
    pub fn confirm(&mut self, sent_ms: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(Some(sent_ms));
    }

    /// Returns the time since the last confirmation, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.confirmed_ms.map(|at| now.saturating_sub(at))
    }

    /// Returns whether a request is to wait a moment for the first configuration at `now`, in
    /// milliseconds since the start. When all instances start at the same time, their callers
    /// connect at once, and a refusal would use up the only retry that most of them make.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        self.confirmed_ms.is_none() && now < STARTUP_MS
    }

    /// Returns whether keyed requests may be sent on at `now`, by a clock that also counts
    /// suspension.
    #[must_use]
    pub fn may_serve(&self, now: Millis) -> bool {
        let usable = (self.bound_ms as f64 * USABLE_SHARE) as Millis;
        self.age_ms(now).is_some_and(|age| age < usable)
    }
}
