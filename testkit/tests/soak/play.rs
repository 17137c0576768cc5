//! A short soak. All soaks of one process use the same addresses, so that each test program plays one.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_testkit::fleet::process::program;
use jacinthweir_testkit::soak::fault::{LethalKind, Plan};
use jacinthweir_testkit::soak::observed::End;
use jacinthweir_testkit::soak::site::Site;
use jacinthweir_testkit::soak::{self, SoakCfg};

/// Plays a soak that has to break no rule.
pub async fn play(site: Site, seed: u64, lethal: LethalKind) {
    let folder = tempfile::tempdir().expect("a folder");
    let length = Duration::from_secs(30);
    let cfg = SoakCfg {
        program: program("jacinthweir").expect("the program"),
        knows_first_start: true,
        site,
        seed,
        length,
        plan: Plan::draw(seed, length, lethal),
        folder: folder.path().to_owned(),
    };
    let result = soak::run(cfg).await.expect("it is played");
    expect_that!(result.violations, is_empty());
    expect_that!(result.ends.get(&End::Served), some(gt(&0)));
}
