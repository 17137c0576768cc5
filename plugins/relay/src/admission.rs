//! Admission control: the queue for room in a chain.
//!
//! A request waits only as long as its first event can still arrive in time; then it is refused
//! with a retry time. It is refused before that if the requests ahead of it need more tokens than
//! are expected to become free until then. Room is granted by priority, then in order of arrival,
//! so that small requests cannot starve a large one.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection;
use tokio::time::timeout;

use crate::answer::{Cause, SendRecord};
use crate::chain_attempts::ChainAttempts;
use crate::live_chains::LiveChain;
use crate::node::Node;
use crate::reachability;
use crate::request::ProxiedRequest;
use crate::rest;

/// Fraction of the objective that a request may wait for room. The rest is the time-to-first-token
/// in a nearly full chain. A request that may have run already waits for the same time again, since
/// it can no longer be refused, only fail.
const QUEUE_TIME_FRACTION: f64 = 0.5;

/// Maximum queue length. Waiting requests take memory, and a longer queue does not get room in
/// time.
const MAX_WAITING: usize = 64;

/// Interval at which a waiting request checks for room without a notification: changes in the load
/// of other instances cause none.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Returns the tokens of a request's prompt and the expected tokens of its answer, with the
/// service's usual counts if the request does not state them.
pub(crate) fn token_counts(rq: &ProxiedRequest) -> (u32, u32) {
    let usual = || rq.engine().map_or((0, 0), |e| e.usual_tokens);
    rq.tokens.unwrap_or_else(usual)
}

/// Returns the number of tokens that a request occupies in a chain.
pub(crate) fn tokens(rq: &ProxiedRequest) -> f64 {
    let (prompt, answer) = token_counts(rq);
    chain_selection::demand(prompt, answer)
}

/// Returns the time until which a request waits for room.
pub(crate) fn until(node: &Node, rq: &ProxiedRequest, send_record: SendRecord) -> Millis {
    let wait = (rq.objective_ms as f64 * QUEUE_TIME_FRACTION) as Millis;
    let from = if send_record.may_have_run() {
        node.now()
    } else {
        rq.received_ms
    };
    (from + wait).min(rq.deadline_ms)
}

/// Waits for room in one of the chains that the request may take.
pub(crate) async fn wait(
    node: &Rc<Node>,
    rq: &ProxiedRequest,
    attempts: &ChainAttempts,
    until: Millis,
) -> Result<Rc<LiveChain>, Cause> {
    let tokens = tokens(rq);
    if node.queue.borrow().len() >= MAX_WAITING {
        return Err(Cause::NoRoom);
    }
    let position = QueuePosition::open(node, queue_rank(node, rq), tokens);
    let mut first_check = true;
    loop {
        if !node.last_steps.may_send() {
            return Err(Cause::Stopping);
        }
        let notified = node.room_freed.notified();
        if position.is_first() {
            let fill = max_fill(node, rq);
            if let Some(live) = attempts.choose_chain(node, rq, fill, |_| true) {
                return Ok(live);
            }
            if reachability::may_have_room_elsewhere(node, rq) {
                return Err(Cause::NoPath);
            }
        }
        let now = node.now();
        if rest::shortest_ms(node, &rq.service).is_some_and(|ms| now + ms > until) {
            return Err(Cause::Resting);
        }
        let none = node.chains.borrow().of(&rq.service).is_empty();
        // Without a chain no release can be estimated, and one may appear shortly: an instance that
        // has just started gets requests from all its callers at once.
        let hopeless = first_check && !none && position.is_hopeless(until);
        first_check = false;
        if now >= until || hopeless {
            return Err(if none { Cause::NoRunner } else { Cause::NoRoom });
        }
        let left = Duration::from_millis(until - now);
        let _ = timeout(left.min(POLL_INTERVAL), notified).await;
    }
}

/// Returns the queue rank of a request: its priority, behind interrupted streams, which have rank 0.
fn queue_rank(node: &Node, rq: &ProxiedRequest) -> u32 {
    match is_resumed(rq) {
        true => 0,
        false if node.contention.applies(&rq.service) => rq.urgency.saturating_add(1),
        false => rq.priority.saturating_add(1),
    }
}

/// Returns the occupancy up to which a chain is filled for a request.
fn max_fill(node: &Node, rq: &ProxiedRequest) -> f64 {
    match (is_resumed(rq), node.contention.has_plan(&rq.service)) {
        (true, _) => max_resumed_fill(node, rq),
        (false, true) => chain_selection::MAX_PLANNED_FILL,
        (false, false) => chain_selection::MAX_FILL,
    }
}

/// Returns the occupancy up to which a chain is filled for a stream that resumes.
pub(crate) fn max_resumed_fill(node: &Node, rq: &ProxiedRequest) -> f64 {
    match node.contention.has_plan(&rq.service) {
        true => chain_selection::MAX_PLANNED_FILL_RESUMED,
        false => chain_selection::MAX_FILL_RESUMED,
    }
}

/// Whether another instance's stream goes on with the request.
fn is_resumed(rq: &ProxiedRequest) -> bool {
    rq.origin.as_ref().is_some_and(|o| o.is_resumed)
}

/// A position in the queue, released on drop.
pub(crate) struct QueuePosition {
    node: Rc<Node>,
    key: (u32, u64),
}

impl QueuePosition {
    /// Returns a position ahead of all new requests, for a stream whose chain broke. Until its gap
    /// exceeds the limit, the work already done for it is worth more than new work.
    pub(crate) fn ahead_of_new_requests(node: &Rc<Node>) -> QueuePosition {
        QueuePosition::open(node, 0, 0.0)
    }

    fn open(node: &Rc<Node>, queue_rank: u32, tokens: f64) -> QueuePosition {
        let key = (queue_rank, node.next_sequence());
        node.queue.borrow_mut().insert(key, tokens);
        QueuePosition {
            node: Rc::clone(node),
            key,
        }
    }

    fn is_first(&self) -> bool {
        let queue = self.node.queue.borrow();
        queue.first_key_value().map(|(key, _)| *key) == Some(self.key)
    }

    /// Returns whether the requests ahead need more tokens than are expected to become free before
    /// `until`. The first in the queue always waits, since it gets the next room that becomes free.
    fn is_hopeless(&self, until: Millis) -> bool {
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

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.node.queue.borrow_mut().remove(&self.key);
        self.node.room_freed.notify_waiters();
    }
}
