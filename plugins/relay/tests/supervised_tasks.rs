//! Tasks that end by themselves, by a panic or by returning. With the feature `failpoints` only.

// Not all of the cluster is used here.
#![allow(dead_code, unused_imports, clippy::disallowed_methods)]

#[path = "support/standin.rs"]
mod standin;

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use fail::FailScenario;
use googletest::prelude::*;
use jacinthweir_relay::{OnEnd, Relay, RelaySettings, TaskName};
use standin::{Behaviour, Cluster, TEST_TIMEOUT, get, run_single_threaded, send_request};
use tokio::time::{sleep, timeout};

const NOTES: &str = "POST /notes/1?q=2 HTTP/1.1";
const TOKENS: &str = "X-Jacinthweir-Token-Counts: 10,6\r\n";

/// Arms actions at the point of a task of an instance.
fn arm(settings: &RelaySettings, task: impl Display, actions: &str) {
    let point = format!("task.{task}.{}", settings.name);
    fail::cfg(point, actions).expect("actions");
}

/// Returns how often a task of this process has ended by itself.
async fn ended(settings: &RelaySettings, task: impl Display) -> u64 {
    let metrics = get(settings.listen.operators, "GET /metrics HTTP/1.1").await;
    let series = format!("jacinthweir_tasks_ended_total{{task=\"{task}\"}} ");
    let mut counts = metrics.body.lines().filter_map(|l| l.strip_prefix(&series));
    counts.next().map_or(0, |v| v.parse().expect("a count"))
}

async fn wait_until_ended(settings: &RelaySettings, task: impl Display, count: u64) {
    let wait = async {
        while ended(settings, &task).await < count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect("the end counted");
}

async fn task_ended(relay: &Relay) -> TaskName {
    let ended = timeout(TEST_TIMEOUT, relay.task_ended()).await;
    ended.expect("a task that ends the process")
}

fn tasks(on_end: OnEnd) -> impl Iterator<Item = TaskName> {
    let all = TaskName::ALL.into_iter();
    all.filter(move |t| t.on_end() == on_end)
}

fn listener(settings: &RelaySettings, task: TaskName) -> SocketAddr {
    let listen = &settings.listen;
    match task {
        TaskName::CallersListener => listen.callers,
        TaskName::ReadinessListener => listen.ready,
        TaskName::EntryListener => listen.entry,
        TaskName::PeersListener => listen.peers,
        TaskName::OperatorsListener => listen.operators,
        other => panic!("{other} is no listener"),
    }
}

/// Guards against an instance that lives on without one of its tasks: its recovery task ended by a
/// panic that nothing noticed, and it never sent to a runner again that it had once found dead.
#[gtest]
fn a_task_that_an_instance_cannot_do_without_ends_it() {
    let _scenario = FailScenario::setup();
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for (way, action) in [("panics", "return(panic)"), ("returns", "return(return)")] {
            for task in tasks(OnEnd::EndProcess) {
                let name = format!("{task}-{way}");
                let (settings, relay) = cluster.start_unready_instance(&name).await;
                let before = ended(&settings, task).await;
                arm(&settings, task, action);
                expect_that!(task_ended(&relay).await, eq(task));
                expect_that!(ended(&settings, task).await, eq(before + 1));
            }
        }
    });
}

/// Guards against a process that ends, with all streams of its callers, because of a listener, and
/// against one that accepts no connections any more.
#[gtest]
fn a_listener_that_ends_accepts_again_and_streams_go_on() {
    let _scenario = FailScenario::setup();
    run_single_threaded(async {
        let cluster = Cluster::with_long_timeouts(|_| {}).await;
        let settings = &cluster.settings;
        cluster.set_responses_paused(true);
        let stream = send_request(cluster.callers(), NOTES, TOKENS, "prompt");
        let restarts = async {
            while cluster.run_count() == 0 {
                sleep(Duration::from_millis(5)).await;
            }
            for task in tasks(OnEnd::Restart) {
                let before = ended(settings, task).await;
                arm(settings, task, "1*return(panic)->off");
                wait_until_ended(settings, task, before + 1).await;
                let answer = get(listener(settings, task), "GET /none HTTP/1.1").await;
                expect_that!(answer.status, ge(400));
            }
            cluster.set_responses_paused(false);
        };
        let (got, ()) = tokio::join!(stream, restarts);
        expect_that!(got.status, eq(200));
        expect_true!(got.complete);
        expect_that!(got.event_ids(), eq(&[1, 2, 3, 4, 5, 6]));
        let relay = cluster.relay.as_ref().expect("a relay");
        let over = timeout(Duration::from_millis(1), relay.task_ended()).await;
        expect_true!(over.is_err());
    });
}

/// Guards against a listener that ends each time it starts and keeps the process, which nobody reaches,
/// from being replaced.
#[gtest]
fn a_listener_that_keeps_ending_ends_the_instance() {
    let _scenario = FailScenario::setup();
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for task in tasks(OnEnd::Restart) {
            let (settings, relay) = cluster.start_unready_instance(&task.to_string()).await;
            arm(&settings, task, "return(panic)");
            expect_that!(task_ended(&relay).await, eq(task));
        }
    });
}

/// Guards against a silent runner that is never examined again, and gets requests for ever, since an
/// examination of it panicked.
#[gtest]
fn a_runner_is_examined_again_after_a_panic_in_its_examination() {
    let _scenario = FailScenario::setup();
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let settings = &cluster.settings;
        arm(settings, "examination", "1*return(panic)->off");
        cluster.runners[0].behaviour.set(Behaviour::Unresponsive);
        let calls = async {
            loop {
                send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
            }
        };
        let found = async {
            wait_until_ended(settings, "examination", 1).await;
            cluster.wait_for_dead(1).await;
        };
        tokio::select! {
            () = calls => {}
            () = found => {}
        }
    });
}
