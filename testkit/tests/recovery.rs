//! Tests of recovery while callers wait: instances and runners are killed or frozen.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::{ModelCall, Observation};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::load::entry::EntryCache;
use jacinthweir_testkit::{Fleet, FleetCfg, text};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const DEPLOYMENT: Deployment = Deployment::Tallinna;
const MAX_TOKENS: u32 = 500;

/// Time between two signals to an instance, far shorter than an answer.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(200);

async fn start_fleet() -> Fleet {
    let fleet = Fleet::start(FleetCfg::small(DEPLOYMENT)).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.apply().await.expect("the sample schema is applied");
    fleet
}

fn model_call(prompt: &str) -> ModelCall {
    ModelCall {
        // The pipeline with the longest answers.
        pipeline: "roster".into(),
        prompt: prompt.to_owned(),
        max_tokens: MAX_TOKENS,
        deadline_ms: None,
    }
}

// The instance that the entry answer names first is killed after that answer. The connection of
// the caller is refused, it asks for addresses again and is served. The other instances still name
// the killed one for some time, so the caller tries the addresses of the list in order.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_asks_again_is_served_after_an_instance_was_killed() {
    let mut fleet = start_fleet().await;
    let caller = fleet.caller("signals").expect("a caller");
    let told = caller.entry(fleet.entries()[0]).await.expect("an answer");
    let first = told.addresses[0].address;
    let killed = fleet
        .instances
        .iter_mut()
        .find(|i| i.listen.callers == first);
    let killed = killed.expect("one of the fleet's");
    killed.process.kill().await.expect("it is killed");
    let lost = caller.complete(first, &model_call("lost")).await;
    expect_that!(lost.not_connected, eq(true));
    let cache = EntryCache::new(caller.clone(), fleet.entries());
    let mut seen = lost;
    for at in cache.addresses().await {
        seen = caller.complete(at, &model_call("served")).await;
        if !seen.not_connected {
            break;
        }
    }
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(seen.text, eq(&text::answer("served", MAX_TOKENS)));
    fleet.stop().await.expect("the fleet stops");
}

// The runner of a middle stage is killed after the first tokens have arrived. The attempt breaks
// off, and another one resumes from the tokens that the caller has, over the remaining runners. The
// caller receives one complete answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_after_a_runner_of_its_route_was_killed() {
    let mut fleet = start_fleet().await;
    let prompt = "#len=400 who takes the closure";
    let caller = fleet.caller("signals").expect("a caller");
    let at = fleet.entries()[1];
    let (tx, mut rx) = mpsc::unbounded_channel();
    let stream = tokio::spawn(async move {
        let mut show = |piece: &str| drop(tx.send(piece.to_owned()));
        caller
            .complete_with(at, &model_call(prompt), &mut show)
            .await
    });
    if rx.recv().await.is_none() {
        let seen = stream.await.expect("the caller's task ends");
        let log = fleet.instances[1].process.log_tail();
        panic!("no first token: {seen:?}\n{log}");
    }
    let middle = middle_runner(&fleet).await;
    fleet.runners[middle]
        .process
        .kill()
        .await
        .expect("it is killed");
    let seen = stream.await.expect("the caller's task ends");
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(seen.text, eq(&text::answer(prompt, MAX_TOKENS)));
    // With fewer max_attempt the kill came too late to interrupt the stream.
    expect_that!(max_attempt(&fleet, middle).await, ge(2));
    fleet.stop().await.expect("the fleet stops");
}

/// Starts a stream at an instance and waits for its first token.
async fn start_stream(
    fleet: &Fleet,
    at: usize,
    prompt: String,
) -> (JoinHandle<Observation>, mpsc::UnboundedReceiver<String>) {
    let caller = fleet.caller("signals").expect("a caller");
    let at = fleet.entries()[at];
    let (tx, mut rx) = mpsc::unbounded_channel();
    let stream = tokio::spawn(async move {
        let mut show = |piece: &str| drop(tx.send(piece.to_owned()));
        caller
            .complete_with(at, &model_call(&prompt), &mut show)
            .await
    });
    expect_that!(rx.recv().await, some(anything()), "no first token");
    (stream, rx)
}

