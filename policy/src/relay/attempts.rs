//! Limit on the runners and sends of one request.
//!
//! A route sets the maximum number of runners that may run one request. A runner whose lifetime has
//! ended no longer counts, and one that is tried again counts once. Only the first runner of a chain
//! counts: it stays alive when a later stage dies, and has run the request. Otherwise a request that
//! is resumed after each dead stage would run on three runners where two are allowed.
//!
//! The limits hold for the request, not for each instance that sends it: an instance that passes a request
//! on says how often it was sent and where it may have run, and is told the same with the answer.

use crate::prelude::*;

/// Maximum number of sends of one request beyond the route's number of runners. Each lost runner may
/// cost one send; a request that loses more than two runners is given up.
const MAX_EXTRA_SENDS: u32 = 2;

/// Runners that may have run a request, by name and start of their lifetime.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    ran: Vec<(Name, u64)>,
    sends: u32,
    /// Sends by other instances that each may have run on a runner which is not known.
    untold: u32,
}

impl Attempts {
    /// Returns the record of a request that another instance sent `sends` times, and that may have run on
    /// the runners `ran` and on `untold` others.
    #[must_use]
    pub fn resumed(ran: Vec<(Name, u64)>, sends: u32, untold: u32) -> Attempts {
        Attempts { ran, sends, untold }
    }

    /// Returns the runners that may have run the request.
    #[must_use]
    pub fn ran(&self) -> &[(Name, u64)] {
        &self.ran
    }

    /// Returns how often the request was sent.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the number of sends that each may have run on a runner which is not known.
    #[must_use]
    pub fn untold(&self) -> u32 {
        self.untold
    }

    /// Records what another instance tells of the request, which was passed to it with this record.
    pub fn record_forwarded(&mut self, told: Attempts) {
        self.sends = self.sends.max(told.sends);
        self.untold = self.untold.max(told.untold);
        for (id, born_ms) in told.ran {
            if !self.may_have_run(&id, born_ms) {
                self.ran.push((id, born_ms));
            }
        }
    }

    /// Records that another instance, to which the request was passed, may have sent it once without telling
    /// it.
    pub fn record_untold(&mut self) {
        self.sends = self.sends.saturating_add(1);
        self.untold = self.untold.saturating_add(1);
    }

    /// Records that the request is sent to a runner.
    pub fn record_sent(&mut self, id: &Name, born_ms: u64) {
        self.sends = self.sends.saturating_add(1);
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
        self.sends >= max_runners.saturating_add(MAX_EXTRA_SENDS)
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
        self.may_have_run(id, born_ms)
            || living.saturating_add(self.untold as usize) < max_runners as usize
    }
}
