//! Upstreams as this instance knows them: who observes them, which are open for new work.
//!
//! Each upstream is polled by a few live instances of its region, chosen by rendezvous hash
//! ([`Upstreams::to_poll`]), and the others hear of it in their exchanges ([`exchange`]). An
//! upstream that its observer fails to reach is doubted, and suspected once another observer
//! failed as well ([`observe`]).
//!
//! Invariants:
//! - Leaving is never taken back for the same incarnation, whatever said it first: the list, the
//!   upstream's own report, its refusal, or a peer.
//! - An upstream that is suspected is polled on, and any report from it ends the suspicion.
//! - After this process was stopped and woken, no upstream is open before it was heard of again.

pub mod config;
pub mod dump;
pub mod exchange;
pub mod message;
pub mod observe;
pub mod record;

pub use config::UpstreamsConfig;
pub use dump::{UpstreamCounts, UpstreamRow, UpstreamsDump};
pub use message::{LoadBeat, RecordHash, UpstreamDelta, UpstreamDigest};
pub use observe::{Confirm, ConfirmOutcome, PollOutcome};
pub use record::{RunnerProfile, UpstreamRecord};

use crate::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use crate::load::LoadReport;
use crate::member::MemberState;
use crate::region::region_of;
use crate::time::{Millis, Name, Now};
use record::fnv;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How an upstream is observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PollKind {
    /// By its load report: a model runner.
    Load,
    /// By opening a connection: a plain service.
    Connect,
}

/// A poll to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Upstream's name.
    pub name: Name,
    /// Incarnation that is known of it.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// How.
    pub kind: PollKind,
    /// Monotonic time of the decision, in milliseconds.
    pub started_ms: Millis,
}

/// Whether new work goes to an upstream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// New work goes to it.
    #[display("open")]
    Open,
    /// It leaves: never again in this incarnation.
    #[display("leaving")]
    Leaving,
    /// Observers don't reach it.
    #[display("suspected")]
    Suspected,
    /// The list lacks it, and it gives no reports.
    #[display("unlisted")]
    Unlisted,
    /// This process was stopped and has not heard of it since.
    #[display("stale")]
    Stale,
}

/// Newest load of a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeenLoad {
    /// Report number.
    pub number: u64,
    /// Monotonic time of this process at which the figures were true, in milliseconds.
    pub true_ms: Millis,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Token-layers a second it did lately.
    pub busy_token_layers_per_s: f64,
}

/// What this instance knows of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// What all instances know of it.
    pub record: UpstreamRecord,
    /// Newest load, where it is known.
    pub load: Option<SeenLoad>,
    /// Lists in a row that lacked it.
    pub unlisted: u32,
    hash: u32,
    misses: u32,
    unreached_by: Vec<Name>,
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
            misses: 0,
            unreached_by: Vec::new(),
            stale: false,
            answered_ms: None,
        }
    }

    /// Its listing.
    #[must_use]
    pub fn listed(&self) -> &ListedInstance {
        &self.record.listed
    }
}

/// Upstreams as this instance knows them.
#[derive(Clone, Debug)]
pub struct Upstreams {
    own: Name,
    domain: Name,
    cfg: UpstreamsConfig,
    groups: BTreeMap<Name, PollKind>,
    upstreams: BTreeMap<Name, Upstream>,
    /// Live instances, as [`Upstreams::set_live`] gave them.
    live: Vec<Observer>,
    /// Upstreams that this instance observes; absent: to be worked out anew. Ranking every
    /// upstream against every instance at each poll took most of the processor time of a fleet.
    observed: Option<Vec<Name>>,
    changed: BTreeSet<Name>,
    seen: Now,
    woken_ms: Millis,
    counts: UpstreamCounts,
}

#[derive(Clone, Debug, PartialEq)]
struct Observer {
    name: Name,
    domain: Name,
}

/// A gap between two events, in milliseconds, after which this process counts as having been
/// stopped.
const WOKEN_MS: Millis = 3_000;

