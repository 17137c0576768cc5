//! Choice of the set of disjoint chains of a failure domain.
//!
//! Taking the cheapest chain first makes that chain as fast as possible, but it takes single holders
//! out of what would be further complete chains. The rest may then cover all layers no more, although
//! every layer has holders for another chain. Where room is scarce, the throughput of all chains
//! together counts, so with [`ChainObjective::Throughput`] several sets are compared.
//!
//! Candidates, in the order of preference:
//! 1. the cheapest chain first, until the rest does not cover all layers;
//! 2. for `m = 0, 1, ...`, the `m` cheapest chains, and a sweep over the other holders, once for each
//!    [`Preference`].
//!
//! The sweep begins as many chains as the layer with the fewest holders has. It always extends the chain
//! that ends first, by a holder that reaches its end. That never fails: the used holders of the layer at
//! which the chain ends are the last ones of chains that end later, which are fewer than the holders
//! of that layer. Which holder extends a chain does not matter for the number of chains. The layers
//! that overlapping holders of a chain run are then those of its cheapest path. All chains that end at the
//! same layer are extended at once, and alike holders are ranked once, so the work of a sweep grows with
//! the number of different layouts.
//!
//! The first candidate is chosen whose throughput is at least [`MIN_THROUGHPUT_SHARE`] of the largest.
//!
//! Invariants:
//! - The result depends on the holders only, so instances with the same entries compute the same chains.
//! - The estimated throughput is at least that of the cheapest chains first.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::search::{GroupKey, build_chain};
use super::{Chain, ChainSearch, Holder, LIMITED_MS};
use crate::prelude::*;
use crate::relay::intent::{ChainObjective, Engine};

/// Maximum number of cheapest chains that are taken before a sweep. Each one costs two sweeps.
const MAX_CHEAPEST_FIRST: usize = 3;

/// Share of the largest throughput that suffices for an earlier candidate. With 1, each small change of
/// a runner's pace could replace all chains of a domain.
const MIN_THROUGHPUT_SHARE: f64 = 0.9;

/// Chains without a runner in common.
#[derive(Clone, Debug, Default)]
pub struct ChainSet {
    /// Chains, the cheapest first.
    pub chains: Vec<Chain>,
    /// Number of extensions by a group of holders that were tried.
    pub steps: u64,
}

/// Returns chains of `holders` without a runner in common by the objective of `engine`. The holders are of
/// one failure domain.
#[must_use]
pub fn chain_set(holders: &[Holder<'_>], engine: &Engine) -> ChainSet {
    let mut search = ChainSearch::new(holders, engine.layers);
    let chains = search.all_chains();
    let steps = search.steps();
    match engine.chain_objective {
        ChainObjective::Fastest => ChainSet { chains, steps },
        ChainObjective::Throughput => {
            let mut decomposition = Decomposition::new(holders, engine.layers);
            let candidates = decomposition.candidates(chains);
            let steps = steps + decomposition.steps;
            let chains = choose(candidates, engine);
            ChainSet { chains, steps }
        }
    }
}

/// Returns the estimated throughput of chains with their room in use, in tokens in progress per
/// millisecond of a step.
#[must_use]
pub fn throughput(chains: &[Chain], engine: &Engine) -> f64 {
    let of_chain = |c: &Chain| {
        let step_ms = c.step_ms * engine.batch_slowdown(c.room_tokens);
        c.room_tokens / step_ms.max(f64::MIN_POSITIVE)
    };
    chains.iter().map(of_chain).sum()
}

/// Returns the first candidate with nearly the largest throughput.
fn choose(mut candidates: Vec<Vec<Chain>>, engine: &Engine) -> Vec<Chain> {
    let throughputs: Vec<f64> = candidates.iter().map(|c| throughput(c, engine)).collect();
    let largest = throughputs.iter().copied().fold(0.0, f64::max);
    // Unlimited room has no throughput that compares; then the first candidate is chosen.
    let too_low = |t: &f64| *t < largest * MIN_THROUGHPUT_SHARE;
    let chosen = throughputs.iter().position(|t| !too_low(t)).unwrap_or(0);
    candidates.swap_remove(chosen)
}

/// Which holder extends a chain in a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Preference {
    /// The one whose range ends last: chains have few stages.
    FurthestEnd,
    /// The one of least cost per layer: chains are fast and avoid holders without room.
    CheapestLayers,
}

