//! Rate limits that runners announce in their answers: recorded, gossiped, and applied.

use jacinthweir_platform::header::AnnouncedRate;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::rate_limits::{Fleet, RateReport};
use jacinthweir_policy::relay::runners::RunnerEntry;

use crate::node::Node;
use crate::quarantine::lifetime;

/// Records the rate that a runner's answer announces, or that it announces none.
pub(crate) fn record_answer(node: &Node, runner: &RunnerEntry, announced: AnnouncedRate) {
    let rate = match announced {
        AnnouncedRate::Unlimited => None,
        AnnouncedRate::Limited(rate) => Some(rate),
        AnnouncedRate::Invalid => return,
    };
    let now = node.now();
    let mut limits = node.rate_limits.borrow_mut();
    if rate.is_none() && limits.is_idle() {
        return;
    }
    if limits.record_answer(&lifetime(runner), rate, now) {
        log::info!(runner = runner.id.as_ref(), rate:? = rate; "runner announces a rate limit");
        node.gossip_due.notify_one();
        drop(limits);
        mark_limited(node);
    }
}

/// Merges the rates that runners announced to another instance.
pub(crate) fn merge_reports(node: &Node, reports: &[RateReport]) {
    let now = node.now();
    let mut limits = node.rate_limits.borrow_mut();
    if limits.is_idle() && reports.is_empty() {
        return;
    }
    limits.expire(now);
    for s in reports {
        if limits.merge(s, now) {
            let runner = s.lifetime.runner.as_ref();
            log::info!(runner, rate:? = s.rate, age_ms = s.age_ms; "peer reports a rate limit");
            node.gossip_due.notify_one();
        }
    }
    drop(limits);
    mark_limited(node);
}

/// Marks limited runners, so that chains begin at other runners where possible.
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

/// Whether the rate limit of a runner permits this instance to send it a request now.
pub(crate) fn allows(node: &Node, runner: &RunnerEntry) -> bool {
    let lifetime = lifetime(runner);
    let now = node.now();
    let limits = node.rate_limits.borrow();
    if limits.is_idle() || !limits.is_limited(&lifetime, now) {
        return true;
    }
    let live = live_instances(node);
    let allows = limits.allows(&lifetime, fleet(node, &live), now);
    if !allows {
        metrics::counter!("jacinthweir_limited_total").increment(1);
    }
    allows
}

/// Records that a request is sent to a runner.
pub(crate) fn record_sent(node: &Node, runner: &RunnerEntry) {
    let lifetime = lifetime(runner);
    let now = node.now();
    let mut limits = node.rate_limits.borrow_mut();
    if limits.is_limited(&lifetime, now) {
        let live = live_instances(node);
        limits.record_sent(&lifetime, fleet(node, &live), now);
    }
}

fn live_instances(node: &Node) -> Vec<Name> {
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
