//! Gossip of the requests in flight and the retries spent by each instance.
//!
//! Load pattern: hundreds of instances send to the same chains and share one retry budget. If each
//! load were sent to every instance, the traffic would grow with the square of the fleet. So the load
//! of a single instance is gossiped within its failure domain only, and other domains receive the sum
//! over the domain, which is all that room and budget are computed from. Both are sent only to an
//! instance whose copy is older.
//!
//! Invariants:
//! - Each load counts once: single loads within the own domain, the sum for every other domain.
//! - Of two loads of an instance the one written later counts; of two sums of a domain, the younger
//!   one. A sum is sent with its age instead of a timestamp, since clocks differ.
//! - Only a member of the domain that has recent loads of most other members computes a sum.
//! - Retries count until they leave the window of the retry budget, also if their instance ends or
//!   restarts before that.

mod former;

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

use self::former::FormerLifetimes;
use crate::prelude::*;
use crate::relay::contention::FleetFlow;
use crate::relay::contention::flow_meter::{ServiceFlow, add_flows};
use crate::relay::rendezvous::rank;
use crate::relay::shared_retry_budget::RetryCounts;

/// Maximum age of the load of an instance, in milliseconds.
const MAX_LOAD_AGE_MS: Millis = 3_000;

/// Maximum age of the sum of a domain, in milliseconds. It is longer than that of a load: a sum takes
/// longer to arrive, and its loss would remove the load of a whole domain.
const MAX_SUM_AGE_MS: Millis = 6_000;

/// Minimum difference of age at which a sum is sent to an instance with an older copy, in
/// milliseconds.
const MIN_SUM_AGE_DIFF_MS: Millis = 150;

/// Time after which an unchanged load is written again, in milliseconds; well below
/// [`MAX_LOAD_AGE_MS`].
const REWRITE_AFTER_MS: Millis = 1_000;

/// Minimum share of a domain's other members whose loads a sum must include.
const MIN_HEARD_SHARE: f64 = 0.75;

/// Tokens in flight through the chains with the same first runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadUse {
    /// Service.
    pub service: Name,
    /// First runner of the chains.
    pub head: Name,
    /// Tokens.
    pub tokens: u32,
}

/// Requests and retries for one service in the window of the retry budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Service.
    pub service: Name,
    /// Counts.
    pub counts: RetryCounts,
}

/// The load of one instance, and whether it hears the store and serves callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Time of writing by the writer's clock, in milliseconds; increases with each change.
    pub written_ms: u64,
    /// Whether it receives updates of the store.
    pub hears_store: bool,
    /// Whether it serves callers; without a confirmed configuration it refuses them.
    pub serves: bool,
    /// Tokens in flight.
    pub used: Vec<HeadUse>,
    /// Requests and retries.
    pub spent: Vec<ServiceCounts>,
    /// Demand and flow of the services that contention control applies to.
    #[serde(default)]
    pub flows: Vec<ServiceFlow>,
    /// Start of the writer's lifetime by its clock, in milliseconds.
    #[serde(default)]
    pub started_ms: u64,
}

impl Load {
    /// Returns whether two loads are equal except for the time of writing.
    fn same_content(&self, other: &Load) -> bool {
        let flags = |l: &Load| (l.hears_store, l.serves);
        let same_figures = self.used == other.used && self.spent == other.spent;
        flags(self) == flags(other) && same_figures && self.flows == other.flows
    }
}

/// The sum of the loads of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainLoad {
    /// Failure domain.
    pub domain: Name,
    /// Mean age of the included loads at the time of sending, in milliseconds.
    pub age_ms: Millis,
    /// Tokens in flight.
    pub used: Vec<HeadUse>,
    /// Requests and retries.
    pub spent: Vec<ServiceCounts>,
    /// Members that receive no updates of the store.
    pub without_store: BTreeSet<Name>,
    /// Members that refuse callers.
    pub refusing: BTreeSet<Name>,
    /// Demand and flow of the services that contention control applies to.
    #[serde(default)]
    pub flows: Vec<ServiceFlow>,
    /// How long the instance that computed the sum had been running, in milliseconds, when the included loads
    /// were written. It does not know the lifetimes that ended before it started.
    #[serde(default)]
    pub sender_up_ms: Millis,
}

