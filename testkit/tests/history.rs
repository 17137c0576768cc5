//! Tests of the history checks: each check reports a history with its violation and accepts the
//! same history without it, so that no check passes vacuously.

use googletest::prelude::*;
use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::{Name, Outcome};
use jacinthweir_testkit::caller::Observation;
use jacinthweir_testkit::history::record::*;
use jacinthweir_testkit::history::{Limits, Violation, check};
use jacinthweir_testkit::service::RanCall;

const LAYERS: u32 = 8;

fn ran(request: &str, attempt: u32, index: u32, start: u32, end: u32, at_ms: u64) -> ExecutedRange {
    ExecutedRange {
        request: request.into(),
        attempt,
        index,
        layers: LayerRange { start, end },
        runner: format!("runner-{start}").into(),
        at_ms,
    }
}

fn seen(request: &str, outcome: Outcome, text: &str, tokens: usize) -> Observation {
    Observation {
        status: Some(if outcome == Outcome::Answered {
            200
        } else {
            503
        }),
        request: Some(request.into()),
        outcome: Some(outcome),
        text: text.to_owned(),
        token_us: vec![0; tokens],
        ..Observation::default()
    }
}

fn submission(number: u64, work: Work, seen: Observation) -> Submission {
    Submission {
        number,
        instance: "entry-0".into(),
        sent_ms: 1_000,
        ended_ms: 2_000,
        work,
        seen,
    }
}

fn model(expected: &str) -> Work {
    Work::Model {
        expected: expected.to_owned(),
    }
}

fn call(key: &str) -> Work {
    Work::Call {
        idempotent: false,
        key: Some(key.to_owned()),
        body: format!("body of {key}"),
    }
}

fn ran_call(request: &str, key: &str, run: u64) -> RanCall {
    RanCall {
        run,
        service: "orders-0".into(),
        call: "pay".into(),
        request: Some(request.into()),
        attempt: Some(1),
        key: Some(key.to_owned()),
        body: format!("body of {key}"),
        at_ms: 1_500,
    }
}

/// Returns a history of one answered request, two tokens over two stages, and one answered call.
fn valid_history() -> History {
    let mut history = History {
        layers: LAYERS,
        ..History::default()
    };
    for index in 0..2 {
        let at_ms = 1_100 + u64::from(index) * 10;
        history.ran.push(ran("a.1", 1, index, 0, 4, at_ms));
        history.ran.push(ran("a.1", 1, index, 4, 8, at_ms + 1));
    }
    let answered = seen("a.1", Outcome::Answered, "x y", 2);
    history
        .submissions
        .push(submission(1, model("x y"), answered));
    let paid = seen("a.2", Outcome::Answered, "paid", 0);
    history.submissions.push(submission(2, call("k1"), paid));
    history.calls.push(ran_call("a.2", "k1", 1));
    history
}

fn found(history: &History) -> Vec<Violation> {
    check(history, &Limits::default())
}

#[gtest]
fn a_valid_history_passes() {
    expect_that!(found(&valid_history()), is_empty());
}

#[gtest]
fn layers_that_ran_twice_are_reported() {
    let mut history = valid_history();
    history.ran.push(ran("a.1", 1, 1, 4, 8, 1_115));
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::LayersOverlap { index: &1, .. }))
    );
}

#[gtest]
fn stages_out_of_order_are_reported() {
    let mut history = valid_history();
    for r in &mut history.ran {
        r.at_ms = if r.layers.start == 0 { 1_300 } else { 1_200 };
    }
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::LayersOverlap { .. }))
    );
}

#[gtest]
fn a_token_that_no_attempt_ran_completely_is_reported() {
    let mut history = valid_history();
    history
        .ran
        .retain(|r| !(r.index == 1 && r.layers.start == 4));
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::TokenNotCovered {
            index: &1,
            ..
        }))
    );
}

// A stage dies during token 1, and attempt 2 runs that token again completely. This is valid:
// within each attempt no layer ran twice, and one attempt ran all layers of the delivered token.
#[gtest]
fn a_resumed_token_is_allowed() {
    let mut history = valid_history();
    history
        .ran
        .retain(|r| !(r.index == 1 && r.layers.start == 4));
    history.ran.push(ran("a.1", 2, 1, 0, 4, 1_200));
    history.ran.push(ran("a.1", 2, 1, 4, 8, 1_201));
    expect_that!(found(&history), is_empty());
}

#[gtest]
fn a_wrong_or_truncated_answer_is_reported() {
    for text in ["x", "x z", ""] {
        let mut history = valid_history();
        history.submissions[0].seen.text = text.to_owned();
        expect_that!(
            found(&history),
            contains(matches_pattern!(Violation::WrongAnswer { number: &1, .. }))
        );
    }
}

#[gtest]
fn a_partial_answer_of_another_request_is_reported() {
    let mut history = valid_history();
    let mut broken = seen("a.1", Outcome::Failed, "q", 1);
    broken.status = Some(200);
    history.submissions[0].seen = broken;
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::MismatchedPrefix { .. }))
    );
    history.submissions[0].seen.text = "x".to_owned();
    expect_that!(found(&history), is_empty());
}

