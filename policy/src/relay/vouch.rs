//! Whether an instance may still act on its configuration.
//!
//! An instance that is cut off from the store does not hear that a key was taken away. Callers
//! with that key would be served as long as the cut lasts. So each instance serves keyed requests
//! only for a while after its configuration was last confirmed; the confirmation counts from when
//! the confirmed read was *sent*, since its answer may have been under way for any time.

use crate::prelude::*;

/// Part of the revocation bound that an unconfirmed instance may use up. The rest covers a request
/// that waits for room before it is sent on.
const USABLE_SHARE: f64 = 0.9;

/// Time after the start for which requests wait for a first configuration, in milliseconds. An
/// instance reads it within some 200; one that does not has no way to the store.
const STARTING_MS: Millis = 1_500;

/// When the configuration in force was last known to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    bound_ms: Millis,
    confirmed_ms: Option<Millis>,
}

impl ConfigConfirmation {
    /// Nothing confirmed yet; keys that were taken away must be refused within `bound_ms`.
    #[must_use]
    pub fn new(bound_ms: Millis) -> ConfigConfirmation {
        ConfigConfirmation {
            bound_ms,
            confirmed_ms: None,
        }
    }

    /// A read that was sent at `sent_ms` showed the version in force to be the newest.
    pub fn confirm(&mut self, sent_ms: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(Some(sent_ms));
    }

    /// Time since the last confirmation, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.confirmed_ms.map(|at| now.saturating_sub(at))
    }

    /// Whether a request is to wait a moment for the configuration at `now`, in milliseconds since
    /// the start: nothing has been read yet, and that takes a moment only. When all instances start
    /// at the same time their callers come at once; a refusal would use up the one time that most
    /// of them come back.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        self.confirmed_ms.is_none() && now < STARTING_MS
    }

    /// Whether keyed requests may be sent on at `now`, a clock that also counts suspension.
    #[must_use]
    pub fn may_serve(&self, now: Millis) -> bool {
        let usable = (self.bound_ms as f64 * USABLE_SHARE) as Millis;
        self.age_ms(now).is_some_and(|age| age < usable)
    }
}
