//! The state of contention control that operators see at a running relay.

use googletest::prelude::*;
use jacinthweir_policy::relay::contention::status::{ControlState, ControlStatus};
use jacinthweir_wire::relay::RelayDump;

use crate::standin::{Cluster, configuration, get, run_single_threaded, send_request};
use crate::{NOTES, TOKENS};

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

/// Guards against a state that stays that of the last request, and against decisions that no operator
/// sees.
#[gtest]
fn the_dump_and_the_metrics_show_contention_control() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let one = status(&cluster).await;
        expect_that!(one.state, eq(ControlState::OnePriority));
        let mut two = configuration(2);
        let mut urgent = two["routes"][0].clone();
        urgent["name"] = "urgent".into();
        urgent["pathPrefix"] = "/urgent/".into();
        urgent["priority"] = 0.into();
        two["routes"].as_array_mut().expect("routes").push(urgent);
        cluster.store.put("config", "main", &two);
        cluster.wait_for_version(2).await;
        let idle = status(&cluster).await;
        expect_that!(idle.state, eq(ControlState::InForce));
        expect_that!(idle.chains.len(), eq(2));
        expect_that!(idle.priorities.len(), eq(0));
        let got = send_request(cluster.callers(), NOTES, TOKENS, "prompt").await;
        expect_that!(got.status, eq(200));
        // Figures are computed again after 100 ms.
        cluster.wait_for_dump("\"priority\": 1").await;
        let busy = status(&cluster).await;
        expect_that!(busy.state, eq(ControlState::InForce));
        let [priority] = &busy.priorities[..] else {
            panic!("one priority in {busy:?}");
        };
        expect_that!((priority.priority, priority.share), eq((1, 1.0)));
        expect_that!(priority.decisions.admitted_per_s, gt(0.0));
        expect_that!(priority.decisions.refused_per_s, eq(0.0));
        let metrics = get(cluster.settings.listen.operators, "GET /metrics HTTP/1.1").await;
        for metric in [
            "jacinthweir_contention_in_force{service=\"pool\"} 1",
            "jacinthweir_admission_share{service=\"pool\",priority=\"1\"} 1",
            "jacinthweir_admissions_total{service=\"pool\",priority=\"1\",outcome=\"admitted\"}",
        ] {
            expect_that!(metrics.body, contains_substring(metric));
        }
    });
}
