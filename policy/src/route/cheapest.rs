//! The cheapest chain at given prices of runners and links.
//!
//! A dynamic program over the segments: the cheapest way to have run the segments up to here with
//! the last one on a given runner is either to have stayed on it, or to have come over a link from
//! the cheapest runner of some domain. A chain must not come back to a runner; where the cheapest
//! does, the runners in between are left out and the search is repeated, a few times.

use super::plan::{Candidate, Hop};
use crate::prelude::*;
use std::collections::BTreeMap;

/// The most repetitions on account of a runner that came twice.
const MAX_REPEATS: usize = 8;

/// Prices of all resources.
pub struct Prices<'a> {
    /// Of one token through one layer on each candidate.
    pub per_layer: &'a [f64],
    /// Of one token over each link that has a price; the others have none.
    pub links: &'a BTreeMap<Hop, f64>,
    /// Of each change of runner.
    pub per_hop: f64,
}

/// The segments and their holders.
pub struct Ways<'a> {
    /// Length of each segment, in layers.
    pub lengths: &'a [u32],
    /// Candidates that hold each segment.
    pub holders: &'a [Vec<usize>],
    /// Candidates.
    pub candidates: &'a [Candidate],
}

/// A cheapest chain: a candidate for each segment.
pub struct Cheapest {
    /// Candidate that runs each segment.
    pub path: Vec<usize>,
    /// A lower bound on the price of any chain.
    pub least: f64,
}

#[derive(Clone, Copy)]
struct Label {
    price: f64,
    /// Candidate that ran the segment before.
    from: usize,
}

impl Ways<'_> {
    /// Finds the cheapest chain; `None` where no chain without a return was found.
    pub fn cheapest(&self, prices: &Prices<'_>) -> Option<Cheapest> {
        let mut banned = vec![false; self.candidates.len()];
        let mut least = None;
        for _ in 0..MAX_REPEATS {
            let (path, price) = self.search(prices, &banned)?;
            let least = *least.get_or_insert(price);
            match between_return(&path) {
                None => return Some(Cheapest { path, least }),
                Some(between) => between.iter().for_each(|&c| banned[c] = true),
            }
        }
        None
    }

    fn search(&self, prices: &Prices<'_>, banned: &[bool]) -> Option<(Vec<usize>, f64)> {
        let mut labels: Vec<Vec<Label>> = Vec::with_capacity(self.lengths.len());
        let mut stay = vec![f64::INFINITY; self.candidates.len()];
        for (s, holders) in self.holders.iter().enumerate() {
            let entries = match s {
                0 => Entries::start(),
                _ => Entries::from(self, &self.holders[s - 1], &labels[s - 1]),
            };
            let row: Vec<Label> = holders
                .iter()
                .map(|&c| {
                    let own = f64::from(self.lengths[s]) * prices.per_layer[c];
                    let (price, from) = match s {
                        0 => (0.0, c),
                        _ => entries.best(prices, self.candidates[c].domain),
                    };
                    let (price, from) = if stay[c] <= price {
                        (stay[c], c)
                    } else {
                        (price, from)
                    };
                    let price = if banned[c] {
                        f64::INFINITY
                    } else {
                        price + own
                    };
                    Label { price, from }
                })
                .collect();
            stay.fill(f64::INFINITY);
            for (&c, label) in holders.iter().zip(&row) {
                stay[c] = label.price;
            }
            labels.push(row);
        }
        self.trace(&labels)
    }

    fn trace(&self, labels: &[Vec<Label>]) -> Option<(Vec<usize>, f64)> {
        let last = labels.len() - 1;
        let ends = self.holders[last].iter().zip(&labels[last]);
        let (&end, label) = ends.min_by(|a, b| a.1.price.total_cmp(&b.1.price))?;
        if !label.price.is_finite() {
            return None;
        }
        let mut path = vec![end; labels.len()];
        for s in (1..labels.len()).rev() {
            let slot = self.holders[s].iter().position(|&c| c == path[s])?;
            path[s - 1] = labels[s][slot].from;
        }
        Some((path, label.price))
    }
}

/// Cheapest label of each domain in the segment before.
struct Entries {
    by_domain: Vec<(DomainId, f64, usize)>,
}

impl Entries {
    fn start() -> Self {
        Self {
            by_domain: Vec::new(),
        }
    }

    fn from(ways: &Ways<'_>, holders: &[usize], labels: &[Label]) -> Self {
        let mut by_domain: Vec<(DomainId, f64, usize)> = Vec::new();
        for (&c, label) in holders.iter().zip(labels) {
            let domain = ways.candidates[c].domain;
            match by_domain.iter_mut().find(|(d, ..)| *d == domain) {
                Some(entry) if label.price < entry.1 => *entry = (domain, label.price, c),
                Some(_) => {}
                None => by_domain.push((domain, label.price, c)),
            }
        }
        by_domain.sort_by(|a, b| a.1.total_cmp(&b.1));
        Self { by_domain }
    }

    /// Cheapest way to come to `domain`, with the link paid.
    fn best(&self, prices: &Prices<'_>, domain: DomainId) -> (f64, usize) {
        let mut best = (f64::INFINITY, usize::MAX);
        for &(from, price, c) in &self.by_domain {
            if price + prices.per_hop >= best.0 {
                break;
            }
            let link = prices
                .links
                .get(&Hop::new(from, domain))
                .copied()
                .unwrap_or(0.0);
            let total = price + prices.per_hop + link;
            if total < best.0 {
                best = (total, c);
            }
        }
        best
    }
}

/// Candidates between the first runner that comes twice and its return.
fn between_return(path: &[usize]) -> Option<Vec<usize>> {
    for (i, c) in path.iter().enumerate() {
        let left = path[i..].iter().position(|other| other != c)? + i;
        if let Some(back) = path[left..].iter().position(|other| other == c) {
            return Some(path[left..left + back].to_vec());
        }
    }
    None
}
