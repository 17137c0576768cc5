//! Search for the cheapest chains over groups of interchangeable holders.
//!
//! Load pattern: a failure domain has hundreds of holders, but few layouts of them: the copies of a
//! model are laid out alike. Holders that agree in all that a chain's cost depends on form a *group*,
//! and the search runs over groups, so its work grows with the number of different layouts and not
//! with the number of runners. The last layer that a runner holds increases strictly along a chain,
//! so a chain has at most one member of a group.
//!
//! The search is a shortest path over the boundaries of the groups' ranges. Groups are sorted by
//! the end of their range, so the cheapest path that a group can continue is a running minimum.
//!
//! Invariant: the result depends on the holders only, so instances with the same entries compute the
//! same chains.

use std::collections::BTreeMap;

use super::{CROSSING_MS, Chain, Holder, LIMITED_MS, Stage};
use crate::prelude::*;

/// What the cost of a chain depends on, in the order in which groups are sorted. Floating-point
/// numbers are compared by their bits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GroupKey<'a> {
    end: u32,
    start: u32,
    domain: &'a Name,
    limited: bool,
    layer_ms: u64,
    room: u64,
    target_room: u64,
}

impl<'a> GroupKey<'a> {
    pub(super) fn of(holder: &Holder<'a>) -> GroupKey<'a> {
        GroupKey {
            end: holder.layers.1,
            start: holder.layers.0,
            domain: &holder.entry.domain,
            limited: holder.limited,
            layer_ms: holder.layer_ms.to_bits(),
            room: holder.room.to_bits(),
            target_room: holder.target_room.to_bits(),
        }
    }
}

/// Holders that are alike.
#[derive(Debug)]
struct Group {
    /// Index of the failure domain.
    domain: usize,
    /// Indices of the holders that are in no chain yet, the next one last.
    members: Vec<usize>,
}

/// The stages of a chain: groups with the layers that a member runs, in the order of layers.
type Shape = Vec<(usize, (u32, u32))>;

/// The best known path to a boundary whose last holder is of one group.
#[derive(Clone, Copy, Debug)]
struct Path {
    cost: f64,
    /// First layer that the last holder runs.
    from: u32,
}

impl Path {
    const NONE: Path = Path {
        cost: f64::INFINITY,
        from: 0,
    };
}

/// Maximum number of path extensions of all searches over a set of holders, and of paths that a search holds
/// at a time. Entries of other writers that differ from each other make as many groups as they are; with
/// more of them the search ends with the chains that it has.
pub const MAX_STEPS: u64 = 40_000_000;
const MAX_PATHS: usize = 1 << 20;

/// The best known paths to each boundary, by group.
#[derive(Debug)]
struct Paths {
    boundaries: Vec<u32>,
    by_boundary: Vec<Vec<Path>>,
}

/// A search for chains over a set of holders. Each chain takes its holders out of the set.
#[derive(Debug)]
pub struct ChainSearch<'a, 'h> {
    holders: &'h [Holder<'a>],
    groups: Vec<Group>,
    domains: usize,
    layers: u32,
    steps: u64,
}