impl Preference {
    const ALL: [Preference; 2] = [Preference::FurthestEnd, Preference::CheapestLayers];

    /// Returns the order of holders for a chain that ends at `from`; the least is preferred.
    fn rank(self, holder: &Holder<'_>, from: u32, to: u32) -> Rank {
        let used = to - from;
        let by_preference = match self {
            Preference::FurthestEnd => -f64::from(to),
            Preference::CheapestLayers => holder.cost(used) / f64::from(used),
        };
        Rank {
            limited_head: from == 0 && holder.limited,
            by_preference,
            layer_ms: holder.layer_ms,
        }
    }
}

/// Order in which holders extend a chain.
#[derive(Clone, Copy, Debug)]
struct Rank {
    limited_head: bool,
    by_preference: f64,
    layer_ms: f64,
}

impl Rank {
    fn compare(&self, other: &Rank) -> Ordering {
        let by_limit = self.limited_head.cmp(&other.limited_head);
        by_limit
            .then(self.by_preference.total_cmp(&other.by_preference))
            .then(self.layer_ms.total_cmp(&other.layer_ms))
    }
}

/// A holder that extends a chain, by its group.
#[derive(Clone, Copy, Debug)]
struct Extension {
    group: usize,
    holder: usize,
}

/// Positions in a sequence of holders, with the layers that the holder there runs.
type Cuts = Vec<(usize, (u32, u32))>;

/// Builds the candidates for a set of chains.
#[derive(Debug)]
struct Decomposition<'a, 'h> {
    holders: &'h [Holder<'a>],
    layers: u32,
    /// Indices of the holders that are alike, the first one last. Groups are sorted by the end of
    /// their range.
    groups: Vec<Vec<usize>>,
    index_of: BTreeMap<&'h Name, usize>,
    /// Cuts of the sequences of groups seen so far.
    cuts: BTreeMap<Vec<usize>, Cuts>,
    steps: u64,
}

