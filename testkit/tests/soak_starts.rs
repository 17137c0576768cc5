//! A short soak with faults around the starts of instances.

#[path = "soak/play.rs"]
mod play;

use googletest::prelude::*;
use jacinthweir_testkit::soak::fault::{LethalKind, Plan};
use jacinthweir_testkit::soak::site::Site;
use play::{LENGTH, play};

const SEED: u64 = 1;

/// Guards against instances that end by themselves when their address, their settings or the store is missing
/// for a moment at their start, or when a signal comes early.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_outlive_what_passes_at_their_starts() {
    let plan = Plan::draw(SEED, LENGTH, LethalKind::None).with_starts(SEED, LENGTH);
    play(Site::MadeiraSonora, SEED, plan).await;
}
