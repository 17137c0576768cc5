//! How many tokens a second a set of runners can give, by maximum flow.
//!
//! The layers are cut into segments at each end of a held range, so that a runner holds a segment
//! whole or not at all. Runners that hold the same segments form one [`Supply`]. A token needs
//! `len` token-layers of each segment, and a supply of speed `S` can split `S` over its segments
//! at will. A rate `t` is feasible if the maximum flow of
//!
//! ```text
//! source --S--> supply --(holds)--> segment --t*len--> sink
//! ```
//!
//! fills every edge into the sink. The greatest feasible rate is found by Newton's method on the
//! minimum cut: a cut that does not fill them names a set of segments whose holders together are
//! too slow, and their speed over the set's layers is the next, smaller `t`. Each step drops at
//! least one such set, so the number of steps is at most that of the segments.
//!
//! The set that stops the rate is tight: its holders are fully used by it. They are taken out, and
//! the same is done with the rest, so that also the supplies that are not the bottleneck share
//! their work evenly: an uneven solution would fill one runner and leave its neighbour idle.

use crate::layers::LayerRange;
use crate::prelude::*;
use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::BTreeMap;

/// Capacity of an edge without a limit; small enough that a sum of many does not overflow.
const UNLIMITED: u64 = 1 << 48;

/// Runners that hold the same segments, taken as one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Supply {
    /// Speed together, in thousandths of a token-layer a second.
    pub speed_milli: u64,
    /// Segments held, ascending.
    pub segments: Vec<usize>,
}

/// What a set of supplies can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// Greatest rate, in tokens a second.
    pub tokens_per_s: f64,
    /// For each segment, tokens a second run by each supply at that rate; none are zero.
    pub shares: Vec<Vec<(usize, f64)>>,
    /// Segments that stop the rate from being greater.
    pub tight: Vec<usize>,
}

/// Cuts `[0, layers)` at each end of a held range.
pub fn segments(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<LayerRange> {
    let mut cuts: Vec<u32> = held.flat_map(|range| [range.start, range.end]).collect();
    cuts.extend([0, layers]);
    cuts.retain(|&cut| cut <= layers);
    cuts.sort_unstable();
    cuts.dedup();
    cuts.windows(2)
        .map(|w| LayerRange::new(w[0], w[1]))
        .collect()
}

/// Finds the greatest rate and an even split. All segments need a holder, or the rate is 0.
pub fn allocate(lengths: &[u32], supplies: &[Supply]) -> Allocation {
    let mut out = Allocation {
        shares: vec![Vec::new(); lengths.len()],
        ..Allocation::default()
    };
    let mut segments: Vec<usize> = (0..lengths.len()).collect();
    let mut open: Vec<usize> = (0..supplies.len()).collect();
    let mut first_rate = None;
    while !segments.is_empty() {
        let level = Level {
            lengths,
            supplies,
            segments: &segments,
            open: &open,
        }
        .solve();
        if level.rate_milli == 0 {
            return Allocation {
                tight: level.tight,
                ..Allocation::default()
            };
        }
        let rate = *first_rate.get_or_insert(level.rate_milli);
        if out.tight.is_empty() {
            out.tight.clone_from(&level.tight);
        }
        let scale = rate as f64 / level.rate_milli as f64 / 1e3;
        for (segment, supply, token_layers_milli) in level.flows {
            let tokens = token_layers_milli as f64 / f64::from(lengths[segment]) * scale;
            out.shares[segment].push((supply, tokens));
        }
        segments.retain(|s| !level.tight.contains(s));
        open.retain(|s| !level.used_up.contains(s));
    }
    out.tokens_per_s = first_rate.unwrap_or(0) as f64 / 1e3;
    out
}

/// An upper bound on the rate through links of limited capacity, in tokens a second; infinite
/// where no link is limited.
///
/// `rooms` has for each segment the tokens a second that each domain could run of it. A token goes
/// from segment to segment, within a domain freely, between two over their link. Each boundary
/// between segments may use the whole link, and each segment a runner's whole speed, so this never
/// undercuts the true bound.
pub fn link_bound(
    rooms: &[BTreeMap<DomainId, f64>],
    limits: &BTreeMap<(DomainId, DomainId), f64>,
) -> f64 {
    if limits.is_empty() {
        return f64::INFINITY;
    }
    let milli = |tokens_per_s: f64| (tokens_per_s * 1e3) as u64;
    let mut graph: DiGraph<(), u64> = DiGraph::new();
    let source = graph.add_node(());
    let sink = graph.add_node(());
    let mut before: Vec<(DomainId, NodeIndex)> = Vec::new();
    for (s, room) in rooms.iter().enumerate() {
        let mut after = Vec::new();
        for (&domain, &tokens_per_s) in room {
            let (enter, leave) = (graph.add_node(()), graph.add_node(()));
            graph.add_edge(enter, leave, milli(tokens_per_s));
            after.push((domain, leave));
            if s == 0 {
                graph.add_edge(source, enter, UNLIMITED);
            }
            for &(from, node) in &before {
                let limit = limits.get(&(from.min(domain), from.max(domain)));
                let limit = limit.filter(|_| from != domain);
                graph.add_edge(node, enter, limit.map_or(UNLIMITED, |&l| milli(l)));
            }
        }
        before = after;
    }
    for (_, node) in before {
        graph.add_edge(node, sink, UNLIMITED);
    }
    dinics(&graph, source, sink).0 as f64 / 1e3
}

/// The part of the problem that is still open.
struct Level<'a> {
    lengths: &'a [u32],
    supplies: &'a [Supply],
    segments: &'a [usize],
    open: &'a [usize],
}

