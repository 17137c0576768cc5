//! Store watches for the configuration and for the runners.
//!
//! Each of the two is listed once and then watched from the revision of the list. Only a few
//! instances watch the runners; they notify the others. A watch is a long poll and returns on the
//! first change; its timeout is determined by [`store_watch`]. Three things show that no change was
//! missed: any response of the watch, even an empty one; a read of the configuration when its
//! confirmation is old; and the revisions that other instances have seen. When the history has been
//! compacted, or a call fails, the objects are listed again. What brings this instance no further is
//! paced by [`store_pacing`](jacinthweir_policy::relay::store_pacing).
//!
//! A list that is not whole removes no runner: what it lacks may exist. It is read again later, and until
//! then the instance serves with what it has and follows the changes from where it knew all of them, since
//! only these tell of a removal that the list does not show.

use std::cell::RefMut;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::store::{List, Object, StoreError};
use jacinthweir_platform::{desired, runner};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};
use jacinthweir_policy::relay::store_pacing::{ListPacing, PartialLists, WatchPacing, WatchResult};
use jacinthweir_policy::relay::store_watch::{self, ConfirmScope, RunnersProgress};
use tokio::time::sleep;

use crate::configuration;
use crate::duties;
use crate::node::Node;
use crate::runner_changes;
use crate::start::RunnersSearch;
use crate::tasks::{self, TaskName};

/// Timeout of a watch on the configuration in a small fleet, in milliseconds. A watch whose
/// connection fell silent hides a change until the next read at the latest.
const CONFIGURATION_WATCH_MS: Millis = 3_000;

/// Timeout of a watch on the runners, in milliseconds. A watch whose connection fell silent hides a
/// draining runner for that long; a shorter timeout costs more calls.
const RUNNERS_WATCH_MS: Millis = 2_000;

/// Initial back-off after a failed call, and the longest one in a small fleet, in milliseconds. All
/// instances share the store's call rate, so their calls after an outage are spread over this time.
/// The later ones receive confirmations from the first.
const BACKOFF_MS: u64 = 150;
const MAX_BACKOFF_MS: u64 = 600;

/// Upper bounds of the longest back-off, in milliseconds: of the instances that confirm the
/// configuration for their failure domain, and of the rest, which learn from these when the store
/// is back.
const DOMAIN_BACKOFF_BOUND_MS: u64 = 2_400;
const OWN_BACKOFF_BOUND_MS: u64 = 4_800;

/// Interval between checks whether peers reach the store again.
const RECOVERY_POLL: Duration = Duration::from_millis(100);

/// Maximum jitter before the next call once they do, in milliseconds.
const RECOVERY_JITTER_MS: f64 = 300.0;

/// Duration of a store outage from which on the leases of runners' entries may have lapsed, in
/// milliseconds; leases last for three heartbeats of a second or more. After a shorter outage, a
/// missing entry means that the runner is gone.
const OUTAGE_MS: Millis = 2_000;

/// Starts the watches.
pub(crate) fn spawn(node: &Rc<Node>) {
    spawn_watch(node, Watched::Configuration);
    spawn_watch(node, Watched::Runners);
}

/// Handles a new era of the store: the store was restored from an older copy, and later writes are
/// lost.
pub(crate) fn note_era(node: &Node) {
    let era = node.store.era();
    let before = node.era.replace(era);
    let Some(new) = era.filter(|_| era != before) else {
        return;
    };
    node.lease.borrow_mut().begin_era(new);
    let Some(before) = before else {
        let taken_over =
            node.runners_listed.get() && node.runners_progress.get().as_of().era != new;
        if taken_over {
            log::warn!(era = new; "runners were taken over from an earlier era, reading them anew");
            node.store_restored.notify_waiters();
        }
        return;
    };
    let known_until = node.runners_progress.get().as_of();
    log::warn!(
        before,
        era = new,
        known_until:% = known_until;
        "the store came back from an older copy: lease dropped, configuration and runners read anew"
    );
    metrics::counter!("jacinthweir_store_eras_total").increment(1);
    node.store_restored.notify_waiters();
}

