//! Runners that asked this instance for no requests for a while.
//!
//! A rest concerns the instance that was asked for it. It is not passed on, and requests do not go
//! through another instance because of it.

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;

use crate::node::Node;

/// Maximum jitter added to the retry time of a refused caller, in milliseconds, so that callers do not
/// return in the moment in which the rest ends.
const RETRY_JITTER_MS: f64 = 500.0;

/// Records that a runner wants no requests for `ms` milliseconds.
pub(crate) fn record(node: &Node, runner: &RunnerEntry, ms: Millis) {
    let now = node.now();
    {
        let mut runners = node.runners.borrow_mut();
        let health = runners.health_mut(&runner.id);
        let Some(health) = health.filter(|h| h.born_ms == runner.born_ms) else {
            return;
        };
        let is_new = health.rest_ms(now).is_none();
        health.rest_for(ms, now);
        if !is_new {
            return;
        }
    }
    log::info!(runner = runner.id.as_ref(), ms; "runner asks for rest");
    metrics::counter!("jacinthweir_rests_total").increment(1);
    // Chains begin at other runners meanwhile, where that is possible.
    node.rebuild_chains();
}

/// Returns the time until a runner for a service takes requests of this instance again, in
/// milliseconds, if all that it reaches rest.
pub(crate) fn shortest_ms(node: &Node, service: &str) -> Option<Millis> {
    let now = node.now();
    let runners = node.runners.borrow();
    let rest_ms = |id: &Name| runners.rest_ms(id, now).unwrap_or(0);
    let shortest = if node.holds_layers(service) {
        let chains = node.chains.borrow();
        let usable = chains
            .of(service)
            .iter()
            .filter(|l| !l.broken.is_cancelled());
        let heads = usable.map(|l| l.head().0);
        let heads = heads.filter(|id| !runners.is_unreachable(id));
        heads.map(rest_ms).min()
    } else {
        let usable = runners.living(service);
        let reachable = usable.filter(|e| !runners.is_unreachable(&e.id));
        reachable.map(|e| rest_ms(&e.id)).min()
    };
    shortest.filter(|ms| *ms > 0)
}

/// Returns when a caller that is refused because of a rest should retry, in milliseconds.
pub(crate) fn retry_after_ms(node: &Node, service: &str) -> Millis {
    let jitter_ms = (node.random_f64() * RETRY_JITTER_MS) as Millis;
    shortest_ms(node, service).unwrap_or(0) + jitter_ms
}
