//! What the instances have in flight, as each tells the others.
//!
//! Load pattern: hundreds of instances send to the same chains and spend the same budget. Told to
//! everybody one by one, what goes round grows with the square of the fleet. So the load of one
//! instance goes round in its own failure domain, and the other domains hear the domain's sum, which
//! is all that room and budget are counted from. Either goes only to an instance whose own copy is
//! older.
//!
//! Invariants:
//! - Each load counts once: those of the own domain one by one, those of another domain in its sum.
//! - Of two loads of one instance the one that was written later counts; of two sums of one domain,
//!   the younger one. A sum travels with its age, since clocks differ.
//! - A sum is made only by a member of the domain that heard from most of the others of late.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::spending::Counts;

/// Age at which the load of an instance says nothing any more, in milliseconds.
const LOAD_AGE_MS: Millis = 3_000;

/// The same for the sum of a domain: it takes longer to arrive, and nothing else tells of so many.
const DOMAIN_AGE_MS: Millis = 6_000;

/// A sum is sent to an instance whose own copy is older by more than this, in milliseconds.
const YOUNGER_MS: Millis = 150;

/// Time after which an unchanged load is written anew, in milliseconds: well within
/// [`LOAD_AGE_MS`].
const REWRITTEN_MS: Millis = 1_000;

/// Part of a domain's other members that its sum must count.
const HEARD_SHARE: f64 = 0.75;

/// Tokens in flight through the chains that begin at one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadUse {
    /// Service.
    pub service: Name,
    /// First runner of the chains.
    pub head: Name,
    /// Tokens.
    pub tokens: u32,
}

/// Requests and further sends for one service in the budget's window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Service.
    pub service: Name,
    /// How many.
    pub counts: Counts,
}

/// What one instance has in flight, and how far it can be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Time of writing on the writer's own clock, in milliseconds: grows with each change.
    pub written_ms: u64,
    /// Whether it hears the store.
    pub hears_store: bool,
    /// Whether it serves callers: one that cannot vouch for its configuration refuses them.
    pub serves: bool,
    /// Tokens in flight.
    pub used: Vec<HeadUse>,
    /// Requests and further sends.
    pub spent: Vec<ServiceCounts>,
}

impl Load {
    fn says_the_same(&self, other: &Load) -> bool {
        let what = |l: &Load| (l.hears_store, l.serves);
        what(self) == what(other) && self.used == other.used && self.spent == other.spent
    }
}

/// What the instances of one failure domain have in flight together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainLoad {
    /// Failure domain.
    pub domain: Name,
    /// Mean age of the loads in it when this was sent, in milliseconds.
    pub age_ms: Millis,
    /// Tokens in flight.
    pub used: Vec<HeadUse>,
    /// Requests and further sends.
    pub spent: Vec<ServiceCounts>,
    /// Members that do not hear the store.
    pub without_store: BTreeSet<Name>,
    /// Members that refuse callers.
    pub refusing: BTreeSet<Name>,
}

/// The load of one instance, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Instance.
    pub name: Name,
    /// Its load.
    pub load: Load,
}

/// Which load of an instance is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLoad {
    /// Instance.
    pub name: Name,
    /// When its known load was written, by its own clock, in milliseconds.
    pub written_ms: u64,
}

/// Which sum of a domain is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownDomain {
    /// Failure domain.
    pub domain: Name,
    /// Age of the known sum, in milliseconds.
    pub age_ms: Millis,
}

/// What an instance knows already, for one that is to tell it the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Loads of its own domain.
    pub members: Vec<KnownLoad>,
    /// Sums of other domains.
    pub domains: Vec<KnownDomain>,
}

/// What one instance tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Loads of instances of the domain that both are in.
    pub members: Vec<MemberLoad>,
    /// Sums of domains.
    pub domains: Vec<DomainLoad>,
}

/// Something that was heard, and when it held.
#[derive(Clone, Debug)]
struct Heard<T> {
    what: T,
    at_ms: Millis,
}

impl<T> Heard<T> {
    /// Whether it still says something at `now`, where that lasts for `age_ms` milliseconds.
    fn is_fresh(&self, now: Millis, age_ms: Millis) -> bool {
        now < self.at_ms + age_ms
    }
}

/// All loads that one instance knows.
#[derive(Clone, Debug)]
pub struct Loads {
    name: Name,
    domain: Name,
    own: Load,
    own_written: Option<Millis>,
    members: BTreeMap<Name, Heard<Load>>,
    domains: BTreeMap<Name, Heard<DomainLoad>>,
    totals: Totals,
}

/// What all other instances have in flight, by service.
#[derive(Clone, Debug, Default)]
struct Totals {
    used: BTreeMap<Name, BTreeMap<Name, f64>>,
    spent: BTreeMap<Name, Counts>,
}

impl Totals {
    fn add(&mut self, used: &[HeadUse], spent: &[ServiceCounts]) {
        for u in used {
            let of_service = self.used.entry(u.service.clone()).or_default();
            *of_service.entry(u.head.clone()).or_default() += f64::from(u.tokens);
        }
        for s in spent {
            *self.spent.entry(s.service.clone()).or_default() += s.counts;
        }
    }

