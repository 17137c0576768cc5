//! Applying schemas on several instances over a stand-in platform that fails as asked.

use std::time::Duration;

use crate::rig::{HEAD, PATIENCE, rig, schema};
use googletest::prelude::*;
use jacinthweir_clients::platform::Platform as _;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_wire::operator::{ApplyRefused, PlanReply};
use jacinthweir_wire::platform::Condition;
use reqwest::StatusCode;
use serde_json::json;

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
async fn parts_that_no_head_names_are_deleted() {
    let rig = rig(2).await;
    for revision in 1..=4 {
        let change = format!("c{revision}");
        rig.apply(0, revision - 1, &change, revision as u32)
            .await
            .unwrap();
    }
    let wait = async {
        while rig.stored_parts().await != 2 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("the core and one slice are left");
    // Back to an earlier schema, whose part is gone by now: the commit writes it again.
    expect_that!(rig.apply(1, 4, "c5", 1).await.unwrap().revision, eq(5));
    rig.everywhere(5).await;
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
