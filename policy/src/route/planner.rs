//! The chains of a plan, by a linear program with columns brought in one after another.
//!
//! No runner gets more token-layers a second than its speed, no limited link more tokens than it
//! lets through, and the rate is as great as it can be, with small charges for each change of
//! runner and of failure domain. Each chain brought in ([`super::packing`]) is the cheapest at the
//! present prices of runners and links ([`super::cheapest`]), until none gains or the limit of
//! steps is reached; what is reached by then is a plan too, if a lesser one.

use super::cheapest::Prices;
use super::packing::{Packing, Uses};
use super::plan::{Chain, Hop};
use super::pool::Pool;
use crate::layers::LayerRange;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Charge for each change of runner, against the gain of 1 of a whole chain.
const HOP_CHARGE: f64 = 0.002;
/// Charge for each change to another failure domain, in addition: the fewer domains a route goes
/// through, the fewer requests the loss of one breaks off.
const DOMAIN_CHARGE: f64 = 0.004;
/// The plan is good enough once no more than this share can be gained.
const GOOD_ENOUGH: f64 = 0.02;
/// The most chains brought in.
const MAX_STEPS: usize = 2_000;
/// The most chains brought in, times the square of the number of resources, which is what bringing
/// one in costs: bounds the time of a plan of very many runners.
const MAX_WORK: usize = 40_000_000;

/// What a program came to.
pub struct Solved {
    /// Chains in use.
    pub chains: Vec<Chain>,
    /// Chains brought in.
    pub steps: usize,
}

/// The linear program of one model.
pub struct Planner<'a> {
    pool: &'a Pool,
    /// Unit of rates: the bound, in tokens a second.
    unit: f64,
    /// Resource of each limited link, with its capacity in units.
    links: BTreeMap<Hop, (usize, f64)>,
    packing: Packing,
    paths: Vec<Vec<usize>>,
}

impl<'a> Planner<'a> {
    /// The program at the start, without a chain. `capacities` of links and `unit` are in tokens a
    /// second.
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

    /// Brings chains in until none gains enough, or the limit of steps is reached.
    pub fn solve(mut self) -> Solved {
        let rows = self.packing.rows().max(1);
        let steps = MAX_STEPS.min(MAX_WORK / (rows * rows));
        while self.paths.len() < steps && self.step() {}
        let chain = |(i, rate): (usize, f64)| Chain {
            stages: self.stages(&self.paths[i]),
            tokens_per_s: rate * self.unit,
        };
        let chains = self.packing.columns().into_iter().map(chain).collect();
        Solved {
            chains,
            steps: self.paths.len(),
        }
    }

    /// Brings one chain in; says whether there may be more to gain.
    fn step(&mut self) -> bool {
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
            per_hop: HOP_CHARGE,
            per_domain: DOMAIN_CHARGE,
        };
        let Some(cheapest) = self.pool.cheapest(&prices) else {
            return false;
        };
        if 1.0 - cheapest.least < GOOD_ENOUGH * self.packing.gained() {
            return false;
        }
        let (uses, gain) = self.column(&cheapest.path);
        let paid: f64 = self.paid(&cheapest.path, &prices);
        if gain <= paid {
            return false;
        }
        let id = self.paths.len();
        self.paths.push(cheapest.path);
        self.packing.enter(&uses, gain, id)
    }

    /// What a path pays for runners and links.
    fn paid(&self, path: &[usize], prices: &Prices<'_>) -> f64 {
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

    /// Pairs of domains between which a path changes runner.
    fn hops(&self, path: &[usize]) -> Vec<Hop> {
        let domain = |c: usize| self.pool.candidates[c].domain;
        let changes = path.windows(2).filter(|w| w[0] != w[1]);
        changes
            .map(|w| Hop::new(domain(w[0]), domain(w[1])))
            .collect()
    }

    /// What a path uses of each resource, and what it gains.
    fn column(&self, path: &[usize]) -> (Uses, f64) {
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
        let charge = HOP_CHARGE * hops.len() as f64 + DOMAIN_CHARGE * crossed as f64;
        (uses.into_iter().collect(), 1.0 - charge)
    }

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
