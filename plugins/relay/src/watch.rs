//! Follows the store: the configuration, and the runners.
//!
//! Each of the two is listed once and then watched from the list's revision. A watch waits for a
//! short time only: an answer, even an empty one, is what confirms that nothing was missed. When
//! the history is gone, or a call fails, it is listed again.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::store::{Change, Object, StoreError};
use jacinthweir_platform::{desired, runner};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use tokio::time::sleep;

use crate::node::Node;

/// The longest wait of a watch of the configuration. A confirmation counts from when its call was
/// sent, so this is a part of the time for which an instance serves without a new one.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_300);

/// The longest wait of a watch of the runners. A watch whose connection fell silent hides a runner
/// that leaves for as long; a shorter one costs calls.
const RUNNERS_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed call, and the longest one. The store's rates are shared by all instances;
/// after an outage they come back spread over this time.
const PAUSE_MS: u64 = 150;
const LONGEST_PAUSE_MS: u64 = 600;

/// Runners' entries change in bursts when orders are carried out; changes that come within this
/// time are fetched with one call.
const GATHER: Duration = Duration::from_millis(60);

/// Starts both.
pub(crate) fn spawn(node: &Rc<Node>) {
    follow(node, Followed::Configuration);
    follow(node, Followed::Runners);
}

/// What is followed.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Followed {
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

    fn wait(self) -> Duration {
        match self {
            Followed::Configuration => CONFIGURATION_WAIT,
            Followed::Runners => RUNNERS_WAIT,
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
    let mut lost = false;
    let mut new = true;
    loop {
        let error = match list(node, what, new || lost).await {
            Ok(revision) => {
                if lost {
                    log::info!(what:% = what; "store is back");
                    lost = false;
                }
                failures = 0;
                new = false;
                watch(node, what, revision).await
            }
            Err(e) => e,
        };
        if error == StoreError::Compacted {
            log::info!(what:% = what; "history is gone, listing again");
            continue;
        }
        failures += 1;
        node.store_heard_ms.set(None);
        if !lost {
            log::warn!(what:% = what, cause:% = error; "store is lost");
            lost = true;
        }
        metrics::counter!("jacinthweir_store_failures_total").increment(1);
        let longest = (PAUSE_MS << failures.min(4)).min(LONGEST_PAUSE_MS);
        let pause = PAUSE_MS / 2 + (node.draw() * longest as f64) as u64;
        sleep(Duration::from_millis(pause)).await;
    }
}

/// `anew`: the store did not answer before.
async fn list(node: &Node, what: Followed, anew: bool) -> Result<u64, StoreError> {
    let sent = node.now();
    count_call("list");
    let listed = node.store.list(what.kind()).await?;
    node.store_heard_ms.set(Some(sent));
    match what {
        Followed::Configuration => {
            let found = listed
                .objects
                .iter()
                .find(|o| *o.meta.name == *desired::NAME);
            if let Some(object) = found
                && take_configuration(node, object)
            {
                node.vouch.borrow_mut().confirm(sent);
            }
        }
        Followed::Runners => {
            let entries = listed.objects.into_iter().filter_map(decode).collect();
            let now = node.now();
            let mut runners = node.runners.borrow_mut();
            if anew {
                runners.store_is_back(now);
            }
            runners.replace(entries, now);
            drop(runners);
            node.listed.set(true);
            node.rebuild_chains();
        }
    }
    Ok(listed.revision)
}

/// Watches until a call fails.
async fn watch(node: &Node, what: Followed, mut revision: u64) -> StoreError {
    loop {
        let sent = node.now();
        count_call("watch");
        let changes = match node.store.watch(what.kind(), revision, what.wait()).await {
            Ok(changes) => changes,
            Err(e) => return e,
        };
        node.store_heard_ms.set(Some(sent));
        revision = changes.revision;
        let any = !changes.changes.is_empty();
        match what {
            Followed::Configuration => {
                if take_configurations(node, &changes.changes) {
                    node.vouch.borrow_mut().confirm(sent);
                }
            }
            Followed::Runners => take_runners(node, changes.changes),
        }
        if any && what == Followed::Runners {
            sleep(GATHER).await;
        }
    }
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

fn take_configuration(node: &Node, object: &Object) -> bool {
    match desired::decode(&object.spec) {
        Ok(intent) => {
            let version = intent.version;
            node.offer(intent);
            node.intent().is_some_and(|i| i.version == version)
        }
        Err(e) => {
            log::error!(revision = object.meta.revision, cause:% = e; "configuration is not usable");
            false
        }
    }
}

fn take_runners(node: &Node, changes: Vec<Change>) {
    let mut changed = false;
    for change in changes {
        let id = change.object.meta.name.clone();
        if change.deleted {
            let gone = node.runners.borrow_mut().remove(&id, node.now());
            log::info!(runner = id.as_ref(), gone; "runner is gone from the store");
            changed |= gone;
        } else if let Some(entry) = decode(change.object) {
            log_entry(node, &entry);
            changed |= node.runners.borrow_mut().put(&entry);
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

fn decode(object: Object) -> Option<RunnerEntry> {
    match runner::entry(&object.meta.name, object.spec) {
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
