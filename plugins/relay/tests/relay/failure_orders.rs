//! Random orders of silence, lost paths and restarts of runners, played to the real failure detector of two
//! instances under streams.
//!
//! `JACINTHWEIR_FAILURE_SEED` plays another seed than that of a usual run, `PROPTEST_CASES` another number
//! of orders.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::{Relay, RelaySettings};
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Behaviour, Cluster, Cut, NewConnections, OpenConnections, Paths, TEST_TIMEOUT, get,
    run_single_threaded, send_request,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Seed and number of orders of a usual run.
const SEED: u64 = 1;
const CASES: u32 = 3;

/// Number of steps of an order.
const STEPS: std::ops::Range<usize> = 12..24;

/// Runners that hold the model. The first ones can be cut off from the second instance.
const RUNNERS: usize = 4;

/// Time between two requests of a kind to an instance.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

/// Step of an order.
#[derive(Clone, Debug)]
enum Step {
    /// A runner accepts connections and is silent.
    Silent(usize),
    /// A runner answers no probe and no request.
    Unresponsive(usize),
    /// A runner answers again.
    Answers(usize),
    /// A runner crashes, and starts again.
    Restarts(usize),
    /// The second instance loses its paths to the first runners.
    Cut { runners: usize, cut: Cut },
    /// The second instance has all its paths again.
    Restore,
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let runner = || 0..RUNNERS;
    let new = prop_oneof![Just(NewConnections::Refused), Just(NewConnections::Hang)];
    let open = prop_oneof![
        Just(OpenConnections::Reset),
        Just(OpenConnections::Hang),
        Just(OpenConnections::LiveOn),
    ];
    let cut = (1..=RUNNERS, new, open).prop_map(|(runners, new, open)| Step::Cut {
        runners,
        cut: Cut { new, open },
    });
    prop_oneof![
        2 => runner().prop_map(Step::Silent),
        2 => runner().prop_map(Step::Unresponsive),
        4 => runner().prop_map(Step::Answers),
        1 => runner().prop_map(Step::Restarts),
        2 => cut,
        2 => Just(Step::Restore),
        6 => (20u64..400).prop_map(Step::Wait),
    ]
}

/// Two instances. The second one reaches the runners over paths that can be cut.
struct Fleet {
    cluster: Cluster,
    paths: Paths,
    second: (RelaySettings, Relay),
}

impl Fleet {
    async fn open() -> Fleet {
        let cluster = Cluster::open().await;
        let paths = Paths::open(&cluster).await;
        let second = cluster.start_instance_behind("two", &paths).await;
        Fleet {
            cluster,
            paths,
            second,
        }
    }

    fn settings(&self) -> [&RelaySettings; 2] {
        [&self.cluster.settings, &self.second.0]
    }

    fn relays(&self) -> [&Relay; 2] {
        let first = self.cluster.relay.as_ref().expect("a relay");
        [first, &self.second.1]
    }

    async fn play(&self, step: &Step) {
        let runners = &self.cluster.runners;
        match step {
            Step::Silent(i) => runners[*i].responses_paused.set(true),
            Step::Unresponsive(i) => runners[*i].behaviour.set(Behaviour::Unresponsive),
            Step::Answers(i) => {
                runners[*i].responses_paused.set(false);
                runners[*i].behaviour.set(Behaviour::Normal);
            }
            Step::Restarts(i) => runners[*i].restart(),
            Step::Cut { runners, cut } => {
                self.paths.restore();
                self.paths.cut_first(*runners, *cut);
            }
            Step::Restore => self.paths.restore(),
            Step::Wait(ms) => sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// Sends streams and calls to both instances for as long as this is awaited.
    async fn load(&self) {
        loop {
            for settings in self.settings() {
                let callers = settings.listen.callers;
                spawn_local(async move { send_request(callers, NOTES, TOKENS, "one").await });
                spawn_local(async move { send_request(callers, LOOKUP, "", "one").await });
            }
            sleep(LOAD_INTERVAL).await;
        }
    }

    /// Ends all failures, and waits until both instances use all runners and serve.
    async fn recover(&self) -> std::result::Result<(), TestCaseError> {
        self.paths.restore();
        self.cluster.set_behaviour(Behaviour::Normal);
        self.cluster.set_responses_paused(false);
        for settings in self.settings() {
            let fault = |what: &str| TestCaseError::fail(format!("{}: {what}", settings.name));
            let used = timeout(TEST_TIMEOUT, uses_all_runners(settings)).await;
            used.map_err(|_| fault("a runner that answers is not used"))?;
            let served = timeout(TEST_TIMEOUT, serves(settings)).await;
            served.map_err(|_| fault("no stream is served"))?;
        }
        Ok(())
    }

    /// Checks that no task of either instance has ended by itself.
    async fn check_tasks(&self) -> std::result::Result<(), TestCaseError> {
        for relay in self.relays() {
            if let Ok(task) = timeout(Duration::from_millis(1), relay.task_ended()).await {
                return Err(TestCaseError::fail(format!("{task} ended")));
            }
        }
        let operators = self.cluster.settings.listen.operators;
        let metrics = get(operators, "GET /metrics HTTP/1.1").await;
        let mut lines = metrics.body.lines();
        match lines.find(|l| l.starts_with("jacinthweir_tasks_ended_total")) {
            Some(line) => Err(TestCaseError::fail(line.to_owned())),
            None => Ok(()),
        }
    }
}

/// Waits until no runner counts as dead or unreachable at an instance.
async fn uses_all_runners(settings: &RelaySettings) {
    loop {
        let dump = get(settings.listen.operators, "GET /dump HTTP/1.1").await;
        let flags = ["\"dead\": true", "\"unreachable\": true"];
        if flags.iter().all(|flag| !dump.body.contains(flag)) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until an instance serves a stream.
async fn serves(settings: &RelaySettings) {
    loop {
        let got = send_request(settings.listen.callers, NOTES, TOKENS, "last").await;
        if got.status == 200 && got.complete {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn play(steps: &[Step]) -> std::result::Result<(), TestCaseError> {
    let mut outcome = Ok(());
    run_single_threaded(async {
        let fleet = Fleet::open().await;
        let order = async {
            for step in steps {
                fleet.play(step).await;
            }
        };
        tokio::select! {
            () = order => {}
            () = fleet.load() => {}
        }
        let recovered = fleet.recover().await;
        // A task that ended is why an instance does not recover.
        outcome = fleet.check_tasks().await.and(recovered);
    });
    outcome
}

fn variable<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().ok().expect("a number"))
}

/// Guards against a state of runners in which the failure detector panics, and against one that an instance
/// does not leave: a runner that answered again after a death ended the recovery task, and was never used
/// again.
#[gtest]
fn any_order_of_failures_is_survived_and_left() {
    let seed = variable("JACINTHWEIR_FAILURE_SEED", SEED);
    let config = proptest::test_runner::Config {
        cases: variable("PROPTEST_CASES", CASES),
        // Each order takes seconds, and the first failing one is printed.
        max_shrink_iters: 0,
        failure_persistence: None,
        ..Default::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let orders = proptest::collection::vec(step(), STEPS);
    let played = TestRunner::new_with_rng(config, rng).run(&orders, |steps| play(&steps));
    if let Err(e) = played {
        panic!("seed {seed}: {e}");
    }
}
