//! The state of contention control that operators see at a running relay.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_policy::relay::contention::status::{ControlState, ControlStatus};
use jacinthweir_relay::RelaySettings;
use jacinthweir_wire::relay::RelayDump;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, TEST_TIMEOUT, configuration, get, run_single_threaded, send_request,
};
use crate::{NOTES, TOKENS};

/// Requests that are sent at a time, and the interval between such groups.
const REQUESTS: usize = 10;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two events of a slow stream.
const EVENT_INTERVAL: Duration = Duration::from_secs(2);

async fn dump(cluster: &Cluster) -> RelayDump {
    let got = get(cluster.settings.listen.operators, "GET /dump HTTP/1.1").await;
    serde_json::from_str(&got.body).expect("a state dump")
}

async fn status(cluster: &Cluster) -> ControlStatus {
    let contention = dump(cluster).await.contention.expect("contention control");
    let [pool] = &contention.services[..] else {
        panic!("one service whose runners hold layers in {contention:?}");
    };
    expect_that!(&*pool.service, eq("pool"));
    pool.status.clone()
}

/// Declares a second streaming route with a more urgent priority.
async fn declare_urgent_route(cluster: &Cluster) {
    let mut two = configuration(2);
    // Callers wait long for events, so that slow responses do not count as failures.
    two["routes"][0]["targetLatencyMs"] = 2_500.into();
    two["routes"][0]["timeoutMs"] = 20_000.into();
    let mut urgent = two["routes"][0].clone();
    urgent["name"] = "urgent".into();
    urgent["pathPrefix"] = "/urgent/".into();
    urgent["priority"] = 0.into();
    two["routes"].as_array_mut().expect("routes").push(urgent);
    cluster.store.put("config", "main", &two);
    cluster.wait_for_version(2).await;
}

/// Urgency level of a request of an organisation without a priority on a route with priority 1.
const NOTES_LEVEL: u8 = 5;

/// Guards against a state that stays that of the last request, and against decisions that no operator
/// sees.
#[gtest]
fn the_dump_and_the_metrics_show_contention_control() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let one = status(&cluster).await;
        expect_that!(one.state, eq(ControlState::OnePriority));
        declare_urgent_route(&cluster).await;
        let idle = status(&cluster).await;
        expect_that!(idle.state, eq(ControlState::TooFewFigures));
        expect_that!(idle.levels.len(), eq(0));
        // Rates are complete a second after the first request.
        let in_force = async {
            loop {
                let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
                expect_that!(got.status, eq(200));
                sleep(REQUEST_INTERVAL).await;
                let busy = status(&cluster).await;
                if busy.state == ControlState::InForce && !busy.levels.is_empty() {
                    return busy;
                }
            }
        };
        let busy = timeout(TEST_TIMEOUT, in_force).await.expect("in force");
        expect_that!(busy.chains.len(), eq(2));
        let [level] = &busy.levels[..] else {
            panic!("one level in {busy:?}");
        };
        expect_that!((level.level, level.share), eq((NOTES_LEVEL, 1.0)));
        expect_that!(level.decisions.admitted_per_s, gt(0.0));
        expect_that!(level.decisions.refused_per_s, eq(0.0));
        let expected = [
            "jacinthweir_contention_in_force{service=\"pool\"} 1\n",
            "jacinthweir_admission_share{service=\"pool\",level=\"1.1\"} 1\n",
            "jacinthweir_admissions_total{service=\"pool\",level=\"1.1\",outcome=\"admitted\"}",
        ];
        // Other tests of this process set the same gauges; each request sets them anew.
        let shown = async {
            loop {
                send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
                let operators = cluster.settings.listen.operators;
                let metrics = get(operators, "GET /metrics HTTP/1.1").await;
                if expected.iter().all(|metric| metrics.body.contains(metric)) {
                    return;
                }
            }
        };
        let shown = timeout(TEST_TIMEOUT, shown).await;
        expect_that!(shown, ok(anything()), "{expected:?}");
    });
}

/// Demand exceeds what the chains may take. Guards against refusals that operators see neither in the
/// dump nor in the metrics, and against refused callers that learn neither cause nor time of return.
#[gtest]
fn refusals_of_an_overloaded_service_are_shown() {
    run_single_threaded(async {
        let small = |settings: &mut RelaySettings| settings.contention.target_fill = 1e-4;
        let cluster = Cluster::with_settings(small).await;
        declare_urgent_route(&cluster).await;
        // Chains release little, so that they may take little beyond their target occupancy.
        for runner in &cluster.runners {
            runner.event_interval.set(EVENT_INTERVAL);
        }
        let refused = Rc::new(RefCell::new(Vec::new()));
        let overloaded = async {
            loop {
                for _ in 0..REQUESTS {
                    let (callers, refused) = (cluster.callers(), Rc::clone(&refused));
                    spawn_local(async move {
                        let got = send_request(callers, NOTES, TOKENS, "prompt").await;
                        if got.status == 503 {
                            refused.borrow_mut().push(got);
                        }
                    });
                }
                sleep(REQUEST_INTERVAL).await;
                let status = status(&cluster).await;
                if status.overload.is_some() && !refused.borrow().is_empty() {
                    return status;
                }
            }
        };
        let status = timeout(TEST_TIMEOUT, overloaded).await.expect("overload");
        let overload = status.overload.expect("overload");
        expect_that!(overload.began_share, lt(0.97));
        let least = status.levels.iter().find(|l| l.level == NOTES_LEVEL);
        let least = least.expect("the level of the requests");
        expect_that!(least.share, lt(1.0));
        expect_that!(least.below_one_ms, some(anything()));
        expect_that!(least.decisions.refused_per_s, gt(0.0));
        let organisations = status.organisations.iter();
        let organisation = organisations.map(|o| &*o.organisation).next();
        expect_that!(organisation, some(eq("org")));
        let refused = refused.take();
        let cause = "no room for its priority";
        expect_true!(refused.iter().any(|got| got.body.contains(cause)));
        for got in &refused {
            expect_that!(got.header("retry-after"), some(anything()));
        }
        let metrics = get(cluster.settings.listen.operators, "GET /metrics HTTP/1.1").await;
        let counter =
            "jacinthweir_admissions_total{service=\"pool\",level=\"1.1\",outcome=\"refused\"}";
        expect_that!(metrics.body, contains_substring(counter));
    });
}
