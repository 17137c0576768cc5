//! How many tokens a request will cost, from what was seen of its organisation and pipeline.
//!
//! Two figures: the mean, for how fast a queue drains, and the mean plus several deviations, for
//! whether a single request will be over before its deadline. With the mean for both, every other
//! request of a full queue would start too late for its own length and be cut off.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Weight of the newest request in the moving mean: one in this many.
const SMOOTHING: f32 = 8.0;

/// Deviations above the mean that count as the most a request will cost.
const MOST_DEVIATIONS: f32 = 3.0;

/// What a request is expected to cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// On average, in tokens.
    pub(super) tokens: u32,
    /// At most, but for rare ones, in tokens.
    pub(super) most: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    tokens: f32,
    deviation: f32,
    seen: u32,
}

impl Mean {
    fn learn(&mut self, tokens: u32) {
        self.seen = self.seen.saturating_add(1);
        let share = 1.0 / SMOOTHING.min(self.seen as f32);
        let off = (tokens as f32 - self.tokens).abs();
        if self.seen > 1 {
            self.deviation += (off - self.deviation) * share;
        }
        self.tokens += (tokens as f32 - self.tokens) * share;
    }

    fn expected(self) -> Expected {
        Expected {
            tokens: self.tokens.round() as u32,
            most: (self.tokens + MOST_DEVIATIONS * self.deviation).round() as u32,
        }
    }
}

/// Moving means of tokens by organisation and pipeline, and by pipeline.
#[derive(Debug)]
pub(super) struct TokenEstimates {
    first: u32,
    most: usize,
    pairs: BTreeMap<(OrgId, PipelineId), Mean>,
    pipelines: BTreeMap<PipelineId, Mean>,
}

impl TokenEstimates {
    pub(super) fn new(first: u32, most: usize) -> Self {
        Self {
            first,
            most,
            pairs: BTreeMap::new(),
            pipelines: BTreeMap::new(),
        }
    }

    /// What the next request will cost: the pair's mean, else the pipeline's, else the
    /// first estimate.
    pub(super) fn expect(&self, org: OrgId, pipeline: PipelineId) -> Expected {
        let first = Expected {
            tokens: self.first,
            most: self.first,
        };
        self.pairs
            .get(&(org, pipeline))
            .or_else(|| self.pipelines.get(&pipeline))
            .map_or(first, |mean| mean.expected())
    }

    /// Takes in what a request cost. Beyond the bound of pairs only the pipeline learns.
    pub(super) fn learn(&mut self, org: OrgId, pipeline: PipelineId, tokens: u32) {
        self.pipelines.entry(pipeline).or_default().learn(tokens);
        let room = self.pairs.len() < self.most;
        match self.pairs.get_mut(&(org, pipeline)) {
            Some(mean) => mean.learn(tokens),
            None if room => self.pairs.entry((org, pipeline)).or_default().learn(tokens),
            None => {}
        }
    }

    /// Number of pairs kept.
    pub(super) fn len(&self) -> usize {
        self.pairs.len()
    }
}