/// Solution of a level.
struct Solved {
    rate_milli: u64,
    tight: Vec<usize>,
    used_up: Vec<usize>,
    /// `(segment, supply, thousandths of token-layers a second)` of the tight segments.
    flows: Vec<(usize, usize, u64)>,
}

/// A minimum cut that does not fill the sink.
struct Cut {
    segments: Vec<usize>,
    supplies: Vec<usize>,
}

impl Level<'_> {
    fn solve(&self) -> Solved {
        let mut cut = Cut {
            segments: self.segments.to_vec(),
            supplies: self.open.to_vec(),
        };
        loop {
            let speed: u64 = cut
                .supplies
                .iter()
                .map(|&s| self.supplies[s].speed_milli)
                .sum();
            let layers: u64 = cut
                .segments
                .iter()
                .map(|&s| u64::from(self.lengths[s]))
                .sum();
            let rate_milli = speed / layers;
            let network = Network::build(self, rate_milli);
            match network.solve(self) {
                Ok(mut flows) => {
                    flows.retain(|(segment, ..)| cut.segments.contains(segment));
                    let Cut {
                        segments: tight,
                        supplies: used_up,
                    } = cut;
                    return Solved {
                        rate_milli,
                        tight,
                        used_up,
                        flows,
                    };
                }
                Err(smaller) => cut = smaller,
            }
        }
    }
}

/// The network of a level at one rate.
struct Network {
    graph: DiGraph<(), u64>,
    supply_nodes: Vec<NodeIndex>,
    segment_nodes: Vec<NodeIndex>,
    source: NodeIndex,
    sink: NodeIndex,
    wanted: u64,
}

impl Network {
    fn build(level: &Level<'_>, rate_milli: u64) -> Self {
        let mut graph = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let mut wanted = 0;
        let mut node_of = vec![None; level.lengths.len()];
        let mut segment_nodes = Vec::new();
        for &segment in level.segments {
            let node = graph.add_node(());
            let need = rate_milli * u64::from(level.lengths[segment]);
            graph.add_edge(node, sink, need);
            wanted += need;
            node_of[segment] = Some(node);
            segment_nodes.push(node);
        }
        let mut supply_nodes = Vec::new();
        for &supply in level.open {
            let node = graph.add_node(());
            let speed = level.supplies[supply].speed_milli;
            graph.add_edge(source, node, speed);
            for &segment in &level.supplies[supply].segments {
                if let Some(to) = node_of[segment] {
                    graph.add_edge(node, to, speed);
                }
            }
            supply_nodes.push(node);
        }
        Self {
            graph,
            supply_nodes,
            segment_nodes,
            source,
            sink,
            wanted,
        }
    }

    /// The flow where every segment is filled, or else the cut that prevents it.
    fn solve(&self, level: &Level<'_>) -> Result<Vec<(usize, usize, u64)>, Cut> {
        let (flow, flows) = dinics(&self.graph, self.source, self.sink);
        if flow < self.wanted {
            return Err(self.cut(level, &flows));
        }
        let mut out = Vec::new();
        for (i, &node) in self.supply_nodes.iter().enumerate() {
            for (j, &segment) in self.segment_nodes.iter().enumerate() {
                let edge = self.graph.find_edge(node, segment);
                let amount = edge.map_or(0, |e| flows[e.index()]);
                if amount > 0 {
                    out.push((level.segments[j], level.open[i], amount));
                }
            }
        }
        Ok(out)
    }

    /// What the source cannot reach in the residual network.
    fn cut(&self, level: &Level<'_>, flows: &[u64]) -> Cut {
        let mut reached = vec![false; self.graph.node_count()];
        let mut stack = vec![self.source];
        reached[self.source.index()] = true;
        while let Some(node) = stack.pop() {
            for edge in self.graph.edge_indices() {
                let (from, to) = self.graph.edge_endpoints(edge).expect("edge of this graph");
                let used = flows[edge.index()];
                let next = match node {
                    n if n == from && used < self.graph[edge] => to,
                    n if n == to && used > 0 => from,
                    _ => continue,
                };
                if !reached[next.index()] {
                    reached[next.index()] = true;
                    stack.push(next);
                }
            }
        }
        let missing = |ids: &[usize], nodes: &[NodeIndex]| {
            let pairs = ids.iter().zip(nodes);
            pairs
                .filter(|(_, node)| !reached[node.index()])
                .map(|(&id, _)| id)
                .collect()
        };
        Cut {
            segments: missing(level.segments, &self.segment_nodes),
            supplies: missing(level.open, &self.supply_nodes),
        }
    }
}
