//! On which runners one request may run.
//!
//! A route names the most runners that may work on one request. A runner that has ended does not
//! count any more, and one that is tried again counts once. What counts of a chain is its first
//! runner: when a part behind it dies, the first one lives on and has run the request. Requests
//! that were resumed for every dead part ran on three runners of two.

use crate::prelude::*;

/// Sends of one request beyond the route's number, at the most: each lost runner may cost one, and
/// a request that met more than two is better given up.
const MOST_FURTHER: u32 = 2;

/// Runners that may have run a request, by identity and lifetime.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    ran: Vec<(Name, u64)>,
    sends: u32,
}

impl Attempts {
    /// The request is sent to a runner.
    pub fn sent(&mut self, id: &Name, born_ms: u64) {
        self.sends += 1;
        if !self.has(id, born_ms) {
            self.ran.push((id.clone(), born_ms));
        }
    }

    /// The last send certainly did not run. A runner that was tried before stays counted, since
    /// the earlier send may have.
    pub fn not_run(&mut self, id: &Name, born_ms: u64, ran_before: bool) {
        if !ran_before {
            self.ran.retain(|(i, b)| (i, *b) != (id, born_ms));
        }
    }

    /// Whether a runner may have run the request.
    #[must_use]
    pub fn has(&self, id: &Name, born_ms: u64) -> bool {
        self.ran.iter().any(|(i, b)| (i, *b) == (id, born_ms))
    }

    /// Whether the request may be sent to nobody any more where a route allows `most` runners.
    #[must_use]
    pub fn is_spent(&self, most: u32) -> bool {
        self.sends >= most + MOST_FURTHER
    }

    /// Whether the request may be sent to a runner where a route allows `most`; `ended` tells of a
    /// runner's lifetime whether it is over.
    pub fn allows(
        &self,
        id: &Name,
        born_ms: u64,
        most: u32,
        ended: impl Fn(&Name, u64) -> bool,
    ) -> bool {
        if self.is_spent(most) {
            return false;
        }
        let living = self.ran.iter().filter(|(i, b)| !ended(i, *b)).count();
        self.has(id, born_ms) || living < most as usize
    }
}