/// The load of one instance in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Instance.
    pub name: Name,
    /// Load.
    pub load: Load,
    /// Age of the load at the time of sending, in milliseconds. A load passes through several
    /// instances; the interval that contention control needs begins when it was written.
    #[serde(default)]
    pub age_ms: Millis,
}

/// The version of an instance's load that the sender has; an array of two numbers on the wire.
///
/// It takes ten bytes, since a digest has one for each instance of a failure domain. If the keys of two
/// instances are the same, one of them is known by its own messages only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct LoadVersion {
    /// Hash of the instance's name.
    key: u32,
    /// Low bits of the time of writing by the clock of that instance, in milliseconds.
    written: u32,
}

impl LoadVersion {
    fn of(name: &str, load: &Load) -> LoadVersion {
        LoadVersion {
            key: rank(name) as u32,
            written: load.written_ms as u32,
        }
    }

    /// Returns whether `load` was written later, within the time in which the low bits are unique.
    fn is_older_than(self, load: &Load) -> bool {
        (load.written_ms as u32).wrapping_sub(self.written) as i32 > 0
    }
}

/// The age of a domain's sum that the sender has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumAge {
    /// Failure domain.
    pub domain: Name,
    /// Age of the sum, in milliseconds.
    pub age_ms: Millis,
}

/// Anti-entropy digest: the versions of loads and sums that an instance has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Loads within its own domain.
    pub members: Vec<LoadVersion>,
    /// Sums of other domains.
    pub domains: Vec<SumAge>,
}

/// Loads and sums that one instance sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Loads within the failure domain of sender and receiver, if it is the same.
    pub members: Vec<MemberLoad>,
    /// Sums of domains.
    pub domains: Vec<DomainLoad>,
}

/// A received value with the time as of which it is valid.
#[derive(Clone, Debug)]
struct Received<T> {
    value: T,
    as_of_ms: Millis,
    /// Age that it had when it was received, in milliseconds, where that is not in `as_of_ms`.
    relayed_ms: Millis,
}

impl<T> Received<T> {
    /// Returns whether the value is younger than `max_age_ms` milliseconds at `now`.
    fn is_fresh(&self, now: Millis, max_age_ms: Millis) -> bool {
        now < self.as_of_ms + max_age_ms
    }

    /// Returns the time since the value was written, in milliseconds.
    fn age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.as_of_ms) + self.relayed_ms
    }
}

impl Received<Load> {
    /// Returns when the lifetime of the writer began, in milliseconds.
    fn lifetime_began_ms(&self) -> Millis {
        let up_ms = self.value.written_ms.saturating_sub(self.value.started_ms);
        self.as_of_ms.saturating_sub(up_ms + self.relayed_ms)
    }
}

impl Received<DomainLoad> {
    /// Returns when the instance that computed the sum started, in milliseconds.
    fn sender_started_ms(&self) -> Millis {
        self.as_of_ms.saturating_sub(self.value.sender_up_ms)
    }
}

/// Maximum number of members of the own domain whose loads are kept, several times those of a large fleet.
pub const MAX_MEMBERS: usize = 2_048;

/// Maximum number of other domains whose loads are kept.
pub const MAX_DOMAINS: usize = 256;

/// All loads known to one instance.
#[derive(Clone, Debug)]
pub struct LoadTable {
    name: Name,
    domain: Name,
    own: Load,
    own_written: Option<Millis>,
    members: BTreeMap<Name, Received<Load>>,
    domains: BTreeMap<Name, Received<DomainLoad>>,
    /// Requests and retries of all other instances that are heard, kept with each change.
    spent: BTreeMap<Name, RetryCounts>,
    former: FormerLifetimes,
    /// When this instance started, in milliseconds.
    started_ms: Millis,
    /// Tokens in flight of all other instances, by service and first runner. Requests are rarer than
    /// exchanges, so it is computed for the first one after a change.
    used: OnceCell<HeadTotals>,
}

