//! Histories of concurrent runs, and what must hold of them.
//!
//! A history is put together from outside the system: what callers saw, what the stand-ins ran,
//! what operators were told. Nothing in it comes from the instances' own account of a request,
//! so a fault in that account cannot hide another. [`check`] is a pure function over a history:
//! one check a promise of the brief, each naming what it found.

mod answers;
mod calls;
mod configuration;
mod layers;
mod leaving;
pub mod record;
mod violation;

pub use record::History;
pub use violation::Violation;

/// How long what must happen "within seconds" may take, in milliseconds. Limits of the promises,
/// far above what is measured, so that a slow machine fails none.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From an upstream's word that it leaves to the last new work that reaches it.
    pub leaving_ms: u64,
    /// From a commit's acceptance to its being in force on every instance that runs.
    pub in_force_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            leaving_ms: 5_000,
            in_force_ms: 13_000,
        }
    }
}

/// Every violation in a history, in the order of the promises.
#[must_use]
pub fn check(history: &History, limits: &Limits) -> Vec<Violation> {
    let mut found = Vec::new();
    layers::check(history, &mut found);
    answers::check(history, &mut found);
    calls::check(history, &mut found);
    leaving::check(history, limits, &mut found);
    configuration::check(history, limits, &mut found);
    found
}
