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

/// Lines of refused requests, some of an earlier build without organisation, priority and share.
const REFUSALS: &str = r#"
{"at":"2026-01-28T11:56:00.000Z","message":"not answered","request":"a","cause":"no room for its priority","organisation":"small","urgency":"1.2","share":"0.50","after_ms":"0"}
{"at":"2026-01-28T11:56:00.100Z","message":"not answered","request":"b","cause":"no room for its priority","organisation":"large","urgency":"1.2","share":"0.41","after_ms":"0"}
{"at":"2026-01-28T11:56:00.200Z","message":"not answered","request":"c","cause":"organisation above its share","organisation":"large","urgency":"1.2","share":"0.29","after_ms":"0"}
{"at":"2026-01-28T11:56:00.300Z","message":"not answered","request":"d","cause":"organisation above its share","organisation":"large","urgency":"1.0","share":0.8,"after_ms":0}
{"at":"2026-01-28T11:56:00.400Z","message":"not answered","request":"e","cause":"no room","after_ms":"0"}
{"at":"2026-01-28T11:56:00.500Z","message":"not answered","request":"f","cause":"no room for its priority","organisation":"-","urgency":"1.2","share":"0.50","after_ms":"0"}
{"at":"2026-01-28T11:56:00.600Z","message":"answered","request":"g","organisation":"large","urgency":"1.2","after_ms":"0"}
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
    expect_that!(empty.to_string(), not(contains_substring("not answered:")));
    expect_that!(plot::render_svg(&empty), ok(contains_substring("<svg")));
}

/// Guards against refusals that are attributed to the wrong cause, priority or organisation, and
/// against lines of an earlier build that are lost or counted for an organisation.
#[gtest]
fn unanswered_requests_are_counted_by_cause_priority_and_organisation() {
    let report = DayReport::from_lines(REFUSALS.lines(), &OPTIONS);
    let causes = report.causes.iter();
    let causes: Vec<_> = causes
        .map(|c| (&*c.cause, c.urgency.as_deref(), c.count))
        .collect();
    let expected = [
        ("no room", None, 1),
        ("no room for its priority", Some("1.2"), 3),
        ("organisation above its share", Some("1.0"), 1),
        ("organisation above its share", Some("1.2"), 1),
    ];
    expect_that!(causes, eq(&expected));
    let organisations = report.organisations.iter();
    let organisations: Vec<_> = organisations
        .map(|o| {
            (
                &*o.organisation,
                o.count,
                o.above_share,
                o.lowest_share_percent,
            )
        })
        .collect();
    expect_that!(
        organisations,
        eq(&[("large", 3, 2, Some(29)), ("small", 1, 0, Some(50))])
    );

    let text = report.to_string();
    let row = |start: &str| -> Vec<&str> {
        let line = text.lines().find(|l| l.starts_with(start));
        line.unwrap_or("").split_whitespace().collect()
    };
    expect_that!(row("large"), eq(&["large", "3", "2", "0.29"]));
    expect_that!(row("no room  "), eq(&["no", "room", "-", "1"]));
    let json = serde_json::to_value(&report).unwrap();
    expect_that!(json["causes"][1]["count"].as_u64(), some(eq(3)));
    expect_that!(
        json["organisations"][0]["organisation"].as_str(),
        some(eq("large"))
    );
}

/// Guards against a report with a row for each of thousands of organisations.
#[gtest]
fn only_the_organisations_with_the_most_unanswered_requests_are_listed() {
    let mut lines = Vec::new();
    for organisation in 0..40 {
        for _ in 0..=organisation {
            lines.push(format!(
                r#"{{"at":"2026-01-28T11:56:00.000Z","message":"not answered","cause":"no room","organisation":"org-{organisation}","urgency":"1.1","share":"0.50"}}"#
            ));
        }
    }
    let report = DayReport::from_lines(lines.iter().map(String::as_str), &OPTIONS);
    let listed: Vec<u64> = report.organisations.iter().map(|o| o.count).collect();
    expect_that!(listed, eq(&(31..=40).rev().collect::<Vec<u64>>()));
}
