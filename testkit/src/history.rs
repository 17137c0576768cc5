//! Histories of concurrent runs, and checks of the system's guarantees against them.
//!
//! A history is recorded outside the system: what callers saw, what the simulated upstreams ran,
//! what operators were answered. Nothing in it comes from the instances' own records of a request,
//! so a fault in those records cannot mask another. [`check`] is a pure function over a history:
//! one check per guarantee, each reporting the violations that it finds.

mod answers;
mod calls;
mod configuration;
mod layers;
mod leaving;
pub mod record;
mod violation;

pub use record::History;
pub use violation::Violation;

/// Time limits, in milliseconds, of the guarantees that hold "within seconds".
///
/// Generous compared with normal latencies, so that a slow machine causes no violation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From an upstream's leaving notice to the last new work that may reach it.
    pub leaving_ms: u64,
    /// From a commit's acceptance to its revision being in force on every running instance.
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

/// Returns every violation in a history, ordered by guarantee.
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
