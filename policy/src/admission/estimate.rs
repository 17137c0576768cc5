//! Estimates a request's cost in tokens from completed requests of its organisation and pipeline.
//!
//! There are two figures: the mean tells how fast a queue drains, and the mean plus several
//! deviations tells whether a single request will complete before its deadline. With the mean for
//! both, every other request of a full queue would start too late for its own length and be cut
//! off.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Inverse weight of the newest request in the moving mean.
const SMOOTHING: f32 = 8.0;

/// Number of mean deviations above the mean that give the upper bound.
const UPPER_BOUND_DEVIATIONS: f32 = 3.0;

/// Expected cost of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// MovingMean, in tokens.
    pub(super) tokens: u32,
    /// Upper bound that few requests exceed, in tokens.
    pub(super) upper_bound: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    tokens: f32,
    deviation: f32,
    count: u32,
}

impl MovingMean {
    fn record(&mut self, tokens: u32) {
        self.count = self.count.saturating_add(1);
        let weight = 1.0 / SMOOTHING.min(self.count as f32);
        let difference = (tokens as f32 - self.tokens).abs();
        if self.count > 1 {
            self.deviation += (difference - self.deviation) * weight;
        }
        self.tokens += (tokens as f32 - self.tokens) * weight;
    }

    fn expected(self) -> Expected {
        Expected {
            tokens: self.tokens.round() as u32,
            upper_bound: (self.tokens + UPPER_BOUND_DEVIATIONS * self.deviation).round() as u32,
        }
    }
}

/// Moving means of tokens by pair of organisation and pipeline, and by pipeline.
#[derive(Debug)]
pub(super) struct TokenEstimates {
    initial: u32,
    max_pairs: usize,
    pairs: BTreeMap<(OrgId, PipelineId), MovingMean>,
    pipelines: BTreeMap<PipelineId, MovingMean>,
}

impl TokenEstimates {
    pub(super) fn new(initial: u32, max_pairs: usize) -> Self {
        Self {
            initial,
            max_pairs,
            pairs: BTreeMap::new(),
            pipelines: BTreeMap::new(),
        }
    }

    /// Returns the expected cost of the next request: the pair's mean, else the pipeline's, else
    /// the initial estimate.
    pub(super) fn expect(&self, org: OrgId, pipeline: PipelineId) -> Expected {
        let initial = Expected {
            tokens: self.initial,
            upper_bound: self.initial,
        };
        self.pairs
            .get(&(org, pipeline))
            .or_else(|| self.pipelines.get(&pipeline))
            .map_or(initial, |mean| mean.expected())
    }

    /// Records the cost of a request. Once the maximum number of pairs is reached, a new pair is
    /// recorded for its pipeline only.
    pub(super) fn record(&mut self, org: OrgId, pipeline: PipelineId, tokens: u32) {
        self.pipelines.entry(pipeline).or_default().record(tokens);
        let has_room = self.pairs.len() < self.max_pairs;
        match self.pairs.get_mut(&(org, pipeline)) {
            Some(mean) => mean.record(tokens),
            None if has_room => self
                .pairs
                .entry((org, pipeline))
                .or_default()
                .record(tokens),
            None => {}
        }
    }

    /// Returns the number of pairs with an estimate.
    pub(super) fn len(&self) -> usize {
        self.pairs.len()
    }
}
