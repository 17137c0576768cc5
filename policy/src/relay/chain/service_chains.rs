//! The chains of one service, kept by failure domain.
//!
//! Load pattern: a fleet has thousands of runners, and every instance learns of each change of one of
//! them. Only the failure domain of the changed runner is looked at, and it is searched only if its
//! holders differ from those of the last search.
//!
//! Invariant: after [`ServiceChains::update`] the chains are those that a search over all runners
//! would find.

use std::collections::BTreeMap;

use super::{Chain, ChainSearch, ChainSet, Holder, chain_set, domain_holders};
use crate::prelude::*;
use crate::relay::intent::Engine;
use crate::relay::runners::Runners;

/// Failure domains whose chains changed in an update; `None` stands for the chain that crosses
/// domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainUpdate {
    /// Changed domains, in ascending order.
    pub changed: Vec<Option<Name>>,
    /// Number of runners looked at.
    pub runners_examined: usize,
    /// Number of path extensions that searches tried.
    pub search_steps: u64,
}

/// The chains of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceChains {
    engine: Engine,
    domains: BTreeMap<Name, DomainChains>,
    across: Option<Chain>,
}

/// The chains of one failure domain, and what they were computed from.
#[derive(Clone, Debug, Default)]
struct DomainChains {
    generation: u64,
    valid_until_ms: Millis,
    holders: Vec<HolderSnapshot>,
    chains: Vec<Chain>,
}

/// What the chains of a domain depend on, of one holder.
#[derive(Clone, Debug, PartialEq)]
struct HolderSnapshot {
    id: Name,
    born_ms: u64,
    layers: (u32, u32),
    limited: bool,
    layer_ms: f64,
    room: f64,
    target_room: f64,
}

impl HolderSnapshot {
    fn of(holder: &Holder<'_>) -> HolderSnapshot {
        HolderSnapshot {
            id: holder.entry.id.clone(),
            born_ms: holder.entry.born_ms,
            layers: holder.layers,
            limited: holder.limited,
            layer_ms: holder.layer_ms,
            room: holder.room,
            target_room: holder.target_room,
        }
    }
}

impl ServiceChains {
    /// Returns the chains, by failure domain and the cheapest first.
    pub fn chains(&self) -> impl Iterator<Item = &Chain> {
        let inside = self.domains.values().flat_map(|d| &d.chains);
        inside.chain(&self.across)
    }

    /// Returns the chains of one failure domain, or the one that crosses domains.
    #[must_use]
    pub fn of_domain(&self, domain: Option<&str>) -> &[Chain] {
        match domain {
            Some(domain) => self.domains.get(domain).map_or(&[], |d| &d.chains),
            None => self.across.as_slice(),
        }
    }

    /// Brings the chains up to date with `runners` at `now`.
    pub fn update(
        &mut self,
        runners: &Runners,
        service: &str,
        engine: &Engine,
        now: Millis,
    ) -> ChainUpdate {
        let mut update = ChainUpdate::default();
        let gone = |domain: &Name, _: &mut DomainChains| !runners.has_domain(domain);
        let gone: Vec<Name> = self.domains.extract_if(.., gone).map(|(d, _)| d).collect();
        let mut touched = !gone.is_empty();
        update.changed.extend(gone.into_iter().map(Some));
        if self.engine != *engine {
            self.engine = engine.clone();
            self.domains.clear();
        }
        for domain in runners.domains() {
            let generation = runners.generation(domain);
            let kept = self.domains.entry(domain.clone()).or_default();
            if kept.generation == generation && now < kept.valid_until_ms {
                continue;
            }
            touched = true;
            kept.generation = generation;
            kept.valid_until_ms = runners.next_usability_change_ms(domain, now);
            let holders = domain_holders(runners, domain, service, engine, now);
            update.runners_examined += runners.in_domain(domain).count();
            if kept.search(domain, &holders, engine, &mut update) {
                update.changed.push(Some(domain.clone()));
            }
        }
        if touched {
            self.update_across(runners, service, engine, now, &mut update);
        }
        update
    }

    /// Searches for a chain that crosses domains if no domain has a chain.
    fn update_across(
        &mut self,
        runners: &Runners,
        service: &str,
        engine: &Engine,
        now: Millis,
        update: &mut ChainUpdate,
    ) {
        let before = self.across.take();
        if self.domains.values().all(|d| d.chains.is_empty()) {
            let domains = runners.domains();
            let holders: Vec<Holder<'_>> = domains
                .flat_map(|d| domain_holders(runners, d, service, engine, now))
                .collect();
            let mut search = ChainSearch::new(&holders, engine.layers);
            self.across = search.next_chain();
            update.search_steps += search.steps();
        }
        if before != self.across {
            update.changed.push(None);
        }
    }
}

impl DomainChains {
    /// Searches for the chains of `holders` unless they are those of the last search. Returns whether
    /// it searched.
    fn search(
        &mut self,
        domain: &Name,
        holders: &[Holder<'_>],
        engine: &Engine,
        update: &mut ChainUpdate,
    ) -> bool {
        let snapshots: Vec<HolderSnapshot> = holders.iter().map(HolderSnapshot::of).collect();
        if self.holders == snapshots {
            return false;
        }
        self.holders = snapshots;
        let ChainSet { chains, steps } = chain_set(holders, engine);
        self.chains = chains;
        for chain in &mut self.chains {
            chain.domain = Some(domain.clone());
        }
        update.search_steps += steps;
        true
    }
}
