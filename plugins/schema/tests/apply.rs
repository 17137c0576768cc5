//! Applying schemas on several instances over a stand-in platform that fails as asked.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_clients::platform::{HttpPlatform, Platform as _};
use jacinthweir_kernel::listener::Listening;
use jacinthweir_kernel::plugin::{Face, sorted};
use jacinthweir_kernel::{Kernel, Settings};
use jacinthweir_schema as _;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_testkit::{Platform, PlatformCfg};
use jacinthweir_wire::operator::{ApplyRefused, ApplyReply, ApplyRequest, HistoryReply, PlanReply};
use jacinthweir_wire::platform::{Condition, Object};
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio_util::sync::CancellationToken;

const TOKEN: &str = "operators";
const HEAD: &str = "config/head";
/// How long something is waited for before the test gives up; no verdict hangs on less.
const PATIENCE: Duration = Duration::from_secs(30);

struct Instance {
    kernel: Arc<Kernel>,
    operators: SocketAddr,
    _listening: Listening,
}

struct Rig {
    platform: Platform,
    objects: HttpPlatform,
    instances: Vec<Instance>,
    client: reqwest::Client,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

async fn instance(n: usize, platform: SocketAddr) -> Instance {
    let operators = free_address();
    let settings = json!({
        "name": format!("entry-{n}"),
        "failure_domain": "recife",
        "listen": {"callers": free_address(), "peers": free_address(), "operators": operators},
        "platform": {"address": platform, "timeout_ms": 500},
        "tokens": {
            "operators_sha256": jacinthweir_kernel::auth::fingerprint(TOKEN),
            "peers": "a token between instances",
        },
    });
    let kernel = Kernel::open(Settings::parse(&settings.to_string()).unwrap()).unwrap();
    for plugin in sorted() {
        (plugin.spawn)(&kernel).unwrap();
    }
    let listening = Listening::bind(&kernel, Face::Operators).await.unwrap();
    Instance {
        kernel,
        operators,
        _listening: listening,
    }
}

async fn rig(instances: usize) -> Rig {
    let platform = Platform::bind(PlatformCfg::default(), CancellationToken::new())
        .await
        .unwrap();
    let objects = HttpPlatform::open(platform.address, Duration::from_secs(5)).unwrap();
    let mut rig = Rig {
        platform,
        objects,
        instances: vec![],
        client: reqwest::Client::new(),
    };
    for n in 0..instances {
        rig.instances.push(instance(n, rig.platform.address).await);
    }
    rig
}

fn schema(weight: u32) -> String {
    format!(
        r#"{{"organisations": [ // one
        {{"name": "atelier", "priority": 1, "weight": {weight}, "key_sha256": []}}]}}"#
    )
}

impl Rig {
    async fn call<A: DeserializeOwned>(
        &self,
        at: usize,
        path: &str,
        body: serde_json::Value,
    ) -> (StatusCode, A) {
        let url = format!("http://{}/operator/{path}", self.instances[at].operators);
        let call = self.client.post(url).bearer_auth(TOKEN).json(&body);
        let answer = call.send().await.unwrap();
        (answer.status(), answer.json().await.unwrap())
    }

    async fn apply(
        &self,
        at: usize,
        base: u64,
        change: &str,
        weight: u32,
    ) -> std::result::Result<ApplyReply, ApplyRefused> {
        let req = ApplyRequest {
            text: schema(weight),
            base,
            change: change.into(),
            operator: "ana".into(),
        };
        let body = serde_json::to_value(req).unwrap();
        let (status, answer): (_, serde_json::Value) = self.call(at, "apply", body).await;
        match status {
            StatusCode::OK => Ok(serde_json::from_value(answer).unwrap()),
            _ => Err(serde_json::from_value(answer).unwrap()),
        }
    }

    fn revision(&self, at: usize) -> u64 {
        self.instances[at]
            .kernel
            .config
            .get()
            .served()
            .map_or(0, |c| c.revision)
    }

    async fn everywhere(&self, revision: u64) {
        self.until(|| (0..self.instances.len()).all(|at| self.revision(at) == revision))
            .await;
    }