type HeadTotals = BTreeMap<Name, BTreeMap<Name, f64>>;

fn add_uses(totals: &mut HeadTotals, used: &[HeadUse]) {
    for u in used {
        let of_service = totals.entry(u.service.clone()).or_default();
        *of_service.entry(u.head.clone()).or_default() += f64::from(u.tokens);
    }
}

fn add_counts(totals: &mut BTreeMap<Name, RetryCounts>, spent: &[ServiceCounts]) {
    for s in spent {
        *totals.entry(s.service.clone()).or_default() += s.counts;
    }
}

fn subtract_counts(totals: &mut BTreeMap<Name, RetryCounts>, spent: &[ServiceCounts]) {
    for s in spent {
        let Some(counts) = totals.get_mut(&s.service) else {
            continue;
        };
        *counts -= s.counts;
        if *counts == RetryCounts::default() {
            totals.remove(&s.service);
        }
    }
}

fn head_uses(totals: &HeadTotals) -> Vec<HeadUse> {
    let mut all = Vec::new();
    for (service, heads) in totals {
        all.extend(heads.iter().map(|(head, tokens)| HeadUse {
            service: service.clone(),
            head: head.clone(),
            tokens: tokens.round() as u32,
        }));
    }
    all
}

fn flow_of<'a>(flows: &'a [ServiceFlow], service: &str) -> Option<&'a ServiceFlow> {
    flows.iter().find(|f| *f.service == *service)
}

/// Returns the flows of a domain as they are sent to others.
fn into_sums(flows: BTreeMap<Name, ServiceFlow>) -> Vec<ServiceFlow> {
    let mut sums: Vec<ServiceFlow> = flows.into_values().collect();
    sums.iter_mut().for_each(ServiceFlow::truncate);
    sums
}

fn service_counts(totals: &BTreeMap<Name, RetryCounts>) -> Vec<ServiceCounts> {
    let spent = totals.iter();
    spent
        .map(|(service, counts)| ServiceCounts {
            service: service.clone(),
            counts: *counts,
        })
        .collect()
}

impl LoadTable {
    /// Returns an empty table for instance `name` in `domain`.
    #[must_use]
    pub fn new(name: Name, domain: Name) -> LoadTable {
        LoadTable {
            name,
            domain,
            own: Load::default(),
            own_written: None,
            members: BTreeMap::new(),
            domains: BTreeMap::new(),
            spent: BTreeMap::new(),
            former: FormerLifetimes::default(),
            started_ms: 0,
            used: OnceCell::new(),
        }
    }

    /// Returns the table of an instance that started at `started_ms` and shares a retry budget with a
    /// window of `window_ms` milliseconds.
    #[must_use]
    pub fn with_retry_window(mut self, started_ms: Millis, window_ms: Millis) -> Self {
        self.started_ms = started_ms;
        self.former = FormerLifetimes::new(started_ms, window_ms);
        self
    }

    /// Sets the load of this instance at `now`. An unchanged load is written again only after
    /// [`REWRITE_AFTER_MS`], since the other instances have it.
    pub fn set_own(&mut self, load: Load, now: Millis) {
        let recent = self
            .own_written
            .is_some_and(|at| now < at + REWRITE_AFTER_MS);
        if recent && self.own.same_content(&load) {
            return;
        }
        self.own = load;
        self.own_written = Some(now);
    }

    /// Returns the digest at `now` for an instance of the same domain (`near`) or of another.
    #[must_use]
    pub fn digest(&self, near: bool, now: Millis) -> LoadDigest {
        let own = std::iter::once((&self.name, &self.own));
        let members = own.chain(self.fresh_members(now)).filter(|_| near);
        let domains = self.fresh_domains(now);
        LoadDigest {
            members: members
                .map(|(name, load)| LoadVersion::of(name, load))
                .collect(),
            domains: domains
                .map(|(domain, received)| SumAge {
                    domain: domain.clone(),
                    age_ms: now.saturating_sub(received.as_of_ms),
                })
                .collect(),
        }
    }

