//! Follows the store: the configuration, and the runners.
//!
//! Each of the two is listed once and then watched from the list's revision, the runners by a few
//! instances that tell the others. A watch brings a change at once; how long it waits without one is
//! told by [`store_watch`]. That nothing was missed is shown
//! by an answer, even an empty one, by a reading of the configuration when its confirmation is old,
//! and by what other instances have seen. When the history is gone, or a call fails, it is listed
//! again.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::store::{Change, Changes, Object, StoreError};
use jacinthweir_platform::{desired, runner};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::RunnerEntry;
use jacinthweir_policy::relay::store_watch::{self, ChangeBatch, ConfirmScope, RunnerChange};
use tokio::time::sleep;

use crate::node::Node;
use crate::peers::{self, Message};

/// Wait of a watch of the configuration where there are few instances, in milliseconds. One whose
/// connection fell silent hides a change for no longer than until the next reading.
const CONFIGURATION_WAIT_MS: Millis = 3_000;

/// Wait of a watch of the runners, in milliseconds. A watch whose
/// connection fell silent hides a runner that leaves for as long; a shorter one costs calls.
const RUNNERS_WAIT_MS: Millis = 2_000;

/// Pause after a failed call, and the longest one where there are few instances, in milliseconds. The
/// store's rates are shared by all; after an outage they come back spread over this time, and hear
/// confirmations from those that were first.
const PAUSE_MS: u64 = 150;
const LONGEST_PAUSE_MS: u64 = 600;

/// The longest pause in any case of those that read the configuration for others, and of the rest, in
/// milliseconds: these hear when the store is back.
const PAUSE_BOUND_MS: u64 = 2_400;
const LATE_PAUSE_BOUND_MS: u64 = 4_800;

/// Period of looking whether others hear the store again, and the longest pause once they do, in
/// milliseconds.
const BACK_LOOK: Duration = Duration::from_millis(100);
const BACK_SPREAD_MS: f64 = 300.0;

/// Time without the store in which leases of runners' entries may lapse, in milliseconds; they last
/// for three heartbeats of a second or more. After a shorter one an entry that is missing is gone.
const OUTAGE_MS: Millis = 2_000;

/// Period of looking whether the configuration is to be confirmed.
const CONFIRM_LOOK: Duration = Duration::from_millis(100);

/// Starts all.
pub(crate) fn spawn(node: &Rc<Node>) {
    follow(node, Followed::Configuration);
    follow(node, Followed::Runners);
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = node.stop.clone();
        let _ = stop.run_until_cancelled(confirm(&node)).await;
    });
}

/// Acts on an era of the store that was not seen before: it came back from an older copy, and what was
/// written there since is gone.
pub(crate) fn note_era(node: &Node) {
    let era = node.store.era();
    let before = node.era.replace(era);
    let Some(new) = era.filter(|_| era != before) else {
        return;
    };
    node.lease.borrow_mut().begin_era(new);
    let Some(before) = before else {
        return;
    };
    let known_until = node.runners_as_of.get();
    log::warn!(
        before,
        era = new,
        known_until:% = known_until;
        "the store came back from an older copy: lease dropped, configuration and runners read anew"
    );
    metrics::counter!("jacinthweir_store_eras_total").increment(1);
    node.store_restored.notify_waiters();
}

