//! Measures the cost of contention control by fleet size: the time of a decision on a request, of a
//! computation of plan and shares, and the encoded bytes of a load and of a failure domain's sum.
//!
//! `cargo run --release -p jacinthweir-testkit --example contention_cost`

use std::hint::black_box;
use std::time::Instant;

use argh::FromArgs;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection::{ChainCandidate, select_planned};
use jacinthweir_policy::relay::contention::flow_meter::FlowMeter;
use jacinthweir_policy::relay::contention::{ChainLoad, ContentionConfig, ServiceControl};
use jacinthweir_policy::relay::loads::{HeadUse, Load, LoadTable};
use jacinthweir_testkit::bench::counting_allocator;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[global_allocator]
static ALLOCATOR: counting_allocator::CountingAllocator = counting_allocator::CountingAllocator;

/// Measure the cost of contention control by fleet size.
#[derive(FromArgs)]
struct Args {
    /// seed of the generated demand
    #[argh(option, default = "1")]
    seed: u64,
    /// number of decisions timed at each size
    #[argh(option, default = "50_000")]
    calls: u32,
    /// number of computations timed at each size
    #[argh(option, default = "100")]
    computations: u32,
}

/// Bounds of a decision in microseconds, and of a computation in milliseconds in a fleet of one of the
/// first sizes and in the largest one.
const MAX_DECISION_US: f64 = 50.0;
const MAX_COMPUTATION_MS: f64 = 2.0;
const MAX_LARGEST_COMPUTATION_MS: f64 = 10.0;

/// Size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    instances: usize,
    domains: usize,
    chains: usize,
    organisations: usize,
    max_computation_ms: f64,
}

const SIZES: [Size; 3] = [
    Size {
        instances: 91,
        domains: 3,
        chains: 11,
        organisations: 24,
        max_computation_ms: MAX_COMPUTATION_MS,
    },
    Size {
        instances: 300,
        domains: 3,
        chains: 61,
        organisations: 300,
        max_computation_ms: MAX_COMPUTATION_MS,
    },
    Size {
        instances: 340,
        domains: 23,
        chains: 120,
        organisations: 19_000,
        max_computation_ms: MAX_LARGEST_COMPUTATION_MS,
    },
];

/// Requests per second that a full chain serves, the time for which an instance has received them in
/// milliseconds, their tokens, and events of a stream.
const REQUESTS_PER_CHAIN: usize = 38;
const RECEIVED_FOR_MS: Millis = 3_000;
const TOKENS: f64 = 900.0;
const EVENTS: u32 = 46;

const SERVICE: &str = "pool";
const NOW: Millis = 100_000;

fn main() {
    let args: Args = argh::from_env();
    println!(
        "| instances / domains / chains / organisations | decision us (bound) | allocations | \
         computation ms, mean / max (bound) | allocations | load bytes, with flows / without | \
         sum bytes, with flows / without |\n|---|---|---|---|---|---|---|"
    );
    for size in SIZES {
        measure(&args, size);
    }
}

fn domain(d: usize) -> Name {
    format!("domain-{d:02}").into()
}

fn head(chain: usize) -> Name {
    format!("i-{chain:08x}").into()
}

/// Returns the load of an instance with recent requests of random organisations on random chains.
fn load(size: Size, with_flows: bool, rng: &mut ChaCha8Rng) -> Load {
    let mut meter = FlowMeter::default();
    let mut used = vec![0.0; size.chains];
    let per_s = size.chains * REQUESTS_PER_CHAIN / size.instances;
    for _ in 0..per_s * RECEIVED_FOR_MS as usize / 1_000 {
        // Half of the requests are of a few large organisations.
        let among = if rng.random() { 4 } else { size.organisations };
        let organisation = format!("organisation-{}", rng.random_range(0..among)).into();
        let chain = rng.random_range(0..size.chains);
        let at = NOW - rng.random_range(0..RECEIVED_FOR_MS);
        meter.record_arrival(at, rng.random_range(0..3), Some(&organisation), TOKENS);
        meter.record_released(at, &head(chain), TOKENS);
        (0..EVENTS).for_each(|_| meter.record_event(at, &head(chain), 60));
        used[chain] += TOKENS;
    }
    let used = used.iter().enumerate().filter(|(_, tokens)| **tokens > 0.0);
    let flows = vec![meter.flow(&SERVICE.into(), NOW)];
    Load {
        written_ms: NOW,
        hears_store: true,
        serves: true,
        used: used
            .map(|(chain, tokens)| HeadUse {
                service: SERVICE.into(),
                head: head(chain),
                tokens: *tokens as u32,
            })
            .collect(),
        flows: if with_flows { flows } else { Vec::new() },
        ..Load::default()
    }
}

/// Returns one instance of each domain, with the loads of the others of its domain.
fn tables(size: Size, with_flows: bool, rng: &mut ChaCha8Rng) -> Vec<LoadTable> {
    let members = size.instances / size.domains;
    let of_domain = |d: usize| {
        let mut table = LoadTable::new(format!("front-{d:02}-0").into(), domain(d));
        table.set_own(load(size, with_flows, rng), NOW);
        for i in 1..members {
            let mut other = LoadTable::new(format!("front-{d:02}-{i}").into(), domain(d));
            other.set_own(load(size, with_flows, rng), NOW);
            table.apply(&domain(d), other.push_update(true, members - 1, NOW), NOW);
        }
        table
    };
    (0..size.domains).map(of_domain).collect()
}

