//! Tests of answers whose runner falls silent for a moment and goes on: a sound runner may do so, and the
//! answer goes on with it.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::{ModelCall, Observation};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::runner::overrides::Overrides;
use jacinthweir_testkit::{Fleet, FleetCfg, text};
use jacinthweir_wire::operator::UpstreamStatus;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const DEPLOYMENT: Deployment = Deployment::Tallinna;
const PROMPT: &str = "#len=400 who takes the closure";
const MAX_TOKENS: u32 = 500;
/// Speed at which an answer lasts much longer than the silence takes to begin.
const SPEED: f64 = 0.2;
/// How long a runner is silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Tokens after which the instance knows the usual gap between two.
const WARM_UP_TOKENS: usize = 60;
/// Runners of which one is the only holder of the last layers.
const RUNNERS_WITHOUT_SPARE: usize = 5;
/// The only holder of the last layers among them.
const SOLE_HOLDER: usize = 4;
/// Attempts of one request, at most.
const MAX_ATTEMPTS: u32 = 16;
/// Delay of a link at which the retry budget refills faster than broken attempts empty it.
const SLOW_LINK_US: u64 = 150_000;
/// Delay of a link between two runners.
const LINK_US: u64 = 100;
/// Longest time after which routes follow the state of the runners.
const ROUTES_UPDATED: Duration = Duration::from_millis(300);
/// Holders of the last layers in a fleet of the usual size.
const LAST_RUNNERS: [usize; 2] = [4, 6];
/// Streams that run at a time where several do.
const STREAMS: usize = 12;
/// Interval between two looks at what the runners received.
const POLL: Duration = Duration::from_millis(10);

/// A stream in progress.
struct Stream {
    task: JoinHandle<Observation>,
    tokens: mpsc::UnboundedReceiver<String>,
}

async fn start_fleet(runners: usize) -> Fleet {
    let cfg = FleetCfg {
        instances: 1,
        runners,
        services: 0,
        speed: SPEED,
        ..FleetCfg::small(DEPLOYMENT)
    };
    let fleet = Fleet::start(cfg).await.expect("the fleet starts");
    fleet.apply().await.expect("the sample schema is applied");
    fleet
}

impl Stream {
    fn start(fleet: &Fleet) -> Stream {
        let caller = fleet.caller("signals").expect("a caller");
        let at = fleet.entries()[0];
        let (tx, tokens) = mpsc::unbounded_channel();
        let call = ModelCall {
            pipeline: "roster".into(),
            prompt: PROMPT.to_owned(),
            max_tokens: MAX_TOKENS,
            deadline_ms: None,
        };
        let task = tokio::spawn(async move {
            let mut show = |piece: &str| drop(tx.send(piece.to_owned()));
            caller.complete_with(at, &call, &mut show).await
        });
        Stream { task, tokens }
    }

    async fn read_tokens(&mut self, count: usize) {
        for _ in 0..count {
            expect_that!(self.tokens.recv().await, some(anything()), "no token");
        }
    }

    async fn expect_whole_answer(self) {
        let seen = self.task.await.expect("the caller's task ends");
        expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
        expect_that!(seen.text, eq(&text::answer(PROMPT, MAX_TOKENS)));
    }
}

/// Pauses a runner for [`SILENCE`].
async fn silence(fleet: &Fleet, runner: usize) {
    let process = &fleet.runners[runner].process;
    process.freeze().await.expect("it is paused");
    tokio::time::sleep(SILENCE).await;
    process.wake().expect("it goes on");
}

/// Makes a runner leave, and waits until no route leads through it any more.
async fn close(fleet: &Fleet, runner: usize) {
    let leaving = Overrides {
        leaving: Some(true),
        ..Overrides::default()
    };
    fleet
        .runner_admin(runner)
        .set(&leaving)
        .await
        .expect("sets");
    let operator = fleet.instances[0].operator().expect("an operator");
    let name = &fleet.runners[runner].listing.name;
    let is_leaving = |u: &UpstreamStatus| u.name == *name && u.state == "leaving";
    while !operator
        .status()
        .await
        .expect("a status")
        .upstreams
        .iter()
        .any(is_leaving)
    {
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(ROUTES_UPDATED).await;
}

/// Returns the numbers of the attempts that reached a first runner, in order.
async fn attempts(fleet: &Fleet) -> Vec<u32> {
    let mut attempts = Vec::new();
    for (i, runner) in fleet.runners.iter().enumerate() {
        if runner.process.id().is_some() {
            let witness = fleet.runner_admin(i).witness().await;
            let received = witness.expect("the runner answers").received;
            attempts.extend(received.iter().filter(|r| r.first).map(|r| r.attempt));
        }
    }
    attempts.sort_unstable();
    attempts
}

/// Returns a runner other than `first` that runs an attempt.
async fn later_runner(fleet: &Fleet, first: usize, attempt: u32) -> usize {
    for i in (0..fleet.runners.len()).filter(|i| *i != first) {
        if fleet.runners[i].process.id().is_some() {
            let witness = fleet.runner_admin(i).witness().await;
            let ran = witness.expect("the runner answers").ran;
            if ran.iter().any(|token| token.attempt == attempt) {
                return i;
            }
        }
    }
    panic!("attempt {attempt} has a single runner");
}

/// Guards against giving up the only run of an answer because its runner is silent for a moment, where no
/// other route leads to all layers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_outlives_the_silence_of_the_only_route() {
    let fleet = start_fleet(RUNNERS_WITHOUT_SPARE).await;
    let mut stream = Stream::start(&fleet);
    stream.read_tokens(WARM_UP_TOKENS).await;
    silence(&fleet, SOLE_HOLDER).await;
    stream.expect_whole_answer().await;
    expect_that!(attempts(&fleet).await, elements_are![eq(&1)]);
    fleet.stop().await.expect("the fleet stops");
}

