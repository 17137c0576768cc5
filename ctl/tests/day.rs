//! Tests of the report that `jwctl day` builds from a relay's log lines.

use googletest::prelude::*;
use jacinthweir_ctl::day::{DayReport, ReportOptions, RequestOutcome, plot};

const OPTIONS: ReportOptions = ReportOptions {
    objective_ms: 500,
    pause_ms: 200,
    window_ms: 2_000,
};

const LINES: &str = r#"
   1.000 front-1 {"at":"2026-01-28T11:56:00.000Z","message":"started"}
a line without JSON
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
fn requests_are_counted_by_window_and_outcome() {
    let report = DayReport::from_lines(LINES.lines(), &OPTIONS);
    expect_that!(report.lines, eq(11));
    let count = |start, outcome| {
        report.windows[&start]
            .ends
            .get(&outcome)
            .copied()
            .unwrap_or(0)
    };
    expect_that!(count(0, RequestOutcome::InTime), eq(1));
    expect_that!(count(0, RequestOutcome::ResumedLate), eq(1));
    expect_that!(count(2_000, RequestOutcome::InTime), eq(1));
    expect_that!(count(2_000, RequestOutcome::FirstLate), eq(1));
    expect_that!(count(4_000, RequestOutcome::Cut), eq(1));
    expect_that!(count(4_000, RequestOutcome::NotAnswered), eq(1));
    expect_that!(report.windows[&2_000].dead.len(), eq(1));
    expect_that!(report.windows[&2_000].broken, eq(1));
    expect_that!(report.pause_percentile_ms(0.5), some(eq(190)));
    expect_that!(report.pause_percentile_ms(1.0), some(eq(260)));
}

/// A log collector concatenates the lines of several processes, so they are not sorted by time.
#[gtest]
fn line_order_does_not_affect_the_report() {
    let mut reversed: Vec<&str> = LINES.lines().collect();
    reversed.reverse();
    expect_that!(
        DayReport::from_lines(reversed.into_iter(), &OPTIONS),
        eq(&DayReport::from_lines(LINES.lines(), &OPTIONS))
    );
}

#[gtest]
fn reports_and_charts_render_with_and_without_lines() {
    let report = DayReport::from_lines(LINES.lines(), &OPTIONS);
    expect_that!(report.to_string(), contains_substring("resumed late"));
    expect_that!(report.to_string(), contains_substring("2 streams moved"));
    expect_that!(
        plot::render_svg(&report),
        ok(contains_substring("rerouted late"))
    );
    let empty = DayReport::from_lines("".lines(), &OPTIONS);
    expect_that!(empty.windows.len(), eq(0));
    expect_that!(plot::render_svg(&empty), ok(contains_substring("<svg")));
}
