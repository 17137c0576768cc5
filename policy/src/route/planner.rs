//! Computes the chains of a plan by a linear program with column generation.
//!
//! The program maximises the total rate, less small charges for each change of runner and of
//! failure domain. No runner gets more token-layers per second than its speed, and no limited link
//! more tokens than its capacity. Each generated column ([`super::packing`]) is the chain that is
//! cheapest at the current prices of runners and links ([`super::cheapest_chain`]). Generation
//! stops when no chain improves the objective enough or at the limit of columns; the result is then
//! a valid but possibly suboptimal plan.

use super::cheapest_chain::Prices;
use super::packing::{ColumnUses, Packing};
use super::plan::{Chain, Hop};
use super::pool::Pool;
use crate::layers::LayerRange;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Charge for each change of runner, relative to the gain of 1 of a complete chain.
const RUNNER_CHANGE_CHARGE: f64 = 0.002;
/// Additional charge for each change of failure domain: the fewer domains a route crosses, the
/// fewer requests are interrupted by the loss of one.
const DOMAIN_CHANGE_CHARGE: f64 = 0.004;
/// Relative gap to the optimum below which the plan is accepted.
const GAP_TOLERANCE: f64 = 0.02;
/// Maximum number of columns generated.
const MAX_COLUMNS: usize = 2_000;
/// Maximum number of columns times the square of the number of resources, which is the cost of
/// one pivot; bounds the planning time with very many runners.
const MAX_PIVOT_WORK: usize = 40_000_000;

/// Result of the linear program.
pub struct Solution {
    /// Chains with a non-zero rate.
    pub chains: Vec<Chain>,
    /// Number of columns generated.
    pub generated_columns: usize,
}

/// The linear program of one model.
pub struct Planner<'a> {
    pool: &'a Pool,
    /// Unit of rates: the throughput bound of the runners, in tokens per second.
    unit: f64,
    /// Resource index of each limited link, with its capacity in units.
    links: BTreeMap<Hop, (usize, f64)>,
    packing: Packing,
    paths: Vec<Vec<usize>>,
}

impl<'a> Planner<'a> {
    /// Creates the program without any chain. The `capacities` of links and `unit` are in tokens
    /// per second.
    pub fn new(pool: &'a Pool, capacities: &BTreeMap<Hop, f64>, unit: f64) -> Self {
        let runners = pool.candidates.len();
        let number = |(i, (&hop, &c)): (usize, (&Hop, &f64))| (hop, (runners + i, c / unit));
        let links = capacities.iter().enumerate().map(number).collect();
        let packing = Packing::new(runners + capacities.len());
        Self {
            pool,
            unit,
            links,
            packing,
            paths: Vec::new(),
        }
    }

    /// Generates columns until the gap is small enough or the limit of columns is reached.
    pub fn solve(mut self) -> Solution {
        let rows = self.packing.rows().max(1);
        let max_columns = MAX_COLUMNS.min(MAX_PIVOT_WORK / (rows * rows));
        while self.paths.len() < max_columns && self.generate_column() {}
        let chain = |(i, rate): (usize, f64)| Chain {
            stages: self.stages(&self.paths[i]),
            tokens_per_s: rate * self.unit,
        };
        let chains = self.packing.columns().into_iter().map(chain).collect();
        Solution {
            chains,
            generated_columns: self.paths.len(),
        }
    }

    /// Generates one column; returns whether a further one may improve the objective.
    fn generate_column(&mut self) -> bool {
        let prices = self.packing.prices();
        let per_layer: Vec<f64> = self
            .pool
            .candidates
            .iter()
            .zip(&prices)
            .map(|(c, price)| price.max(0.0) * self.unit / c.speed)
            .collect();
        let links: BTreeMap<Hop, f64> = self
            .links
            .iter()
            .map(|(&hop, &(row, capacity))| (hop, prices[row].max(0.0) / capacity))
            .filter(|(_, price)| *price > 0.0)
            .collect();
        let prices = Prices {
            per_layer: &per_layer,
            links: &links,
            hop_charge: RUNNER_CHANGE_CHARGE,
            domain_charge: DOMAIN_CHANGE_CHARGE,
        };
        let Some(cheapest) = self.pool.cheapest_chain(&prices) else {
            return false;
        };
        if 1.0 - cheapest.lower_bound < GAP_TOLERANCE * self.packing.objective() {
            return false;
        }
        let (uses, gain) = self.column(&cheapest.path);
        let path_price: f64 = self.path_price(&cheapest.path, &prices);
        if gain <= path_price {
            return false;
        }
        let id = self.paths.len();
        self.paths.push(cheapest.path);
        self.packing.enter(&uses, gain, id)
    }

    /// Returns the price of the runners and links that a path uses.
    fn path_price(&self, path: &[usize], prices: &Prices<'_>) -> f64 {
        let layers = path.iter().zip(&self.pool.lengths);
        let runners: f64 = layers
            .map(|(&c, &n)| prices.per_layer[c] * f64::from(n))
            .sum();
        let links: f64 = self
            .hops(path)
            .iter()
            .filter_map(|hop| prices.links.get(hop))
            .sum();
        runners + links
    }

    /// Returns the pairs of failure domains between which a path changes runner.
    fn hops(&self, path: &[usize]) -> Vec<Hop> {
        let domain = |c: usize| self.pool.candidates[c].domain;
        let changes = path.windows(2).filter(|w| w[0] != w[1]);
        changes
            .map(|w| Hop::new(domain(w[0]), domain(w[1])))
            .collect()
    }

    /// Returns the resource usage of a path and its gain.
    fn column(&self, path: &[usize]) -> (ColumnUses, f64) {
        let mut uses: BTreeMap<usize, f64> = BTreeMap::new();
        for (&c, &layers) in path.iter().zip(&self.pool.lengths) {
            let share = f64::from(layers) * self.unit / self.pool.candidates[c].speed;
            *uses.entry(c).or_default() += share;
        }
        let hops = self.hops(path);
        for hop in &hops {
            if let Some(&(row, capacity)) = self.links.get(hop) {
                *uses.entry(row).or_default() += 1.0 / capacity;
            }
        }
        let crossed = hops.iter().filter(|hop| hop.0 != hop.1).count();
        let charge =
            RUNNER_CHANGE_CHARGE * hops.len() as f64 + DOMAIN_CHANGE_CHARGE * crossed as f64;
        (uses.into_iter().collect(), 1.0 - charge)
    }

    /// Merges consecutive segments on the same runner into stages.
    fn stages(&self, path: &[usize]) -> Vec<(RunnerId, LayerRange)> {
        let mut stages: Vec<(RunnerId, LayerRange)> = Vec::new();
        for (&c, segment) in path.iter().zip(&self.pool.segments) {
            let id = self.pool.candidates[c].id;
            match stages.last_mut() {
                Some((last, layers)) if *last == id => layers.end = segment.end,
                _ => stages.push((id, *segment)),
            }
        }
        stages
    }
}