impl<'a, 'h> Decomposition<'a, 'h> {
    fn new(holders: &'h [Holder<'a>], layers: u32) -> Decomposition<'a, 'h> {
        let mut by_key: BTreeMap<GroupKey<'a>, Vec<usize>> = BTreeMap::new();
        for (i, holder) in holders.iter().enumerate().rev() {
            if holder.layers.0 < holder.layers.1 {
                by_key.entry(GroupKey::of(holder)).or_default().push(i);
            }
        }
        let index = holders.iter().enumerate().map(|(i, h)| (&h.entry.id, i));
        Decomposition {
            holders,
            layers,
            groups: by_key.into_values().collect(),
            index_of: index.collect(),
            cuts: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Returns the sets to choose from in the order of preference; `cheapest` is the first.
    fn candidates(&mut self, cheapest: Vec<Chain>) -> Vec<Vec<Chain>> {
        let mut candidates = vec![cheapest];
        // After all of the cheapest chains, the rest does not cover all layers.
        let most = candidates[0].len().min(MAX_CHEAPEST_FIRST + 1);
        for (count, preference) in (0..most).flat_map(|m| Preference::ALL.map(|p| (m, p))) {
            let mut chains = candidates[0][..count].to_vec();
            let swept = self.sweep(&chains, preference);
            chains.extend(swept);
            chains.sort_by(|a, b| self.cost(a).total_cmp(&self.cost(b)));
            candidates.push(chains);
        }
        candidates
    }

    /// Returns the largest possible number of disjoint chains of the holders that `taken` leaves.
    fn sweep(&mut self, taken: &[Chain], preference: Preference) -> Vec<Chain> {
        let mut free = self.free_members(taken);
        let count = self.least_holders(&free);
        let mut sequences: Vec<Vec<Extension>> = vec![Vec::new(); count];
        let mut by_end: BTreeMap<u32, Vec<usize>> = BTreeMap::from([(0, (0..count).collect())]);
        while let Some((end, chains)) = by_end.pop_first() {
            if end >= self.layers {
                break;
            }
            let extensions = self.extensions(&mut free, end, chains.len(), preference);
            debug_assert_eq!(extensions.len(), chains.len(), "chains that cannot go on");
            for (chain, extension) in chains.into_iter().zip(extensions) {
                sequences[chain].push(extension);
                let end = self.holders[extension.holder].layers.1;
                by_end.entry(end).or_default().push(chain);
            }
        }
        let chains = sequences.iter().filter_map(|s| self.cut(s));
        chains.collect()
    }

    /// Returns the members of each group that are in none of `chains`.
    fn free_members(&self, chains: &[Chain]) -> Vec<Vec<usize>> {
        let stages = chains.iter().flat_map(|c| &c.stages);
        let taken: BTreeSet<usize> = stages.map(|s| self.index_of[&s.runner.id]).collect();
        let is_free = |i: &usize| !taken.contains(i);
        let groups = self.groups.iter();
        groups
            .map(|g| g.iter().copied().filter(is_free).collect())
            .collect()
    }

    /// Returns the number of holders of the layer that has the fewest.
    fn least_holders(&self, free: &[Vec<usize>]) -> usize {
        let mut changes: BTreeMap<u32, (usize, usize)> = BTreeMap::from([(0, (0, 0))]);
        for members in free {
            let Some(sample) = members.last() else {
                continue;
            };
            let (from, to) = self.holders[*sample].layers;
            changes.entry(from).or_default().0 += members.len();
            changes.entry(to).or_default().1 += members.len();
        }
        let mut holders = 0;
        let counts = changes.range(..self.layers).map(|(_, (begin, end))| {
            holders = holders + begin - end;
            holders
        });
        counts.min().unwrap_or(0)
    }

    /// Takes the `count` preferred holders that continue chains ending at `from` out of `free`.
    fn extensions(
        &mut self,
        free: &mut [Vec<usize>],
        from: u32,
        count: usize,
        preference: Preference,
    ) -> Vec<Extension> {
        let end = |group: &Vec<usize>| self.holders[group[0]].layers.1;
        let first = self.groups.partition_point(|g| end(g) <= from);
        let mut ranked: Vec<(Rank, usize, usize)> = Vec::new();
        for (group, members) in free.iter().enumerate().skip(first) {
            let Some(next) = members.last().copied() else {
                continue;
            };
            let sample = &self.holders[next];
            if sample.layers.0 <= from {
                let to = sample.layers.1.min(self.layers);
                ranked.push((preference.rank(sample, from, to), next, group));
            }
        }
        self.steps += ranked.len() as u64;
        ranked.sort_by(|(a, i, _), (b, j, _)| a.compare(b).then(i.cmp(j)));
        let mut extensions = Vec::with_capacity(count);
        for (_, _, group) in ranked {
            let members = &mut free[group];
            let left = members.len().saturating_sub(count - extensions.len());
            let taken = members.drain(left..).rev();
            extensions.extend(taken.map(|holder| Extension { group, holder }));
        }
        extensions
    }

    /// Returns the cheapest chain of a sequence of holders.
    fn cut(&mut self, sequence: &[Extension]) -> Option<Chain> {
        let groups: Vec<usize> = sequence.iter().map(|e| e.group).collect();
        if !self.cuts.contains_key(&groups) {
            let cuts = self.search_cuts(sequence)?;
            self.cuts.insert(groups.clone(), cuts);
        }
        let stages = self.cuts[&groups].iter();
        let stages = stages.map(|(i, layers)| (&self.holders[sequence[*i].holder], *layers));
        Some(build_chain(stages))
    }

    fn search_cuts(&mut self, sequence: &[Extension]) -> Option<Cuts> {
        let of_sequence = sequence.iter().map(|e| self.holders[e.holder].clone());
        let of_sequence: Vec<Holder<'a>> = of_sequence.collect();
        let mut search = ChainSearch::new(&of_sequence, self.layers);
        let chain = search.next_chain()?;
        self.steps += search.steps();
        let position = |id: &Name| of_sequence.iter().position(|h| h.entry.id == *id);
        let stages = chain.stages.iter();
        stages
            .map(|s| Some((position(&s.runner.id)?, s.layers)))
            .collect()
    }

    /// Returns the cost of a chain in milliseconds per token.
    fn cost(&self, chain: &Chain) -> f64 {
        let holder = |id: &Name| &self.holders[self.index_of[id]];
        let used = |layers: (u32, u32)| layers.1 - layers.0;
        let stages = chain.stages.iter();
        let stages_ms: f64 = stages
            .map(|s| holder(&s.runner.id).cost(used(s.layers)))
            .sum();
        match holder(&chain.head().id).limited {
            true => LIMITED_MS + stages_ms,
            false => stages_ms,
        }
    }
}