/// Objects that a watch is on.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum Watched {
    #[display("configuration")]
    Configuration,
    #[display("runners")]
    Runners,
}

impl Watched {
    fn kind(self) -> &'static str {
        match self {
            Watched::Configuration => desired::KIND,
            Watched::Runners => runner::ENTRIES,
        }
    }

    /// Whether a peer has seen a newer state.
    fn is_behind(self, node: &Node) -> bool {
        match self {
            Watched::Configuration => {
                let version = node.intent().map_or(0, |i| i.version);
                node.peer_versions.borrow().is_behind(version)
            }
            Watched::Runners => {
                let seen = node.runners_revision.get();
                node.peer_revisions.borrow().is_behind(seen)
            }
        }
    }

    /// Returns the state that this instance has, as a number that changes with it.
    fn known(self, node: &Node) -> Revision {
        match self {
            Watched::Configuration => node.configuration_revision.get().unwrap_or_default(),
            Watched::Runners => node.runners_progress.get().as_of(),
        }
    }

    /// Records that the store is being asked for the state that peers have seen.
    fn mark_checked(self, node: &Node) {
        match self {
            Watched::Configuration => node.peer_versions.borrow_mut().mark_checked(),
            Watched::Runners => node.peer_revisions.borrow_mut().mark_checked(),
        }
    }
}

/// Records the version of the configuration in force on a peer.
pub(crate) fn record_peer_version(node: &Node, version: u64) {
    node.peer_versions.borrow_mut().record_peer(version);
    let own = node.intent().map_or(0, |i| i.version);
    let mut outdated = node.outdated.get();
    outdated.record_peer(version, own, node.now());
    node.outdated.set(outdated);
    notify_if_behind(node, Watched::Configuration);
}

/// Records the revision of a runner's entry that a peer has seen.
pub(crate) fn record_peer_revision(node: &Node, revision: Revision) {
    node.peer_revisions.borrow_mut().record_peer(revision);
    notify_if_behind(node, Watched::Runners);
}

fn notify_if_behind(node: &Node, what: Watched) {
    if what.is_behind(node) {
        node.peer_ahead.notify_waiters();
    }
}

/// Returns when a peer has been ahead of this instance for a while in which nothing new arrived here.
async fn peer_ahead(node: &Node, what: Watched) {
    loop {
        let notified = node.peer_ahead.notified();
        if !what.is_behind(node) {
            notified.await;
        }
        let delay_ms = match what {
            Watched::Configuration => store_watch::catch_up_ms(node.live_instances()),
            Watched::Runners => store_watch::runners_catch_up_ms(node.live_instances()),
        };
        let before = what.known(node);
        sleep(Duration::from_millis(delay_ms)).await;
        // While changes follow each other, a peer is always ahead of one that follows them as it should.
        let is_stuck = what.known(node) == before;
        if is_stuck && what.is_behind(node) {
            what.mark_checked(node);
            return;
        }
    }
}

/// Starts the watch on `what`.
fn spawn_watch(node: &Rc<Node>, what: Watched) {
    let name = match what {
        Watched::Configuration => TaskName::ConfigurationWatch,
        Watched::Runners => TaskName::RunnersWatch,
    };
    tasks::spawn(node, &node.stop, name, async move |node| {
        run(&node, what).await;
    });
}

