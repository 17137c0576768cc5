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
        let mut entries = Entries::default();
        for (s, holders) in self.holders.iter().enumerate() {
            let length = f64::from(self.lengths[s]);
            let mut row = Vec::with_capacity(holders.len());
            for &c in holders {
                let (mut price, mut from) = match s {
                    0 => (0.0, c),
                    _ => entries.best(prices, self.candidates[c].domain),
                };
                if stay[c] <= price {
                    (price, from) = (stay[c], c);
                }
                price += length * prices.per_layer[c];
                if banned[c] {
                    price = f64::INFINITY;
                }
                row.push(Label { price, from });
            }
            stay.fill(f64::INFINITY);
            for (&c, label) in holders.iter().zip(&row) {
                stay[c] = label.price;
            }
            entries.fill(self, prices, holders, &row);
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

/// Cheapest labels of the segment before.
#[derive(Default)]
struct Entries {
    /// The cheapest of all.
    least: Option<(DomainId, f64, usize)>,
    /// The cheapest of each domain; empty where no link has a price.
    by_domain: Vec<(DomainId, f64, usize)>,
}

impl Entries {
    fn fill(&mut self, ways: &Ways<'_>, prices: &Prices<'_>, holders: &[usize], row: &[Label]) {
        self.least = None;
        self.by_domain.clear();
        for (&c, label) in holders.iter().zip(row) {
            let entry = (ways.candidates[c].domain, label.price, c);
            if self.least.is_none_or(|(_, least, _)| entry.1 < least) {
                self.least = Some(entry);
            }
            if prices.links.is_empty() {
                continue;
            }
            match self.by_domain.iter_mut().find(|(d, ..)| *d == entry.0) {
                Some(known) if entry.1 < known.1 => *known = entry,
                Some(_) => {}
                None => self.by_domain.push(entry),
            }
        }
    }

    /// Cheapest way to come to `domain`, with the link paid.
    fn best(&self, prices: &Prices<'_>, domain: DomainId) -> (f64, usize) {
        let link = |from| {
            prices
                .links
                .get(&Hop::new(from, domain))
                .copied()
                .unwrap_or(0.0)
        };
        let Some((from, price, c)) = self.least else {
            return (f64::INFINITY, usize::MAX);
        };
        if prices.links.is_empty() || link(from) == 0.0 {
            return (price + prices.per_hop, c);
        }
        let mut best = (f64::INFINITY, usize::MAX);
        for &(from, price, c) in &self.by_domain {
            let total = price + prices.per_hop + link(from);
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