    fn head_uses(&self) -> Vec<HeadUse> {
        let mut all = Vec::new();
        for (service, heads) in &self.used {
            all.extend(heads.iter().map(|(head, tokens)| HeadUse {
                service: service.clone(),
                head: head.clone(),
                tokens: tokens.round() as u32,
            }));
        }
        all
    }

    fn service_counts(&self) -> Vec<ServiceCounts> {
        let spent = self.spent.iter();
        spent
            .map(|(service, counts)| ServiceCounts {
                service: service.clone(),
                counts: *counts,
            })
            .collect()
    }
}

impl Loads {
    /// The loads as instance `name` of `domain` knows them at its start: none.
    #[must_use]
    pub fn new(name: Name, domain: Name) -> Loads {
        Loads {
            name,
            domain,
            own: Load::default(),
            own_written: None,
            members: BTreeMap::new(),
            domains: BTreeMap::new(),
            totals: Totals::default(),
        }
    }

    /// What this instance has in flight itself at `now`. An unchanged load is not written anew at
    /// once: the others have it.
    pub fn set_own(&mut self, load: Load, now: Millis) {
        let recent = self.own_written.is_some_and(|at| now < at + REWRITTEN_MS);
        if recent && self.own.says_the_same(&load) {
            return;
        }
        self.own = load;
        self.own_written = Some(now);
    }

    /// What this instance knows at `now`, for one of the same domain (`near`) or of another.
    #[must_use]
    pub fn known(&self, near: bool, now: Millis) -> Known {
        let own = std::iter::once((&self.name, &self.own));
        let members = own.chain(self.fresh_members(now)).filter(|_| near);
        let domains = self.fresh_domains(now);
        Known {
            members: members
                .map(|(name, load)| KnownLoad {
                    name: name.clone(),
                    written_ms: load.written_ms,
                })
                .collect(),
            domains: domains
                .map(|(domain, heard)| KnownDomain {
                    domain: domain.clone(),
                    age_ms: now.saturating_sub(heard.at_ms),
                })
                .collect(),
        }
    }

    /// What this instance tells another unasked: its own load within the domain, the domain's sum
    /// elsewhere. `neighbours`: other instances of the domain that live.
    #[must_use]
    pub fn unasked(&self, near: bool, neighbours: usize, now: Millis) -> Told {
        match near {
            true => Told {
                members: vec![self.own_load()],
                domains: Vec::new(),
            },
            false => Told {
                members: Vec::new(),
                domains: self.sum(neighbours, now).into_iter().collect(),
            },
        }
    }

    /// What an instance that knows `known` lacks.
    #[must_use]
    pub fn lacking(&self, known: &Known, near: bool, neighbours: usize, now: Millis) -> Told {
        let mut told = self.unasked(near, neighbours, now);
        if near {
            told.members.extend(self.newer_members(known, now));
        }
        told.domains.extend(self.younger_domains(known, now));
        told
    }

    fn own_load(&self) -> MemberLoad {
        MemberLoad {
            name: self.name.clone(),
            load: self.own.clone(),
        }
    }

    fn newer_members(&self, known: &Known, now: Millis) -> Vec<MemberLoad> {
        let theirs = known.members.iter();
        let theirs: BTreeMap<&Name, u64> = theirs.map(|k| (&k.name, k.written_ms)).collect();
        let newer = self
            .fresh_members(now)
            .filter(|(name, load)| theirs.get(name).is_none_or(|w| *w < load.written_ms));
        newer
            .map(|(name, load)| MemberLoad {
                name: name.clone(),
                load: load.clone(),
            })
            .collect()
    }

    fn younger_domains(&self, known: &Known, now: Millis) -> Vec<DomainLoad> {
        let theirs = known.domains.iter();
        let theirs: BTreeMap<&Name, Millis> = theirs.map(|k| (&k.domain, k.age_ms)).collect();
        let mut younger = Vec::new();
        for (domain, heard) in self.fresh_domains(now) {
            let age_ms = now.saturating_sub(heard.at_ms);
            let lacks = |known: &Millis| *known > age_ms + YOUNGER_MS;
            if theirs.get(domain).is_none_or(lacks) {
                let mut sum = heard.what.clone();
                sum.age_ms = age_ms;
                younger.push(sum);
            }
        }
        younger
    }

    /// Takes in what an instance of `domain` told.
    pub fn take(&mut self, domain: &str, told: Told, now: Millis) {
        if *domain == *self.domain {
            for m in told.members {
                self.take_member(m, now);
            }
        }
        for sum in told.domains {
            self.take_domain(sum, now);
        }
        self.count(now);
    }

