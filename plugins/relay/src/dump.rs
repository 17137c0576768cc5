//! A dump of the process's state, as text a person reads.

use serde_json::{Value, json};

use crate::node::Node;

/// The whole state as JSON.
pub(crate) fn dump(node: &Node) -> String {
    let now = node.now();
    let intent = node.intent();
    let chains = node.chains.borrow();
    let shown: Vec<Value> = chains
        .all()
        .map(|l| {
            let silence = l.silence.borrow();
            json!({
                "service": l.service,
                "chain": l.label(),
                "broken": l.broken.is_cancelled(),
                "room_tokens": l.chain.room_tokens,
                "step_ms": l.chain.step_ms,
                "waiting": silence.waiting(),
                "silent_ms": silence.silent_ms(now),
                "stages": stages(&l.chain),
            })
        })
        .collect();
    let dump = json!({
        "instance": node.settings.name,
        "at_ms": now,
        "ready": node.is_ready(),
        "draining": node.draining.get(),
        "configuration": {
            "version": intent.map(|i| i.version),
            "confirmed_ms_ago": node.vouch.borrow().age_ms(now),
        },
        "gives_orders": node.lease.borrow().held(now),
        "orders_pending": node.loading.borrow().len(),
        "chains": shown,
        "runners": runners(node),
        "members": node.membership.borrow().dump(now),
    });
    serde_json::to_string_pretty(&dump).unwrap_or_default()
}

fn stages(chain: &jacinthweir_policy::relay::chain::Chain) -> Vec<String> {
    let stage = |s: &jacinthweir_policy::relay::chain::Stage| {
        format!("{} {}..{}", s.runner.id, s.layers.0, s.layers.1)
    };
    chain.stages.iter().map(stage).collect()
}

fn runners(node: &Node) -> Vec<Value> {
    let runners = node.runners.borrow();
    let shown = runners.entries().map(|e| {
        let s = runners.standing(&e.id);
        json!({
            "id": e.id, "service": e.service, "address": e.address, "domain": e.domain,
            "kind": e.kind, "layers": e.layers, "draining": e.draining, "born_ms": e.born_ms,
            "orders": s.orders, "dead": s.dead, "failing": s.failing_at(node.now()), "in_flight": s.in_flight,
        })
    });
    shown.collect()
}
