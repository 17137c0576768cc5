//! The retry budget of a service while instances are killed and start again, lose their callers, or hear little
//! of each other.

#[path = "support/retry_fleet.rs"]
mod support;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::shared_retry_budget::SharedRetryBudgetConfig;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::Fleet;

const SEEDS: u64 = 120;

/// When answers begin to be lost, in milliseconds: all instances have run for a window.
const TROUBLE_MS: Millis = 12_000;
const END_MS: Millis = 40_000;

fn config(slack: f64) -> SharedRetryBudgetConfig {
    SharedRetryBudgetConfig {
        ratio: 0.2,
        slack,
        window_ms: 10_000,
    }
}

/// Which instances are killed.
#[derive(Clone, Copy, Debug)]
enum Kills {
    /// A share of all at once, so many times within a window.
    Share { times: usize },
    /// All at once, so that nobody knows what they spent.
    All,
    /// A whole failure domain, so that none of its members knows what the others spent.
    Domain,
    /// All, one after the other.
    InTurn,
}

impl Kills {
    /// Returns the times and shares of the kills, the first at a random moment of a window.
    fn times(self, instances: usize, rng: &mut ChaCha8Rng) -> Vec<Millis> {
        let first = rng.random_range(TROUBLE_MS..TROUBLE_MS + 10_000) / 10 * 10;
        match self {
            Kills::Share { times } => {
                let more = (1..times).map(|_| first + rng.random_range(0..900) * 10);
                std::iter::once(first).chain(more).collect()
            }
            Kills::All | Kills::Domain => vec![first],
            Kills::InTurn => {
                let gap = rng.random_range(10..150) * 10;
                (0..instances as Millis).map(|i| first + i * gap).collect()
            }
        }
    }
}

/// Plays a fleet whose runners lose answers and crash while its instances are killed.
fn play(sizes: &[usize], slack: f64, kills: Kills, seed: u64) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let failure_rate = rng.random_range(0.1..0.6);
    let streams = rng.random_range(0..40);
    let crashes = [0; 2].map(|_| rng.random_range(TROUBLE_MS..END_MS) / 10 * 10);
    let kill_times = kills.times(sizes.iter().sum(), &mut rng);
    let mut fleet = Fleet::start(sizes, config(slack), rng);
    for now in (0..END_MS).step_by(10) {
        fleet.tick(now);
        let failure_rate = if now < TROUBLE_MS { 0.0 } else { failure_rate };
        fleet.request(failure_rate, now);
        for (i, _) in kill_times.iter().enumerate().filter(|(_, t)| **t == now) {
            match kills {
                Kills::Share { .. } => fleet.kill_share(0.6, now),
                Kills::All => fleet.kill_share(1.0, now),
                Kills::Domain => fleet.kill_domain(now),
                Kills::InTurn => fleet.kill(i, now),
            }
        }
        if crashes.contains(&now) {
            fleet.retry_streams(streams, now);
        }
    }
    fleet
}

/// Sizes of the failure domains of a large fleet.
const LARGE: [usize; 4] = [18, 19, 21, 13];

/// Plays a fleet of whose requests and streams most fail at once, and which loses half of its exchanges.
fn play_flood(sizes: &[usize], seed: u64) -> Fleet {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(sizes, config(326.0), rng);
    fleet.lose_exchanges(0.5);
    for now in (0..TROUBLE_MS + 11_000).step_by(10) {
        fleet.tick(now);
        let is_calm = now < TROUBLE_MS;
        for _ in 0..5 {
            fleet.request(if is_calm { 0.0 } else { 0.9 }, now);
        }
        if !is_calm && (now - TROUBLE_MS).is_multiple_of(4_000) {
            fleet.retry_streams(17, now);
        }
    }
    fleet
}

/// Guards against instances that borrow again and again on counts that do not show yet what the others
/// borrowed.
#[gtest]
fn loans_are_not_renewed_before_others_can_know_of_them() {
    for seed in 0..4 {
        let (excess, from) = play_flood(&[30, 30, 31], seed).worst_excess();
        expect_that!(excess, le(0.0), "seed {seed}, window from {from} ms");
    }
}

/// Where the callers of most instances go after the trouble began.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Their instances are killed.
    Killed,
    /// Their instances are up and get no further requests.
    Left,
}

/// Plays a large fleet of whose requests and streams most fail, and 60% of whose callers move to the other
/// instances.
fn play_move(cause: Move, seed: u64) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let moved_ms = rng.random_range(TROUBLE_MS + 500..TROUBLE_MS + 9_000) / 10 * 10;
    let mut fleet = Fleet::start(&LARGE, config(326.0), rng);
    for now in (0..TROUBLE_MS + 16_000).step_by(10) {
        fleet.tick(now);
        let is_calm = now < TROUBLE_MS;
        for _ in 0..3 {
            fleet.request(if is_calm { 0.0 } else { 0.9 }, now);
        }
        if !is_calm && (now - TROUBLE_MS).is_multiple_of(4_000) {
            fleet.retry_streams(17, now);
        }
        match cause {
            Move::Killed if now == moved_ms => fleet.kill_share(0.6, now),
            Move::Left if now == moved_ms => fleet.move_callers(0.6),
            Move::Killed | Move::Left => {}
        }
    }
    fleet
}

/// Guards against instances that retry for the requests of callers that came to them, while the instances
/// that these left have spent as much within the same window.
#[gtest]
fn callers_that_move_bring_no_second_share_of_the_retry_budget() {
    for seed in 0..6 {
        for cause in [Move::Killed, Move::Left] {
            let (excess, from) = play_move(cause, seed).worst_excess();
            let case = format!("{cause:?}, seed {seed}, window from {from} ms");
            expect_that!(excess, le(0.0), "{case}");
        }
    }
}

/// Instances that were killed spent their part of the retry budget again, or the others were lent what the
/// dead had spent, so that runners in trouble got more retries than allowed.
#[gtest]
fn killed_instances_do_not_spend_the_retry_budget_again() {
    let fleets = [
        (&[3, 2, 1][..], 196.0),
        (&[2, 2, 2], 196.0),
        (&[2], 100.0),
        (&[10, 10, 10], 260.0),
    ];
    let kills = [
        Kills::Share { times: 1 },
        Kills::Share { times: 2 },
        Kills::Share { times: 3 },
        Kills::All,
        Kills::Domain,
        Kills::InTurn,
    ];
    for (sizes, slack) in fleets {
        for seed in 0..SEEDS {
            let kills = kills[seed as usize % kills.len()];
            let (excess, from) = play(sizes, slack, kills, seed).worst_excess();
            let case = format!("{sizes:?}, {kills:?}, seed {seed}, window from {from} ms");
            expect_that!(excess, le(0.0), "{case}");
        }
    }
}