/// Lists and watches, again after every failure.
async fn run(node: &Node, what: Watched) {
    let mut failures = 0;
    let mut lost_ms = None;
    let mut first = true;
    let mut history_is_gone = false;
    let mut kept = KeptRevision::default();
    let mut lists = ListPacing::default();
    let mut partial = PartialLists::default();
    // Until this instance has the runners.
    let mut search = (what == Watched::Runners).then(|| RunnersSearch::open(node));
    let mut taken_over = match &mut search {
        Some(search) => search.take_over().await,
        None => None,
    };
    loop {
        let outage = lost_ms.is_some_and(|at| node.now() >= at + OUTAGE_MS);
        let known = match taken_over.take() {
            Some(revision) => Ok(Known::whole(revision)),
            None => tokio::select! {
                listed = list(node, what, Gaps { may_lack_entries: first || outage, history_is_gone }, &mut lists) => listed,
                revision = copied(&mut search) => Ok(Known::whole(revision)),
            },
        };
        let error = match known {
            Ok(known) => {
                if let Some(at) = lost_ms.take() {
                    log::info!(what:% = what, after_ms = node.now() - at; "store is reachable");
                }
                first = false;
                history_is_gone = false;
                search = None;
                let repeat_ms = partial.record(known.is_whole);
                let watched = watch(node, what, known.revision, &mut failures);
                let error = tokio::select! {
                    error = watched => error,
                    () = repeat_due(node, what, repeat_ms) => {
                        log::info!(what:% = what, after_ms = repeat_ms; "the last list was not whole, listing again");
                        continue;
                    }
                };
                history_is_gone = kept.record_failure(what.known(node));
                error
            }
            Err(e) => e,
        };
        if matches!(error, StoreError::Compacted | StoreError::Restored) {
            log::info!(what:% = what, cause:% = error; "listing again");
            history_is_gone = true;
            continue;
        }
        failures += 1;
        node.reaches_store.set(false);
        if lost_ms.is_none() {
            log::warn!(what:% = what, cause:% = error; "store is unreachable");
            lost_ms = Some(node.now());
        }
        metrics::counter!("jacinthweir_store_failures_total").increment(1);
        let longest = (BACKOFF_MS << failures.min(4)).min(max_backoff_ms(node));
        let ms = BACKOFF_MS / 2 + (node.random_f64() * longest as f64) as u64;
        taken_over = tokio::select! {
            () = back_off(node, ms, lost_ms.unwrap_or_default()) => None,
            revision = copied(&mut search) => Some(revision),
        };
    }
}

/// What may be missing in a list, or between it and what was known before.
#[derive(Clone, Copy)]
pub(crate) struct Gaps {
    /// Entries of live runners, since the store was unreachable for so long that their leases may have lapsed.
    pub(crate) may_lack_entries: bool,
    /// Changes since the last list, which the store no longer has.
    pub(crate) history_is_gone: bool,
}

/// What an instance knows after a list, or after a copy from another instance.
struct Known {
    /// Revision from which changes have to follow.
    revision: Revision,
    /// Whether the list reached its end.
    is_whole: bool,
}

impl Known {
    fn whole(revision: Revision) -> Known {
        Known {
            revision,
            is_whole: true,
        }
    }
}

/// Failed watches from one revision, which partial lists keep. An answer that is too large to be read fails each
/// time, so that the revision has to be given up.
#[derive(Default)]
struct KeptRevision {
    revision: Revision,
    failures: u32,
}

/// Failed watches after which a revision that partial lists keep is given up.
const MAX_KEPT_FAILURES: u32 = 3;

impl KeptRevision {
    /// Records that a watch from `revision` failed. Returns whether the revision is given up.
    fn record_failure(&mut self, revision: Revision) -> bool {
        self.failures = match self.revision == revision {
            true => self.failures + 1,
            false => 1,
        };
        self.revision = revision;
        self.failures >= MAX_KEPT_FAILURES
    }
}

/// Returns after `ms` milliseconds, or never. Instances that others notify of changes leave it to these to read
/// the list again.
async fn repeat_due(node: &Node, what: Watched, ms: Option<Millis>) {
    let Some(ms) = ms else {
        return pending().await;
    };
    sleep(Duration::from_millis(ms)).await;
    while is_follower(node, what) {
        sleep(Duration::from_millis(ms)).await;
    }
}

