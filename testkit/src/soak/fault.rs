//! Faults of a soak: series of the same fault, drawn from a seed, which overlap each other.

use std::time::Duration;

use argh::FromArgValue;
use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::Lethal;
use super::name_fault::{self, NamePlan};
use super::runner::Behaviour;
use super::start_fault::{self, StartStep};

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

/// Requests that crash runners, for a while.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{lethal}, {per_s} a second, {for_ms} ms")]
pub struct Wave {
    /// When they begin to come, in milliseconds from the beginning of the load.
    pub at_ms: u64,
    /// How long they come.
    pub for_ms: u64,
    /// What is lethal.
    pub lethal: Lethal,
    /// Requests a second.
    pub per_s: f64,
}

/// What crashes runners in a soak.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum LethalKind {
    /// As the seed draws it, in a share of the plans.
    #[default]
    #[display("drawn")]
    Drawn,
    /// Nothing.
    #[display("none")]
    None,
    /// One request, from the first moment on.
    #[display("request")]
    Request,
    /// Parts of prompts, in waves.
    #[display("part")]
    Part,
}

impl FromArgValue for LethalKind {
    fn from_arg_value(text: &str) -> Result<Self, String> {
        match text {
            "drawn" => Ok(LethalKind::Drawn),
            "none" => Ok(LethalKind::None),
            "request" => Ok(LethalKind::Request),
            "part" => Ok(LethalKind::Part),
            _ => Err(format!("`{text}` is not drawn, none, request or part")),
        }
    }
}

/// All faults of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Faults in the order of their time.
    pub steps: Vec<Step>,
    /// Requests that crash runners.
    pub waves: Vec<Wave>,
    /// Faults around the starts of instances, in the order of their time.
    pub starts: Vec<StartStep>,
    /// Faults of the store's contents.
    pub names: Option<NamePlan>,
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

/// Requests a second that crash runners, if one request does.
const LETHAL_PER_S: f64 = 4.0;

/// Time before the end at which the last wave ends, in milliseconds.
const AFTER_WAVES_MS: u64 = 3_000;

/// Share of plans in which one lethal part comes all the time.
const ONE_WAVE: f64 = 0.5;

/// Share of waves in which a former lethal part comes again.
const COMES_AGAIN: f64 = 0.3;

/// Sets the draws of waves apart from those of the other faults, which stay the same with and without them.
const WAVE_STREAM: u64 = 1;

impl Plan {
    /// Draws a plan for a load of `length`. While lethal parts are asked for, the model runners are in no
    /// other trouble but crashes, so that it shows what becomes of sound requests.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, lethal_kind: LethalKind) -> Plan {
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
        let drawn = [LethalKind::Request, LethalKind::Part];
        let drawn = drawn.choose(&mut rng).copied();
        let busy_threads = *[0, 0, 4, 8].choose(&mut rng).unwrap_or(&0);
        let rate = *[1.0, 1.0, 1.5].choose(&mut rng).unwrap_or(&1.0);
        let call_weight = *[1.0, 8.0].choose(&mut rng).unwrap_or(&1.0);
        if rng.random_bool(LIMIT_SHARE) {
            steps.push(draw_limit(&mut rng, CALM_MS..end_ms));
        }
        steps.sort_by_key(|step| step.at_ms);
        if lethal_kind == LethalKind::Part {
            let is_trouble = |fault| matches!(fault, Fault::Runners { service: 0, .. });
            steps.retain(|step| !is_trouble(step.fault));
        }
        let kind = match lethal_kind {
            LethalKind::Drawn if is_lethal => drawn.unwrap_or_default(),
            LethalKind::Drawn => LethalKind::None,
            LethalKind::None | LethalKind::Request | LethalKind::Part => lethal_kind,
        };
        Plan {
            steps,
            waves: draw_waves(seed, length_ms, kind),
            starts: Vec::new(),
            names: None,
            busy_threads,
            rate,
            call_weight,
        }
    }

    /// Adds faults around the starts of instances.
    #[must_use]
    pub fn with_starts(self, seed: u64, length: Duration) -> Plan {
        Plan {
            starts: start_fault::draw(seed, length),
            ..self
        }
    }

    /// Adds faults of the store's contents.
    #[must_use]
    pub fn with_names(self, seed: u64, length: Duration) -> Plan {
        Plan {
            names: Some(name_fault::draw(seed, length)),
            ..self
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

/// Draws when which requests crash runners. Lethal parts come at once or after a calm time, one after the
/// other or together.
fn draw_waves(seed: u64, length_ms: u64, kind: LethalKind) -> Vec<Wave> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(WAVE_STREAM);
    match kind {
        LethalKind::Drawn | LethalKind::None => Vec::new(),
        LethalKind::Request => vec![Wave {
            at_ms: 0,
            for_ms: length_ms,
            lethal: Lethal::Request,
            per_s: LETHAL_PER_S,
        }],
        LethalKind::Part => draw_parts(&mut rng, length_ms.saturating_sub(AFTER_WAVES_MS)),
    }
}

fn draw_parts(rng: &mut impl Rng, end_ms: u64) -> Vec<Wave> {
    if rng.random_bool(ONE_WAVE) {
        return vec![Wave {
            at_ms: *[0, 0, CALM_MS].choose(rng).unwrap_or(&0),
            for_ms: end_ms,
            lethal: Lethal::Part(0),
            per_s: LETHAL_PER_S,
        }];
    }
    let mut waves = Vec::new();
    let mut at_ms = *[0, CALM_MS].choose(rng).unwrap_or(&0);
    let mut parts = 0;
    while at_ms < end_ms {
        let comes_again = parts > 0 && rng.random_bool(COMES_AGAIN);
        let number = if comes_again {
            rng.random_range(0..parts)
        } else {
            parts
        };
        parts = parts.max(number + 1);
        let for_ms = rng.random_range(8_000..20_000).min(end_ms - at_ms);
        waves.push(Wave {
            at_ms,
            for_ms,
            lethal: Lethal::Part(number),
            per_s: *[1.0, 4.0, 4.0, 8.0].choose(rng).unwrap_or(&LETHAL_PER_S),
        });
        at_ms += rng.random_range(4_000..for_ms.max(4_000) + 6_000);
    }
    waves
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
