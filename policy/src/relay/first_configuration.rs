//! Whether an instance that has just started may act on the first configuration that it read.
//!
//! The store may have come back from an older copy, in which a revoked key still stands. An instance that
//! runs keeps its newer configuration. One that starts has nothing to compare with: the store confirms the
//! old configuration as the newest. If it served at once, it would accept revoked keys until its peers are
//! heard and its watch has been given up.
//!
//! So the first configuration is acted on once a peer that ran before has none that is newer. If all instances
//! start at the same time there is no such peer, and waiting for one would refuse all callers meanwhile. So
//! it is also acted on, for as long as no peer is known to have a newer one, after [`PEERS_STARTING`] messages
//! of peers that have only started themselves, or after [`START_WAIT_MS`].

use crate::prelude::*;

/// Time after the start for which an instance waits for its peers, in milliseconds: three exchange rounds.
pub const START_WAIT_MS: Millis = 1_000;

/// Messages of starting peers after which an instance takes all others to be starting: it exchanges with peers
/// chosen at random, so that one that ran before would most likely be among them.
pub const PEERS_STARTING: u32 = 3;

/// State of the first configuration of an instance, from its start at time zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstConfiguration {
    /// Newest version that a peer has in force.
    newest: u64,
    /// Whether a peer that has been confirmed itself was heard.
    heard_confirmed: bool,
    /// Messages of peers that have not been confirmed.
    heard_starting: u32,
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
        self.heard_confirmed |= is_confirmed;
        self.heard_starting += u32::from(!is_confirmed);
        self.record_version(version, own);
    }

    /// Records that a peer has `version` in force, while this instance has `own`.
    pub fn record_version(&mut self, version: u64, own: Option<u64>) {
        self.newest = self.newest.max(version);
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
        let only_starting = !self.heard_confirmed && self.heard_starting >= PEERS_STARTING;
        let has_waited = only_starting || now >= START_WAIT_MS;
        self.confirmed || (has_waited && own >= self.newest)
    }
}
