//! Registry of runners: their entries in the store, and their health as observed by this instance.
//!
//! An entry outlives its runner by seconds, and a runner whose lease in the store lapsed may be
//! alive. Besides the entry of each runner, this instance therefore tracks the runner's health,
//! derived from refusals, silences and answers to probes. The health applies to one lifetime of the
//! runner and is reset when a new one begins.

mod health;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use self::health::{DeathEvidence, NOTABLE_MS, PACES, PROBE_INTERVAL_MS, RunnerHealth};
use crate::lifetime::Lifetime;
use crate::prelude::*;
use crate::quarantine::LifetimeState;
use crate::relay::held_range::HeldRange;
use crate::relay::reachability::UnreachableRunners;

/// Entry of a runner in the store, written by the runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerEntry {
    /// Identity, which requests name so that no other process at the address runs them.
    pub id: Name,
    /// Service.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Whether it is draining.
    pub draining: bool,
    /// Unix time of its start, in milliseconds; identifies its lifetime.
    pub born_ms: u64,
    /// Accelerator type.
    pub kind: Option<Name>,
    /// Range of layers held.
    pub layers: Option<HeldRange>,
}

impl RunnerEntry {
    /// Returns whether it lists no layers beyond the `layers` of the service's model. An entry that does
    /// comes from another writer and names no runner to use.
    #[must_use]
    pub fn fits_model(&self, layers: u32) -> bool {
        self.layers.is_none_or(|held| held.is_within(layers))
    }

    /// Returns the number of layers held.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.layers.map_or(0, HeldRange::count)
    }
}

/// Weight of the newest request in a runner's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Failure rate above which other runners are preferred.
const FAILURE_RATE_LIMIT: f64 = 0.3;

/// Time after a recovery of the store in which runners register again, in milliseconds. Live
/// runners whose leases lapsed in the meantime are back within two seconds; the rest is a margin.
const REREGISTRATION_MS: Millis = 2_200;

/// How long the health of a runner without an entry is retained, in milliseconds: longer than any
/// request lasts.
const REMOVED_RETENTION_MS: Millis = 120_000;

/// Runners by identity.
#[derive(Clone, Debug, Default)]
pub struct Runners {
    entries: BTreeMap<Name, RunnerEntry>,
    health: BTreeMap<Name, RunnerHealth>,
    /// Runners without an entry, and until when their health is retained.
    removed: BTreeMap<Name, Millis>,
    /// Runners whose entry lapsed, and until when they are considered alive.
    lapsed: BTreeMap<Name, Millis>,
    /// Time until which entries of live runners may be missing, in milliseconds.
    incomplete_until_ms: Millis,
    domains: BTreeMap<Name, DomainIndex>,
    /// Runners whose health may be notable.
    notable: BTreeSet<Name>,
    unreachable: UnreachableRunners,
    /// Number of changes to any entry or health so far.
    changes: u64,
}

/// The runners of one failure domain.
#[derive(Clone, Debug, Default)]
struct DomainIndex {
    ids: BTreeSet<Name>,
    /// Value of [`Runners::changes`] after the last change in this domain.
    generation: u64,
}

