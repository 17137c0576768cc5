//! Stand-in platform: versions, watches, the lag of the instance list, rate limits and faults.

use googletest::prelude::*;
use jacinthweir_testkit::platform::admin::InstancesChange;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_testkit::platform::rate::Rates;
use jacinthweir_testkit::{Platform, PlatformCfg};
use jacinthweir_wire::platform::{
    Condition, InstanceList, ListedInstance, ListedState, Object, PutObject, WatchAnswer, Written,
};
use reqwest::{Client, Response};
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

struct Harness {
    platform: Platform,
    client: Client,
}

async fn harness(cfg: PlatformCfg) -> Harness {
    let platform = Platform::bind(cfg, CancellationToken::new()).await;
    Harness {
        platform: platform.expect("binds on loopback"),
        client: Client::new(),
    }
}

impl Harness {
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.platform.address)
    }

    async fn put(&self, key: &str, value: &str, condition: Condition) -> reqwest::Result<Response> {
        let body = PutObject {
            value: value.to_owned(),
            condition,
        };
        let url = self.url(&format!("/objects/{key}"));
        self.client.put(url).json(&body).send().await
    }

    async fn put_version(&self, key: &str, value: &str, condition: Condition) -> (u16, u64) {
        let answer = self.put(key, value, condition).await.expect("an answer");
        let status = answer.status().as_u16();
        let written: Written = answer.json().await.expect("a version");
        (status, written.version)
    }

    async fn get(&self, path: &str) -> Response {
        let answer = self.client.get(self.url(path)).send().await;
        answer.expect("an answer")
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        self.get(path)
            .await
            .json()
            .await
            .expect("a valid JSON answer")
    }

    async fn post(&self, path: &str, body: &str) {
        let call = self.client.post(self.url(path)).body(body.to_owned());
        let answer = call.send().await.expect("an answer");
        assert!(answer.status().is_success());
    }
}

#[gtest]
#[tokio::test]
async fn a_write_takes_effect_only_if_its_condition_holds() {
    let harness = harness(PlatformCfg::default()).await;
    expect_that!(
        harness.put_version("a", "1", Condition::Absent).await,
        eq((200, 1))
    );
    expect_that!(
        harness.put_version("a", "2", Condition::Absent).await,
        eq((412, 1))
    );
    expect_that!(
        harness.put_version("a", "2", Condition::Version(1)).await,
        eq((200, 2))
    );
    expect_that!(
        harness.put_version("a", "3", Condition::Version(1)).await,
        eq((412, 2))
    );
    expect_that!(
        harness.put_version("b", "1", Condition::Version(7)).await,
        eq((412, 0))
    );
    let object: Object = harness.read("/objects/a").await;
    expect_that!(object.value, eq("2"));
    let deleted = harness
        .client
        .delete(harness.url("/objects/a?version=2"))
        .send()
        .await;
    expect_that!(deleted.expect("an answer").status().as_u16(), eq(200));
    expect_that!(harness.get("/objects/a").await.status().as_u16(), eq(404));
    expect_that!(
        harness.put_version("a", "4", Condition::Absent).await,
        eq((200, 4))
    );
}

#[gtest]
#[tokio::test]
async fn a_value_above_a_megabyte_is_refused() {
    let harness = harness(PlatformCfg::default()).await;
    let value = "x".repeat((1 << 20) + 1);
    let answer = harness
        .put("a", &value, Condition::Any)
        .await
        .expect("an answer");
    expect_that!(answer.status().as_u16(), eq(413));
}

#[gtest]
#[tokio::test]
async fn a_watch_answers_when_a_key_with_its_prefix_changes() {
    let harness = harness(PlatformCfg::default()).await;
    harness.put_version("a/1", "x", Condition::Any).await;
    let watching = harness.read::<WatchAnswer>("/watch?prefix=b/&after=1&wait_ms=60000");
    let writing = async {
        while harness.platform.counts().waiting == 0 {
            tokio::task::yield_now().await;
        }
        harness.put_version("a/2", "x", Condition::Any).await;
        harness.put_version("b/1", "x", Condition::Any).await
    };
    let (answer, _) = tokio::join!(watching, writing);
    let keys: Vec<_> = answer.changes.iter().map(|c| c.key.as_str()).collect();
    expect_that!(keys, eq(&vec!["b/1"]));
    expect_that!(answer.next, eq(3));
    expect_that!(harness.platform.counts().waiting, eq(0));
}

