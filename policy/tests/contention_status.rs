//! Tests of the state of contention control that operators see, and of the changes that are reported.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::decision_meter::DecisionMeter;
use jacinthweir_policy::relay::contention::flow_meter::{
    HeadFlow, OrganisationDemand, ServiceFlow,
};
use jacinthweir_policy::relay::contention::share_history::{
    Direction, OrganisationShares, ShareChange, ShareHistory,
};
use jacinthweir_policy::relay::contention::status::{ControlState, ControlStatus};
use jacinthweir_policy::relay::contention::{
    ChainLoad, ContentionConfig, Decision, FleetFlow, ServiceControl,
};

/// Time between two computations, in milliseconds.
const STEP_MS: Millis = 100;

/// Smallest gap objective, in milliseconds.
const MAX_GAP_MS: Millis = 200;

/// Tokens per second that the chain releases.
const RELEASED: u32 = 1_000;

/// Returns figures of two failure domains with the given demand by priority, all of it from `large` at
/// priority 1 but a tenth.
fn fleet(arriving: [u32; 2]) -> FleetFlow {
    let listed = |organisation: &str, tokens_per_s| OrganisationDemand {
        organisation: organisation.into(),
        level: 1,
        tokens_per_s,
    };
    let flow = ServiceFlow {
        service: "pool".into(),
        arriving: arriving.to_vec(),
        organisations: vec![
            listed("large", arriving[1] - arriving[1] / 10),
            listed("small", arriving[1] / 10),
        ],
        heads: vec![HeadFlow {
            head: "a1".into(),
            released: RELEASED,
            ..HeadFlow::default()
        }],
    };
    let other = ServiceFlow {
        service: "pool".into(),
        arriving: vec![0, 100],
        ..ServiceFlow::default()
    };
    FleetFlow {
        own_domain: "a".into(),
        domains: BTreeMap::from([("a".into(), flow), ("b".into(), other)]),
        age_ms: 400,
        known_share: 0.9,
    }
}

/// Returns a chain at its target occupancy.
fn chain() -> ChainLoad {
    ChainLoad {
        head: "a1".into(),
        domain: Some("a".into()),
        room_tokens: 10_000.0,
        used_tokens: 9_200.0,
        weights: (2.0, 1.0),
    }
}

fn compute(control: &mut ServiceControl, now: Millis, fleet: &FleetFlow) {
    let cfg = ContentionConfig::default();
    let _ = control.compute(now, &cfg, vec![chain()], fleet, MAX_GAP_MS);
}

/// Guards against a status that omits who pays during overload, for how long, or the cause.
#[gtest]
fn an_overloaded_service_shows_demand_shares_and_cause() {
    let mut control = ServiceControl::default();
    let overloaded = fleet([500, 1_400]);
    for step in 0..=10 {
        compute(&mut control, 1_000 + step * STEP_MS, &overloaded);
    }
    let small = Name::from("small");
    control.record_decision(2_000, 1, Some(&small), Decision::Admitted);
    control.record_decision(2_000, 1, None, Decision::NoRoomForPriority);
    let status = control.status(2_000);
    expect_that!(status.state, eq(ControlState::InForce));
    expect_that!(status.demand_tokens_per_s, near(2_000.0, 1e-6));
    expect_that!(status.supply_tokens_per_s, some(near(1_000.0, 1.0)));
    expect_that!(status.share_of_all(), some(near(0.5, 0.01)));
    expect_that!((status.age_ms, status.known_share), eq((400, 0.9)));
    let domains = status.domains.iter();
    let domains: Vec<_> = domains
        .map(|d| (&*d.domain, d.demand_tokens_per_s as u64))
        .collect();
    expect_that!(domains, eq(&[("a", 1_900), ("b", 100)]));

    let overload = status.overload.expect("overload");
    // It began 300 ms after the first computation.
    expect_that!(overload.lasted_ms, eq(700));
    expect_that!(overload.began_share, near(0.5, 0.01));

    let [urgent, least] = &status.levels[..] else {
        panic!("two priorities in {status:?}");
    };
    expect_that!((urgent.level, urgent.below_one_ms), eq((0, None)));
    expect_that!(urgent.share, near(1.0, 1e-6));
    expect_that!((least.level, least.below_one_ms), eq((1, Some(1_000))));
    expect_that!(least.demand_tokens_per_s, near(1_500.0, 1e-6));
    expect_that!(least.share, near(1.0 / 3.0, 0.01));
    expect_that!(least.decisions.admitted_per_s, near(0.1, 1e-6));
    expect_that!(least.decisions.refused_per_s, near(0.1, 1e-6));

    let [large, small] = &status.organisations[..] else {
        panic!("two organisations in {status:?}");
    };
    expect_that!(
        (&*large.organisation, &*small.organisation),
        eq(("large", "small"))
    );
    expect_that!(large.share, lt(least.share));
    expect_that!(large.below_one_ms, some(eq(1_000)));
    expect_that!(large.below_level_ms, some(eq(1_000)));
    expect_that!(small.below_level_ms, none());
    expect_that!(small.decisions.admitted_per_s, near(0.1, 1e-6));
    expect_that!(small.decisions.refused_per_s, near(0.0, 1e-6));

    let [chain] = &status.chains[..] else {
        panic!("one chain in {status:?}");
    };
    expect_that!(
        (chain.room_tokens, chain.used_tokens),
        eq((10_000.0, 9_200.0))
    );
    expect_that!(chain.inflow_tokens_per_s, near(1_000.0, 1.0));
    expect_that!((chain.refusal_factor, chain.timeliness), eq((1.0, 1.0)));
    expect_that!(chain.flow_share, near(1.0, 1e-6));
}