/// Reads the configuration whenever its last confirmation is old.
async fn confirm(node: &Node) {
    let mut reading_ms = 0;
    let mut lost_ms = None;
    loop {
        sleep(CONFIRM_LOOK).await;
        note_era(node);
        let age = node.config_confirmation.borrow().age_ms(node.now());
        let confirming = peers::confirm_scope(node);
        if !store_watch::should_confirm(age, node.random_f64(), reading_ms, confirming) {
            continue;
        }
        let sent = node.now();
        count_call("get");
        match node.store.get(desired::KIND, desired::NAME).await {
            Ok(Some(object)) => {
                node.reaches_store.set(true);
                lost_ms = None;
                reading_ms = node.now() - sent;
                log::info!(took_ms = reading_ms; "configuration read");
                if take_configuration(node, &object) {
                    node.config_confirmation.borrow_mut().confirm(sent);
                }
            }
            Ok(None) => log::warn!("the store has no configuration"),
            // The watch of the configuration tells of a store that is lost.
            Err(cause) => {
                log::debug!(cause:% = cause; "configuration not confirmed");
                node.reaches_store.set(false);
                let lost_ms = *lost_ms.get_or_insert(sent);
                pause(node, longest_pause_ms(node), lost_ms).await;
            }
        }
    }
}

/// What is followed.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum Followed {
    #[display("configuration")]
    Configuration,
    #[display("runners")]
    Runners,
}

impl Followed {
    fn kind(self) -> &'static str {
        match self {
            Followed::Configuration => desired::KIND,
            Followed::Runners => runner::ENTRIES,
        }
    }

    /// Whether others know more.
    fn is_behind(self, node: &Node) -> bool {
        match self {
            Followed::Configuration => {
                let version = node.intent().map_or(0, |i| i.version);
                node.peer_versions.borrow().is_behind(version)
            }
            Followed::Runners => {
                let seen = node.runners_revision.get();
                node.peer_revisions.borrow().is_behind(seen)
            }
        }
    }

    /// The store is asked for what others know.
    fn asked(self, node: &Node) {
        match self {
            Followed::Configuration => node.peer_versions.borrow_mut().mark_checked(),
            Followed::Runners => node.peer_revisions.borrow_mut().mark_checked(),
        }
    }
}

/// Another instance has a version of the configuration in force.
pub(crate) fn heard_version(node: &Node, version: u64) {
    node.peer_versions.borrow_mut().record_peer(version);
    let own = node.intent().map_or(0, |i| i.version);
    let mut outdated = node.outdated.get();
    outdated.record_peer(version, own, node.now());
    node.outdated.set(outdated);
    notify_overtaken(node, Followed::Configuration);
}

/// Another instance has seen a revision of a runner's entry.
pub(crate) fn heard_revision(node: &Node, revision: Revision) {
    node.peer_revisions.borrow_mut().record_peer(revision);
    notify_overtaken(node, Followed::Runners);
}

fn notify_overtaken(node: &Node, what: Followed) {
    if what.is_behind(node) {
        node.peer_ahead.notify_waiters();
    }
}

/// Ends when another instance has known more for a while.
async fn overtaken(node: &Node, what: Followed) {
    loop {
        let notified = node.peer_ahead.notified();
        if !what.is_behind(node) {
            notified.await;
        }
        let wait = match what {
            Followed::Configuration => store_watch::catch_up_ms(node.live_instances()),
            Followed::Runners => store_watch::catch_up_ms(1),
        };
        sleep(Duration::from_millis(wait)).await;
        if what.is_behind(node) {
            what.asked(node);
            return;
        }
    }
}

fn follow(node: &Rc<Node>, what: Followed) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = node.stop.clone();
        let _ = stop.run_until_cancelled(run(&node, what)).await;
    });
}

async fn run(node: &Node, what: Followed) {
    let mut failures = 0;
    let mut lost_ms = None;
    let mut new = true;
    loop {
        let outage = lost_ms.is_some_and(|at| node.now() >= at + OUTAGE_MS);
        let error = match list(node, what, new || outage).await {
            Ok(revision) => {
                if let Some(at) = lost_ms.take() {
                    log::info!(what:% = what, after_ms = node.now() - at; "store is back");
                }
                failures = 0;
                new = false;
                watch(node, what, revision).await
            }
            Err(e) => e,
        };
        if matches!(error, StoreError::Compacted | StoreError::Restored) {
            log::info!(what:% = what, cause:% = error; "listing again");
            continue;
        }
        failures += 1;
        node.reaches_store.set(false);
        if lost_ms.is_none() {
            log::warn!(what:% = what, cause:% = error; "store is lost");
            lost_ms = Some(node.now());
        }
        metrics::counter!("jacinthweir_store_failures_total").increment(1);
        let longest = (PAUSE_MS << failures.min(4)).min(longest_pause_ms(node));
        let ms = PAUSE_MS / 2 + (node.random_f64() * longest as f64) as u64;
        pause(node, ms, lost_ms.unwrap_or_default()).await;
    }
}

