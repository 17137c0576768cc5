//! Time of the relay's decisions at growing sizes: a first placement, a repair, the chains, a pick.
//!
//! `cargo run --release -p jacinthweir-policy --example relay_cost`

use std::collections::BTreeMap;
use std::time::Instant;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain::chains;
use jacinthweir_policy::relay::intent::{Accelerator, Engine};
use jacinthweir_policy::relay::placement::{Move, plan};
use jacinthweir_policy::relay::rooms::{FILL, Room, choose};
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};

const SERVICE: &str = "pool";

/// Runners of a failure domain: one large one, five middle ones and four small ones in ten.
const KINDS: [&str; 10] = [
    "large", "middle", "middle", "middle", "middle", "middle", "small", "small", "small", "small",
];

fn engine() -> Engine {
    let kind = |memory_mb, pace| Accelerator { memory_mb, pace };
    let kinds = [
        ("large", kind(72_000.0, 2.4)),
        ("middle", kind(14_400.0, 5.3)),
        ("small", kind(21_600.0, 16.0)),
    ];
    Engine {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 590_000.0,
        room_tokens: 100_000.0,
        event_tokens: 4,
        step_ms: 1.02,
        load_ms: 14_000.0,
        loads_at_once: 6,
        kinds: kinds.into_iter().map(|(n, k)| (Name::from(n), k)).collect(),
    }
}

fn fleet(count: usize, domains: usize) -> Runners {
    let mut runners = Runners::default();
    for i in 0..count {
        let domain = i % domains;
        let number = u32::try_from(i).unwrap_or(u32::MAX);
        let [_, _, c, d] = number.to_be_bytes();
        runners.put(&RunnerEntry {
            id: Name::from(format!("runner-{i}")),
            service: Name::from(SERVICE),
            address: ([10, 0, c, d], 8080).into(),
            domain: Name::from(format!("domain-{domain}")),
            draining: false,
            born_ms: 1,
            slots: 192,
            kind: Some(Name::from(KINDS[i / domains % KINDS.len()])),
            layers: None,
        });
    }
    runners
}

fn carry_out(runners: &mut Runners, moves: &[Move]) {
    for m in moves {
        if let Some(mut entry) = runners.entry(&m.runner).cloned() {
            entry.layers = Some(m.layers);
            runners.put(&entry);
        }
    }
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
        carry_out(&mut runners, &moves);
        loop {
            let more = plan(&runners, SERVICE, &engine, &none, 0);
            if more.is_empty() {
                break;
            }
            carry_out(&mut runners, &more);
        }
        let (_, idle) = timed(|| plan(&runners, SERVICE, &engine, &none, 0));
        runners.remove("runner-0");
        let (_, repair) = timed(|| plan(&runners, SERVICE, &engine, &none, 0));
        let (found, walk) = timed(|| chains(&runners, SERVICE, &engine, 0));
        let rooms: Vec<Room> = (0..found.len())
            .map(|chain| Room {
                chain,
                near: chain == 0,
                room_tokens: 100_000.0,
                used_tokens: 1_000.0 * chain as f64,
                silent_ms: 0,
                refusing: false,
            })
            .collect();
        let picks = 10_000;
        let (_, pick) = timed(|| {
            for i in 0..picks {
                std::hint::black_box(choose(&rooms, f64::from(i % 1_000), FILL));
            }
        });
        println!(
            "{count:7} {domains:7} | {first:8.2} | {idle:7.2} | {repair:9.2} | {walk:9.2} | {:6} | {:7.2}",
            found.len(),
            pick * 1e3 / f64::from(picks)
        );
    }
}
