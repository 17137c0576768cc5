//! Tests of retry decisions, the retry budget and stall detection.

use googletest::prelude::*;
use jacinthweir_policy::journal::{Event, Idempotency, Journal};
use jacinthweir_policy::retry::*;
use jacinthweir_policy::retry_priority::RetryPriority;

const TIME: TimeLeft = TimeLeft {
    left_ms: 1_000,
    needed_ms: 100,
};

fn handed(journal: &mut Journal, attempt: u32) {
    let upstream = "u".into();
    journal
        .record(0, Event::Dispatched { attempt, upstream })
        .unwrap();
}

fn lost(journal: &mut Journal, attempt: u32) {
    let cause = "reset".into();
    journal.record(0, Event::Lost { attempt, cause }).unwrap();
}

fn full_budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetConfig::default(), 0)
}

#[gtest]
fn a_stream_resumes_after_the_tokens_that_its_caller_has() {
    let mut journal = Journal::open("r".into(), Idempotency::Idempotent, 0);
    handed(&mut journal, 1);
    for index in 0..3 {
        journal
            .record(0, Event::Token { attempt: 1, index })
            .unwrap();
    }
    lost(&mut journal, 1);
    let decision = decide(
        0,
        &journal,
        AttemptFailure::BrokenOff,
        TIME,
        &mut full_budget(),
    );
    let resumed = Decision::Retry {
        attempt: 2,
        resume_from: 3,
    };
    expect_that!(decision, eq(resumed));
    let late = TimeLeft {
        left_ms: 100,
        needed_ms: 100,
    };
    let decision = decide(
        0,
        &journal,
        AttemptFailure::BrokenOff,
        late,
        &mut full_budget(),
    );
    expect_that!(decision, eq(Decision::GiveUp(GiveUp::Deadline)));
}

#[gtest]
fn a_non_idempotent_call_is_retried_only_if_nothing_ran() {
    let mut journal = Journal::open("r".into(), Idempotency::NonIdempotent, 0);
    handed(&mut journal, 1);
    journal
        .record(0, Event::RefusedByUpstream { attempt: 1 })
        .unwrap();
    let refused = AttemptFailure::Refused { retry_after_ms: 0 };
    let decision = decide(0, &journal, refused, TIME, &mut full_budget());
    expect_that!(
        decision,
        matches_pattern!(Decision::Retry { attempt: eq(2), .. })
    );
    handed(&mut journal, 2);
    lost(&mut journal, 2);
    let decision = decide(
        0,
        &journal,
        AttemptFailure::BrokenOff,
        TIME,
        &mut full_budget(),
    );
    expect_that!(decision, eq(Decision::GiveUp(GiveUp::NonIdempotent)));
}

/// Every request to a lost failure domain fails, and so do its retries. Without the bound the
/// remaining upstreams would receive twice the load.
#[gtest]
fn retries_stay_within_the_budget() {
    let cfg = RetryBudgetConfig::default();
    let mut budget = RetryBudget::new(cfg, 0);
    let (mut successes, mut retries) = (0_u64, 0_u64);
    for request in 0..30_000_u64 {
        let now = request;
        match request % 3 {
            0 => retries += u64::from(budget.take(now, RetryPriority::Committed)),
            _ => {
                successes += 1;
                budget.record_success();
            }
        }
    }
    let bound = cfg.min_size + cfg.share * successes as f64 + cfg.idle_refill_per_s * 30.0;
    expect_that!(retries as f64, le(bound));
    expect_that!(retries as f64, ge(0.9 * bound));
    expect_that!(budget.taken() + budget.refused(), eq(10_000));
}

/// A failure domain with a third of 300 streams fails at once, and each of them can be resumed.
#[gtest]
fn every_stream_in_flight_can_be_resumed_once() {
    let mut budget = full_budget();
    budget.set_in_flight(300);
    let resumed = (0..100)
        .filter(|_| budget.take(0, RetryPriority::Committed))
        .count();
    expect_that!(resumed, eq(100));
}

/// A failure domain is full and refuses every new request; then a runner elsewhere fails. The
/// refused requests can be refused truthfully, since nothing ran. The streams of the failed runner
/// would be cut if the refused requests had used up the retry budget.
#[gtest]
fn refusable_requests_leave_retries_to_streams() {
    let mut budget = full_budget();
    budget.set_in_flight(20);
    let refused = AttemptFailure::Refused { retry_after_ms: 0 };
    let new = |budget: &mut RetryBudget| {
        let mut journal = Journal::open("new".into(), Idempotency::Idempotent, 0);
        handed(&mut journal, 1);
        let event = Event::RefusedByUpstream { attempt: 1 };
        journal.record(0, event).unwrap();
        decide(0, &journal, refused, TIME, budget)
    };
    let retried = (0..100).filter(|_| matches!(new(&mut budget), Decision::Retry { .. }));
    expect_that!(retried.count(), ge(10));
    let mut journal = Journal::open("begun".into(), Idempotency::Idempotent, 0);
    handed(&mut journal, 1);
    let token = Event::Token {
        attempt: 1,
        index: 0,
    };
    journal.record(0, token).unwrap();
    lost(&mut journal, 1);
    let decision = decide(0, &journal, AttemptFailure::BrokenOff, TIME, &mut budget);
    let resumed = Decision::Retry {
        attempt: 2,
        resume_from: 1,
    };
    expect_that!(decision, eq(resumed));
}

#[gtest]
fn the_stall_threshold_adapts_to_the_history_of_the_link() {
    let mut fast = StallDetector::new(StallConfig::default());
    let mut slow = StallDetector::new(StallConfig::default());
    for i in 0..200_u64 {
        fast.record_gap(20 + i % 3);
        slow.record_gap(300 + 10 * (i % 7));
    }
    expect_that!(fast.is_stall(500), eq(true));
    expect_that!(slow.is_stall(500), eq(false));
    expect_that!(slow.is_stall(2_000), eq(true));
}

#[gtest]
fn a_false_suspicion_raises_the_threshold_temporarily() {
    let mut detector = StallDetector::new(StallConfig::default());
    for i in 0..200_u64 {
        detector.record_gap(100 + 20 * (i % 5));
    }
    let before = detector.threshold_ms();
    detector.record_suspicion();
    detector.record_false_suspicion(before + 50);
    let after = detector.threshold_ms();
    expect_that!(after, gt(2 * before));
    expect_that!(detector.false_suspicions(), eq(1));
    for i in 0..10_000_u64 {
        detector.record_gap(100 + 20 * (i % 5));
    }
    expect_that!(detector.threshold_ms(), le(before + before / 10));
}
