//! State dump for operators.

use jacinthweir_policy::relay::chain::Stage;
use jacinthweir_policy::relay::held_range::HeldRange;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};
use jacinthweir_wire::relay::{ChainDump, RelayDump, RunnerDump, StageDump};

use crate::contention;
use crate::live_chains::LiveChain;
use crate::node::Node;

/// Returns the state of the process as JSON.
pub(crate) fn dump(node: &Node) -> String {
    let contention = contention::dump(node);
    let now = node.now();
    let chains = node.chains.borrow();
    let runners = node.runners.borrow();
    let dump = RelayDump {
        instance: node.settings.name.clone(),
        at_ms: now,
        ready: node.is_ready(),
        draining: node.draining.get(),
        version: node.intent().map(|i| i.version),
        confirmed_ms_ago: node.config_confirmation.borrow().age_ms(now),
        gives_orders: node.lease.borrow().held(now),
        orders_pending: node.loading.borrow().len(),
        chains: chains.all().map(|l| chain(node, l)).collect(),
        runners: runners
            .entries()
            .map(|e| runner(node, &runners, e))
            .collect(),
        members: node.membership.borrow().dump(now),
        contention: Some(contention),
    };
    serde_json::to_string_pretty(&dump).unwrap_or_default()
}

fn chain(node: &Node, live: &LiveChain) -> ChainDump {
    let silence = live.silence.borrow();
    let stage = |s: &Stage| StageDump {
        runner: s.runner.id.clone(),
        layers: s.layers,
    };
    ChainDump {
        service: live.service.clone(),
        domain: live.chain.domain.clone(),
        broken: live.broken.is_cancelled(),
        room_tokens: live.chain.room_tokens,
        used_tokens: live.used_tokens(),
        step_ms: live.chain.step_ms,
        waiting: silence.waiting(),
        silent_ms: silence.silent_ms(node.now()),
        stages: live.chain.stages.iter().map(stage).collect(),
    }
}

fn runner(node: &Node, runners: &Runners, entry: &RunnerEntry) -> RunnerDump {
    let health = runners.health(&entry.id);
    RunnerDump {
        id: entry.id.clone(),
        service: entry.service.clone(),
        address: entry.address,
        domain: entry.domain.clone(),
        kind: entry.kind.clone(),
        layers: entry.layers.map(HeldRange::bounds),
        draining: entry.draining,
        dead: health.dead,
        unreachable: runners.is_unreachable(&entry.id),
        born_ms: entry.born_ms,
        orders: health.orders,
        pace: health.pace(),
        failing: health.failure_rate_at(node.now()),
        in_flight: health.in_flight,
    }
}
