//! The cheapest chain at given prices of runners and links.
//!
//! A dynamic program over the segments: the cheapest way to have run the segments up to here with
//! the last one on a given runner is either to have stayed on it, or to have come over a link from
//! the cheapest runner of some domain. A chain must not come back to a runner; where the cheapest
//! does, the runners in between are left out and the search is repeated, a few times.

use super::plan::Hop;
use super::pool::Pool;
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
    /// Of each change to another failure domain, in addition.
    pub per_domain: f64,
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

impl Pool {
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
        let mut entries = Entries::new(self.domains.len());
        for (s, holders) in self.holders.iter().enumerate() {
            let length = f64::from(self.lengths[s]);
            let mut row = Vec::with_capacity(holders.len());
            for &c in holders {
                let Label {
                    mut price,
                    mut from,
                } = match s {
                    0 => Label {
                        price: 0.0,
                        from: c,
                    },
                    _ => entries.best(self, prices, c),
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
            entries.fill(self, holders, &row);
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
struct Entries {
    /// The cheapest of all, with its domain's slot.
    least: Label,
    least_slot: usize,
    /// The cheapest of each domain, by its slot.
    by_domain: Vec<Label>,
}

/// No way.
const NONE: Label = Label {
    price: f64::INFINITY,
    from: usize::MAX,
};

impl Entries {
    fn new(slots: usize) -> Self {
        Self {
            least: NONE,
            least_slot: 0,
            by_domain: vec![NONE; slots],
        }
    }

    fn fill(&mut self, pool: &Pool, holders: &[usize], row: &[Label]) {
        self.least = NONE;
        self.by_domain.fill(NONE);
        for (&c, label) in holders.iter().zip(row) {
            let slot = pool.candidates[c].domain_slot;
            let entry = Label {
                price: label.price,
                from: c,
            };
            if entry.price < self.by_domain[slot].price {
                self.by_domain[slot] = entry;
            }
            if entry.price < self.least.price {
                self.least = entry;
                self.least_slot = slot;
            }
        }
    }

    /// Cheapest way to come to candidate `c` from another, with the change and the link paid.
    fn best(&self, pool: &Pool, prices: &Prices<'_>, c: usize) -> Label {
        let (to, to_slot) = (pool.candidates[c].domain, pool.candidates[c].domain_slot);
        let link = |from| {
            prices
                .links
                .get(&Hop::new(from, to))
                .copied()
                .unwrap_or(0.0)
        };
        let paid = |entry: Label, from: DomainId| {
            let domain = if from == to { 0.0 } else { prices.per_domain };
            Label {
                price: entry.price + prices.per_hop + domain + link(from),
                ..entry
            }
        };
        let cheaper = |a: Label, b: Label| if b.price < a.price { b } else { a };
        if prices.links.is_empty() {
            let least = paid(self.least, pool.domains[self.least_slot]);
            return cheaper(least, paid(self.by_domain[to_slot], to));
        }
        let all = self.by_domain.iter().zip(&pool.domains);
        all.map(|(&entry, &from)| paid(entry, from))
            .fold(NONE, cheaper)
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
