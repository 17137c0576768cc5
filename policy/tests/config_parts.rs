//! Splitting and joining schemas, commits, lost writes, lineage, watchers and garbage collection.

use googletest::prelude::*;
use jacinthweir_policy::config::commit::{
    Decision, MAX_LABEL_BYTES, MAX_SUMMARY, MAX_SUMMARY_CHARS, Proposal, ReadBack, decide,
    label_error, read_back,
};
use jacinthweir_policy::config::garbage_collection::{deletable, unreferenced_parts};
use jacinthweir_policy::config::lineage::{
    HeadError, MAX_HISTORY, Relation, relation, validate_head,
};
use jacinthweir_policy::config::parts::{JoinError, MAX_PART_BYTES, PartText, join, split};
use jacinthweir_policy::config::watch::{WATCHER_COUNT, should_watch};
use jacinthweir_policy::head::Head;
use jacinthweir_policy::schema::{OrgDecl, Schema, diff, key};
use jacinthweir_policy::time::Name;

fn org(n: usize, weight: u32) -> OrgDecl {
    let digits = hex::encode(key::hash(&format!("key {n}")));
    OrgDecl {
        name: format!("atelier-{n}").into(),
        priority: 2,
        weight,
        key_sha256: vec![digits.into()],
        max_in_flight: None,
    }
}

fn schema(orgs: usize, weight: u32) -> Schema {
    let organisations = (0..orgs).map(|n| org(n, weight)).collect();
    Schema {
        organisations,
        ..Schema::default()
    }
}

fn rejoin(parts: &[PartText]) -> std::result::Result<Schema, JoinError> {
    let refs: Vec<_> = parts.iter().map(|p| p.part.clone()).collect();
    join(&refs, |hash| {
        parts
            .iter()
            .find(|p| &*p.part.hash == hash)
            .map(|p| &*p.text)
    })
}

fn proposal(base: u64, change: &str, weight: u32) -> Proposal {
    let parts = split(&schema(3, weight)).unwrap();
    Proposal {
        base,
        change: change.into(),
        operator: "ana".into(),
        at_ms: 1,
        parts: parts.into_iter().map(|p| p.part).collect(),
        summary: vec!["~ organisation atelier-0".into()],
    }
}

fn committed(standing: Option<&Head>, proposal: &Proposal) -> Head {
    match decide(standing, proposal) {
        Decision::Commit(head) => head,
        other => panic!("not committed: {other:?}"),
    }
}

#[gtest]
fn parts_join_to_the_same_schema_and_stay_small_at_the_target_size() {
    let schema = schema(19_000, 10);
    let parts = split(&schema).unwrap();
    let largest = parts.iter().map(|p| p.text.len()).max().unwrap();
    expect_that!(largest, lt(MAX_PART_BYTES / 10));
    expect_that!(diff(&schema, &rejoin(&parts).unwrap()), is_empty());
}

#[gtest]
fn a_change_of_one_organisation_rewrites_one_part() {
    let before = schema(1000, 10);
    let mut after = before.clone();
    after.organisations[7].weight = 11;
    after.organisations.reverse();
    let (before, after) = (split(&before).unwrap(), split(&after).unwrap());
    let changed = after.iter().filter(|part| !before.contains(part)).count();
    expect_that!(changed, eq(1));
}

#[gtest]
fn altered_and_missing_parts_are_rejected() {
    let parts = split(&schema(3, 10)).unwrap();
    let mut altered = parts.clone();
    altered[1].text = altered[1]
        .text
        .replace("\"weight\":10", "\"weight\":99")
        .into();
    expect_that!(rejoin(&altered), err(pat!(JoinError::WrongHash { .. })));
    expect_that!(rejoin(&parts[1..]), err(eq(&JoinError::Cores { found: 0 })));
    let refs: Vec<_> = parts.iter().map(|p| p.part.clone()).collect();
    expect_that!(join(&refs, |_| None), err(pat!(JoinError::Missing { .. })));
}

#[gtest]
fn an_oversized_part_is_rejected_by_the_split() {
    let mut schema = schema(1, 1);
    schema.organisations[0].key_sha256 = vec!["0".repeat(64).into(); MAX_PART_BYTES / 60];
    expect_that!(
        split(&schema).unwrap_err().to_string(),
        starts_with("slice ")
    );
}

#[gtest]
fn one_of_two_concurrent_commits_gets_a_conflict() {
    // Two operators plan against revision 1 and apply concurrently. The first commits revision 2;
    // the second must get a conflict and commit nothing.
    let first = committed(None, &proposal(0, "c1", 1));
    let second = committed(Some(&first), &proposal(1, "c2", 2));
    expect_that!(second.revision, eq(2));
    let conflicting = decide(Some(&second), &proposal(1, "c3", 3));
    expect_that!(conflicting, eq(&Decision::Conflict { standing: 2 }));
}

#[gtest]
fn retrying_the_same_change_is_idempotent() {
    let first = committed(None, &proposal(0, "c1", 1));
    let second = committed(Some(&first), &proposal(1, "c2", 2));
    let again = decide(Some(&second), &proposal(0, "c1", 1));
    expect_that!(again, eq(&Decision::AlreadyCommitted { revision: 1 }));
    let other = decide(Some(&second), &proposal(2, "c1", 3));
    expect_that!(other, eq(&Decision::ChangeReused { revision: 1 }));
    let same = decide(Some(&second), &proposal(1, "c9", 2));
    expect_that!(same, eq(&Decision::Unchanged { revision: 2 }));
}

