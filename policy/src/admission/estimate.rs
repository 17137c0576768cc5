//! How many tokens a request will cost, from what was seen of its organisation and pipeline.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Weight of the newest request in the moving mean: one in this many.
const SMOOTHING: f32 = 8.0;

#[derive(Clone, Copy, Debug)]
struct Mean {
    tokens: f32,
    seen: u32,
}

impl Mean {
    fn learn(&mut self, tokens: u32) {
        self.seen = self.seen.saturating_add(1);
        let share = 1.0 / SMOOTHING.min(self.seen as f32);
        self.tokens += (tokens as f32 - self.tokens) * share;
    }

    fn tokens(self) -> u32 {
        self.tokens.round() as u32
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

    /// Tokens that the next request will cost: the pair's mean, else the pipeline's, else the
    /// first estimate.
    pub(super) fn expect(&self, org: OrgId, pipeline: PipelineId) -> u32 {
        self.pairs
            .get(&(org, pipeline))
            .or_else(|| self.pipelines.get(&pipeline))
            .map_or(self.first, |mean| mean.tokens())
    }

    /// Takes in what a request cost. Beyond the bound of pairs only the pipeline learns.
    pub(super) fn learn(&mut self, org: OrgId, pipeline: PipelineId, tokens: u32) {
        let none = Mean {
            tokens: 0.0,
            seen: 0,
        };
        self.pipelines.entry(pipeline).or_insert(none).learn(tokens);
        let room = self.pairs.len() < self.most;
        match self.pairs.get_mut(&(org, pipeline)) {
            Some(mean) => mean.learn(tokens),
            None if room => self
                .pairs
                .entry((org, pipeline))
                .or_insert(none)
                .learn(tokens),
            None => {}
        }
    }

    /// Number of pairs kept.
    pub(super) fn len(&self) -> usize {
        self.pairs.len()
    }
}
