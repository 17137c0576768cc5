//! Faults of a soak: series of the same fault, drawn from a seed, which overlap each other.

use std::time::Duration;

use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::Lethal;
use super::runner::Behaviour;

/// A fault. Services are those of the site: 0 for the model runners, 1 for the plain one.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// Runners of a service do something else with a share of their requests.
    #[display("service {service}: {behaviour} for {share:.2} of the requests, {for_ms} ms")]
    Runners {
        /// Service.
        service: usize,
        /// What they do.
        behaviour: Behaviour,
        /// Share of the requests.
        share: f64,
        /// How long.
        for_ms: u64,
    },
    /// Runners of a service say how many requests a second they take.
    #[display("service {service}: {count} runners take {per_s} a second, {for_ms} ms")]
    Limit {
        /// Service.
        service: usize,
        /// How many runners.
        count: usize,
        /// Requests a second for each.
        per_s: f64,
        /// How long.
        for_ms: u64,
    },
    /// Runners of a service crash and start again.
    #[display("service {service}: {count} runners crash, {down_ms} ms")]
    CrashRunners {
        /// Service.
        service: usize,
        /// How many.
        count: usize,
        /// How long they are down.
        down_ms: u64,
    },
    /// Instances are killed and start again at once.
    #[display("{count} instances are killed")]
    Kill {
        /// How many.
        count: usize,
    },
    /// Instances stand still.
    #[display("{count} instances stand still, {for_ms} ms")]
    Stop {
        /// How many.
        count: usize,
        /// How long.
        for_ms: u64,
    },
    /// An instance is shut down and starts again.
    #[display("an instance is shut down")]
    ShutDown,
    /// An instance is killed, and another one takes its place at another address.
    #[display("an instance is replaced")]
    Replace,
    /// Instances lose their paths to all runners.
    #[display("{count} instances are cut from runners ({}), {for_ms} ms", if *hangs { "hang" } else { "reset" })]
    Cut {
        /// How many.
        count: usize,
        /// Whether connections hang, rather than being reset.
        hangs: bool,
        /// How long.
        for_ms: u64,
    },
    /// The store answers nobody.
    #[display("the store is silent, {for_ms} ms")]
    SilentStore {
        /// How long.
        for_ms: u64,
    },
}

/// A fault and when it comes, in milliseconds from the beginning of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at_ms: u64,
    /// What.
    pub fault: Fault,
}

/// All faults of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Faults in the order of their time.
    pub steps: Vec<Step>,
    /// Requests that crash runners, if any.
    pub lethal: Option<Lethal>,
    /// Threads that keep processors busy.
    pub busy_threads: usize,
    /// Requests a second, relative to those of the site.
    pub rate: f64,
    /// Calls, relative to those of the site.
    pub call_weight: f64,
}

/// Time without faults at the beginning, and at the end.
const CALM_MS: u64 = 6_000;

/// Share of plans in which runners say how many requests they take.
const LIMIT_SHARE: f64 = 0.5;

/// Time between two periods of trouble.
const PAUSE_MS: u64 = 100;

/// Share of plans in which requests crash runners.
const LETHAL_SHARE: f64 = 0.2;

impl Plan {
    /// Draws a plan for a load of `length`.
    #[must_use]
    pub fn draw(seed: u64, length: Duration) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let end_ms = length_ms.saturating_sub(CALM_MS).max(CALM_MS + 1);
        let mut steps: Vec<Step> = (0..2)
            .flat_map(|service| draw_troubles(&mut rng, service, CALM_MS..end_ms))
            .collect();
        for _ in 0..rng.random_range(3..=5) {
            steps.extend(draw_series(&mut rng, CALM_MS..end_ms));
        }
        let is_lethal = rng.random_bool(LETHAL_SHARE);
        let lethal = [Lethal::Request, Lethal::Part].choose(&mut rng).copied();
        let busy_threads = *[0, 0, 4, 8].choose(&mut rng).unwrap_or(&0);
        let rate = *[1.0, 1.0, 1.5].choose(&mut rng).unwrap_or(&1.0);
        let call_weight = *[1.0, 8.0].choose(&mut rng).unwrap_or(&1.0);
        if rng.random_bool(LIMIT_SHARE) {
            steps.push(draw_limit(&mut rng, CALM_MS..end_ms));
        }
        steps.sort_by_key(|step| step.at_ms);
        Plan {
            steps,
            lethal: lethal.filter(|_| is_lethal),
            busy_threads,
            rate,
            call_weight,
        }
    }
}

/// Share of the time in which the runners of a service are in trouble.
const TROUBLE_SHARE: f64 = 0.8;

/// Draws what the runners of a service do, one period after the other.
fn draw_troubles(rng: &mut impl Rng, service: usize, times: std::ops::Range<u64>) -> Vec<Step> {
    let all = [
        Behaviour::Reset,
        Behaviour::HalfHead,
        Behaviour::HalfBody,
        Behaviour::Busy,
        Behaviour::Rest,
        Behaviour::Error,
        Behaviour::Silent,
    ];
    let mut steps = Vec::new();
    let mut at_ms = times.start;
    while at_ms < times.end {
        let for_ms = rng.random_range(2_000..10_000);
        if rng.random_bool(TROUBLE_SHARE) {
            let fault = Fault::Runners {
                service,
                behaviour: *all.choose(rng).unwrap_or(&Behaviour::Reset),
                share: *[0.3, 0.6, 1.0].choose(rng).unwrap_or(&1.0),
                for_ms,
            };
            steps.push(Step { at_ms, fault });
        }
        // The next period must not begin before this one has ended.
        at_ms += for_ms + PAUSE_MS;
    }
    steps
}

fn draw_limit(rng: &mut impl Rng, times: std::ops::Range<u64>) -> Step {
    let fault = Fault::Limit {
        service: usize::from(rng.random_bool(0.3)),
        count: rng.random_range(1..=3),
        per_s: *[0.5, 1.0, 3.0].choose(rng).unwrap_or(&1.0),
        for_ms: rng.random_range(9_000..18_000),
    };
    Step {
        at_ms: rng.random_range(times),
        fault,
    }
}

/// Draws a series of one kind of fault.
fn draw_series(rng: &mut impl Rng, times: std::ops::Range<u64>) -> Vec<Step> {
    let kind = rng.random_range(0..8);
    let gap_ms = rng.random_range(600..2_500);
    let begin_ms = rng.random_range(times.clone());
    let count = rng.random_range(3..=9);
    let at_ms = (0..count).map(|n| begin_ms + n * gap_ms);
    let at_ms = at_ms.filter(|at_ms| *at_ms < times.end);
    at_ms
        .map(|at_ms| Step {
            at_ms,
            fault: draw_fault(rng, kind),
        })
        .collect()
}

fn draw_fault(rng: &mut impl Rng, kind: u32) -> Fault {
    match kind {
        0 | 1 => Fault::Kill {
            count: rng.random_range(1..=4),
        },
        2 => Fault::Stop {
            count: rng.random_range(1..=4),
            for_ms: rng.random_range(300..2_500),
        },
        3 => Fault::ShutDown,
        4 => Fault::Replace,
        5 => Fault::Cut {
            count: rng.random_range(1..=4),
            hangs: rng.random_bool(0.5),
            for_ms: rng.random_range(500..4_000),
        },
        6 => Fault::CrashRunners {
            service: usize::from(rng.random_bool(0.2)),
            count: rng.random_range(1..=3),
            down_ms: rng.random_range(500..5_000),
        },
        _ => Fault::SilentStore {
            for_ms: rng.random_range(500..4_000),
        },
    }
}