fn longest_pause_ms(node: &Node) -> Millis {
    let bound = match peers::confirm_scope(node) {
        ConfirmScope::Domain => PAUSE_BOUND_MS,
        ConfirmScope::Own => LATE_PAUSE_BOUND_MS,
    };
    store_watch::scaled_interval_ms(LONGEST_PAUSE_MS, node.live_instances()).min(bound)
}

/// Waits after a failed call for `ms` milliseconds, or until others hear the store again that was lost at
/// `lost_ms`. Those that do while this instance does not are no sign that it will.
async fn pause(node: &Node, ms: Millis, lost_ms: Millis) {
    let pause = sleep(Duration::from_millis(ms));
    if confirmed_since(node, lost_ms) {
        return pause.await;
    }
    tokio::select! {
        () = pause => {}
        () = until_confirmed(node, lost_ms) => {
            let spread_ms = (node.random_f64() * BACK_SPREAD_MS) as Millis;
            sleep(Duration::from_millis(spread_ms)).await;
        }
    }
}

/// Whether the configuration was confirmed by a call that was made after `since`.
fn confirmed_since(node: &Node, since: Millis) -> bool {
    let now = node.now();
    let age = node.config_confirmation.borrow().age_ms(now);
    age.is_some_and(|age| now - age > since)
}

async fn until_confirmed(node: &Node, since: Millis) {
    while !confirmed_since(node, since) {
        sleep(BACK_LOOK).await;
    }
}

/// `anew`: the store did not answer for so long that entries may be missing.
async fn list(node: &Node, what: Followed, anew: bool) -> Result<Revision, StoreError> {
    let sent = node.now();
    count_call("list");
    let listed = node.store.list(what.kind()).await?;
    node.reaches_store.set(true);
    match what {
        Followed::Configuration => {
            let found = listed
                .objects
                .iter()
                .find(|o| *o.meta.name == *desired::NAME);
            if let Some(object) = found
                && take_configuration(node, object)
            {
                node.config_confirmation.borrow_mut().confirm(sent);
            }
        }
        Followed::Runners => {
            let revisions = listed.objects.iter().map(|o| o.meta.revision);
            let newest = revisions.max().unwrap_or_default();
            let entries = listed.objects.iter().filter_map(decode).collect();
            note_revision(node, newest);
            let now = node.now();
            let mut runners = node.runners.borrow_mut();
            let restored = listed.revision.era != node.runners_as_of.get().era;
            if anew || restored {
                runners.store_recovered(now);
            }
            runners.replace(entries, now);
            drop(runners);
            node.runners_as_of.set(listed.revision);
            node.runners_listed.set(true);
            node.rebuild_chains();
        }
    }
    Ok(listed.revision)
}

