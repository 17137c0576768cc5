//! Division of the demand of all failure domains among the chains of a service.
//!
//! Every instance computes the same division from the shared sums. The demand of each domain goes to
//! chains in proportion to their weights; no chain gets more than its allowed inflow, and what is left
//! goes to the chains that have inflow left. Each round assigns all demand or exhausts a chain, so
//! there are at most as many rounds as chains.

use crate::prelude::*;

/// Chain as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanChain {
    /// Failure domain, or `None` if the chain crosses domains.
    pub domain: Option<Name>,
    /// Tokens per second that it may take.
    pub inflow: f64,
    /// Relative weight for an instance of its domain.
    pub near_weight: f64,
    /// Relative weight for an instance of another domain.
    pub far_weight: f64,
}

/// Demand of a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainDemand {
    /// Failure domain.
    pub domain: Name,
    /// Tokens per second.
    pub tokens_per_s: f64,
}

/// Division of the demand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlowPlan {
    /// Tokens per second of each domain to each chain, in the order of the arguments.
    pub flows: Vec<Vec<f64>>,
    /// Sum of all flows: the demand that fits.
    pub supply: f64,
    /// Sum of the demand.
    pub demand: f64,
    /// Inflow that the demand leaves.
    pub spare: f64,
}

impl FlowPlan {
    /// Divides `demand` among `chains`.
    #[must_use]
    pub fn new(chains: &[PlanChain], demand: &[DomainDemand]) -> FlowPlan {
        let total: f64 = demand.iter().map(|d| d.tokens_per_s).sum();
        let mut left: Vec<f64> = chains.iter().map(|c| c.inflow).collect();
        let mut waiting: Vec<f64> = demand.iter().map(|d| d.tokens_per_s).collect();
        let mut flows = vec![vec![0.0; chains.len()]; demand.len()];
        for _ in 0..=chains.len() {
            let wanted = wanted_flows(chains, demand, &left, &waiting);
            let mut exhausted = false;
            for c in 0..chains.len() {
                let sum: f64 = wanted.iter().map(|of_domain| of_domain[c]).sum();
                if sum <= 0.0 {
                    continue;
                }
                let scale = (left[c] / sum).min(1.0);
                exhausted |= scale < 1.0;
                for (d, of_domain) in wanted.iter().enumerate() {
                    let flow = of_domain[c] * scale;
                    flows[d][c] += flow;
                    waiting[d] -= flow;
                }
                // Exactly 0 when exhausted: with a residue from rounding, a chain of high weight would
                // draw demand in the next rounds without taking it.
                left[c] = if scale < 1.0 { 0.0 } else { left[c] - sum };
            }
            if !exhausted {
                break;
            }
        }
        FlowPlan {
            supply: flows.iter().flatten().sum(),
            flows,
            demand: total,
            spare: left.iter().sum(),
        }
    }

    /// Returns the share of the demand that fits, from 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        match self.demand > 0.0 {
            true => (self.supply / self.demand).min(1.0),
            false => 1.0,
        }
    }
}

/// Returns the flow of each domain's waiting demand to each chain with inflow left, by weight.
fn wanted_flows(
    chains: &[PlanChain],
    demand: &[DomainDemand],
    left: &[f64],
    waiting: &[f64],
) -> Vec<Vec<f64>> {
    let of_domain = |(d, waiting): (&DomainDemand, &f64)| {
        let weight = |(chain, left): (&PlanChain, &f64)| match *left > 0.0 {
            true if chain.domain.as_ref() == Some(&d.domain) => chain.near_weight,
            true => chain.far_weight,
            false => 0.0,
        };
        let weights: Vec<f64> = chains.iter().zip(left).map(weight).collect();
        let sum: f64 = weights.iter().sum();
        let flow = |w: f64| match sum > 0.0 {
            true => waiting.max(0.0) * w / sum,
            false => 0.0,
        };
        weights.into_iter().map(flow).collect()
    };
    demand.iter().zip(waiting).map(of_domain).collect()
}
