//! Fair queue of one priority class: start-time fair queueing by organisation.
//!
//! Each organisation with queued requests is a flow with a start tag, in virtual tokens. The flow
//! with the smallest tag is served next, and its tag then grows by the request's tokens divided by
//! the organisation's weight. Virtual time is the tag of the last flow served; a flow that becomes
//! busy again starts there, so that an idle flow accumulates no credit. Each operation costs
//! O(log n) in the number of flows.

use super::{Slot, Ticket};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Virtual time units per token at weight 1.
const UNITS_PER_TOKEN: u64 = 1 << 16;

/// Maximum number of flows that are examined to find an eligible one.
const MAX_FLOWS_EXAMINED: usize = 32;

/// One queued request.
#[derive(Clone, Copy, Debug)]
struct Item {
    slot: Slot,
    tokens: u32,
    latest_start: Millis,
}

/// One organisation's queued requests.
#[derive(Debug, Default)]
struct Flow {
    weight: u32,
    /// Start tag of the first item, or of the next one if the flow is empty.
    tag: u64,
    items: BTreeMap<u64, Item>,
    tokens: u64,
}

/// A request removed from the queue to be started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Popped {
    pub(super) slot: Slot,
    pub(super) latest_start: Millis,
}

/// Fair queue of one priority class.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    virtual_time: u64,
    flows: BTreeMap<OrgId, Flow>,
    /// Flows with queued requests, by tag.
    ready: BTreeSet<(u64, OrgId)>,
    /// Flows without queued requests whose tag is ahead of virtual time, by tag.
    idle: BTreeSet<(u64, OrgId)>,
    tokens: u64,
    weight: u64,
    len: usize,
    next_sequence: u64,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the tokens of all queued requests.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the number of organisations with queued requests.
    pub(super) fn flows(&self) -> usize {
        self.ready.len()
    }

    /// Returns the tokens served until a new request of an organisation completes, its own
    /// included, if every other queued organisation uses its share meanwhile.
    pub(super) fn tokens_before(&self, org: OrgId, weight: u32, tokens: u32) -> f64 {
        let flow = self.flows.get(&org);
        let own = flow.map_or(0, |f| f.tokens) + u64::from(tokens);
        let is_queued = flow.is_some_and(|f| !f.items.is_empty());
        let weight = u64::from(weight.max(1));
        let all_weights = self.weight + if is_queued { 0 } else { weight };
        let by_share = own as f64 * all_weights as f64 / weight as f64;
        let by_all = (self.tokens + u64::from(tokens)) as f64;
        by_share.min(by_all)
    }

    /// Appends a request to its organisation's flow; returns its sequence sequence.
    pub(super) fn push(&mut self, ticket: &Ticket, tokens: u32, latest_start: Millis) -> u64 {
        let org = ticket.org;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(org).or_default();
        if flow.items.is_empty() {
            self.idle.remove(&(flow.tag, org));
            flow.tag = flow.tag.max(virtual_time);
            flow.weight = ticket.weight.max(1);
            self.weight += u64::from(flow.weight);
            self.ready.insert((flow.tag, org));
        }
        let item = Item {
            slot: ticket.slot,
            tokens,
            latest_start,
        };
        flow.items.insert(sequence, item);
        flow.tokens += u64::from(tokens);
        self.tokens += u64::from(tokens);
        self.len += 1;
        sequence
    }

    /// Returns the first `eligible` organisation in the order of service.
    ///
    /// Examines [`MAX_FLOWS_EXAMINED`] flows at most: an organisation that is not eligible has
    /// more than its share, which only few can have at a time.
    pub(super) fn first_eligible(&self, eligible: impl Fn(OrgId) -> bool) -> Option<OrgId> {
        let examined = self.ready.iter().take(MAX_FLOWS_EXAMINED);
        examined.map(|(_, org)| *org).find(|org| eligible(*org))
    }

    /// Removes the oldest request of an organisation.
    pub(super) fn pop(&mut self, org: OrgId) -> Option<Popped> {
        let flow = self.flows.get(&org)?;
        let sequence = *flow.items.keys().next()?;
        self.virtual_time = self.virtual_time.max(flow.tag);
        let item = self.take(org, sequence)?;
        self.charge(org, i64::from(item.tokens));
        self.remove_idle();
        Some(Popped {
            slot: item.slot,
            latest_start: item.latest_start,
        })
    }

    /// Returns requests that can't start in time if tokens drain at `tokens_per_ms` and
    /// `tokens_ahead` of better classes are served first.
    ///
    /// These are the newest requests of each organisation, until the rest of its flow is feasible.
    /// Ordered by organisation.
    pub(super) fn infeasible(
        &self,
        now: Millis,
        tokens_ahead: u64,
        tokens_per_ms: f64,
    ) -> Vec<Slot> {
        let mut slots = Vec::new();
        for flow in self.flows.values() {
            let mut own = flow.tokens;
            for item in flow.items.values().rev() {
                let by_share = own as f64 * self.weight as f64 / f64::from(flow.weight.max(1));
                let tokens_before = by_share.min(self.tokens as f64) - f64::from(item.tokens);
                let start = now as f64 + (tokens_ahead as f64 + tokens_before) / tokens_per_ms;
                if start <= item.latest_start as f64 {
                    break;
                }
                slots.push(item.slot);
                own -= u64::from(item.tokens);
            }
        }
        slots
    }

    /// Removes a request that was not served; it is not charged to its organisation.
    pub(super) fn remove(&mut self, org: OrgId, sequence: u64) {
        self.take(org, sequence);
        self.remove_idle();
    }

    /// Advances an organisation's tag by tokens used, or moves it back by tokens overestimated.
    pub(super) fn charge(&mut self, org: OrgId, tokens: i64) {
        let Some(flow) = self.flows.get_mut(&org) else {
            return;
        };
        let is_queued = !flow.items.is_empty();
        let set = if is_queued {
            &mut self.ready
        } else {
            &mut self.idle
        };
        set.remove(&(flow.tag, org));
        let units = tokens.unsigned_abs() * UNITS_PER_TOKEN / u64::from(flow.weight.max(1));
        flow.tag = match tokens >= 0 {
            true => flow.tag.saturating_add(units),
            false => flow.tag.saturating_sub(units).max(self.virtual_time),
        };
        set.insert((flow.tag, org));
    }

    fn take(&mut self, org: OrgId, sequence: u64) -> Option<Item> {
        let flow = self.flows.get_mut(&org)?;
        let item = flow.items.remove(&sequence)?;
        flow.tokens -= u64::from(item.tokens);
        self.tokens -= u64::from(item.tokens);
        self.len -= 1;
        if flow.items.is_empty() {
            self.ready.remove(&(flow.tag, org));
            self.idle.insert((flow.tag, org));
            self.weight -= u64::from(flow.weight);
        }
        Some(item)
    }

    /// Removes idle flows whose tag virtual time has reached. If the queue is empty, removes all:
    /// the busy period has ended, and service received in it does not count in the next.
    fn remove_idle(&mut self) {
        while let Some((tag, org)) = self.idle.first().copied() {
            if tag > self.virtual_time && self.len > 0 {
                break;
            }
            self.idle.pop_first();
            self.flows.remove(&org);
        }
    }
}
