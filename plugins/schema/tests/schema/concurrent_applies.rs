//! Operators apply concurrently at three instances while the platform loses answers and applies
//! writes late.

use googletest::prelude::*;
use jacinthweir_policy::config::check::{ApplyRecord, ReportedOutcome, check_reported_outcomes};
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_wire::operator::ApplyRefused;
use jacinthweir_wire::peer::Head;

use crate::cluster::{Cluster, start_cluster};

const OPERATORS: u64 = 4;
const APPLIES: u64 = 10;
const HEAD: &str = "config/head";

/// Returns the fault that is set for the platform before an operator's n-th apply.
fn fault(operator: u64, n: u64) -> Fault {
    let prefix = HEAD.to_owned();
    match (operator * 7 + n * 3) % 5 {
        0 => Fault::LoseAnswers { next: 1, prefix },
        1 => Fault::LateWrites {
            next: 1,
            ms: 150,
            prefix,
        },
        2 => Fault::Slow { ms: 30 },
        _ => Fault::None,
    }
}

async fn operator(cluster: &Cluster, operator: u64) -> Vec<ApplyRecord> {
    let mut records = Vec::new();
    for n in 0..APPLIES {
        cluster.platform.set_fault(fault(operator, n));
        let at = ((operator + n) % 3) as usize;
        let change = format!("o{operator}-{n}");
        // Each change has another schema, so that none is answered as unchanged.
        let weight = (1 + operator * 100 + n) as u32;
        let outcome = match cluster
            .apply(at, cluster.revision(at), &change, weight)
            .await
        {
            Ok(reply) => ReportedOutcome::Committed(reply.revision),
            Err(ApplyRefused::Unconfirmed { .. }) => ReportedOutcome::Unknown,
            Err(_) => ReportedOutcome::Refused,
        };
        records.push(ApplyRecord {
            change: change.into(),
            outcome,
        });
    }
    records
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reported_outcomes_hold_under_concurrent_applies_and_lost_answers() {
    // Four operators apply ten schemas each at changing instances, on the base in force there,
    // while head writes lose their answers or take effect late. A change reported as committed must
    // be in the history under that revision, a refused one must not, each change is there at most
    // once, and no revision is missing.
    let cluster = start_cluster(3).await;
    let runs = (0..OPERATORS).map(|n| operator(&cluster, n));
    let applies = futures::future::join_all(runs).await.concat();
    cluster.platform.set_fault(Fault::None);
    let head: Head = serde_json::from_str(&cluster.head().await.value).unwrap();
    expect_that!(
        check_reported_outcomes(&applies, &head.history),
        ok(eq(&()))
    );
    let revisions: Vec<u64> = head
        .history
        .iter()
        .rev()
        .map(|commit| commit.revision)
        .collect();
    expect_that!(revisions, eq(&(1..=head.revision).collect::<Vec<_>>()));
    let committed = applies
        .iter()
        .filter(|apply| matches!(apply.outcome, ReportedOutcome::Committed(_)));
    expect_that!(committed.count(), ge(1));
    cluster.wait_for_revision(head.revision).await;
}