impl<'a, 'h> ChainSearch<'a, 'h> {
    /// Groups `holders` for a search of chains over layers `0..layers`.
    #[must_use]
    pub fn new(holders: &'h [Holder<'a>], layers: u32) -> ChainSearch<'a, 'h> {
        let mut by_key: BTreeMap<GroupKey<'a>, Vec<usize>> = BTreeMap::new();
        for (i, holder) in holders.iter().enumerate().rev() {
            by_key.entry(GroupKey::of(holder)).or_default().push(i);
        }
        let mut domains: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut groups = Vec::with_capacity(by_key.len());
        for (key, members) in by_key {
            let next = domains.len();
            let domain = *domains.entry(key.domain).or_insert(next);
            groups.push(Group { domain, members });
        }
        ChainSearch {
            holders,
            groups,
            domains: domains.len(),
            layers,
            steps: 0,
        }
    }

    /// Returns the number of path extensions tried so far.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the cheapest chain, if the holders cover all layers.
    pub fn next_chain(&mut self) -> Option<Chain> {
        let paths = self.search();
        let shape = self.reconstruct(&paths)?;
        Some(self.take_chain(&shape))
    }

    /// Returns chains without a holder in common, the cheapest first, until the remaining holders no
    /// longer cover all layers.
    pub fn all_chains(&mut self) -> Vec<Chain> {
        let mut chains = Vec::new();
        let mut paths = self.search();
        while let Some(shape) = self.reconstruct(&paths) {
            chains.push(self.take_chain(&shape));
            // The paths remain the cheapest until one of their groups has no member left.
            if shape
                .iter()
                .any(|(g, _)| self.groups[*g].members.is_empty())
            {
                paths = self.search();
            }
        }
        chains
    }

    /// Returns the holder that stands for a group, unless the group is exhausted.
    fn sample(&self, group: usize) -> Option<&'h Holder<'a>> {
        let member = self.groups[group].members.last()?;
        Some(&self.holders[*member])
    }

    /// Returns the layers at which a stage may begin or end, in ascending order.
    fn boundaries(&self) -> Vec<u32> {
        let samples = (0..self.groups.len()).filter_map(|g| self.sample(g));
        let ends = samples.flat_map(|h| [h.layers.0, h.layers.1]);
        let ends = ends.chain([0, self.layers]);
        let mut boundaries: Vec<u32> = ends.filter(|b| *b <= self.layers).collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        boundaries
    }

    /// Returns the cheapest paths to all boundaries.
    fn search(&mut self) -> Paths {
        let mut boundaries = self.boundaries();
        if boundaries.len() * self.groups.len() > MAX_PATHS {
            self.steps = MAX_STEPS;
        }
        if self.steps >= MAX_STEPS {
            boundaries = vec![self.layers];
        }
        let none = vec![Path::NONE; self.groups.len()];
        let mut paths = Paths {
            by_boundary: vec![none; boundaries.len()],
            boundaries,
        };
        for at in 0..paths.boundaries.len() - 1 {
            if self.steps < MAX_STEPS {
                self.extend_paths(&mut paths, at);
            }
        }
        paths
    }

    /// Extends the paths that end at the boundary `at` by one holder of each group.
    fn extend_paths(&mut self, paths: &mut Paths, at: usize) {
        let Paths {
            boundaries,
            by_boundary,
        } = paths;
        let from = boundaries[at];
        let mut arrivals = Arrivals::new(self.domains);
        let mut steps = 0;
        for (g, group) in self.groups.iter().enumerate() {
            let Some(holder) = self.sample(g) else {
                continue;
            };
            let domain = group.domain;
            let base = match from {
                0 if holder.limited => LIMITED_MS,
                0 => 0.0,
                _ => arrivals.cheapest(domain, holder.layers.1),
            };
            arrivals.add(domain, holder.layers.1, by_boundary[at][g].cost);
            if holder.layers.0 > from || base.is_infinite() {
                continue;
            }
            let reached = boundaries.iter().enumerate().skip(at + 1);
            for (to_index, to) in reached.take_while(|(_, to)| **to <= holder.layers.1) {
                steps += 1;
                let cost = base + holder.cost(to - from);
                let path = &mut by_boundary[to_index][g];
                if cost < path.cost {
                    *path = Path { cost, from };
                }
            }
        }
        self.steps += steps;
    }

    /// Reconstructs the cheapest chain from the paths to the last boundary. Of equal ones it takes the
    /// holder that comes first, which mostly belongs to the copy that the others are of.
    fn reconstruct(&self, paths: &Paths) -> Option<Shape> {
        let mut to = self.layers;
        let mut end = u32::MAX;
        let mut domain = None;
        let mut shape = Shape::new();
        loop {
            let at = paths.boundaries.binary_search(&to).ok()?;
            let mut best: Option<(f64, usize, usize)> = None;
            for (g, path) in paths.by_boundary[at].iter().enumerate() {
                let Some(first) = self.groups[g].members.last().copied() else {
                    continue;
                };
                let crosses = domain.is_some_and(|d| d != self.groups[g].domain);
                let cost = path.cost + if crosses { CROSSING_MS } else { 0.0 };
                let fits = cost.is_finite() && self.holders[first].layers.1 < end;
                let better = |(c, f, _)| cost < c || (cost == c && first < f);
                if fits && best.is_none_or(better) {
                    best = Some((cost, first, g));
                }
            }
            let (_, first, g) = best?;
            let from = paths.by_boundary[at][g].from;
            shape.push((g, (from, to)));
            if from == 0 {
                break;
            }
            to = from;
            end = self.holders[first].layers.1;
            domain = Some(self.groups[g].domain);
        }
        shape.reverse();
        Some(shape)
    }

    /// Takes one member out of each group of a shape.
    fn take_chain(&mut self, shape: &Shape) -> Chain {
        let mut parts = Vec::with_capacity(shape.len());
        for (g, layers) in shape {
            if let Some(member) = self.groups[*g].members.pop() {
                parts.push((&self.holders[member], *layers));
            }
        }
        build_chain(parts.into_iter())
    }
}

/// Returns the chain of holders that run the given layers, in the order of layers.
pub(super) fn build_chain<'a: 'h, 'h>(
    parts: impl Iterator<Item = (&'h Holder<'a>, (u32, u32))>,
) -> Chain {
    let mut stages = Vec::new();
    let mut step_ms = 0.0;
    let mut room_tokens = f64::INFINITY;
    for (holder, (from, to)) in parts {
        let used = f64::from(to - from);
        step_ms += used * holder.layer_ms;
        room_tokens = room_tokens.min(holder.room / used);
        stages.push(Stage {
            runner: holder.entry.clone(),
            layers: (from, to),
            room: holder.room,
        });
    }
    Chain {
        domain: None,
        stages,
        step_ms,
        room_tokens,
    }
}

/// The cheapest paths to one boundary, by failure domain, among the groups whose range ends before
/// that of the group in question.
#[derive(Debug)]
struct Arrivals {
    /// Least cost in each domain, of ranges that end before `end`.
    before: Vec<f64>,
    /// Costs of ranges that end at `end`.
    at_end: Vec<(usize, f64)>,
    end: u32,
}

impl Arrivals {
    fn new(domains: usize) -> Arrivals {
        Arrivals {
            before: vec![f64::INFINITY; domains],
            at_end: Vec::new(),
            end: 0,
        }
    }

    /// Advances to ranges that end at `end`.
    fn advance(&mut self, end: u32) {
        if end == self.end {
            return;
        }
        self.end = end;
        for (domain, cost) in self.at_end.drain(..) {
            self.before[domain] = self.before[domain].min(cost);
        }
    }

    /// Returns the least cost at which a holder in `domain` whose range ends at `end` continues a
    /// path; infinite if there is none.
    fn cheapest(&mut self, domain: usize, end: u32) -> f64 {
        self.advance(end);
        let overall = self.before.iter().copied().fold(f64::INFINITY, f64::min);
        self.before[domain].min(overall + CROSSING_MS)
    }

    fn add(&mut self, domain: usize, end: u32, cost: f64) {
        self.advance(end);
        if cost.is_finite() {
            self.at_end.push((domain, cost));
        }
    }
}
