//! A short soak. All soaks of one process use the same addresses, so that each test program plays one.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_testkit::fleet::process::program;
use jacinthweir_testkit::soak::fault::Plan;
use jacinthweir_testkit::soak::observed::End;
use jacinthweir_testkit::soak::site::Site;
use jacinthweir_testkit::soak::{self, SoakCfg};

/// Duration of the load.
pub const LENGTH: Duration = Duration::from_secs(30);

/// Time for a start, generous on a machine that does other things besides.
const READY_BOUND: Duration = Duration::from_secs(15);

/// Plays a soak that has to break no rule.
pub async fn play(site: Site, seed: u64, plan: Plan) {
    let folder = tempfile::tempdir().expect("a folder");
    let cfg = SoakCfg {
        program: program("jacinthweir").expect("the program"),
        knows_first_start: true,
        site,
        seed,
        length: LENGTH,
        ready_bound: READY_BOUND,
        plan,
        folder: folder.path().to_owned(),
    };
    let result = soak::run(cfg).await.expect("it is played");
    expect_that!(result.violations, is_empty());
    expect_that!(result.ends.get(&End::Served), some(gt(&0)));
}
