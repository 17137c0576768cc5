//! Tests of at-most-once execution with real processes: three instances, a platform and two service
//! instances, which count the runs of each call.

use googletest::prelude::*;
use jacinthweir_policy::claim::{ClaimRecord, ClaimState};
use jacinthweir_policy::prelude::Outcome;
use jacinthweir_testkit::caller::{Observation, ServiceCall};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::fleet::{Fleet, FleetCfg};
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_testkit::relay::Link;
use jacinthweir_testkit::service::Knobs;
use jacinthweir_wire::caller::ErrorCode;
use std::time::Duration;

const DEPLOYMENT: Deployment = Deployment::Tallinna;
/// A version 7 UUID of the year 2020.
const OLD_KEY: &str = "016f5e66-e800-7000-8000-000000000000";
/// Prefix of the keys of claims in the platform.
const CLAIMS: &str = "claims/";

async fn start_fleet() -> Fleet {
    let cfg = FleetCfg {
        instances: 3,
        runners: 0,
        services: 2,
        ..FleetCfg::small(DEPLOYMENT)
    };
    let fleet = Fleet::start(cfg).await.expect("starts");
    fleet.apply().await.expect("applies");
    fleet
}

/// Sends a non-idempotent call with a key to an instance.
async fn send(fleet: &Fleet, instance: usize, key: &str, body: &str) -> Observation {
    let caller = fleet.caller(DEPLOYMENT.organisations()[0]).expect("opens");
    let call = ServiceCall {
        service: DEPLOYMENT.service().into(),
        call: DEPLOYMENT.non_idempotent_call().into(),
        key: Some(key.to_owned()),
        body: body.to_owned(),
        deadline_ms: None,
    };
    caller.call(fleet.entries()[instance], &call).await
}

/// Returns how often calls with a key ran, as counted by the services.
async fn run_count(fleet: &Fleet, key: &str) -> usize {
    let mut count = 0;
    for i in 0..fleet.services.len() {
        let ran = fleet.service_admin(i).ran().await.expect("answers");
        count += ran.iter().filter(|r| r.key.as_deref() == Some(key)).count();
    }
    count
}

async fn set_services(fleet: &Fleet, knobs: Knobs) {
    for i in 0..fleet.services.len() {
        fleet.service_admin(i).set(&knobs).await.expect("sets");
    }
}

async fn set_platform_fault(fleet: &Fleet, fault: Fault) {
    fleet.platform_admin().fault(&fault).await.expect("sets");
}

/// Maximum number of polls for a claim, 5 ms apart; far more than are ever needed.
const MAX_POLLS: u32 = 4_000;

