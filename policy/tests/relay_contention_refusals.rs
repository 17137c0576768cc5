//! Causes of refusals under contention.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::flow_meter::FlowMeter;
use jacinthweir_policy::relay::contention::shares::{self, Claim};
use jacinthweir_policy::relay::contention::{
    ChainLoad, ContentionConfig, Decision, FleetFlow, ServiceControl,
};

/// Returns the decision on a request of the only organisation, with arrivals of `tokens` tokens each.
fn decision(tokens: f64, draw: f64) -> Decision {
    let (service, organisation, domain): (Name, Name, Name) =
        ("pool".into(), "org".into(), "a".into());
    let mut meter = FlowMeter::default();
    for i in 0..40 {
        meter.record_arrival(1_000 + i, 2, Some(&organisation), tokens);
    }
    let fleet = FleetFlow {
        own_domain: domain.clone(),
        domains: BTreeMap::from([("a".into(), meter.flow(&service, 1_040))]),
        age_ms: 0,
        known_share: 1.0,
    };
    let chain = ChainLoad {
        head: "r1".into(),
        domain: Some("a".into()),
        room_tokens: 1_000.0,
        used_tokens: 500.0,
        weights: (1.0, 1.0),
    };
    let mut control = ServiceControl::default();
    let cfg = ContentionConfig::default();
    control.compute(1_040, &cfg, vec![chain], &fleet, 200);
    control.decide(2, Some(&organisation), false, draw)
}

/// Guards against a refusal that names the organisation as its cause although no other one has a larger
/// share: the share of a sole organisation differs from that of its priority by rounding.
#[gtest]
fn a_sole_organisation_is_refused_for_its_priority() {
    for i in 1..100 {
        let tokens = 30.0 * 1.2_f64.powi(i);
        let refused = decision(tokens, 0.9);
        expect_that!(refused, eq(Decision::NoRoomForPriority), "{tokens}");
        expect_that!(decision(tokens, 0.0), eq(Decision::Admitted), "{tokens}");
    }
}

/// Guards against room that is reserved for small organisations and given to none: those that are not
/// listed had the share of their priority, and less was admitted than there was room for.
#[gtest]
fn listed_and_other_organisations_together_get_what_is_granted() {
    let claims = [300.0, 200.0].map(|tokens_per_s| Claim {
        tokens_per_s,
        weight: 1.0,
    });
    let (total, least) = (600.0, 0.5);
    for granted in [0.0, 50.0, 90.0, 150.0, 300.0, 450.0, 600.0] {
        let shares = shares::by_organisation(granted, total, &claims, least);
        let (of_listed, of_unlisted) = (shares.listed, shares.unlisted);
        let listed = claims.iter().zip(&of_listed);
        let listed: f64 = listed.map(|(c, share)| c.tokens_per_s * share).sum();
        let admitted = listed + (total - 500.0) * of_unlisted;
        expect_that!(admitted, near(granted, 1e-3), "{granted}");
        expect_true!(
            of_listed.iter().all(|share| *share <= of_unlisted + 1e-9),
            "{granted}"
        );
    }
}

/// Guards against the refusal of a priority's first request, whose demand is not in the plan yet.
#[gtest]
fn a_priority_without_demand_has_all_of_its_share() {
    let shares = shares::by_organisation(0.0, 0.0, &[], 0.5);
    expect_that!(shares.unlisted, eq(1.0));
    expect_that!(shares::by_urgency(10.0, &[0.0, 100.0], 0.5)[0], eq(1.0));
}

/// Guards against requests that are refused in the first moments of contention control, while the rates
/// show almost no release of full chains.
#[gtest]
fn rates_are_used_only_after_their_time_constant() {
    let mut meter = FlowMeter::default();
    expect_false!(meter.is_warm(10_000));
    meter.record_arrival(10_000, 0, None, 100.0);
    meter.record_arrival(10_900, 0, None, 100.0);
    expect_false!(meter.is_warm(10_999));
    expect_true!(meter.is_warm(11_000));
}
