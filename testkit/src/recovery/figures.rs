//! Recovery figures computed from the observations of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::caller::Observation;
use crate::load::result::STEP_MS;

/// Length of the moving throughput window, in steps.
const WINDOW_STEPS: usize = 20;
/// Fraction of the reference throughput that counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;
/// Inter-token gap up to which a stream counts as uninterrupted, in microseconds.
const MAX_HEALTHY_GAP_US: u64 = 150_000;
/// Period before the end of the arrivals, whose throughput is that of the remaining runners.
const TAIL: Duration = Duration::from_secs(3);

/// Observation of one caller, with the time of its submission.
#[derive(Clone, Debug)]
pub struct TimedObservation {
    /// Time from the start to the submission, in microseconds.
    pub at_us: u64,
    /// Whether it is a model request.
    pub model: bool,
    /// What is wrong with the answer, if anything.
    pub violation: Option<String>,
    /// The observation of the caller.
    pub seen: Observation,
}

/// Times after the start that bound the figures.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Time of the failure.
    pub failure: Duration,
    /// End of the arrivals that count.
    pub end: Duration,
}

/// Figures of one run; points in time are in milliseconds after the failure.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// First token of a request submitted after the failure and answered completely.
    pub first_success_ms: Option<u64>,
    /// Longest time-to-first-token of such requests submitted in the first two seconds.
    pub slowest_first_token_ms: Option<u64>,
    /// Number of streams open at the failure.
    pub open_streams: usize,
    /// Time at which the last interrupted one of these had its next token or its end; 0 if none was
    /// interrupted.
    pub streams_resumed_ms: Option<u64>,
    /// Greatest inter-token gap of any stream open at the failure or begun after it.
    pub greatest_gap_ms: u64,
    /// Number of open streams that ended without the complete answer.
    pub streams_failed: usize,
    /// Number of these whose connection broke because their instance was killed.
    pub streams_cut: usize,
    /// Time at which throughput over a moving window first recovered to 95% of the reference after
    /// it had fallen below; 0 if it never fell.
    pub throughput_ms: Option<u64>,
    /// Tokens per second before the failure.
    pub before_per_s: f64,
    /// Tokens per second over the last seconds of the arrivals.
    pub tail_per_s: f64,
    /// Number of requests submitted after the failure, by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Wrong answers over the whole run.
    pub wrong: Vec<String>,
    /// Number of tokens received by callers in each step of [`STEP_MS`] after the start.
    #[serde(skip)]
    pub timeline: Vec<u64>,
}

impl Figures {
    /// Computes the figures.
    ///
    /// `control` is the timeline of the control run with the same seed, or `None` if this is the
    /// control run.
    #[must_use]
    pub fn compute(all: &[TimedObservation], span: Span, control: Option<&[u64]>) -> Self {
        let failure_us = micros(span.failure);
        let timeline = timeline(all);
        let mut figures = Figures {
            before_per_s: rate(&timeline, Duration::from_secs(1), span.failure),
            tail_per_s: rate(&timeline, span.end.saturating_sub(TAIL), span.end),
            wrong: all.iter().filter_map(|s| s.violation.clone()).collect(),
            ..Figures::default()
        };
        figures.add_new_requests(all, failure_us);
        figures.add_open_streams(all, failure_us);
        let tail = figures.tail_per_s;
        let control = control.unwrap_or(&timeline);
        let reference = |step: usize| window(control, step).min(tail);
        figures.throughput_ms = throughput_recovery_ms(&timeline, span, reference);
        figures.timeline = timeline;
        figures
    }

    fn add_new_requests(&mut self, all: &[TimedObservation], failure_us: u64) {
        let new = all.iter().filter(|s| s.at_us >= failure_us);
        for s in new {
            *self.outcomes.entry(outcome_label(&s.seen)).or_default() += 1;
            if !s.model || !s.seen.answered() {
                continue;
            }
            let Some(first) = s.seen.token_us.first() else {
                continue;
            };
            let since = (s.at_us + first - failure_us) / 1_000;
            let earliest = self.first_success_ms.unwrap_or(u64::MAX);
            self.first_success_ms = Some(earliest.min(since));
            if s.at_us < failure_us + 2_000_000 {
                let slowest = self.slowest_first_token_ms.unwrap_or(0);
                self.slowest_first_token_ms = Some(slowest.max(first / 1_000));
            }
            self.add_token_gaps(s, failure_us);
        }
    }