/// Waits until the claim of a key is stored in the platform.
async fn wait_for_claim(fleet: &Fleet, key: &str) -> ClaimRecord {
    for _ in 0..MAX_POLLS {
        let objects = fleet.platform_admin().objects().await.expect("answers");
        let found = objects.iter().find(|o| o.key.ends_with(key));
        if let Some(record) = found.and_then(|o| ClaimRecord::parse(&o.value)) {
            return record;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no claim of {key} was stored");
}

/// A caller sends one call to all three instances at once, as after time-outs, and later again with
/// another body. One instance claims the key; the others wait and return the same answer. The key
/// with another body and an expired key are refused without a run.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_three_instances_runs_once_and_is_answered_by_each() {
    let fleet = start_fleet().await;
    let delay_ms = Some(200);
    set_services(
        &fleet,
        Knobs {
            delay_ms,
            ..Knobs::default()
        },
    )
    .await;
    let send = |i| send(&fleet, i, "three", "shift 7");
    let seen: [Observation; 3] = tokio::join!(send(0), send(1), send(2)).into();
    for seen in &seen {
        expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");

        expect_that!(seen.text, contains_substring("shift 7"));
    }
    expect_that!(seen[1].text, eq(&seen[0].text));
    expect_that!(seen[2].text, eq(&seen[0].text));
    expect_that!(run_count(&fleet, "three").await, eq(1));
    let other = self::send(&fleet, 1, "three", "shift 8").await;
    expect_that!(other.code, some(eq(ErrorCode::KeyConflict)));
    expect_that!(other.outcome, some(eq(Outcome::NotRun)));
    let old = self::send(&fleet, 2, OLD_KEY, "shift 9").await;
    expect_that!(old.code, some(eq(ErrorCode::KeyExpired)));
    expect_that!(old.outcome, some(eq(Outcome::NotRun)));
    expect_that!(run_count(&fleet, OLD_KEY).await, eq(0));
    fleet.stop().await.expect("stops");
}

/// The write of the claim first loses its answer, then takes effect late, then meets a platform
/// outage. In the first two cases the caller is answered after the instance has read the claim back.
/// In the outage the caller is told "not run" at once, the services confirm that, and the same key
/// runs after the platform has recovered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_survives_lost_answers_late_writes_and_an_outage() {
    let fleet = start_fleet().await;
    let (next, prefix) = (1, CLAIMS.to_owned());
    let lost = Fault::LoseAnswers {
        next,
        prefix: prefix.clone(),
    };
    set_platform_fault(&fleet, lost).await;
    let seen = send(&fleet, 0, "lost", "a").await;
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    let ms = 300;
    set_platform_fault(&fleet, Fault::LateWrites { next, ms, prefix }).await;
    let seen = send(&fleet, 1, "late", "b").await;
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    set_platform_fault(&fleet, Fault::Outage).await;
    let seen = send(&fleet, 2, "outage", "c").await;
    expect_that!(seen.outcome, some(eq(Outcome::NotRun)), "{seen:?}");
    expect_that!(seen.code, some(eq(ErrorCode::PlatformDown)));
    expect_that!(seen.retry_after_ms, some(ge(1)));
    expect_that!(run_count(&fleet, "outage").await, eq(0));
    set_platform_fault(&fleet, Fault::None).await;
    let seen = send(&fleet, 0, "outage", "c").await;
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    for key in ["lost", "late", "outage"] {
        expect_that!(run_count(&fleet, key).await, eq(1), "{key}");
    }
    fleet.stop().await.expect("stops");
}

/// When the services refuse a call, the caller is told "not run" and may reuse the key at any
/// instance. When an answer is lost, the caller is told "unknown" by every instance, and the call
/// ran once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_key_may_be_used_again_and_one_with_a_lost_answer_may_not() {
    let fleet = start_fleet().await;
    let refuse = |refuse| Knobs {
        refuse: Some(refuse),
        ..Knobs::default()
    };
    set_services(&fleet, refuse(true)).await;
    let seen = send(&fleet, 0, "refused", "a").await;
    expect_that!(seen.outcome, some(eq(Outcome::NotRun)), "{seen:?}");
    set_services(&fleet, refuse(false)).await;
    let seen = send(&fleet, 1, "refused", "a").await;
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(run_count(&fleet, "refused").await, eq(1));

    let lose = Knobs {
        lose_answers: Some(1),
        ..Knobs::default()
    };
    set_services(&fleet, lose).await;
    for instance in [0, 1, 2] {
        let seen = send(&fleet, instance, "lost", "b").await;
        expect_that!(seen.outcome, some(eq(Outcome::Unknown)), "{seen:?}");
        expect_that!(seen.code, some(eq(ErrorCode::OutcomeUnknown)));
    }
    expect_that!(run_count(&fleet, "lost").await, eq(1));
    fleet.stop().await.expect("stops");
}

/// The claimant is killed while its call may be running, and restarted. The caller sends the key to
/// another instance and is told "unknown" once the new incarnation is known. It is never told "not
/// run", and the call does not run again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_claimant_leaves_the_outcome_unknown() {
    let mut fleet = start_fleet().await;
    let slow = Knobs {
        delay_ms: Some(500),
        ..Knobs::default()
    };
    set_services(&fleet, slow).await;
    let first = async {
        let seen = send(&fleet, 0, "killed", "a").await;
        expect_that!(seen.broken, some(anything()), "{seen:?}");
    };
    let pid = fleet.instances[0].process.id();
    let kill = async {
        let record = wait_for_claim(&fleet, "killed").await;
        expect_that!(record.state, eq(&ClaimState::Open));
        // The call may or may not have been sent at the kill; the outcome is unknown in both cases.
        let pid = to_rustix_pid(pid);
        rustix::process::kill_process(pid, rustix::process::Signal::KILL).expect("kills");
    };
    tokio::join!(first, kill);
    fleet.restart_instance(0).await.expect("restarts");
    let seen = send(&fleet, 1, "killed", "a").await;
    expect_that!(seen.outcome, some(eq(Outcome::Unknown)), "{seen:?}");
    expect_that!(seen.code, some(eq(ErrorCode::OutcomeUnknown)));
    expect_that!(run_count(&fleet, "killed").await, le(1));
    fleet.stop().await.expect("stops");
}

