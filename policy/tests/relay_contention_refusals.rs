//! Causes of refusals under contention.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::relay::contention::flow_meter::FlowMeter;
use jacinthweir_policy::relay::contention::{
    ChainLoad, ContentionConfig, Decision, FleetFlow, ServiceControl,
};

/// Guards against a refusal that names the organisation as its cause although no other one has a larger
/// share: the share of a sole organisation differs from that of its priority by rounding.
#[gtest]
fn a_sole_organisation_is_refused_for_its_priority() {
    let (service, organisation, domain) = ("pool".into(), "org".into(), "a".into());
    let mut meter = FlowMeter::default();
    for i in 0..40 {
        meter.record_arrival(1_000 + i, 2, Some(&organisation), 33.7);
    }
    let fleet = FleetFlow {
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
    control.compute(1_040, &cfg, &domain, vec![chain], &fleet, 200);
    let decision = control.decide(2, Some(&organisation), false, 0.9);
    expect_that!(decision, eq(Decision::NoRoomForPriority));
    let decision = control.decide(2, Some(&organisation), false, 0.1);
    expect_that!(decision, eq(Decision::Admitted));
}
