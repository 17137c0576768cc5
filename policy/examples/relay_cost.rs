//! Measures the time of the relay's decisions at growing fleet sizes: initial placement, repair,
//! computation of chains, selection of a chain.
//!
//! `cargo run --release -p jacinthweir-policy --example relay_cost -- --runners 2914 --domains 5`; the
//! two options may be repeated for more sizes.

#[path = "../tests/support/relay.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod support;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;
use jacinthweir_policy::relay::chain::{ServiceChains, chains};
use jacinthweir_policy::relay::chain_selection::{ChainCandidate, MAX_FILL, select};
use jacinthweir_policy::relay::held_range::HeldRange;
use jacinthweir_policy::relay::placement::Planner;
use jacinthweir_policy::relay::runners::Runners;
use support::{SERVICE, apply_moves, engine, runner};

/// Accelerator kinds of ten runners of a failure domain.
const KINDS: [&str; 10] = [
    "a100", "v100", "v100", "v100", "v100", "v100", "l4", "l4", "l4", "l4",
];

fn fleet(count: usize, domains: usize) -> Runners {
    let mut runners = Runners::default();
    for i in 0..count {
        let domain = i % domains;
        let kind = KINDS[i / domains % KINDS.len()];
        runners.put(&runner(
            &format!("runner-{i}"),
            &format!("domain-{domain}"),
            kind,
        ));
    }
    runners
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1e3)
}

/// Measures the relay's decisions on fleets of the given sizes.
#[derive(FromArgs)]
struct Args {
    /// number of runners; may be given several times, each with its --domains
    #[argh(option)]
    runners: Vec<usize>,
    /// number of failure domains of the fleet at the same position
    #[argh(option)]
    domains: Vec<usize>,
}

/// Sizes measured if none are given.
const SIZES: [(usize, usize); 4] = [(40, 3), (100, 3), (300, 7), (1_200, 23)];

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.runners.len() != args.domains.len() {
        eprintln!("give as many --domains as --runners");
        return ExitCode::FAILURE;
    }
    let mut sizes: Vec<(usize, usize)> = args.runners.into_iter().zip(args.domains).collect();
    if sizes.is_empty() {
        sizes.extend(SIZES);
    }
    println!(
        "runners domains | first ms | idle ms | repair ms | chains ms | one change ms | chains | pick us"
    );
    for (count, domains) in sizes {
        measure(count, domains);
    }
    ExitCode::SUCCESS
}

fn measure(count: usize, domains: usize) {
    let engine = engine();
    let mut runners = fleet(count, domains);
    let mut planner = Planner::default();
    let none = BTreeMap::new();
    let (moves, first) = timed(|| planner.plan(&runners, SERVICE, &engine, &none, 0));
    apply_moves(&mut runners, &moves);
    loop {
        let more = planner.plan(&runners, SERVICE, &engine, &none, 0);
        if more.is_empty() {
            break;
        }
        apply_moves(&mut runners, &more);
    }
    let (_, idle) = timed(|| planner.plan(&runners, SERVICE, &engine, &none, 0));
    let mut kept = ServiceChains::default();
    kept.update(&runners, SERVICE, &engine, 0);
    let one_change = dearest_change(&runners, &kept);
    runners.remove(&"runner-0".into(), 0);
    let (_, repair) = timed(|| planner.plan(&runners, SERVICE, &engine, &none, 0));
    let (all_chains, chain_time) = timed(|| chains(&runners, SERVICE, &engine, 0));
    let pick = pick_us(all_chains.len());
    println!(
        "{count:7} {domains:7} | {first:8.2} | {idle:7.4} | {repair:9.2} | {chain_time:9.2} | {one_change:13.2} | {:6} | {pick:7.2}",
        all_chains.len(),
    );
}

/// Returns the time of the dearest update of the chains after a runner is lost, registers or changes
/// its pace, in milliseconds.
fn dearest_change(runners: &Runners, kept: &ServiceChains) -> f64 {
    let update = |change: &dyn Fn(&mut Runners)| {
        let (mut runners, mut kept) = (runners.clone(), kept.clone());
        change(&mut runners);
        timed(|| kept.update(&runners, SERVICE, &engine(), 0)).1
    };
    let lost = update(&|r| {
        r.remove(&"runner-0".into(), 0);
    });
    let registered = update(&|r| {
        let mut entry = runner("runner-new", "domain-0", KINDS[0]);
        entry.layers = HeldRange::new(0, 40).ok();
        r.put(&entry);
    });
    let slow = update(&|r| {
        let health = r.health_mut(&"runner-0".into());
        health.map(|h| h.set_pace(5.0, 1));
    });
    lost.max(registered).max(slow)
}

/// Returns the time to select one of `chains` chains, in microseconds.
fn pick_us(chains: usize) -> f64 {
    let candidates: Vec<ChainCandidate> = (0..chains)
        .map(|chain| ChainCandidate {
            chain,
            near: chain == 0,
            room_tokens: 100_000.0,
            used_tokens: 1_000.0 * chain as f64,
            silent_ms: 0,
            backing_off: false,
            gap_share: 0.0,
            event_ms: 50.0,
        })
        .collect();
    let selections = 10_000;
    let (_, time) = timed(|| {
        for i in 0..selections {
            std::hint::black_box(select(&candidates, f64::from(i % 1_000), MAX_FILL));
        }
    });
    time * 1e3 / f64::from(selections)
}
