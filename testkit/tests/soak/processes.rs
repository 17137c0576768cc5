//! Histories that the rule named FAULT must reject, and others that it must accept.

use googletest::prelude::*;
use jacinthweir_testkit::soak::check::process::MEMORY_LIMIT_MB;
use jacinthweir_testkit::soak::check::{Violation, check};
use jacinthweir_testkit::soak::observed::{Asked, Exit, Life, Observed, Status, Target};

const READY_BOUND_MS: u64 = 3_000;
const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

/// Returns the history of a process that starts after a second and is ready soon.
fn history() -> Observed {
    Observed {
        lives: vec![Life {
            instance: 0,
            id: None,
            started_ms: 1_000,
            ready_ms: Some(1_300),
            asked: None,
            exit: None,
            most_mb: 100,
        }],
        ready_bound_ms: READY_BOUND_MS,
        until_ms: 20_000,
        ..Observed::default()
    }
}

fn ended(asked: Option<Asked>, status: Status) -> Observed {
    let mut o = history();
    o.lives[0].asked = asked.map(|asked| (asked, 8_000));
    o.lives[0].exit = Some(Exit {
        at_ms: 8_100,
        status,
        last_line: "the last line".to_owned(),
    });
    o
}

fn ready_at(ready_ms: Option<u64>) -> Observed {
    let mut o = history();
    o.lives[0].ready_ms = ready_ms;
    o
}

#[gtest]
fn a_process_that_is_ready_and_goes_on_breaks_no_rule() {
    expect_that!(check(&history()), is_empty());
}

#[gtest]
fn an_end_that_nobody_asked_for_is_found() {
    for status in [Status::Code(0), Status::Code(1), Status::Signal(SIGHUP)] {
        let found = check(&ended(None, status));
        expect_that!(
            found,
            elements_are![matches_pattern!(Violation::EndedUnasked { .. })]
        );
        let text = found[0].to_string();
        expect_that!(text, contains_substring(status.to_string()));
        expect_that!(text, contains_substring("the last line"));
    }
    // It had ended before the kill reached it.
    expect_that!(
        check(&ended(Some(Asked::Kill), Status::Code(1))),
        elements_are![matches_pattern!(Violation::EndedUnasked { .. })]
    );
}

#[gtest]
fn ends_that_were_asked_for_break_no_rule() {
    let killed = ended(Some(Asked::Kill), Status::Signal(SIGKILL));
    expect_that!(check(&killed), is_empty());
    let stopped = ended(Some(Asked::Terminate), Status::Code(0));
    expect_that!(check(&stopped), is_empty());
}

#[gtest]
fn a_failure_after_sigterm_is_found() {
    let ends = [
        (Asked::Terminate, Status::Code(1)),
        (Asked::KillAfterGrace, Status::Signal(SIGKILL)),
    ];
    for (asked, status) in ends {
        expect_that!(
            check(&ended(Some(asked), status)),
            elements_are![matches_pattern!(Violation::BadStop { .. })]
        );
    }
}

#[gtest]
fn a_process_that_is_not_ready_in_time_is_found() {
    for ready_ms in [None, Some(4_001)] {
        expect_that!(
            check(&ready_at(ready_ms)),
            elements_are![matches_pattern!(Violation::NotReady { .. })]
        );
    }
    expect_that!(check(&ready_at(Some(4_000))), is_empty());
}

/// Guards against charging a start for the store's disturbance, and against excusing it for good.
#[gtest]
fn a_disturbed_store_puts_off_when_a_process_has_to_be_ready() {
    let disturbed = |ready_ms| {
        let mut o = ready_at(Some(ready_ms));
        o.disturbed.push((Target::Store, 3_500, 6_000));
        o
    };
    expect_that!(check(&disturbed(9_000)), is_empty());
    expect_that!(
        check(&disturbed(9_001)),
        elements_are![matches_pattern!(Violation::NotReady { .. })]
    );
    // Another instance's trouble is no excuse, nor is what came later.
    let mut o = ready_at(Some(4_001));
    o.disturbed.push((Target::Instance(1), 0, 6_000));
    o.disturbed.push((Target::Store, 4_001, 6_000));
    expect_that!(
        check(&o),
        elements_are![matches_pattern!(Violation::NotReady { .. })]
    );
}

#[gtest]
fn a_process_that_was_ended_before_its_time_was_up_need_not_be_ready() {
    let mut o = ready_at(None);
    o.lives[0].asked = Some((Asked::Kill, 3_999));
    expect_that!(check(&o), is_empty());
}

#[gtest]
fn memory_above_the_limit_is_found() {
    let mut o = history();
    o.lives[0].most_mb = MEMORY_LIMIT_MB;
    expect_that!(check(&o), is_empty());
    o.lives[0].most_mb += 1;
    expect_that!(
        check(&o),
        elements_are![matches_pattern!(Violation::Memory { .. })]
    );
}