    fn take_member(&mut self, m: MemberLoad, now: Millis) {
        if m.name == self.name {
            return;
        }
        // One that started anew with its time of day set back writes an earlier time.
        let fresh = self.members.get(&m.name);
        let fresh = fresh.filter(|h| h.is_fresh(now, LOAD_AGE_MS));
        if fresh.is_none_or(|h| h.what.written_ms < m.load.written_ms) {
            let heard = Heard {
                what: m.load,
                at_ms: now,
            };
            self.members.insert(m.name, heard);
        }
    }

    fn take_domain(&mut self, sum: DomainLoad, now: Millis) {
        let at_ms = now.saturating_sub(sum.age_ms);
        let known = self.domains.get(&sum.domain);
        if sum.domain != self.domain && known.is_none_or(|h| h.at_ms < at_ms) {
            let domain = sum.domain.clone();
            self.domains.insert(domain, Heard { what: sum, at_ms });
        }
    }

    /// Forgets what is too old at `now` and counts the rest.
    pub fn count(&mut self, now: Millis) {
        self.members.retain(|_, h| h.is_fresh(now, LOAD_AGE_MS));
        self.domains.retain(|_, h| h.is_fresh(now, DOMAIN_AGE_MS));
        let mut totals = Totals::default();
        for h in self.members.values() {
            totals.add(&h.what.used, &h.what.spent);
        }
        for h in self.domains.values() {
            totals.add(&h.what.used, &h.what.spent);
        }
        self.totals = totals;
    }

    /// The domain's sum, if enough of its members were heard.
    fn sum(&self, neighbours: usize, now: Millis) -> Option<DomainLoad> {
        self.own_written?;
        let members = self.members.iter();
        let heard: Vec<_> = members
            .filter(|(_, h)| h.is_fresh(now, LOAD_AGE_MS))
            .collect();
        if (heard.len() as f64) < neighbours as f64 * HEARD_SHARE {
            return None;
        }
        let ages: Millis = heard.iter().map(|(_, h)| now - h.at_ms).sum();
        let mut totals = Totals::default();
        let mut without_store = BTreeSet::new();
        let mut refusing = BTreeSet::new();
        let own = std::iter::once((&self.name, &self.own));
        for (name, load) in own.chain(heard.iter().map(|(name, h)| (*name, &h.what))) {
            totals.add(&load.used, &load.spent);
            if !load.hears_store {
                without_store.insert(name.clone());
            }
            if !load.serves {
                refusing.insert(name.clone());
            }
        }
        Some(DomainLoad {
            domain: self.domain.clone(),
            age_ms: ages / (heard.len() as Millis + 1),
            used: totals.head_uses(),
            spent: totals.service_counts(),
            without_store,
            refusing,
        })
    }

    fn fresh_members(&self, now: Millis) -> impl Iterator<Item = (&Name, &Load)> {
        let fresh = self.members.iter();
        let fresh = fresh.filter(move |(_, h)| h.is_fresh(now, LOAD_AGE_MS));
        fresh.map(|(name, h)| (name, &h.what))
    }

    fn fresh_domains(&self, now: Millis) -> impl Iterator<Item = (&Name, &Heard<DomainLoad>)> {
        let all = self.domains.iter();
        all.filter(move |(_, h)| h.is_fresh(now, DOMAIN_AGE_MS))
    }

    /// Tokens that the others have in flight through chains of `service` that begin at `head`, as
    /// last counted.
    #[must_use]
    pub fn used(&self, service: &str, head: &str) -> f64 {
        let of_service = self.totals.used.get(service);
        let used = of_service.and_then(|heads| heads.get(head));
        used.copied().unwrap_or(0.0)
    }

    /// Requests and further sends of the others for a service, as last counted.
    #[must_use]
    pub fn spent(&self, service: &str) -> Counts {
        self.totals.spent.get(service).copied().unwrap_or_default()
    }

    /// Whether another instance said of late that it hears the store.
    #[must_use]
    pub fn hears_store(&self, name: &str, domain: &str, now: Millis) -> bool {
        match *domain == *self.domain {
            true => self.member(name, now).is_some_and(|l| l.hears_store),
            false => {
                let sum = self.domain_sum(domain, now);
                sum.is_some_and(|s| !s.without_store.contains(name))
            }
        }
    }

    /// Whether another instance said of late that it serves no callers.
    #[must_use]
    pub fn refuses(&self, name: &str, domain: &str, now: Millis) -> bool {
        match *domain == *self.domain {
            true => self.member(name, now).is_some_and(|l| !l.serves),
            false => {
                let sum = self.domain_sum(domain, now);
                sum.is_some_and(|s| s.refusing.contains(name))
            }
        }
    }

    fn member(&self, name: &str, now: Millis) -> Option<&Load> {
        let heard = self.members.get(name);
        let fresh = heard.filter(|h| h.is_fresh(now, LOAD_AGE_MS));
        fresh.map(|h| &h.what)
    }

    fn domain_sum(&self, domain: &str, now: Millis) -> Option<&DomainLoad> {
        let heard = self.domains.get(domain);
        let fresh = heard.filter(|h| h.is_fresh(now, DOMAIN_AGE_MS));
        fresh.map(|h| &h.what)
    }
}
