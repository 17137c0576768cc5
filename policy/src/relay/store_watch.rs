//! Scaling of an instance's store traffic with the size of the fleet.
//!
//! Every call to the store counts, including a waiting watch, and the call rate the store can take
//! grows more slowly than the fleet. A watch is a long poll and delivers a change at once, however
//! long it may wait. It has to end often for another reason: a watch whose connection fell silent
//! hides changes, while a response, even an empty one, shows that nothing was missed. For that it
//! suffices that *some* instance's watch ended a moment ago, as long as the others learn what it
//! saw. Watch timeouts therefore grow with the number of instances, so that the whole fleet ends as
//! many watches per second as [`BASE_INSTANCES`] instances do. Instances gossip which configuration
//! version they have, up to which revision they know the runners, and which runners are draining.
//!
//! Entries of runners change in bursts, and each change ends every watch on them. Only
//! [`BASE_INSTANCES`] instances therefore watch the runners and notify the others of changes with a
//! [`ChangeBatch`] from one revision to another, which any instance that knows the first revision
//! applies without a call. Within a failure domain a batch goes along a [`RelayTree`]. The watchers are
//! derived from the live instances that reach the store, the strongest first; when one is lost, the
//! next takes its place. In the same way two instances of each failure domain
//! confirm the configuration for the domain ([`ConfirmScope`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::rendezvous::{Candidate, is_among_first, rank_for};
use crate::relay::revision::Revision;
use crate::relay::runners::RunnerEntry;

/// Number of instances whose call rate to the store the whole fleet keeps to.
const BASE_INSTANCES: usize = 6;

/// Maximum of a scaled interval, in milliseconds; the store allows watches of thirty seconds.
const MAX_INTERVAL_MS: Millis = 28_000;

/// Instances of a failure domain that read the configuration for its other members as well.
const CONFIRMERS_PER_DOMAIN: usize = 2;

/// Age of the confirmation at which the confirmers of a domain read the configuration, in
/// milliseconds.
const CONFIRM_MS: Millis = 1_400;

/// Age at which the other instances read it, in milliseconds. A confirmation by a confirmer reaches
/// every instance about a second after the read.
const CONFIRM_FALLBACK_MS: Millis = 2_700;

/// Age at which every instance reads it, in milliseconds: well before it has to refuse API keys.
const CONFIRM_DEADLINE_MS: Millis = 3_200;

/// Maximum jitter added to the age at which an instance reads: the first reader saves the others
/// the call if its result has time to reach them.
const CONFIRM_JITTER_MS: f64 = 600.0;

/// Returns `base` milliseconds scaled with the number of instances, so that the fleet as a whole
/// makes no more calls than [`BASE_INSTANCES`] instances with the unscaled interval.
#[must_use]
pub fn scaled_interval_ms(base: Millis, instances: usize) -> Millis {
    let factor = (instances as f64 / BASE_INSTANCES as f64).max(1.0);
    ((base as f64 * factor) as Millis).min(MAX_INTERVAL_MS)
}

/// Time within which changes of the configuration are coalesced into one call, for up to
/// [`BASE_INSTANCES`] instances, in milliseconds. It grows with the fleet.
const DEBOUNCE_MS: f64 = 20.0;

/// Maximum of the scaled debounce time, in milliseconds.
const MAX_DEBOUNCE_MS: f64 = 1_000.0;

/// Returns how long an instance waits after a change of the configuration before it watches for the
/// next.
///
/// Load pattern: configurations follow each other quickly, three a second. Each of them ends the
/// watch of every instance, and hundreds of instances call the store for it, although the
/// configuration in force a second later is the same with fewer calls.
#[must_use]
pub fn debounce_ms(instances: usize) -> Millis {
    let factor = (instances as f64 / BASE_INSTANCES as f64).max(1.0);
    (DEBOUNCE_MS * factor).min(MAX_DEBOUNCE_MS) as Millis
}

/// Time in addition to the debounce time in which a watch may still deliver what another instance
/// already has, in milliseconds.
const CATCH_UP_MS: Millis = 120;

/// Number of instances up to which a batch of changes reaches all of them within two hops.
const SHALLOW_INSTANCES: usize = 32;

/// Returns how long an instance that knows less of the runners than its peers, and learns nothing new,
/// waits for a batch before it asks the store, in milliseconds. In a large fleet that is longer than the
/// longest debounce time and the way along the tree.
#[must_use]
pub fn runners_catch_up_ms(instances: usize) -> Millis {
    match instances <= SHALLOW_INSTANCES {
        true => catch_up_ms(1),
        false => MAX_RUNNERS_DEBOUNCE_MS + 2 * CATCH_UP_MS,
    }
}

