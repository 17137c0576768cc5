//! Faults of the store's contents: objects of another writer, short pages, forgotten history, cut watches;
//! besides, machines that have a share of a processor.
//!
//! They come in series, drawn in a stream of random numbers of their own, so that the other faults of a seed
//! stay the same with and without them.

use std::ops::Range;
use std::time::Duration;

use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::odd_object::{OddName, OddSpec};

/// A fault of the store's contents, or a share of a processor.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum NameFault {
    /// Another writer puts an object.
    #[display("another writer puts {_0}: {_1}")]
    Put(OddName, OddSpec),
    /// Another writer removes its object.
    #[display("another writer removes {_0}")]
    Remove(OddName),
    /// The store forgets its history, and cuts all watches.
    #[display("the store forgets its history")]
    Forget,
    /// The store cuts all watches.
    #[display("the store cuts all watches")]
    CutWatches,
    /// All instances have a share of a processor, by turns of running and standing still.
    #[display("all instances run {run_ms} ms of each {period_ms} ms, {for_ms} ms")]
    Share {
        /// Time for which they run in a turn.
        run_ms: u64,
        /// Duration of a turn.
        period_ms: u64,
        /// How long.
        for_ms: u64,
    },
}

/// A fault and when it comes, in milliseconds from the beginning of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameStep {
    /// When.
    pub at_ms: u64,
    /// What.
    pub fault: NameFault,
}

/// All faults of the store's contents in a soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamePlan {
    /// Maximum number of objects on a page.
    pub page_items: usize,
    /// Objects of another writer that are there before the first start.
    pub before: Vec<(OddName, OddSpec)>,
    /// Faults in the order of their time.
    pub steps: Vec<NameStep>,
}

/// Kinds of series.
#[derive(Clone, Copy, Debug)]
enum Series {
    Object,
    Forget,
    CutWatches,
}

/// The series of a plan.
const SERIES: [Series; 7] = [
    Series::Object,
    Series::Object,
    Series::Object,
    Series::Object,
    Series::Forget,
    Series::Forget,
    Series::CutWatches,
];

/// Sets the draws apart from those of the other faults.
const NAME_STREAM: u64 = 4;

/// Objects on a page, and objects before the first start.
const PAGE_ITEMS: [usize; 5] = [1, 2, 5, 50, 500];
const BEFORE: [usize; 4] = [0, 6, 12, 24];

/// Share of plans in which instances have a share of a processor for a while.
const PROCESSOR_SHARE: f64 = 0.5;
const RUN_MS: u64 = 25;
const PERIOD_MS: u64 = 100;

/// Time without faults at the beginning, and time before the end from which on no fault begins.
const CALM_MS: u64 = 1_000;
const AFTER_MS: u64 = 5_000;

/// Draws a plan for a load of `length`.
#[must_use]
pub fn draw(seed: u64, length: Duration) -> NamePlan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(NAME_STREAM);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let times = CALM_MS..length_ms.saturating_sub(AFTER_MS).max(CALM_MS + 1);
    let page_items = *PAGE_ITEMS.choose(&mut rng).unwrap_or(&1);
    let count = *BEFORE.choose(&mut rng).unwrap_or(&0);
    let before = (0..count).map(|_| (OddName::draw(&mut rng), OddSpec::draw(&mut rng)));
    let before = before.collect();
    let mut steps = Vec::new();
    for series in SERIES {
        steps.extend(draw_series(&mut rng, series, times.clone()));
    }
    if rng.random_bool(PROCESSOR_SHARE) {
        let at_ms = rng.random_range(times.clone());
        let fault = NameFault::Share {
            run_ms: RUN_MS,
            period_ms: PERIOD_MS,
            for_ms: rng.random_range(3_000..15_000).min(times.end - at_ms),
        };
        steps.push(NameStep { at_ms, fault });
    }
    steps.sort_by_key(|step| step.at_ms);
    NamePlan {
        page_items,
        before,
        steps,
    }
}

fn draw_series(rng: &mut impl Rng, series: Series, times: Range<u64>) -> Vec<NameStep> {
    let begin_ms = rng.random_range(times.clone());
    let gap_ms = rng.random_range(100..2_000);
    let count = rng.random_range(3..=9);
    let name = OddName::draw(rng);
    let at_ms = (0..count).map(|n| (n, begin_ms + n * gap_ms));
    let at_ms = at_ms.filter(|(_, at_ms)| *at_ms < times.end);
    let steps = at_ms.map(|(n, at_ms)| {
        let fault = match series {
            // Put, changed, removed, and put again.
            Series::Object if n % 3 == 2 => NameFault::Remove(name.clone()),
            Series::Object => NameFault::Put(name.clone(), OddSpec::draw(rng)),
            Series::Forget => NameFault::Forget,
            Series::CutWatches => NameFault::CutWatches,
        };
        NameStep { at_ms, fault }
    });
    steps.collect()
}
