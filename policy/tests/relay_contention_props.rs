//! Properties of the flow plan and of the shares, for random demand and chains.

use googletest::prelude::*;
use jacinthweir_policy::relay::contention::flow_plan::{DomainDemand, FlowPlan, PlanChain};
use jacinthweir_policy::relay::contention::shares::{
    Claim, OrganisationShares, by_organisation, by_urgency,
};
use proptest::prelude::{Strategy, prop};
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Relative error that sums of rounded figures may have.
const ROUNDING: f64 = 1e-4;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Returns chains with weights that span those of a fleet whose chains differ in speed by seven times.
fn chains() -> impl Strategy<Value = Vec<PlanChain>> {
    let inflow = proptest::prop_oneof![1 => 0.0..1.0_f64, 5 => 0.0..50_000.0_f64];
    let chain = (0..4_usize, inflow, -9.0..2.0_f64, -9.0..2.0_f64);
    let chain = chain.prop_map(|(domain, inflow, near, far)| PlanChain {
        domain: (domain < 3).then(|| format!("domain-{domain}").into()),
        inflow,
        near_weight: 10.0_f64.powf(near),
        far_weight: 10.0_f64.powf(far),
    });
    prop::collection::vec(chain, 1..12)
}

fn domains() -> impl Strategy<Value = Vec<DomainDemand>> {
    prop::collection::vec(0.0..100_000.0_f64, 1..4).prop_map(|demand| {
        let domain = |(i, tokens_per_s)| DomainDemand {
            domain: format!("domain-{i}").into(),
            tokens_per_s,
        };
        demand.into_iter().enumerate().map(domain).collect()
    })
}

/// Guards against a plan that overfills a chain, invents demand, or leaves room while demand waits.
#[gtest]
fn a_plan_uses_all_inflow_that_the_demand_needs() {
    let result = runner().run(&(chains(), domains()), |(chains, demand)| {
        let plan = FlowPlan::new(&chains, &demand);
        let inflow: f64 = chains.iter().map(|c| c.inflow).sum();
        let slack = ROUNDING * (plan.demand + inflow);
        for (c, chain) in chains.iter().enumerate() {
            let flow: f64 = plan.flows.iter().map(|of_domain| of_domain[c]).sum();
            proptest::prop_assert!(flow <= chain.inflow + slack, "chain {c}: {flow}");
        }
        for (of_domain, d) in plan.flows.iter().zip(&demand) {
            proptest::prop_assert!(of_domain.iter().all(|flow| *flow >= 0.0));
            proptest::prop_assert!(of_domain.iter().sum::<f64>() <= d.tokens_per_s + slack);
        }
        let fits = plan.demand.min(inflow);
        proptest::prop_assert!(
            (plan.supply - fits).abs() <= slack,
            "{} of {fits}",
            plan.supply
        );
        proptest::prop_assert!((plan.spare - (inflow - plan.supply)).abs() <= slack);
        Ok(())
    });
    expect_that!(result, ok(eq(&())));
}

/// Guards against instances that compute different plans since they list failure domains differently.
#[gtest]
fn a_plan_does_not_depend_on_the_order_of_domains() {
    let result = runner().run(&(chains(), domains()), |(chains, demand)| {
        let plan = FlowPlan::new(&chains, &demand);
        let reversed: Vec<DomainDemand> = demand.iter().rev().cloned().collect();
        let other = FlowPlan::new(&chains, &reversed);
        for (a, b) in plan.flows.iter().zip(other.flows.iter().rev()) {
            for (a, b) in a.iter().zip(b) {
                proptest::prop_assert!((a - b).abs() <= ROUNDING * plan.demand.max(1.0));
            }
        }
        Ok(())
    });
    expect_that!(result, ok(eq(&())));
}

fn demands() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(
        proptest::prop_oneof![1 => 0.0..=0.0_f64, 4 => 1.0..100_000.0_f64],
        1..10,
    )
}