/// Returns how long an instance that knows less than its peers waits for its own watch before it
/// treats the watch as silent and issues a new call.
///
/// Load pattern: a large configuration reaches three hundred instances at once, most of them on
/// links that it saturates for a third of a second. Without the wait, the instances that have it
/// notify the others, which abort the transfer under way and read the configuration from the start.
#[must_use]
pub fn catch_up_ms(instances: usize) -> Millis {
    CATCH_UP_MS + debounce_ms(instances)
}

/// Time after its start in which an instance may not know yet which instances watch the runners, in
/// milliseconds.
const STARTUP_MS: Millis = 2_500;

/// Time within which changes of runners' entries are coalesced into one call, in milliseconds.
const RUNNERS_DEBOUNCE_MS: Millis = 60;

/// Changes in one batch for which the time grows by as much again, and its maximum in milliseconds.
const CHANGES_PER_DEBOUNCE: usize = 8;
const MAX_RUNNERS_DEBOUNCE_MS: Millis = 480;

/// The same while the instance starts.
const STARTUP_DEBOUNCE_MS: Millis = 1_600;

/// Returns how long an instance that started `age_ms` milliseconds ago waits after a batch of `changes`
/// changes of the runners before it watches for the next.
///
/// Load pattern: a fleet of hundreds of instances starts at once, and so do its runners. Until the
/// instances know of each other every one of them watches, and each runner that registers ends all
/// these watches. Later, thousands of runners load their layers, and each batch of changes goes to all
/// instances; the more changes come at once, the more are coalesced. The instance that gives orders to
/// runners is exempt, since it must see their effect.
#[must_use]
pub fn runners_debounce_ms(age_ms: Millis, gives_orders: bool, changes: usize) -> Millis {
    if gives_orders {
        return RUNNERS_DEBOUNCE_MS;
    }
    if age_ms < STARTUP_MS {
        return STARTUP_DEBOUNCE_MS;
    }
    let factor = 1 + (changes / CHANGES_PER_DEBOUNCE) as Millis;
    (RUNNERS_DEBOUNCE_MS * factor).min(MAX_RUNNERS_DEBOUNCE_MS)
}

/// For which instances an instance reads the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmScope {
    /// For its failure domain.
    Domain,
    /// For itself, as a fallback if no confirmation by another instance reaches it.
    Own,
}

impl ConfirmScope {
    /// Returns the scope of instance `own`. `domain` are the instances of its failure domain that
    /// reach the store, with or without itself.
    ///
    /// Load pattern: three hundred instances each read the configuration as soon as their
    /// confirmation is old enough, every two seconds, although the result of one read reaches all
    /// others within one.
    pub fn of<'a>(own: &Candidate, domain: impl Iterator<Item = &'a Candidate>) -> ConfirmScope {
        let ranks = domain.map(Candidate::rank);
        match is_among_first(CONFIRMERS_PER_DOMAIN, &own.rank(), ranks) {
            true => ConfirmScope::Domain,
            false => ConfirmScope::Own,
        }
    }
}

/// Instances that each instance passes a message on to.
const RELAY_FANOUT: usize = 4;

/// The instances of a failure domain in the order in which a message is passed on among them. The
/// first ones, the roots, get it from elsewhere.
///
/// Load pattern: configurations and changes of runners follow each other. If each ended a call to the
/// store of every instance, or one instance sent each to all others, the cost would grow with the
/// fleet. A tree keeps the bytes that an instance sends to four copies; thirty instances have a message
/// after two hops, six hundred after four.
#[derive(Clone, Debug)]
pub struct RelayTree<'a> {
    order: Vec<&'a Name>,
    roots: usize,
}

