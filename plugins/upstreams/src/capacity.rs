//! This instance's share of the pipelines' throughput bounds and of the organisations' limits.

use jacinthweir_kernel::config::InForce;
use jacinthweir_kernel::gate::Capacity;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::admission::{Demand, share_of};

/// Target time between the tokens of a stream, in seconds. By Little's law, the throughput bound
/// times this is the number of streams that the runners can sustain at that rate.
const TARGET_TOKEN_INTERVAL_S: f64 = 0.036;
/// Minimum limit of requests in flight for a pipeline with any capacity.
const MIN_IN_FLIGHT: f64 = 2.0;

/// Replans if something changed, and sets capacities and shares; returns whether every pipeline
/// has capacity.
pub(crate) fn update(cx: &Kernel, config: &InForce) -> bool {
    let instances = u32::try_from(cx.live_instances().max(1)).unwrap_or(u32::MAX);
    let mut capacities = Vec::new();
    {
        let mut router = cx.router();
        router.set_instances(instances);
        router.replan(cx.clock.now());
        for pipeline in config.schema.pipelines().values() {
            let name = &config.schema.models()[pipeline.model].name;
            let bound = router.model(name).map_or(0.0, |model| router.bound(model));
            capacities.push(capacity(&pipeline.name, bound / f64::from(instances)));
        }
    }
    cx.gate.set_capacities(&capacities);
    share_limits(cx, config, instances);
    capacities.iter().all(|c| c.in_flight > 0)
}

/// Sets this instance's even share of each organisation's limit of requests in flight.
///
/// Even under a network partition, the shares never add up to more than the limit plus one request
/// per instance.
fn share_limits(cx: &Kernel, config: &InForce, instances: u32) {
    for org in config.schema.orgs().values() {
        let demand = Demand {
            own: 0,
            all: 0,
            instances,
        };
        let share = org.max_in_flight.map(|limit| share_of(limit, demand));
        cx.gate.set_share(&org.name, share);
    }
}

fn capacity(pipeline: &Name, tokens_per_s: f64) -> Capacity {
    let in_flight = if tokens_per_s > 0.0 {
        (tokens_per_s * TARGET_TOKEN_INTERVAL_S)
            .max(MIN_IN_FLIGHT)
            .ceil() as u32
    } else {
        0
    };
    Capacity {
        pipeline: pipeline.clone(),
        tokens_per_s,
        in_flight,
    }
}