/// Returns once the search, if any, has found the runners at another instance.
async fn copied(search: &mut Option<RunnersSearch<'_>>) -> Revision {
    match search {
        Some(search) => search.ask_on().await,
        None => pending().await,
    }
}

/// Returns the longest back-off after a failed call in a fleet of the current size.
pub(crate) fn max_backoff_ms(node: &Node) -> Millis {
    let bound = match duties::confirm_scope(node) {
        ConfirmScope::Domain => DOMAIN_BACKOFF_BOUND_MS,
        ConfirmScope::Own => OWN_BACKOFF_BOUND_MS,
    };
    store_watch::scaled_interval_ms(MAX_BACKOFF_MS, node.live_instances()).min(bound)
}

/// Backs off after a failed call for `ms` milliseconds, or until peers reach the store again, which
/// became unreachable at `lost_ms`. If peers have reached it since before the back-off, only this
/// instance is cut off, and their confirmations do not end its back-off.
pub(crate) async fn back_off(node: &Node, ms: Millis, lost_ms: Millis) {
    let backoff = sleep(Duration::from_millis(ms));
    if confirmed_since(node, lost_ms) {
        return backoff.await;
    }
    tokio::select! {
        () = backoff => {}
        () = until_confirmed(node, lost_ms) => {
            let jitter_ms = (node.random_f64() * RECOVERY_JITTER_MS) as Millis;
            sleep(Duration::from_millis(jitter_ms)).await;
        }
    }
}

/// Whether the configuration was confirmed by a call sent after `since`.
fn confirmed_since(node: &Node, since: Millis) -> bool {
    let now = node.now();
    let age = node.config_confirmation.borrow().age_ms(now);
    age.is_some_and(|age| now - age > since)
}

/// Returns once the configuration has been confirmed by a call sent after `since`.
async fn until_confirmed(node: &Node, since: Millis) {
    while !confirmed_since(node, since) {
        sleep(RECOVERY_POLL).await;
    }
}

/// Lists the objects.
async fn list(
    node: &Node,
    what: Watched,
    gaps: Gaps,
    pacing: &mut ListPacing,
) -> Result<Known, StoreError> {
    let pause_ms = pacing.next_pause_ms(node.now());
    if pause_ms > 0 {
        log::info!(what:% = what, pause_ms; "lists follow each other, waiting");
        metrics::counter!("jacinthweir_store_list_pauses_total").increment(1);
        sleep(Duration::from_millis(pause_ms)).await;
    }
    count_call("list");
    match what {
        Watched::Configuration => list_configuration(node).await,
        Watched::Runners => {
            let keep = |object| runner_changes::decode(node, &object);
            let listed = node.store.list(runner::ENTRIES, keep).await?;
            node.reaches_store.set(true);
            let known = Known {
                revision: listed.revision,
                is_whole: listed.end.is_whole(),
            };
            apply_runners(node, listed, gaps);
            Ok(known)
        }
    }
}

/// Lists the objects of the configuration's kind, of which one holds it.
async fn list_configuration(node: &Node) -> Result<Known, StoreError> {
    let sent = node.now();
    let is_configuration = |object: &Object| *object.meta.name == *desired::NAME;
    let keep = |object| Some(object).filter(is_configuration);
    let listed = node.store.list(desired::KIND, keep).await?;
    node.reaches_store.set(true);
    let mut found = listed.kept.into_iter().last();
    if found.is_none() && !listed.end.is_whole() {
        count_call("get");
        found = node.store.get(desired::KIND, desired::NAME).await?;
    }
    if let Some(object) = &found
        && configuration::apply(node, object)
    {
        node.config_confirmation.borrow_mut().confirm(sent);
    }
    Ok(Known {
        revision: listed.revision,
        is_whole: found.is_some() || listed.end.is_whole(),
    })
}