/// Guards against a status that shows figures of an earlier time without saying that contention control
/// decides nothing, and against the wrong reason.
#[gtest]
fn the_status_tells_why_contention_control_is_not_in_force() {
    let mut control = ServiceControl::default();
    expect_that!(control.status(0).state, eq(ControlState::TooFewFigures));
    let complete = fleet([500, 1_400]);
    compute(&mut control, 1_000, &complete);
    expect_that!(control.status(1_000).state, eq(ControlState::InForce));
    let cases = [
        (3_001, 1.0, ControlState::FiguresTooOld),
        (400, 0.7, ControlState::TooFewFigures),
        (3_000, 0.75, ControlState::InForce),
    ];
    for (at, (age_ms, known_share, expected)) in (2_000..).step_by(100).zip(cases) {
        let figures = FleetFlow {
            age_ms,
            known_share,
            ..complete.clone()
        };
        compute(&mut control, at, &figures);
        let status = control.status(at);
        expect_that!(status.state, eq(expected));
        expect_that!(
            (status.age_ms, status.known_share),
            eq((age_ms, known_share))
        );
        let in_force = expected == ControlState::InForce;
        expect_that!(status.supply_tokens_per_s.is_some(), eq(in_force));
        expect_that!(status.organisations.is_empty(), eq(!in_force));
        expect_that!(status.demand_tokens_per_s, near(2_000.0, 1e-6));
        let reduced = status.levels.iter().filter(|p| p.share < 1.0).count();
        expect_that!(reduced > 0, eq(in_force));
    }
}

/// Guards against a state that `jwctl` cannot read: absent values and unusual names have to survive.
#[gtest]
fn a_status_survives_its_json_form() {
    let mut control = ServiceControl::default();
    for state in [
        control.status(0),
        ControlStatus::not_applied(ControlState::OnePriority),
        {
            compute(&mut control, 1_000, &fleet([500, 1_400]));
            control.status(1_000)
        },
    ] {
        // Numbers are compared as parsed: the parser may change the last digit.
        let text = serde_json::to_string(&state).unwrap();
        let parsed: serde_json::Value = serde_json::from_str(&text).unwrap();
        let read: ControlStatus = serde_json::from_value(parsed.clone()).unwrap();
        expect_that!(serde_json::to_value(read).unwrap(), eq(&parsed));
        expect_that!(
            parsed["state"],
            eq(&serde_json::to_value(state.state).unwrap())
        );
    }
}

/// Returns shares of organisations at priority 0 with demand that falls in the order of the names.
fn shares(all: &[(&str, f64)]) -> OrganisationShares {
    let demand = (0..).map(|i| 1_000.0 - f64::from(i));
    let all = all.iter().zip(demand);
    all.map(|((name, share), demand)| ((0, Name::from(*name)), (demand, *share)))
        .collect()
}

/// Replays shares at priority 0, whose share is 0.5, one entry per computation.
fn replay(
    history: &mut ShareHistory,
    from: Millis,
    steps: &[OrganisationShares],
) -> Vec<ShareChange> {
    let at = (from..).step_by(STEP_MS as usize);
    let changes = at
        .zip(steps)
        .flat_map(|(now, shares)| history.record(now, &[5_000.0], &[0.5], shares));
    changes.collect()
}