#[gtest]
fn history_and_summary_are_bounded() {
    let mut head = committed(None, &proposal(0, "c0", 1));
    for n in 1..100 {
        let mut next = proposal(n, &format!("c{n}"), n as u32 + 1);
        next.summary = vec!["x".repeat(1000); 50];
        next.change = format!("{n:0>64}").into();
        next.operator = "o".repeat(MAX_LABEL_BYTES).into();
        head = committed(Some(&head), &next);
    }
    expect_that!(head.history, len(eq(MAX_HISTORY)));
    expect_that!(head.history[0].summary, len(eq(MAX_SUMMARY + 1)));
    let longest = head.history[0]
        .summary
        .iter()
        .map(|line| line.chars().count())
        .max();
    expect_that!(longest, some(le(MAX_SUMMARY_CHARS + 3)));
    expect_that!(validate_head(&head), ok(eq(())));
    // The largest history, without parts, that operators can produce.
    let bytes = serde_json::to_string(&head.history).unwrap().len();
    expect_that!(bytes, lt(MAX_PART_BYTES / 10));
    expect_that!(label_error(&head.history[0].change), none());
}

#[gtest]
fn a_write_with_a_lost_answer_is_resolved() {
    let first = committed(None, &proposal(0, "c1", 1));
    let ours = committed(Some(&first), &proposal(1, "c2", 2));
    let theirs = committed(Some(&first), &proposal(1, "c3", 3));
    let after = committed(Some(&ours), &proposal(2, "c4", 4));
    let truncated = Head {
        history: after.history[..1].to_vec(),
        ..after.clone()
    };
    let cases = [
        (Some((&ours, 8)), ReadBack::Committed),
        (Some((&after, 9)), ReadBack::Committed),
        (Some((&first, 7)), ReadBack::Pending),
        (Some((&theirs, 8)), ReadBack::Superseded { standing: 2 }),
        (Some((&truncated, 9)), ReadBack::Indeterminate),
        (Some((&first, 6)), ReadBack::Indeterminate),
        (None, ReadBack::Indeterminate),
    ];
    for (standing, wanted) in cases {
        expect_that!(read_back(&ours, 7, standing), eq(wanted));
    }
    expect_that!(read_back(&first, 0, None), eq(ReadBack::Pending));
}

#[gtest]
fn a_diverged_head_is_detected() {
    let first = committed(None, &proposal(0, "c1", 1));
    let second = committed(Some(&first), &proposal(1, "c2", 2));
    let fork = committed(Some(&first), &proposal(1, "c3", 3));
    let fork_on = committed(Some(&fork), &proposal(2, "c4", 4));
    expect_that!(relation(&second, &second), eq(Relation::Same));
    expect_that!(relation(&second, &first), eq(Relation::Ancestor));
    expect_that!(relation(&first, &second), eq(Relation::Descendant));
    expect_that!(relation(&second, &fork), eq(Relation::Foreign));
    expect_that!(relation(&second, &fork_on), eq(Relation::Foreign));
    expect_that!(relation(&fork_on, &second), eq(Relation::Foreign));
}

#[gtest]
fn an_inconsistent_head_is_rejected() {
    let head = committed(None, &proposal(0, "c1", 1));
    let other = committed(None, &proposal(0, "c1", 2));
    let cases = [
        (
            Head {
                revision: 5,
                ..head.clone()
            },
            HeadError::Revision,
        ),
        (
            Head {
                history: vec![],
                ..head.clone()
            },
            HeadError::Revision,
        ),
        (
            Head {
                history: vec![head.history[0].clone(); 2],
                ..head.clone()
            },
            HeadError::History,
        ),
        (
            Head {
                parts: vec![],
                ..head.clone()
            },
            HeadError::Parts,
        ),
        (
            Head {
                parts: other.parts,
                ..head.clone()
            },
            HeadError::Parts,
        ),
        (
            Head {
                parts: vec![head.parts[0].clone(); 200],
                ..head.clone()
            },
            HeadError::Parts,
        ),
    ];
    for (head, fault) in cases {
        expect_that!(validate_head(&head), err(eq(fault)));
    }
}

#[gtest]
fn the_number_of_watchers_does_not_grow_with_the_fleet() {
    for fleet in [1, 3, 6, 340] {
        let names: Vec<Name> = (0..fleet).map(|n| format!("i{n}").into()).collect();
        let watching = names
            .iter()
            .filter(|name| should_watch(name, &names))
            .count();
        expect_that!(watching, eq(WATCHER_COUNT.min(fleet)));
    }
}

#[gtest]
fn parts_of_a_commit_in_progress_are_never_deletable() {
    // The head at revision 2 has version 20. A commit in progress has rewritten a part (version 21)
    // that an earlier revision also used. Deleting it would leave the next head with a missing
    // part, and every instance that joins later without a configuration.
    let first = committed(None, &proposal(0, "c1", 1));
    let second = committed(Some(&first), &proposal(1, "c2", 2));
    let (old, named) = (first.parts[1].hash.clone(), second.parts[1].hash.clone());
    let at = |version| [(old.clone(), version), (named.clone(), 15)].into_iter();
    expect_that!(unreferenced_parts(&second, 20, at(21)), is_empty());
    let found = unreferenced_parts(&second, 20, at(10));
    expect_that!(found.keys().collect::<Vec<_>>(), eq(&vec![&old]));
    expect_that!(
        deletable(&unreferenced_parts(&second, 20, at(9)), &found),
        is_empty()
    );
    expect_that!(deletable(&found, &found), eq(&found));
}
