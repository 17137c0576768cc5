//! Real processes that fail under a caller: instances and runners are killed or stand still.

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

async fn fleet() -> Fleet {
    let fleet = Fleet::start(FleetCfg::small(DEPLOYMENT)).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.apply().await.expect("the sample schema is applied");
    fleet
}

fn ask(prompt: &str) -> ModelCall {
    ModelCall {
        // The pipeline with the longest answers.
        pipeline: "roster".into(),
        prompt: prompt.to_owned(),
        max_tokens: MAX_TOKENS,
        deadline_ms: None,
    }
}

// The caller sees its connection refused, asks again which address to use, and is served. The
// instance that it was told to use is killed after the answer; the others still name it for a
// while, so the caller goes down the list that it was given.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_asks_again_is_served_after_an_instance_was_killed() {
    let mut fleet = fleet().await;
    let caller = fleet.caller("signals").expect("a caller");
    let told = caller.entry(fleet.entries()[0]).await.expect("an answer");
    let first = told.addresses[0].address;
    let killed = fleet
        .instances
        .iter_mut()
        .find(|i| i.listen.callers == first);
    let killed = killed.expect("one of the fleet's");
    killed.process.kill().await.expect("it is killed");
    let lost = caller.complete(first, &ask("lost")).await;
    expect_that!(lost.not_connected, eq(true));
    let cache = EntryCache::new(caller.clone(), fleet.entries());
    let mut seen = lost;
    for at in cache.addresses().await {
        seen = caller.complete(at, &ask("served")).await;
        if !seen.not_connected {
            break;
        }
    }
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(seen.text, eq(&text::answer("served", MAX_TOKENS)));
    fleet.stop().await.expect("the fleet stops");
}

// The caller sees one whole answer. The runner of a middle stage is killed after the first tokens
// have arrived; the attempt breaks off, and another one resumes from the tokens that the caller
// has, over the stages that are left.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_after_a_runner_of_its_route_was_killed() {
    let mut fleet = fleet().await;
    let prompt = "#len=400 who takes the closure";
    let caller = fleet.caller("signals").expect("a caller");
    let at = fleet.entries()[1];
    let (tx, mut rx) = mpsc::unbounded_channel();
    let asking = tokio::spawn(async move {
        let mut show = |piece: &str| drop(tx.send(piece.to_owned()));
        caller.complete_with(at, &ask(prompt), &mut show).await
    });
    if rx.recv().await.is_none() {
        let seen = asking.await.expect("the caller's task ends");
        let log = fleet.instances[1].process.log_tail();
        panic!("no first token: {seen:?}\n{log}");
    }
    let middle = middle_runner(&fleet).await;
    fleet.runners[middle]
        .process
        .kill()
        .await
        .expect("it is killed");
    let seen = asking.await.expect("the caller's task ends");
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(seen.text, eq(&text::answer(prompt, MAX_TOKENS)));
    // Else the kill came too late and showed nothing.
    expect_that!(attempts(&fleet, middle).await, ge(2));
    fleet.stop().await.expect("the fleet stops");
}

/// Starts a stream at an instance and waits for its first token.
async fn begun(
    fleet: &Fleet,
    at: usize,
    prompt: String,
) -> (JoinHandle<Observation>, mpsc::UnboundedReceiver<String>) {
    let caller = fleet.caller("signals").expect("a caller");
    let at = fleet.entries()[at];
    let (tx, mut rx) = mpsc::unbounded_channel();
    let asking = tokio::spawn(async move {
        let mut show = |piece: &str| drop(tx.send(piece.to_owned()));
        caller.complete_with(at, &ask(&prompt), &mut show).await
    });
    expect_that!(rx.recv().await, some(anything()), "no first token");
    (asking, rx)
}

// The caller sees one whole answer. The runner of a middle stage stands still after the first
// tokens have arrived: its connections stay open and nothing comes. The silence counts as a stall,
// and another attempt resumes from the tokens that the caller has, past the runners that the stall
// speaks against.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_after_a_runner_of_its_route_froze() {
    let fleet = fleet().await;
    let prompt = "#len=400 who takes the night";
    let (asking, _rx) = begun(&fleet, 1, prompt.to_owned()).await;
    let middle = middle_runner(&fleet).await;
    let frozen = &fleet.runners[middle].process;
    frozen.freeze().expect("it stands still");
    let seen = asking.await.expect("the caller's task ends");
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    expect_that!(seen.text, eq(&text::answer(prompt, MAX_TOKENS)));
    // Else it stood still too late and showed nothing.
    expect_that!(attempts(&fleet, middle).await, ge(2));
    fleet.stop().await.expect("the fleet stops");
}

// The callers see each stream end: answered whole, or with an error behind a part of the right
// answer. All runners of a failure domain are killed after every stream's first token; what broke
// off is resumed over the other domains.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_end_truthfully_after_a_failure_domains_runners_were_killed() {
    let mut cfg = FleetCfg::small(DEPLOYMENT);
    cfg.runners = 18;
    let fleet = Fleet::start(cfg).await;
    let mut fleet = fleet.expect("the fleet starts");
    fleet.apply().await.expect("the sample schema is applied");
    let prompt = |i: usize| format!("#len=400 closure number {i}");
    let mut streams = Vec::new();
    for i in 0..fleet.instances.len() {
        streams.push(begun(&fleet, i, prompt(i)).await);
    }
    let domain = DEPLOYMENT.domain(1);
    let runners = fleet.runners.iter_mut();
    for runner in runners.filter(|r| r.listing.domain == domain) {
        runner.process.kill().await.expect("it is killed");
    }
    for (i, (asking, _rx)) in streams.into_iter().enumerate() {
        let seen = asking.await.expect("the caller's task ends");
        let right = text::answer(&prompt(i), MAX_TOKENS);
        match seen.outcome {
            Some(Outcome::Answered) => expect_that!(seen.text, eq(&right)),
            Some(Outcome::Failed) => expect_that!(right, starts_with(seen.text.clone())),
            other => panic!("a stream that had begun ended as {other:?}: {seen:?}"),
        }
    }
    fleet.stop().await.expect("the fleet stops");
}

/// A runner that ran something without being the first stage of it.
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

/// Greatest attempt number that the runners but the killed one saw.
async fn attempts(fleet: &Fleet, killed: usize) -> u32 {
    let mut greatest = 0;
    for i in (0..fleet.runners.len()).filter(|i| *i != killed) {
        let witness = fleet.runner_admin(i).witness().await;
        let received = witness.expect("the runner answers").received;
        let own = received.iter().map(|r| r.attempt).max();
        greatest = greatest.max(own.unwrap_or(0));
    }
    greatest
}
