//! Applies schemas at several instances over a stand-in platform with injected faults.

use std::time::Duration;

use crate::cluster::{HEAD, TIMEOUT, schema, start_cluster};
use googletest::prelude::*;
use jacinthweir_clients::platform::Platform as _;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_wire::operator::{ApplyRefused, PlanReply};
use jacinthweir_wire::platform::{Condition, PutObject};
use reqwest::StatusCode;
use serde_json::json;

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_schema_applied_at_one_instance_is_in_force_at_all() {
    let cluster = start_cluster(3).await;
    let (status, plan): (_, PlanReply) = cluster.call(0, "plan", json!({"text": schema(1)})).await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(plan.base, eq(0));
    expect_that!(plan.changes, len(eq(1)));
    expect_that!(cluster.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    cluster.wait_for_revision(1).await;
    expect_that!(cluster.apply(1, 1, "c2", 2).await.unwrap().revision, eq(2));
    cluster.wait_for_revision(2).await;
    expect_that!(
        cluster.history(2).await,
        eq(&vec!["c2".to_owned(), "c1".to_owned()])
    );
    let unchanged = cluster.apply(2, 2, "c3", 2).await.unwrap();
    expect_that!(unchanged.revision, eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_schema_is_refused_before_anything_is_written() {
    let cluster = start_cluster(1).await;
    let refused = cluster.apply(0, 0, "c1", 0).await.unwrap_err();
    let ApplyRefused::Invalid { faults } = refused else {
        panic!("{refused:?}")
    };
    expect_that!(
        faults[0].to_string(),
        starts_with("line 2: organisations[0].weight")
    );
    expect_that!(cluster.platform.counts().puts, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_concurrent_applies_one_commits_and_the_others_get_a_conflict() {
    // Three operators apply on base 0 at three instances at once. One commits; the others get a
    // conflict with the revision that is stored, and none of their changes is stored.
    let cluster = start_cluster(3).await;
    let (a, b, c) = tokio::join!(
        cluster.apply(0, 0, "a", 1),
        cluster.apply(1, 0, "b", 2),
        cluster.apply(2, 0, "c", 3)
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
    cluster.wait_for_revision(1).await;
    expect_that!(cluster.history(0).await, len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_commit_whose_answer_is_lost_is_confirmed_by_reading_back() {
    // The write of the head takes effect, but its connection breaks. The apply succeeds, since the
    // change id is found in the stored head, and repeating it commits nothing more.
    let cluster = start_cluster(1).await;
    cluster.platform.set_fault(Fault::LoseAnswers {
        next: 1,
        prefix: HEAD.into(),
    });
    expect_that!(cluster.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    expect_that!(cluster.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    let reused = cluster.apply(0, 1, "c1", 9).await.unwrap_err();
    expect_that!(
        reused,
        matches_pattern!(ApplyRefused::ChangeReused { revision: eq(&1) })
    );
    expect_that!(cluster.history(0).await, len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_commit_that_takes_effect_late_is_stored_once() {
    // The write of the head takes effect after its connection broke. The instance reads the old
    // head and repeats the same compare-and-set. Whichever copy is applied first, the other finds
    // another version, so the change is stored once.
    let cluster = start_cluster(1).await;
    cluster.platform.set_fault(Fault::LateWrites {
        next: 1,
        ms: 300,
        prefix: HEAD.into(),
    });
    expect_that!(cluster.apply(0, 0, "c1", 1).await.unwrap().revision, eq(1));
    tokio::time::sleep(Duration::from_millis(600)).await;
    cluster.wait_for_revision(1).await;
    expect_that!(cluster.history(0).await, eq(&vec!["c1".to_owned()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn during_an_outage_changes_are_refused_and_the_revision_stays_in_force() {
    let cluster = start_cluster(1).await;
    cluster.apply(0, 0, "c1", 1).await.unwrap();
    cluster.platform.set_fault(Fault::Outage);
    let refused = cluster.apply(0, 1, "c2", 2).await.unwrap_err();
    expect_that!(refused, matches_pattern!(ApplyRefused::PlatformDown { .. }));
    expect_that!(cluster.revision(0), eq(1));
    cluster.platform.set_fault(Fault::None);
    expect_that!(cluster.apply(0, 1, "c2", 2).await.unwrap().revision, eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_accepted_head_is_written_back_to_a_restored_platform() {
    // The platform is restored from a backup that still has revision 1. An apply is refused
    // meanwhile, the instances continue to serve revision 2, and it is written back.
    let cluster = start_cluster(2).await;
    cluster.apply(0, 0, "c1", 1).await.unwrap();
    let old = cluster.head().await.value;
    cluster.apply(0, 1, "c2", 2).await.unwrap();
    let accepted = cluster.head().await.value;
    cluster.wait_for_revision(2).await;
    cluster
        .objects
        .put(HEAD, old, Condition::Any)
        .await
        .unwrap();
    let refused = cluster.apply(0, 1, "c3", 3).await.unwrap_err();
    let expected = matches_pattern!(ApplyRefused::WentBack {
        standing: eq(&1),
        accepted: eq(&2)
    });
    expect_that!(refused, expected);
    let wait = async {
        while cluster.head().await.value != accepted {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the accepted head is written back");
    expect_that!(cluster.revision(0), eq(2));
    expect_that!(cluster.revision(1), eq(2));
    expect_that!(cluster.apply(1, 2, "c3", 3).await.unwrap().revision, eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreferenced_parts_are_deleted() {
    let cluster = start_cluster(2).await;
    for revision in 1..=4 {
        let change = format!("c{revision}");
        cluster
            .apply(0, revision - 1, &change, revision as u32)
            .await
            .unwrap();
    }
    let wait = async {
        while cluster.stored_parts().await != 2 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("only the core and one slice remain");
    // Applying an earlier schema, whose part has been deleted, writes the part again.
    expect_that!(cluster.apply(1, 4, "c5", 1).await.unwrap().revision, eq(5));
    cluster.wait_for_revision(5).await;
}

/// Guards against parts that are kept for good beside an object of another writer that cannot be deleted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_object_that_cannot_be_deleted_keeps_no_part() {
    let cluster = start_cluster(1).await;
    // Its name is too long for an address of the product.
    let name = "0".repeat(8 << 10);
    let url = format!(
        "http://{}/objects/config/parts/{name}",
        cluster.platform.address
    );
    let put = PutObject {
        value: String::new(),
        condition: Condition::Any,
    };
    let answer = cluster.client.put(url).json(&put).send().await.unwrap();
    expect_that!(answer.status(), eq(StatusCode::OK));
    for revision in 1..=3 {
        let change = format!("c{revision}");
        let applied = cluster.apply(0, revision - 1, &change, revision as u32);
        applied.await.unwrap();
    }
    let wait = async {
        while cluster.stored_parts().await != 3 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("only the core, one slice and the odd object remain");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wrong_token_is_refused() {
    let cluster = start_cluster(1).await;
    let url = format!("http://{}/operator/status", cluster.instances[0].operators);
    let answer = cluster
        .client
        .get(url)
        .bearer_auth("guess")
        .send()
        .await
        .unwrap();
    expect_that!(answer.status(), eq(StatusCode::UNAUTHORIZED));
}
