//! Tests of the quarantine at the product's own interface with real processes: runners whose
//! processes exit on a lethal message.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_testkit::caller::{ChatCall, Observation};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::fleet::{Fleet, FleetCfg};
use jacinthweir_testkit::runner::overrides::Overrides;
use jacinthweir_wire::caller::{ChatMessage, ErrorCode};

const DEPLOYMENT: Deployment = Deployment::Tallinna;

/// Message that crashes each runner which begins to write an answer on it.
const LETHAL: &str = "the lethal document";

/// Different requests with that message.
const REQUESTS: usize = 6;

/// Crashes after which requests with the message must not be sent any more.
const CRASH_THRESHOLD: usize = 5;

/// Sends that may already be in progress then.
const IN_FLIGHT_SENDS: usize = 3;

/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// Longest wait for a runner's process to end.
const EXIT_TIMEOUT: Duration = Duration::from_millis(200);

async fn start_fleet() -> Fleet {
    let cfg = FleetCfg {
        instances: 3,
        services: 0,
        ..FleetCfg::small(DEPLOYMENT)
    };
    let fleet = Fleet::start(cfg).await.expect("starts");
    fleet.apply().await.expect("applies");
    fleet.wait_serving().await.expect("serves");
    fleet
}

async fn set_lethal(fleet: &Fleet, i: usize) {
    let overrides = Overrides {
        lethal: Some(LETHAL.to_owned()),
        ..Overrides::default()
    };
    fleet.runner_admin(i).set(&overrides).await.expect("sets");
}

/// Sends a conversation that differs from all others in its last message.
async fn send(fleet: &Fleet, instance: usize, document: &str, own: usize) -> Observation {
    let message = |role: &str, content: String| ChatMessage {
        role: role.to_owned(),
        content,
    };
    let call = ChatCall {
        pipeline: DEPLOYMENT.pipeline().into(),
        messages: vec![
            message("system", "Answer briefly.".to_owned()),
            message("user", document.to_owned()),
            message("user", format!("question {own}")),
        ],
        max_tokens: 8,
        deadline_ms: Some(DEADLINE_MS),
    };
    let caller = fleet.caller(DEPLOYMENT.organisations()[0]).expect("opens");
    caller.chat(fleet.entries()[instance], &call).await
}

/// Restarts the runners whose processes have exited; returns their number.
async fn restart_crashed(fleet: &mut Fleet) -> usize {
    let mut crashed = 0;
    for i in 0..fleet.runners.len() {
        let ended = fleet.runners[i].process.ended(EXIT_TIMEOUT).await;
        if ended.expect("a state").is_some() {
            crashed += 1;
            fleet.restart_runner(i).await.expect("restarts");
            set_lethal(fleet, i).await;
        }
    }
    crashed
}

/// Conversations of which no two are alike share a message that crashes runners. Guards against the
/// interface judging each request by itself, and each instance by what it saw: all first runners would
/// crash under each of them. Sound conversations with the same instructions are served.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn different_requests_with_a_lethal_message_are_quarantined() {
    let mut fleet = start_fleet().await;
    for i in 0..fleet.runners.len() {
        set_lethal(&fleet, i).await;
    }
    let mut crashes = 0;
    let mut last = Observation::default();
    for n in 0..REQUESTS {
        last = send(&fleet, n % fleet.instances.len(), LETHAL, n).await;
        crashes += restart_crashed(&mut fleet).await;
        fleet.wait_serving().await.expect("serves");
        let sound = send(&fleet, n % fleet.instances.len(), "a document", 100 + n).await;
        expect_true!(sound.answered(), "{sound:?}");
    }
    expect_that!(crashes, le(CRASH_THRESHOLD + IN_FLIGHT_SENDS));
    expect_that!(last.code, some(eq(ErrorCode::Quarantined)), "{last:?}");
    expect_that!(last.retry_after_ms, some(gt(0)));
    fleet.stop().await.expect("stops");
}
