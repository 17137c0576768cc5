//! Policies to compare the router with. Each walks through the layers: from the first layer not
//! yet covered it chooses among the open runners that hold it, and runs to the end of what that
//! runner holds.

use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{Fleet, Route, RouteStage};
use rand::{Rng, RngExt};

/// How a request's runners are chosen.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Choice {
    /// The router, drawing this many chains.
    #[display("flow-{_0}")]
    Flow(u32),
    /// The router, without scaling own sends by the number of instances.
    #[display("flow-{_0}-unscaled")]
    FlowUnscaled(u32),
    /// Any holder.
    #[display("random")]
    Random,
    /// Holders in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The holder with the fewest requests as last reported.
    #[display("least-loaded")]
    LeastLoaded,
    /// The holder with the fewest requests for its speed, corrected by own sends.
    #[display("least-wait")]
    LeastWait,
}

impl std::str::FromStr for Choice {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let draws = |n: &str| n.parse().map_err(|_| format!("no number of draws: {n}"));
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
                None => Err(format!("no such policy: {s}")),
            },
        }
    }
}

/// Walks through the layers of a model by a baseline policy; `turn` counts for round robin.
///
/// # Panics
/// Panics where a layer has no open holder, or the policy is the router.
pub fn walk(
    choice: Choice,
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
        let (id, end) = holders[choose(choice, fleet, &holders, turn, rng)];
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

fn choose(
    choice: Choice,
    fleet: &Fleet,
    holders: &[(RunnerId, u32)],
    turn: &mut usize,
    rng: &mut impl Rng,
) -> usize {
    let mut least = |cost: &dyn Fn(RunnerId, f64) -> f64| {
        // The random part only decides between equals.
        let costs = holders.iter().map(|&(id, _)| cost(id, rng.random::<f64>()));
        let (i, _) = costs
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .expect("not empty");
        i
    };
    match choice {
        Choice::LeastLoaded => least(&|id, tie| f64::from(fleet.runners[id].reported) + tie),
        Choice::LeastWait => least(&|id, tie| {
            let runner = &fleet.runners[id];
            (runner.load(1.0) + tie) / runner.speed
        }),
        Choice::Random => rng.random_range(0..holders.len()),
        Choice::RoundRobin => {
            *turn += 1;
            *turn % holders.len()
        }
        Choice::Flow(_) | Choice::FlowUnscaled(_) => panic!("the router is no baseline"),
    }
}
