//! Graceful shutdown, tested with case files of lines `TIME EVENT IN-FLIGHT -> ACTIONS`.

use googletest::prelude::*;
use jacinthweir_policy::drain::{Drain, DrainConfig, DrainEvent};
use std::path::Path;

fn config(line: &str) -> DrainConfig {
    let words: Vec<&str> = line.split_whitespace().collect();
    let number = |i: usize| words[i].parse().expect("a number");
    DrainConfig {
        ttl_ms: number(2),
        deadline_ms: number(4),
        answer_ms: number(6),
    }
}

/// Returns the first line whose actions differ from the expected ones.
fn first_difference(text: &str) -> Option<String> {
    let mut lines = text.lines().filter(|l| !l.starts_with('#'));
    let mut drain = Drain::new(config(lines.next().expect("a config line")));
    for line in lines {
        let (given, wanted) = line.split_once(" -> ").unwrap_or((line, ""));
        let words: Vec<&str> = given.split_whitespace().collect();
        let event = match words[1] {
            "signal" => DrainEvent::Signal,
            _ => DrainEvent::Tick,
        };
        let now = words[0].parse().expect("a time");
        let in_flight = words[2].parse().expect("a number of requests");
        let actions = drain.on(now, event, in_flight);
        let actions: Vec<String> = actions.iter().map(ToString::to_string).collect();
        let got = actions.join("; ");
        if got != wanted {
            return Some(format!("{line}\n  got: {got}"));
        }
    }
    None
}

#[gtest]
fn steps_follow_the_case_files() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/drain");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of cases") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a text file");
        expect_that!(first_difference(&text), none(), "{}", path.display());
        count += 1;
    }
    expect_that!(count, ge(7));
}

#[gtest]
fn the_comparison_rejects_a_wrong_step() {
    let text = "config ttl 3000 deadline 60000 answers 500\n0 signal 0 -> refuse connections";
    expect_that!(first_difference(text), some(anything()));
}
