//! What is known of each runner: its own word in the store, and what requests showed.
//!
//! A runner's entry outlives it by seconds, and a runner whose lease in the store lapsed may live.
//! So besides its entry each runner has a standing of this instance's own: what its refusals,
//! silences and answers to probes showed. A standing holds for one lifetime of the runner and is
//! forgotten when a new one begins.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::lifetime::Lifetime;
use crate::relay::quarantine::LifetimeState;

/// A runner as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerEntry {
    /// Identity, which requests name so that nobody else at the address runs them.
    pub id: Name,
    /// Service.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Whether it is leaving.
    pub draining: bool,
    /// Unix time of its start, in milliseconds: one value a lifetime.
    pub born_ms: u64,
    /// Kind of accelerator.
    pub kind: Option<Name>,
    /// Layers held: first, and one past the last.
    pub layers: Option<(u32, u32)>,
}

impl RunnerEntry {
    /// Layers held.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.layers.map_or(0, |(from, to)| to.saturating_sub(from))
    }
}

/// What this instance learnt of a runner by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerHealth {
    /// Lifetime that this holds for.
    pub born_ms: u64,
    /// Not to be used before this time, in milliseconds.
    pub avoid_until_ms: Millis,
    /// It answers nothing.
    pub dead: bool,
    /// When that was found, in milliseconds.
    pub dead_since_ms: Millis,
    /// Whether this instance found it by itself, and did not believe others.
    pub found_locally: bool,
    /// It refused a part of this range, which its entry still names.
    pub misreported: Option<(u32, u32)>,
    /// It names a rate beyond which it gets no requests.
    pub limited: bool,
    /// Orders that it has accepted, where that is known.
    pub orders: Option<u64>,
    /// Share of recent requests that it failed, 0 to 1, at the last of them.
    pub failure_rate: f64,
    /// When that was, in milliseconds.
    pub failure_rate_ms: Millis,
    /// Requests in flight there from this instance.
    pub in_flight: u32,
    /// How slow it said to be when last asked, and when that was; 1 is as declared.
    pace: Option<(f64, Millis)>,
    pace_changed_ms: Option<Millis>,
    /// When it answered again after it counted as dead, in milliseconds.
    answers_since_ms: Option<Millis>,
    /// When it was last asked for its report apart from its chain, and how often since it was
    /// doubted.
    asked_ms: Option<Millis>,
    asks: u32,
}

/// Change of a runner's pace that chains are worked out anew for.
const PACE_STEP: f64 = 0.5;

/// Pause between two reports asked of a doubted runner where there are few instances, and the longest
/// one, in milliseconds: twice as long each time. A runner that is gone for good is asked by every
/// instance until its entry goes.
pub const PROBE_INTERVAL_MS: Millis = 700;
const LONGEST_ASK_PAUSE_MS: Millis = 5_600;
const MOST_DOUBLINGS: u32 = 3;

/// Pause between two reports asked by an instance that leaves the questions to others, in milliseconds.
const SELDOM_MS: Millis = 12_000;

impl RunnerHealth {
    /// Whether the runner is to be asked for its report now, `pause` milliseconds after the last time
    /// or later; remembers that it was.
    pub fn should_probe(&mut self, now: Millis, pause: Millis) -> bool {
        let pause = (pause << self.asks.min(MOST_DOUBLINGS)).min(LONGEST_ASK_PAUSE_MS);
        let due = self.asked_ms.is_none_or(|at| now >= at + pause);
        if due {
            self.asked_ms = Some(now);
            self.asks += 1;
        }
        due
    }

    /// The same for an instance that leaves the questions to others: they may be lost, or their word.
    pub fn should_probe_rarely(&mut self, now: Millis) -> bool {
        let since = self.asked_ms.max(Some(self.dead_since_ms));
        let due = since.is_none_or(|at| now >= at + SELDOM_MS);
        if due {
            self.asked_ms = Some(now);
        }
        due
    }

    /// It answers again at `now`.
    pub fn mark_recovered(&mut self, now: Millis) {
        self.dead = false;
        self.answers_since_ms = Some(now);
        self.reset_probe_backoff();
    }

    /// Whether it began to answer again after `since_ms`.
    #[must_use]
    pub fn recovered_since(&self, since_ms: Millis) -> bool {
        !self.dead && self.answers_since_ms.is_some_and(|at| at >= since_ms)
    }

    /// Since when it answers again after it counted as dead, in milliseconds.
    #[must_use]
    pub fn recovered_ms(&self) -> Option<Millis> {
        self.answers_since_ms.filter(|_| !self.dead)
    }

