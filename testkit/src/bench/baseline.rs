//! Baseline policies to compare the router with. Each builds a route greedily: from the first layer
//! not yet covered it chooses among the open runners that hold it, and covers the rest of the range
//! that this runner holds.

use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{Fleet, Route, RouteStage};
use rand::{Rng, RngExt};

/// Policy that chooses the runners of a request.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoutePolicy {
    /// The router, sampling this many chains.
    #[display("flow-{_0}")]
    Flow(u32),
    /// The router, without scaling its own dispatches by the number of instances.
    #[display("flow-{_0}-unscaled")]
    FlowUnscaled(u32),
    /// A random holder.
    #[display("random")]
    Random,
    /// Holders in rotation.
    #[display("round-robin")]
    RoundRobin,
    /// The holder with the fewest requests in its last report.
    #[display("least-loaded")]
    LeastLoaded,
    /// The holder with the fewest requests relative to its speed, including own dispatches.
    #[display("least-wait")]
    LeastWait,
}

impl std::str::FromStr for RoutePolicy {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let draws = |n: &str| {
            n.parse()
                .map_err(|_| format!("invalid number of draws: {n}"))
        };
        match s {
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-loaded" => Ok(Self::LeastLoaded),
            "least-wait" => Ok(Self::LeastWait),
            _ => match s.strip_prefix("flow-") {
                Some(n) if n.ends_with("-unscaled") => {
                    Ok(Self::FlowUnscaled(draws(n.trim_end_matches("-unscaled"))?))
                }
                Some(n) => Ok(Self::Flow(draws(n)?)),
                None => Err(format!("unknown policy: {s}")),
            },
        }
    }
}

/// Builds a route through the layers of a model by a baseline policy; `turn` is the round-robin
/// counter.
///
/// # Panics
/// Panics if a layer has no open holder, or if the policy is the router.
pub fn baseline_route(
    policy: RoutePolicy,
    fleet: &Fleet,
    model: ModelId,
    turn: &mut usize,
    rng: &mut impl Rng,
) -> Route {
    let layers = fleet.models[model].layers;
    let mut stages: Vec<RouteStage> = Vec::new();
    let mut next = 0;
    while next < layers {
        let holders: Vec<(RunnerId, u32)> = fleet
            .by_name()
            .filter(|&id| fleet.runners[id].is_open() && !stages.iter().any(|s| s.runner == id))
            .filter_map(|id| {
                let mut ranges = fleet.runners[id].ranges(model);
                let range = ranges.find(|r| r.start <= next && next < r.end)?;
                Some((id, range.end))
            })
            .collect();
        assert!(!holders.is_empty(), "no open holder of layer {next}");
        let (id, end) = holders[choose_holder(policy, fleet, &holders, turn, rng)];
        let runner = &fleet.runners[id];
        stages.push(RouteStage {
            runner: id,
            incarnation: runner.incarnation,
            name: runner.name.clone(),
            address: runner.address,
            layers: LayerRange::new(next, end),
        });
        next = end;
    }
    Route {
        model,
        stages,
        first_token_ms: 0.0,
        per_token_ms: 0.0,
    }
}

fn choose_holder(
    policy: RoutePolicy,
    fleet: &Fleet,
    holders: &[(RunnerId, u32)],
    turn: &mut usize,
    rng: &mut impl Rng,
) -> usize {
    let mut least = |cost: &dyn Fn(RunnerId, f64) -> f64| {
        // The random term breaks ties.
        let costs = holders.iter().map(|&(id, _)| cost(id, rng.random::<f64>()));
        let (i, _) = costs
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .expect("not empty");
        i
    };
    match policy {
        RoutePolicy::LeastLoaded => least(&|id, tie| f64::from(fleet.runners[id].reported) + tie),
        RoutePolicy::LeastWait => least(&|id, tie| {
            let runner = &fleet.runners[id];
            (runner.load(1.0) + tie) / runner.speed
        }),
        RoutePolicy::Random => rng.random_range(0..holders.len()),
        RoutePolicy::RoundRobin => {
            *turn += 1;
            *turn % holders.len()
        }
        RoutePolicy::Flow(_) | RoutePolicy::FlowUnscaled(_) => {
            panic!("the router is not a baseline policy")
        }
    }
}
