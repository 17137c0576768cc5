//! Total rate that all instances send to a runner with an announced rate limit.

use googletest::prelude::*;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::rate_limits::{Fleet, MAX_RATES, RateReport, RunnerRateLimits};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 20_000;

/// Time after which an announced rate has to be kept, length of the window in which requests are counted, and
/// number of requests allowed in it beyond 1.5 times the rate.
const SETTLES_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const ALLOWED_BEYOND: f64 = 5.0;

/// Minimum and maximum time until an instance receives a report, in milliseconds.
const REPORT_DELAY_MS: (u64, u64) = (10, 1_200);

fn lifetime() -> Lifetime {
    Lifetime {
        runner: "i-1".into(),
        born_ms: 7,
    }
}

fn report(rate: Option<f64>, age_ms: Millis) -> RateReport {
    RateReport {
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

struct Simulation {
    rng: ChaCha8Rng,
    names: Vec<Name>,
    limits: Vec<RunnerRateLimits>,
    /// Time at which each instance receives the rate.
    informed_ms: Vec<u64>,
    /// Probability of a request at each instance in a step.
    load: Vec<f64>,
    rate: f64,
    sent_ms: Vec<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = [1, 2, 6, 12, 60, 300][rng.random_range(0..6)];
        let names = (0..count).map(|i| format!("front-{i}").into()).collect();
        let rate = [0.0, 0.4, 2.0, 5.6, 20.0, 80.0][rng.random_range(0..6)];
        let busiest: f64 = rng.random_range(0.02..1.0);
        Simulation {
            names,
            limits: vec![RunnerRateLimits::default(); count],
            informed_ms: (0..count)
                .map(|_| rng.random_range(REPORT_DELAY_MS.0..REPORT_DELAY_MS.1))
                .collect(),
            load: (0..count).map(|_| rng.random_range(0.0..busiest)).collect(),
            rate,
            sent_ms: Vec::new(),
            rng,
        }
    }

    /// Sends to the runner whenever allowed, from the announcement of the rate on.
    fn run(mut self) -> Simulation {
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            for i in 0..self.names.len() {
                if now >= self.informed_ms[i] && self.limits[i].is_idle() {
                    self.limits[i].merge(&report(Some(self.rate), now), now);
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
            self.limits[i].record_sent(&lifetime(), fleet, now);
            // The answer announces the rate again.
            self.limits[i].record_answer(&lifetime(), Some(self.rate), now);
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

/// An announced rate is meant for all instances together, not for each.
#[gtest]
fn all_instances_together_keep_to_an_announced_rate() {
    for seed in 0..60 {
        let ended = Simulation::new(seed).run();
        let most = ended.most_in_a_window() as f64;
        expect_that!(most, le(ended.allowed()), "seed {seed}");
    }
}

/// The check above fails if each instance applies the total rate to its own requests.
#[gtest]
fn instances_that_each_apply_the_total_rate_exceed_it() {
    let mut alone = Simulation::new(0);
    alone.names = vec!["front-0".into(); 12];
    alone.limits = vec![RunnerRateLimits::default(); 12];
    alone.informed_ms = vec![0; 12];
    alone.load = vec![0.5; 12];
    alone.rate = 5.6;
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for i in 0..12 {
            let own: Name = "front-0".into();
            let live = [own.clone()];
            alone.limits[i].merge(&report(Some(5.6), 0), now);
            if alone.limits[i].allows(&lifetime(), fleet(&own, &live), now) {
                alone.limits[i].record_sent(&lifetime(), fleet(&own, &live), now);
                alone.sent_ms.push(now);
            }
        }
    }
    expect_that!(alone.most_in_a_window() as f64, gt(alone.allowed()));
}

/// The runner must not idle while requests are queued at all instances.
#[gtest]
fn an_announced_rate_is_used_up_if_requests_wait_everywhere() {
    for count in [1, 6, 60, 300] {
        let mut busy = Simulation::new(1);
        busy.names = (0..count).map(|i| format!("front-{i}").into()).collect();
        busy.limits = vec![RunnerRateLimits::default(); count];
        busy.informed_ms = vec![0; count];
        busy.load = vec![1.0; count];
        busy.rate = 5.6;
        let ended = busy.run();
        let wanted = 0.9 * 5.6 * LENGTH_MS as f64 / 1e3;
        expect_that!(ended.sent_ms.len() as f64, ge(wanted), "{count} instances");
    }
}

#[gtest]
fn the_latest_report_applies_whichever_instance_received_it() {
    let own: Name = "one".into();
    let live = [own.clone()];
    let mut limits = RunnerRateLimits::default();
    expect_true!(limits.record_answer(&lifetime(), Some(2.0), 1_000));
    limits.record_sent(&lifetime(), fleet(&own, &live), 1_000);
    expect_false!(limits.allows(&lifetime(), fleet(&own, &live), 1_010));

    expect_true!(limits.merge(&report(None, 100), 1_200));
    expect_true!(limits.allows(&lifetime(), fleet(&own, &live), 1_210));
    // Announced earlier, received later.
    expect_false!(limits.merge(&report(Some(2.0), 150), 1_220));
    expect_true!(limits.allows(&lifetime(), fleet(&own, &live), 1_230));
}

/// Invalid and expired rates do not limit a runner.
#[gtest]
fn invalid_and_expired_rates_limit_nothing() {
    let own: Name = "one".into();
    let live = [own.clone()];
    let mut limits = RunnerRateLimits::default();
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        expect_false!(limits.record_answer(&lifetime(), Some(rate), 0));
    }
    expect_false!(limits.record_answer(&lifetime(), None, 0));
    expect_true!(limits.is_idle());
    limits.record_answer(&lifetime(), Some(0.0), 0);
    limits.record_sent(&lifetime(), fleet(&own, &live), 0);
    expect_false!(limits.allows(&lifetime(), fleet(&own, &live), 3_000));
    expect_true!(limits.allows(&lifetime(), fleet(&own, &live), 60_000));
    limits.expire(60_000);
    expect_true!(limits.is_idle());
}

/// Plays instances of which six tenths are killed at once and start again. Each of them hears of the rate at
/// its start, and of the other instances up to a second later.
fn play_kill(count: usize, rate: f64, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.names = (0..count).map(|i| format!("front-{i}").into()).collect();
    simulation.rate = rate;
    let mut limits = vec![RunnerRateLimits::default(); count];
    let mut hears_others_ms = vec![0; count];
    let killed_ms = simulation.rng.random_range(5_000..10_000) / STEP_MS * STEP_MS;
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for i in 0..count {
            if now == killed_ms && simulation.rng.random_bool(0.6) {
                limits[i] = RunnerRateLimits::started(now);
                hears_others_ms[i] = now + simulation.rng.random_range(300..1_000);
            }
            limits[i].merge(&report(Some(rate), 0), now);
            let known = match now < hears_others_ms[i] {
                true => &simulation.names[i..=i],
                false => &simulation.names[..],
            };
            let fleet = fleet(&simulation.names[i], known);
            if limits[i].allows(&lifetime(), fleet, now) {
                limits[i].record_sent(&lifetime(), fleet, now);
                simulation.sent_ms.push(now);
            }
        }
    }
    simulation
}

/// Guards against instances that start again, each with a full bucket and the whole rate, since it takes
/// itself for the only one.
#[gtest]
fn instances_that_start_again_together_keep_an_announced_rate() {
    for count in [6, 60] {
        for rate in [2.0, 5.6, 20.0] {
            for seed in 0..6 {
                let most = play_kill(count, rate, seed).most_in_a_window();
                let allowed = 1.5 * rate * WINDOW_MS as f64 / 1e3 + ALLOWED_BEYOND;
                expect_that!(
                    most as f64,
                    le(allowed),
                    "{count} instances, {rate}/s, {seed}"
                );
            }
        }
    }
}

/// Guards against memory that grows with the rates that other instances report, of runners that nobody has.
#[gtest]
fn rates_of_more_runners_than_a_fleet_has_are_dropped() {
    let mut limits = RunnerRateLimits::default();
    let report = |n: u64| RateReport {
        lifetime: Lifetime {
            runner: format!("i-{n}").into(),
            born_ms: n,
        },
        rate: Some(1.0),
        age_ms: 0,
    };
    for n in 0..=MAX_RATES as u64 {
        let is_kept = limits.merge(&report(n), 1);
        expect_that!(is_kept, eq(n < MAX_RATES as u64));
    }
    expect_that!(limits.recent_reports(1, false, 1).len(), eq(MAX_RATES));
}
