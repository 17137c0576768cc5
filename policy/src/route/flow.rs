//! Upper bound on the throughput of a set of runners, computed by maximum flow.
//!
//! The layers are cut into segments at both ends of each held range, so that a runner holds either
//! all of a segment or none of it. Runners that hold the same segments form one [`Supply`]. A
//! token needs `len` token-layers of each segment, and a supply of speed `S` can divide `S`
//! arbitrarily among its segments. A rate `t` is feasible if the maximum flow of
//!
//! ```text
//! source --S--> supply --(holds)--> segment --t*len--> sink
//! ```
//!
//! saturates every edge into the sink. The maximum feasible rate is found by Newton's method on
//! the minimum cut: if some of these edges are not saturated, the cut identifies a set of segments
//! whose holders together are too slow, and their speed divided by the layers of the set is the
//! next, smaller `t`. Each step removes at least one segment from the set, so there are at most as
//! many steps as segments.

use super::plan::Hop;
use crate::layers::LayerRange;
use crate::prelude::*;
use petgraph::Direction;
use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use petgraph::visit::EdgeRef;
use std::collections::BTreeMap;

/// Capacity of an unlimited edge; small enough that the sum of many does not overflow.
const UNLIMITED: u64 = 1 << 48;

/// Runners that hold the same segments, treated as one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Supply {
    /// Total speed, in thousandths of a token-layer per second.
    pub speed_milli: u64,
    /// Segments held, ascending.
    pub segments: Vec<usize>,
}

/// Maximum rate of a set of supplies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MaxRate {
    /// Rate, in tokens per second.
    pub tokens_per_s: f64,
    /// Segments whose holders limit the rate.
    pub tight: Vec<usize>,
}

/// Cuts `[0, layers)` into segments at both ends of each held range.
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

/// Computes the maximum rate at which the supplies can run segments of these lengths, in layers.
pub fn max_rate(lengths: &[u32], supplies: &[Supply]) -> MaxRate {
    let mut cut = Cut {
        segments: (0..lengths.len()).collect(),
        supplies: (0..supplies.len()).collect(),
    };
    loop {
        let speed: u64 = cut.supplies.iter().map(|&s| supplies[s].speed_milli).sum();
        let layers: u64 = cut.segments.iter().map(|&s| u64::from(lengths[s])).sum();
        let rate_milli = speed / layers.max(1);
        match Network::build(lengths, supplies, rate_milli).smaller_cut() {
            Some(smaller) => cut = smaller,
            None => {
                let tokens_per_s = rate_milli as f64 / 1e3;
                return MaxRate {
                    tokens_per_s,
                    tight: cut.segments,
                };
            }
        }
    }
}

/// Computes an upper bound on the rate through links of limited capacity, in tokens per second;
/// infinite if no link is limited.
///
/// `segment_rates` holds, for each segment, the tokens per second that each domain could run of
/// it. Between segments a token moves freely within a domain and over the link between two
/// domains. Each boundary between segments may use the full capacity of a link, and each segment
/// the full speed of a runner, so the result is never below the true bound.
pub fn link_bound(segment_rates: &[BTreeMap<DomainId, f64>], limits: &BTreeMap<Hop, f64>) -> f64 {
    if limits.is_empty() {
        return f64::INFINITY;
    }
    let milli = |tokens_per_s: f64| (tokens_per_s * 1e3) as u64;
    let mut graph: DiGraph<(), u64> = DiGraph::new();
    let source = graph.add_node(());
    let sink = graph.add_node(());
    let mut before: Vec<(DomainId, NodeIndex)> = Vec::new();
    for (s, domain_rates) in segment_rates.iter().enumerate() {
        let mut after = Vec::new();
        for (&domain, &tokens_per_s) in domain_rates {
            let (enter, leave) = (graph.add_node(()), graph.add_node(()));
            graph.add_edge(enter, leave, milli(tokens_per_s));
            after.push((domain, leave));
            if s == 0 {
                graph.add_edge(source, enter, UNLIMITED);
            }
            for &(from, node) in &before {
                let limit = limits.get(&Hop::new(from, domain));
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

/// A set of segments, and all supplies that hold any of them.
struct Cut {
    segments: Vec<usize>,
    supplies: Vec<usize>,
}

/// The flow network at one rate.
struct Network {
    graph: DiGraph<(), u64>,
    supply_nodes: Vec<NodeIndex>,
    segment_nodes: Vec<NodeIndex>,
    source: NodeIndex,
    sink: NodeIndex,
    demand: u64,
}

impl Network {
    fn build(lengths: &[u32], supplies: &[Supply], rate_milli: u64) -> Self {
        let mut graph = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let mut demand = 0;
        let mut segment_nodes = Vec::new();
        for &length in lengths {
            let node = graph.add_node(());
            let need = rate_milli * u64::from(length);
            graph.add_edge(node, sink, need);
            demand += need;
            segment_nodes.push(node);
        }
        let mut supply_nodes = Vec::new();
        for supply in supplies {
            let node = graph.add_node(());
            graph.add_edge(source, node, supply.speed_milli);
            for &segment in &supply.segments {
                graph.add_edge(node, segment_nodes[segment], supply.speed_milli);
            }
            supply_nodes.push(node);
        }
        Self {
            graph,
            supply_nodes,
            segment_nodes,
            source,
            sink,
            demand,
        }
    }

    /// Returns the segments on the sink side of the minimum cut and their holders, or `None` if the
    /// flow saturates all edges into the sink.
    fn smaller_cut(&self) -> Option<Cut> {
        let (flow, flows) = dinics(&self.graph, self.source, self.sink);
        if flow >= self.demand {
            return None;
        }
        let reached = self.residual_reachable(&flows);
        let unreached = |nodes: &[NodeIndex]| -> Vec<usize> {
            (0..nodes.len())
                .filter(|&i| !reached[nodes[i].index()])
                .collect()
        };
        Some(Cut {
            segments: unreached(&self.segment_nodes),
            supplies: unreached(&self.supply_nodes),
        })
    }

    /// Returns, for each node, whether the source reaches it in the residual network.
    fn residual_reachable(&self, flows: &[u64]) -> Vec<bool> {
        let mut reached = vec![false; self.graph.node_count()];
        let mut stack = vec![self.source];
        reached[self.source.index()] = true;
        while let Some(node) = stack.pop() {
            let out = self.graph.edges_directed(node, Direction::Outgoing);
            let forward = out
                .filter(|e| flows[e.id().index()] < *e.weight())
                .map(|e| e.target());
            let into = self.graph.edges_directed(node, Direction::Incoming);
            let back = into
                .filter(|e| flows[e.id().index()] > 0)
                .map(|e| e.source());
            for next in forward.chain(back) {
                if !reached[next.index()] {
                    reached[next.index()] = true;
                    stack.push(next);
                }
            }
        }
        reached
    }
}
