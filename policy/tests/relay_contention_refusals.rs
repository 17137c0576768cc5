//! Causes of refusals under contention.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::flow_meter::FlowMeter;
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