/// Guards against a line per computation while an organisation's share crosses that of its priority.
#[gtest]
fn a_share_that_crosses_repeatedly_is_reported_once_per_direction() {
    let mut history = ShareHistory::default();
    let (low, level) = (shares(&[("large", 0.3)]), shares(&[("large", 0.5)]));
    let crossing: Vec<_> = [low, level.clone()].into_iter().cycle().take(40).collect();
    let fallen = replay(&mut history, 1_000, &crossing);
    expect_that!(fallen.len(), eq(1));
    let change = &fallen[0];
    expect_that!((&*change.organisation, change.level), eq(("large", 0)));
    expect_that!(change.direction, eq(Direction::Fell));
    expect_that!((change.share, change.level_share), eq((0.3, 0.5)));
    expect_that!(change.demand_tokens_per_s, eq(1_000.0));
    // Its last low share was recorded at 4,800 ms and the first level one at 4,900 ms.
    let back = replay(&mut history, 5_000, &vec![level; 20]);
    expect_that!(back.len(), eq(1));
    expect_that!(back[0].direction, eq(Direction::Back(3_900)));
}

/// Guards against organisations that stay reported for ever once they are no longer listed.
#[gtest]
fn an_organisation_that_is_no_longer_listed_is_reported_as_back() {
    let mut history = ShareHistory::default();
    let fallen = replay(&mut history, 1_000, &[shares(&[("large", 0.3)])]);
    expect_that!(fallen.len(), eq(1));
    let key = (0, Name::from("large"));
    expect_that!(history.below_level_ms(1_050, &key), some(eq(50)));
    let back = replay(&mut history, 1_100, &vec![OrganisationShares::new(); 11]);
    expect_that!(back.len(), eq(1));
    expect_that!(back[0].direction, eq(Direction::Back(100)));
    expect_that!(back[0].demand_tokens_per_s, eq(0.0));
    expect_that!(history.below_level_ms(2_200, &key), none());
}

/// Guards against a flood of log lines from a fleet with thousands of organisations.
#[gtest]
fn at_most_eight_organisations_are_reported_at_a_time() {
    let mut history = ShareHistory::default();
    let names: Vec<String> = (0..100).map(|i| format!("org-{i:02}")).collect();
    let all: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 0.3)).collect();
    let mut steps = vec![shares(&all); 5];
    // The largest eight are others in each of the next computations.
    for first in (0..80).step_by(8) {
        steps.push(shares(&all[first..]));
    }
    let fallen = replay(&mut history, 1_000, &steps);
    let reported: Vec<&str> = fallen.iter().map(|c| &*c.organisation).collect();
    expect_that!(
        reported,
        eq(&names[..8].iter().map(String::as_str).collect::<Vec<_>>())
    );
}

/// Guards against rates that mix organisations or priorities, and against entries that stay for ever.
#[gtest]
fn decisions_are_counted_by_priority_and_organisation() {
    let mut meter = DecisionMeter::default();
    let (one, two) = (Name::from("one"), Name::from("two"));
    // Two decisions a second for a minute: one admitted, one refused every second time.
    for now in (0..60_000).step_by(1_000) {
        meter.record(now, 0, Some(&one), Decision::Admitted);
        let refused = match now % 2_000 {
            0 => Decision::NoRoomForPriority,
            _ => Decision::OrganisationAboveShare,
        };
        meter.record(now, 2, Some(&two), refused);
    }
    let now = 60_000;
    let rates = meter.of_level(now, 0);
    expect_that!(rates.admitted_per_s, near(1.0, 0.1));
    expect_that!(rates.refused_per_s, eq(0.0));
    expect_that!(meter.of_level(now, 2).refused_per_s, near(1.0, 0.1));
    expect_that!(meter.of_organisation(now, &(0, one.clone())), eq(rates));
    expect_that!(
        meter.of_organisation(now, &(0, two.clone())),
        eq(Default::default())
    );
    let rates = meter.of_organisation(now, &(2, two.clone()));
    expect_that!(rates.refused_per_s, near(1.0, 0.1));
    // A later decision forgets organisations without recent requests.
    meter.record(now + 120_000, 0, Some(&one), Decision::Admitted);
    expect_that!(
        meter.of_organisation(now, &(2, two)),
        eq(Default::default())
    );
}
