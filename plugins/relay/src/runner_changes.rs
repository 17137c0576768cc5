//! Changes of runners' entries: from the store to the instances that watch them, and from these to all
//! others.
//!
//! Two watchers send each batch of changes to the first instances of a failure domain, and these pass it
//! on along a [`RelayTree`], so that an instance sends a batch to a few others however large the fleet
//! is. An instance that misses a batch learns at an exchange that it is behind, and asks the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use jacinthweir_platform::runner;
use jacinthweir_platform::store::{Changes, Object};
use jacinthweir_policy::member::MemberState;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::held_range::HeldRange;
use jacinthweir_policy::relay::rendezvous::Candidate;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::RunnerEntry;
use jacinthweir_policy::relay::store_watch::{ChangeBatch, RelayTree, RunnerChange, Watchers};
use serde::{Deserialize, Serialize};

use crate::duties;
use crate::messages::{self, Message};
use crate::node::Node;

/// A batch on its way from a watcher to all instances of a failure domain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RelayedChanges {
    /// Watcher that read it from the store.
    watcher: Name,
    batch: ChangeBatch,
}

/// Applies changes that a watch returned, before which there was none since the revision `since`, and sends them to the instances
/// that this one notifies.
pub(crate) fn observe(node: &Node, since: Revision, changes: Changes) {
    let batch = change_batch(node, since, changes);
    log_batch(node, &batch);
    if apply_batch(node, &batch) && !batch.changes.is_empty() {
        notify_domains(node, batch);
    }
}

/// Applies changes that another instance passed on, and passes them on itself.
pub(crate) fn receive(node: &Rc<Node>, relayed: RelayedChanges) {
    let _applied = apply_batch(node, &relayed.batch);
    let mut relayed_until = node.relayed_until.borrow_mut();
    if !relayed_until.take_turn(&relayed.watcher, relayed.batch.until) {
        return;
    }
    drop(relayed_until);
    let own = &node.settings.name;
    let receivers = receivers(
        node,
        &relayed.watcher,
        &node.settings.failure_domain,
        |tree| tree.children(own).to_vec(),
    );
    messages::send_to_all(&Message::Step(relayed), &receivers);
}

/// Sends changes to the first instances of each failure domain that this one notifies.
fn notify_domains(node: &Node, batch: ChangeBatch) {
    let own = &node.settings.name;
    let watchers = duties::watchers(node);
    let domains: BTreeSet<Name> = {
        let membership = node.membership.borrow();
        membership.active().map(|m| m.domain.clone()).collect()
    };
    let notified = domains.iter().filter(|d| watchers.notifies(own, d));
    let receivers: Vec<SocketAddr> = notified
        .flat_map(|d| receivers(node, own, d, |tree| roots_to_notify(tree, &watchers)))
        .collect();
    let watcher = own.clone();
    messages::send_to_all(
        &Message::Step(RelayedChanges { watcher, batch }),
        &receivers,
    );
}

/// Returns the roots of a tree, but for watchers that would pass a batch on to nobody.
fn roots_to_notify<'t>(tree: &RelayTree<'t>, watchers: &Watchers) -> Vec<&'t Name> {
    let roots = tree.roots().iter().copied();
    let needs_it = |name: &&Name| !watchers.contains(name) || !tree.children(name).is_empty();
    roots.filter(needs_it).collect()
}

/// Returns the addresses of the instances of a failure domain that `select` chooses from the tree of
/// the changes that `watcher` sends there.
fn receivers(
    node: &Node,
    watcher: &str,
    domain: &str,
    select: impl for<'t> Fn(&RelayTree<'t>) -> Vec<&'t Name>,
) -> Vec<SocketAddr> {
    let membership = node.membership.borrow();
    let members: Vec<(Candidate, &MemberState)> = membership
        .active()
        .filter(|m| *m.domain == *domain)
        .map(|m| (duties::candidate(m), m))
        .collect();
    let tree = RelayTree::of_changes(watcher, members.iter().map(|(c, _)| c));
    let selected = select(&tree);
    let selected = selected.iter().filter_map(|name| membership.member(name));
    selected.map(|m| m.state().peers).collect()
}

/// Updates the newest revision of a runner's entry seen so far.
pub(crate) fn note_revision(node: &Node, revision: Revision) {
    let newest = node.runners_revision.get().max(revision);
    node.runners_revision.set(newest);
}

/// Returns the changes that a watch returned, before which there was none since the revision `since`.
fn change_batch(node: &Node, since: Revision, changes: Changes) -> ChangeBatch {
    let until = changes.revision;
    let mut newest = Revision::default();
    let mut decoded = Vec::with_capacity(changes.changes.len());
    for change in changes.changes {
        newest = newest.max(change.object.meta.revision);
        if change.deleted {
            // The object carries its last revision, which is older than the deletion.
            newest = newest.max(until);
            decoded.push(RunnerChange::Gone(change.object.meta.name.clone()));
        } else if let Some(entry) = decode(node, &change.object) {
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

/// Applies changes from the store or from another instance, if there is no gap before them and they
/// contain something new. Returns whether they were applied. A response of the store that is older
/// than what another instance sent would bring back runners that have left since.
fn apply_batch(node: &Node, batch: &ChangeBatch) -> bool {
    let applies = batch.applies_to(node.runners_progress.get().as_of());
    if applies {
        apply_changes(node, batch);
    }
    applies
}

/// Logs changes that this instance read from the store. The instances it notifies do not log them
/// again.
fn log_batch(node: &Node, batch: &ChangeBatch) {
    for change in &batch.changes {
        match change {
            RunnerChange::Gone(id) => {
                log::info!(runner = id.as_ref(); "runner is gone from the store");
                node.rejected_entries.forget(id);
            }
            RunnerChange::Put(entry) => {
                log_entry(node, entry);
                note_misfits(node, [entry]);
            }
        }
    }
}

/// Applies changes unconditionally.
fn apply_changes(node: &Node, batch: &ChangeBatch) {
    note_revision(node, batch.newest);
    let mut progress = node.runners_progress.get();
    progress.applied(batch);
    node.runners_progress.set(progress);
    let mut changed = false;
    for change in &batch.changes {
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

/// Logs a runner's entry if it changed.
fn log_entry(node: &Node, entry: &RunnerEntry) {
    let runners = node.runners.borrow();
    let old = runners.entry(&entry.id);
    if old == Some(entry) {
        return;
    }
    let (from, to) = entry.layers.map_or((0, 0), HeldRange::bounds);
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

/// Decodes a runner's entry; `None` if it names no runner to use.
pub(crate) fn decode(node: &Node, object: &Object) -> Option<RunnerEntry> {
    let name = &object.meta.name;
    match runner::decode_entry(name, &object.spec) {
        Ok(entry) => Some(entry),
        Err(cause) => {
            node.rejected_entries.record(name, &cause);
            None
        }
    }
}

/// Records which of `entries` list layers that the model of their service has not. They name no runner
/// to use under the configuration in force.
pub(crate) fn note_misfits<'a>(node: &Node, entries: impl IntoIterator<Item = &'a RunnerEntry>) {
    let Some(intent) = node.intent() else {
        return;
    };
    for entry in entries {
        let service = intent.services.get(&entry.service);
        let layers = service.and_then(|s| s.engine.as_ref()).map(|e| e.layers);
        match (layers, entry.layers) {
            (Some(layers), Some(held)) if !entry.fits_model(layers) => {
                let cause = format!("layers {held} of a model of {layers}");
                node.rejected_entries.record(&entry.id, &cause);
            }
            _ => node.rejected_entries.forget(&entry.id),
        }
    }
}
