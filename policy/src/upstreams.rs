//! Registry of upstreams: their observers, health and availability for new work.
//!
//! Each upstream is polled by a few live instances of its region, chosen by rendezvous hashing
//! ([`Upstreams::to_poll`]); other instances learn its state by gossip ([`exchange`]). An upstream
//! that one observer fails to reach is suspected only if a second observer fails as well
//! ([`observe`]).
//!
//! Invariants:
//! - Leaving is irrevocable for an incarnation, whichever source reported it first: the list, the
//!   upstream's own report, its refusal, or a peer.
//! - A suspected upstream continues to be polled, and any report from it refutes the suspicion.
//! - After this process was suspended, no upstream is open until news of it arrives.

pub mod config;
pub mod dump;
pub mod exchange;
pub mod message;
pub mod observe;
pub mod record;

pub use config::UpstreamsConfig;
pub use dump::{UpstreamCounts, UpstreamRow, UpstreamsDump};
pub use message::{LoadSample, RecordHash, UpstreamDelta, UpstreamDigest};
pub use observe::{Confirm, ConfirmOutcome, PollOutcome};
pub use record::{RunnerProfile, UpstreamRecord};

use crate::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use crate::load::LoadReport;
use crate::member::MemberState;
use crate::region::region_of;
use crate::time::{Millis, Name, Now};
use record::fnv1a;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How an upstream is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PollKind {
    /// By requesting its load report: a model runner.
    Load,
    /// By opening a connection: a plain service.
    Connect,
}

/// A poll to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Name of the upstream.
    pub name: Name,
    /// Its known incarnation.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// How it is polled.
    pub kind: PollKind,
    /// Monotonic time at which the poll was issued, in milliseconds.
    pub started_ms: Millis,
}

/// Whether new work is sent to an upstream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// New work is sent to it.
    #[display("open")]
    Open,
    /// It is leaving: no new work for this incarnation.
    #[display("leaving")]
    Leaving,
    /// Observers can't reach it.
    #[display("suspected")]
    Suspected,
    /// It is missing from the list and did not answer the last poll.
    #[display("unlisted")]
    Unlisted,
    /// This process was suspended and has received no news of it since.
    #[display("stale")]
    Stale,
}

/// Newest known load of a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLoad {
    /// Sequence number of the report.
    pub number: u64,
    /// Monotonic time of this process at which the figures were sampled, in milliseconds.
    pub sampled_ms: Millis,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Recent throughput, in token-layers per second.
    pub busy_token_layers_per_s: f64,
}

/// State of one upstream on this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Part that is replicated to all instances.
    pub record: UpstreamRecord,
    /// Newest load, if known.
    pub load: Option<KnownLoad>,
    /// Number of consecutive lists without it.
    pub unlisted: u32,
    hash: u32,
    failures: u32,
    /// Whether its host refused the last failed poll of this instance.
    is_refused: bool,
    confirmed_by: Vec<Name>,
    stale: bool,
    answered_ms: Option<Millis>,
}

impl Upstream {
    fn new(record: UpstreamRecord) -> Upstream {
        Upstream {
            hash: record.hash(),
            record,
            load: None,
            unlisted: 0,
            failures: 0,
            is_refused: false,
            confirmed_by: Vec::new(),
            stale: false,
            answered_ms: None,
        }
    }

    /// Returns its entry in the list.
    #[must_use]
    pub fn listed(&self) -> &ListedInstance {
        &self.record.listed
    }

    /// Returns when it last answered this instance, in milliseconds.
    #[must_use]
    pub fn answered_ms(&self) -> Option<Millis> {
        self.answered_ms
    }
}

/// Registry of upstreams on this instance.
#[derive(Clone, Debug)]
pub struct Upstreams {
    own: Name,
    domain: Name,
    cfg: UpstreamsConfig,
    groups: BTreeMap<Name, PollKind>,
    upstreams: BTreeMap<Name, Upstream>,
    /// Live instances; see [`Upstreams::set_live`].
    live: Vec<Observer>,
    /// Cached names of the upstreams that this instance observes; `None` if outdated. Without the
    /// cache, ranking all instances for each upstream at each poll dominates the CPU time.
    observed: Option<Vec<Name>>,
    changed: BTreeSet<Name>,
    last_event: Now,
    resumed_ms: Millis,
    counts: UpstreamCounts,
}

#[derive(Clone, Debug, PartialEq)]
struct Observer {
    name: Name,
    domain: Name,
}

/// Gap between two events above which this process is considered to have been suspended.
const SUSPENDED_GAP_MS: Millis = 3_000;

impl Upstreams {
    /// Creates an empty registry for the instance `own` in failure domain `domain`.
    #[must_use]
    pub fn new(own: Name, domain: Name, cfg: UpstreamsConfig, now: Now) -> Upstreams {
        let observer = Observer {
            name: own.clone(),
            domain: domain.clone(),
        };
        Upstreams {
            own,
            domain,
            cfg,
            groups: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            live: vec![observer],
            observed: None,
            changed: BTreeSet::new(),
            last_event: now,
            resumed_ms: 0,
            counts: UpstreamCounts::default(),
        }
    }