    /// Returns what this instance pushes without having a digest: its own load within its domain,
    /// the domain's sum to another. `neighbours` is the number of other live instances of its domain.
    #[must_use]
    pub fn push_update(&self, near: bool, neighbours: usize, now: Millis) -> LoadUpdate {
        match near {
            true => LoadUpdate {
                members: vec![self.own_load()],
                domains: Vec::new(),
            },
            false => LoadUpdate {
                members: Vec::new(),
                domains: self.sum(neighbours, now).into_iter().collect(),
            },
        }
    }

    /// Returns what an instance with the digest `known` lacks.
    #[must_use]
    pub fn update_for(
        &self,
        known: &LoadDigest,
        near: bool,
        neighbours: usize,
        now: Millis,
    ) -> LoadUpdate {
        let mut update = self.push_update(near, neighbours, now);
        if near {
            update.members.extend(self.newer_members(known, now));
        }
        update.domains.extend(self.younger_domains(known, now));
        update
    }

    fn own_load(&self) -> MemberLoad {
        MemberLoad {
            name: self.name.clone(),
            load: self.own.clone(),
            age_ms: 0,
        }
    }

    fn newer_members(&self, known: &LoadDigest, now: Millis) -> Vec<MemberLoad> {
        let theirs: BTreeMap<u32, LoadVersion> =
            known.members.iter().map(|v| (v.key, *v)).collect();
        let members = self.members.iter();
        let newer = members.filter(|(name, r)| {
            let known = theirs.get(&LoadVersion::of(name, &r.value).key);
            let lacks = known.is_none_or(|v| v.is_older_than(&r.value));
            lacks && r.is_fresh(now, MAX_LOAD_AGE_MS)
        });
        newer
            .map(|(name, r)| MemberLoad {
                name: name.clone(),
                load: r.value.clone(),
                age_ms: r.age_ms(now),
            })
            .collect()
    }

    fn younger_domains(&self, known: &LoadDigest, now: Millis) -> Vec<DomainLoad> {
        let theirs = known.domains.iter();
        let theirs: BTreeMap<&Name, Millis> = theirs.map(|k| (&k.domain, k.age_ms)).collect();
        let mut younger = Vec::new();
        for (domain, received) in self.fresh_domains(now) {
            let age_ms = now.saturating_sub(received.as_of_ms);
            let lacks = |known: &Millis| *known > age_ms + MIN_SUM_AGE_DIFF_MS;
            if theirs.get(domain).is_none_or(lacks) {
                let mut sum = received.value.clone();
                sum.age_ms = age_ms;
                younger.push(sum);
            }
        }
        younger
    }

    /// Applies an update from an instance of `domain`.
    pub fn apply(&mut self, domain: &str, update: LoadUpdate, now: Millis) {
        if *domain == *self.domain {
            for m in update.members {
                self.apply_member(m, now);
            }
        }
        for sum in update.domains {
            self.apply_domain(sum, now);
        }
        self.expire(now);
    }

