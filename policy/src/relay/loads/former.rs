//! Retries of instances that ended, kept until they leave the window of the retry budget.
//!
//! An instance that restarts has spent nothing. What its former lifetime spent is still in the window, so the
//! others must not lend it, nor spend again what it had borrowed of them.
//!
//! Within a failure domain, the last load of each ended lifetime is known. Of another domain only a sum is
//! known. An instance that ran before a restart includes the ended lifetimes in its sums; one that started
//! later does not know them. So the last sum of an older sender is the lower bound of what the domain spent,
//! until a sender that is as old computes a sum, or the window has passed.

use std::collections::BTreeMap;

use super::{DomainLoad, Load, Received, ServiceCounts, add_counts, service_counts};
use crate::prelude::*;
use crate::relay::shared_retry_budget::{LEAD_MS, RetryCounts};

/// Name of an instance, and when its lifetime began by its own clock.
type Lifetime = (Name, u64);

/// Requests and retries up to a point in time.
#[derive(Clone, Debug)]
struct Spent {
    /// Counts of the instances as they were heard last.
    counts: Vec<ServiceCounts>,
    as_of_ms: Millis,
    /// Start of the instance that computed them, in milliseconds.
    sender_started_ms: Millis,
}

impl Spent {
    fn of(spent: &[ServiceCounts], as_of_ms: Millis, sender_started_ms: Millis) -> Spent {
        let counts = spent.iter().filter(|s| s.counts.repeats > 0);
        Spent {
            counts: counts.cloned().collect(),
            as_of_ms,
            sender_started_ms,
        }
    }

    /// Returns the share of the requests that has not left a window of `window_ms` milliseconds [`LEAD_MS`]
    /// after `now`, if they arrived evenly.
    fn requests_left(&self, window_ms: Millis, now: Millis) -> f64 {
        let age_ms = (now + LEAD_MS).saturating_sub(self.as_of_ms);
        1.0 - (age_ms as f64 / window_ms.max(1) as f64).min(1.0)
    }
}

fn counts_for(spent: &[ServiceCounts], service: &str) -> RetryCounts {
    let mut counts = RetryCounts::default();
    for s in spent.iter().filter(|s| *s.service == *service) {
        counts += s.counts;
    }
    counts
}

/// Retries of ended lifetimes.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerLifetimes {
    /// Length of the budget's window, in milliseconds.
    window_ms: Millis,
    /// When this instance started, in milliseconds.
    started_ms: Millis,
    /// Ended lifetimes of the own domain.
    members: BTreeMap<Lifetime, Spent>,
    /// Lower bounds for other domains.
    domains: BTreeMap<Name, Spent>,
    /// The last sum of the own domain before this instance started.
    own_domain: Option<Spent>,
}

impl FormerLifetimes {
    pub(super) fn new(started_ms: Millis, window_ms: Millis) -> Self {
        FormerLifetimes {
            window_ms,
            started_ms,
            ..FormerLifetimes::default()
        }
    }

    /// Records that the lifetime that wrote `last` is no longer heard.
    pub(super) fn member_ended(&mut self, name: &Name, last: &Received<Load>) {
        let began_ms = last.lifetime_began_ms();
        let spent = Spent::of(&last.value.spent, last.as_of_ms, began_ms);
        if spent.counts.is_empty() || self.window_ms == 0 {
            return;
        }
        let lifetime = (name.clone(), last.value.started_ms);
        self.members.insert(lifetime, spent);
    }

    /// Records that a lifetime is heard again, so that its own load counts.
    pub(super) fn member_returned(&mut self, name: &Name, load: &Load) {
        self.members.remove(&(name.clone(), load.started_ms));
    }

    /// Records that the sum `last` of another domain is not renewed.
    pub(super) fn sum_ended(&mut self, domain: &Name, last: &Received<DomainLoad>) {
        let sender_started_ms = last.sender_started_ms();
        let bound = self.domains.entry(domain.clone());
        bound.or_insert_with(|| Spent::of(&last.value.spent, last.as_of_ms, sender_started_ms));
    }

