//! Faults around the starts of instances: signals, predecessors, addresses, settings and the store.
//!
//! They come in series of one kind each, drawn in a stream of random numbers of their own, so that the other
//! faults of a seed stay the same with and without them.

use std::ops::Range;
use std::time::Duration;

use derive_more::Display;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::instance::PORTS;

/// A fault around the start of instances.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StartFault {
    /// Instances get SIGHUP.
    #[display("{count} instances get SIGHUP")]
    HangUp {
        /// How many.
        count: usize,
    },
    /// Instances are killed, and get SIGHUP after their start.
    #[display(
        "{count} instances are killed, and get SIGHUP {after_ms} ms after their runtime begins"
    )]
    HangUpAtStart {
        /// How many.
        count: usize,
        /// When, from the beginning of the program's runtime.
        after_ms: u64,
    },
    /// A successor starts at the addresses of an instance that is shutting down.
    #[display("an instance is shut down, and its successor starts beside it")]
    Succeed,
    /// A listening address is taken while an instance is down.
    #[display("an instance is killed, and its listener {listener} is taken by {by}, {for_ms} ms")]
    AddressTaken {
        /// Number of the listener.
        listener: usize,
        /// By what.
        by: Holder,
        /// How long.
        for_ms: u64,
    },
    /// The settings are cut off at the start.
    #[display("an instance is killed, and starts with {percent} % of its settings")]
    PartialSettings {
        /// How much of the file there is.
        percent: usize,
    },
    /// All instances are killed at the same moment.
    #[display("all instances are killed, and start within {within_ms} ms")]
    KillAll {
        /// Time within which they start again.
        within_ms: u64,
    },
    /// The store can't be reached while instances start.
    #[display("{count} instances are killed, and start without the store, {for_ms} ms")]
    StoreAway {
        /// How many.
        count: usize,
        /// How long.
        for_ms: u64,
    },
}

/// What takes an address.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Holder {
    /// Another listener.
    #[display("a listener")]
    Listener,
    /// The local end of an outgoing connection, as the kernel assigns them while nobody listens.
    #[display("an outgoing connection")]
    Connection,
}

/// A fault and when it comes, in milliseconds from the beginning of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartStep {
    /// When.
    pub at_ms: u64,
    /// What.
    pub fault: StartFault,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug)]
enum Kind {
    HangUp,
    Succeed,
    AddressTaken,
    PartialSettings,
    KillAll,
    StoreAway,
}

const KINDS: [Kind; 6] = [
    Kind::HangUp,
    Kind::Succeed,
    Kind::AddressTaken,
    Kind::PartialSettings,
    Kind::KillAll,
    Kind::StoreAway,
];

/// Sets the draws apart from those of the other faults.
const START_STREAM: u64 = 2;

/// Time without faults at the beginning, and time before the end from which on no fault begins.
const CALM_MS: u64 = 2_000;
const AFTER_MS: u64 = 6_000;

/// Draws one series of each kind for a load of `length`.
#[must_use]
pub fn draw(seed: u64, length: Duration) -> Vec<StartStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(START_STREAM);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let end_ms = length_ms.saturating_sub(AFTER_MS).max(CALM_MS + 1);
    let mut kinds = KINDS;
    kinds.shuffle(&mut rng);
    let mut steps = Vec::new();
    for kind in kinds {
        steps.extend(draw_series(&mut rng, kind, CALM_MS..end_ms));
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

fn draw_series(rng: &mut impl Rng, kind: Kind, times: Range<u64>) -> Vec<StartStep> {
    let begin_ms = rng.random_range(times.clone());
    let gap_ms = rng.random_range(500..4_000);
    let count = rng.random_range(2..=5);
    let at_ms = (0..count).map(|n| begin_ms + n * gap_ms);
    let at_ms = at_ms.filter(|at_ms| *at_ms < times.end);
    at_ms
        .map(|at_ms| StartStep {
            at_ms,
            fault: draw_fault(rng, kind),
        })
        .collect()
}

fn draw_fault(rng: &mut impl Rng, kind: Kind) -> StartFault {
    match kind {
        Kind::HangUp => match rng.random_bool(0.3) {
            true => StartFault::HangUp {
                count: rng.random_range(1..=6),
            },
            false => StartFault::HangUpAtStart {
                count: rng.random_range(1..=4),
                after_ms: *[0, 0, 0, 1, 5].choose(rng).unwrap_or(&0),
            },
        },
        Kind::Succeed => StartFault::Succeed,
        Kind::AddressTaken => StartFault::AddressTaken {
            listener: rng.random_range(0..PORTS.len()),
            by: *[Holder::Listener, Holder::Connection]
                .choose(rng)
                .unwrap_or(&Holder::Listener),
            for_ms: rng.random_range(200..2_000),
        },
        Kind::PartialSettings => StartFault::PartialSettings {
            percent: *[0, 50, 99].choose(rng).unwrap_or(&0),
        },
        Kind::KillAll => StartFault::KillAll {
            within_ms: *[1, 500, 2_000].choose(rng).unwrap_or(&2_000),
        },
        Kind::StoreAway => StartFault::StoreAway {
            count: rng.random_range(1..=6),
            for_ms: rng.random_range(500..6_000),
        },
    }
}