    async fn until(&self, done: impl Fn() -> bool) {
        let wait = async {
            while !done() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.expect("happens");
    }

    async fn head(&self) -> Object {
        self.objects.get(HEAD).await.unwrap().unwrap()
    }

    async fn history(&self, at: usize) -> Vec<String> {
        let url = format!("http://{}/operator/history", self.instances[at].operators);
        let answer = self
            .client
            .get(url)
            .bearer_auth(TOKEN)
            .send()
            .await
            .unwrap();
        let history: HistoryReply = answer.json().await.unwrap();
        history
            .commits
            .iter()
            .map(|c| c.change.to_string())
            .collect()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_schema_applied_at_one_instance_is_in_force_at_all() {
    let rig = rig(3).await;
    let (status, plan): (_, PlanReply) = rig.call(0, "plan", json!({"text": schema(1)})).await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(plan.base, eq(0));
    expect_that!(plan.changes, len(eq(1)));
    expect_that!(rig.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    rig.everywhere(1).await;
    expect_that!(rig.apply(1, 1, "c2", 2).await.unwrap().revision, eq(2));
    rig.everywhere(2).await;
    expect_that!(
        rig.history(2).await,
        eq(&vec!["c2".to_owned(), "c1".to_owned()])
    );
    let unchanged = rig.apply(2, 2, "c3", 2).await.unwrap();
    expect_that!(unchanged.revision, eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_schema_is_refused_before_anything_is_written() {
    let rig = rig(1).await;
    let refused = rig.apply(0, 0, "c1", 0).await.unwrap_err();
    let ApplyRefused::Invalid { faults } = refused else {
        panic!("{refused:?}")
    };
    expect_that!(
        faults[0].to_string(),
        starts_with("line 2: organisations[0].weight")
    );
    expect_that!(rig.platform.counts().puts, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_operators_that_race_one_commits_and_the_others_see_a_conflict() {
    // Three operators plan against nothing and apply at three instances at once. One is told
    // "committed"; the others are told what came before them, and none of their change stands.
    let rig = rig(3).await;
    let (a, b, c) = tokio::join!(
        rig.apply(0, 0, "a", 1),
        rig.apply(1, 0, "b", 2),
        rig.apply(2, 0, "c", 3)
    );
    let answers = [a, b, c];
    expect_that!(
        answers.iter().filter(|answer| answer.is_ok()).count(),
        eq(1)
    );
    for refused in answers.iter().filter_map(|answer| answer.as_ref().err()) {
        expect_that!(
            refused,
            matches_pattern!(ApplyRefused::Conflict {
                standing: eq(&1),
                ..
            })
        );
    }
    rig.everywhere(1).await;
    expect_that!(rig.history(0).await, len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_commit_whose_answer_is_lost_is_confirmed_by_reading_back() {
    // The head's write takes effect, but its connection breaks. The operator is told "committed"
    // since the change id stands in the head, and asking again commits nothing more.
    let rig = rig(1).await;
    rig.platform.set_fault(Fault::LoseAnswers {
        next: 1,
        prefix: HEAD.into(),
    });
    expect_that!(rig.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    expect_that!(rig.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    let reused = rig.apply(0, 1, "c1", 9).await.unwrap_err();
    expect_that!(
        reused,
        matches_pattern!(ApplyRefused::ChangeReused { revision: eq(&1) })
    );
    expect_that!(rig.history(0).await, len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_commit_that_lands_late_stands_once() {
    // The head's write is applied after its connection broke. The instance reads the old head
    // and repeats the same compare-and-set; whichever copy lands, the other finds another
    // version, so the change stands once.
    let rig = rig(1).await;
    rig.platform.set_fault(Fault::LateWrites {
        next: 1,
        ms: 300,
        prefix: HEAD.into(),
    });
    expect_that!(rig.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    tokio::time::sleep(Duration::from_millis(600)).await;
    rig.everywhere(1).await;
    expect_that!(rig.history(0).await, eq(&vec!["c1".to_owned()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_refuses_changes_and_keeps_what_is_in_force() {
    let rig = rig(1).await;
    rig.apply(0, 0, "c1", 1).await.unwrap();
    rig.platform.set_fault(Fault::Outage);
    let refused = rig.apply(0, 1, "c2", 2).await.unwrap_err();
    expect_that!(refused, matches_pattern!(ApplyRefused::PlatformDown { .. }));
    expect_that!(rig.revision(0), eq(1));
    rig.platform.set_fault(Fault::None);
    expect_that!(rig.apply(0, 1, "c2", 2).await.unwrap().revision, eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restored_platform_gets_the_accepted_head_back() {
    // The platform's owners restore a copy that still has revision 1. An operator who applies
    // meanwhile is refused, the instances go on serving by revision 2, and it is written back.
    let rig = rig(2).await;
    rig.apply(0, 0, "c1", 1).await.unwrap();
    let old = rig.head().await.value;
    rig.apply(0, 1, "c2", 2).await.unwrap();
    let accepted = rig.head().await.value;
    rig.everywhere(2).await;
    rig.objects.put(HEAD, old, Condition::Any).await.unwrap();
    let refused = rig.apply(0, 1, "c3", 3).await.unwrap_err();
    let wanted = matches_pattern!(ApplyRefused::WentBack {
        standing: eq(&1),
        accepted: eq(&2)
    });
    expect_that!(refused, wanted);
    let wait = async {
        while rig.head().await.value != accepted {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("written back");
    expect_that!(rig.revision(0), eq(2));
    expect_that!(rig.revision(1), eq(2));
    expect_that!(rig.apply(1, 2, "c3", 3).await.unwrap().revision, eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wrong_token_is_refused() {
    let rig = rig(1).await;
    let url = format!("http://{}/operator/status", rig.instances[0].operators);
    let answer = rig
        .client
        .get(url)
        .bearer_auth("guess")
        .send()
        .await
        .unwrap();
    expect_that!(answer.status(), eq(StatusCode::UNAUTHORIZED));
}
