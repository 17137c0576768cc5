//! How closely an instance follows the store.
//!
//! Each call to the store counts, a waiting watch too, and its rates grow more slowly than the
//! fleet. A watch brings a change at once however long it waits; that it ends often is for another
//! reason: a watch whose connection fell silent hides changes, and an answer, even an empty one,
//! shows that nothing was missed. For that it is enough that *some* instance's watch ended a
//! moment ago, as long as the others hear what it saw. So watches wait the longer the more
//! instances there are, and the fleet as a whole ends as many in a second as [`FEW`] instances do.
//! Instances tell one another which version they have, up to which revision they know the runners,
//! and which runners leave.

use crate::prelude::*;

/// Instances that follow the store each for itself.
const FEW: usize = 6;

/// The longest that any watch waits, in milliseconds; the store allows thirty seconds.
const LONGEST_MS: Millis = 20_000;

/// Age of the confirmation from which on an instance reads the configuration itself, in
/// milliseconds. Confirmations come from the others as well, and are about a second old when they
/// have reached everybody.
const CONFIRM_MS: Millis = 1_400;

/// What is added to that at the most: the first that reads spares the others the call.
const CONFIRM_SPREAD_MS: f64 = 600.0;

/// How long a watch waits that waits `base` milliseconds where there are few instances.
#[must_use]
pub fn watch_ms(base: Millis, instances: usize) -> Millis {
    let times = (instances as f64 / FEW as f64).max(1.0);
    ((base as f64 * times) as Millis).min(LONGEST_MS)
}

/// Whether an instance whose configuration was confirmed `age` milliseconds ago reads it now;
/// `draw` is a random number from 0 to 1.
#[must_use]
pub fn should_confirm(age: Option<Millis>, draw: f64) -> bool {
    let due = CONFIRM_MS + (draw * CONFIRM_SPREAD_MS) as Millis;
    age.is_some_and(|age| age >= due)
}

/// What other instances know of the store that this one may have missed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behind {
    others: u64,
    checked: u64,
}

impl Behind {
    /// Another instance has seen `revision`.
    pub fn heard(&mut self, revision: u64) {
        self.others = self.others.max(revision);
    }

    /// Whether another instance has seen more than `own`, and the store was not asked since.
    #[must_use]
    pub fn is_behind(&self, own: u64) -> bool {
        self.others > own.max(self.checked)
    }

    /// The store is asked. What it does not show now was of an object that is gone: without this
    /// an instance that started later would ask for ever.
    pub fn asked(&mut self) {
        self.checked = self.others;
    }
}