/// Guards against giving up a run that has given nothing yet because its runner is silent for a moment.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_not_begun_outlives_the_silence_of_the_only_route() {
    let fleet = start_fleet(RUNNERS_WITHOUT_SPARE).await;
    // The instance learns how long a first token takes.
    Stream::start(&fleet).expect_whole_answer().await;
    let silent = &fleet.runners[SOLE_HOLDER].process;
    silent.freeze().await.expect("it is paused");
    let stream = Stream::start(&fleet);
    tokio::time::sleep(SILENCE).await;
    silent.wake().expect("it goes on");
    stream.expect_whole_answer().await;
    expect_that!(attempts(&fleet).await, elements_are![eq(&1), eq(&1)]);
    fleet.stop().await.expect("the fleet stops");
}

/// Guards against ending an answer because its runner is silent for a moment and the request may not be
/// tried again, though its run goes on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_outlives_the_silence_of_its_last_attempt() {
    const FIRST: usize = 0;
    const OTHER_FIRST: usize = 1;
    let fleet = start_fleet(FleetCfg::small(DEPLOYMENT).runners).await;
    // One runner begins all attempts, so that exactly the first fifteen are cut.
    close(&fleet, OTHER_FIRST).await;
    let admin = fleet.runner_admin(FIRST);
    let cuts = Overrides {
        cut: Some(MAX_ATTEMPTS - 1),
        link_delay_us: Some(SLOW_LINK_US),
        ..Overrides::default()
    };
    admin.set(&cuts).await.expect("sets");
    let mut stream = Stream::start(&fleet);
    while !attempts(&fleet).await.contains(&MAX_ATTEMPTS) {
        expect_false!(stream.task.is_finished());
        tokio::time::sleep(POLL).await;
    }
    let quick = Overrides {
        link_delay_us: Some(LINK_US),
        ..Overrides::default()
    };
    admin.set(&quick).await.expect("sets");
    stream
        .read_tokens(2 * (MAX_ATTEMPTS as usize - 1) + WARM_UP_TOKENS)
        .await;
    silence(&fleet, later_runner(&fleet, FIRST, MAX_ATTEMPTS).await).await;
    stream.expect_whole_answer().await;
    let all: Vec<u32> = (1..=MAX_ATTEMPTS).collect();
    expect_that!(attempts(&fleet).await, eq(&all));
    fleet.stop().await.expect("the fleet stops");
}

/// Makes all runners refuse new attempts as busy, or take them again.
async fn set_refuse(fleet: &Fleet, refuse: bool) {
    for i in 0..fleet.runners.len() {
        let overrides = Overrides {
            refuse: Some(refuse),
            ..Overrides::default()
        };
        fleet.runner_admin(i).set(&overrides).await.expect("sets");
    }
}

/// Returns the runner of the last layers that runs the most streams.
async fn busiest_last_runner(fleet: &Fleet) -> usize {
    let mut busiest = (0, 0);
    for i in LAST_RUNNERS {
        let witness = fleet.runner_admin(i).witness().await;
        let ran = witness.expect("the runner answers").ran;
        let streams: BTreeSet<Name> = ran.into_iter().map(|token| token.request).collect();
        busiest = busiest.max((streams.len(), i));
    }
    busiest.1
}

/// Guards against ending the answers of a runner that is silent for a moment because all others are full
/// meanwhile, which uses up the retry budget.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_outlive_a_silence_while_other_runners_are_full() {
    let fleet = start_fleet(FleetCfg::small(DEPLOYMENT).runners).await;
    let mut streams: Vec<Stream> = (0..STREAMS).map(|_| Stream::start(&fleet)).collect();
    for stream in &mut streams {
        stream.read_tokens(WARM_UP_TOKENS).await;
    }
    set_refuse(&fleet, true).await;
    silence(&fleet, busiest_last_runner(&fleet).await).await;
    set_refuse(&fleet, false).await;
    for stream in streams {
        stream.expect_whole_answer().await;
    }
    fleet.stop().await.expect("the fleet stops");
}