fn to_rustix_pid(pid: Option<u32>) -> rustix::process::Pid {
    let raw = i32::try_from(pid.expect("runs")).expect("fits");
    rustix::process::Pid::from_raw(raw).expect("a process id")
}

/// One organisation floods an instance with calls beyond its share of the limit of 64. The excess
/// calls are refused at once as "not run" and did not run; a call of another organisation is
/// answered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_calls_affects_only_its_organisation() {
    const FLOOD: usize = 60;
    let fleet = start_fleet().await;
    let slow = Knobs {
        delay_ms: Some(2_000),
        ..Knobs::default()
    };
    set_services(&fleet, slow).await;
    let flood = fleet.caller("shift-leads").expect("opens");
    let other = fleet.caller("dispatch-day").expect("opens");
    let call = ServiceCall {
        service: DEPLOYMENT.service().into(),
        call: DEPLOYMENT.idempotent_call().into(),
        key: Some("flood".to_owned()),
        body: String::new(),
        deadline_ms: None,
    };
    let at = fleet.entries()[0];
    let calls = futures::future::join_all((0..FLOOD).map(|_| flood.call(at, &call)));
    let (flooded, seen) = tokio::join!(calls, other.call(at, &call));
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    let refused: Vec<&Observation> = flooded.iter().filter(|s| !s.answered()).collect();
    expect_that!(refused.len(), gt(0));
    for seen in &refused {
        expect_that!(seen.outcome, some(eq(Outcome::NotRun)), "{seen:?}");
        expect_that!(seen.code, some(eq(ErrorCode::OrganisationLimit)));
        expect_that!(seen.retry_after_ms, some(ge(1)));
    }
    let answered = FLOOD - refused.len() + 1;
    expect_that!(run_count(&fleet, "flood").await, eq(answered));
    fleet.stop().await.expect("stops");
}

/// The claimant is frozen while its claim is written and resumes after the deadline of its caller.
/// It owns the claim but must no longer dispatch the call. The caller is told "not run", the
/// services confirm that, and the same key runs once through another instance.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_that_wakes_after_the_deadline_does_not_dispatch() {
    /// Far more than a call takes from its caller to the platform's link, and far less than the
    /// instance waits for the platform's answer (1 s).
    const CALL_IN_FLIGHT: Duration = Duration::from_millis(300);
    const DEADLINE: Duration = Duration::from_secs(4);
    let fleet = start_fleet().await;
    let caller = fleet.caller(DEPLOYMENT.organisations()[0]).expect("opens");
    let call = ServiceCall {
        service: DEPLOYMENT.service().into(),
        call: DEPLOYMENT.non_idempotent_call().into(),
        key: Some("frozen".to_owned()),
        body: "a".to_owned(),
        deadline_ms: Some(4_000),
    };
    fleet.platform_links[0].set(Link::Hang);
    let frozen = async {
        tokio::time::sleep(CALL_IN_FLIGHT).await;
        fleet.instances[0].process.freeze().await.expect("freezes");
        fleet.platform_links[0].set(Link::Pass);
        let record = wait_for_claim(&fleet, "frozen").await;
        expect_that!(
            record.claimant.as_ref(),
            eq(fleet.instances[0].name.as_ref())
        );
        tokio::time::sleep(DEADLINE).await;
        fleet.instances[0].process.wake().expect("wakes");
    };
    let (seen, ()) = tokio::join!(caller.call(fleet.entries()[0], &call), frozen);
    expect_that!(seen.outcome, some(eq(Outcome::NotRun)), "{seen:?}");
    expect_that!(run_count(&fleet, "frozen").await, eq(0));
    let seen = send(&fleet, 1, "frozen", "a").await;
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(run_count(&fleet, "frozen").await, eq(1));
    fleet.stop().await.expect("stops");
}
