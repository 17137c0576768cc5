//! The configuration on an instance: confirmation and decoding.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::desired;
use jacinthweir_platform::store::{Change, Object};
use jacinthweir_policy::relay::store_watch;
use tokio::time::sleep;

use crate::node::Node;
use crate::peers;
use crate::watch::{back_off, count_call, max_backoff_ms, note_era};

/// Interval between checks whether the configuration has to be confirmed.
const CONFIRM_POLL: Duration = Duration::from_millis(100);

/// Starts the task that confirms the configuration.
pub(crate) fn spawn(node: &Rc<Node>) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = node.stop.clone();
        let _ = stop.run_until_cancelled(confirm(&node)).await;
    });
}

/// Reads the configuration whenever its last confirmation is old.
async fn confirm(node: &Node) {
    let mut read_ms = 0;
    let mut lost_ms = None;
    loop {
        sleep(CONFIRM_POLL).await;
        note_era(node);
        let age = node.config_confirmation.borrow().age_ms(node.now());
        let scope = peers::confirm_scope(node);
        if !store_watch::should_confirm(age, node.random_f64(), read_ms, scope) {
            continue;
        }
        let sent = node.now();
        count_call("get");
        match node.store.get(desired::KIND, desired::NAME).await {
            Ok(Some(object)) => {
                node.reaches_store.set(true);
                lost_ms = None;
                read_ms = node.now() - sent;
                log::info!(took_ms = read_ms; "configuration read");
                if apply(node, &object) {
                    node.config_confirmation.borrow_mut().confirm(sent);
                }
            }
            Ok(None) => log::warn!("the store has no configuration"),
            // The watch on the configuration logs that the store is unreachable.
            Err(cause) => {
                log::debug!(cause:% = cause; "configuration not confirmed");
                node.reaches_store.set(false);
                let lost_ms = *lost_ms.get_or_insert(sent);
                back_off(node, max_backoff_ms(node), lost_ms).await;
            }
        }
    }
}

/// Applies the newest configuration among the changes. Returns whether it is now in force.
pub(crate) fn apply_newest(node: &Node, changes: &[Change]) -> bool {
    let mut newest = changes.iter().filter(|c| !c.deleted);
    let newest = newest.rfind(|c| *c.object.meta.name == *desired::NAME);
    match newest {
        Some(change) => apply(node, &change.object),
        None => node.intent.borrow().is_some(),
    }
}

/// Puts the configuration in an object in force if it is newer. Returns whether it is now in force.
pub(crate) fn apply(node: &Node, object: &Object) -> bool {
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
            log::error!(revision:% = revision, cause:% = e; "cannot decode the configuration");
            false
        }
    }
}
