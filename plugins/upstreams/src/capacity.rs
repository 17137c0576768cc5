//! This instance's part of the bounds and of the organisations' limits.

use jacinthweir_kernel::config::InForce;
use jacinthweir_kernel::gate::Capacity;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::admission::{Demand, share_of};

/// Time between tokens that a stream is planned for, in seconds: by Little's law, the bound times
/// this is the number of streams that the runners can keep at that pace. From letter 1's target
/// of 36 ms.
const TOKEN_TIME_S: f64 = 0.036;
/// The fewest requests in flight where there is any capacity.
const MIN_IN_FLIGHT: f64 = 2.0;

/// Replans where something changed, and sets capacities and shares; returns whether every
/// pipeline has runners.
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

/// Gives this instance its even share of each organisation's limit in flight. The shares then
/// never add up to more than the limit and one request an instance, whatever is cut off.
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
        (tokens_per_s * TOKEN_TIME_S).max(MIN_IN_FLIGHT).ceil() as u32
    } else {
        0
    };
    Capacity {
        pipeline: pipeline.clone(),
        tokens_per_s,
        in_flight,
    }
}
