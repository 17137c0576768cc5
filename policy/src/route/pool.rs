//! Planning inputs of one model: its segments of layers and the open runners that hold them.

use super::fleet::Fleet;
use super::flow::{self, Supply};
use crate::layers::LayerRange;
use crate::prelude::*;
use std::collections::BTreeMap;

/// An open runner that holds layers of the model.
pub struct Candidate {
    /// Id of the runner.
    pub id: RunnerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Index of the domain in [`Pool::domains`].
    pub domain_slot: usize,
    /// Speed available to this model, in token-layers per second.
    pub speed: f64,
    /// Segments held, ascending.
    pub segments: Vec<usize>,
}

/// Candidates and segments of one model.
pub struct Pool {
    /// Layers of the model, cut at both ends of each held range.
    pub segments: Vec<LayerRange>,
    /// Length of each segment, in layers.
    pub lengths: Vec<u32>,
    /// Candidates, in the given order.
    pub candidates: Vec<Candidate>,
    /// Candidates that hold each segment.
    pub holders: Vec<Vec<usize>>,
    /// Failure domains of the candidates.
    pub domains: Vec<DomainId>,
}

impl Pool {
    /// Collects the open runners of a model. The speed of a runner that holds several models is
    /// divided equally among them.
    pub fn new(fleet: &Fleet, model: ModelId, order: &[RunnerId]) -> Self {
        let open: Vec<RunnerId> = order
            .iter()
            .copied()
            .filter(|&id| fleet.runners[id].is_open())
            .collect();
        let held = open.iter().flat_map(|&id| fleet.runners[id].ranges(model));
        let segments = flow::segments(fleet.models[model].layers, held);
        let mut pool = Self {
            lengths: segments.iter().map(|s| s.count()).collect(),
            holders: vec![Vec::new(); segments.len()],
            segments,
            candidates: Vec::new(),
            domains: Vec::new(),
        };
        for id in open {
            pool.add(fleet, model, id);
        }
        pool
    }

    fn add(&mut self, fleet: &Fleet, model: ModelId, id: RunnerId) {
        let runner = &fleet.runners[id];
        let holds = |s: &usize| runner.holds(model, self.segments[*s]);
        let segments: Vec<usize> = (0..self.segments.len()).filter(holds).collect();
        let speed = runner.speed / f64::from(runner.model_count().max(1));
        if segments.is_empty() || !speed.is_finite() || speed <= 0.0 {
            return;
        }
        for &s in &segments {
            self.holders[s].push(self.candidates.len());
        }
        let domain = runner.domain;
        let domain_slot = self
            .domains
            .iter()
            .position(|d| *d == domain)
            .unwrap_or_else(|| {
                self.domains.push(domain);
                self.domains.len() - 1
            });
        self.candidates.push(Candidate {
            id,
            domain,
            domain_slot,
            speed,
            segments,
        });
    }

    /// Returns the first segment that no candidate holds.
    pub fn uncovered(&self) -> Option<LayerRange> {
        self.holders
            .iter()
            .position(Vec::is_empty)
            .map(|s| self.segments[s])
    }

    /// Groups the candidates that hold the same segments into supplies.
    pub fn supplies(&self) -> Vec<Supply> {
        let mut groups: BTreeMap<&[usize], u64> = BTreeMap::new();
        for c in &self.candidates {
            *groups.entry(&c.segments).or_default() += (c.speed * 1e3) as u64;
        }
        let supply = |(segments, speed_milli): (&[usize], u64)| Supply {
            speed_milli,
            segments: segments.to_vec(),
        };
        groups.into_iter().map(supply).collect()
    }

    /// Returns, for each segment, the tokens per second that the candidates of each domain could
    /// run if they ran no other segment.
    pub fn segment_rates(&self) -> Vec<BTreeMap<DomainId, f64>> {
        let mut segment_rates = vec![BTreeMap::new(); self.segments.len()];
        for c in &self.candidates {
            for &s in &c.segments {
                *segment_rates[s].entry(c.domain).or_default() +=
                    c.speed / f64::from(self.lengths[s]);
            }
        }
        segment_rates
    }
}