    fn add_open_streams(&mut self, all: &[TimedObservation], failure_us: u64) {
        let open = all.iter().filter(|s| {
            let begun = s.seen.token_us.first().map(|first| s.at_us + first);
            begun.is_some_and(|at| at < failure_us) && s.at_us + s.seen.end_us >= failure_us
        });
        for s in open {
            self.open_streams += 1;
            let next = (resumed_us(s, failure_us) - failure_us) / 1_000;
            self.streams_resumed_ms = Some(self.streams_resumed_ms.unwrap_or(0).max(next));
            if !s.seen.answered() {
                self.streams_failed += 1;
                self.streams_cut += usize::from(s.seen.outcome.is_none());
            }
            self.add_token_gaps(s, failure_us);
        }
    }

    fn add_token_gaps(&mut self, s: &TimedObservation, failure_us: u64) {
        for pair in s.seen.token_us.windows(2) {
            if s.at_us + pair[1] >= failure_us {
                self.greatest_gap_ms = self.greatest_gap_ms.max((pair[1] - pair[0]) / 1_000);
            }
        }
    }
}

/// Returns the time at which the stream resumed: the end of its greatest gap after the failure.
///
/// Tokens in flight at the failure still arrive right after it, so the first token after the
/// failure does not show that the stream resumed.
fn resumed_us(s: &TimedObservation, failure_us: u64) -> u64 {
    let times = s.seen.token_us.iter().chain([&s.seen.end_us]);
    let times = times.map(|us| s.at_us + us);
    let mut before = failure_us;
    let mut greatest = (0, failure_us);
    for at in times.filter(|at| *at >= failure_us) {
        greatest = greatest.max((at - before, at));
        before = at;
    }
    // In a healthy stream the longest ordinary gap may come late.
    if greatest.0 < MAX_HEALTHY_GAP_US {
        return failure_us;
    }
    greatest.1
}

fn outcome_label(seen: &Observation) -> String {
    match (seen.outcome, seen.code) {
        (Some(outcome), Some(code)) => format!("{outcome}: {code}"),
        (Some(outcome), None) => outcome.to_string(),
        (None, _) if seen.not_connected => "not connected".to_owned(),
        (None, _) => "broken".to_owned(),
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

fn step_of(d: Duration) -> usize {
    usize::try_from(micros(d) / (STEP_MS * 1_000)).unwrap_or(usize::MAX)
}

fn timeline(all: &[TimedObservation]) -> Vec<u64> {
    let mut timeline = Vec::new();
    for s in all {
        for us in &s.seen.token_us {
            let step = step_of(Duration::from_micros(s.at_us + us));
            if timeline.len() <= step {
                timeline.resize(step + 1, 0);
            }
            timeline[step] += 1;
        }
    }
    timeline
}

/// Returns the tokens per second from `from` to `to`.
fn rate(timeline: &[u64], from: Duration, to: Duration) -> f64 {
    let steps = step_of(from)..step_of(to);
    let tokens: u64 = steps.clone().filter_map(|i| timeline.get(i)).sum();
    tokens as f64 * 1_000.0 / (steps.len().max(1) as u64 * STEP_MS) as f64
}

/// Returns the tokens per second of the window that ends with `step`.
fn window(timeline: &[u64], step: usize) -> f64 {
    let from = (step + 1).saturating_sub(WINDOW_STEPS);
    let tokens: u64 = (from..=step).filter_map(|i| timeline.get(i)).sum();
    tokens as f64 * 1_000.0 / (WINDOW_STEPS as u64 * STEP_MS) as f64
}

/// Returns when throughput first recovered to the reference after it had fallen below it.
///
/// The window is two seconds long: in one second a single stream is several percent of all tokens,
/// and with that window the result was about two seconds in runs without any loss.
fn throughput_recovery_ms(
    timeline: &[u64],
    span: Span,
    reference: impl Fn(usize) -> f64,
) -> Option<u64> {
    let (from, to) = (step_of(span.failure), step_of(span.end));
    let recovered = |i: usize| window(timeline, i) >= RECOVERED_FRACTION * reference(i);
    let fell = (from..(from + WINDOW_STEPS).min(to)).find(|i| !recovered(*i));
    let Some(fell) = fell else { return Some(0) };
    let back = (fell..to).find(|i| recovered(*i))?;
    Some((back + 1 - from) as u64 * STEP_MS)
}
