//! Tests of the request journal: outcomes, violations and frames, mostly from the case files in
//! `cases/journal`.

use googletest::prelude::*;
use jacinthweir_policy::journal::*;
use jacinthweir_policy::prelude::*;
use std::path::Path;

/// One case of a case file.
struct Case {
    name: String,
    idempotency: Idempotency,
    lines: Vec<String>,
}

fn cases(file: &str) -> Vec<Case> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/journal");
    let text = std::fs::read_to_string(path.join(file)).expect("reads");
    let mut cases: Vec<Case> = Vec::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        match (line.strip_prefix("case "), cases.last_mut()) {
            (Some(name), _) => cases.push(Case {
                name: format!("{file}: {name}"),
                idempotency: Idempotency::Idempotent,
                lines: Vec::new(),
            }),
            (None, Some(case)) => match line {
                "idempotent" => case.idempotency = Idempotency::Idempotent,
                "non-idempotent" => case.idempotency = Idempotency::NonIdempotent,
                _ => case.lines.push(line.to_owned()),
            },
            (None, None) => panic!("{file}: line before the first `case`"),
        }
    }
    cases
}

fn outcome(text: &str) -> Outcome {
    match text {
        "answered" => Outcome::Answered,
        "not_run" => Outcome::NotRun,
        "failed" => Outcome::Failed,
        "unknown" => Outcome::Unknown,
        _ => panic!("unknown outcome: {text}"),
    }
}

fn event(line: &str) -> Event {
    let words: Vec<&str> = line.split_whitespace().collect();
    let number = |at: usize| -> u32 { words[at].parse().expect("a number") };
    let cause = "test".into();
    match words[0] {
        "admitted" => Event::Admitted,
        "handed" => Event::Dispatched {
            attempt: number(1),
            upstream: words[2].into(),
        },
        "never-sent" => Event::NeverSent { attempt: number(1) },
        "refused" => Event::RefusedByUpstream { attempt: number(1) },
        "silent" => Event::Silent { attempt: number(1) },
        "token" => Event::Token {
            attempt: number(1),
            index: number(2),
        },
        "ended" => Event::Ended {
            attempt: number(1),
            tokens: number(2),
        },
        "broken" => Event::Broken {
            attempt: number(1),
            cause,
        },
        "lost" => Event::Lost {
            attempt: number(1),
            cause,
        },
        "recorded" => Event::Recorded {
            outcome: outcome(words[1]),
        },
        "closed" => Event::Closed {
            outcome: outcome(words[1]),
        },
        "caller-left" => Event::CallerLeft,
        "deadline" => Event::DeadlinePassed,
        _ => panic!("unknown event: {line}"),
    }
}

/// Checks a frame line of a case against its expected verdict.
fn check_frame(journal: &mut Journal, line: &str, expected: &str, name: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let frame = Frame {
        request: words[1],
        attempt: words[2].parse().expect("a number"),
    };
    let number: u32 = words[3].parse().expect("a number");
    let verdict = match words[0] {
        "frame" => journal.accept(frame, number),
        _ => journal.accept_end(frame, number),
    };
    let text = match verdict {
        Verdict::Accept => "accept".to_owned(),
        Verdict::Drop(reason) => reason.to_string(),
    };
    expect_that!(text, eq(expected), "{name}: {line}");
}

fn run(case: &Case) {
    let name = &case.name;
    let mut journal = Journal::open("r".into(), case.idempotency, 0);
    let mut history = Vec::new();
    for line in &case.lines {
        let (what, expected) = line.split_once(" = ").unwrap_or((line, ""));
        match what {
            "complete" => expect_that!(
                journal.outcome(End::Complete),
                eq(outcome(expected)),
                "{name}"
            ),
            "given up" => {
                expect_that!(
                    journal.outcome(End::GivenUp),
                    eq(outcome(expected)),
                    "{name}"
                );
            }
            "fault" => {
                let violation = verify(case.idempotency, &history).expect_err(name);
                expect_that!(violation.fault.to_string(), eq(expected), "{name}");
                expect_that!(violation.position, eq(history.len() - 1), "{name}");
                return;
            }
            _ if what.starts_with("frame ") || what.starts_with("end ") => {
                check_frame(&mut journal, what, expected, name);
            }
            _ => {
                history.push(event(what));
                // The `fault` line of the case checks the fault.
                let _ = journal.record(0, event(what));
            }
        }
    }
    expect_that!(verify(case.idempotency, &history), ok(anything()), "{name}");
}

#[gtest]
fn case_files() {
    for file in ["outcomes.txt", "violations.txt", "frames.txt"] {
        let cases = cases(file);
        expect_that!(cases.len(), gt(5));
        for case in &cases {
            run(case);
        }
    }
}

/// A driver that is delayed until after the outcome was reported must not dispatch, so that a
/// reported "not run" stays true.
#[gtest]
fn nothing_is_dispatched_after_the_outcome_was_reported() {
    let mut journal = Journal::open("r1".into(), Idempotency::NonIdempotent, 0);
    expect_that!(journal.close(1, End::GivenUp), eq(Outcome::NotRun));
    let dispatched = Event::Dispatched {
        attempt: 1,
        upstream: "u".into(),
    };
    expect_that!(journal.record(2, dispatched), err(eq(Fault::AfterClose)));
    expect_that!(journal.close(3, End::Complete), eq(Outcome::NotRun));
}

/// The journal does not grow with a long answer over many attempts and still stores its last step.
#[gtest]
fn journal_size_is_bounded() {
    let mut journal = Journal::open("r".into(), Idempotency::Idempotent, 0);
    for attempt in 1..=MAX_ATTEMPTS as u32 {
        let upstream = "u".into();
        journal
            .record(0, Event::Dispatched { attempt, upstream })
            .unwrap();
        for _ in 0..1_000 {
            let index = journal.tokens();
            journal.record(0, Event::Token { attempt, index }).unwrap();
        }
        for _ in 0..4 {
            journal.record(0, Event::Queued).unwrap();
        }
        let cause = "reset".into();
        journal.record(0, Event::Lost { attempt, cause }).unwrap();
    }
    let attempt = MAX_ATTEMPTS as u32 + 1;
    let upstream = "u".into();
    expect_that!(
        journal.record(0, Event::Dispatched { attempt, upstream }),
        err(eq(Fault::TooManyAttempts { attempt }))
    );
    journal.close(9, End::GivenUp);
    expect_that!(journal.tokens(), eq(16_000));
    expect_that!(journal.steps(), len(eq(MAX_STEPS)));
    expect_that!(journal.omitted_steps(), gt(0));
    let last = journal.steps().last().map(ToString::to_string);
    expect_that!(last, some(eq("9 closed: failed")));
}
