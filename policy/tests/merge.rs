//! Properties of the merge rules: records may arrive out of order and more than once.

use googletest::prelude::*;
use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::listed::{ListedInstance, ListedState};
use jacinthweir_policy::load::HeldLayers;
use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::membership::MemberRecord;
use jacinthweir_policy::membership::merge::merged;
use jacinthweir_policy::upstreams::{RunnerProfile, UpstreamRecord};
use proptest::prelude::*;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

prop_compose! {
    fn member()(
        incarnation in 1..3u64,
        heartbeat in 0..4u64,
        changed in 0..4u64,
        phase in prop_oneof![
            Just(Phase::Joining), Just(Phase::Serving), Just(Phase::Draining), Just(Phase::Gone),
        ],
        revision in 0..3u64,
        in_flight in 0..3u32,
        port in 1..3u16,
    ) -> MemberRecord {
        MemberRecord {
            state: MemberState {
                name: "a".into(),
                incarnation,
                heartbeat,
                callers: address(port),
                peers: address(port),
                operators: address(port),
                domain: "d".into(),
                phase,
                revision,
                revision_since_ms: revision,
                in_flight,
                capacity: 1_000,
            },
            changed,
        }
    }
}

prop_compose! {
    fn upstream()(
        incarnation in 1..3u64,
        number in 0..4u64,
        floor in proptest::option::of(0..4u64),
        refused in proptest::option::of(0..4u64),
        leaving in any::<bool>(),
        end in proptest::option::of(1..3u32),
        port in 1..3u16,
    ) -> UpstreamRecord {
        let holds = |end| HeldLayers { model: "m".into(), layers: LayerRange { start: 0, end } };
        UpstreamRecord {
            listed: ListedInstance {
                name: "u".into(),
                incarnation,
                group: "g".into(),
                address: address(port),
                domain: "d".into(),
                state: if leaving { ListedState::Leaving } else { ListedState::Live },
            },
            profile: end.map(|end| RunnerProfile {
                accelerator: "k".into(),
                holds: vec![holds(end)],
                token_layers_per_s: 1.0,
                checks_fencing: false,
            }),
            number,
            floor,
            refused,
        }
    }
}

fn joined(a: &UpstreamRecord, b: &UpstreamRecord) -> UpstreamRecord {
    let mut a = a.clone();
    a.merge(b);
    a
}

/// A faulty merge rule that takes the whole record with the later heartbeat.
fn last_heartbeat_wins(a: &MemberRecord, b: &MemberRecord) -> MemberRecord {
    let newer = b.state.heartbeat > a.state.heartbeat;
    if newer { b.clone() } else { a.clone() }
}

/// Returns whether `now` reverts any field of `before`.
fn reverts(before: &MemberRecord, now: &MemberRecord) -> bool {
    let (b, n) = (&before.state, &now.state);
    if n.incarnation != b.incarnation {
        return n.incarnation < b.incarnation;
    }
    n.heartbeat < b.heartbeat || n.phase < b.phase || now.changed < before.changed
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 4_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn members_merge_in_any_order(a in member(), b in member(), c in member()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&a, &merged(&b, &c)), merged(&merged(&a, &b), &c));
        prop_assert_eq!(merged(&a, &a), a);
    }

    #[test]
    fn a_merge_never_reverts(a in member(), b in member()) {
        prop_assert!(!reverts(&a, &merged(&a, &b)));
        prop_assert!(!reverts(&b, &merged(&a, &b)));
    }

    #[test]
    fn upstreams_merge_in_any_order(a in upstream(), b in upstream(), c in upstream()) {
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&a, &joined(&b, &c)), joined(&joined(&a, &b), &c));
        prop_assert_eq!(joined(&a, &a), a);
    }

    #[test]
    fn a_leaving_upstream_stays_leaving(a in upstream(), b in upstream()) {
        let both = joined(&a, &b);
        let same = both.listed.incarnation == a.listed.incarnation;
        prop_assert!(!(same && a.leaving()) || both.leaving());
    }
}

#[gtest]
fn the_check_rejects_a_rule_that_reverts() {
    let record = |heartbeat, phase| {
        let mut runner = proptest::test_runner::TestRunner::deterministic();
        let tree = member().new_tree(&mut runner).expect("a record");
        let mut record = proptest::strategy::ValueTree::current(&tree);
        record.state.heartbeat = heartbeat;
        record.state.phase = phase;
        record
    };
    let (gone, late) = (record(1, Phase::Gone), record(2, Phase::Serving));
    expect_that!(reverts(&gone, &last_heartbeat_wins(&gone, &late)), eq(true));
    expect_that!(reverts(&gone, &merged(&gone, &late)), eq(false));
}
