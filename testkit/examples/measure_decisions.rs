//! Measures the cost of a route pick, a load report and a plan by fleet size.

use argh::FromArgs;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{CloseReason, RouteRequest, Router, RouterConfig, RunnerReport};
use jacinthweir_testkit::bench::counting_allocator;
use jacinthweir_testkit::bench::fleet::{Fleet, FleetSize};
use jacinthweir_testkit::bench::route_run::router;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: counting_allocator::CountingAllocator = counting_allocator::CountingAllocator;

/// Measure the cost of routing decisions by fleet size.
#[derive(FromArgs)]
struct Args {
    /// seed of the generated fleets
    #[argh(option, default = "1")]
    seed: u64,
    /// number of picks and reports timed at each size
    #[argh(option, default = "200_000")]
    calls: u32,
    /// number of plans timed at each size
    #[argh(option, default = "20")]
    plans: u32,
    /// output file for the rows as JSON
    #[argh(option)]
    json: Option<String>,
}

/// Costs at one fleet size.
#[derive(Serialize)]
struct Row {
    runners: usize,
    models: usize,
    chains: usize,
    planned_of_bound: f64,
    mean_stages: f64,
    mean_domain_changes: f64,
    pick_ns: f64,
    pick_allocations: f64,
    affine_pick_ns: f64,
    report_ns: f64,
    report_allocations: f64,
    plan_all_ms: f64,
    plan_all_most_ms: f64,
    plan_one_ms: f64,
    plan_one_most_ms: f64,
    router_kb: f64,
}

const SIZES: [FleetSize; 6] = [
    FleetSize::CURRENT,
    FleetSize {
        runners: 150,
        models: 3,
        domains: 6,
        kinds: 8,
        layers: 80,
    },
    FleetSize {
        runners: 300,
        models: 5,
        domains: 10,
        kinds: 8,
        layers: 80,
    },
    FleetSize {
        runners: 600,
        models: 9,
        domains: 16,
        kinds: 8,
        layers: 80,
    },
    FleetSize::TARGET,
    FleetSize {
        runners: 2_400,
        models: 36,
        domains: 23,
        kinds: 8,
        layers: 80,
    },
];

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let rows: Vec<Row> = SIZES.iter().map(|&size| measure(&args, size)).collect();
    println!(
        "| runners | models | chains | planned of bound | stages (domain changes) | pick ns (allocations) | with prefix ns | \
         report ns (allocations) | all plans ms (max) | plans after one runner left ms (max) | router KiB |\n\
         |---|---|---|---|---|---|---|---|---|---|---|"
    );
    for r in &rows {
        println!(
            "| {} | {} | {} | {:.3} | {:.1} ({:.1}) | {:.0} ({:.1}) | {:.0} | {:.0} ({:.1}) | {:.1} ({:.1}) | {:.2} ({:.2}) | {:.0} |",
            r.runners,
            r.models,
            r.chains,
            r.planned_of_bound,
            r.mean_stages,
            r.mean_domain_changes,
            r.pick_ns,
            r.pick_allocations,
            r.affine_pick_ns,
            r.report_ns,
            r.report_allocations,
            r.plan_all_ms,
            r.plan_all_most_ms,
            r.plan_one_ms,
            r.plan_one_most_ms,
            r.router_kb,
        );
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(())
}

fn measure(args: &Args, size: FleetSize) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let fleet = Fleet::generate(size, &mut rng);
    let before = counting_allocator::live_bytes();
    let mut first = router(&fleet, RouterConfig::default());
    fill_caches(&mut first, &fleet);
    let router_kb = (counting_allocator::live_bytes() - before) as f64 / 1024.0;
    let plans: Vec<_> = (0..size.models as u32)
        .map(|m| first.plan(ModelId::from_u32(m)).expect("planned").clone())
        .collect();
    let bound: f64 = plans.iter().map(|p| p.bound).sum();
    let planned: f64 = plans.iter().map(|p| p.planned).sum();
    let (pick_ns, pick_allocations) = time(args.calls, |i| {
        pick(&first, size, i, None, &mut rng);
    });
    let affine = time(args.calls, |i| {
        pick(&first, size, i, Some(u64::from(i % 64)), &mut rng);
    });
    let (report_ns, report_allocations) = time(args.calls, |i| {
        let seen = &fleet.runners[i as usize % fleet.runners.len()];
        let newer = RunnerReport {
            number: 2 + u64::from(i),
            ..seen.clone()
        };
        black_box(first.observe(u64::from(i), &newer));
    });
    let all = plan_times(args.plans, |_| {
        let mut fresh = first.clone();
        fresh.set_models(&fleet.models);
        fresh
    });
    let one = plan_times(args.plans, |i| {
        let mut changed = first.clone();
        let at = i as usize * 7 % fleet.runners.len();
        changed.close(0, &fleet.runners[at].name, CloseReason::Leaving);
        changed
    });
    Row {
        runners: size.runners,
        models: size.models,
        chains: plans.iter().map(|p| p.chains.len()).sum(),
        planned_of_bound: planned / bound,
        mean_stages: plans.iter().map(|p| p.mean_stages).sum::<f64>() / plans.len() as f64,
        mean_domain_changes: plans.iter().map(|p| p.mean_domain_changes).sum::<f64>()
            / plans.len() as f64,
        pick_ns,
        pick_allocations,
        affine_pick_ns: affine.0,
        report_ns,
        report_allocations,
        plan_all_ms: all.0,
        plan_all_most_ms: all.1,
        plan_one_ms: one.0,
        plan_one_most_ms: one.1,
        router_kb,
    }
}

fn pick(router: &Router, size: FleetSize, i: u32, prefix: Option<u64>, rng: &mut ChaCha8Rng) {
    let pick = RouteRequest {
        model: ModelId::from_u32(i % size.models as u32),
        prefix_hash: prefix,
        prompt_tokens: 128,
        max_tokens: 64,
        avoid: &[],
    };
    black_box(router.pick(u64::from(i), &pick, rng)).expect("the fleet covers each model");
}

/// Reports 64 prefixes to the router, each cached by an eighth of the runners.
fn fill_caches(router: &mut Router, fleet: &Fleet) {
    for (i, seen) in fleet.runners.iter().enumerate() {
        let prefixes = (0..64_u64).filter(|prefix| (prefix + i as u64).is_multiple_of(8));
        for (n, prefix) in prefixes.enumerate() {
            router.observe_cache(
                0,
                &jacinthweir_policy::route::PrefixCacheEvent {
                    runner: seen.name.clone(),
                    incarnation: seen.incarnation,
                    number: n as u64 + 1,
                    prefix,
                    cached: true,
                },
            );
        }
    }
}

/// Returns the mean time of a call in nanoseconds, and its mean number of allocations.
fn time(calls: u32, mut call: impl FnMut(u32)) -> (f64, f64) {
    for i in 0..calls / 10 {
        call(i);
    }
    let before = counting_allocator::allocations();
    let start = Instant::now();
    for i in 0..calls {
        call(calls / 10 + i);
    }
    let ns = start.elapsed().as_nanos() as f64 / f64::from(calls);
    (
        ns,
        (counting_allocator::allocations() - before) as f64 / f64::from(calls),
    )
}

/// Returns the mean and maximum time of a plan, in milliseconds.
fn plan_times(plans: u32, mut make: impl FnMut(u32) -> Router) -> (f64, f64) {
    let mut times = Vec::new();
    for i in 0..plans {
        let mut router = make(i);
        let start = Instant::now();
        while router.is_dirty() {
            router.replan(1);
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    (mean, times.into_iter().fold(0.0, f64::max))
}
