//! Markdown table of recovery times.

use std::fmt::Write as _;

use super::RecoveryRun;
use super::scenario::Scenario;

/// Formats one row per scenario, with the median, minimum and maximum over the seeds.
#[must_use]
pub fn table(runs: &[RecoveryRun]) -> String {
    let mut text = String::from(
        "| scenario | runs | first success ms | slowest first token ms | open streams | next token of all ms | streams failed (cut with their instance) | throughput back ms | tail / before | refused | failed | wrong | suspected upstreams (false) | suspected instances | stalls | retries (refused) |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for scenario in Scenario::ALL {
        let own: Vec<&RecoveryRun> = runs.iter().filter(|r| r.scenario == scenario).collect();
        if !own.is_empty() {
            row(&mut text, scenario, &own);
        }
    }
    text
}

fn row(text: &mut String, scenario: Scenario, runs: &[&RecoveryRun]) {
    let times = |of: fn(&RecoveryRun) -> Option<u64>| spread(runs.iter().map(|r| of(r)).collect());
    let sum = |of: fn(&RecoveryRun) -> u64| runs.iter().map(|r| of(r)).sum::<u64>();
    let tail: f64 = runs.iter().map(|r| tail_ratio(r)).sum();
    let _ = writeln!(
        text,
        "| {scenario} | {} | {} | {} | {} | {} | {} ({}) | {} | {:.2} | {} | {} | {} | {} ({}) | {} | {} | {} ({}) |",
        runs.len(),
        times(|r| r.figures.first_success_ms),
        times(|r| r.figures.slowest_first_token_ms),
        sum(|r| r.figures.open_streams as u64),
        times(|r| r.figures.streams_resumed_ms),
        sum(|r| r.figures.streams_failed as u64),
        sum(|r| r.figures.streams_cut as u64),
        times(|r| r.figures.throughput_ms),
        tail / runs.len() as f64,
        sum(|r| unanswered(r, true)),
        sum(|r| unanswered(r, false)),
        sum(|r| r.figures.wrong.len() as u64),
        sum(|r| r.suspicions.upstreams),
        sum(|r| r.suspicions.false_upstreams),
        sum(|r| r.suspicions.instances),
        sum(|r| r.suspicions.stalls),
        sum(|r| r.suspicions.retries),
        sum(|r| r.suspicions.retries_refused),
    );
}

fn tail_ratio(run: &RecoveryRun) -> f64 {
    run.figures.tail_per_s / run.figures.before_per_s.max(1.0)
}

/// Counts unanswered requests submitted after the failure: those refused as not run if `refused`,
/// else those that failed otherwise.
fn unanswered(run: &RecoveryRun, refused: bool) -> u64 {
    let outcomes = run.figures.outcomes.iter();
    let bad = outcomes.filter(|(how, _)| !how.starts_with("answered"));
    let own = bad.filter(|(how, _)| how.starts_with("not_run") == refused);
    own.map(|(_, n)| *n).sum()
}

/// Formats the median, minimum and maximum; a run without a value counts as the maximum.
fn spread(mut values: Vec<Option<u64>>) -> String {
    values.sort_unstable_by_key(|v| v.unwrap_or(u64::MAX));
    let show = |v: Option<&Option<u64>>| match v {
        Some(Some(ms)) => ms.to_string(),
        _ => "never".to_owned(),
    };
    let median = show(values.get(values.len() / 2));
    format!(
        "{median} ({}–{})",
        show(values.first()),
        show(values.last())
    )
}
