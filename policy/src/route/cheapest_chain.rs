//! Search for the cheapest chain at given prices of runners and links.
//!
//! A dynamic program over the segments: the cheapest partial chain that runs a segment on a given
//! runner either ran the previous segment on the same runner, or enters it over a link from the
//! cheapest runner of some domain. A chain must not visit a runner twice. If the cheapest one
//! does, the runners between the two visits are excluded and the search is repeated, up to
//! [`MAX_SEARCHES`] times.

use super::plan::Hop;
use super::pool::Pool;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Maximum number of searches, each excluding the detour that made the last chain revisit a runner.
const MAX_SEARCHES: usize = 8;

/// Prices of the resources of a plan.
pub struct Prices<'a> {
    /// Price of one token through one layer, for each candidate.
    pub per_layer: &'a [f64],
    /// Price of one token over each link; links without an entry are free.
    pub links: &'a BTreeMap<Hop, f64>,
    /// Charge for each change of runner.
    pub hop_charge: f64,
    /// Additional charge for each change of failure domain.
    pub domain_charge: f64,
}

/// The cheapest chain, as one candidate per segment.
pub struct CheapestChain {
    /// Candidate that runs each segment.
    pub path: Vec<usize>,
    /// Lower bound on the price of any chain.
    pub lower_bound: f64,
}

#[derive(Clone, Copy)]
struct Label {
    price: f64,
    /// Candidate that ran the previous segment.
    from: usize,
}

impl Pool {
    /// Finds the cheapest chain; returns `None` if no chain without a repeated runner was found.
    pub fn cheapest_chain(&self, prices: &Prices<'_>) -> Option<CheapestChain> {
        let mut banned = vec![false; self.candidates.len()];
        let mut lower_bound = None;
        for _ in 0..MAX_SEARCHES {
            let (path, price) = self.search(prices, &banned)?;
            let lower_bound = *lower_bound.get_or_insert(price);
            match between_visits(&path) {
                None => return Some(CheapestChain { path, lower_bound }),
                Some(between) => between.iter().for_each(|&c| banned[c] = true),
            }
        }
        None
    }

    fn search(&self, prices: &Prices<'_>, banned: &[bool]) -> Option<(Vec<usize>, f64)> {
        let mut labels: Vec<Vec<Label>> = Vec::with_capacity(self.lengths.len());
        let mut stay_price = vec![f64::INFINITY; self.candidates.len()];
        let mut entry_costs = EntryCosts::new(self.domains.len());
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
                    _ => entry_costs.cheapest_into(self, prices, c),
                };
                if stay_price[c] <= price {
                    (price, from) = (stay_price[c], c);
                }
                price += length * prices.per_layer[c];
                if banned[c] {
                    price = f64::INFINITY;
                }
                row.push(Label { price, from });
            }
            stay_price.fill(f64::INFINITY);
            for (&c, label) in holders.iter().zip(&row) {
                stay_price[c] = label.price;
            }
            entry_costs.update(self, holders, &row);
            labels.push(row);
        }
        self.trace_back(&labels)
    }

    fn trace_back(&self, labels: &[Vec<Label>]) -> Option<(Vec<usize>, f64)> {
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

/// CheapestChain labels of the previous segment, for entering the next one on another candidate.
struct EntryCosts {
    /// CheapestChain label overall, with the slot of its domain.
    lowest: Label,
    lowest_slot: usize,
    /// CheapestChain label of each domain, by slot.
    by_domain: Vec<Label>,
}

/// Label of a candidate that cannot be reached.
const UNREACHABLE: Label = Label {
    price: f64::INFINITY,
    from: usize::MAX,
};

impl EntryCosts {
    fn new(slots: usize) -> Self {
        Self {
            lowest: UNREACHABLE,
            lowest_slot: 0,
            by_domain: vec![UNREACHABLE; slots],
        }
    }

    fn update(&mut self, pool: &Pool, holders: &[usize], row: &[Label]) {
        self.lowest = UNREACHABLE;
        self.by_domain.fill(UNREACHABLE);
        for (&c, label) in holders.iter().zip(row) {
            let slot = pool.candidates[c].domain_slot;
            let entry = Label {
                price: label.price,
                from: c,
            };
            if entry.price < self.by_domain[slot].price {
                self.by_domain[slot] = entry;
            }
            if entry.price < self.lowest.price {
                self.lowest = entry;
                self.lowest_slot = slot;
            }
        }
    }

    /// Returns the cheapest way to enter candidate `c` from another one, including the charges for
    /// the change and the link.
    fn cheapest_into(&self, pool: &Pool, prices: &Prices<'_>, c: usize) -> Label {
        let (to, to_slot) = (pool.candidates[c].domain, pool.candidates[c].domain_slot);
        let link = |from| {
            prices
                .links
                .get(&Hop::new(from, to))
                .copied()
                .unwrap_or(0.0)
        };
        let with_charges = |entry: Label, from: DomainId| {
            let domain = if from == to {
                0.0
            } else {
                prices.domain_charge
            };
            Label {
                price: entry.price + prices.hop_charge + domain + link(from),
                ..entry
            }
        };
        let cheaper = |a: Label, b: Label| if b.price < a.price { b } else { a };
        if prices.links.is_empty() {
            let lowest = with_charges(self.lowest, pool.domains[self.lowest_slot]);
            return cheaper(lowest, with_charges(self.by_domain[to_slot], to));
        }
        let all = self.by_domain.iter().zip(&pool.domains);
        all.map(|(&entry, &from)| with_charges(entry, from))
            .fold(UNREACHABLE, cheaper)
    }
}

/// Returns the candidates between the two visits of the first candidate that occurs twice.
fn between_visits(path: &[usize]) -> Option<Vec<usize>> {
    for (i, c) in path.iter().enumerate() {
        let left = path[i..].iter().position(|other| other != c)? + i;
        if let Some(back) = path[left..].iter().position(|other| other == c) {
            return Some(path[left..left + back].to_vec());
        }
    }
    None
}
