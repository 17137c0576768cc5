//! A short soak with objects of another writer in the store.

#[path = "soak/play.rs"]
mod play;

use googletest::prelude::*;
use jacinthweir_testkit::soak::fault::{LethalKind, Plan};
use jacinthweir_testkit::soak::site::Site;
use play::{LENGTH, play};

const SEED: u64 = 4;

/// Guards against names of another writer that make the lists of the store endless or partial, so that
/// instances never start or outgrow their memory.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn names_of_another_writer_end_no_instance() {
    let plan = Plan::draw(SEED, LENGTH, LethalKind::None).with_names(SEED, LENGTH);
    play(Site::MadeiraSonora, SEED, plan).await;
}