    /// Records at `now` that the sum `new` of another domain replaces `before`.
    pub(super) fn sum_replaced(
        &mut self,
        new: &Received<DomainLoad>,
        before: Option<&Received<DomainLoad>>,
        now: Millis,
    ) {
        let domain = &new.value.domain;
        let sender_started_ms = new.sender_started_ms();
        let knows_window = self.is_whole_window(sender_started_ms, now);
        let knows_since = |started_ms: Millis| knows_window || sender_started_ms <= started_ms;
        if let Some(bound) = self.domains.get(domain) {
            if knows_since(bound.sender_started_ms) {
                self.domains.remove(domain);
            }
            return;
        }
        if let Some(before) = before.filter(|b| !knows_since(b.sender_started_ms())) {
            self.sum_ended(domain, before);
        }
    }

    /// Records a sum of the own domain, which an instance of another one relays.
    pub(super) fn own_sum(&mut self, spent: &[ServiceCounts], as_of_ms: Millis) {
        let newest = self.own_domain.as_ref().map_or(0, |b| b.as_of_ms);
        if as_of_ms < self.started_ms && newest <= as_of_ms {
            self.own_domain = Some(Spent::of(spent, as_of_ms, 0));
        }
    }

    /// Returns whether a lifetime that began at `began_ms` has lasted for a whole window.
    pub(super) fn is_whole_window(&self, began_ms: Millis, now: Millis) -> bool {
        now > began_ms + self.window_ms
    }

    /// Drops what has left the window at `now`.
    pub(super) fn expire(&mut self, now: Millis) {
        let window_ms = self.window_ms;
        let has_left = |b: &Spent| now > b.as_of_ms + window_ms;
        self.members.retain(|_, b| !has_left(b));
        self.domains.retain(|_, b| !has_left(b));
        self.own_domain.take_if(|b| has_left(b));
    }

    /// Adds the counts of the ended lifetimes of the own domain that are known one by one to `totals`.
    pub(super) fn add_members(&self, totals: &mut BTreeMap<Name, RetryCounts>, now: Millis) {
        for spent in self.members.values() {
            let left = spent.requests_left(self.window_ms, now);
            for s in &spent.counts {
                *totals.entry(s.service.clone()).or_default() += s.counts.of_ended(left);
            }
        }
    }

    /// Returns the counts of the ended lifetimes of the own domain that are known one by one.
    pub(super) fn members_counts(&self, service: &str, now: Millis) -> RetryCounts {
        let mut counts = RetryCounts::default();
        for spent in self.members.values() {
            let left = spent.requests_left(self.window_ms, now);
            counts += counts_for(&spent.counts, service).of_ended(left);
        }
        counts
    }

    /// Returns the retries of the former lifetimes of an instance of the own domain, by service.
    pub(super) fn of_instance(&self, name: &str) -> Vec<ServiceCounts> {
        let mut totals = BTreeMap::new();
        for ((member, _), spent) in &self.members {
            if **member == *name {
                add_counts(&mut totals, &spent.counts);
            }
        }
        service_counts(&totals)
    }

    /// Returns what instances of other domains spent beyond what their present sums say.
    pub(super) fn missing_in_sums(
        &self,
        service: &str,
        sums: &BTreeMap<Name, Received<DomainLoad>>,
        now: Millis,
    ) -> RetryCounts {
        let mut missing = RetryCounts::default();
        for (domain, bound) in &self.domains {
            let left = bound.requests_left(self.window_ms, now);
            let mut counts = counts_for(&bound.counts, service).of_ended(left);
            if let Some(present) = sums.get(domain) {
                // Its requests are those of lifetimes that have a part for them.
                counts -= counts_for(&present.value.spent, service).of_ended(0.0);
            }
            missing += counts;
        }
        missing
    }

    /// Returns what ended lifetimes of the own domain spent that no member of it remembers: what the last
    /// sum before the start of this instance has beyond `members` that ran already.
    pub(super) fn missing_in_members(
        &self,
        members: &BTreeMap<Name, Received<Load>>,
        now: Millis,
    ) -> Vec<ServiceCounts> {
        let Some(bound) = &self.own_domain else {
            return Vec::new();
        };
        let left = bound.requests_left(self.window_ms, now);
        let mut missing = bound.counts.clone();
        for s in &mut missing {
            s.counts = s.counts.of_ended(left);
            let ran = members
                .values()
                .filter(|r| r.lifetime_began_ms() <= bound.as_of_ms);
            for r in ran {
                s.counts -= counts_for(&r.value.spent, &s.service).of_ended(left);
            }
        }
        missing
    }
}
