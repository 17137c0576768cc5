//! Rates that runners name in their answers: heard, told, and kept.

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lifetime::Lifetime;
use jacinthweir_policy::relay::rate_limits::{Fleet, RateReport};
use jacinthweir_policy::relay::runners::RunnerEntry;

use crate::node::Node;
use crate::quarantine::lifetime;

/// A runner's answer named a rate, or none.
pub(crate) fn record_answer(node: &Node, runner: &RunnerEntry, rate: Option<f64>) {
    let now = node.now();
    let mut limits = node.rate_limits.borrow_mut();
    if rate.is_none() && limits.is_idle() {
        return;
    }
    if limits.record_answer(&lifetime(runner), rate, now) {
        log::info!(runner = runner.id.as_ref(), rate:? = rate; "runner names a limit");
        node.gossip_due.notify_one();
        drop(limits);
        mark_limited(node);
    }
}

/// Takes in what runners said to another instance.
pub(crate) fn merge_reports(node: &Node, statements: &[RateReport]) {
    let now = node.now();
    let mut limits = node.rate_limits.borrow_mut();
    if limits.is_idle() && statements.is_empty() {
        return;
    }
    limits.expire(now);
    for s in statements {
        if limits.merge(s, now) {
            let runner = s.lifetime.runner.as_ref();
            log::info!(runner, rate:? = s.rate, age_ms = s.age_ms; "runner named a limit elsewhere");
            node.gossip_due.notify_one();
        }
    }
    drop(limits);
    mark_limited(node);
}

/// Has chains begin elsewhere than at limited runners, as far as they can.
fn mark_limited(node: &Node) {
    let now = node.now();
    let mut changed = false;
    {
        let limits = node.rate_limits.borrow();
        let mut runners = node.runners.borrow_mut();
        let entries = runners.entries().map(lifetime);
        let limited: Vec<(Lifetime, bool)> = entries
            .map(|l| {
                let is_limited = limits.is_limited(&l, now);
                (l, is_limited)
            })
            .collect();
        for (l, is_limited) in limited {
            if let Some(s) = runners.health_mut(&l.runner) {
                changed |= std::mem::replace(&mut s.limited, is_limited) != is_limited;
            }
        }
    }
    if changed {
        node.rebuild_chains();
    }
}

/// Whether this instance may send a runner a request now.
pub(crate) fn allows(node: &Node, runner: &RunnerEntry) -> bool {
    let lifetime = lifetime(runner);
    let now = node.now();
    let limits = node.rate_limits.borrow();
    if limits.is_idle() || !limits.is_limited(&lifetime, now) {
        return true;
    }
    let live = live(node);
    let allows = limits.allows(&lifetime, fleet(node, &live), now);
    if !allows {
        metrics::counter!("jacinthweir_limited_total").increment(1);
    }
    allows
}

/// A request is sent to a runner.
pub(crate) fn record_sent(node: &Node, runner: &RunnerEntry) {
    let lifetime = lifetime(runner);
    let now = node.now();
    let mut limits = node.rate_limits.borrow_mut();
    if limits.is_limited(&lifetime, now) {
        let live = live(node);
        limits.record_sent(&lifetime, fleet(node, &live), now);
    }
}

fn live(node: &Node) -> Vec<Name> {
    let membership = node.membership.borrow();
    membership.live().map(|m| m.name.clone()).collect()
}

fn fleet<'a>(node: &'a Node, live: &'a [Name]) -> Fleet<'a> {
    Fleet {
        own: &node.settings.name,
        live,
        most: node.peak_instances(),
    }
}