/// Replaces the runners by a list of the store, or adds what it has if it is not whole.
pub(crate) fn apply_runners(node: &Node, listed: List<RunnerEntry>, gaps: Gaps) {
    let may_lack_entries = gaps.may_lack_entries;
    let List {
        kept,
        revision,
        newest,
        end,
        ..
    } = listed;
    if end.is_whole() {
        return replace_runners(node, kept, revision, newest, may_lack_entries);
    }
    let before = node.runners_progress.get();
    let is_followed = node.runners_listed.get() && before.as_of().era == revision.era;
    let progress = match is_followed && !gaps.history_is_gone {
        true => before,
        false => RunnersProgress::listed(revision),
    };
    let mut runners = begin_list(node, revision, newest, may_lack_entries);
    runners.merge(&kept);
    drop(runners);
    node.runners_partial.set(true);
    end_list(node, progress);
}

/// Returns the runners, to which a list as of a revision is applied.
fn begin_list(
    node: &Node,
    as_of: Revision,
    newest: Revision,
    may_lack_entries: bool,
) -> RefMut<'_, Runners> {
    runner_changes::note_revision(node, newest);
    let mut runners = node.runners.borrow_mut();
    let restored = as_of.era != node.runners_progress.get().as_of().era;
    if may_lack_entries || restored {
        runners.store_recovered(node.now());
    }
    runners
}

/// Records how far the runners are known after a list.
fn end_list(node: &Node, progress: RunnersProgress) {
    runner_changes::note_misfits(node, node.runners.borrow().entries());
    node.runners_progress.set(progress);
    node.runners_listed.set(true);
    node.rebuild_chains();
}

/// Replaces the runners by `entries`, which are those of the store as of the revision `as_of`; `newest`
/// is the newest revision of an entry.
pub(crate) fn replace_runners(
    node: &Node,
    entries: Vec<RunnerEntry>,
    as_of: Revision,
    newest: Revision,
    may_lack_entries: bool,
) {
    let mut runners = begin_list(node, as_of, newest, may_lack_entries);
    runners.replace(entries, node.now());
    drop(runners);
    node.runners_partial.set(false);
    end_list(node, RunnersProgress::listed(as_of));
}

/// Watches from `revision` on until a call fails, and returns its error. The first watch that succeeds ends
/// the series of `failures`.
async fn watch(
    node: &Node,
    what: Watched,
    mut revision: Revision,
    failures: &mut u32,
) -> StoreError {
    let mut pacing = WatchPacing::default();
    loop {
        let timeout_ms = follower_wait(node, what).await;
        revision = match what {
            Watched::Runners => node.runners_progress.get().as_of(),
            Watched::Configuration => {
                let passed_on = node.configuration_revision.get();
                passed_on
                    .filter(|r| r.era == revision.era)
                    .unwrap_or_default()
                    .max(revision)
            }
        };
        // An instance that has not called the store yet does not know its era.
        if node.store.era().is_some_and(|era| era != revision.era) {
            return StoreError::Restored;
        }
        let unchanged_since = node.runners_progress.get().unchanged_since();
        let sent = node.now();
        count_call("watch");
        let timeout = Duration::from_millis(timeout_ms);
        let watched = tokio::select! {
            watched = node.store.watch(what.kind(), revision, timeout) => watched,
            () = node.store_restored.notified() => return StoreError::Restored,
            () = peer_ahead(node, what) => {
                log::info!(what:% = what, revision:% = revision; "peer is ahead, watching again");
                continue;
            }
        };
        let changes = match watched {
            Ok(changes) => changes,
            Err(e) => return e,
        };
        node.reaches_store.set(true);
        *failures = 0;
        let count = changes.changes.len();
        let pause_ms = pacing.record(WatchResult {
            changes: count,
            got_on: changes.revision > revision,
            lasted_ms: node.now() - sent,
            timeout_ms,
        });
        match what {
            Watched::Configuration => {
                revision = changes.revision;
                if configuration::apply_newest(node, &changes.changes) {
                    node.config_confirmation.borrow_mut().confirm(sent);
                }
            }
            Watched::Runners => {
                runner_changes::observe(node, unchanged_since, changes);
            }
        }
        if count > 0 {
            sleep(Duration::from_millis(debounce_ms(node, what, count))).await;
        }
        pause_watches(what, pacing, pause_ms).await;
    }
}

