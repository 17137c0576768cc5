//! Runners and a model for tests of the relay's decisions.

use std::collections::BTreeMap;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::held_range::HeldRange;
use jacinthweir_policy::relay::intent::{Accelerator, ChainObjective, Engine};
use jacinthweir_policy::relay::placement::Move;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};

/// Service of all runners.
pub const SERVICE: &str = "pool";

/// Returns a model of 80 layers on three kinds of accelerators.
pub fn engine() -> Engine {
    let kind = |memory_mb, pace| Accelerator { memory_mb, pace };
    let kinds = [
        ("a100", kind(72_000.0, 2.4)),
        ("v100", kind(14_400.0, 5.3)),
        ("l4", kind(21_600.0, 16.0)),
    ];
    Engine {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 590_000.0,
        room_tokens: 100_000.0,
        event_tokens: 4,
        step_ms: 1.02,
        request_step_ms: 0.005,
        context_step_ms: 0.006 / 1e3,
        load_ms: 14_000.0,
        usual_tokens: (775, 220),
        kinds: kinds.into_iter().map(|(n, k)| (Name::from(n), k)).collect(),
        chain_objective: ChainObjective::Fastest,
    }
}

/// Returns a range of layers that a runner holds.
pub fn held((from, to): (u32, u32)) -> Option<HeldRange> {
    Some(HeldRange::new(from, to).expect("a range of layers"))
}

/// Returns a runner without layers.
pub fn runner(id: &str, domain: &str, kind: &str) -> RunnerEntry {
    let number = id
        .bytes()
        .fold(7u32, |h, b| h.wrapping_mul(31) + u32::from(b));
    let [_, a, b, c] = number.to_be_bytes();
    RunnerEntry {
        id: Name::from(id),
        service: Name::from(SERVICE),
        address: ([10, a, b, c], 8080).into(),
        domain: Name::from(domain),
        draining: false,
        born_ms: 1,
        kind: Some(Name::from(kind)),
        layers: None,
    }
}

/// Adds empty runners of one failure domain, with a count for each kind.
pub fn add_domain(runners: &mut Runners, name: &str, counts: &[(&str, usize)]) {
    for (kind, count) in counts {
        for i in 0..*count {
            runners.put(&runner(&format!("{name}-{kind}-{i}"), name, kind));
        }
    }
}

/// Applies moves without delay.
pub fn apply_moves(runners: &mut Runners, moves: &[Move]) {
    for m in moves {
        let mut entry = runners
            .entry(&m.runner)
            .expect("a runner that is known")
            .clone();
        entry.layers = held(m.layers);
        runners.put(&entry);
    }
}

/// Plans and applies moves until none are left, and returns all of them.
pub fn settle(runners: &mut Runners) -> Vec<Move> {
    let engine = engine();
    let mut all = Vec::new();
    for _ in 0..20 {
        let moves = jacinthweir_policy::relay::placement::plan(
            runners,
            SERVICE,
            &engine,
            &BTreeMap::new(),
            0,
        );
        if moves.is_empty() {
            return all;
        }
        apply_moves(runners, &moves);
        all.extend(moves);
    }
    panic!("the moves do not terminate: {all:?}");
}