#[gtest]
fn work_that_ran_despite_an_outcome_of_not_run_is_reported() {
    let mut history = valid_history();
    history.submissions[0].seen = seen("a.1", Outcome::NotRun, "", 0);
    history.submissions[1].seen = seen("a.2", Outcome::NotRun, "", 0);
    let violations = found(&history);
    let violated = violations.iter();
    let violated = violated.filter(|v| matches!(v, Violation::RanDespiteNotRun { .. }));
    expect_that!(violated.count(), eq(2));
}

#[gtest]
fn a_call_that_ran_twice_is_reported_once() {
    let mut history = valid_history();
    history.calls.push(ran_call("b.7", "k1", 2));
    let again = seen("b.7", Outcome::Unknown, "", 0);
    history.submissions.push(submission(2, call("k1"), again));
    expect_that!(
        found(&history),
        elements_are![matches_pattern!(Violation::RanTwice { times: &2, .. })]
    );
}

#[gtest]
fn answers_that_differ_or_come_from_no_run_are_reported() {
    let mut history = valid_history();
    let other = seen("b.7", Outcome::Answered, "refused", 0);
    history.submissions.push(submission(2, call("k1"), other));
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::AnswersDiffer { .. }))
    );
    let mut history = valid_history();
    history.calls.clear();
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::AnsweredButNeverRan { .. }))
    );
}

fn arrived(at_ms: u64) -> ReceivedAttempt {
    ReceivedAttempt {
        upstream: "runner-0".into(),
        request: "a.9".into(),
        attempt: 1,
        first: true,
        at_ms,
    }
}

#[gtest]
fn new_work_long_after_leaving_is_reported() {
    let mut history = valid_history();
    history.left.push(LeavingNotice {
        upstream: "runner-0".into(),
        at_ms: 10_000,
        by_list: false,
        until_ms: Some(30_000),
    });
    history.arrived.push(arrived(14_000));
    history.arrived.push(arrived(31_000));
    expect_that!(found(&history), is_empty());
    history.arrived.push(arrived(16_000));
    expect_that!(
        found(&history),
        elements_are![matches_pattern!(Violation::NewWorkAfterLeaving {
            late_ms: &6_000,
            ..
        })]
    );
}

// Only the platform's list carries the leaving notice, and the platform is unavailable until 20 s:
// no instance can know before. Work at 24 s is within the limit, work at 26 s is not.
#[gtest]
fn a_leaving_notice_of_the_list_counts_from_when_it_was_readable() {
    let mut history = valid_history();
    history.left.push(LeavingNotice {
        upstream: "runner-0".into(),
        at_ms: 10_000,
        by_list: true,
        until_ms: None,
    });
    history.unreadable.push(ListOutage {
        from_ms: 9_000,
        until_ms: Some(20_000),
    });
    history.arrived.push(arrived(24_000));
    expect_that!(found(&history), is_empty());
    history.arrived.push(arrived(26_000));
    expect_that!(found(&history), len(eq(1)));
}

#[gtest]
fn a_shutdown_that_interrupts_requests_is_reported() {
    let mut history = valid_history();
    history.shutdowns.push(Shutdown {
        instance: "entry-0".into(),
        signal_ms: 1_500,
        ended_ms: 5_000,
        code: Some(0),
    });
    expect_that!(found(&history), is_empty());
    history.submissions[0].seen.broken = Some("connection reset".to_owned());
    expect_that!(
        found(&history),
        contains(matches_pattern!(Violation::InterruptedByShutdown { .. }))
    );
    let mut history = valid_history();
    history.shutdowns.push(Shutdown {
        instance: "entry-0".into(),
        signal_ms: 3_000,
        ended_ms: 5_000,
        code: Some(1),
    });
    expect_that!(found(&history), len(eq(1)));
}

fn in_force(revision: u64, at_ms: u64) -> InForceSeen {
    InForceSeen {
        instance: "entry-0".into(),
        incarnation: 1,
        serving: true,
        revision,
        at_ms,
    }
}

fn commit(revision: u64, change: &str, at_ms: u64) -> CommitSeen {
    CommitSeen {
        revision,
        change: Name::from(change),
        at_ms,
    }
}

#[gtest]
fn a_revision_that_decreases_is_reported() {
    let mut history = valid_history();
    history.in_force = vec![in_force(2, 100), in_force(3, 200), in_force(2, 300)];
    expect_that!(
        found(&history),
        elements_are![matches_pattern!(Violation::RevisionDecreased {
            from: &3,
            to: &2,
            ..
        })]
    );
}

#[gtest]
fn a_revision_not_in_force_in_time_is_reported() {
    let mut history = valid_history();
    history.commits.push(commit(3, "c3", 1_000));
    history.in_force = vec![in_force(2, 13_000), in_force(3, 13_500)];
    expect_that!(found(&history), is_empty());
    history.in_force = vec![in_force(2, 15_000)];
    expect_that!(
        found(&history),
        elements_are![matches_pattern!(Violation::NotInForce { .. })]
    );
    history.frozen.push(Frozen {
        instance: "entry-0".into(),
        woken_ms: 14_500,
    });
    expect_that!(found(&history), is_empty());
}

#[gtest]
fn two_changes_with_one_revision_are_reported() {
    let mut history = valid_history();
    history.commits = vec![commit(3, "c3", 1_000), commit(3, "other", 1_100)];
    expect_that!(
        found(&history),
        elements_are![matches_pattern!(Violation::DuplicateRevision { .. })]
    );
}