// The runner of a middle stage is frozen after the first tokens have arrived: its connections stay
// open and nothing arrives. The silence counts as a stall, and another attempt resumes from the
// tokens that the caller has, avoiding the runners implicated by the stall. The caller receives one
// complete answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_after_a_runner_of_its_route_froze() {
    let fleet = start_fleet().await;
    let prompt = "#len=400 who takes the night";
    let (stream, _rx) = start_stream(&fleet, 1, prompt.to_owned()).await;
    let middle = middle_runner(&fleet).await;
    let frozen = &fleet.runners[middle].process;
    frozen.freeze().await.expect("it is frozen");
    let seen = stream.await.expect("the caller's task ends");
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(seen.text, eq(&text::answer(prompt, MAX_TOKENS)));
    // With fewer max_attempt the freeze came too late to interrupt the stream.
    expect_that!(max_attempt(&fleet, middle).await, ge(2));
    fleet.stop().await.expect("the fleet stops");
}

// All runners of a failure domain are killed after the first token of every stream. Interrupted
// streams resume over the other domains. Each stream must end with the complete answer, or with an
// error after a prefix of the correct answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_end_correctly_after_a_failure_domains_runners_were_killed() {
    let mut cfg = FleetCfg::small(DEPLOYMENT);
    cfg.runners = 18;
    let fleet = Fleet::start(cfg).await;
    let mut fleet = fleet.expect("the fleet starts");
    fleet.apply().await.expect("the sample schema is applied");
    let prompt = |i: usize| format!("#len=400 closure number {i}");
    let mut streams = Vec::new();
    for i in 0..fleet.instances.len() {
        streams.push(start_stream(&fleet, i, prompt(i)).await);
    }
    let domain = DEPLOYMENT.domain(1);
    let runners = fleet.runners.iter_mut();
    for runner in runners.filter(|r| r.listing.domain == domain) {
        runner.process.kill().await.expect("it is killed");
    }
    for (i, (stream, _rx)) in streams.into_iter().enumerate() {
        let seen = stream.await.expect("the caller's task ends");
        let right = text::answer(&prompt(i), MAX_TOKENS);
        match seen.outcome {
            Some(Outcome::Answered) => expect_that!(seen.text, eq(&right)),
            Some(Outcome::Failed) => expect_that!(right, starts_with(seen.text.clone())),
            other => panic!("a stream that had begun ended as {other:?}: {seen:?}"),
        }
    }
    fleet.stop().await.expect("the fleet stops");
}

/// Returns a runner that ran work as a later stage and never as the first one.
async fn middle_runner(fleet: &Fleet) -> usize {
    for i in 0..fleet.runners.len() {
        let witness = fleet.runner_admin(i).witness().await;
        let witness = witness.expect("the runner answers");
        let first = witness.received.iter().any(|r| r.first);
        if !witness.ran.is_empty() && !first {
            return i;
        }
    }
    panic!("no runner ran as a later stage");
}

/// Returns the greatest attempt number seen by the runners other than the killed one.
async fn max_attempt(fleet: &Fleet, killed: usize) -> u32 {
    let mut greatest = 0;
    for i in (0..fleet.runners.len()).filter(|i| *i != killed) {
        let witness = fleet.runner_admin(i).witness().await;
        let received = witness.expect("the runner answers").received;
        let own = received.iter().map(|r| r.attempt).max();
        greatest = greatest.max(own.unwrap_or(0));
    }
    greatest
}

// An instance is told to stop at once, by a second signal, while it generates an answer. The caller is told
// how its request ended. Guards against a closed connection, which says nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_stop_ends_gets_a_final_answer() {
    let mut fleet = start_fleet().await;
    let prompt = "#len=400 who stops".to_owned();
    let (stream, _rx) = start_stream(&fleet, 1, prompt).await;
    let process = &mut fleet.instances[1].process;
    process.terminate().expect("a signal");
    // Two signals that come together are one.
    tokio::time::sleep(BETWEEN_SIGNALS).await;
    process.terminate().expect("a signal");
    let seen = stream.await.expect("the caller's task ends");
    expect_that!(seen.outcome, some(eq(Outcome::Failed)), "{seen:?}");
    fleet.stop().await.expect("the fleet stops");
}