// The writer's connection closes without an answer although the write took effect.
#[gtest]
#[tokio::test]
async fn a_write_whose_answer_is_lost_has_taken_effect() {
    let harness = harness(PlatformCfg::default()).await;
    harness
        .post(
            "/admin/fault",
            r#"{"mode":"lose_answers","next":1,"prefix":"claims/"}"#,
        )
        .await;
    harness.put_version("head", "1", Condition::Any).await;
    let lost = harness.put("claims/a", "1", Condition::Absent).await;
    expect_that!(lost, err(anything()));
    let object: Object = harness.read("/objects/claims/a").await;
    expect_that!(object.value, eq("1"));
    expect_that!(
        harness.put_version("claims/b", "1", Condition::Any).await.0,
        eq(200)
    );
}

// The writer's connection closes without an answer, and the write takes effect only later.
#[gtest]
#[tokio::test]
async fn a_late_write_takes_effect_after_its_connection_closed() {
    let harness = harness(PlatformCfg::default()).await;
    harness
        .post(
            "/admin/fault",
            r#"{"mode":"late_writes","next":1,"ms":200}"#,
        )
        .await;
    let late = harness.put("a", "1", Condition::Absent).await;
    expect_that!(late, err(anything()));
    let answer: WatchAnswer = harness.read("/watch?prefix=a&after=0&wait_ms=60000").await;
    expect_that!(answer.changes.len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn an_outage_refuses_calls_and_ends_waiting_watches() {
    let harness = harness(PlatformCfg::default()).await;
    let watching = harness.get("/watch?prefix=&after=0&wait_ms=60000");
    let start_outage = async {
        while harness.platform.counts().waiting == 0 {
            tokio::task::yield_now().await;
        }
        harness.platform.set_fault(Fault::Outage);
    };
    let (answer, ()) = tokio::join!(watching, start_outage);
    expect_that!(answer.status().as_u16(), eq(503));
    let write = harness
        .put("a", "1", Condition::Any)
        .await
        .expect("an answer");
    expect_that!(write.status().as_u16(), eq(503));
    harness.platform.set_fault(Fault::None);
    expect_that!(harness.get("/objects/a").await.status().as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn a_hanging_call_has_no_effect() {
    let harness = harness(PlatformCfg::default()).await;
    harness.platform.set_fault(Fault::Hang);
    let write = harness.put("a", "1", Condition::Any);
    let clear_fault = async {
        while harness.platform.counts().failed == 0 {
            tokio::task::yield_now().await;
        }
        harness.platform.set_fault(Fault::None);
    };
    let (write, ()) = tokio::join!(write, clear_fault);
    expect_that!(write, err(anything()));
    expect_that!(harness.get("/objects/a").await.status().as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn a_restore_returns_to_the_snapshot_with_its_versions() {
    let harness = harness(PlatformCfg::default()).await;
    harness.put_version("a", "old", Condition::Any).await;
    harness.post("/admin/snapshot", "").await;
    harness.put_version("a", "new", Condition::Any).await;
    harness.post("/admin/restore", "").await;
    let object: Object = harness.read("/objects/a").await;
    expect_that!((object.value.as_str(), object.version), eq(("old", 1)));
}

#[gtest]
#[tokio::test]
async fn a_call_above_the_rate_limit_is_refused_without_effect_and_counted() {
    let rates = Rates {
        writes_per_s: Some(0),
        reads_per_s: None,
    };
    let harness = harness(PlatformCfg {
        rates,
        ..PlatformCfg::default()
    })
    .await;
    let write = harness
        .put("a", "1", Condition::Any)
        .await
        .expect("an answer");
    expect_that!(write.status().as_u16(), eq(429));
    expect_that!(harness.get("/objects/a").await.status().as_u16(), eq(404));
    expect_that!(harness.platform.counts().refused_by_rate, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_change_to_the_instance_list_is_visible_only_after_the_lag() {
    const DAY_MS: u64 = 86_400_000;
    for (lag_ms, visible) in [(0, 1), (DAY_MS, 0)] {
        let cfg = PlatformCfg {
            lag_ms,
            ..PlatformCfg::default()
        };
        let harness = harness(cfg).await;
        let instance = ListedInstance {
            name: "r1".into(),
            incarnation: 1,
            group: "runners".into(),
            address: harness.platform.address,
            domain: "d".into(),
            state: ListedState::Live,
        };
        harness.platform.set_instances(InstancesChange {
            set: vec![instance],
            ..InstancesChange::default()
        });
        let list: InstanceList = harness.read("/instances").await;
        expect_that!(list.instances.len(), eq(visible));
    }
}
