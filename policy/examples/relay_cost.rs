//! Measures the time of the relay's decisions at growing fleet sizes: initial placement, repair,
//! computation of chains, selection of a chain.
//!
//! `cargo run --release -p jacinthweir-policy --example relay_cost`

#[path = "../tests/support/relay.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod support;

use std::collections::BTreeMap;
use std::time::Instant;

use jacinthweir_policy::relay::chain::chains;
use jacinthweir_policy::relay::chain_selection::{ChainCandidate, MAX_FILL, select};
use jacinthweir_policy::relay::placement::plan;
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

fn main() {
    let engine = engine();
    println!("runners domains | first ms | idle ms | repair ms | chains ms | chains | pick us");
    for (count, domains) in [(40, 3), (100, 3), (300, 7), (1_200, 23)] {
        let mut runners = fleet(count, domains);
        let none = BTreeMap::new();
        let (moves, first) = timed(|| plan(&runners, SERVICE, &engine, &none, 0));
        apply_moves(&mut runners, &moves);
        loop {
            let more = plan(&runners, SERVICE, &engine, &none, 0);
            if more.is_empty() {
                break;
            }
            apply_moves(&mut runners, &more);
        }
        let (_, idle) = timed(|| plan(&runners, SERVICE, &engine, &none, 0));
        runners.remove(&"runner-0".into(), 0);
        let (_, repair) = timed(|| plan(&runners, SERVICE, &engine, &none, 0));
        let (all_chains, chain_time) = timed(|| chains(&runners, SERVICE, &engine, 0));
        let candidates: Vec<ChainCandidate> = (0..all_chains.len())
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
        let (_, selection_time) = timed(|| {
            for i in 0..selections {
                std::hint::black_box(select(&candidates, f64::from(i % 1_000), MAX_FILL));
            }
        });
        println!(
            "{count:7} {domains:7} | {first:8.2} | {idle:7.2} | {repair:9.2} | {chain_time:9.2} | {:6} | {:7.2}",
            all_chains.len(),
            selection_time * 1e3 / f64::from(selections)
        );
    }
}
