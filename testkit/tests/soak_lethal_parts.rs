//! A short soak with a lethal part of prompts.

#[path = "soak/play.rs"]
mod play;

use googletest::prelude::*;
use jacinthweir_testkit::soak::fault::{LethalKind, Plan};
use jacinthweir_testkit::soak::site::Site;
use play::{LENGTH, play};

const SEED: u64 = 5;

/// Guards against a quarantine of what the bystanders of crashes share, in place of the lethal part.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_are_served_beside_lethal_parts() {
    play(
        Site::TltRoster,
        SEED,
        Plan::draw(SEED, LENGTH, LethalKind::Part),
    )
    .await;
}
