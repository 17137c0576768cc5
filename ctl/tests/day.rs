//! What a relay's lines say of a day.

use googletest::prelude::*;
use jacinthweir_ctl::day::{Day, End, Limits, plot};

const LIMITS: Limits = Limits {
    objective_ms: 500,
    pause_ms: 200,
    window_ms: 2_000,
};

const LINES: &str = r#"
   1.000 front-1 {"at":"2026-01-28T11:56:00.000Z","message":"started"}
not a line of ours
{"at":"2026-01-28T11:56:01.000Z","message":"answered","request":"a","first_after_ms":"40","longest_gap_ms":"60","after_ms":"900"}
{"at":"2026-01-28T11:56:02.100Z","message":"runner counts as dead","runner":"i-1"}
{"at":"2026-01-28T11:56:02.110Z","message":"a chain is broken","chain":"east/9","waiting":"3"}
{"at":"2026-01-28T11:56:02.200Z","message":"resumed","request":"b","silent_ms":"250"}
{"at":"2026-01-28T11:56:02.300Z","message":"rerouted","request":"c","silent_ms":"150"}
{"at":"2026-01-28T11:56:03.000Z","message":"answered","request":"b","first_after_ms":"40","longest_gap_ms":"260","after_ms":"1500"}
{"at":"2026-01-28T11:56:03.000Z","message":"answered","request":"c","first_after_ms":"40","longest_gap_ms":"190","after_ms":"500"}
{"at":"2026-01-28T11:56:03.000Z","message":"answered","request":"d","first_after_ms":"700","longest_gap_ms":"900","after_ms":"900"}
{"at":"2026-01-28T11:56:05.000Z","message":"stream cut","request":"e","cause":"chain broke","after_ms":"10"}
{"at":"2026-01-28T11:56:05.000Z","message":"not answered","request":"f","cause":"no room","after_ms":"0"}
"#;

#[gtest]
fn requests_count_by_when_they_came_and_how_they_ended() {
    let day = Day::read(LINES.lines(), &LIMITS);
    expect_that!(day.lines, eq(11));
    let count = |begin, end| day.windows[&begin].ends.get(&end).copied().unwrap_or(0);
    expect_that!(count(0, End::InTime), eq(1));
    expect_that!(count(0, End::ResumedLate), eq(1));
    expect_that!(count(2_000, End::InTime), eq(1));
    expect_that!(count(2_000, End::FirstLate), eq(1));
    expect_that!(count(4_000, End::Cut), eq(1));
    expect_that!(count(4_000, End::NotAnswered), eq(1));
    expect_that!(day.windows[&2_000].dead.len(), eq(1));
    expect_that!(day.windows[&2_000].broken, eq(1));
    expect_that!(day.pause_ms(0.5), some(eq(190)));
    expect_that!(day.pause_ms(1.0), some(eq(260)));
}

/// The lines come from several processes one after the other, as a collector wrote them.
#[gtest]
fn the_order_of_lines_does_not_matter() {
    let mut turned: Vec<&str> = LINES.lines().collect();
    turned.reverse();
    expect_that!(
        Day::read(turned.into_iter(), &LIMITS),
        eq(&Day::read(LINES.lines(), &LIMITS))
    );
}

#[gtest]
fn a_day_is_shown_and_drawn_also_without_lines() {
    let day = Day::read(LINES.lines(), &LIMITS);
    expect_that!(day.to_string(), contains_substring("resumed late"));
    expect_that!(day.to_string(), contains_substring("2 streams moved"));
    expect_that!(plot::svg(&day), ok(contains_substring("rerouted late")));
    let none = Day::read("".lines(), &LIMITS);
    expect_that!(none.windows.len(), eq(0));
    expect_that!(plot::svg(&none), ok(contains_substring("<svg")));
}