    fn apply_member(&mut self, m: MemberLoad, now: Millis) {
        let is_full = self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&m.name);
        if m.name == self.name || is_full {
            return;
        }
        // An instance that restarts with its clock set back writes earlier times, so a stale load
        // is replaced whatever its time of writing.
        let fresh = self.members.get(&m.name);
        let fresh = fresh.filter(|r| r.is_fresh(now, MAX_LOAD_AGE_MS));
        if fresh.is_none_or(|r| r.value.written_ms < m.load.written_ms) {
            add_counts(&mut self.spent, &m.load.spent);
            self.former.member_returned(&m.name, &m.load);
            let started_ms = m.load.started_ms;
            let received = Received {
                value: m.load,
                as_of_ms: now,
                relayed_ms: m.age_ms,
            };
            if let Some(before) = self.members.insert(m.name.clone(), received) {
                subtract_counts(&mut self.spent, &before.value.spent);
                if before.value.started_ms != started_ms {
                    self.former.member_ended(&m.name, &before);
                }
            }
            self.used.take();
        }
    }

    fn apply_domain(&mut self, sum: DomainLoad, now: Millis) {
        let as_of_ms = now.saturating_sub(sum.age_ms);
        if sum.domain == self.domain {
            self.former.own_sum(&sum.spent, as_of_ms);
            return;
        }
        let before = self.domains.get(&sum.domain);
        if before.is_none() && self.domains.len() >= MAX_DOMAINS {
            return;
        }
        if before.is_none_or(|r| r.as_of_ms < as_of_ms) {
            add_counts(&mut self.spent, &sum.spent);
            let domain = sum.domain.clone();
            let received = Received {
                value: sum,
                as_of_ms,
                relayed_ms: 0,
            };
            self.former.sum_replaced(&received, before, now);
            if let Some(before) = self.domains.insert(domain, received) {
                subtract_counts(&mut self.spent, &before.value.spent);
            }
            self.used.take();
        }
    }

    /// Drops what is too old at `now`.
    pub fn expire(&mut self, now: Millis) {
        let stale = |_: &Name, r: &mut Received<Load>| !r.is_fresh(now, MAX_LOAD_AGE_MS);
        for (name, r) in self.members.extract_if(.., stale) {
            subtract_counts(&mut self.spent, &r.value.spent);
            self.former.member_ended(&name, &r);
            self.used.take();
        }
        let stale = |_: &Name, r: &mut Received<DomainLoad>| !r.is_fresh(now, MAX_SUM_AGE_MS);
        for (domain, r) in self.domains.extract_if(.., stale) {
            subtract_counts(&mut self.spent, &r.value.spent);
            self.former.sum_ended(&domain, &r);
            self.used.take();
        }
        self.former.expire(now);
    }

    fn head_totals(&self) -> HeadTotals {
        let mut totals = HeadTotals::new();
        for r in self.members.values() {
            add_uses(&mut totals, &r.value.used);
        }
        for r in self.domains.values() {
            add_uses(&mut totals, &r.value.used);
        }
        totals
    }

    /// Returns the sum over the own domain, if recent loads of enough members are known.
    fn sum(&self, neighbours: usize, now: Millis) -> Option<DomainLoad> {
        self.own_written?;
        let members = self.members.iter();
        let received: Vec<_> = members
            .filter(|(_, r)| r.is_fresh(now, MAX_LOAD_AGE_MS))
            .collect();
        if (received.len() as f64) < neighbours as f64 * MIN_HEARD_SHARE {
            return None;
        }
        let ages: Millis = received.iter().map(|(_, r)| now - r.as_of_ms).sum();
        let age_ms = ages / (received.len() as Millis + 1);
        let mut used = HeadTotals::new();
        let mut spent = BTreeMap::new();
        let mut without_store = BTreeSet::new();
        let mut refusing = BTreeSet::new();
        let mut flows = BTreeMap::new();
        let own = std::iter::once((&self.name, &self.own));
        for (name, load) in own.chain(received.iter().map(|(name, r)| (*name, &r.value))) {
            add_uses(&mut used, &load.used);
            add_counts(&mut spent, &load.spent);
            add_flows(&mut flows, &load.flows);
            if !load.hears_store {
                without_store.insert(name.clone());
            }
            if !load.serves {
                refusing.insert(name.clone());
            }
        }
        self.former.add_members(&mut spent, now);
        let missing = self.former.missing_in_members(&self.members, now);
        add_counts(&mut spent, &missing);
        Some(DomainLoad {
            domain: self.domain.clone(),
            age_ms,
            used: head_uses(&used),
            spent: service_counts(&spent),
            without_store,
            refusing,
            flows: into_sums(flows),
            sender_up_ms: now.saturating_sub(self.started_ms + age_ms),
        })
    }

    /// Returns demand and flow of a service over all instances, with the figures `own` of this one.
    /// `neighbours` is the number of other live instances of its domain.
    #[must_use]
    pub fn fleet_flow(&self, own: ServiceFlow, neighbours: usize, now: Millis) -> FleetFlow {
        let service = own.service.clone();
        let mut sum = own;
        let (mut known, mut age_ms) = (0, 0);
        let members = self.members.values();
        for received in members.filter(|r| r.is_fresh(now, MAX_LOAD_AGE_MS)) {
            if let Some(flow) = flow_of(&received.value.flows, &service) {
                sum.add(flow);
            }
            known += 1;
            age_ms += received.age_ms(now);
        }
        let mut ages_ms = vec![age_ms / (known as Millis).max(1)];
        let mut domains = BTreeMap::from([(self.domain.clone(), sum)]);
        for (domain, received) in self.fresh_domains(now) {
            let flow = flow_of(&received.value.flows, &service);
            domains.insert(domain.clone(), flow.cloned().unwrap_or_default());
            ages_ms.push(now - received.as_of_ms);
        }
        FleetFlow {
            own_domain: self.domain.clone(),
            domains,
            age_ms: ages_ms.iter().sum::<Millis>() / ages_ms.len() as Millis,
            known_share: (known + 1) as f64 / (neighbours + 1) as f64,
        }
    }

    fn fresh_members(&self, now: Millis) -> impl Iterator<Item = (&Name, &Load)> {
        let fresh = self.members.iter();
        let fresh = fresh.filter(move |(_, r)| r.is_fresh(now, MAX_LOAD_AGE_MS));
        fresh.map(|(name, r)| (name, &r.value))
    }

    fn fresh_domains(&self, now: Millis) -> impl Iterator<Item = (&Name, &Received<DomainLoad>)> {
        let all = self.domains.iter();
        all.filter(move |(_, r)| r.is_fresh(now, MAX_SUM_AGE_MS))
    }

    /// Returns the tokens that other instances have in flight through chains of `service` that begin
    /// at `head`.
    #[must_use]
    pub fn used_tokens(&self, service: &str, head: &str) -> f64 {
        let used = self.used_tokens_by_head(service);
        used.get(head).copied().unwrap_or(0.0)
    }

    /// Returns the tokens that other instances have in flight through chains of `service`, by first
    /// runner.
    #[must_use]
    pub fn used_tokens_by_head(&self, service: &str) -> &BTreeMap<Name, f64> {
        static NONE: BTreeMap<Name, f64> = BTreeMap::new();
        let totals = self.used.get_or_init(|| self.head_totals());
        totals.get(service).unwrap_or(&NONE)
    }

    /// Returns the requests and retries of other instances for a service, with the retries of instances
    /// that ended within the window of the retry budget.
    #[must_use]
    pub fn retry_counts(&self, service: &str, now: Millis) -> RetryCounts {
        let mut counts = self.spent.get(service).copied().unwrap_or_default();
        counts += self.former.members_counts(service, now);
        counts += self.former.missing_in_sums(service, &self.domains, now);
        let missing = self.former.missing_in_members(&self.members, now);
        let missing = missing.iter().find(|s| *s.service == *service);
        counts += missing.map(|s| s.counts).unwrap_or_default();
        counts
    }

    /// Returns the retries of the former lifetimes of an instance of the own domain, by service. `None` if
    /// the instance has run for a whole window of the retry budget, or this one has not, so that it cannot
    /// know.
    #[must_use]
    pub fn former_counts(&self, name: &str, now: Millis) -> Option<Vec<ServiceCounts>> {
        let received = self.members.get(name)?;
        let is_new = !self
            .former
            .is_whole_window(received.lifetime_began_ms(), now);
        let knows = self.former.is_whole_window(self.started_ms, now);
        (is_new && knows).then(|| self.former.of_instance(name))
    }

    /// Returns whether another instance recently reported that it receives updates of the store.
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

    /// Returns whether another instance recently reported that it refuses callers.
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
        let received = self.members.get(name);
        let fresh = received.filter(|r| r.is_fresh(now, MAX_LOAD_AGE_MS));
        fresh.map(|r| &r.value)
    }

    fn domain_sum(&self, domain: &str, now: Millis) -> Option<&DomainLoad> {
        let received = self.domains.get(domain);
        let fresh = received.filter(|r| r.is_fresh(now, MAX_SUM_AGE_MS));
        fresh.map(|r| &r.value)
    }
}