    /// Sets the upstream groups of the schema and how their upstreams are polled.
    pub fn set_groups(&mut self, groups: BTreeMap<Name, PollKind>) {
        self.groups = groups;
        self.observed = None;
    }

    /// Sets the live instances among which observers are chosen, including this one.
    pub fn set_live<'a>(&mut self, live: impl Iterator<Item = &'a MemberState>) {
        let observer = |s: &MemberState| Observer {
            name: s.name.clone(),
            domain: s.domain.clone(),
        };
        let mut live: Vec<Observer> = live.map(observer).collect();
        if !live.iter().any(|o| o.name == self.own) {
            live.push(Observer {
                name: self.own.clone(),
                domain: self.domain.clone(),
            });
        }
        if live != self.live {
            self.live = live;
            self.observed = None;
        }
    }

    /// Returns all upstreams, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns an upstream by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Returns the upstreams of a group that are open for new work, ordered by name.
    pub fn open_in(&self, group: &str) -> impl Iterator<Item = &ListedInstance> {
        let all = self.upstreams.values().map(|u| (u, u.listed()));
        let open = all.filter(move |(u, l)| *l.group == *group && self.is_open(u));
        open.map(|(_, listed)| listed)
    }

    fn is_open(&self, u: &Upstream) -> bool {
        self.availability(u) == Availability::Open
    }

    /// Returns whether new work is sent to an upstream.
    #[must_use]
    pub fn availability(&self, u: &Upstream) -> Availability {
        if u.record.leaving() {
            Availability::Leaving
        } else if u.record.suspected() {
            Availability::Suspected
        } else if u.unlisted >= self.cfg.unlisted_after_lists && !self.answered_last_poll(u) {
            Availability::Unlisted
        } else if u.stale {
            Availability::Stale
        } else {
            Availability::Open
        }
    }

    /// Whether it answered this instance's last poll.
    ///
    /// An incomplete list, as after an outage of the platform, doesn't close an upstream that still
    /// answers.
    fn answered_last_poll(&self, u: &Upstream) -> bool {
        u.failures == 0 && u.answered_ms.is_some_and(|at| at >= self.resumed_ms)
    }

    /// Returns and clears the names of the upstreams that changed since the last call, for which
    /// the route plan has to be updated.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Returns event counts since the start.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        self.counts
    }

    /// Applies the platform's complete list.
    pub fn listed(&mut self, now: Now, list: &[ListedInstance]) {
        self.detect_suspension(now);
        for u in self.upstreams.values_mut() {
            u.unlisted = u.unlisted.saturating_add(1);
        }
        for listed in list.iter().filter(|l| *l.group != *ENTRY_GROUP) {
            self.merge_listed(listed);
        }
        let (unlisted_after, remove_after) =
            (self.cfg.unlisted_after_lists, self.cfg.remove_after_lists);
        for (name, u) in &self.upstreams {
            if u.unlisted >= unlisted_after {
                self.changed.insert(name.clone());
            }
        }
        let before = self.upstreams.len();
        self.upstreams.retain(|_, u| u.unlisted < remove_after);
        if self.upstreams.len() != before {
            self.observed = None;
        }
    }

    fn merge_listed(&mut self, listed: &ListedInstance) {
        self.merge(&UpstreamRecord::new(listed.clone()));
        let Some(u) = self.upstreams.get_mut(&listed.name) else {
            return;
        };
        let current = listed.incarnation >= u.listed().incarnation;
        if !current {
            return;
        }
        u.unlisted = 0;
        if u.listed().address != listed.address || u.listed().domain != listed.domain {
            u.record.listed.address = listed.address;
            u.record.listed.domain = listed.domain.clone();
            self.observed = None;
            u.record.number += 1;
            u.hash = u.record.hash();
        }
        self.changed.insert(listed.name.clone());
    }

    /// Merges a record from the list or from a peer.
    fn merge(&mut self, record: &UpstreamRecord) {
        let name = &record.listed.name;
        if !self.upstreams.contains_key(name) && self.upstreams.len() >= self.cfg.max_upstreams {
            self.counts.refused += 1;
            return;
        }
        let Some(u) = self.upstreams.get_mut(name) else {
            self.upstreams
                .insert(name.clone(), Upstream::new(record.clone()));
            self.observed = None;
            self.changed.insert(name.clone());
            return;
        };
        let restarted = record.listed.incarnation > u.listed().incarnation;
        if !u.record.merge(record) {
            return;
        }
        self.observed = None;
        if restarted {
            *u = Upstream::new(record.clone());
        }
        // After a partition heals, the suspicions of an instance that was cut off must not close,
        // even for one round, an upstream that reported to others in the meantime.
        if let (Some(load), true) = (u.load, u.record.suspected()) {
            u.record.number = u.record.number.max(load.number);
        }
        u.hash = u.record.hash();
        self.changed.insert(name.clone());
    }

    /// Closes an incarnation of an upstream to new work permanently, as it refused work because it
    /// is leaving.
    pub fn leaving(&mut self, name: &str, incarnation: u64) {
        let Some(u) = self.upstreams.get_mut(name) else {
            return;
        };
        if u.listed().incarnation != incarnation || u.record.leaving() {
            return;
        }
        u.record.listed.state = ListedState::Leaving;
        u.hash = u.record.hash();
        self.counts.left += 1;
        self.changed.insert(u.record.listed.name.clone());
    }

    /// Returns the polls that this instance is to make now.
    pub fn to_poll(&mut self, now: Now) -> Vec<Poll> {
        self.detect_suspension(now);
        let observed = self
            .observed
            .take()
            .unwrap_or_else(|| self.compute_observed());
        let upstreams = observed.iter().filter_map(|name| self.upstreams.get(name));
        let polls = upstreams.filter_map(|u| self.poll(u, now)).collect();
        self.observed = Some(observed);
        polls
    }

    fn poll(&self, u: &Upstream, now: Now) -> Option<Poll> {
        let l = u.listed();
        Some(Poll {
            name: l.name.clone(),
            incarnation: l.incarnation,
            address: l.address,
            kind: *self.groups.get(&l.group)?,
            started_ms: now.mono_ms,
        })
    }

    fn compute_observed(&self) -> Vec<Name> {
        let regions: BTreeSet<&str> = self.live.iter().map(|o| region_of(&o.domain)).collect();
        let own_region = region_of(&self.domain);
        let mut observed = Vec::new();
        for (name, u) in &self.upstreams {
            let region = region_of(&u.listed().domain);
            let polled_elsewhere = region != own_region && regions.contains(region);
            if !polled_elsewhere && self.observers(u.listed()).any(|o| *o == self.own) {
                observed.push(name.clone());
            }
        }
        observed
    }

    /// Returns the observers of an upstream, chosen by rendezvous hashing among the instances of
    /// its region, or among all if its region has none. When an instance joins or leaves, only the
    /// upstreams that it observes change observers.
    fn observers(&self, listed: &ListedInstance) -> impl Iterator<Item = &Name> {
        let region = region_of(&listed.domain);
        let near = |o: &&Observer| region_of(&o.domain) == region;
        let any_near = self.live.iter().any(|o| near(&o));
        let candidates = self.live.iter().filter(|o| !any_near || near(o));
        let mut ranked: Vec<(u32, &Name)> = candidates
            .map(|o| (rendezvous(&o.name, &listed.name), &o.name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.cfg.observers.max(1));
        ranked.into_iter().map(|(_, name)| name)
    }

    /// Applies a load report, from a poll by this instance or by a peer asked for confirmation.
    fn apply_report(&mut self, now: Now, report: &LoadReport) {
        let Some(u) = self.upstreams.get_mut(&report.runner) else {
            return;
        };
        if report.incarnation < u.listed().incarnation {
            return;
        }
        if report.incarnation > u.listed().incarnation {
            // It restarted, and its report arrived before the updated list.
            let mut listed = u.listed().clone();
            listed.incarnation = report.incarnation;
            listed.state = ListedState::Live;
            *u = Upstream::new(UpstreamRecord::new(listed));
        }
        u.answered_ms = Some(now.mono_ms);
        let newer = u.load.is_none_or(|l| l.number < report.number);
        if newer {
            u.load = Some(KnownLoad {
                number: report.number,
                sampled_ms: now.mono_ms.saturating_sub(report.age_ms),
                running: report.running,
                queued: report.queued,
                busy_token_layers_per_s: report.busy_token_layers_per_s,
            });
        }
        let profile = RunnerProfile::of(report);
        let known = u
            .record
            .profile
            .as_ref()
            .is_some_and(|p| p.is_equivalent(&profile));
        if newer && !known {
            u.record.profile = Some(profile);
            u.record.number = report.number.max(u.record.number + 1);
            u.hash = u.record.hash();
        }
        let (name, incarnation) = (u.listed().name.clone(), report.incarnation);
        self.on_reached(&name);
        if report.leaving {
            self.leaving(&name, incarnation);
        }
        self.changed.insert(name);
    }
}

fn rendezvous(instance: &str, upstream: &str) -> u32 {
    let bytes = instance.bytes().chain([0]).chain(upstream.bytes());
    // With FNV-1a alone, names that differ only in their last bytes have similar hashes; the
    // finalizer of MurmurHash3 spreads them.
    let mut h = fnv1a(bytes);
    h ^= h >> 16;
    h = h.wrapping_mul(0x85eb_ca6b);
    h ^= h >> 13;
    h = h.wrapping_mul(0xc2b2_ae35);
    h ^ (h >> 16)
}