impl Runners {
    /// Returns the failure domains that have runners, in ascending order.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys()
    }

    /// Returns whether a failure domain has runners.
    #[must_use]
    pub fn has_domain(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns the entries of a failure domain, ordered by identity.
    pub fn in_domain(&self, domain: &str) -> impl Iterator<Item = &RunnerEntry> {
        let index = self.domains.get(domain);
        let ids = index.into_iter().flat_map(|d| &d.ids);
        ids.filter_map(|id| self.entries.get(id))
    }

    /// Returns a number that grows with each change to an entry of a failure domain, and whenever the
    /// health of one of its runners may have changed; 0 while it has no runners.
    #[must_use]
    pub fn generation(&self, domain: &str) -> u64 {
        self.domains.get(domain).map_or(0, |d| d.generation)
    }

    /// Returns when a runner of a failure domain that is avoided or rests now may be used again, in
    /// milliseconds, unless something changes before.
    #[must_use]
    pub fn next_usability_change_ms(&self, domain: &str, now: Millis) -> Millis {
        let healths = self
            .in_domain(domain)
            .filter_map(|e| self.health.get(&e.id));
        let ends = healths.flat_map(|h| [h.avoid_until_ms, h.rest_until_ms]);
        ends.filter(|at| *at > now).min().unwrap_or(Millis::MAX)
    }

    /// Counts a change in a failure domain and returns its index.
    fn touch(&mut self, domain: &Name) -> &mut DomainIndex {
        self.changes += 1;
        let index = self.domains.entry(domain.clone()).or_default();
        index.generation = self.changes;
        index
    }

    /// Removes a runner from the index of a failure domain. A domain without runners is forgotten, since
    /// other writers may name any number of them.
    fn remove_from_domain(&mut self, id: &Name, domain: &Name) {
        let index = self.touch(domain);
        index.ids.remove(id);
        if index.ids.is_empty() {
            self.domains.remove(domain);
        }
    }

    /// Records that the store answers again, or for the first time. Entries may be missing for a
    /// while.
    ///
    /// If these runners were removed at once, most of a fleet would vanish when the store recovers
    /// from an outage, and the rest would be ordered to load the layers that the others still hold.
    pub fn store_recovered(&mut self, now: Millis) {
        self.incomplete_until_ms = now + REREGISTRATION_MS;
        self.changes += 1;
        for index in self.domains.values_mut() {
            index.generation = self.changes;
        }
    }

    /// Returns from when on every live runner has had time to register, in milliseconds.
    #[must_use]
    pub fn complete_from_ms(&self) -> Millis {
        self.incomplete_until_ms
    }

    /// Returns whether every live runner has had time to register.
    #[must_use]
    pub fn is_complete(&self, now: Millis) -> bool {
        now >= self.incomplete_until_ms
    }

    /// Removes runners whose entry lapsed and that did not register again. Returns whether there
    /// were any.
    pub fn expire_lapsed(&mut self, now: Millis) -> bool {
        let expired = self.lapsed.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<Name> = expired.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.remove_entry(id, now);
        }
        !gone.is_empty()
    }

    /// Removes the entry of a runner; returns whether there was one. The health is retained for a
    /// while: requests may still pass through the runner, so it must still be possible to find it
    /// dead.
    fn remove_entry(&mut self, id: &Name, now: Millis) -> bool {
        let expired = self.removed.extract_if(.., |_, until| now >= *until);
        for (id, _) in expired {
            self.health.remove(&id);
        }
        self.lapsed.remove(id);
        let Some(entry) = self.entries.remove(id) else {
            return false;
        };
        self.remove_from_domain(id, &entry.domain);
        self.removed.insert(id.clone(), now + REMOVED_RETENTION_MS);
        true
    }

    /// Adds or replaces an entry. Returns whether the entry changed. A runner that has said that it is
    /// leaving stays draining, whatever its entry says.
    pub fn put(&mut self, entry: &RunnerEntry) -> bool {
        self.lapsed.remove(&entry.id);
        self.removed.remove(&entry.id);
        let health = self.health.entry(entry.id.clone()).or_default();
        if health.born_ms != entry.born_ms {
            *health = RunnerHealth::of_lifetime(entry.born_ms, health.in_flight);
        }
        if health.dead || health.is_slow() {
            self.notable.insert(entry.id.clone());
        }
        health.leaving |= entry.draining;
        let entry = RunnerEntry {
            draining: health.leaving,
            ..entry.clone()
        };
        let old = self.entries.insert(entry.id.clone(), entry.clone());
        if old.as_ref() == Some(&entry) {
            return false;
        }
        if let Some(old) = old.filter(|o| o.domain != entry.domain) {
            self.remove_from_domain(&entry.id, &old.domain);
        }
        self.touch(&entry.domain).ids.insert(entry.id.clone());
        true
    }

    /// Marks a runner as draining by its own answer or a report of another instance. Returns whether
    /// it was not known.
    pub fn mark_draining(&mut self, id: &str, born_ms: u64) -> bool {
        let health = self.health.get_mut(id);
        if let Some(health) = health.filter(|h| h.born_ms == born_ms) {
            health.leaving = true;
        }
        let entry = self.entries.get_mut(id);
        let Some(entry) = entry.filter(|e| e.born_ms == born_ms && !e.draining) else {
            return false;
        };
        entry.draining = true;
        let domain = entry.domain.clone();
        self.touch(&domain);
        true
    }

    /// Records that a runner's entry was removed from the store. Returns whether the runner is
    /// removed as well; while entries may be missing, the runner is kept as lapsed.
    pub fn remove(&mut self, id: &Name, now: Millis) -> bool {
        if self.is_complete(now) {
            return self.remove_entry(id, now);
        }
        if self.entries.contains_key(id) {
            let until = self.incomplete_until_ms;
            self.lapsed.entry(id.clone()).or_insert(until);
        }
        false
    }

    /// Replaces all entries by a complete list read at `now`. Entries that it lacks are removed.
    pub fn replace(&mut self, list: Vec<RunnerEntry>, now: Millis) {
        let ids: BTreeSet<Name> = list.iter().map(|e| e.id.clone()).collect();
        let gone: Vec<Name> = self
            .entries
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
        for entry in list {
            self.put(&entry);
        }
    }

    /// Adds or replaces the entries of a list that may lack some. Nothing is removed.
    pub fn merge(&mut self, list: &[RunnerEntry]) {
        for entry in list {
            self.put(entry);
        }
    }

    /// Returns the entries, ordered by identity.
    pub fn entries(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.entries.values()
    }

    /// Returns the entries that the store has. An entry that lapsed is missing there, and nothing would
    /// tell an instance that starts with it that the runner is gone.
    pub fn entries_in_store(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.entries
            .values()
            .filter(|e| !self.lapsed.contains_key(&e.id))
    }

    /// Returns the entry of a runner.
    #[must_use]
    pub fn entry(&self, id: &str) -> Option<&RunnerEntry> {
        self.entries.get(id)
    }

    /// Returns the entry of the runner at an address.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&RunnerEntry> {
        self.entries.values().find(|e| e.address == address)
    }

    /// Returns the health of a runner.
    #[must_use]
    pub fn health(&self, id: &str) -> RunnerHealth {
        self.health.get(id).copied().unwrap_or_default()
    }

    /// Returns whether a lifetime of a runner is known to have ended. A missing entry alone does not show
    /// it: a runner that leaves may remove its entry at once and go on with what it runs for seconds.
    #[must_use]
    pub fn has_ended(&self, id: &str, born_ms: u64) -> bool {
        match (self.entries.get(id), self.health.get(id)) {
            (Some(entry), _) => entry.born_ms != born_ms,
            (None, Some(health)) => health.born_ms != born_ms || health.dead,
            (None, None) => true,
        }
    }

    /// Returns the runners that are dead or slow, or whose health changed within [`NOTABLE_MS`].
    pub fn notable(&mut self, now: Millis) -> impl Iterator<Item = (&RunnerEntry, &RunnerHealth)> {
        let Runners {
            entries,
            health,
            notable,
            ..
        } = self;
        notable.retain(|id| {
            let health = health.get(id).filter(|_| entries.contains_key(id));
            health.is_some_and(|h| h.is_notable(now))
        });
        let notable = notable.iter();
        notable.filter_map(|id| Some((entries.get(id)?, health.get(id)?)))
    }

    /// Records that a runner answers again at `now`. Returns whether it was considered dead.
    pub fn mark_recovered(&mut self, id: &Name, now: Millis) -> bool {
        let health = self.health_mut(id).filter(|h| h.dead);
        health.is_some_and(|health| {
            health.mark_recovered(now);
            true
        })
    }

    /// Returns the health of a runner for modification.
    pub fn health_mut(&mut self, id: &Name) -> Option<&mut RunnerHealth> {
        if let Some(domain) = self.entries.get(id).map(|e| e.domain.clone()) {
            self.touch(&domain);
            self.notable.insert(id.clone());
        }
        self.health.get_mut(id)
    }

    /// Returns what is known of a lifetime of a runner.
    #[must_use]
    pub fn lifetime_state(&self, l: &Lifetime) -> LifetimeState {
        let s = self.health(&l.runner);
        match self.entries.get(&l.runner) {
            Some(e) if e.born_ms != l.born_ms => LifetimeState::Ended,
            _ if s.born_ms != l.born_ms => LifetimeState::Running,
            _ if s.dead && s.death_evidence.is_some_and(DeathEvidence::is_proof) => {
                LifetimeState::Ended
            }
            Some(_) if s.dead => LifetimeState::Silent,
            Some(_) => s
                .recovered_ms()
                .map_or(LifetimeState::Running, LifetimeState::Recovered),
            None => LifetimeState::Ended,
        }
    }

    /// Returns the evidence on which a lifetime counts as ended.
    #[must_use]
    pub fn end_evidence(&self, l: &Lifetime) -> Option<DeathEvidence> {
        let health = self.health(&l.runner);
        match self.entries.get(&l.runner) {
            Some(e) if e.born_ms != l.born_ms => Some(DeathEvidence::Restarted),
            _ if health.born_ms != l.born_ms => None,
            _ if health.dead => health.death_evidence,
            Some(_) => None,
            None => Some(DeathEvidence::EntryRemoved),
        }
    }

    /// Records that a lifetime of a runner did not accept a connection of this instance. Returns
    /// whether that is new.
    pub fn mark_unreachable(&mut self, id: &Name, born_ms: u64, now: Millis) -> bool {
        let health = self.health(id);
        let is_current = health.born_ms == born_ms && !health.dead;
        is_current && self.unreachable.insert(id, born_ms, now)
    }

    /// Records that another instance reaches an unreachable runner.
    pub fn confirm_unreachable(&mut self, id: &str) {
        self.unreachable.confirm(id);
    }

    /// Returns whether a runner is unreachable from this instance and reached by another.
    #[must_use]
    pub fn is_path_lost(&self, id: &str) -> bool {
        !self.unreachable.is_empty() && {
            let health = self.health(id);
            !health.dead && self.unreachable.is_confirmed(id, health.born_ms)
        }
    }

    /// Records that a runner answered this instance. Returns whether it was unreachable.
    pub fn mark_reached(&mut self, id: &str) -> bool {
        self.unreachable.remove(id)
    }

    /// Returns whether the current lifetime of a runner is alive and unreachable from this instance.
    #[must_use]
    pub fn is_unreachable(&self, id: &str) -> bool {
        !self.unreachable.is_empty() && {
            let health = self.health(id);
            !health.dead && self.unreachable.contains(id, health.born_ms)
        }
    }

    /// Returns how much longer a runner wants no requests of this instance, in milliseconds.
    #[must_use]
    pub fn rest_ms(&self, id: &str, now: Millis) -> Option<Millis> {
        self.health.get(id).and_then(|h| h.rest_ms(now))
    }

    /// Returns whether all runners accept connections of this instance, as far as known.
    #[must_use]
    pub fn all_reachable(&self) -> bool {
        self.unreachable.is_empty()
    }

    /// Returns up to `max` unreachable runners that are due for a probe, and records the probes.
    pub fn due_path_probes(&mut self, now: Millis, max: usize) -> Vec<RunnerEntry> {
        let Runners {
            entries,
            health,
            unreachable,
            ..
        } = self;
        let is_current = |id: &Name, born_ms: u64| {
            let is_alive = health.get(id).is_some_and(|h| !h.dead);
            is_alive && entries.get(id).is_some_and(|e| e.born_ms == born_ms)
        };
        let due = unreachable.due(now, max, is_current);
        let entries = due.iter().filter_map(|id| self.entries.get(id));
        entries.cloned().collect()
    }

    /// Records the outcome of a request at a runner.
    pub fn record_outcome(&mut self, id: &str, failed: bool, now: Millis) {
        if let Some(s) = self.health.get_mut(id) {
            let sample = if failed { 1.0 } else { 0.0 };
            let before = s.failure_rate_at(now);
            s.failure_rate = before + FAILURE_WEIGHT * (sample - before);
            s.failure_rate_ms = now;
        }
    }

    /// Returns whether a runner may be sent new requests at `now`.
    #[must_use]
    pub fn usable(&self, entry: &RunnerEntry, now: Millis) -> bool {
        let s = self.health(&entry.id);
        !entry.draining && !s.dead && now >= s.avoid_until_ms
    }

    /// Returns whether the layers in a runner's entry can be relied on at `now`.
    #[must_use]
    pub fn holds_layers(&self, entry: &RunnerEntry, now: Millis) -> bool {
        let s = self.health(&entry.id);
        entry.held() > 0
            && self.usable(entry, now)
            && s.misreported.is_none_or(|m| entry.layers != Some(m))
    }

    /// Returns the living runners of a plain service, including those that get no requests of this
    /// instance for a moment.
    pub fn living(&self, service: &str) -> impl Iterator<Item = &RunnerEntry> {
        let of_service = self
            .entries
            .values()
            .filter(move |e| *e.service == *service);
        of_service.filter(|e| !e.draining && !self.health(&e.id).dead)
    }

    /// Returns the runners of a plain service that may take a request, best first: those with a low
    /// failure rate, then the least busy, where a runner outside the failure domain `domain` counts
    /// as one request busier. `draw` breaks ties at random, so that instances do not all choose the
    /// same.
    pub fn service_candidates(
        &self,
        service: &str,
        domain: &str,
        now: Millis,
        mut draw: impl FnMut() -> u32,
    ) -> Vec<&RunnerEntry> {
        let usable = self.living(service).filter(|e| {
            let can_take = self.usable(e, now) && !self.is_unreachable(&e.id);
            can_take && self.rest_ms(&e.id, now).is_none()
        });
        let mut ranked: Vec<_> = usable
            .map(|e| {
                let s = self.health(&e.id);
                let failing = s.failure_rate_at(now) > FAILURE_RATE_LIMIT;
                let elsewhere = *e.domain != *domain;
                ((failing, s.in_flight + u32::from(elsewhere), draw()), e)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, e)| e).collect()
    }
}
