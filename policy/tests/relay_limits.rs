//! What all instances together send to a runner that names a rate.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lifetime::Lifetime;
use jacinthweir_policy::relay::limits::{Fleet, Limits, Statement};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 20_000;

/// Time after which a named rate must be kept, length of a window in which it is counted, and what is allowed
/// there beyond one and a half times the rate.
const SETTLES_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const ALLOWED_BEYOND: f64 = 5.0;

/// Time that a word takes from one instance to another, in milliseconds.
const WORD_MS: (u64, u64) = (10, 1_200);

fn lifetime() -> Lifetime {
    Lifetime {
        runner: "i-1".into(),
        born_ms: 7,
    }
}

fn statement(rate: Option<f64>, age_ms: Millis) -> Statement {
    Statement {
        lifetime: lifetime(),
        rate,
        age_ms,
    }
}

fn fleet<'a>(own: &'a Name, live: &'a [Name]) -> Fleet<'a> {
    Fleet {
        own,
        live,
        most: live.len(),
    }
}

struct Replay {
    rng: ChaCha8Rng,
    names: Vec<Name>,
    limits: Vec<Limits>,
    /// When each instance hears of the rate.
    told_ms: Vec<u64>,
    /// How likely a request comes to each in a step.
    load: Vec<f64>,
    rate: f64,
    sent_ms: Vec<u64>,
}

impl Replay {
    fn of(seed: u64) -> Replay {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = [1, 2, 6, 12, 60, 300][rng.random_range(0..6)];
        let names = (0..count).map(|i| format!("front-{i}").into()).collect();
        let rate = [0.0, 0.4, 2.0, 5.6, 20.0, 80.0][rng.random_range(0..6)];
        let busiest: f64 = rng.random_range(0.02..1.0);
        Replay {
            names,
            limits: vec![Limits::default(); count],
            told_ms: (0..count)
                .map(|_| rng.random_range(WORD_MS.0..WORD_MS.1))
                .collect(),
            load: (0..count).map(|_| rng.random_range(0.0..busiest)).collect(),
            rate,
            sent_ms: Vec::new(),
            rng,
        }
    }

    /// Sends to the runner whenever it is allowed, from the time at which the runner names its rate.
    fn play(mut self) -> Replay {
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            for i in 0..self.names.len() {
                if now >= self.told_ms[i] && self.limits[i].is_idle() {
                    self.limits[i].hear(&statement(Some(self.rate), now), now);
                }
                if self.rng.random_bool(self.load[i]) {
                    self.offer(i, now);
                }
            }
        }
        self
    }

    fn offer(&mut self, i: usize, now: u64) {
        let fleet = fleet(&self.names[i], &self.names);
        if self.limits[i].allows(&lifetime(), fleet, now) {
            self.limits[i].sent(&lifetime(), fleet, now);
            // Its answer names the rate again.
            self.limits[i].said(&lifetime(), Some(self.rate), now);
            self.sent_ms.push(now);
        }
    }

    fn most_in_a_window(&self) -> usize {
        let starts = self.sent_ms.iter().filter(|at| **at >= SETTLES_MS);
        let within = |start: u64| {
            let window = self.sent_ms.iter().filter(|at| **at >= start);
            window.filter(|at| **at < start + WINDOW_MS).count()
        };
        starts.map(|start| within(*start)).max().unwrap_or(0)
    }

    fn allowed(&self) -> f64 {
        1.5 * self.rate * WINDOW_MS as f64 / 1e3 + ALLOWED_BEYOND
    }
}

/// Each instance keeps to a rate that is meant for all of them.
#[gtest]
fn all_instances_together_keep_to_a_named_rate() {
    for seed in 0..60 {
        let ended = Replay::of(seed).play();
        let most = ended.most_in_a_window() as f64;
        expect_that!(most, le(ended.allowed()), "seed {seed}");
    }
}

/// The check above can fail: where each takes the whole rate for itself, it does.
#[gtest]
fn instances_that_take_the_whole_rate_each_exceed_it() {
    let mut alone = Replay::of(0);
    alone.names = vec!["front-0".into(); 12];
    alone.limits = vec![Limits::default(); 12];
    alone.told_ms = vec![0; 12];
    alone.load = vec![0.5; 12];
    alone.rate = 5.6;
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for i in 0..12 {
            let own: Name = "front-0".into();
            let live = [own.clone()];
            alone.limits[i].hear(&statement(Some(5.6), 0), now);
            if alone.limits[i].allows(&lifetime(), fleet(&own, &live), now) {
                alone.limits[i].sent(&lifetime(), fleet(&own, &live), now);
                alone.sent_ms.push(now);
            }
        }
    }
    expect_that!(alone.most_in_a_window() as f64, gt(alone.allowed()));
}

/// Requests wait at all instances, and the runner idles.
#[gtest]
fn a_named_rate_is_used_where_requests_wait_everywhere() {
    for count in [1, 6, 60, 300] {
        let mut busy = Replay::of(1);
        busy.names = (0..count).map(|i| format!("front-{i}").into()).collect();
        busy.limits = vec![Limits::default(); count];
        busy.told_ms = vec![0; count];
        busy.load = vec![1.0; count];
        busy.rate = 5.6;
        let ended = busy.play();
        let wanted = 0.9 * 5.6 * LENGTH_MS as f64 / 1e3;
        expect_that!(ended.sent_ms.len() as f64, ge(wanted), "{count} instances");
    }
}

#[gtest]
fn the_latest_statement_holds_whoever_heard_it() {
    let own: Name = "one".into();
    let live = [own.clone()];
    let mut limits = Limits::default();
    expect_true!(limits.said(&lifetime(), Some(2.0), 1_000));
    limits.sent(&lifetime(), fleet(&own, &live), 1_000);
    expect_false!(limits.allows(&lifetime(), fleet(&own, &live), 1_010));

    expect_true!(limits.hear(&statement(None, 100), 1_200));
    expect_true!(limits.allows(&lifetime(), fleet(&own, &live), 1_210));
    // Said before, told after.
    expect_false!(limits.hear(&statement(Some(2.0), 150), 1_220));
    expect_true!(limits.allows(&lifetime(), fleet(&own, &live), 1_230));
}

/// A runner that names nothing sensible, or nothing for long, is sent to as before.
#[gtest]
fn what_is_no_rate_or_is_old_limits_nothing() {
    let own: Name = "one".into();
    let live = [own.clone()];
    let mut limits = Limits::default();
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        expect_false!(limits.said(&lifetime(), Some(rate), 0));
    }
    expect_false!(limits.said(&lifetime(), None, 0));
    expect_true!(limits.is_idle());
    limits.said(&lifetime(), Some(0.0), 0);
    limits.sent(&lifetime(), fleet(&own, &live), 0);
    expect_false!(limits.allows(&lifetime(), fleet(&own, &live), 3_000));
    expect_true!(limits.allows(&lifetime(), fleet(&own, &live), 60_000));
    limits.forget(60_000);
    expect_true!(limits.is_idle());
}