/// Returns the encoded size of the load of an instance and of the sum of its domain.
fn bytes(table: &LoadTable, members: usize) -> (usize, usize) {
    let size = |near: bool| {
        let update = table.push_update(near, members - 1, NOW);
        rmp_serde::to_vec(&update).map_or(0, |b| b.len())
    };
    (size(true), size(false))
}

fn chain_loads(size: Size, rng: &mut ChaCha8Rng) -> Vec<ChainLoad> {
    let chain = |c: usize| ChainLoad {
        head: head(c),
        domain: Some(domain(c % size.domains)),
        room_tokens: 107_000.0,
        used_tokens: rng.random_range(60_000.0..107_000.0),
        weights: (rng.random_range(0.1..8.0), rng.random_range(0.01..1.0)),
    };
    (0..size.chains).map(chain).collect()
}

fn measure(args: &Args, size: Size) {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let members = size.instances / size.domains;
    let mut all = tables(size, true, &mut rng);
    let without = tables(size, false, &mut rng);
    let (load_bytes, sum_bytes) = bytes(&all[0], members);
    let (load_bytes_before, sum_bytes_before) = bytes(&without[0], members);
    let sums: Vec<_> = all
        .iter()
        .map(|t| t.push_update(false, members - 1, NOW))
        .collect();
    for (d, sum) in sums.into_iter().enumerate().skip(1) {
        all[0].apply(&domain(d), sum, NOW);
    }
    let chains = chain_loads(size, &mut rng);
    let own = load(size, true, &mut rng).flows.remove(0);
    let (cfg, mut control) = (ContentionConfig::default(), ServiceControl::default());
    let mut times = Vec::new();
    let before = counting_allocator::allocations();
    for i in 0..args.computations {
        let now = NOW + Millis::from(i % 10);
        let start = Instant::now();
        let fleet = all[0].fleet_flow(own.clone(), members - 1, now);
        black_box(control.compute(now, &cfg, chains.clone(), &fleet, 300));
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    let per_computation =
        (counting_allocator::allocations() - before) as f64 / f64::from(args.computations);
    let mean_ms = times.iter().sum::<f64>() / times.len() as f64;
    let max_ms = times.iter().copied().fold(0.0, f64::max);
    let (decision_us, per_decision) = decisions(args.calls, size, &control, &chains, &mut rng);
    let verdict = |within: bool| if within { "within" } else { "ABOVE" };
    println!(
        "| {} / {} / {} / {} | {decision_us:.2} ({} {MAX_DECISION_US}) | {per_decision:.1} | \
         {mean_ms:.2} / {max_ms:.2} ({} {}) | {per_computation:.0} | \
         {load_bytes} / {load_bytes_before} | {sum_bytes} / {sum_bytes_before} |",
        size.instances,
        size.domains,
        size.chains,
        size.organisations,
        verdict(decision_us <= MAX_DECISION_US),
        verdict(mean_ms <= size.max_computation_ms),
        size.max_computation_ms,
    );
}

/// Returns the mean time in microseconds, and allocations, of recording and deciding on a request and
/// choosing its chain.
fn decisions(
    calls: u32,
    size: Size,
    control: &ServiceControl,
    chains: &[ChainLoad],
    rng: &mut ChaCha8Rng,
) -> (f64, f64) {
    let mut meter = FlowMeter::default();
    let candidate = |(chain, load): (usize, &ChainLoad)| ChainCandidate {
        chain,
        near: chain % size.domains == 0,
        room_tokens: load.room_tokens,
        used_tokens: load.used_tokens,
        silent_ms: 0,
        backing_off: false,
        gap_share: 0.3,
        event_ms: 50.0,
    };
    let candidates: Vec<ChainCandidate> = chains.iter().enumerate().map(candidate).collect();
    let organisations: Vec<Name> = (0..size.organisations.min(1_000))
        .map(|o| format!("organisation-{o}").into())
        .collect();
    let before = counting_allocator::allocations();
    let start = Instant::now();
    for i in 0..calls {
        let organisation = Some(&organisations[i as usize % organisations.len()]);
        let (priority, now) = (i % 3, NOW + Millis::from(i / 100));
        meter.record_arrival(now, priority, organisation, TOKENS);
        black_box(control.decide(priority, organisation, false, rng.random()));
        let weights = chains.iter().map(|c| control.weight(&c.head));
        let weights: Option<Vec<f64>> = weights.collect();
        if let Some(weights) = weights {
            let draw = rng.random();
            black_box(select_planned(&candidates, &weights, TOKENS, 1.1, draw));
        }
    }
    let calls = f64::from(calls);
    let us = start.elapsed().as_secs_f64() * 1e6 / calls;
    (
        us,
        (counting_allocator::allocations() - before) as f64 / calls,
    )
}
