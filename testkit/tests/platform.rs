//! The stand-in platform: versions, watches, the lagging list, rates and faults.

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

struct Rig {
    platform: Platform,
    client: Client,
}

async fn rig(cfg: PlatformCfg) -> Rig {
    let platform = Platform::bind(cfg, CancellationToken::new()).await;
    Rig {
        platform: platform.expect("binds on loopback"),
        client: Client::new(),
    }
}

impl Rig {
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
        let sent = self.client.get(self.url(path)).send().await;
        sent.expect("an answer")
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        self.get(path).await.json().await.expect("the right form")
    }

    async fn post(&self, path: &str, body: &str) {
        let call = self.client.post(self.url(path)).body(body.to_owned());
        let sent = call.send().await.expect("an answer");
        assert!(sent.status().is_success());
    }
}

#[gtest]
#[tokio::test]
async fn a_write_takes_effect_only_under_its_condition() {
    let rig = rig(PlatformCfg::default()).await;
    expect_that!(
        rig.put_version("a", "1", Condition::Absent).await,
        eq((200, 1))
    );
    expect_that!(
        rig.put_version("a", "2", Condition::Absent).await,
        eq((412, 1))
    );
    expect_that!(
        rig.put_version("a", "2", Condition::Version(1)).await,
        eq((200, 2))
    );
    expect_that!(
        rig.put_version("a", "3", Condition::Version(1)).await,
        eq((412, 2))
    );
    expect_that!(
        rig.put_version("b", "1", Condition::Version(7)).await,
        eq((412, 0))
    );
    let object: Object = rig.read("/objects/a").await;
    expect_that!(object.value, eq("2"));
    let deleted = rig
        .client
        .delete(rig.url("/objects/a?version=2"))
        .send()
        .await;
    expect_that!(deleted.expect("an answer").status().as_u16(), eq(200));
    expect_that!(rig.get("/objects/a").await.status().as_u16(), eq(404));
    expect_that!(
        rig.put_version("a", "4", Condition::Absent).await,
        eq((200, 4))
    );
}

#[gtest]
#[tokio::test]
async fn a_value_above_a_megabyte_is_refused() {
    let rig = rig(PlatformCfg::default()).await;
    let value = "x".repeat((1 << 20) + 1);
    let answer = rig
        .put("a", &value, Condition::Any)
        .await
        .expect("an answer");
    expect_that!(answer.status().as_u16(), eq(413));
}

#[gtest]
#[tokio::test]
async fn a_watch_answers_as_soon_as_something_below_its_prefix_changes() {
    let rig = rig(PlatformCfg::default()).await;
    rig.put_version("a/1", "x", Condition::Any).await;
    let watching = rig.read::<WatchAnswer>("/watch?prefix=b/&after=1&wait_ms=60000");
    let writing = async {
        while rig.platform.counts().waiting == 0 {
            tokio::task::yield_now().await;
        }
        rig.put_version("a/2", "x", Condition::Any).await;
        rig.put_version("b/1", "x", Condition::Any).await
    };
    let (answer, _) = tokio::join!(watching, writing);
    let keys: Vec<_> = answer.changes.iter().map(|c| c.key.as_str()).collect();
    expect_that!(keys, eq(&vec!["b/1"]));
    expect_that!(answer.next, eq(3));
    expect_that!(rig.platform.counts().waiting, eq(0));
}

// A writer sees its connection close and can't know whether it succeeded: here it did.
#[gtest]
#[tokio::test]
async fn a_write_whose_answer_is_lost_has_taken_effect() {
    let rig = rig(PlatformCfg::default()).await;
    rig.post(
        "/admin/fault",
        r#"{"mode":"lose_answers","next":1,"prefix":"claims/"}"#,
    )
    .await;
    rig.put_version("head", "1", Condition::Any).await;
    let lost = rig.put("claims/a", "1", Condition::Absent).await;
    expect_that!(lost, err(anything()));
    let object: Object = rig.read("/objects/claims/a").await;
    expect_that!(object.value, eq("1"));
    expect_that!(
        rig.put_version("claims/b", "1", Condition::Any).await.0,
        eq(200)
    );
}

