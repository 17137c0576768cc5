//! Result of a load run, also as JSON.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

use super::arrivals::{Arrival, Ask};
use crate::caller::Observation;
use crate::text;

/// Largest value of the histograms, in microseconds.
const MAX_HISTOGRAM_US: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Width of one timeline bucket, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Maximum number of violations reported in full.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// Aggregates the results of submissions.
#[derive(Debug)]
pub struct Collector {
    outcomes: BTreeMap<String, u64>,
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    service: Histogram<u64>,
    organisations: BTreeMap<Name, Histogram<u64>>,
    tokens: u64,
    timeline: Vec<u64>,
    violations: Vec<String>,
    violation_count: u64,
}

/// Quantiles of a duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadResult {
    /// Requests sent.
    pub sent: u64,
    /// Number of requests by outcome with its error code, or `broken` if no outcome was reported.
    pub outcomes: BTreeMap<String, u64>,
    /// Time-to-first-token of answered requests.
    pub first_token: Quantiles,
    /// Inter-token gap of answered requests.
    pub gap: Quantiles,
    /// Total duration of answered service calls.
    pub service: Quantiles,
    /// Time-to-first-token of answered requests by organisation.
    pub organisations: BTreeMap<Name, Quantiles>,
    /// Number of tokens of answered requests.
    pub tokens: u64,
    /// Tokens that callers received in each interval of [`STEP_MS`] since the start.
    pub timeline: Vec<u64>,
    /// Number of incorrect answers.
    pub violation_count: u64,
    /// Descriptions of the first violations.
    pub violations: Vec<String>,
}

impl Default for Collector {
    fn default() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            first_token: histogram(),
            gap: histogram(),
            service: histogram(),
            organisations: BTreeMap::new(),
            tokens: 0,
            timeline: Vec::new(),
            violations: Vec::new(),
            violation_count: 0,
        }
    }
}

impl Collector {
    /// Records the result of one arrival.
    pub fn take(&mut self, arrival: &Arrival, seen: &Observation) {
        *self.outcomes.entry(outcome_key(seen)).or_default() += 1;
        if let Some(violation) = violation(arrival, seen) {
            self.violation_count += 1;
            if self.violations.len() < MAX_REPORTED_VIOLATIONS {
                self.violations.push(violation);
            }
        }
        for us in &seen.token_us {
            self.record_token(arrival.at_us + us);
        }
        if !seen.answered() {
            return;
        }
        match arrival.ask {
            Ask::Model(_) => self.record_stream(&arrival.organisation, &seen.token_us),
            Ask::Service(_) => self.service.saturating_record(seen.end_us),
        }
    }

    fn record_token(&mut self, at_us: u64) {
        let step = usize::try_from(at_us / (STEP_MS * 1_000)).unwrap_or(usize::MAX - 1);
        if self.timeline.len() <= step {
            self.timeline.resize(step + 1, 0);
        }
        self.timeline[step] += 1;
    }

    fn record_stream(&mut self, organisation: &Name, token_us: &[u64]) {
        self.tokens += token_us.len() as u64;
        if let Some(first) = token_us.first() {
            self.first_token.saturating_record(*first);
            let entry = self.organisations.entry(organisation.clone());
            entry.or_insert_with(histogram).saturating_record(*first);
        }
        for pair in token_us.windows(2) {
            self.gap.saturating_record(pair[1] - pair[0]);
        }
    }

    /// Returns the aggregated result.
    #[must_use]
    pub fn finish(self) -> LoadResult {
        let organisations = self.organisations.iter();
        LoadResult {
            sent: self.outcomes.values().sum(),
            first_token: quantiles(&self.first_token),
            gap: quantiles(&self.gap),
            service: quantiles(&self.service),
            organisations: organisations
                .map(|(o, h)| (o.clone(), quantiles(h)))
                .collect(),
            tokens: self.tokens,
            timeline: self.timeline,
            violation_count: self.violation_count,
            violations: self.violations,
            outcomes: self.outcomes,
        }
    }
}

impl LoadResult {
    /// Returns the number of completely answered requests.
    #[must_use]
    pub fn answered(&self) -> u64 {
        let answered = Outcome::Answered.to_string();
        self.outcomes.get(&answered).copied().unwrap_or(0)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_HISTOGRAM_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are constant and valid")
}

fn quantiles(h: &Histogram<u64>) -> Quantiles {
    Quantiles {
        count: h.len(),
        p50_us: h.value_at_quantile(0.50),
        p95_us: h.value_at_quantile(0.95),
        p99_us: h.value_at_quantile(0.99),
        max_us: h.max(),
    }
}

/// Returns the key of a request in [`LoadResult::outcomes`].
fn outcome_key(seen: &Observation) -> String {
    match (seen.outcome, seen.code) {
        (Some(outcome), Some(code)) => format!("{outcome}: {code}"),
        (Some(outcome), None) => outcome.to_string(),
        (None, _) => "broken".to_owned(),
    }
}

/// Returns a description of the error in an answer, or `None` if it is valid.
///
/// A caller must receive either the complete expected answer or a prefix of it with an error, and
/// never a token of another answer.
#[must_use]
pub fn violation(arrival: &Arrival, seen: &Observation) -> Option<String> {
    let fault = match &arrival.ask {
        Ask::Model(call) => {
            let expected = text::answer(&call.prompt, call.max_tokens);
            if seen.answered() && seen.text != expected {
                "the answer is not the whole right one"
            } else if seen.status == Some(200) && !expected.starts_with(&seen.text) {
                "a token is not of this answer"
            } else {
                return None;
            }
        }
        Ask::Service(call) => {
            if seen.answered() && !seen.text.contains(&call.body) {
                "the answer is of another call"
            } else {
                return None;
            }
        }
    };
    let request = seen.request.as_deref().unwrap_or("unknown");
    Some(format!(
        "request {request} of {}: {fault}",
        arrival.organisation
    ))
}
