//! How closely an instance follows the store.
//!
//! Each call to the store counts, a waiting watch too, and its rates grow more slowly than the
//! fleet. A watch brings a change at once however long it waits; that it ends often is for another
//! reason: a watch whose connection fell silent hides changes, and an answer, even an empty one,
//! shows that nothing was missed. For that it is enough that *some* instance's watch ended a
//! moment ago, as long as the others hear what it saw. So watches wait the longer the more
//! instances there are, and the fleet as a whole ends as many in a second as [`FEW`] instances do.
//! Instances tell one another which version they have, up to which revision they know the runners,
//! and which runners leave.
//!
//! Runners' entries change in bursts, and each change ends every watch. So only [`FEW`] instances
//! watch them, and tell the others what changed: a [`ChangeBatch`] from one revision to another, which
//! whoever knows the first takes over without a call. Who watches follows from who lives and hears
//! the store; when one of them is lost the next takes its place. In the same way two instances of each
//! failure domain confirm the configuration for it ([`ConfirmScope`]).

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::ranks::{is_among_first, rank, rank_for};
use crate::relay::revision::Revision;
use crate::relay::runners::RunnerEntry;

/// Instances that follow the store each for itself.
const FEW: usize = 6;

/// The longest that any watch waits, in milliseconds; the store allows thirty seconds.
const LONGEST_MS: Millis = 28_000;

/// Instances of a failure domain that read the configuration for its other members as well.
const CONFIRMERS: usize = 2;

/// Age of the confirmation from which on those read the configuration, in milliseconds, and the
/// others, if it has not reached them: about a second after it was read it has reached everybody.
const CONFIRM_MS: Millis = 1_400;
const CONFIRM_LATE_MS: Millis = 2_700;

/// Age at which every instance reads it, in milliseconds: well before it has to refuse keys.
const CONFIRM_LATEST_MS: Millis = 3_200;

/// What is added at the most to the age from which on an instance reads: the first that reads spares
/// the others the call, if it has time to reach them.
const CONFIRM_SPREAD_MS: f64 = 600.0;

/// How long a watch waits that waits `base` milliseconds where there are few instances.
#[must_use]
pub fn scaled_interval_ms(base: Millis, instances: usize) -> Millis {
    let times = (instances as f64 / FEW as f64).max(1.0);
    ((base as f64 * times) as Millis).min(LONGEST_MS)
}

/// Time within which changes of the configuration are read with one call, for each of [`FEW`]
/// instances and at the most, in milliseconds.
const GATHER_MS: f64 = 20.0;
const LONGEST_GATHER_MS: f64 = 1_000.0;

/// How long an instance waits after a change of the configuration before it watches for the next.
///
/// Load pattern: configurations come in quick succession, three a second. Each ends the watch of
/// every instance, and hundreds ask the store for each of them; what is in force a second later is
/// the same.
#[must_use]
pub fn debounce_ms(instances: usize) -> Millis {
    let times = (instances as f64 / FEW as f64).max(1.0);
    (GATHER_MS * times).min(LONGEST_GATHER_MS) as Millis
}

/// Time for which a watch may still bring what another instance already has, in milliseconds, beside
/// that for which changes are gathered.
const BEHIND_MS: Millis = 120;

/// How long an instance waits for its own watch once others know more, before it takes the watch for
/// silent and asks anew.
///
/// Load pattern: a large configuration comes to three hundred instances at once, most of them on links
/// that it fills for a third of a second. Whoever had it told the others, and those broke off what they
/// were reading to read it from the start.
#[must_use]
pub fn catch_up_ms(instances: usize) -> Millis {
    BEHIND_MS + debounce_ms(instances)
}

/// Time after its start in which an instance may not have heard yet who watches the runners, in
/// milliseconds.
const STARTING_MS: Millis = 2_500;

/// Time within which changes of runners' entries are read with one call, in milliseconds, and the
/// same while the instance starts.
const RUNNERS_GATHER_MS: Millis = 60;
const START_GATHER_MS: Millis = 1_600;

/// How long an instance that started `age_ms` milliseconds ago waits after a change of the runners
/// before it watches for the next.
///
/// Load pattern: a fleet of hundreds starts at once, and so do its runners. Until the instances have
/// heard of each other every one watches, and each runner that registers ends all their watches. Who
/// gives orders must see what comes of them.
#[must_use]
pub fn runners_debounce_ms(age_ms: Millis, gives_orders: bool) -> Millis {
    match age_ms < STARTING_MS && !gives_orders {
        true => START_GATHER_MS,
        false => RUNNERS_GATHER_MS,
    }
}

/// For whom an instance reads the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmScope {
    /// For its failure domain.
    Domain,
    /// For itself, where nobody's reading reaches it.
    Own,
}

impl ConfirmScope {
    /// For whom `name` reads among the instances of its domain that hear the store, itself included
    /// or not.
    ///
    /// Load pattern: three hundred instances each read the configuration as soon as their confirmation
    /// was old enough, every two seconds, though one reading reaches all others within one.
    pub fn of<'a>(name: &Name, domain: impl Iterator<Item = &'a Name>) -> ConfirmScope {
        let ranks = domain.map(|n| rank(n));
        match is_among_first(CONFIRMERS, rank(name), ranks) {
            true => ConfirmScope::Domain,
            false => ConfirmScope::Own,
        }
    }
}