    /// It answers another instance again: it is asked at the next occasion.
    pub fn probe_soon(&mut self) {
        self.asked_ms = None;
        self.asks = 0;
    }

    /// It answered, or somebody found it dead anew: the next question need not wait long.
    pub fn reset_probe_backoff(&mut self) {
        self.asks = 0;
    }

    /// Share of recent requests that it failed. It fades with time: a runner that nobody sends
    /// anything could never show that it is well again.
    #[must_use]
    pub fn failure_rate_at(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.failure_rate_ms) as f64;
        self.failure_rate * 0.5_f64.powf(passed / FAILING_HALF_MS)
    }

    /// How many times as long as declared its work takes; never less than 1.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.pace.map_or(1.0, |(pace, _)| pace).max(1.0)
    }

    /// How slow it said to be when last asked; 1 is as declared.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        self.pace.map(|(pace, _)| pace)
    }

    /// It said at `at_ms` how slow it is; whether that is newer than what is known and changes what
    /// chains are worked out from.
    pub fn set_pace(&mut self, pace: f64, at_ms: Millis) -> bool {
        if self.pace.is_some_and(|(_, known_ms)| at_ms <= known_ms) {
            return false;
        }
        let before = self.slowness();
        self.pace = Some((pace, at_ms));
        self.asked_ms = self.asked_ms.max(Some(at_ms));
        self.asks = 0;
        let changed = (self.slowness() - before).abs() >= PACE_STEP;
        if changed {
            self.pace_changed_ms = Some(at_ms);
        }
        changed
    }

    /// How slow it said to be, and when, if that changed after `since_ms`.
    #[must_use]
    pub fn pace_changed_since(&self, since_ms: Millis) -> Option<(f64, Millis)> {
        self.pace
            .filter(|_| self.pace_changed_ms.is_some_and(|at| at >= since_ms))
    }

    /// Whether it is so slow that it should be asked whether it still is.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.slowness() >= 1.0 + PACE_STEP
    }
}

/// Weight of the newest request in a runner's share of failures.
const FAILING_WEIGHT: f64 = 0.2;

/// Time in which a runner's share of failures fades to a half, in milliseconds.
const FAILING_HALF_MS: f64 = 2_000.0;

/// Share of failures from which on others are preferred.
const FAILING_LIMIT: f64 = 0.3;

/// Time after the store's return in which runners write their entries anew, in milliseconds, with
/// some to spare: those whose lease lapsed meanwhile are back within two seconds if they live.
const LAPSED_MS: Millis = 2_200;

/// How long something is known of a runner without an entry, in milliseconds: longer than requests
/// last.
const PARTED_KEPT_MS: Millis = 120_000;

/// Runners by identity.
#[derive(Clone, Debug, Default)]
pub struct Runners {
    entries: BTreeMap<Name, RunnerEntry>,
    health: BTreeMap<Name, RunnerHealth>,
    /// Runners without an entry of which something is still known, and until when.
    parted: BTreeMap<Name, Millis>,
    /// Runners whose entry lapsed, and until when they are taken to live.
    lapsed: BTreeMap<Name, Millis>,
    /// Until when entries of living runners may be missing.
    incomplete_until_ms: Millis,
}

impl Runners {
    /// The store answers anew, or for the first time: entries may be missing for a while.
    ///
    /// Taken for gone at once, most runners of a fleet vanish as the store comes back from an
    /// outage, and the rest are told to hold what the others still hold.
    pub fn store_recovered(&mut self, now: Millis) {
        self.incomplete_until_ms = now + LAPSED_MS;
    }

    /// Whether every living runner has its entry.
    #[must_use]
    pub fn is_complete(&self, now: Millis) -> bool {
        now >= self.incomplete_until_ms
    }