impl<'a> RelayTree<'a> {
    /// Returns the tree of configurations over `own` and its `neighbours`, of which those in `reaching`
    /// reach the store. `own` must not be among the neighbours. The roots watch the configuration.
    #[must_use]
    pub fn of_configurations(
        own: &'a Candidate,
        reaching: &[Candidate],
        neighbours: &'a [Candidate],
    ) -> RelayTree<'a> {
        let mut order: Vec<&Candidate> = neighbours.iter().chain([own]).collect();
        let is_cut_off = |c: &Candidate| c != own && !reaching.contains(c);
        order.sort_by_cached_key(|c| (is_cut_off(c), c.rank()));
        RelayTree {
            order: order.into_iter().map(|c| &c.name).collect(),
            roots: CONFIRMERS_PER_DOMAIN,
        }
    }

    /// Returns the tree of the changes that `watcher` sends to a failure domain with these `members`.
    #[must_use]
    pub fn of_changes(
        watcher: &str,
        members: impl Iterator<Item = &'a Candidate>,
    ) -> RelayTree<'a> {
        let mut order: Vec<&Candidate> = members.filter(|c| *c.name != *watcher).collect();
        order.sort_by_cached_key(|c| c.rank_for(watcher));
        RelayTree {
            order: order.into_iter().map(|c| &c.name).collect(),
            roots: RELAY_FANOUT,
        }
    }

    /// Returns the instances that get a message first.
    #[must_use]
    pub fn roots(&self) -> &[&'a Name] {
        &self.order[..self.roots.min(self.order.len())]
    }

    /// Returns the instances that `name` passes a message on to.
    #[must_use]
    pub fn children(&self, name: &str) -> &[&'a Name] {
        let Some(index) = self.order.iter().position(|n| ***n == *name) else {
            return &[];
        };
        let len = self.order.len();
        let first = (self.roots + RELAY_FANOUT * index).min(len);
        &self.order[first..(first + RELAY_FANOUT).min(len)]
    }
}

/// Duration of a read of the configuration at which an instance delays its next read by half of the
/// time up to the deadline, in milliseconds.
const SLOW_READ_MS: f64 = 100.0;

/// Returns whether an instance whose configuration was confirmed `age` milliseconds ago reads it
/// now. `draw` is a random number from 0 to 1.
///
/// A large configuration saturates the link of a small instance for `read_ms` milliseconds, the
/// duration of its last read, and delays its callers' streams. Instances that read it in a tenth of
/// that time should read first and share the result. If none does, the instance still reads by the
/// deadline.
#[must_use]
pub fn should_confirm(
    age: Option<Millis>,
    draw: f64,
    read_ms: Millis,
    scope: ConfirmScope,
) -> bool {
    let from = match scope {
        ConfirmScope::Domain => CONFIRM_MS,
        ConfirmScope::Own => CONFIRM_FALLBACK_MS,
    };
    let read_ms = read_ms as f64;
    let delay_share = read_ms / (read_ms + SLOW_READ_MS);
    let left_ms = (CONFIRM_DEADLINE_MS - from) as f64;
    let jitter_ms = (draw * CONFIRM_JITTER_MS).min(left_ms);
    let due = from + jitter_ms.max(delay_share * left_ms) as Millis;
    age.is_some_and(|age| age >= due)
}

/// Returns whether any instance reads a configuration that was confirmed `age` milliseconds ago.
#[must_use]
pub fn may_confirm(age: Option<Millis>) -> bool {
    age.is_some_and(|age| age >= CONFIRM_MS)
}

/// Watchers that notify each failure domain: one watcher, or one of its messages, may be lost.
const NOTIFIERS_PER_DOMAIN: usize = 2;

/// The instances that watch the runners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watchers(Vec<Name>);

impl Watchers {
    /// Selects the watchers among the live instances that reach the store.
    pub fn of<'a>(reaching: impl Iterator<Item = &'a Candidate>) -> Watchers {
        let mut candidates: Vec<&Candidate> = reaching.collect();
        candidates.sort_by_cached_key(|c| c.rank());
        candidates.truncate(BASE_INSTANCES);
        Watchers(candidates.into_iter().map(|c| c.name.clone()).collect())
    }

    /// Returns whether `name` is a watcher.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|n| **n == *name)
    }

    /// Returns whether `name` is one of the watchers that notify a failure domain of changes.
    #[must_use]
    pub fn notifies(&self, name: &str, domain: &str) -> bool {
        let ranks = self.0.iter().map(|n| rank_for(n, domain));
        self.contains(name) && is_among_first(NOTIFIERS_PER_DOMAIN, &rank_for(name, domain), ranks)
    }
}

/// A change of a runner's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunnerChange {
    /// The entry was created or replaced.
    Put(RunnerEntry),
    /// The entry was removed.
    Gone(Name),
}

/// All changes of runners' entries between two revisions of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Revision before the first change.
    pub since: Revision,
    /// Revision up to which there is no other change, in the same era.
    pub until: Revision,
    /// Newest revision of an entry in the batch.
    pub newest: Revision,
    /// Changes in the order of their revisions.
    pub changes: Vec<RunnerChange>,
}

impl ChangeBatch {
    /// Returns whether an instance that knows everything up to `revision` can apply the batch and
    /// learns something from it.
    #[must_use]
    pub fn applies_to(&self, revision: Revision) -> bool {
        let same_era = self.since.era == revision.era;
        same_era && self.since <= revision && revision < self.until
    }
}