impl Upstreams {
    /// No upstream is known yet to the instance `own` in failure domain `domain`.
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
            seen: now,
            woken_ms: 0,
            counts: UpstreamCounts::default(),
        }
    }

    /// Sets the groups of the schema and how their upstreams are observed.
    pub fn set_groups(&mut self, groups: BTreeMap<Name, PollKind>) {
        self.groups = groups;
        self.observed = None;
    }

    /// Sets the live instances that share the observation, this one included.
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

    /// Every upstream, in the order of names.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// An upstream by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Upstreams of a group that are open for new work, in the order of names.
    pub fn open_in(&self, group: &str) -> impl Iterator<Item = &ListedInstance> {
        let all = self.upstreams.values().map(|u| (u, u.listed()));
        let open = all.filter(move |(u, l)| *l.group == *group && self.is_open(u));
        open.map(|(_, listed)| listed)
    }

    fn is_open(&self, u: &Upstream) -> bool {
        self.availability(u) == Availability::Open
    }

    /// Whether new work goes to an upstream.
    #[must_use]
    pub fn availability(&self, u: &Upstream) -> Availability {
        if u.record.leaving() {
            Availability::Leaving
        } else if u.record.suspected() {
            Availability::Suspected
        } else if u.unlisted >= self.cfg.max_unlisted && !self.answers(u) {
            Availability::Unlisted
        } else if u.stale {
            Availability::Stale
        } else {
            Availability::Open
        }
    }

    /// Whether it answered this instance's last poll. A list that is cut short, as after an outage
    /// of the platform, doesn't close an upstream that goes on answering.
    fn answers(&self, u: &Upstream) -> bool {
        u.misses == 0 && u.answered_ms.is_some_and(|at| at >= self.woken_ms)
    }

    /// Names of the upstreams that changed since the last call: what to feed to the route plan.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Events since the start.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        self.counts
    }

    /// Takes in the platform's list, whole.
    pub fn listed(&mut self, now: Now, list: &[ListedInstance]) {
        self.observe(now);
        for u in self.upstreams.values_mut() {
            u.unlisted = u.unlisted.saturating_add(1);
        }
        for listed in list.iter().filter(|l| *l.group != *ENTRY_GROUP) {
            self.take_listed(listed);
        }
        let limits = (self.cfg.max_unlisted, self.cfg.forget_lists);
        for (name, u) in &self.upstreams {
            if u.unlisted >= limits.0 {
                self.changed.insert(name.clone());
            }
        }
        let before = self.upstreams.len();
        self.upstreams.retain(|_, u| u.unlisted < limits.1);
        if self.upstreams.len() != before {
            self.observed = None;
        }
    }

    fn take_listed(&mut self, listed: &ListedInstance) {
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

    /// Merges a record from the list or a peer.
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
        // An instance that was cut off suspected what it could not reach. When it is back, its
        // suspicions must not close, even for one round, what has reported to others meanwhile.
        if let (Some(load), true) = (u.load, u.record.suspected()) {
            u.record.number = u.record.number.max(load.number);
        }
        u.hash = u.record.hash();
        self.changed.insert(name.clone());
    }

    /// Closes an incarnation of an upstream to new work for good, as it refused work for leaving.
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

    /// What this instance is to poll now.
    pub fn to_poll(&mut self, now: Now) -> Vec<Poll> {
        self.observe(now);
        let observed = self
            .observed
            .take()
            .unwrap_or_else(|| self.work_out_observed());
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

    fn work_out_observed(&self) -> Vec<Name> {
        let regions: BTreeSet<&str> = self.live.iter().map(|o| region_of(&o.domain)).collect();
        let own_region = region_of(&self.domain);
        let mut observed = Vec::new();
        for (name, u) in &self.upstreams {
            let region = region_of(&u.listed().domain);
            let others = region != own_region && regions.contains(region);
            if !others && self.observers(u.listed()).any(|o| *o == self.own) {
                observed.push(name.clone());
            }
        }
        observed
    }

    /// The instances that observe an upstream: those of its region, or of all where it has none,
    /// with the greatest hashes of both names. When an instance comes or goes, only the upstreams
    /// that it observes change their observers.
    fn observers(&self, l: &ListedInstance) -> impl Iterator<Item = &Name> {
        let region = region_of(&l.domain);
        let near = |o: &&Observer| region_of(&o.domain) == region;
        let any_near = self.live.iter().any(|o| near(&o));
        let candidates = self.live.iter().filter(|o| !any_near || near(o));
        let mut ranked: Vec<(u32, &Name)> = candidates
            .map(|o| (rendezvous(&o.name, &l.name), &o.name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.cfg.observers.max(1));
        ranked.into_iter().map(|(_, name)| name)
    }

    /// Takes in a report, from a poll of this instance or of a peer that confirmed it.
    fn take_report(&mut self, now: Now, report: &LoadReport) {
        let Some(u) = self.upstreams.get_mut(&report.runner) else {
            return;
        };
        if report.incarnation < u.listed().incarnation {
            return;
        }
        if report.incarnation > u.listed().incarnation {
            // It restarted, and says so before the list does.
            let mut listed = u.listed().clone();
            listed.incarnation = report.incarnation;
            listed.state = ListedState::Live;
            *u = Upstream::new(UpstreamRecord::new(listed));
        }
        u.answered_ms = Some(now.mono_ms);
        let newer = u.load.is_none_or(|l| l.number < report.number);
        if newer {
            u.load = Some(SeenLoad {
                number: report.number,
                true_ms: now.mono_ms.saturating_sub(report.age_ms),
                running: report.running,
                queued: report.queued,
                busy_token_layers_per_s: report.busy_token_layers_per_s,
            });
        }
        let profile = RunnerProfile::of(report);
        let known = u.record.profile.as_ref().is_some_and(|p| p.same(&profile));
        if newer && !known {
            u.record.profile = Some(profile);
            u.record.number = report.number.max(u.record.number + 1);
            u.hash = u.record.hash();
        }
        let (name, incarnation) = (u.listed().name.clone(), report.incarnation);
        self.reached(&name);
        if report.leaving {
            self.leaving(&name, incarnation);
        }
        self.changed.insert(name);
    }
}

fn rendezvous(instance: &str, upstream: &str) -> u32 {
    let bytes = instance.bytes().chain([0]).chain(upstream.bytes());
    // FNV-1a alone leaves names that differ in their last bytes close together: the finalizer of
    // MurmurHash3 spreads them.
    let mut h = fnv(bytes);
    h ^= h >> 16;
    h = h.wrapping_mul(0x85eb_ca6b);
    h ^= h >> 13;
    h = h.wrapping_mul(0xc2b2_ae35);
    h ^ (h >> 16)
}
