//! Keeps the router's models and the admission's capacities in step with schema and plan.

use std::time::Duration;

use jacinthweir_kernel::config::InForce;
use jacinthweir_kernel::gate::Capacity;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::admission::{Demand, share_of};
use jacinthweir_policy::route::ModelSpec;

/// Period of replanning where something changed.
const PERIOD: Duration = Duration::from_millis(200);
/// Time between tokens that a stream is planned for, in seconds: by Little's law, the bound times
/// this is the number of streams that the runners can keep at that pace. From letter 1's target
/// of 36 ms.
const TOKEN_TIME_S: f64 = 0.036;
/// The fewest requests in flight where there is any capacity.
const MIN_IN_FLIGHT: f64 = 2.0;

pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut revision = 0;
    loop {
        let config = cx.config.get();
        if let Some(config) = config.known() {
            if config.revision != revision {
                revision = config.revision;
                cx.router().set_models(&models(config));
            }
            update(&cx, config);
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn models(config: &InForce) -> Vec<ModelSpec> {
    let models = config.schema.models().values().map(|m| ModelSpec {
        name: m.name.clone(),
        layers: m.layers,
        nanos_per_layer: m.nanos_per_layer,
        activation_bytes: m.activation_bytes,
    });
    models.collect()
}

fn update(cx: &Kernel, config: &InForce) {
    let instances = cx.live_instances().max(1);
    let mut capacities = Vec::new();
    {
        let mut router = cx.router();
        router.set_instances(u32::try_from(instances).unwrap_or(u32::MAX));
        router.replan(cx.clock.now());
        for (_, pipeline) in config.schema.pipelines() {
            let name = &config.schema.models()[pipeline.model].name;
            let bound = router.model(name).map_or(0.0, |model| router.bound(model));
            capacities.push(capacity(&pipeline.name, bound / instances as f64));
        }
    }
    cx.gate.set_capacities(&capacities);
    share_limits(cx, config, u32::try_from(instances).unwrap_or(u32::MAX));
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
