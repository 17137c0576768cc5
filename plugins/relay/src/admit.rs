//! Waiting for room in a chain.
//!
//! A request waits only as long as its first event can still come in time; then it is refused at
//! once with a time to come back, and before that if more waits ahead of it than comes free until
//! then. Those that wait get room by priority and then in their order, so
//! that a large one is not passed by small ones for ever.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection;
use tokio::time::timeout;

use crate::answer::{Cause, Journal};
use crate::live_chains::LiveChain;
use crate::node::Node;
use crate::request::Proxied;

/// Part of the objective that a request may wait for room. The rest is what a first event takes
/// in a chain that is nearly full. A request that may have run already waits as long once more: it
/// cannot be refused any more, only fail.
const WAIT_SHARE: f64 = 0.5;

/// Requests that may wait at once: they take memory, and a longer queue does not get room in time.
const MAX_WAITING: usize = 64;

/// Longest sleep without a look: loads of other instances change without a notice.
const LOOK: Duration = Duration::from_millis(40);

/// Tokens of a request's prompt, and expected of its answer; the usual ones of its service where
/// the request does not say.
pub(crate) fn declared(rq: &Proxied) -> (u32, u32) {
    let usual = || rq.engine().map_or((0, 0), |e| e.usual_tokens);
    rq.tokens.unwrap_or_else(usual)
}

/// Tokens that a request takes.
pub(crate) fn tokens(rq: &Proxied) -> f64 {
    let (prompt, answer) = declared(rq);
    chain_selection::demand(prompt, answer)
}

/// Until when a request waits for room.
pub(crate) fn until(node: &Node, rq: &Proxied, journal: Journal) -> Millis {
    let wait = (rq.objective_ms as f64 * WAIT_SHARE) as Millis;
    let from = if journal.may_have_run() {
        node.now()
    } else {
        rq.received_ms
    };
    (from + wait).min(rq.deadline_ms)
}

/// Waits for a chain with room of those that the request may take.
pub(crate) async fn wait(
    node: &Rc<Node>,
    rq: &Proxied,
    may_take: impl Fn(&LiveChain) -> bool,
    until: Millis,
) -> Result<Rc<LiveChain>, Cause> {
    let tokens = tokens(rq);
    if node.queue.borrow().len() >= MAX_WAITING {
        return Err(Cause::NoRoom);
    }
    let place = Place::open(node, rank(rq), tokens);
    let mut first_look = true;
    loop {
        let notified = node.room_freed.notified();
        if place.is_first()
            && let Some(live) = node.choose_chain(rq, chain_selection::MAX_FILL, &may_take)
        {
            return Ok(live);
        }
        let now = node.now();
        let none = node.chains.borrow().of(&rq.service).is_empty();
        // Without a chain nothing comes free, and one may be found in a moment: all callers of an
        // instance that has just started come at once.
        let in_vain = first_look && !none && place.waits_in_vain(until);
        first_look = false;
        if now >= until || in_vain {
            return Err(if none { Cause::NoRunner } else { Cause::NoRoom });
        }
        let left = Duration::from_millis(until - now);
        let _ = timeout(left.min(LOOK), notified).await;
    }
}

/// Rank of a new request in the queue: its priority, behind streams under way.
fn rank(rq: &Proxied) -> u32 {
    rq.priority.saturating_add(1)
}

/// A place in the queue, given up when dropped.
pub(crate) struct Place {
    node: Rc<Node>,
    key: (u32, u64),
}

impl Place {
    /// A place before all new requests. A stream whose chain broke is late once its pause is too
    /// long; until then the work that was done for it is worth more than new work.
    pub(crate) fn ahead(node: &Rc<Node>) -> Place {
        Place::open(node, 0, 0.0)
    }

    fn open(node: &Rc<Node>, rank: u32, tokens: f64) -> Place {
        let key = (rank, node.next_sequence());
        node.queue.borrow_mut().insert(key, tokens);
        Place {
            node: Rc::clone(node),
            key,
        }
    }

    fn is_first(&self) -> bool {
        let queue = self.node.queue.borrow();
        queue.first_key_value().map(|(key, _)| *key) == Some(self.key)
    }

    /// Whether more waits ahead than comes free before `until`. The first in the queue always
    /// waits: what comes free next is its own.
    fn waits_in_vain(&self, until: Millis) -> bool {
        let ahead: f64 = self
            .node
            .queue
            .borrow()
            .range(..self.key)
            .map(|(_, t)| t)
            .sum();
        let now = self.node.now();
        let left = until.saturating_sub(now);
        ahead > self.node.release_rate.borrow().expected_release(now, left)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.node.queue.borrow_mut().remove(&self.key);
        self.node.room_freed.notify_waiters();
    }
}