/// Maximum number of watchers whose batches are remembered: more than watch at a time.
pub const MAX_WATCHERS: usize = 1_024;

/// Up to which revision an instance passed on the batches of each watcher.
///
/// Instances that do not know the same members have different trees. Without this, two of them could
/// each take the other for its child and send a batch back and forth for good.
#[derive(Clone, Debug, Default)]
pub struct RelayedUntil(BTreeMap<Name, Revision>);

impl RelayedUntil {
    /// Returns whether a batch of `watcher` up to `until` has to be passed on, and records that it was.
    /// Of more than [`MAX_WATCHERS`], the one that has not sent one for longest is forgotten.
    pub fn take_turn(&mut self, watcher: &Name, until: Revision) -> bool {
        if self.0.len() >= MAX_WATCHERS && !self.0.contains_key(watcher) {
            let oldest = self.0.iter().min_by_key(|(_, until)| **until);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| self.0.remove(&name));
        }
        let last = self.0.entry(watcher.clone()).or_default();
        let is_new = *last < until;
        if is_new {
            *last = until;
        }
        is_new
    }
}

/// How far an instance knows the runners' entries.
///
/// The store has one revision for all kinds of objects, so a watch on the runners that shows no change
/// ends at a later revision than it began. Instances that do not watch are told of changes only; a batch
/// has to begin where the last one ended, or they would take themselves for cut off after each pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnersProgress {
    as_of: Revision,
    unchanged_since: Revision,
}

impl RunnersProgress {
    /// Returns the progress after a list of all entries as of a revision.
    #[must_use]
    pub fn listed(as_of: Revision) -> RunnersProgress {
        RunnersProgress {
            as_of,
            unchanged_since: as_of,
        }
    }

    /// Records a batch that was applied.
    pub fn applied(&mut self, batch: &ChangeBatch) {
        self.as_of = batch.until;
        if !batch.changes.is_empty() {
            self.unchanged_since = batch.until;
        }
    }

    /// Returns the revision up to which all changes are known.
    #[must_use]
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Returns the revision from which on there was no change up to [`as_of`](RunnersProgress::as_of).
    /// The batch of a watch that begins there begins here.
    #[must_use]
    pub fn unchanged_since(&self) -> Revision {
        self.unchanged_since
    }
}

/// How far other instances have seen the store, to detect that this instance missed something.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerProgress<T> {
    newest: T,
    checked: T,
}

impl<T: Copy + Ord> PeerProgress<T> {
    /// Records that another instance has seen the store up to `seen`.
    pub fn record_peer(&mut self, seen: T) {
        self.newest = self.newest.max(seen);
    }

    /// Returns whether another instance has seen more than `own` and the store was not read since.
    #[must_use]
    pub fn is_behind(&self, own: T) -> bool {
        self.newest > own.max(self.checked)
    }

    /// Records that the store is being read. Whatever this read does not show belonged to an object
    /// that has been removed. Without this mark, an instance that started later would read again
    /// and again.
    pub fn mark_checked(&mut self) {
        self.checked = self.newest;
    }
}

/// Time for which an instance may act on a configuration after it learned of a newer one, in
/// milliseconds. Its watch delivers the newer one in a tenth of that, a saturated link in a third.
/// A version that was accepted must be in force everywhere within two seconds.
const OUTDATED_MS: Millis = 1_500;

/// Detects that this instance has acted for too long on a configuration older than that of its
/// peers.
///
/// A store that shows no newer configuration is no proof to the contrary: it may have been restored
/// from an older copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outdated {
    newest: u64,
    /// A version newer than the own one, and when this instance learned of it.
    missing: Option<(u64, Millis)>,
}

impl Outdated {
    /// Records that another instance has `version` in force while this one has `own`.
    pub fn record_peer(&mut self, version: u64, own: u64, now: Millis) {
        self.newest = self.newest.max(version);
        if version > own && self.missing.is_none() {
            self.missing = Some((version, now));
        }
    }

    /// Records that this instance has `own` in force from `now` on.
    pub fn in_force(&mut self, own: u64, now: Millis) {
        if self.missing.is_some_and(|(version, _)| own >= version) {
            self.missing = (self.newest > own).then_some((self.newest, now));
        }
    }

    /// Returns whether a newer configuration has been missing for too long at `now`.
    #[must_use]
    pub fn is_outdated(&self, now: Millis) -> bool {
        let since = self.missing.map(|(_, since_ms)| since_ms);
        since.is_some_and(|since_ms| now >= since_ms + OUTDATED_MS)
    }
}
