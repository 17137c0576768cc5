//! What a load run saw, for people and as JSON.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

use super::arrivals::{Arrival, Ask};
use crate::caller::Seen;
use crate::text;

/// Longest time that histograms hold, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Significant digits of histograms.
const DIGITS: u8 = 3;
/// Width of one step of the timeline, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Violations that are written out.
const SHOWN_VIOLATIONS: usize = 20;

/// Collects what callers saw.
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

/// Quantiles of a time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Half are below.
    pub p50_us: u64,
    /// 95 in 100 are below.
    pub p95_us: u64,
    /// 99 in 100 are below.
    pub p99_us: u64,
    /// The greatest.
    pub max_us: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadResult {
    /// Requests sent.
    pub sent: u64,
    /// Requests by how they ended: an outcome with its error code, or `broken`.
    pub outcomes: BTreeMap<String, u64>,
    /// From the submission to the first token, answered requests only.
    pub first_token: Quantiles,
    /// Between two tokens of a stream, answered requests only.
    pub gap: Quantiles,
    /// Whole time of answered service calls.
    pub service: Quantiles,
    /// Time to the first token by organisation.
    pub organisations: BTreeMap<Name, Quantiles>,
    /// Tokens of answered requests.
    pub tokens: u64,
    /// Tokens that callers received in each step of [`STEP_MS`] after the start.
    pub timeline: Vec<u64>,
    /// Answers that were not the right ones.
    pub violation_count: u64,
    /// The first of them.
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
    /// Takes what the caller of one arrival saw.
    pub fn take(&mut self, arrival: &Arrival, seen: &Seen) {
        *self.outcomes.entry(ended(seen)).or_default() += 1;
        if let Some(violation) = violation(arrival, seen) {
            self.violation_count += 1;
            if self.violations.len() < SHOWN_VIOLATIONS {
                self.violations.push(violation);
            }
        }
        for us in &seen.token_us {
            self.note_token(arrival.at_us + us);
        }
        if !seen.answered() {
            return;
        }
        match arrival.ask {
            Ask::Model(_) => self.take_times(&arrival.organisation, &seen.token_us),
            Ask::Service(_) => self.service.saturating_record(seen.end_us),
        }
    }

    fn note_token(&mut self, at_us: u64) {
        let step = usize::try_from(at_us / (STEP_MS * 1_000)).unwrap_or(usize::MAX - 1);
        if self.timeline.len() <= step {
            self.timeline.resize(step + 1, 0);
        }
        self.timeline[step] += 1;
    }

    fn take_times(&mut self, organisation: &Name, token_us: &[u64]) {
        self.tokens += token_us.len() as u64;
        if let Some(first) = token_us.first() {
            self.first_token.saturating_record(*first);
            let own = self.organisations.entry(organisation.clone());
            own.or_insert_with(histogram).saturating_record(*first);
        }
        for pair in token_us.windows(2) {
            self.gap.saturating_record(pair[1] - pair[0]);
        }
    }

    /// The result.
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
    /// Requests that were answered whole.
    #[must_use]
    pub fn answered(&self) -> u64 {
        let answered = Outcome::Answered.to_string();
        self.outcomes.get(&answered).copied().unwrap_or(0)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are constant and valid")
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

/// How a request ended, as a key of a table.
fn ended(seen: &Seen) -> String {
    match (seen.outcome, seen.code) {
        (Some(outcome), Some(code)) => format!("{outcome}: {code}"),
        (Some(outcome), None) => outcome.to_string(),
        (None, _) => "broken".to_owned(),
    }
}

/// What is wrong with an answer, if anything. A caller must get the whole right answer, or a part of it from
/// its beginning with an error; never a token of anything else.
#[must_use]
pub fn violation(arrival: &Arrival, seen: &Seen) -> Option<String> {
    let fault = match &arrival.ask {
        Ask::Model(call) => {
            let right = text::answer(&call.prompt, call.max_tokens);
            if seen.answered() && seen.text != right {
                "the answer is not the whole right one"
            } else if seen.status == Some(200) && !right.starts_with(&seen.text) {
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
