//! Bound on the work of a plan.
//!
//! The work grows with the number of runners, the layers of the model and the lengths of the ranges, all of
//! which come from outside. A plan that needs more than [`MAX_WORK`] is given up: it has no moves, and
//! the chains that exist stay as they are.

use std::cell::Cell;

/// Maximum work of the plan of one failure domain, in visits of a layer or runner: some tenths of a second
/// of a small instance's processor, and more than a thousand runners of a model of 80 layers need.
pub(super) const MAX_WORK: u64 = 40_000_000;

/// Work that is left for a plan.
#[derive(Debug)]
pub(super) struct WorkBudget(Cell<u64>);

impl WorkBudget {
    pub(super) fn new() -> WorkBudget {
        WorkBudget(Cell::new(MAX_WORK))
    }

    /// Takes `visits` from what is left. Returns whether it sufficed; otherwise nothing is left.
    pub(super) fn spend(&self, visits: usize) -> bool {
        let left = self.0.get().checked_sub(visits as u64);
        self.0.set(left.unwrap_or(0));
        left.is_some_and(|left| left > 0)
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }

    pub(super) fn spent(&self) -> u64 {
        MAX_WORK - self.0.get()
    }
}