/// Pauses after watches that brought nothing, and logs the first pause and each time as many watches again.
async fn pause_watches(what: Watched, pacing: WatchPacing, pause_ms: Millis) {
    if pause_ms == 0 {
        return;
    }
    metrics::counter!("jacinthweir_store_idle_watches_total").increment(1);
    let idle = pacing.idle();
    if idle.is_power_of_two() {
        log::warn!(what:% = what, idle, pause_ms; "watches end at once and bring nothing, waiting");
    }
    sleep(Duration::from_millis(pause_ms)).await;
}

/// Returns the debounce interval after a batch of `count` changes, in milliseconds; changes within it
/// are read with one call.
fn debounce_ms(node: &Node, what: Watched, count: usize) -> Millis {
    match what {
        Watched::Configuration => store_watch::debounce_ms(node.live_instances()),
        Watched::Runners => {
            let gives_orders = node.lease.borrow().held(node.now()).is_some();
            store_watch::runners_debounce_ms(node.now(), gives_orders, count)
        }
    }
}

/// Interval between store calls of an instance that is notified of the runners by others, and its
/// maximum jitter, in milliseconds. An instance that missed a change learns at its next exchange
/// that it is behind.
const FOLLOWER_POLL_MS: Millis = 30_000;
const FOLLOWER_POLL_JITTER_MS: f64 = 30_000.0;

/// Interval between checks whether this instance has to watch the store itself.
const ROLE_POLL: Duration = Duration::from_millis(500);

/// The same while members become known.
const DISCOVERY_POLL: Duration = Duration::from_millis(50);

/// Timeout of a watch that only has to fetch missed changes, in milliseconds.
const CATCH_UP_WATCH_MS: Millis = 1;

/// Waits while other instances watch the store and notify this one. Returns the timeout of the next
/// watch in milliseconds.
async fn follower_wait(node: &Node, what: Watched) -> Millis {
    let jitter_ms = (node.random_f64() * FOLLOWER_POLL_JITTER_MS) as Millis;
    let poll = Duration::from_millis(FOLLOWER_POLL_MS + jitter_ms);
    // What an instance has of the configuration is confirmed by exchanges.
    let polls = what == Watched::Runners;
    tokio::select! {
        () = until_watcher(node, what) => watch_timeout_ms(node, what),
        () = peer_ahead(node, what) => CATCH_UP_WATCH_MS,
        () = node.store_restored.notified() => CATCH_UP_WATCH_MS,
        () = sleep(poll), if polls => CATCH_UP_WATCH_MS,
    }
}

/// Returns once this instance has to watch the store itself.
async fn until_watcher(node: &Node, what: Watched) {
    while is_follower(node, what) {
        let poll = match duties::is_discovering(node) {
            true => DISCOVERY_POLL,
            false => ROLE_POLL,
        };
        sleep(poll).await;
    }
}

fn watch_timeout_ms(node: &Node, what: Watched) -> Millis {
    match what {
        Watched::Configuration => {
            store_watch::scaled_interval_ms(CONFIGURATION_WATCH_MS, node.live_instances())
        }
        Watched::Runners => RUNNERS_WATCH_MS,
    }
}

/// Whether other instances watch the store for this one.
fn is_follower(node: &Node, what: Watched) -> bool {
    match what {
        Watched::Runners => !duties::watches_runners(node),
        Watched::Configuration => {
            let has_configuration = node.intent.borrow().is_some();
            let is_own = || duties::confirm_scope(node) == ConfirmScope::Own;
            has_configuration && (duties::is_discovering(node) || is_own())
        }
    }
}

/// Counts a call to the store.
pub(crate) fn count_call(call: &'static str) {
    metrics::counter!("jacinthweir_store_calls_total", "call" => call).increment(1);
}