// A writer sees its connection close, reads back and finds nothing; the write lands after that.
#[gtest]
#[tokio::test]
async fn a_late_write_lands_after_its_connection_closed() {
    let rig = rig(PlatformCfg::default()).await;
    rig.post(
        "/admin/fault",
        r#"{"mode":"late_writes","next":1,"ms":200}"#,
    )
    .await;
    let late = rig.put("a", "1", Condition::Absent).await;
    expect_that!(late, err(anything()));
    let answer: WatchAnswer = rig.read("/watch?prefix=a&after=0&wait_ms=60000").await;
    expect_that!(answer.changes.len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn an_outage_refuses_calls_and_ends_waiting_watches() {
    let rig = rig(PlatformCfg::default()).await;
    let watching = rig.get("/watch?prefix=&after=0&wait_ms=60000");
    let breaking = async {
        while rig.platform.counts().waiting == 0 {
            tokio::task::yield_now().await;
        }
        rig.platform.set_fault(Fault::Outage);
    };
    let (answer, ()) = tokio::join!(watching, breaking);
    expect_that!(answer.status().as_u16(), eq(503));
    let write = rig.put("a", "1", Condition::Any).await.expect("an answer");
    expect_that!(write.status().as_u16(), eq(503));
    rig.platform.set_fault(Fault::None);
    expect_that!(rig.get("/objects/a").await.status().as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn a_call_that_hangs_ends_without_effect() {
    let rig = rig(PlatformCfg::default()).await;
    rig.platform.set_fault(Fault::Hang);
    let write = rig.put("a", "1", Condition::Any);
    let healing = async {
        while rig.platform.counts().failed == 0 {
            tokio::task::yield_now().await;
        }
        rig.platform.set_fault(Fault::None);
    };
    let (write, ()) = tokio::join!(write, healing);
    expect_that!(write, err(anything()));
    expect_that!(rig.get("/objects/a").await.status().as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn a_restore_goes_back_to_the_older_copy_with_its_versions() {
    let rig = rig(PlatformCfg::default()).await;
    rig.put_version("a", "old", Condition::Any).await;
    rig.post("/admin/snapshot", "").await;
    rig.put_version("a", "new", Condition::Any).await;
    rig.post("/admin/restore", "").await;
    let object: Object = rig.read("/objects/a").await;
    expect_that!((object.value.as_str(), object.version), eq(("old", 1)));
}

#[gtest]
#[tokio::test]
async fn a_call_above_the_rate_is_refused_without_effect_and_counted() {
    let rates = Rates {
        writes_per_s: Some(0),
        reads_per_s: None,
    };
    let rig = rig(PlatformCfg {
        rates,
        ..PlatformCfg::default()
    })
    .await;
    let write = rig.put("a", "1", Condition::Any).await.expect("an answer");
    expect_that!(write.status().as_u16(), eq(429));
    expect_that!(rig.get("/objects/a").await.status().as_u16(), eq(404));
    expect_that!(rig.platform.counts().refused_by_rate, eq(1));
}

#[gtest]
#[tokio::test]
async fn the_list_shows_a_change_only_after_its_lag() {
    const A_DAY_MS: u64 = 86_400_000;
    for (lag_ms, shown) in [(0, 1), (A_DAY_MS, 0)] {
        let cfg = PlatformCfg {
            lag_ms,
            ..PlatformCfg::default()
        };
        let rig = rig(cfg).await;
        let instance = ListedInstance {
            name: "r1".into(),
            incarnation: 1,
            group: "runners".into(),
            address: rig.platform.address,
            domain: "d".into(),
            state: ListedState::Live,
        };
        rig.platform.set_instances(InstancesChange {
            set: vec![instance],
            ..InstancesChange::default()
        });
        let list: InstanceList = rig.read("/instances").await;
        expect_that!(list.instances.len(), eq(shown));
    }
}