/// Time of a reading of the configuration from which on an instance leaves it to others for most of the
/// time that there is, in milliseconds.
const LONG_READING_MS: f64 = 100.0;

/// Whether an instance whose configuration was confirmed `age` milliseconds ago reads it now; `draw` is
/// a random number from 0 to 1.
///
/// A large configuration fills the link of a small instance for the time that its last reading took,
/// `reading_ms` milliseconds, and its callers' streams wait; others read it in a tenth of that and tell
/// it. If nobody does, it reads as soon as the last one would.
#[must_use]
pub fn should_confirm(
    age: Option<Millis>,
    draw: f64,
    reading_ms: Millis,
    confirming: ConfirmScope,
) -> bool {
    let from = match confirming {
        ConfirmScope::Domain => CONFIRM_MS,
        ConfirmScope::Own => CONFIRM_LATE_MS,
    };
    let reading_ms = reading_ms as f64;
    let reluctance = reading_ms / (reading_ms + LONG_READING_MS);
    let left_ms = (CONFIRM_LATEST_MS - from) as f64;
    let spread_ms = (draw * CONFIRM_SPREAD_MS).min(left_ms);
    let due = from + spread_ms.max(reluctance * left_ms) as Millis;
    age.is_some_and(|age| age >= due)
}

/// Watchers that tell each of the others: one may be lost, or its word.
const TOLD_BY: usize = 2;

/// The instances that watch the runners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watchers(Vec<Name>);

impl Watchers {
    /// Those of `names`, which live and hear the store.
    pub fn of<'a>(names: impl Iterator<Item = &'a Name>) -> Watchers {
        let mut names: Vec<Name> = names.cloned().collect();
        names.sort_by_cached_key(|name| rank(name));
        names.truncate(FEW);
        Watchers(names)
    }

    /// Whether `name` is one of them.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|n| **n == *name)
    }

    /// Whether `name` is one of those that tell `listener` what changed.
    #[must_use]
    pub fn notifies(&self, name: &str, listener: &str) -> bool {
        let ranks = self.0.iter().map(|n| rank_for(n, listener));
        self.contains(name) && is_among_first(TOLD_BY, rank_for(name, listener), ranks)
    }
}

/// A change of a runner's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunnerChange {
    /// It is new or another one than before.
    Put(RunnerEntry),
    /// It is gone.
    Gone(Name),
}

/// All changes of runners' entries between two revisions of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Revision before the first of them.
    pub since: Revision,
    /// Revision up to which there is none besides, in the same era.
    pub until: Revision,
    /// Newest revision of an entry among them.
    pub newest: Revision,
    /// The changes, in their order.
    pub changes: Vec<RunnerChange>,
}

impl ChangeBatch {
    /// Whether one that knows everything up to `revision` can take it over and learns something.
    #[must_use]
    pub fn applies_to(&self, revision: Revision) -> bool {
        let same_era = self.since.era == revision.era;
        same_era && self.since <= revision && revision < self.until
    }
}

/// What other instances know of the store that this one may have missed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerProgress<T> {
    others: T,
    checked: T,
}

impl<T: Copy + Ord> PeerProgress<T> {
    /// Another instance has seen `what`.
    pub fn record_peer(&mut self, what: T) {
        self.others = self.others.max(what);
    }

    /// Whether another instance has seen more than `own`, and the store was not asked since.
    #[must_use]
    pub fn is_behind(&self, own: T) -> bool {
        self.others > own.max(self.checked)
    }

    /// The store is asked. What it does not show now was of an object that is gone: without this
    /// an instance that started later would ask for ever.
    pub fn mark_checked(&mut self) {
        self.checked = self.others;
    }
}

/// Time for which an instance may act on a configuration of which others have a newer one, in milliseconds:
/// its watch brings it in a tenth of that, a full link in a third. A version that was accepted must be acted
/// on everywhere within two seconds.
const OUTDATED_MS: Millis = 1_500;

/// Whether this instance acts on a configuration that others know to be older than the newest.
///
/// That its store shows no newer one proves nothing: it may have come back from an older copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outdated {
    newest: u64,
    /// A version that is newer than the own one, and when it was first heard of.
    lacking: Option<(u64, Millis)>,
}

impl Outdated {
    /// Another instance has `version` in force, this one `own`.
    pub fn record_peer(&mut self, version: u64, own: u64, now: Millis) {
        self.newest = self.newest.max(version);
        if version > own && self.lacking.is_none() {
            self.lacking = Some((version, now));
        }
    }

    /// This instance has `own` in force from `now` on.
    pub fn in_force(&mut self, own: u64, now: Millis) {
        if self.lacking.is_some_and(|(version, _)| own >= version) {
            self.lacking = (self.newest > own).then_some((self.newest, now));
        }
    }

    /// Whether it has lacked a newer one for too long at `now`.
    #[must_use]
    pub fn is_outdated(&self, now: Millis) -> bool {
        let since = self.lacking.map(|(_, since_ms)| since_ms);
        since.is_some_and(|since_ms| now >= since_ms + OUTDATED_MS)
    }
}
