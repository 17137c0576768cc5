//! The configuration on an instance: confirmation, decoding, and passing on to neighbours.
//!
//! Two instances of each failure domain watch the configuration and read it again while it does not
//! change ([`ConfirmScope`](store_watch::ConfirmScope)). A change reaches the others of the domain along a [`RelayTree`], whose
//! roots these two are: each instance that puts a newer configuration in force sends it to a few
//! others. A message that is lost or too large costs its receiver one call: it learns by gossip that
//! its configuration is out of date, and asks the store.
//!
//! A configuration that was passed on is not confirmed by that, since the message may have been
//! delayed for any time. Confirmations come from the store, or from an exchange with an instance
//! that has the same version.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::desired;
use jacinthweir_platform::store::{Change, Object, Spec};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::backoff::Backoff;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::store_watch::{self, RelayTree};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::duties;
use crate::messages::{self, MAX_MESSAGE_BYTES, Message};
use crate::node::Node;
use crate::tasks::{self, TaskName};
use crate::watch::{back_off, count_call, max_backoff_ms, note_era};

/// Interval between checks whether the configuration has to be confirmed.
const CONFIRM_POLL: Duration = Duration::from_millis(100);

/// First pause after a read that does not confirm the configuration in force, since the store has none or one
/// that cannot be decoded, and the longest one, in milliseconds. The watch shows the next one that is written;
/// reads are for a watch that is silent.
const FIRST_UNCONFIRMED_PAUSE_MS: Millis = 600;
const MAX_UNCONFIRMED_PAUSE_MS: Millis = 2_400;

/// Maximum size of a configuration that is passed on, in bytes. Four copies of it occupy the link of
/// a small instance for four tenths of a second, and most are sent by the strongest instances, which
/// come first in the tree. A larger one is read from the store by each instance.
const MAX_RELAYED_BYTES: usize = 256 << 10;
const _: () = assert!(MAX_RELAYED_BYTES < MAX_MESSAGE_BYTES);

/// A configuration as the store holds it, sent from one instance to another.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct RelayedConfiguration {
    /// Revision of the object that holds it.
    revision: Revision,
    /// Contents of the object.
    spec: String,
}

/// Where an instance got a configuration from.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Source {
    #[display("store")]
    Store,
    #[display("neighbour")]
    Neighbour,
}

/// Starts the task that confirms the configuration.
pub(crate) fn spawn(node: &Rc<Node>) {
    let name = TaskName::ConfigurationConfirmation;
    tasks::spawn(node, &node.stop, name, async |node| confirm(&node).await);
}

/// Reads the configuration whenever its last confirmation is old.
async fn confirm(node: &Node) {
    let mut read_ms = 0;
    let mut lost_ms = None;
    let mut unconfirmed = Backoff::new(FIRST_UNCONFIRMED_PAUSE_MS, MAX_UNCONFIRMED_PAUSE_MS);
    loop {
        sleep(CONFIRM_POLL).await;
        note_era(node);
        let age = node.config_confirmation.borrow().age_ms(node.now());
        if !store_watch::may_confirm(age) || !unconfirmed.is_over(node.now()) {
            continue;
        }
        let scope = duties::confirm_scope(node);
        if !store_watch::should_confirm(age, node.random_f64(), read_ms, scope) {
            continue;
        }
        let sent = node.now();
        count_call("get");
        let is_confirmed = match node.store.get(desired::KIND, desired::NAME).await {
            Ok(Some(object)) => {
                node.reaches_store.set(true);
                read_ms = node.now() - sent;
                log::info!(took_ms = read_ms; "configuration read");
                apply(node, &object)
            }
            Ok(None) => {
                log::warn!("the store has no configuration");
                false
            }
            // The watch on the configuration logs that the store is unreachable.
            Err(cause) => {
                log::debug!(cause:% = cause; "configuration not confirmed");
                node.reaches_store.set(false);
                let lost_ms = *lost_ms.get_or_insert(sent);
                back_off(node, max_backoff_ms(node), lost_ms).await;
                continue;
            }
        };
        lost_ms = None;
        if is_confirmed {
            node.config_confirmation.borrow_mut().confirm(sent);
            unconfirmed.reset();
            continue;
        }
        metrics::counter!("jacinthweir_configuration_reads_unconfirmed_total").increment(1);
        unconfirmed.record_failure(node.now());
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
    apply_spec(node, revision, &object.spec, Source::Store)
}

/// Puts a configuration that a neighbour passed on in force if it is newer.
pub(crate) fn receive(node: &Node, relayed: RelayedConfiguration) {
    let RelayedConfiguration { revision, spec } = relayed;
    let in_force = node.configuration_revision.get();
    let is_newer = in_force.is_some_and(|r| r.era == revision.era && r < revision);
    if !is_newer {
        return;
    }
    match Spec::from_json(spec) {
        Ok(spec) => {
            apply_spec(node, revision, &spec, Source::Neighbour);
        }
        Err(cause) => log::warn!(cause:% = cause; "cannot decode a configuration passed on"),
    }
}

fn apply_spec(node: &Node, revision: Revision, spec: &Spec, source: Source) -> bool {
    let before = node.configuration_revision.get();
    if before == Some(revision) {
        return true;
    }
    match desired::decode(spec) {
        Ok(intent) => {
            let version = intent.version;
            node.apply_configuration(intent);
            let in_force = node.intent().is_some_and(|i| i.version == version);
            if in_force {
                node.configuration_revision.set(Some(revision));
                metrics::counter!("jacinthweir_configurations_total", "source" => source.to_string())
                    .increment(1);
                // The first one is read at the start, when the neighbours have it already.
                if before.is_some() {
                    pass_on(node, revision, spec);
                }
            }
            in_force
        }
        Err(e) => {
            log::error!(revision:% = revision, cause:% = e; "cannot decode the configuration");
            false
        }
    }
}

/// Sends a configuration to the instances that this one relays to.
fn pass_on(node: &Node, revision: Revision, spec: &Spec) {
    let json = spec.as_json();
    if json.len() > MAX_RELAYED_BYTES {
        return;
    }
    let message = Message::Configuration(RelayedConfiguration {
        revision,
        spec: json.to_owned(),
    });
    messages::send_to_all(&message, &receivers(node));
}

/// Returns the addresses of the instances that this one relays configurations to.
fn receivers(node: &Node) -> Vec<std::net::SocketAddr> {
    let own = duties::own_candidate(node);
    let reaching = duties::neighbours_reaching_store(node);
    let neighbours = duties::neighbours(node);
    let tree = RelayTree::of_configurations(&own, &reaching, &neighbours);
    let membership = node.membership.borrow();
    let children = tree.children(&own.name).iter();
    let children = children.filter_map(|name| membership.member(name));
    children.map(|m| m.state().peers).collect()
}
