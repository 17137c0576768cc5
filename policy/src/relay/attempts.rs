//! Limit on the runners and sends of one request.
//!
//! A route sets the maximum number of runners that may run one request. A runner whose lifetime has
//! ended no longer counts, and one that is tried again counts once. Only the first runner of a chain
//! counts: it stays alive when a later stage dies, and has run the request. Otherwise a request that
//! is resumed after each dead stage would run on three runners where two are allowed.

use crate::prelude::*;

/// Maximum number of sends of one request beyond the route's number of runners. Each lost runner may
/// cost one send; a request that loses more than two runners is given up.
const MAX_EXTRA_SENDS: u32 = 2;

/// Runners that may have run a request, by name and start of their lifetime.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    ran: Vec<(Name, u64)>,
    sends: u32,
}

impl Attempts {
    /// Returns the record of a request that another instance sent to the runners `ran`.
    #[must_use]
    pub fn resumed(ran: Vec<(Name, u64)>) -> Attempts {
        Attempts { ran, sends: 0 }
    }

    /// Returns the runners that may have run the request.
    #[must_use]
    pub fn ran(&self) -> &[(Name, u64)] {
        &self.ran
    }

    /// Records that another instance sent the request to a runner, if it is known to which.
    pub fn record_forwarded(&mut self, runner: Option<(Name, u64)>) {
        match runner {
            Some((id, born_ms)) => self.record_sent(&id, born_ms),
            None => self.sends += 1,
        }
    }

    /// Records that the request is sent to a runner.
    pub fn record_sent(&mut self, id: &Name, born_ms: u64) {
        self.sends += 1;
        if !self.may_have_run(id, born_ms) {
            self.ran.push((id.clone(), born_ms));
        }
    }

    /// Records that the last send certainly did not run. With `ran_before` the runner stays counted,
    /// since an earlier send may have run there.
    pub fn record_not_run(&mut self, id: &Name, born_ms: u64, ran_before: bool) {
        if !ran_before {
            self.ran.retain(|(i, b)| (i, *b) != (id, born_ms));
        }
    }

    /// Returns whether a runner may have run the request.
    #[must_use]
    pub fn may_have_run(&self, id: &Name, born_ms: u64) -> bool {
        self.ran.iter().any(|(i, b)| (i, *b) == (id, born_ms))
    }

    /// Returns whether no further send is allowed on a route with a limit of `max_runners` runners.
    #[must_use]
    pub fn is_exhausted(&self, max_runners: u32) -> bool {
        self.sends >= max_runners + MAX_EXTRA_SENDS
    }

    /// Returns whether the request may be sent to a runner on a route with a limit of `max_runners` runners;
    /// `ended` returns whether the lifetime of a runner is over.
    pub fn allows(
        &self,
        id: &Name,
        born_ms: u64,
        max_runners: u32,
        ended: impl Fn(&Name, u64) -> bool,
    ) -> bool {
        if self.is_exhausted(max_runners) {
            return false;
        }
        let living = self.ran.iter().filter(|(i, b)| !ended(i, *b)).count();
        self.may_have_run(id, born_ms) || living < max_runners as usize
    }
}
