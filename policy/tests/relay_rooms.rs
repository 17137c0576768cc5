//! Room along chains that have runners in common.

#[path = "support/relay.rs"]
mod support;

use googletest::prelude::*;
use jacinthweir_policy::relay::chain::{Chain, chains};
use jacinthweir_policy::relay::rooms::Occupancy;
use jacinthweir_policy::relay::runners::Runners;
use support::{SERVICE, engine, runner};

/// One domain: two holders of the first half, and one of the second.
fn two_heads() -> Runners {
    let mut runners = Runners::default();
    for (id, kind, layers) in [
        ("first", "a100", (0, 28)),
        ("other", "a100", (0, 28)),
        ("rest-1", "a100", (28, 54)),
        ("rest-2", "a100", (54, 80)),
    ] {
        let mut entry = runner(id, "d", kind);
        entry.layers = Some(layers);
        runners.put(&entry);
    }
    runners
}

fn only_chain(runners: &Runners) -> Chain {
    let mut found = chains(runners, SERVICE, &engine(), 0);
    assert_eq!(found.len(), 1);
    found.remove(0)
}

/// The chain gets another first runner while a hundred streams pass through the old one. The other
/// runners of the chain still hold their tokens. When the new chain counted as empty, all that
/// waited was sent there at once, and each of 200 requests was refused for want of memory.
#[gtest]
fn a_chain_with_another_first_runner_has_the_room_that_the_old_one_leaves() {
    let mut runners = two_heads();
    let old = only_chain(&runners);
    let mut occupancy = Occupancy::default();
    occupancy.add(&old.stages, 80_000.0);
    expect_that!(occupancy.used_tokens(&old), near(80_000.0, 1.0));

    runners.remove(&old.head().id, 0);
    let new = only_chain(&runners);
    expect_that!(new.head().id, not(eq(&old.head().id)));
    let left = new.room_tokens - occupancy.used_tokens(&new);
    let empty = Occupancy::default();
    expect_that!(empty.used_tokens(&new), near(0.0, 1.0));
    // The tightest of the runners that stayed holds 26 layers.
    let tightest = &new.stages[1];
    let expected = (tightest.room - 80_000.0 * tightest.count()) / tightest.count();
    expect_that!(left, near(expected, 1.0));
    expect_that!(left, lt(new.room_tokens - 50_000.0));
}
