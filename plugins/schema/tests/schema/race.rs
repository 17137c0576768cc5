//! Operators race on three instances while the platform loses answers and applies writes late.

use googletest::prelude::*;
use jacinthweir_policy::config::check::{ApplyRecord, ReportedOutcome, check_reported_outcomes};
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_wire::operator::ApplyRefused;
use jacinthweir_wire::peer::Head;

use crate::rig::{Rig, rig};

const OPERATORS: u64 = 4;
const APPLIES: u64 = 10;
const HEAD: &str = "config/head";

/// The fault before an operator's n-th apply: each operator changes it for all.
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

async fn operator(rig: &Rig, operator: u64) -> Vec<ApplyRecord> {
    let mut records = Vec::new();
    for n in 0..APPLIES {
        rig.platform.set_fault(fault(operator, n));
        let at = ((operator + n) % 3) as usize;
        let change = format!("o{operator}-{n}");
        // Each change is another schema, so that none is taken for one that stands already.
        let weight = (1 + operator * 100 + n) as u32;
        let outcome = match rig.apply(at, rig.revision(at), &change, weight).await {
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
async fn what_operators_are_told_is_true_while_they_race_and_answers_get_lost() {
    // Four operators apply ten schemas each at changing instances, with whatever base these have
    // in force. Head writes lose their answers or land late meanwhile. Whoever is told
    // "committed" finds the change in the history under that revision, whoever is told
    // "refused" doesn't, and each change stands at most once, with no revision left out.
    let rig = rig(3).await;
    let runs = (0..OPERATORS).map(|n| operator(&rig, n));
    let applies = futures::future::join_all(runs).await.concat();
    rig.platform.set_fault(Fault::None);
    let head: Head = serde_json::from_str(&rig.head().await.value).unwrap();
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
    rig.everywhere(head.revision).await;
}