    /// Forgets runners whose entry lapsed and did not come back; whether there were any.
    pub fn expire_lapsed(&mut self, now: Millis) -> bool {
        let over = self.lapsed.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<Name> = over.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.part_with(id, now);
        }
        !gone.is_empty()
    }

    /// Requests may pass through a runner after its entry is gone, so that it must still be possible to
    /// find it dead.
    fn part_with(&mut self, id: &Name, now: Millis) -> bool {
        let over = self.parted.extract_if(.., |_, until| now >= *until);
        for (id, _) in over {
            self.health.remove(&id);
        }
        self.lapsed.remove(id);
        let had = self.entries.remove(id).is_some();
        if had {
            self.parted.insert(id.clone(), now + PARTED_KEPT_MS);
        }
        had
    }

    /// Takes in an entry; whether anything changed that a chain depends on.
    pub fn put(&mut self, entry: &RunnerEntry) -> bool {
        self.lapsed.remove(&entry.id);
        self.parted.remove(&entry.id);
        let health = self.health.entry(entry.id.clone()).or_default();
        if health.born_ms != entry.born_ms {
            let in_flight = health.in_flight;
            *health = RunnerHealth {
                born_ms: entry.born_ms,
                in_flight,
                ..RunnerHealth::default()
            };
        }
        let old = self.entries.insert(entry.id.clone(), entry.clone());
        old.as_ref() != Some(entry)
    }

    /// Another instance heard that a runner leaves; whether that is news.
    pub fn mark_draining(&mut self, id: &str, born_ms: u64) -> bool {
        let entry = self.entries.get_mut(id);
        let Some(entry) = entry.filter(|e| e.born_ms == born_ms && !e.draining) else {
            return false;
        };
        entry.draining = true;
        true
    }

    /// A runner's entry is gone at `now`; whether the runner is taken to be gone as well.
    pub fn remove(&mut self, id: &Name, now: Millis) -> bool {
        if self.is_complete(now) {
            return self.part_with(id, now);
        }
        if self.entries.contains_key(id) {
            let until = self.incomplete_until_ms;
            self.lapsed.entry(id.clone()).or_insert(until);
        }
        false
    }

    /// Takes over a whole list at `now`: what it lacks is gone.
    pub fn replace(&mut self, list: Vec<RunnerEntry>, now: Millis) {
        let ids: std::collections::BTreeSet<Name> = list.iter().map(|e| e.id.clone()).collect();
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

    /// Entries in the order of identities.
    pub fn entries(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.entries.values()
    }

    /// One entry.
    #[must_use]
    pub fn entry(&self, id: &str) -> Option<&RunnerEntry> {
        self.entries.get(id)
    }

    /// The runner at an address.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&RunnerEntry> {
        self.entries.values().find(|e| e.address == address)
    }

    /// Health of a runner.
    #[must_use]
    pub fn health(&self, id: &str) -> RunnerHealth {
        self.health.get(id).copied().unwrap_or_default()
    }

    /// Health of a runner, to be changed.
    pub fn health_mut(&mut self, id: &Name) -> Option<&mut RunnerHealth> {
        self.health.get_mut(id)
    }

    /// What is known of one lifetime of a runner.
    #[must_use]
    pub fn lifetime_state(&self, l: &Lifetime) -> LifetimeState {
        let s = self.health(&l.runner);
        match self.entries.get(&l.runner) {
            Some(e) if e.born_ms != l.born_ms => LifetimeState::Ended,
            _ if s.born_ms != l.born_ms => LifetimeState::Running,
            _ if s.dead => LifetimeState::Ended,
            Some(_) => s
                .recovered_ms()
                .map_or(LifetimeState::Running, LifetimeState::Recovered),
            None => LifetimeState::Ended,
        }
    }

    /// A request's outcome at a runner.
    pub fn record_outcome(&mut self, id: &str, failed: bool, now: Millis) {
        if let Some(s) = self.health.get_mut(id) {
            let sample = if failed { 1.0 } else { 0.0 };
            let before = s.failure_rate_at(now);
            s.failure_rate = before + FAILING_WEIGHT * (sample - before);
            s.failure_rate_ms = now;
        }
    }

    /// Whether a runner may be sent new work at `now`.
    #[must_use]
    pub fn usable(&self, entry: &RunnerEntry, now: Millis) -> bool {
        let s = self.health(&entry.id);
        !entry.draining && !s.dead && now >= s.avoid_until_ms
    }

    /// Whether what a runner says it holds may be believed at `now`.
    #[must_use]
    pub fn holds_layers(&self, entry: &RunnerEntry, now: Millis) -> bool {
        let s = self.health(&entry.id);
        entry.held() > 0
            && self.usable(entry, now)
            && s.misreported.is_none_or(|m| entry.layers != Some(m))
    }

    /// Runners of a plain service that may take a request, best first: those that answer well,
    /// then the least busy, then those of the own failure domain. `draw` breaks ties so that
    /// instances do not all choose the same.
    pub fn service_candidates(
        &self,
        service: &str,
        domain: &str,
        now: Millis,
        mut draw: impl FnMut() -> u32,
    ) -> Vec<&RunnerEntry> {
        let of_service = self.entries.values().filter(|e| *e.service == *service);
        let usable = of_service.filter(|e| self.usable(e, now));
        let mut ranked: Vec<_> = usable
            .map(|e| {
                let s = self.health(&e.id);
                let failing = s.failure_rate_at(now) > FAILING_LIMIT;
                let elsewhere = *e.domain != *domain;
                ((failing, s.in_flight + u32::from(elsewhere), draw()), e)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, e)| e).collect()
    }
}
