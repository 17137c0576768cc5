//! What an instance that has just started assumes about the others.
//!
//! Quotas of the whole fleet are divided among its instances. A new instance knows neither how many there
//! are nor what they use, and a whole failure domain may start at the same time. If each took itself for the
//! only one, together they would use the quota many times.

use crate::prelude::*;

/// Minimum number of instances that a quota is divided by: instances that are not known yet use it as well.
pub(crate) const MIN_INSTANCES: usize = 6;

/// Time after its start within which an instance hears of all others, in milliseconds.
pub(crate) const SETTLING_MS: Millis = 3_000;