/// Watches until a call fails.
async fn watch(node: &Node, what: Followed, mut revision: Revision) -> StoreError {
    loop {
        let wait = match what {
            Followed::Runners => rest(node).await,
            Followed::Configuration => {
                store_watch::scaled_interval_ms(CONFIGURATION_WAIT_MS, node.live_instances())
            }
        };
        if what == Followed::Runners {
            revision = node.runners_as_of.get();
        }
        if node.store.era() != Some(revision.era) {
            return StoreError::Restored;
        }
        let sent = node.now();
        count_call("watch");
        let wait = Duration::from_millis(wait);
        let watched = tokio::select! {
            watched = node.store.watch(what.kind(), revision, wait) => watched,
            () = node.store_restored.notified() => return StoreError::Restored,
            () = overtaken(node, what) => {
                log::info!(what:% = what, revision:% = revision; "others know more, watching anew");
                continue;
            }
        };
        let changes = match watched {
            Ok(changes) => changes,
            Err(e) => return e,
        };
        node.reaches_store.set(true);
        let any = !changes.changes.is_empty();
        match what {
            Followed::Configuration => {
                revision = changes.revision;
                if take_configurations(node, &changes.changes) {
                    node.config_confirmation.borrow_mut().confirm(sent);
                }
            }
            Followed::Runners => {
                let step = step(revision, changes);
                log_step(node, &step);
                if hear_step(node, &step) {
                    tell_step(node, step);
                }
            }
        }
        if any {
            sleep(Duration::from_millis(gather_ms(node, what))).await;
        }
    }
}

/// Changes that come within this time are read with one call, in milliseconds.
fn gather_ms(node: &Node, what: Followed) -> Millis {
    match what {
        Followed::Configuration => store_watch::debounce_ms(node.live_instances()),
        Followed::Runners => {
            let gives_orders = node.lease.borrow().held(node.now()).is_some();
            store_watch::runners_debounce_ms(node.now(), gives_orders)
        }
    }
}

/// Longest rest of an instance that hears of the runners from others, in milliseconds, and what is
/// added to it at the most. One that missed a change hears at its next exchange that there is more.
const REST_MS: Millis = 30_000;
const REST_SPREAD_MS: f64 = 30_000.0;

/// Period of looking whether this instance has to watch the runners by itself.
const REST_LOOK: Duration = Duration::from_millis(500);

/// Wait of a call that is to bring only what has been missed, in milliseconds.
const MISSED_WAIT_MS: Millis = 1;

/// Rests while others tell of changed runners; returns how long the next watch is to wait, in
/// milliseconds.
async fn rest(node: &Node) -> Millis {
    let spread_ms = (node.random_f64() * REST_SPREAD_MS) as Millis;
    let until = node.now() + REST_MS + spread_ms;
    while !peers::watches_runners(node) {
        if node.now() >= until {
            return MISSED_WAIT_MS;
        }
        tokio::select! {
            () = overtaken(node, Followed::Runners) => return MISSED_WAIT_MS,
            () = node.store_restored.notified() => return MISSED_WAIT_MS,
            () = sleep(REST_LOOK) => {}
        }
    }
    RUNNERS_WAIT_MS
}

/// Whether what is in force is now the newest of what came.
fn take_configurations(node: &Node, changes: &[Change]) -> bool {
    let mut newest = changes.iter().filter(|c| !c.deleted);
    let newest = newest.rfind(|c| *c.object.meta.name == *desired::NAME);
    match newest {
        Some(change) => take_configuration(node, &change.object),
        None => node.intent.borrow().is_some(),
    }
}

/// Whether an object that was read is the configuration in force, which it is from now on if it is
/// newer.
fn take_configuration(node: &Node, object: &Object) -> bool {
    let revision = object.meta.revision;
    if node.configuration_revision.get() == Some(revision) {
        return true;
    }
    match desired::decode(&object.spec) {
        Ok(intent) => {
            let version = intent.version;
            node.apply_configuration(intent);
            let in_force = node.intent().is_some_and(|i| i.version == version);
            if in_force {
                node.configuration_revision.set(Some(revision));
            }
            in_force
        }
        Err(e) => {
            log::error!(revision:% = revision, cause:% = e; "configuration is not usable");
            false
        }
    }
}

/// Remembers the newest entry of a runner that was seen.
fn note_revision(node: &Node, revision: Revision) {
    let newest = node.runners_revision.get().max(revision);
    node.runners_revision.set(newest);
}