/// Guards against a less urgent priority before a more urgent one, a starved priority, and unused supply.
#[gtest]
fn priorities_are_admitted_in_order_down_to_the_least_share() {
    let input = (0.0..200_000.0_f64, demands(), 0.0..=1.0_f64);
    let result = runner().run(&input, |(supply, demand, least)| {
        let shares = by_urgency(supply, &demand, least);
        let total: f64 = demand.iter().sum();
        let of_all = if total > 0.0 {
            (supply / total).min(1.0)
        } else {
            1.0
        };
        let asking = demand.iter().zip(&shares).filter(|(d, _)| **d > 0.0);
        let of_asking: Vec<f64> = asking.map(|(_, share)| *share).collect();
        let slack = ROUNDING;
        proptest::prop_assert!(
            of_asking.windows(2).all(|s| s[0] >= s[1] - slack),
            "{shares:?}"
        );
        proptest::prop_assert!(
            of_asking
                .iter()
                .all(|s| *s >= of_all * least - slack && *s <= 1.0 + slack)
        );
        let admitted: f64 = demand.iter().zip(&shares).map(|(d, s)| d * s).sum();
        proptest::prop_assert!((admitted - total.min(supply)).abs() <= slack * total.max(1.0));
        Ok(())
    });
    expect_that!(result, ok(eq(&())));
}

/// Guards against organisations above what their priority gets, a starved one, a larger share for a larger
/// demand, and weights that have no effect.
#[gtest]
fn organisations_get_weighted_shares_within_what_their_priority_gets() {
    let claim = (1.0..50_000.0_f64, 0.1..10.0_f64);
    let claims = prop::collection::vec(claim, 1..10);
    let input = (claims, 0.0..100_000.0_f64, 0.0..=1.0_f64, 0.0..=1.0_f64);
    let result = runner().run(&input, |(claims, unlisted, part, least)| {
        let new = |(tokens_per_s, weight): &(f64, f64)| Claim {
            tokens_per_s: *tokens_per_s,
            weight: *weight,
        };
        let claims: Vec<Claim> = claims.iter().map(new).collect();
        let listed: f64 = claims.iter().map(|c| c.tokens_per_s).sum();
        let total = listed + unlisted;
        let (granted, floor) = (total * part, part * least);
        let OrganisationShares {
            listed: shares,
            unlisted: of_unlisted,
        } = by_organisation(granted, total, &claims, least);
        let admitted: f64 = claims
            .iter()
            .zip(&shares)
            .map(|(c, s)| c.tokens_per_s * s)
            .sum();
        let admitted = admitted + unlisted * of_unlisted;
        let slack = ROUNDING * total;
        proptest::prop_assert!(
            (admitted - granted).abs() <= slack,
            "{admitted} of {granted}"
        );
        proptest::prop_assert!(of_unlisted >= floor - ROUNDING && of_unlisted <= 1.0 + ROUNDING);
        for (a, share) in claims.iter().zip(&shares) {
            proptest::prop_assert!(*share >= floor - ROUNDING && *share <= 1.0 + ROUNDING);
            for (b, other) in claims.iter().zip(&shares) {
                // An organisation that asks for less of its weight gets no smaller share.
                if a.tokens_per_s / a.weight <= b.tokens_per_s / b.weight {
                    proptest::prop_assert!(*share >= other - ROUNDING);
                }
                // Between the least share and all, what is admitted follows the weights.
                let between = |s: f64| s > floor + 0.01 && s < 0.99;
                if between(*share) && between(*other) {
                    let (x, y) = (
                        a.tokens_per_s * share / a.weight,
                        b.tokens_per_s * other / b.weight,
                    );
                    proptest::prop_assert!((x - y).abs() <= 1e-3 * x.max(y).max(1.0));
                }
            }
        }
        Ok(())
    });
    expect_that!(result, ok(eq(&())));
}
