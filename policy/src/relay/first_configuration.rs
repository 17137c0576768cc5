//! Whether an instance that has just started may act on the first configuration that it read.
//!
//! The store may have come back from an older copy, in which a revoked key still stands. An instance that
//! runs keeps its newer configuration. One that starts has nothing to compare with: the store confirms the
//! old configuration as the newest. If it served at once, it would accept revoked keys until its peers are
//! heard and its watch has been given up.
//!
//! So the first configuration is acted on once a peer that ran before has none that is newer, or, if no such
//! peer answers, after [`START_WAIT_MS`]. While a peer is known to have a newer one, it is not.

use crate::prelude::*;

/// Time after the start for which an instance waits for a peer that ran before, in milliseconds: three
/// exchange rounds. If all instances start at the same time there is none.
pub const START_WAIT_MS: Millis = 1_000;

/// State of the first configuration of an instance, from its start at time zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstConfiguration {
    /// Newest version that a peer has in force.
    newest: u64,
    /// Whether a peer that has been confirmed itself was heard.
    heard_confirmed: bool,
    confirmed: bool,
}

impl FirstConfiguration {
    /// Returns the state of an instance before which none ran.
    #[must_use]
    pub fn of_first_start() -> Self {
        FirstConfiguration {
            confirmed: true,
            ..FirstConfiguration::default()
        }
    }

    /// Records that a peer has `version` in force while this instance has `own`. `is_confirmed` tells whether
    /// the peer acts on it.
    pub fn record_peer(&mut self, version: u64, is_confirmed: bool, own: Option<u64>) {
        self.newest = self.newest.max(version);
        self.heard_confirmed |= is_confirmed;
        self.update(own);
    }

    /// Records that this instance has `own` in force.
    pub fn in_force(&mut self, own: u64) {
        self.update(Some(own));
    }

    fn update(&mut self, own: Option<u64>) {
        self.confirmed |= self.heard_confirmed && own.is_some_and(|own| own >= self.newest);
    }

    /// Returns whether this instance may act on `own`, which it has in force at `now`.
    #[must_use]
    pub fn is_confirmed(&self, own: u64, now: Millis) -> bool {
        self.confirmed || (now >= START_WAIT_MS && own >= self.newest)
    }
}