/// What a watch from the revision `since` brought.
fn step(since: Revision, changes: Changes) -> ChangeBatch {
    let until = changes.revision;
    let mut newest = Revision::default();
    let mut decoded = Vec::with_capacity(changes.changes.len());
    for change in changes.changes {
        newest = newest.max(change.object.meta.revision);
        if change.deleted {
            // The entry's own revision is older than its end.
            newest = newest.max(until);
            decoded.push(RunnerChange::Gone(change.object.meta.name.clone()));
        } else if let Some(entry) = decode(&change.object) {
            decoded.push(RunnerChange::Put(entry));
        }
    }
    ChangeBatch {
        since,
        until,
        newest,
        changes: decoded,
    }
}

/// Tells the instances that hear of the runners from this one. Who misses it hears at an exchange that
/// there is more, and asks the store.
fn tell_step(node: &Node, step: ChangeBatch) {
    if step.changes.is_empty() {
        return;
    }
    let own = &node.settings.name;
    let watchers = peers::watchers(node);
    let message = Rc::new(Message::Step(step));
    let membership = node.membership.borrow();
    for m in membership.live().filter(|m| m.name != *own) {
        if watchers.contains(&m.name) || !watchers.notifies(own, &m.name) {
            continue;
        }
        let (address, message) = (m.peers, Rc::clone(&message));
        tokio::task::spawn_local(async move {
            if let Err(cause) = peers::post(address, &message, peers::PEER_TIMEOUT).await {
                log::debug!(address:% = address, cause; "changes of runners not told");
            }
        });
    }
}

/// The store, or another instance, tells what changed; it is taken over if nothing is missing before it
/// and something is new. An answer of the store that was overtaken by another instance's word would
/// bring back runners that have left since; whether it was taken over.
pub(crate) fn hear_step(node: &Node, step: &ChangeBatch) -> bool {
    let follows = step.applies_to(node.runners_as_of.get());
    if follows {
        take_step(node, step);
    }
    follows
}

/// Logs changes that this instance read from the store; whom it tells does not log them once more.
fn log_step(node: &Node, step: &ChangeBatch) {
    for change in &step.changes {
        match change {
            RunnerChange::Gone(id) => {
                log::info!(runner = id.as_ref(); "runner is gone from the store");
            }
            RunnerChange::Put(entry) => log_entry(node, entry),
        }
    }
}

/// Takes over what changed.
fn take_step(node: &Node, step: &ChangeBatch) {
    note_revision(node, step.newest);
    node.runners_as_of.set(step.until);
    let mut changed = false;
    for change in &step.changes {
        match change {
            RunnerChange::Gone(id) => {
                changed |= node.runners.borrow_mut().remove(id, node.now());
            }
            RunnerChange::Put(entry) => {
                if entry.draining {
                    node.note_draining(&entry.id, entry.born_ms);
                }
                changed |= node.runners.borrow_mut().put(entry);
            }
        }
    }
    if changed {
        node.rebuild_chains();
    }
}

fn log_entry(node: &Node, entry: &RunnerEntry) {
    let runners = node.runners.borrow();
    let old = runners.entry(&entry.id);
    if old == Some(entry) {
        return;
    }
    let (from, to) = entry.layers.unwrap_or_default();
    log::info!(
        runner = entry.id.as_ref(),
        address:% = entry.address,
        from,
        to,
        draining = entry.draining,
        born_ms = entry.born_ms;
        "runner"
    );
}

fn decode(object: &Object) -> Option<RunnerEntry> {
    match runner::entry(&object.meta.name, &object.spec) {
        Ok(entry) => Some(entry),
        Err(e) => {
            let name: &Name = &object.meta.name;
            log::warn!(runner = name.as_ref(), cause:% = e; "runner's entry is left out");
            None
        }
    }
}

pub(crate) fn count_call(call: &'static str) {
    metrics::counter!("jacinthweir_store_calls_total", "call" => call).increment(1);
}
