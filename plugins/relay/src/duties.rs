//! Tasks that an instance does on behalf of others, and which instances do them.
//!
//! Every instance decides by itself, from the members it knows and which of them reach the store. Where
//! instances disagree for a while, a task is done twice or, for some rounds, by nobody; the placement
//! lease in the store decides who gives orders.

use jacinthweir_policy::member::MemberState;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lease::Bid;
use jacinthweir_policy::relay::rendezvous::Candidate;
use jacinthweir_policy::relay::store_watch::{ConfirmScope, Watchers};

use crate::node::{MAX_BEATS, Node, ROUND_MS};
use crate::reachability;

/// Time after the last new member within which a starting instance of a large fleet takes over no task
/// for others, and the maximum time after its start, in milliseconds. Stronger instances may still become
/// known.
const DISCOVERY_MS: Millis = 600;
const MAX_DISCOVERY_MS: Millis = 3_000;

/// Returns this instance's bid for the placement lease. Of the live instances that reach the store,
/// the strongest tries to acquire it, and of equal ones the first by name; where instances disagree,
/// the lease in the store decides.
pub(crate) fn bid(node: &Node) -> Bid {
    let now = node.now();
    let gives_orders = node.reaches_store.get() && !reachability::is_cut_off(node);
    if node.draining.get() || !gives_orders {
        return Bid::Abstain;
    }
    if is_discovering(node) {
        return Bid::Retain;
    }
    let membership = node.membership.borrow();
    let own = candidate(&membership.own().state);
    let loads = node.loads.borrow();
    let mut before = membership.active().filter(|m| candidate(m).precedes(&own));
    match before.any(|m| loads.hears_store(&m.name, &m.domain, now)) {
        true => Bid::Retain,
        false => Bid::Acquire,
    }
}

/// Whether this instance started a short time ago and does not know yet which instances there are: until
/// its first exchanges, and in a large fleet while new members become known. In a small fleet every
/// second without orders or a watch would cost callers more than a task that is done twice.
pub(crate) fn is_discovering(node: &Node) -> bool {
    let now = node.now();
    let membership = node.membership.borrow();
    let is_large = membership.members().count() > MAX_BEATS;
    let joining = now < MAX_DISCOVERY_MS && now < membership.last_joined_ms() + DISCOVERY_MS;
    now < ROUND_MS || (is_large && joining)
}

/// Returns an instance as a candidate for tasks on behalf of others.
pub(crate) fn candidate(m: &MemberState) -> Candidate {
    Candidate {
        name: m.name.clone(),
        capacity: m.capacity,
    }
}

/// Returns this instance as a candidate for tasks on behalf of others.
pub(crate) fn own_candidate(node: &Node) -> Candidate {
    candidate(&node.membership.borrow().own().state)
}

/// Returns the active instances that reach the store, possibly including this one.
pub(crate) fn reaching_store(node: &Node) -> Vec<Candidate> {
    let now = node.now();
    let loads = node.loads.borrow();
    let membership = node.membership.borrow();
    let own = &node.settings.name;
    let hears_store = |m: &MemberState| match m.name == *own {
        true => node.reaches_store.get(),
        false => loads.hears_store(&m.name, &m.domain, now),
    };
    let reaching = membership.active().filter(|m| hears_store(m));
    reaching.map(candidate).collect()
}

/// Returns the instances that watch the runners for the whole fleet.
pub(crate) fn watchers(node: &Node) -> Watchers {
    Watchers::of(reaching_store(node).iter())
}

/// Returns for whom this instance confirms the configuration.
pub(crate) fn confirm_scope(node: &Node) -> ConfirmScope {
    let reaching = neighbours_reaching_store(node);
    ConfirmScope::of(&own_candidate(node), reaching.iter())
}

/// Returns the other active instances of this instance's failure domain that reach the store.
pub(crate) fn neighbours_reaching_store(node: &Node) -> Vec<Candidate> {
    let now = node.now();
    let loads = node.loads.borrow();
    let mut candidates = neighbours(node);
    candidates.retain(|c| loads.hears_store(&c.name, &node.settings.failure_domain, now));
    candidates
}

/// Whether this instance watches the runners itself. The holder of the placement lease has to see
/// the results of its orders at once, and an instance that does not reach the store has to notice
/// when it does again.
pub(crate) fn watches_runners(node: &Node) -> bool {
    if node.lease.borrow().held(node.now()).is_some() {
        return true;
    }
    let own = &node.settings.name;
    !is_discovering(node) && (!node.reaches_store.get() || watchers(node).contains(own))
}

/// Returns the other active instances of this instance's failure domain that serve callers. One that
/// does not may be cut off from the runners.
pub(crate) fn serving_neighbours(node: &Node) -> Vec<Candidate> {
    let now = node.now();
    let loads = node.loads.borrow();
    let mut candidates = neighbours(node);
    candidates.retain(|c| !loads.refuses(&c.name, &node.settings.failure_domain, now));
    candidates
}

/// Returns the other active instances of this instance's failure domain.
pub(crate) fn neighbours(node: &Node) -> Vec<Candidate> {
    let membership = node.membership.borrow();
    let near = membership.active().filter(|m| is_neighbour(node, m));
    near.map(candidate).collect()
}

pub(crate) fn is_neighbour(node: &Node, m: &MemberState) -> bool {
    m.domain == node.settings.failure_domain && m.name != node.settings.name
}
